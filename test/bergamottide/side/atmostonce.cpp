#include "bergamottide/side/sidereducer.h"

#include "sidefixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

/*! @brief A run with a serial happens at most once, and what is said of it is true. */
class AtMostOnceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AtMostOnceTest);
    CPPUNIT_TEST(repeatedStartRunsOnce);
    CPPUNIT_TEST(secondDriverFollowsTheFirstRun);
    CPPUNIT_TEST(startOfAnotherIncarnationIsRefused);
    CPPUNIT_TEST(startWithUnknownSerialIsRefused);
    CPPUNIT_TEST(forgottenSerialIsUnknownNotRefused);
    CPPUNIT_TEST(refusedRunStaysRefused);
    CPPUNIT_TEST(sealedRequestNeverRuns);
    CPPUNIT_TEST(sealTakesAQueuedRunBack);
    CPPUNIT_TEST(sealOfARunningRequestTellsSo);
    CPPUNIT_TEST(openedRecordIsSealedAfterItsDeadline);
    CPPUNIT_TEST(lostDriverDoesNotCutTheRunOff);
    CPPUNIT_TEST(cancelDoesNotCutARunningRunOff);
    CPPUNIT_TEST(resultOutlivesItsAcknowledgement);
    CPPUNIT_TEST(attachedProcessHearsOfTheLaterStart);
    CPPUNIT_TEST(lostDriverOfAnOpenedRequestSealsItForTheOneWhoWaits);
    CPPUNIT_TEST(nextDriverTakesAnOpenedRequestOver);
    CPPUNIT_TEST(endpointRefusalIsNotStartedAndFinal);
    CPPUNIT_TEST(endpointFailureIsUnknown);
    CPPUNIT_TEST(fullLedgerRefusesToOpen);
    CPPUNIT_TEST(keyedOpenIsRefusedWhileWarming);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatedStartRunsOnce()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        const StartRun order = SideFixture::start(runId(1), serial);
        fixture.receive(order);
        fixture.receive(order);
        fixture.complete(runId(1));
        fixture.receive(order);
        fixture.pass(10s);
        fixture.receive(order, fixture.other);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(1)));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::Completed);
    }

    void secondDriverFollowsTheFirstRun()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(1, 1), serial));
        fixture.apply(PeerUp{fixture.other});
        fixture.receive(SideFixture::start(runId(1, 2), serial), fixture.other);
        const auto states = fixture.messages<RequestState>(fixture.other);
        CPPUNIT_ASSERT(states.size() == 1 && states[0].state == LedgerState::Running);
        CPPUNIT_ASSERT(states[0].run == runId(1, 1));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1, 2)).state == RunState::Absent);
        fixture.clear();
        fixture.complete(runId(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.messages<RunFinished>(fixture.other).size());
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void startOfAnotherIncarnationIsRefused()
    {
        SideFixture fixture;
        StartRun order = SideFixture::start(runId(1), fixture.open(1));
        order.incarnation = Incarnation{6};
        fixture.receive(order);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).reason == Reason::WrongIncarnation);
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void startWithUnknownSerialIsRefused()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(2), serial));
        fixture.receive(SideFixture::start(runId(3), Serial{77}));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(3)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(3)).reason == Reason::UnknownTicket);
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void forgottenSerialIsUnknownNotRefused()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.complete(runId(1));
        fixture.pass(120s);
        fixture.clear();
        fixture.receive(SideFixture::start(runId(1), serial));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::Unknown);
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void refusedRunStaysRefused()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        StartRun order = SideFixture::start(runId(1), serial);
        order.following = 20s;
        fixture.receive(order);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::NotStarted);
        fixture.receive(RunAcknowledged{runId(1)});
        for (const std::uint32_t attempt : {1U, 2U}) {
            fixture.receive(SideFixture::start(runId(1, attempt), serial));
            fixture.pass(5s);
        }
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void sealedRequestNeverRuns()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SealRequest{RequestId{1, 1}, thisIncarnation, serial}, fixture.other);
        CPPUNIT_ASSERT(fixture.messages<RequestState>().at(0).state == LedgerState::Sealed);
        fixture.receive(SideFixture::start(runId(1), serial));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).reason == Reason::Sealed);
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void sealTakesAQueuedRunBack()
    {
        SideFixture fixture;
        fixture.receive(SideFixture::start(runId(1)));
        fixture.receive(SideFixture::start(runId(2)));
        const Serial serial = fixture.open(3);
        fixture.receive(SideFixture::start(runId(3), serial));
        fixture.receive(SealRequest{RequestId{1, 3}, thisIncarnation, serial}, fixture.other);
        CPPUNIT_ASSERT(fixture.messages<RequestState>(fixture.other).at(0).state == LedgerState::Sealed);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(3)).state == RunState::NotStarted);
        fixture.complete(runId(1));
        fixture.complete(runId(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.starts(runId(3)));
    }

    void sealOfARunningRequestTellsSo()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.receive(SealRequest{RequestId{1, 1}, thisIncarnation, serial}, fixture.other);
        const RequestState state = fixture.messages<RequestState>(fixture.other).at(0);
        CPPUNIT_ASSERT(state.state == LedgerState::Running && state.run == runId(1));
        fixture.complete(runId(1));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::Completed);
    }

    void openedRecordIsSealedAfterItsDeadline()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1, 2s);
        fixture.receive(AttachRequest{RequestId{1, 1}, thisIncarnation, serial}, fixture.other);
        fixture.clear();
        fixture.pass(2100ms);
        CPPUNIT_ASSERT(fixture.messages<RequestState>(fixture.other).at(0).state == LedgerState::Sealed);
        fixture.receive(SideFixture::start(runId(1), serial));
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void lostDriverDoesNotCutTheRunOff()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.receive(SideFixture::start(runId(2)));
        fixture.apply(PeerDown{fixture.entry});
        fixture.pass(10s);
        const auto cancels = fixture.all<EndpointCancel>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancels.size());
        CPPUNIT_ASSERT(cancels.front().run == runId(2));
        fixture.complete(runId(1), "kept");
        fixture.apply(PeerUp{fixture.other});
        fixture.receive(AttachRequest{RequestId{1, 1}, thisIncarnation, serial, 2}, fixture.other);
        const auto pieces = fixture.messages<RunProgress>(fixture.other);
        CPPUNIT_ASSERT(pieces.size() == 1 && pieces[0].offset == 2 && pieces[0].piece == "pt");
        CPPUNIT_ASSERT(fixture.messages<RunFinished>(fixture.other).at(0).state == RunState::Completed);
    }

    void cancelDoesNotCutARunningRunOff()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.receive(CancelRun{runId(1), serial});
        CPPUNIT_ASSERT(fixture.all<EndpointCancel>().empty());
        CPPUNIT_ASSERT(fixture.messages<RunStates>().at(0).items.at(0).state == RunState::Running);
        const Serial second = fixture.open(2);
        fixture.receive(CancelRun{runId(2), second});
        CPPUNIT_ASSERT(fixture.lastEnd(runId(2)).state == RunState::NotStarted);
        fixture.receive(SideFixture::start(runId(2), second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.starts(runId(2)));
    }

    void resultOutlivesItsAcknowledgement()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.complete(runId(1), "answer");
        fixture.receive(RunAcknowledged{runId(1)});
        fixture.clear();
        fixture.pass(10s);
        CPPUNIT_ASSERT(fixture.messages<RunFinished>().empty());
        fixture.receive(AttachRequest{RequestId{1, 1}, thisIncarnation, serial}, fixture.other);
        CPPUNIT_ASSERT_EQUAL(std::string{"answer"}, fixture.messages<RunProgress>(fixture.other).at(0).piece);
    }

    void attachedProcessHearsOfTheLaterStart()
    {
        SideFixture fixture;
        fixture.apply(PeerUp{fixture.other});
        const Serial serial = fixture.open(1);
        fixture.receive(AttachRequest{RequestId{1, 1}, thisIncarnation, serial}, fixture.other);
        CPPUNIT_ASSERT(fixture.messages<RequestState>(fixture.other).at(0).state == LedgerState::Opened);
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.complete(runId(1));
        CPPUNIT_ASSERT(fixture.messages<RequestState>(fixture.other).at(1).run == runId(1));
        CPPUNIT_ASSERT(fixture.messages<RunFinished>(fixture.other).at(0).state == RunState::Completed);
    }

    void lostDriverOfAnOpenedRequestSealsItForTheOneWhoWaits()
    {
        SideFixture fixture;
        fixture.apply(PeerUp{fixture.other});
        const Serial serial = fixture.open(1);
        fixture.receive(AttachRequest{RequestId{1, 1}, thisIncarnation, serial}, fixture.other);
        fixture.pass(4s);
        fixture.clear();
        fixture.apply(PeerDown{fixture.entry});
        fixture.pass(2900ms);
        CPPUNIT_ASSERT(fixture.messages<RequestState>(fixture.other).empty());
        fixture.pass(700ms);
        CPPUNIT_ASSERT(fixture.messages<RequestState>(fixture.other).at(0).state == LedgerState::Sealed);
        fixture.receive(SideFixture::start(runId(1), serial));
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void nextDriverTakesAnOpenedRequestOver()
    {
        SideFixture fixture;
        fixture.apply(PeerUp{fixture.other});
        const Serial serial = fixture.open(1);
        fixture.apply(PeerDown{fixture.entry});
        fixture.receive(OpenRequest{RequestId{1, 1}, WorkspaceName{"north"}, 9s}, fixture.other);
        fixture.receive(AttachRequest{RequestId{1, 1}, thisIncarnation, serial}, fixture.other);
        fixture.pass(5s);
        fixture.receive(SideFixture::start(runId(1), serial), fixture.other);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(1)));
    }

    void endpointRefusalIsNotStartedAndFinal()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.apply(EndpointFinished{runId(1), EndpointResult::Refused, Reason::Overloaded});
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::NotStarted);
        fixture.receive(SideFixture::start(runId(1, 2), serial));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.all<EndpointStart>().size());
        const Serial second = fixture.open(2);
        fixture.receive(SideFixture::start(runId(2), second));
        fixture.apply(EndpointPiece{runId(2), "x", 1});
        fixture.apply(EndpointFinished{runId(2), EndpointResult::Refused, Reason::Overloaded});
        CPPUNIT_ASSERT(fixture.lastEnd(runId(2)).state == RunState::Unknown);
    }

    void endpointFailureIsUnknown()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.receive(SideFixture::start(runId(2)));
        fixture.apply(EndpointFinished{runId(1), EndpointResult::Failed, Reason::EndpointFailed});
        fixture.apply(EndpointFinished{runId(2), EndpointResult::Failed, Reason::EndpointFailed});
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::Unknown);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(2)).state == RunState::Failed);
    }

    void fullLedgerRefusesToOpen()
    {
        Document document = smallDocument();
        document.policy.ledgerLimit = 1;
        SideFixture fixture{document};
        CPPUNIT_ASSERT(fixture.open(1) != noSerial);
        CPPUNIT_ASSERT(fixture.open(2) == noSerial);
        CPPUNIT_ASSERT(fixture.messages<OpenRefused>().at(0).reason == Reason::LedgerFull);
        fixture.pass(40s);
        CPPUNIT_ASSERT(fixture.open(2) != noSerial);
    }

    void keyedOpenIsRefusedWhileWarming()
    {
        SideFixture fixture;
        CPPUNIT_ASSERT(fixture.open(1, 9s, true) == noSerial);
        CPPUNIT_ASSERT(fixture.messages<OpenRefused>().at(0).reason == Reason::Warming);
        fixture.pass(fixture.messages<OpenRefused>().at(0).retryAfter);
        CPPUNIT_ASSERT(fixture.open(1, 9s, true) != noSerial);
        fixture.apply(ViewChanged{viewOf({"side-2"})});
        CPPUNIT_ASSERT(fixture.open(2, 9s, true) == noSerial);
        CPPUNIT_ASSERT(fixture.messages<OpenRefused>().back().reason == Reason::StaleView);
        CPPUNIT_ASSERT(fixture.open(3) != noSerial);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);
