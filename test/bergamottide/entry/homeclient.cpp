#include "bergamottide/entry/homeclient.h"

#include "entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using bergamottide::test::EntryFixture;

namespace {

constexpr Incarnation homeIncarnation{41};
constexpr Serial homeSerial{5};

RequestState stateOf(const RequestId &request, LedgerState state)
{
    return RequestState{request, homeIncarnation, homeSerial, state, {}};
}

/*! @brief A request of pipeline `order` that is opened at its home and whose first stage has started. */
struct OpenedRequest
{
    OpenedRequest()
    {
        fixture.apply(EntryFixture::submission(1, "order"));
        home = fixture.sent<OpenRequest>().at(0).first;
        fixture.receive(home, RequestOpened{id, homeIncarnation, homeSerial, LedgerState::Opened});
        const auto start = fixture.sent<StartRun>().at(0);
        encoder = start.first;
        encode = start.second.run;
    }

    /*! @brief Completes the first stage, so that the last one starts. */
    void reachLastStage()
    {
        fixture.complete(encoder, encode, "vector");
        commit = fixture.sent<StartRun>().at(0).second;
    }

    EntryFixture fixture;
    RequestId id{1, 1};
    InstanceName home;
    InstanceName encoder;
    RunId encode;
    StartRun commit;
};

} // namespace

class HomeClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HomeClientTest);
    CPPUNIT_TEST(openAtHomeBeforeAnythingStartsAndRunLastStageThere);
    CPPUNIT_TEST(keepFirstSerialAndIgnoreLaterOnes);
    CPPUNIT_TEST(tryAnotherHomeOnlyWithoutSerial);
    CPPUNIT_TEST(keyedRequestStaysAtItsHome);
    CPPUNIT_TEST(reportUnknownWhenRunWithSerialFails);
    CPPUNIT_TEST(sealBeforeReportingIncomplete);
    CPPUNIT_TEST(reportUnknownWithoutConfirmationOfSeal);
    CPPUNIT_TEST(reportNotRunWhenSealedBeforeAnyStage);
    CPPUNIT_TEST(reportUnknownWhenHomeRestartedAfterDispatch);
    CPPUNIT_TEST(repeatLostStartWithSameSerial);
    CPPUNIT_TEST(continueRequestOfDisconnectedCaller);
    CPPUNIT_TEST(refuseDuplicateWithoutTicket);
    CPPUNIT_TEST(resumeWithTicketUnderSameSerial);
    CPPUNIT_TEST(followRunThatAnotherSubmissionStarted);
    CPPUNIT_TEST_SUITE_END();

public:
    void openAtHomeBeforeAnythingStartsAndRunLastStageThere()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1, "order"));
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        const InstanceName home = fixture.sent<OpenRequest>().at(0).first;
        fixture.receive(home, RequestOpened{{1, 1}, homeIncarnation, homeSerial, LedgerState::Opened});
        const auto ticket = fixture.effect<SendTicket>();
        CPPUNIT_ASSERT(ticket && ticket->ticket.serial == homeSerial && ticket->ticket.home == home);
        const auto [encoder, encode] = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT(encode.serial == noSerial);
        fixture.complete(encoder, encode.run, "vector");
        const auto [sidecar, commit] = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT_EQUAL(home, sidecar);
        CPPUNIT_ASSERT(commit.serial == homeSerial && commit.incarnation == homeIncarnation);
        fixture.complete(home, commit.run, "ordered");
        const auto answer = fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer && answer->outcome == Outcome::Completed && answer->ticket == ticket->ticket);
    }

    void keepFirstSerialAndIgnoreLaterOnes()
    {
        OpenedRequest order;
        order.fixture.receive(order.home, RequestOpened{order.id, homeIncarnation, Serial{6}, LedgerState::Opened});
        CPPUNIT_ASSERT(order.fixture.sent<StartRun>().empty());
        order.reachLastStage();
        CPPUNIT_ASSERT(order.commit.serial == homeSerial);
    }

    void tryAnotherHomeOnlyWithoutSerial()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1, "order"));
        const InstanceName first = fixture.sent<OpenRequest>().at(0).first;
        fixture.receive(first, OpenRefused{{1, 1}, Reason::LedgerFull, {}});
        const InstanceName second = fixture.sent<OpenRequest>().at(0).first;
        CPPUNIT_ASSERT(first != second);
        fixture.receive(first, RequestOpened{{1, 1}, homeIncarnation, homeSerial, LedgerState::Opened});
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        fixture.receive(second, RequestOpened{{1, 1}, Incarnation{42}, homeSerial, LedgerState::Opened});
        CPPUNIT_ASSERT_EQUAL(second, fixture.effect<SendTicket>()->ticket.home);
        fixture.apply(PeerDown{second});
        CPPUNIT_ASSERT(fixture.sent<OpenRequest>().empty());
    }

    void keyedRequestStaysAtItsHome()
    {
        EntryFixture fixture;
        CallerSubmitted submitted = EntryFixture::submission(1, "order");
        submitted.hasIdempotencyKey = true;
        fixture.apply(submitted);
        const InstanceName home = fixture.sent<OpenRequest>().at(0).first;
        CPPUNIT_ASSERT(fixture.sent<OpenRequest>().at(0).second.hasIdempotencyKey);
        fixture.receive(home, OpenRefused{{1, 1}, Reason::Warming, std::chrono::seconds{3}});
        CPPUNIT_ASSERT(fixture.sent<OpenRequest>().empty());
        const auto answer = fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer && answer->reason == Reason::Warming && answer->outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(answer->retryAfter == std::chrono::seconds{3});
    }

    void reportUnknownWhenRunWithSerialFails()
    {
        OpenedRequest order;
        order.reachLastStage();
        RunFinished failed = EntryFixture::refused(order.commit.run, Reason::EndpointFailed);
        failed.state = RunState::Failed;
        order.fixture.receive(order.home, failed);
        CPPUNIT_ASSERT(order.fixture.sent<StartRun>().empty());
        CPPUNIT_ASSERT(order.fixture.effect<SendAnswer>()->outcome == Outcome::Unknown);
    }

    void sealBeforeReportingIncomplete()
    {
        OpenedRequest order;
        order.reachLastStage();
        order.fixture.receive(order.home, EntryFixture::refused(order.commit.run, Reason::QueueFull));
        CPPUNIT_ASSERT(!order.fixture.effect<SendAnswer>());
        CPPUNIT_ASSERT(order.fixture.sent<SealRequest>().at(0).second.serial == homeSerial);
        order.fixture.receive(order.home, stateOf(order.id, LedgerState::Sealed));
        const auto answer = order.fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer && answer->outcome == Outcome::Incomplete && answer->reason == Reason::QueueFull);
    }

    void reportUnknownWithoutConfirmationOfSeal()
    {
        OpenedRequest order;
        order.reachLastStage();
        order.fixture.receive(order.home, EntryFixture::refused(order.commit.run, Reason::QueueFull));
        order.fixture.advanceClock(Policy{}.progressTimeout);
        CPPUNIT_ASSERT(order.fixture.effect<SendAnswer>()->outcome == Outcome::Unknown);
    }

    void reportNotRunWhenSealedBeforeAnyStage()
    {
        OpenedRequest order;
        for (int attempt = 0; attempt < 2; ++attempt) {
            order.fixture.receive(order.encoder, EntryFixture::refused(order.encode, Reason::Draining));
            const auto retry = order.fixture.sent<StartRun>();
            if (!retry.empty()) {
                order.encoder = retry.at(0).first;
                order.encode = retry.at(0).second.run;
            }
        }
        order.fixture.receive(order.home, stateOf(order.id, LedgerState::Sealed));
        CPPUNIT_ASSERT(order.fixture.effect<SendAnswer>()->outcome == Outcome::NotRun);
    }

    void reportUnknownWhenHomeRestartedAfterDispatch()
    {
        OpenedRequest order;
        order.reachLastStage();
        order.fixture.receive(order.home, EntryFixture::refused(order.commit.run, Reason::WrongIncarnation));
        CPPUNIT_ASSERT(order.fixture.effect<SendAnswer>()->outcome == Outcome::Unknown);

        OpenedRequest other;
        other.reachLastStage();
        other.fixture.receive(other.home, RequestState{other.id, Incarnation{99}, noSerial, LedgerState::Absent, {}});
        CPPUNIT_ASSERT(other.fixture.effect<SendAnswer>()->outcome == Outcome::Unknown);
    }

    void repeatLostStartWithSameSerial()
    {
        OpenedRequest order;
        order.reachLastStage();
        order.fixture.apply(PeerDown{order.home});
        CPPUNIT_ASSERT(order.fixture.sent<StartRun>().empty());
        order.fixture.apply(PeerUp{order.home});
        CPPUNIT_ASSERT(order.fixture.sent<AttachRequest>().at(0).second.serial == homeSerial);
        order.fixture.receive(order.home, stateOf(order.id, LedgerState::Opened));
        const auto again = order.fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT(again.second.run == order.commit.run && again.second.serial == homeSerial);
    }

    void continueRequestOfDisconnectedCaller()
    {
        OpenedRequest order;
        order.fixture.apply(CallerGone{CallId{1}});
        CPPUNIT_ASSERT(order.fixture.sent<CancelRun>().empty());
        order.reachLastStage();
        order.fixture.complete(order.home, order.commit.run, "ordered");
        CPPUNIT_ASSERT(!order.fixture.effect<SendAnswer>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, order.fixture.entry.inProgress());
    }

    void refuseDuplicateWithoutTicket()
    {
        OpenedRequest order;
        CallerSubmitted again = EntryFixture::submission(1, "order");
        again.call = CallId{2};
        order.fixture.apply(again);
        const auto answer = order.fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer && answer->reason == Reason::DuplicateRequest && answer->outcome == Outcome::Unknown);
        again.ticket = Ticket{order.id, WorkspaceName{"north"}, order.home, homeIncarnation, homeSerial};
        order.fixture.apply(again);
        CPPUNIT_ASSERT(!order.fixture.effect<SendAnswer>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, order.fixture.sent<AttachRequest>().size());
    }

    void resumeWithTicketUnderSameSerial()
    {
        EntryFixture fixture;
        CallerSubmitted again = EntryFixture::submission(3, "order");
        again.ticket = Ticket{{1, 1}, WorkspaceName{"north"}, InstanceName{"gen-2"}, homeIncarnation, homeSerial};
        fixture.apply(again);
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        CPPUNIT_ASSERT_EQUAL(InstanceName{"gen-2"}, fixture.sent<AttachRequest>().at(0).first);
        fixture.receive(InstanceName{"gen-2"}, stateOf({1, 1}, LedgerState::Opened));
        const auto [encoder, encode] = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT(encode.run.request == (RequestId{1, 1}));
        fixture.complete(encoder, encode.run, "vector");
        CPPUNIT_ASSERT(fixture.sent<StartRun>().at(0).second.serial == homeSerial);
    }

    void followRunThatAnotherSubmissionStarted()
    {
        EntryFixture fixture;
        CallerSubmitted submitted = EntryFixture::submission(1, "order");
        submitted.hasIdempotencyKey = true;
        fixture.apply(submitted);
        const InstanceName home = fixture.sent<OpenRequest>().at(0).first;
        fixture.receive(home, RequestOpened{{1, 1}, homeIncarnation, homeSerial, LedgerState::Running});
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        const RunId run{{1, 1}, 1, 1};
        RequestState state = stateOf({1, 1}, LedgerState::Running);
        state.run = run;
        fixture.receive(home, state);
        fixture.complete(home, run, "ordered");
        const auto answer = fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer && answer->outcome == Outcome::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string{"ordered"}, answer->body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeClientTest);
