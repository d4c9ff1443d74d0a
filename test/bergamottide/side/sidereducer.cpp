#include "bergamottide/side/sidereducer.h"

#include "sidefixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

/*! @brief The ordinary life of runs and peers at a side. */
class SideReducerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SideReducerTest);
    CPPUNIT_TEST(runGoesToTheEndpointAndItsResultBack);
    CPPUNIT_TEST(runsBeyondTheConcurrencyWait);
    CPPUNIT_TEST(withoutDocumentEveryRunIsRefused);
    CPPUNIT_TEST(peerGetsHelloAndReports);
    CPPUNIT_TEST(pingIsAnswered);
    CPPUNIT_TEST(queuedRunIsCanceledBeforeItStarts);
    CPPUNIT_TEST(runningRepeatableRunIsCanceledAtTheEndpoint);
    CPPUNIT_TEST(doomedRunCostsNothing);
    CPPUNIT_TEST(queuedRunIsRefusedWhenItBecomesDoomed);
    CPPUNIT_TEST(fullQueueRefusesTheBurstNotTheOthers);
    CPPUNIT_TEST(hugeResultCostsItsOwnRunOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void runGoesToTheEndpointAndItsResultBack()
    {
        SideFixture fixture;
        fixture.receive(SideFixture::start(runId(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(1)));
        fixture.apply(EndpointPiece{runId(1), "ab", 1});
        fixture.apply(EndpointPiece{runId(1), "c", 1});
        fixture.apply(EndpointFinished{runId(1), EndpointResult::Completed, Reason::None});
        std::string result;
        for (const RunProgress &progress : fixture.messages<RunProgress>(fixture.entry)) {
            CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(result.size()), progress.offset);
            result += progress.piece;
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"abc"}, result);
        const RunFinished end = fixture.lastEnd(runId(1));
        CPPUNIT_ASSERT(end.state == RunState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, end.length);
        CPPUNIT_ASSERT_EQUAL(2U, end.tokens);
        fixture.receive(RunAcknowledged{runId(1)});
        fixture.clear();
        fixture.pass(30s);
        CPPUNIT_ASSERT(fixture.messages<RunFinished>().empty());
    }

    void runsBeyondTheConcurrencyWait()
    {
        SideFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SideFixture::start(runId(number)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.all<EndpointStart>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.side().inProgress());
        fixture.complete(runId(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(3)));
    }

    void withoutDocumentEveryRunIsRefused()
    {
        SideReducer side{SideIdentity{InstanceName{"side-1"}}};
        const auto effects =
            side.apply(PeerMessage{InstanceName{"entry-1"}, SideFixture::start(runId(1))}, ManualClock{}.now());
        bool refused = false;
        for (const SideEffect &effect : effects) {
            CPPUNIT_ASSERT(!std::holds_alternative<EndpointStart>(effect));
            const auto *sent = std::get_if<SendMessage>(&effect);
            const auto *end = sent != nullptr ? std::get_if<RunFinished>(&sent->message) : nullptr;
            refused = refused || (end != nullptr && end->state == RunState::NotStarted);
        }
        CPPUNIT_ASSERT(refused);
    }

    void peerGetsHelloAndReports()
    {
        SideFixture fixture;
        fixture.apply(PeerUp{fixture.other});
        const auto hellos = fixture.messages<Hello>(fixture.other);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hellos.size());
        CPPUNIT_ASSERT(hellos.front().incarnation == thisIncarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, hellos.front().configVersion);
        fixture.clear();
        fixture.pass(1s);
        const auto reports = fixture.messages<LoadReport>(fixture.entry);
        CPPUNIT_ASSERT(reports.size() >= 3 && reports.size() <= 5);
        fixture.apply(PeerDown{fixture.entry});
        fixture.clear();
        fixture.pass(1s);
        CPPUNIT_ASSERT(fixture.messages<LoadReport>(fixture.entry).empty());
    }

    void pingIsAnswered()
    {
        SideFixture fixture;
        fixture.receive(Ping{42});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, fixture.messages<Pong>().at(0).sequence);
    }

    void queuedRunIsCanceledBeforeItStarts()
    {
        SideFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SideFixture::start(runId(number)));
        }
        fixture.receive(CancelRun{runId(3)});
        CPPUNIT_ASSERT(fixture.lastEnd(runId(3)).state == RunState::NotStarted);
        fixture.complete(runId(1));
        fixture.complete(runId(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.starts(runId(3)));
    }

    void runningRepeatableRunIsCanceledAtTheEndpoint()
    {
        SideFixture fixture;
        fixture.receive(SideFixture::start(runId(1)));
        fixture.receive(CancelRun{runId(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.all<EndpointCancel>().size());
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.side().inProgress());
    }

    void doomedRunCostsNothing()
    {
        SideFixture fixture;
        StartRun order = SideFixture::start(runId(1));
        order.remaining = 500ms;
        order.cost = 100ms;
        order.following = 401ms;
        fixture.receive(order);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).reason == Reason::DeadlineUnreachable);
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void queuedRunIsRefusedWhenItBecomesDoomed()
    {
        SideFixture fixture;
        fixture.receive(SideFixture::start(runId(1)));
        fixture.receive(SideFixture::start(runId(2)));
        StartRun order = SideFixture::start(runId(3));
        order.remaining = 1s;
        fixture.receive(order);
        fixture.pass(899ms);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(3)).state == RunState::Absent);
        fixture.pass(2ms);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(3)).state == RunState::NotStarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.side().inProgress());
    }

    void fullQueueRefusesTheBurstNotTheOthers()
    {
        Document document = smallDocument();
        document.policy.queueLimit = 8;
        SideFixture fixture{document};
        for (std::uint64_t number = 1; number <= 10; ++number) {
            fixture.receive(SideFixture::start(runId(number)));
        }
        fixture.clear();
        fixture.receive(SideFixture::start(runId(11), noSerial, "south"));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(11)).state == RunState::Absent);
        const auto ends = fixture.messages<RunFinished>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().reason == Reason::QueueFull && ends.front().state == RunState::NotStarted);
        CPPUNIT_ASSERT(ends.front().retryAfter > Duration{});
        fixture.complete(runId(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(11)));
    }

    void hugeResultCostsItsOwnRunOnly()
    {
        Document document = smallDocument();
        document.policy.maxResultBytes = 10;
        SideFixture fixture{document};
        fixture.receive(SideFixture::start(runId(1)));
        fixture.receive(SideFixture::start(runId(2)));
        fixture.apply(EndpointPiece{runId(1), std::string(11, 'x'), 1});
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).reason == Reason::AnswerTooLarge);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.all<EndpointCancel>().size());
        fixture.complete(runId(2));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(2)).state == RunState::Completed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SideReducerTest);
