#include "bergamottide/side/sidereducer.h"

#include "sidefixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

/*! @brief Lost streams, pauses, fences and drains. */
class SideRecoveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SideRecoveryTest);
    CPPUNIT_TEST(queryResendsFromTheOffset);
    CPPUNIT_TEST(queryOfAnUnknownRunIsAbsent);
    CPPUNIT_TEST(endIsRepeatedWithBackoffUntilAcknowledged);
    CPPUNIT_TEST(runInProgressGivesSignsOfLife);
    CPPUNIT_TEST(higherAttemptFencesLower);
    CPPUNIT_TEST(lateRepeatedStartDoesNothing);
    CPPUNIT_TEST(canceledRunThatArrivesLateDoesNotStart);
    CPPUNIT_TEST(mismatchedEndpointEventsAreDropped);
    CPPUNIT_TEST(pausedSideStartsNothingUntilAPeerConfirms);
    CPPUNIT_TEST(oldAnswerToAPingDoesNotEndAPause);
    CPPUNIT_TEST(pauseRefusesWhatBecameLate);
    CPPUNIT_TEST(drainFinishesWhatIsInProgress);
    CPPUNIT_TEST(drainTakesTheRunOfAnOpenedRequest);
    CPPUNIT_TEST(leavingEndpointGetsNoRunTwoSecondsAfterTheFirstSign);
    CPPUNIT_TEST(drainEndsAtItsLimit);
    CPPUNIT_TEST(leavingMarkInTheListDrains);
    CPPUNIT_TEST(olderDocumentIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void queryResendsFromTheOffset()
    {
        SideFixture fixture;
        fixture.receive(SideFixture::start(runId(1)));
        fixture.apply(EndpointPiece{runId(1), "abcdef", 2});
        fixture.apply(PeerDown{fixture.entry});
        fixture.apply(EndpointPiece{runId(1), "gh", 1});
        fixture.apply(PeerUp{fixture.entry});
        fixture.clear();
        fixture.receive(QueryRuns{{{runId(1), 4}}});
        CPPUNIT_ASSERT(fixture.messages<RunStates>().at(0).items.at(0).state == RunState::Running);
        const RunProgress piece = fixture.messages<RunProgress>().at(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, piece.offset);
        CPPUNIT_ASSERT_EQUAL(std::string{"efgh"}, piece.piece);
        fixture.apply(EndpointFinished{runId(1), EndpointResult::Completed, Reason::None});
        fixture.clear();
        fixture.receive(QueryRuns{{{runId(1), 8}}});
        CPPUNIT_ASSERT(fixture.messages<RunProgress>().empty());
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::Completed);
    }

    void queryOfAnUnknownRunIsAbsent()
    {
        SideFixture fixture;
        fixture.receive(QueryRuns{{{runId(9), 0}}});
        const RunStates states = fixture.messages<RunStates>().at(0);
        CPPUNIT_ASSERT(states.incarnation == thisIncarnation);
        CPPUNIT_ASSERT(states.items.at(0).state == RunState::Absent);
    }

    void endIsRepeatedWithBackoffUntilAcknowledged()
    {
        SideFixture fixture;
        fixture.receive(SideFixture::start(runId(1)));
        fixture.complete(runId(1));
        fixture.clear();
        fixture.pass(5s);
        const std::size_t repeated = fixture.messages<RunFinished>().size();
        CPPUNIT_ASSERT(repeated >= 3 && repeated <= 8);
        fixture.receive(RunAcknowledged{runId(1)});
        fixture.clear();
        fixture.pass(5s);
        CPPUNIT_ASSERT(fixture.messages<RunFinished>().empty());
    }

    void runInProgressGivesSignsOfLife()
    {
        SideFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SideFixture::start(runId(number)));
        }
        fixture.clear();
        fixture.pass(1s);
        int queued = 0;
        int running = 0;
        for (const RunProgress &sign : fixture.messages<RunProgress>()) {
            CPPUNIT_ASSERT(sign.piece.empty());
            queued += sign.run == runId(3) && sign.state == RunState::Queued ? 1 : 0;
            running += sign.run == runId(1) && sign.state == RunState::Running ? 1 : 0;
        }
        CPPUNIT_ASSERT(queued >= 4 && running >= 4);
    }

    void higherAttemptFencesLower()
    {
        SideFixture fixture;
        fixture.receive(SideFixture::start(runId(1, 1)));
        fixture.receive(SideFixture::start(runId(1, 2)));
        CPPUNIT_ASSERT(fixture.all<EndpointCancel>().at(0).run == runId(1, 1));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1, 1)).reason == Reason::Fenced);
        fixture.clear();
        fixture.apply(EndpointFinished{runId(1, 1), EndpointResult::Completed, Reason::None});
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1, 1)).state == RunState::Absent);
        fixture.receive(RunAcknowledged{runId(1, 1)});
        fixture.receive(SideFixture::start(runId(1, 1)));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1, 1)).reason == Reason::Fenced);
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void lateRepeatedStartDoesNothing()
    {
        SideFixture fixture;
        StartRun order = SideFixture::start(runId(1));
        order.following = 20s;
        fixture.receive(order);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::NotStarted);
        fixture.receive(RunAcknowledged{runId(1)});
        fixture.pass(3s);
        fixture.receive(SideFixture::start(runId(1)));
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void canceledRunThatArrivesLateDoesNotStart()
    {
        SideFixture fixture;
        fixture.receive(CancelRun{runId(1)});
        CPPUNIT_ASSERT(fixture.messages<RunStates>().at(0).items.at(0).state == RunState::Absent);
        fixture.receive(SideFixture::start(runId(1)));
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void mismatchedEndpointEventsAreDropped()
    {
        SideFixture fixture;
        fixture.receive(SideFixture::start(runId(1)));
        fixture.clear();
        fixture.apply(EndpointPiece{runId(2), "x", 1});
        fixture.apply(EndpointFinished{runId(2), EndpointResult::Completed, Reason::None});
        CPPUNIT_ASSERT(fixture.messages<RunProgress>().empty() && fixture.messages<RunFinished>().empty());
        int dropped = 0;
        for (const Observe &observe : fixture.all<Observe>()) {
            dropped += observe.metric == Metric::DroppedMessagesTotal ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, dropped);
    }

    void pausedSideStartsNothingUntilAPeerConfirms()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(4);
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SideFixture::start(runId(number)));
        }
        fixture.clock.advance(3s);
        fixture.clear();
        // What waited in the socket comes first, then the tick.
        fixture.receive(SideFixture::start(runId(4), serial));
        fixture.receive(OpenRequest{RequestId{1, 5}, WorkspaceName{"north"}, 9s});
        fixture.complete(runId(1));
        fixture.apply(Tick{});
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
        CPPUNIT_ASSERT(fixture.lastEnd(runId(4)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(4)).reason == Reason::Paused);
        CPPUNIT_ASSERT(fixture.messages<OpenRefused>().at(0).reason == Reason::Paused);
        const std::uint64_t sequence = fixture.messages<Ping>(fixture.entry).at(0).sequence;
        fixture.receive(Pong{sequence});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(3)));
        fixture.receive(SideFixture::start(runId(6)));
        fixture.complete(runId(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(6)));
    }

    void oldAnswerToAPingDoesNotEndAPause()
    {
        SideFixture fixture;
        fixture.clock.advance(3s);
        fixture.apply(Tick{});
        const std::uint64_t first = fixture.messages<Ping>().at(0).sequence;
        fixture.clock.advance(3s);
        fixture.receive(Pong{first});
        fixture.apply(ConfigChanged{std::make_shared<const Document>(smallDocument()), 1});
        fixture.apply(ViewChanged{viewOf({"side-1"})});
        fixture.receive(SideFixture::start(runId(1)));
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void pauseRefusesWhatBecameLate()
    {
        SideFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SideFixture::start(runId(number)));
        }
        fixture.clock.advance(20s);
        fixture.apply(Tick{});
        CPPUNIT_ASSERT(fixture.lastEnd(runId(3)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(3)).reason == Reason::DeadlineExceeded);
    }

    void drainFinishesWhatIsInProgress()
    {
        SideFixture fixture;
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.receive(SideFixture::start(runId(number)));
        }
        fixture.clear();
        fixture.apply(DrainRequested{"SIGTERM"});
        CPPUNIT_ASSERT(fixture.messages<LoadReport>(fixture.entry).at(0).draining);
        fixture.receive(SideFixture::start(runId(4)));
        fixture.receive(OpenRequest{RequestId{1, 5}, WorkspaceName{"north"}, 9s});
        CPPUNIT_ASSERT(fixture.lastEnd(runId(4)).reason == Reason::Draining);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(4)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.messages<OpenRefused>().at(0).reason == Reason::Draining);
        for (std::uint64_t number = 1; number <= 3; ++number) {
            fixture.complete(runId(number));
        }
        CPPUNIT_ASSERT(fixture.all<EndpointCancel>().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(3)));
        CPPUNIT_ASSERT(fixture.all<DrainComplete>().empty());
        for (std::uint64_t number = 1; number <= 4; ++number) {
            fixture.receive(RunAcknowledged{runId(number)});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.all<DrainComplete>().size());
    }

    void drainTakesTheRunOfAnOpenedRequest()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.apply(DrainRequested{"SIGTERM"});
        fixture.pass(1400ms);
        CPPUNIT_ASSERT(fixture.all<DrainComplete>().empty());
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.complete(runId(1));
        fixture.receive(RunAcknowledged{runId(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.all<DrainComplete>().size());
    }

    void leavingEndpointGetsNoRunTwoSecondsAfterTheFirstSign()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.apply(DrainRequested{"SIGTERM"});
        fixture.pass(1600ms);
        fixture.receive(SideFixture::start(runId(1), serial));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).state == RunState::NotStarted);
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).reason == Reason::Draining);
        fixture.receive(SideFixture::start(runId(1, 2), serial));
        CPPUNIT_ASSERT(fixture.all<EndpointStart>().empty());
    }

    void drainEndsAtItsLimit()
    {
        SideFixture fixture;
        const Serial serial = fixture.open(1);
        fixture.receive(SideFixture::start(runId(1), serial));
        fixture.apply(DrainRequested{"SIGTERM"});
        fixture.pass(79s);
        CPPUNIT_ASSERT(fixture.all<DrainComplete>().empty());
        fixture.pass(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.all<DrainComplete>().size());
    }

    void leavingMarkInTheListDrains()
    {
        SideFixture fixture;
        InstanceView view = *viewOf({"side-1"});
        view.instances.begin()->second.leaving = true;
        fixture.apply(ViewChanged{std::make_shared<const InstanceView>(view)});
        fixture.receive(SideFixture::start(runId(1)));
        CPPUNIT_ASSERT(fixture.lastEnd(runId(1)).reason == Reason::Draining);
        fixture.apply(ViewChanged{viewOf({"side-1"})});
        fixture.receive(SideFixture::start(runId(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.starts(runId(2)));
        CPPUNIT_ASSERT(fixture.all<DrainComplete>().empty());
    }

    void olderDocumentIsIgnored()
    {
        SideFixture fixture;
        Document newer = smallDocument();
        newer.version = 3;
        newer.pools[PoolName{"engines"}].concurrency = 1;
        fixture.apply(ConfigChanged{std::make_shared<const Document>(newer), 3});
        fixture.apply(ConfigChanged{std::make_shared<const Document>(smallDocument()), 1});
        fixture.receive(SideFixture::start(runId(1)));
        fixture.receive(SideFixture::start(runId(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.all<EndpointStart>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SideRecoveryTest);
