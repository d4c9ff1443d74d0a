#include "bergamottide/sidecar/sidecarreducer.h"

#include "sidecarfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

/*! @brief Lost streams, duplicate messages, process pauses and drains. */
class SidecarRecoveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SidecarRecoveryTest);
    CPPUNIT_TEST(queryResendsFromTheOffset);
    CPPUNIT_TEST(queryOfAnUnknownRunReturnsAbsent);
    CPPUNIT_TEST(endIsRepeatedWithBackoffUntilAcknowledged);
    CPPUNIT_TEST(runInProgressSendsKeepAlives);
    CPPUNIT_TEST(higherAttemptStopsLowerOne);
    CPPUNIT_TEST(lateDuplicateStartIsRejected);
    CPPUNIT_TEST(startAfterItsCancellationIsRejected);
    CPPUNIT_TEST(unknownEndpointEventsAreDropped);
    CPPUNIT_TEST(startsNothingAfterAPauseUntilAPeerConfirms);
    CPPUNIT_TEST(outdatedPongDoesNotEndAPause);
    CPPUNIT_TEST(pauseRefusesExpiredRuns);
    CPPUNIT_TEST(drainFinishesRunsInProgress);
    CPPUNIT_TEST(drainAcceptsTheRunOfAnOpenedRequest);
    CPPUNIT_TEST(drainRefusesRunsAfterTheGracePeriod);
    CPPUNIT_TEST(drainEndsAtItsTimeout);
    CPPUNIT_TEST(leavingFlagInInstanceListStartsDrain);
    CPPUNIT_TEST(olderDocumentIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void queryResendsFromTheOffset()
    {
        SidecarFixture fixture;
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        fixture.apply(EndpointResultPiece{runId(1), "abcdef", 2});
        fixture.apply(PeerDown{fixture.entry});
        fixture.apply(EndpointResultPiece{runId(1), "gh", 1});
        fixture.apply(PeerUp{fixture.entry});
        fixture.clearEffects();
        fixture.receive(QueryRuns{{{runId(1), 4}}});
        CPPUNIT_ASSERT(fixture.messagesOf<RunStates>().at(0).items.at(0).state == RunState::Running);
        const RunProgress piece = fixture.messagesOf<RunProgress>().at(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, piece.offset);
        CPPUNIT_ASSERT_EQUAL(std::string{"efgh"}, piece.piece);
        fixture.apply(EndpointRunEnded{runId(1), EndpointResult::Completed, Reason::None});
        fixture.clearEffects();
        fixture.receive(QueryRuns{{{runId(1), 8}}});
        CPPUNIT_ASSERT(fixture.messagesOf<RunProgress>().empty());
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::Completed);
    }

    void queryOfAnUnknownRunReturnsAbsent()
    {
        SidecarFixture fixture;
        fixture.receive(QueryRuns{{{runId(9), 0}}});
        const RunStates states = fixture.messagesOf<RunStates>().at(0);
        CPPUNIT_ASSERT(states.incarnation == testIncarnation);
        CPPUNIT_ASSERT(states.items.at(0).state == RunState::Absent);
    }

    void endIsRepeatedWithBackoffUntilAcknowledged()
    {
        SidecarFixture fixture;
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        fixture.completeRun(runId(1));
        fixture.clearEffects();
        fixture.advanceClock(5s);
        const std::size_t repeated = fixture.messagesOf<RunFinished>().size();
        CPPUNIT_ASSERT(repeated >= 3 && repeated <= 8);
        fixture.receive(RunAcknowledged{runId(1)});
        fixture.clearEffects();
        fixture.advanceClock(5s);
        CPPUNIT_ASSERT(fixture.messagesOf<RunFinished>().empty());
    }

    void runInProgressSendsKeepAlives()
    {
        SidecarFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SidecarFixture::makeStartRun(runId(number)));
        }
        fixture.clearEffects();
        fixture.advanceClock(1s);
        int queued = 0;
        int running = 0;
        for (const RunProgress &keepAlive : fixture.messagesOf<RunProgress>()) {
            CPPUNIT_ASSERT(keepAlive.piece.empty());
            queued += keepAlive.run == runId(3) && keepAlive.state == RunState::Queued ? 1 : 0;
            running += keepAlive.run == runId(1) && keepAlive.state == RunState::Running ? 1 : 0;
        }
        CPPUNIT_ASSERT(queued >= 4 && running >= 4);
    }

    void higherAttemptStopsLowerOne()
    {
        SidecarFixture fixture;
        fixture.receive(SidecarFixture::makeStartRun(runId(1, 1)));
        fixture.receive(SidecarFixture::makeStartRun(runId(1, 2)));
        CPPUNIT_ASSERT(fixture.effectsOf<CancelEndpointRun>().at(0).run == runId(1, 1));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1, 1)).reason == Reason::Fenced);
        fixture.clearEffects();
        fixture.apply(EndpointRunEnded{runId(1, 1), EndpointResult::Completed, Reason::None});
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1, 1)).state == RunState::Absent);
        fixture.receive(RunAcknowledged{runId(1, 1)});
        fixture.receive(SidecarFixture::makeStartRun(runId(1, 1)));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1, 1)).reason == Reason::Fenced);
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void lateDuplicateStartIsRejected()
    {
        SidecarFixture fixture;
        StartRun message = SidecarFixture::makeStartRun(runId(1));
        message.laterStagesCost = 20s;
        fixture.receive(message);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::NotStarted);
        fixture.receive(RunAcknowledged{runId(1)});
        fixture.advanceClock(3s);
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void startAfterItsCancellationIsRejected()
    {
        SidecarFixture fixture;
        fixture.receive(CancelRun{runId(1)});
        CPPUNIT_ASSERT(fixture.messagesOf<RunStates>().at(0).items.at(0).state == RunState::Absent);
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void unknownEndpointEventsAreDropped()
    {
        SidecarFixture fixture;
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        fixture.clearEffects();
        fixture.apply(EndpointResultPiece{runId(2), "x", 1});
        fixture.apply(EndpointRunEnded{runId(2), EndpointResult::Completed, Reason::None});
        CPPUNIT_ASSERT(fixture.messagesOf<RunProgress>().empty() && fixture.messagesOf<RunFinished>().empty());
        int dropped = 0;
        for (const Observe &observe : fixture.effectsOf<Observe>()) {
            dropped += observe.metric == Metric::DroppedMessagesTotal ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, dropped);
    }

    void startsNothingAfterAPauseUntilAPeerConfirms()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(4);
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SidecarFixture::makeStartRun(runId(number)));
        }
        fixture.clock.advance(3s);
        fixture.clearEffects();
        // After a pause the messages waiting in the socket are read before the tick.
        fixture.receive(SidecarFixture::makeStartRun(runId(4), serial));
        fixture.receive(OpenRequest{RequestId{1, 5}, WorkspaceName{"north"}, 9s});
        fixture.completeRun(runId(1));
        fixture.apply(Tick{});
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
        CPPUNIT_ASSERT(fixture.lastFinished(runId(4)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(4)).reason == Reason::Paused);
        CPPUNIT_ASSERT(fixture.messagesOf<OpenRefused>().at(0).reason == Reason::Paused);
        const std::uint64_t sequence = fixture.messagesOf<Ping>(fixture.entry).at(0).sequence;
        fixture.receive(Pong{sequence});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(3)));
        fixture.receive(SidecarFixture::makeStartRun(runId(6)));
        fixture.completeRun(runId(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(6)));
    }

    void outdatedPongDoesNotEndAPause()
    {
        SidecarFixture fixture;
        fixture.clock.advance(3s);
        fixture.apply(Tick{});
        const std::uint64_t first = fixture.messagesOf<Ping>().at(0).sequence;
        fixture.clock.advance(3s);
        fixture.receive(Pong{first});
        fixture.apply(ConfigChanged{std::make_shared<const Document>(minimalDocument()), 1});
        fixture.apply(ViewChanged{instanceViewOf({"side-1"})});
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void pauseRefusesExpiredRuns()
    {
        SidecarFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SidecarFixture::makeStartRun(runId(number)));
        }
        fixture.clock.advance(20s);
        fixture.apply(Tick{});
        CPPUNIT_ASSERT(fixture.lastFinished(runId(3)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(3)).reason == Reason::DeadlineExceeded);
    }

    void drainFinishesRunsInProgress()
    {
        SidecarFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SidecarFixture::makeStartRun(runId(number)));
        }
        fixture.clearEffects();
        fixture.apply(DrainRequested{"SIGTERM"});
        CPPUNIT_ASSERT(fixture.messagesOf<LoadReport>(fixture.entry).at(0).draining);
        fixture.receive(SidecarFixture::makeStartRun(runId(4)));
        fixture.receive(OpenRequest{RequestId{1, 5}, WorkspaceName{"north"}, 9s});
        CPPUNIT_ASSERT(fixture.lastFinished(runId(4)).reason == Reason::Draining);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(4)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.messagesOf<OpenRefused>().at(0).reason == Reason::Draining);
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.completeRun(runId(number));
        }
        CPPUNIT_ASSERT(fixture.effectsOf<CancelEndpointRun>().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(3)));
        CPPUNIT_ASSERT(fixture.effectsOf<DrainComplete>().empty());
        for (std::uint64_t number = 1; number <= 4; ++number) {
            fixture.receive(RunAcknowledged{runId(number)});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.effectsOf<DrainComplete>().size());
    }

    void drainAcceptsTheRunOfAnOpenedRequest()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.apply(DrainRequested{"SIGTERM"});
        fixture.advanceClock(1400ms);
        CPPUNIT_ASSERT(fixture.effectsOf<DrainComplete>().empty());
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.completeRun(runId(1));
        fixture.receive(RunAcknowledged{runId(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.effectsOf<DrainComplete>().size());
    }

    void drainRefusesRunsAfterTheGracePeriod()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.apply(DrainRequested{"SIGTERM"});
        fixture.advanceClock(1600ms);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).reason == Reason::Draining);
        fixture.receive(SidecarFixture::makeStartRun(runId(1, 2), serial));
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void drainEndsAtItsTimeout()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.apply(DrainRequested{"SIGTERM"});
        fixture.advanceClock(79s);
        CPPUNIT_ASSERT(fixture.effectsOf<DrainComplete>().empty());
        fixture.advanceClock(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.effectsOf<DrainComplete>().size());
    }

    void leavingFlagInInstanceListStartsDrain()
    {
        SidecarFixture fixture;
        InstanceView view = *instanceViewOf({"side-1"});
        view.instances.begin()->second.leaving = true;
        fixture.apply(ViewChanged{std::make_shared<const InstanceView>(view)});
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).reason == Reason::Draining);
        fixture.apply(ViewChanged{instanceViewOf({"side-1"})});
        fixture.receive(SidecarFixture::makeStartRun(runId(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(2)));
        CPPUNIT_ASSERT(fixture.effectsOf<DrainComplete>().empty());
    }

    void olderDocumentIsIgnored()
    {
        SidecarFixture fixture;
        Document newer = minimalDocument();
        newer.version = 3;
        newer.pools[PoolName{"engines"}].concurrency = 1;
        fixture.apply(ConfigChanged{std::make_shared<const Document>(newer), 3});
        fixture.apply(ConfigChanged{std::make_shared<const Document>(minimalDocument()), 1});
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        fixture.receive(SidecarFixture::makeStartRun(runId(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.effectsOf<StartEndpointRun>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarRecoveryTest);
