#include "bergamottide/entry/recovery.h"

#include "entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using bergamottide::test::EntryFixture;

class RecoveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecoveryTest);
    CPPUNIT_TEST(askOnNewStreamAfterSilence);
    CPPUNIT_TEST(askOnSameStreamWhileItTalks);
    CPPUNIT_TEST(askOneQuestionPerSideAtATime);
    CPPUNIT_TEST(resumeFromOffsetOnNewStream);
    CPPUNIT_TEST(repeatRunThatSideDoesNotKnow);
    CPPUNIT_TEST(repeatAtTheOnlySideThatLostItsRun);
    CPPUNIT_TEST(repeatElsewhereWhenSideDies);
    CPPUNIT_TEST(stopRepeatingWhenBudgetIsSpent);
    CPPUNIT_TEST(streamReplacedOnPurposeMovesNothing);
    CPPUNIT_TEST(refuseWrongDigestAndRepeat);
    CPPUNIT_TEST(startNothingAfterPauseUntilSideAnswers);
    CPPUNIT_TEST(answerExpiredRequestsFirstAfterPause);
    CPPUNIT_TEST(drainFinishesWhatIsInProgress);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration timeout = std::chrono::milliseconds{400};

public:
    void askOnNewStreamAfterSilence()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [side, start] = fixture.sent<StartRun>().at(0);
        fixture.pass(timeout - Duration{1});
        CPPUNIT_ASSERT(!fixture.effect<ReopenStream>());
        fixture.pass(Duration{1});
        CPPUNIT_ASSERT_EQUAL(side, fixture.effect<ReopenStream>()->peer);
        CPPUNIT_ASSERT(fixture.sent<QueryRuns>().at(0).second.items.at(0).run == start.run);
    }

    void askOnSameStreamWhileItTalks()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [side, start] = fixture.sent<StartRun>().at(0);
        fixture.pass(timeout / 2);
        fixture.hear(side, LoadReport{});
        fixture.pass(timeout / 2);
        CPPUNIT_ASSERT(!fixture.effect<ReopenStream>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<QueryRuns>().size());
    }

    void askOneQuestionPerSideAtATime()
    {
        EntryFixture fixture;
        fixture.apply(PeerDown{InstanceName{"enc-2"}});
        for (std::uint64_t number = 1; number <= 20; ++number) {
            fixture.apply(EntryFixture::submission(number));
        }
        fixture.pass(timeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<QueryRuns>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, fixture.sent<QueryRuns>().at(0).second.items.size());
    }

    void resumeFromOffsetOnNewStream()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [side, start] = fixture.sent<StartRun>().at(0);
        fixture.hear(side, RunProgress{start.run, RunState::Running, 0, "abc", 1});
        fixture.pass(timeout);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fixture.sent<QueryRuns>().at(0).second.items.at(0).offset);
        fixture.apply(PeerDown{side});
        fixture.apply(PeerUp{side});
        fixture.hear(side, RunStates{Incarnation{1}, {{start.run, RunState::Running}}});
        fixture.hear(side, RunProgress{start.run, RunState::Running, 3, "def", 1});
        fixture.hear(side, EntryFixture::completed(start.run, "abcdef"));
        CPPUNIT_ASSERT_EQUAL(std::string{"abcdef"}, fixture.sent<StartRun>().at(0).second.previous);
    }

    void repeatRunThatSideDoesNotKnow()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [side, start] = fixture.sent<StartRun>().at(0);
        fixture.hear(side, RunStates{Incarnation{1}, {{start.run, RunState::Absent}}});
        CPPUNIT_ASSERT(fixture.sent<StartRun>().at(0).second.run.attempt > start.run.attempt);
        CPPUNIT_ASSERT(fixture.sent<CancelRun>().at(0).second.run == start.run);
    }

    void repeatAtTheOnlySideThatLostItsRun()
    {
        EntryFixture fixture;
        fixture.apply(PeerDown{InstanceName{"enc-2"}});
        fixture.apply(EntryFixture::submission(1));
        const auto [side, start] = fixture.sent<StartRun>().at(0);
        fixture.hear(side, RunStates{Incarnation{1}, {{start.run, RunState::Absent}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<StartRun>().size());
        CPPUNIT_ASSERT_EQUAL(side, fixture.sent<StartRun>().at(0).first);
        CPPUNIT_ASSERT(fixture.sent<StartRun>().at(0).second.run.attempt > start.run.attempt);
    }

    void repeatElsewhereWhenSideDies()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [side, start] = fixture.sent<StartRun>().at(0);
        fixture.apply(PeerDown{side});
        const auto again = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT(again.first != side);
        CPPUNIT_ASSERT_EQUAL(1.0, fixture.counted(Metric::RetriesTotal));
        fixture.complete(side, start.run, "late");
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
    }

    void stopRepeatingWhenBudgetIsSpent()
    {
        Document document = fixtureDocumentWithoutBudget();
        EntryFixture fixture{document};
        double retries = 0;
        for (std::uint64_t number = 1; number <= 50; ++number) {
            fixture.apply(EntryFixture::submission(number));
            const auto [side, start] = fixture.sent<StartRun>().at(0);
            RunFinished failed = EntryFixture::refused(start.run, Reason::EndpointFailed);
            failed.state = RunState::Failed;
            fixture.hear(side, failed);
            retries += fixture.counted(Metric::RetriesTotal);
        }
        CPPUNIT_ASSERT_EQUAL(ShareBudget::initial, retries);
    }

    void streamReplacedOnPurposeMovesNothing()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [side, start] = fixture.sent<StartRun>().at(0);
        fixture.pass(timeout);
        fixture.apply(PeerDown{side});
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        fixture.apply(PeerDown{side});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<StartRun>().size());
    }

    void refuseWrongDigestAndRepeat()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [side, start] = fixture.sent<StartRun>().at(0);
        RunFinished finished = EntryFixture::completed(start.run, "vector");
        finished.digest ^= 1;
        fixture.hear(side, RunProgress{start.run, RunState::Running, 0, "vector", 1});
        fixture.hear(side, finished);
        const auto again = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT_EQUAL(StageName{"encode"}, again.second.stage);
        CPPUNIT_ASSERT_EQUAL(start.run.attempt + 1, again.second.run.attempt);
    }

    void startNothingAfterPauseUntilSideAnswers()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [side, start] = fixture.sent<StartRun>().at(0);
        fixture.now += std::chrono::seconds{3};
        fixture.apply(EntryFixture::submission(2));
        const auto ping = fixture.sent<Ping>().at(0).second;
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        CPPUNIT_ASSERT(fixture.effect<CallerAnswer>()->reason == Reason::Paused);
        fixture.complete(side, start.run, "vector");
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        fixture.hear(side, Pong{ping.sequence - 1});
        fixture.apply(EntryFixture::submission(3));
        CPPUNIT_ASSERT(fixture.effect<CallerAnswer>()->reason == Reason::Paused);
        fixture.hear(InstanceName{"gen-2"}, Pong{ping.sequence});
        CPPUNIT_ASSERT_EQUAL(InstanceName{"gen-2"}, fixture.sent<StartRun>().at(0).first);
    }

    void answerExpiredRequestsFirstAfterPause()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        fixture.now += std::chrono::seconds{30};
        fixture.apply(Tick{});
        const auto answer = fixture.effect<CallerAnswer>();
        CPPUNIT_ASSERT(answer && answer->reason == Reason::DeadlineExceeded);
        CPPUNIT_ASSERT(answer->outcome == Outcome::Incomplete);
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
    }

    void drainFinishesWhatIsInProgress()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        auto [side, start] = fixture.sent<StartRun>().at(0);
        fixture.apply(DrainRequested{"SIGTERM"});
        CPPUNIT_ASSERT(!fixture.effect<DrainComplete>());
        fixture.apply(EntryFixture::submission(2));
        const auto refused = fixture.effect<CallerAnswer>();
        CPPUNIT_ASSERT(refused->reason == Reason::Draining && refused->retryAfter > Duration::zero());
        fixture.complete(side, start.run, "vector");
        const auto next = fixture.sent<StartRun>().at(0);
        fixture.complete(next.first, next.second.run, "text");
        CPPUNIT_ASSERT(fixture.effect<CallerAnswer>()->outcome == Outcome::Completed);
        CPPUNIT_ASSERT(fixture.effect<DrainComplete>());
    }

private:
    [[nodiscard]] static Document fixtureDocumentWithoutBudget()
    {
        Document document = bergamottide::test::fixtureDocument();
        document.policy.retryBudget = 0.0;
        return document;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTest);
