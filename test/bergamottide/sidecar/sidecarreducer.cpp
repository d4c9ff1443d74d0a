#include "bergamottide/sidecar/sidecarreducer.h"

#include "sidecarfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

/*! @brief Execution, cancellation and refusal of runs, and messages to peers. */
class SidecarReducerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SidecarReducerTest);
    CPPUNIT_TEST(runsAtTheEndpointAndDeliversItsResult);
    CPPUNIT_TEST(runsAboveTheConcurrencyLimitWait);
    CPPUNIT_TEST(refusesEveryRunWithoutDocument);
    CPPUNIT_TEST(peerReceivesHelloAndLoadReports);
    CPPUNIT_TEST(runsAreRefusedInReportsUntilThereIsADocument);
    CPPUNIT_TEST(pingIsAnswered);
    CPPUNIT_TEST(queuedRunIsCanceledBeforeItStarts);
    CPPUNIT_TEST(runningRepeatableRunIsCanceledAtTheEndpoint);
    CPPUNIT_TEST(infeasibleRunIsRefusedBeforeItStarts);
    CPPUNIT_TEST(queuedRunIsRefusedWhenItBecomesInfeasible);
    CPPUNIT_TEST(fullQueueEvictsRunsOfTheLargestBacklog);
    CPPUNIT_TEST(oversizedResultCancelsOnlyItsRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsAtTheEndpointAndDeliversItsResult()
    {
        SidecarFixture fixture;
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(1)));
        fixture.apply(EndpointResultPiece{runId(1), "ab", 1});
        fixture.apply(EndpointResultPiece{runId(1), "c", 1});
        fixture.apply(EndpointRunEnded{runId(1), EndpointResult::Completed, Reason::None});
        std::string result;
        for (const RunProgress &progress : fixture.messagesOf<RunProgress>(fixture.entry)) {
            CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(result.size()), progress.offset);
            result += progress.piece;
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"abc"}, result);
        const RunFinished end = fixture.lastFinished(runId(1));
        CPPUNIT_ASSERT(end.state == RunState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, end.length);
        CPPUNIT_ASSERT_EQUAL(2U, end.tokens);
        fixture.receive(RunAcknowledged{runId(1)});
        fixture.clearEffects();
        fixture.advanceClock(30s);
        CPPUNIT_ASSERT(fixture.messagesOf<RunFinished>().empty());
    }

    void runsAboveTheConcurrencyLimitWait()
    {
        SidecarFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SidecarFixture::makeStartRun(runId(number)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.effectsOf<StartEndpointRun>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.reducer().inProgress());
        fixture.completeRun(runId(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(3)));
    }

    void refusesEveryRunWithoutDocument()
    {
        SidecarReducer reducer{SidecarIdentity{InstanceName{"side-1"}}};
        const auto effects = reducer.apply(PeerMessage{InstanceName{"entry-1"}, SidecarFixture::makeStartRun(runId(1))},
                                           ManualClock{}.now());
        bool refused = false;
        for (const SidecarEffect &effect : effects) {
            CPPUNIT_ASSERT(!std::holds_alternative<StartEndpointRun>(effect));
            const auto *sent = std::get_if<SendMessage>(&effect);
            const auto *end = sent != nullptr ? std::get_if<RunFinished>(&sent->message) : nullptr;
            refused = refused || (end != nullptr && end->state == RunState::NotStarted);
        }
        CPPUNIT_ASSERT(refused);
    }

    void peerReceivesHelloAndLoadReports()
    {
        SidecarFixture fixture;
        fixture.apply(PeerUp{fixture.otherEntry});
        const auto hellos = fixture.messagesOf<Hello>(fixture.otherEntry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hellos.size());
        CPPUNIT_ASSERT(hellos.front().incarnation == testIncarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, hellos.front().configVersion);
        fixture.clearEffects();
        fixture.advanceClock(1s);
        const auto reports = fixture.messagesOf<LoadReport>(fixture.entry);
        CPPUNIT_ASSERT(reports.size() >= 3 && reports.size() <= 5);
        fixture.apply(PeerDown{fixture.entry});
        fixture.clearEffects();
        fixture.advanceClock(1s);
        CPPUNIT_ASSERT(fixture.messagesOf<LoadReport>(fixture.entry).empty());
    }

    /*! @brief An entry that sends runs to a sidecar without a document gets them back as `stale_view`. */
    void runsAreRefusedInReportsUntilThereIsADocument()
    {
        SidecarReducer reducer{SidecarIdentity{InstanceName{"side-1"}, RegionName{"r"}, ZoneName{"z"},
                                               PoolName{"engines"}, testIncarnation, 1}};
        const TimePoint now{1s};
        const auto refusesRuns = [&reducer, now](const SidecarEvent &event) {
            std::optional<bool> refuses;
            for (const SidecarEffect &effect : reducer.apply(event, now)) {
                const auto *sent = std::get_if<SendMessage>(&effect);
                const auto *report = sent == nullptr ? nullptr : std::get_if<LoadReport>(&sent->message);
                refuses = report == nullptr ? refuses : report->draining;
            }
            return refuses;
        };
        CPPUNIT_ASSERT(refusesRuns(PeerUp{InstanceName{"entry-1"}}) == true);
        const ConfigChanged change{std::make_shared<const Document>(minimalDocument()), 1};
        CPPUNIT_ASSERT(refusesRuns(change) == false);
    }

    void pingIsAnswered()
    {
        SidecarFixture fixture;
        fixture.receive(Ping{42});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, fixture.messagesOf<Pong>().at(0).sequence);
    }

    void queuedRunIsCanceledBeforeItStarts()
    {
        SidecarFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SidecarFixture::makeStartRun(runId(number)));
        }
        fixture.receive(CancelRun{runId(3)});
        CPPUNIT_ASSERT(fixture.lastFinished(runId(3)).state == RunState::NotStarted);
        fixture.completeRun(runId(1));
        fixture.completeRun(runId(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.startCount(runId(3)));
    }

    void runningRepeatableRunIsCanceledAtTheEndpoint()
    {
        SidecarFixture fixture;
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        fixture.receive(CancelRun{runId(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.effectsOf<CancelEndpointRun>().size());
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.reducer().inProgress());
    }

    void infeasibleRunIsRefusedBeforeItStarts()
    {
        SidecarFixture fixture;
        StartRun message = SidecarFixture::makeStartRun(runId(1));
        message.remaining = 500ms;
        message.cost = 100ms;
        message.laterStagesCost = 401ms;
        fixture.receive(message);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).reason == Reason::DeadlineUnreachable);
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void queuedRunIsRefusedWhenItBecomesInfeasible()
    {
        SidecarFixture fixture;
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        fixture.receive(SidecarFixture::makeStartRun(runId(2)));
        StartRun message = SidecarFixture::makeStartRun(runId(3));
        message.remaining = 1s;
        fixture.receive(message);
        fixture.advanceClock(899ms);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(3)).state == RunState::Absent);
        fixture.advanceClock(2ms);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(3)).state == RunState::NotStarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.reducer().inProgress());
    }

    void fullQueueEvictsRunsOfTheLargestBacklog()
    {
        Document document = minimalDocument();
        document.policy.queueLimit = 8;
        SidecarFixture fixture{document};
        for (std::uint64_t number = 1; number <= 10; ++number) {
            fixture.receive(SidecarFixture::makeStartRun(runId(number)));
        }
        fixture.clearEffects();
        fixture.receive(SidecarFixture::makeStartRun(runId(11), noSerial, "south"));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(11)).state == RunState::Absent);
        const auto ends = fixture.messagesOf<RunFinished>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().reason == Reason::QueueFull && ends.front().state == RunState::NotStarted);
        CPPUNIT_ASSERT(ends.front().retryAfter > Duration{});
        fixture.completeRun(runId(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(11)));
    }

    void oversizedResultCancelsOnlyItsRun()
    {
        Document document = minimalDocument();
        document.policy.maxResultBytes = 10;
        SidecarFixture fixture{document};
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        fixture.receive(SidecarFixture::makeStartRun(runId(2)));
        fixture.apply(EndpointResultPiece{runId(1), std::string(11, 'x'), 1});
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).reason == Reason::AnswerTooLarge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.effectsOf<CancelEndpointRun>().size());
        fixture.completeRun(runId(2));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(2)).state == RunState::Completed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarReducerTest);
