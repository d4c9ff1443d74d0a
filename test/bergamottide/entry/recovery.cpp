#include "bergamottide/entry/recovery.h"

#include "entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using bergamottide::test::EntryFixture;

class RecoveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecoveryTest);
    CPPUNIT_TEST(queryOnNewStreamAfterSilence);
    CPPUNIT_TEST(queryOnSameStreamWhileItIsActive);
    CPPUNIT_TEST(sendOneQueryPerSidecarAtATime);
    CPPUNIT_TEST(resumeFromOffsetOnNewStream);
    CPPUNIT_TEST(retryRunUnknownToSidecar);
    CPPUNIT_TEST(retryAtOnlySidecarThatLostItsRun);
    CPPUNIT_TEST(retryElsewhereWhenSidecarDisconnects);
    CPPUNIT_TEST(stopRetryingWhenBudgetIsExhausted);
    CPPUNIT_TEST(replacingAStreamMovesNoRun);
    CPPUNIT_TEST(rejectWrongDigestAndRetry);
    CPPUNIT_TEST(startNothingAfterSuspensionUntilSidecarAnswers);
    CPPUNIT_TEST(answerExpiredRequestsFirstAfterSuspension);
    CPPUNIT_TEST(drainFinishesRequestsInProgress);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration timeout = std::chrono::milliseconds{400};

public:
    void queryOnNewStreamAfterSilence()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.advanceClock(timeout - Duration{1});
        CPPUNIT_ASSERT(!fixture.effect<ReopenStream>());
        fixture.advanceClock(Duration{1});
        CPPUNIT_ASSERT_EQUAL(sidecar, fixture.effect<ReopenStream>()->peer);
        CPPUNIT_ASSERT(fixture.sent<QueryRuns>().at(0).second.items.at(0).run == start.run);
    }

    void queryOnSameStreamWhileItIsActive()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.advanceClock(timeout / 2);
        fixture.receive(sidecar, LoadReport{});
        fixture.advanceClock(timeout / 2);
        CPPUNIT_ASSERT(!fixture.effect<ReopenStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<QueryRuns>().size());
    }

    void sendOneQueryPerSidecarAtATime()
    {
        EntryFixture fixture;
        fixture.apply(PeerDown{InstanceName{"enc-2"}});
        for (std::uint64_t number = 1; number <= 20; ++number) {
            fixture.apply(EntryFixture::submission(number));
        }
        fixture.advanceClock(timeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<QueryRuns>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, fixture.sent<QueryRuns>().at(0).second.items.size());
    }

    void resumeFromOffsetOnNewStream()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.receive(sidecar, RunProgress{start.run, RunState::Running, 0, "abc", 1});
        fixture.advanceClock(timeout);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fixture.sent<QueryRuns>().at(0).second.items.at(0).offset);
        fixture.apply(PeerDown{sidecar});
        fixture.apply(PeerUp{sidecar});
        fixture.receive(sidecar, RunStates{Incarnation{1}, {{start.run, RunState::Running}}});
        fixture.receive(sidecar, RunProgress{start.run, RunState::Running, 3, "def", 1});
        fixture.receive(sidecar, EntryFixture::completed(start.run, "abcdef"));
        CPPUNIT_ASSERT_EQUAL(std::string{"abcdef"}, fixture.sent<StartRun>().at(0).second.previousResult);
    }

    void retryRunUnknownToSidecar()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.receive(sidecar, RunStates{Incarnation{1}, {{start.run, RunState::Absent}}});
        CPPUNIT_ASSERT(fixture.sent<StartRun>().at(0).second.run.attempt > start.run.attempt);
        CPPUNIT_ASSERT(fixture.sent<CancelRun>().at(0).second.run == start.run);
    }

    void retryAtOnlySidecarThatLostItsRun()
    {
        EntryFixture fixture;
        fixture.apply(PeerDown{InstanceName{"enc-2"}});
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.receive(sidecar, RunStates{Incarnation{1}, {{start.run, RunState::Absent}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<StartRun>().size());
        CPPUNIT_ASSERT_EQUAL(sidecar, fixture.sent<StartRun>().at(0).first);
        CPPUNIT_ASSERT(fixture.sent<StartRun>().at(0).second.run.attempt > start.run.attempt);
    }

    void retryElsewhereWhenSidecarDisconnects()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.apply(PeerDown{sidecar});
        const auto again = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT(again.first != sidecar);
        CPPUNIT_ASSERT_EQUAL(1.0, fixture.metricSum(Metric::RetriesTotal));
        fixture.complete(sidecar, start.run, "late");
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
    }

    void stopRetryingWhenBudgetIsExhausted()
    {
        Document document = documentWithoutRetryBudget();
        EntryFixture fixture{document};
        double retries = 0;
        for (std::uint64_t number = 1; number <= 50; ++number) {
            fixture.apply(EntryFixture::submission(number));
            const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
            RunFinished failed = EntryFixture::refused(start.run, Reason::EndpointFailed);
            failed.state = RunState::Failed;
            fixture.receive(sidecar, failed);
            retries += fixture.metricSum(Metric::RetriesTotal);
        }
        CPPUNIT_ASSERT_EQUAL(AttemptBudget::initialTokens, retries);
    }

    void replacingAStreamMovesNoRun()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.advanceClock(timeout);
        fixture.apply(PeerDown{sidecar});
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        fixture.apply(PeerDown{sidecar});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<StartRun>().size());
    }

    void rejectWrongDigestAndRetry()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        RunFinished finished = EntryFixture::completed(start.run, "vector");
        finished.digest ^= 1;
        fixture.receive(sidecar, RunProgress{start.run, RunState::Running, 0, "vector", 1});
        fixture.receive(sidecar, finished);
        const auto again = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT_EQUAL(StageName{"encode"}, again.second.stage);
        CPPUNIT_ASSERT_EQUAL(start.run.attempt + 1, again.second.run.attempt);
    }

    void startNothingAfterSuspensionUntilSidecarAnswers()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.now += std::chrono::seconds{3};
        fixture.apply(EntryFixture::submission(2));
        const auto ping = fixture.sent<Ping>().at(0).second;
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        CPPUNIT_ASSERT(fixture.effect<SendAnswer>()->reason == Reason::Paused);
        fixture.complete(sidecar, start.run, "vector");
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        fixture.receive(sidecar, Pong{ping.sequence - 1});
        fixture.apply(EntryFixture::submission(3));
        CPPUNIT_ASSERT(fixture.effect<SendAnswer>()->reason == Reason::Paused);
        fixture.receive(InstanceName{"gen-2"}, Pong{ping.sequence});
        CPPUNIT_ASSERT_EQUAL(InstanceName{"gen-2"}, fixture.sent<StartRun>().at(0).first);
    }

    void answerExpiredRequestsFirstAfterSuspension()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        fixture.now += std::chrono::seconds{30};
        fixture.apply(Tick{});
        const auto answer = fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer && answer->reason == Reason::DeadlineExceeded);
        CPPUNIT_ASSERT(answer->outcome == Outcome::Incomplete);
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
    }

    void drainFinishesRequestsInProgress()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.apply(DrainRequested{"SIGTERM"});
        CPPUNIT_ASSERT(!fixture.effect<DrainComplete>());
        fixture.apply(EntryFixture::submission(2));
        const auto refused = fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(refused->reason == Reason::Draining && refused->retryAfter > Duration::zero());
        fixture.complete(sidecar, start.run, "vector");
        const auto next = fixture.sent<StartRun>().at(0);
        fixture.complete(next.first, next.second.run, "text");
        CPPUNIT_ASSERT(fixture.effect<SendAnswer>()->outcome == Outcome::Completed);
        CPPUNIT_ASSERT(fixture.effect<DrainComplete>());
    }

private:
    [[nodiscard]] static Document documentWithoutRetryBudget()
    {
        Document document = bergamottide::test::fixtureDocument();
        document.policy.retryBudget = 0.0;
        return document;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTest);
