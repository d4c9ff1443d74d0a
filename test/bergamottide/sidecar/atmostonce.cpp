#include "bergamottide/sidecar/sidecarreducer.h"

#include "sidecarfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

/*! @brief A run with a serial starts at most once, and its reported state is never wrong. */
class AtMostOnceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AtMostOnceTest);
    CPPUNIT_TEST(repeatedStartRunsOnce);
    CPPUNIT_TEST(secondDriverSubscribesToTheFirstRun);
    CPPUNIT_TEST(startWithOtherIncarnationIsRefused);
    CPPUNIT_TEST(startWithUnknownSerialIsRefused);
    CPPUNIT_TEST(expiredSerialIsUnknown);
    CPPUNIT_TEST(refusedRunStaysRefused);
    CPPUNIT_TEST(sealedRequestNeverRuns);
    CPPUNIT_TEST(sealRemovesAQueuedRun);
    CPPUNIT_TEST(sealOfARunningRequestReturnsItsState);
    CPPUNIT_TEST(openedRecordIsSealedAfterItsDeadline);
    CPPUNIT_TEST(lostDriverDoesNotCancelTheRun);
    CPPUNIT_TEST(cancelDoesNotStopARunningRun);
    CPPUNIT_TEST(resultIsRetainedAfterAcknowledgement);
    CPPUNIT_TEST(attachedProcessIsNotifiedOfALaterStart);
    CPPUNIT_TEST(lostDriverSealsAnOpenedRequestWithWaitingPeer);
    CPPUNIT_TEST(newDriverTakesOverAnOpenedRequest);
    CPPUNIT_TEST(endpointRefusalIsFinal);
    CPPUNIT_TEST(endpointFailureIsUnknown);
    CPPUNIT_TEST(fullLedgerRefusesToOpen);
    CPPUNIT_TEST(keyedOpenIsRefusedDuringWarmup);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatedStartRunsOnce()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        const StartRun message = SidecarFixture::makeStartRun(runId(1), serial);
        fixture.receive(message);
        fixture.receive(message);
        fixture.completeRun(runId(1));
        fixture.receive(message);
        fixture.advanceClock(10s);
        fixture.receive(message, fixture.otherEntry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(1)));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::Completed);
    }

    void secondDriverSubscribesToTheFirstRun()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(1, 1), serial));
        fixture.apply(PeerUp{fixture.otherEntry});
        fixture.receive(SidecarFixture::makeStartRun(runId(1, 2), serial), fixture.otherEntry);
        const auto states = fixture.messagesOf<RequestState>(fixture.otherEntry);
        CPPUNIT_ASSERT(states.size() == 1 && states[0].state == LedgerState::Running);
        CPPUNIT_ASSERT(states[0].run == runId(1, 1));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1, 2)).state == RunState::Absent);
        fixture.clearEffects();
        fixture.completeRun(runId(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.messagesOf<RunFinished>(fixture.otherEntry).size());
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void startWithOtherIncarnationIsRefused()
    {
        SidecarFixture fixture;
        StartRun message = SidecarFixture::makeStartRun(runId(1), fixture.openRequest(1));
        message.incarnation = Incarnation{6};
        fixture.receive(message);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).reason == Reason::WrongIncarnation);
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void startWithUnknownSerialIsRefused()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(2), serial));
        fixture.receive(SidecarFixture::makeStartRun(runId(3), Serial{77}));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(3)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(3)).reason == Reason::UnknownTicket);
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void expiredSerialIsUnknown()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.completeRun(runId(1));
        fixture.advanceClock(120s);
        fixture.clearEffects();
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::Unknown);
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void refusedRunStaysRefused()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        StartRun message = SidecarFixture::makeStartRun(runId(1), serial);
        message.laterStagesCost = 20s;
        fixture.receive(message);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::NotStarted);
        fixture.receive(RunAcknowledged{runId(1)});
        for (const std::uint32_t attempt : {1U, 2U}) {
            fixture.receive(SidecarFixture::makeStartRun(runId(1, attempt), serial));
            fixture.advanceClock(5s);
        }
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void sealedRequestNeverRuns()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SealRequest{RequestId{1, 1}, testIncarnation, serial}, fixture.otherEntry);
        CPPUNIT_ASSERT(fixture.messagesOf<RequestState>().at(0).state == LedgerState::Sealed);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).reason == Reason::Sealed);
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void sealRemovesAQueuedRun()
    {
        SidecarFixture fixture;
        fixture.receive(SidecarFixture::makeStartRun(runId(1)));
        fixture.receive(SidecarFixture::makeStartRun(runId(2)));
        const Serial serial = fixture.openRequest(3);
        fixture.receive(SidecarFixture::makeStartRun(runId(3), serial));
        fixture.receive(SealRequest{RequestId{1, 3}, testIncarnation, serial}, fixture.otherEntry);
        CPPUNIT_ASSERT(fixture.messagesOf<RequestState>(fixture.otherEntry).at(0).state == LedgerState::Sealed);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(3)).state == RunState::NotStarted);
        fixture.completeRun(runId(1));
        fixture.completeRun(runId(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.startCount(runId(3)));
    }

    void sealOfARunningRequestReturnsItsState()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.receive(SealRequest{RequestId{1, 1}, testIncarnation, serial}, fixture.otherEntry);
        const RequestState state = fixture.messagesOf<RequestState>(fixture.otherEntry).at(0);
        CPPUNIT_ASSERT(state.state == LedgerState::Running && state.run == runId(1));
        fixture.completeRun(runId(1));
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::Completed);
    }

    void openedRecordIsSealedAfterItsDeadline()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1, 2s);
        fixture.receive(AttachRequest{RequestId{1, 1}, testIncarnation, serial}, fixture.otherEntry);
        fixture.clearEffects();
        fixture.advanceClock(2100ms);
        CPPUNIT_ASSERT(fixture.messagesOf<RequestState>(fixture.otherEntry).at(0).state == LedgerState::Sealed);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void lostDriverDoesNotCancelTheRun()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.receive(SidecarFixture::makeStartRun(runId(2)));
        fixture.apply(PeerDown{fixture.entry});
        fixture.advanceClock(10s);
        const auto cancels = fixture.effectsOf<CancelEndpointRun>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancels.size());
        CPPUNIT_ASSERT(cancels.front().run == runId(2));
        fixture.completeRun(runId(1), "kept");
        fixture.apply(PeerUp{fixture.otherEntry});
        fixture.receive(AttachRequest{RequestId{1, 1}, testIncarnation, serial, 2}, fixture.otherEntry);
        const auto pieces = fixture.messagesOf<RunProgress>(fixture.otherEntry);
        CPPUNIT_ASSERT(pieces.size() == 1 && pieces[0].offset == 2 && pieces[0].piece == "pt");
        CPPUNIT_ASSERT(fixture.messagesOf<RunFinished>(fixture.otherEntry).at(0).state == RunState::Completed);
    }

    void cancelDoesNotStopARunningRun()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.receive(CancelRun{runId(1), serial});
        CPPUNIT_ASSERT(fixture.effectsOf<CancelEndpointRun>().empty());
        CPPUNIT_ASSERT(fixture.messagesOf<RunStates>().at(0).items.at(0).state == RunState::Running);
        const Serial second = fixture.openRequest(2);
        fixture.receive(CancelRun{runId(2), second});
        CPPUNIT_ASSERT(fixture.lastFinished(runId(2)).state == RunState::NotStarted);
        fixture.receive(SidecarFixture::makeStartRun(runId(2), second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.startCount(runId(2)));
    }

    void resultIsRetainedAfterAcknowledgement()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.completeRun(runId(1), "answer");
        fixture.receive(RunAcknowledged{runId(1)});
        fixture.clearEffects();
        fixture.advanceClock(10s);
        CPPUNIT_ASSERT(fixture.messagesOf<RunFinished>().empty());
        fixture.receive(AttachRequest{RequestId{1, 1}, testIncarnation, serial}, fixture.otherEntry);
        CPPUNIT_ASSERT_EQUAL(std::string{"answer"}, fixture.messagesOf<RunProgress>(fixture.otherEntry).at(0).piece);
    }

    void attachedProcessIsNotifiedOfALaterStart()
    {
        SidecarFixture fixture;
        fixture.apply(PeerUp{fixture.otherEntry});
        const Serial serial = fixture.openRequest(1);
        fixture.receive(AttachRequest{RequestId{1, 1}, testIncarnation, serial}, fixture.otherEntry);
        CPPUNIT_ASSERT(fixture.messagesOf<RequestState>(fixture.otherEntry).at(0).state == LedgerState::Opened);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.completeRun(runId(1));
        CPPUNIT_ASSERT(fixture.messagesOf<RequestState>(fixture.otherEntry).at(1).run == runId(1));
        CPPUNIT_ASSERT(fixture.messagesOf<RunFinished>(fixture.otherEntry).at(0).state == RunState::Completed);
    }

    void lostDriverSealsAnOpenedRequestWithWaitingPeer()
    {
        SidecarFixture fixture;
        fixture.apply(PeerUp{fixture.otherEntry});
        const Serial serial = fixture.openRequest(1);
        fixture.receive(AttachRequest{RequestId{1, 1}, testIncarnation, serial}, fixture.otherEntry);
        fixture.advanceClock(4s);
        fixture.clearEffects();
        fixture.apply(PeerDown{fixture.entry});
        fixture.advanceClock(2900ms);
        CPPUNIT_ASSERT(fixture.messagesOf<RequestState>(fixture.otherEntry).empty());
        fixture.advanceClock(700ms);
        CPPUNIT_ASSERT(fixture.messagesOf<RequestState>(fixture.otherEntry).at(0).state == LedgerState::Sealed);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        CPPUNIT_ASSERT(fixture.effectsOf<StartEndpointRun>().empty());
    }

    void newDriverTakesOverAnOpenedRequest()
    {
        SidecarFixture fixture;
        fixture.apply(PeerUp{fixture.otherEntry});
        const Serial serial = fixture.openRequest(1);
        fixture.apply(PeerDown{fixture.entry});
        fixture.receive(OpenRequest{RequestId{1, 1}, WorkspaceName{"north"}, 9s}, fixture.otherEntry);
        fixture.receive(AttachRequest{RequestId{1, 1}, testIncarnation, serial}, fixture.otherEntry);
        fixture.advanceClock(5s);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial), fixture.otherEntry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.startCount(runId(1)));
    }

    void endpointRefusalIsFinal()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.apply(EndpointRunEnded{runId(1), EndpointResult::Refused, Reason::Overloaded});
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::NotStarted);
        fixture.receive(SidecarFixture::makeStartRun(runId(1, 2), serial));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.effectsOf<StartEndpointRun>().size());
        const Serial second = fixture.openRequest(2);
        fixture.receive(SidecarFixture::makeStartRun(runId(2), second));
        fixture.apply(EndpointResultPiece{runId(2), "x", 1});
        fixture.apply(EndpointRunEnded{runId(2), EndpointResult::Refused, Reason::Overloaded});
        CPPUNIT_ASSERT(fixture.lastFinished(runId(2)).state == RunState::Unknown);
    }

    void endpointFailureIsUnknown()
    {
        SidecarFixture fixture;
        const Serial serial = fixture.openRequest(1);
        fixture.receive(SidecarFixture::makeStartRun(runId(1), serial));
        fixture.receive(SidecarFixture::makeStartRun(runId(2)));
        fixture.apply(EndpointRunEnded{runId(1), EndpointResult::Failed, Reason::EndpointFailed});
        fixture.apply(EndpointRunEnded{runId(2), EndpointResult::Failed, Reason::EndpointFailed});
        CPPUNIT_ASSERT(fixture.lastFinished(runId(1)).state == RunState::Unknown);
        CPPUNIT_ASSERT(fixture.lastFinished(runId(2)).state == RunState::Failed);
    }

    void fullLedgerRefusesToOpen()
    {
        Document document = minimalDocument();
        document.policy.ledgerLimit = 1;
        SidecarFixture fixture{document};
        CPPUNIT_ASSERT(fixture.openRequest(1) != noSerial);
        CPPUNIT_ASSERT(fixture.openRequest(2) == noSerial);
        CPPUNIT_ASSERT(fixture.messagesOf<OpenRefused>().at(0).reason == Reason::LedgerFull);
        fixture.advanceClock(40s);
        CPPUNIT_ASSERT(fixture.openRequest(2) != noSerial);
    }

    void keyedOpenIsRefusedDuringWarmup()
    {
        SidecarFixture fixture;
        CPPUNIT_ASSERT(fixture.openRequest(1, 9s, true) == noSerial);
        CPPUNIT_ASSERT(fixture.messagesOf<OpenRefused>().at(0).reason == Reason::Warming);
        fixture.advanceClock(fixture.messagesOf<OpenRefused>().at(0).retryAfter);
        CPPUNIT_ASSERT(fixture.openRequest(1, 9s, true) != noSerial);
        fixture.apply(ViewChanged{instanceViewOf({"side-2"})});
        CPPUNIT_ASSERT(fixture.openRequest(2, 9s, true) == noSerial);
        CPPUNIT_ASSERT(fixture.messagesOf<OpenRefused>().back().reason == Reason::StaleView);
        CPPUNIT_ASSERT(fixture.openRequest(3) != noSerial);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);
