#include "peerfleet.h"
#include "servingfixture.h"

#include "bergamottide/gossip/peers.h"
#include "bergamottide/pools/endpointdirectory.h"
#include "bergamottide/pools/endpointregistry.h"
#include "bergamottide/streams/eventsplitter.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;
using Fleet = bergamottide::test::PeerFleet;

/*! @brief Membership, queue ownership and delegated tasks; also EndpointDirectory and EventSplitter. */
class ServingPeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingPeersTest);
    CPPUNIT_TEST(processesWithSamePeersAgreeOnQueueOwner);
    CPPUNIT_TEST(silentPeerIsNotLive);
    CPPUNIT_TEST(drainingPeerTakesNoWorkButIsLive);
    CPPUNIT_TEST(addressesAreLearntFromRoster);
    CPPUNIT_TEST(addressOfRemovedPeerIsNotProbed);
    CPPUNIT_TEST(peerWithoutConfigurationOwnsNoQueue);
    CPPUNIT_TEST(processWithoutConfigurationReturnsTasks);
    CPPUNIT_TEST(drainingProcessHandsOverItsQueue);
    CPPUNIT_TEST(queueIsHandedOverToNewOwner);
    CPPUNIT_TEST(taskReturnedByFormerOwnerDoesNotMarkItDead);
    CPPUNIT_TEST(taskListsResultsComputedForFormerOwner);
    CPPUNIT_TEST(upcomingWorkIsReported);
    CPPUNIT_TEST(taskOfFailedOwnerRunsLocally);
    CPPUNIT_TEST(resultsOfAbandonedPeerTaskAreFreed);
    CPPUNIT_TEST(endpointMissingAfterListOutageIsKeptForGracePeriod);
    CPPUNIT_TEST(removalAfterGracePeriodTakesEffectAtOnce);
    CPPUNIT_TEST(drainingEndpointHasNoGracePeriod);
    CPPUNIT_TEST(removalWithoutOutageTakesEffectAtOnce);
    CPPUNIT_TEST(restartedEndpointNoLongerDrains);
    CPPUNIT_TEST(invalidEndpointEntryHasNoGracePeriod);
    CPPUNIT_TEST(restartedEndpointIsReset);
    CPPUNIT_TEST(splitterBuffersIncompleteEvents);
    CPPUNIT_TEST(splitterDropsForwardedEventsAndDetectsGaps);
    CPPUNIT_TEST(strongestProcessesAreRelaysAndOwnQueues);
    CPPUNIT_TEST(heartbeatRatePerProcessIsBounded);
    CPPUNIT_TEST(fleetOfAnySizeAgreesOnOwners);
    CPPUNIT_TEST(forwardedEngineReportsAreBounded);
    CPPUNIT_TEST(failedOwnerIsReplacedEverywhere);
    CPPUNIT_TEST(fleetAgreesOnOwnersAfterRollingRestart);
    CPPUNIT_TEST(unreachableOwnerIsRetried);
    CPPUNIT_TEST_SUITE_END();

public:
    void processesWithSamePeersAgreeOnQueueOwner()
    {
        Peers one{{InstanceName{"a"}, "a:1"}, 1, {}};
        Peers other{{InstanceName{"b"}, "b:1"}, 1, {}};
        one.setCanOwnQueues(true);
        other.setCanOwnQueues(true);
        one.handleHeartbeat(heartbeat("b"), m_now);
        other.handleHeartbeat(heartbeat("a"), m_now);
        for (const char *pool : {"p1", "p2", "p3", "p4"}) {
            const bool oneKeeps = !one.queueOwner(PoolName{pool}, m_now);
            const bool otherKeeps = !other.queueOwner(PoolName{pool}, m_now);
            CPPUNIT_ASSERT(oneKeeps != otherKeeps);
        }
    }

    void silentPeerIsNotLive()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, 1, {}};
        peers.handleHeartbeat(heartbeat("b"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.live(m_now).size());
        CPPUNIT_ASSERT(peers.live(m_now + std::chrono::seconds{1}).empty());
        peers.markUnreachable(InstanceName{"b"}, m_now);
        CPPUNIT_ASSERT(peers.live(m_now).empty());
        peers.handleHeartbeat(heartbeat("b"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.live(m_now).size());
    }

    void drainingPeerTakesNoWorkButIsLive()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, 1, {}};
        Heartbeat draining = heartbeat("b");
        draining.draining = true;
        peers.handleHeartbeat(draining, m_now);
        CPPUNIT_ASSERT(peers.live(m_now).empty());
        CPPUNIT_ASSERT(peers.isLive(InstanceName{"b"}, m_now));
    }

    void addressesAreLearntFromRoster()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, 1, {"b:1", "a:1"}};
        CPPUNIT_ASSERT((peers.takeDueAddresses(m_now) == std::vector<std::string>{"b:1"}));
        Heartbeat report = heartbeat("b");
        report.roster = {{{InstanceName{"c"}, "c:1"}, true}, {{InstanceName{"a"}, "a:1"}, true}};
        report.isRelay = true;
        peers.handleHeartbeat(report, m_now);
        CPPUNIT_ASSERT((peers.takeDueAddresses(m_now) == std::vector<std::string>{"c:1"}));
    }

    void addressOfRemovedPeerIsNotProbed()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, 1, {"b:1"}};
        peers.handleHeartbeat(heartbeat("b"), m_now);
        peers.handleHeartbeat(heartbeat("c"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peers.takeDueAddresses(m_now).size());
        CPPUNIT_ASSERT((peers.takeDueAddresses(m_now + std::chrono::seconds{61}) == std::vector<std::string>{"b:1"}));
    }

    void peerWithoutConfigurationOwnsNoQueue()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, 1, {}};
        Heartbeat starting = heartbeat("b");
        starting.canOwnQueues = false;
        peers.handleHeartbeat(starting, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.live(m_now).size());
        for (const char *pool : {"p1", "p2", "p3", "p4", "p5", "p6"}) {
            CPPUNIT_ASSERT(!peers.queueOwner(PoolName{pool}, m_now));
        }
    }

    void processWithoutConfigurationReturnsTasks()
    {
        ServingOptions options;
        options.self = {InstanceName{"new"}, "10.0.0.9:1"};
        ServingReducer reducer{options};
        StageTask task;
        task.pool = PoolName{"encoders"};
        task.pieces = 1;
        task.preferredZone = ZoneName{"a"};
        task.latestStart = m_now + std::chrono::seconds{1};
        const Effects effects = reducer.apply(PeerTaskArrived{PeerTaskNumber{1}, task}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, effects.size());
        CPPUNIT_ASSERT(std::get<CompletePeerTask>(effects.front()).outcomes.empty());
        const TimePoint later = m_now + std::chrono::seconds{1};
        static_cast<void>(reducer.apply(Tick{}, later));
        // A wakeup that is due right after a tick would cause a busy loop.
        CPPUNIT_ASSERT(reducer.nextWakeup().value() > later);
    }

    void drainingProcessHandsOverItsQueue()
    {
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{1}, encoderTask("first", 8)});
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{2}, encoderTask("second", 8)});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() == nullptr);
        m_fixture.apply(HeartbeatReceived{heartbeat("b")});
        m_fixture.apply(DrainRequested{});
        const auto *returned = m_fixture.effect<CompletePeerTask>();
        CPPUNIT_ASSERT(returned != nullptr);
        CPPUNIT_ASSERT(returned->number == PeerTaskNumber{2});
        CPPUNIT_ASSERT(returned->outcomes.empty());
    }

    void queueIsHandedOverToNewOwner()
    {
        const Heartbeat owner = heartbeat(findOwner().text());
        // The second task is queued, since the only encoder accepts one call at a time.
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{1}, encoderTask("first", 8)});
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{2}, encoderTask("second", 8)});
        m_fixture.apply(HeartbeatReceived{owner});
        m_fixture.advanceClock(std::chrono::milliseconds{200});
        m_fixture.apply(HeartbeatReceived{owner});
        // Other processes may not know the new owner yet.
        CPPUNIT_ASSERT(m_fixture.effect<CompletePeerTask>() == nullptr);
        m_fixture.advanceClock(std::chrono::milliseconds{400});
        const auto *returned = m_fixture.effect<CompletePeerTask>();
        CPPUNIT_ASSERT(returned != nullptr);
        CPPUNIT_ASSERT(returned->number == PeerTaskNumber{2});
        CPPUNIT_ASSERT(returned->outcomes.empty());
    }

    void taskReturnedByFormerOwnerDoesNotMarkItDead()
    {
        const Heartbeat owner = heartbeat(findOwner().text());
        m_fixture.apply(HeartbeatReceived{owner});
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {1};
        m_fixture.apply(arrival);
        const StageTaskId task = m_fixture.effect<DelegateTask>()->task.id;
        Heartbeat leaves = owner;
        leaves.canOwnQueues = false;
        m_fixture.apply(HeartbeatReceived{leaves});
        m_fixture.apply(DelegatedTaskEnded{task, owner.from.instance, {}, true});
        // The task runs locally, and the peer still counts as alive.
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.reducer().livePeers(m_fixture.now()).size());
    }

    void taskListsResultsComputedForFormerOwner()
    {
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {2};
        m_fixture.apply(arrival);
        const auto *call = m_fixture.effect<StartStageCall>();
        m_fixture.apply(StageCallEnded{call->call, StageCallStatus::Answered, {{"h-1", {}}, {"h-2", {}}}});
        Heartbeat owner = heartbeat(findOwner().text());
        owner.incarnation = 7;
        m_fixture.apply(HeartbeatReceived{owner});
        arrival = m_fixture.arrival("/draft/2", 2);
        arrival.request.pieces = {1};
        m_fixture.apply(arrival);
        const auto *handed = m_fixture.effect<DelegateTask>();
        CPPUNIT_ASSERT(handed != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, handed->task.heldResults.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, handed->task.heldResults.front().bytes);
    }

    void upcomingWorkIsReported()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 6};
        m_fixture.apply(arrival);
        const Heartbeat report = m_fixture.reducer().heartbeat("b:1", m_fixture.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.upcoming.size());
        CPPUNIT_ASSERT(report.upcoming.front().pool == PoolName{"rerankers"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, report.upcoming.front().pieces);
        Peers peers{{InstanceName{"a"}, "a:1"}, 1, {}};
        peers.handleHeartbeat(report, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, peers.upcomingPieces(PoolName{"rerankers"}, 0, 0, m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, peers.upcomingPieces(PoolName{"encoders"}, 0, 0, m_now));
    }

    void taskOfFailedOwnerRunsLocally()
    {
        const InstanceName owner = findOwner();
        m_fixture.apply(HeartbeatReceived{heartbeat(owner.text())});
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {1};
        m_fixture.apply(arrival);
        const auto *handed = m_fixture.effect<DelegateTask>();
        CPPUNIT_ASSERT(handed != nullptr);
        const StageTaskId task = handed->task.id;
        m_fixture.apply(DelegatedTaskEnded{task, owner, {}});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
    }

    void resultsOfAbandonedPeerTaskAreFreed()
    {
        StageTask task;
        task.pool = PoolName{"encoders"};
        task.attempt = "attempt";
        task.pieces = 2;
        task.latestStart = m_fixture.now() + std::chrono::seconds{1};
        task.deadline = m_fixture.now() + std::chrono::seconds{5};
        task.resultBytes = 15'000;
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{1}, task});
        const auto *call = m_fixture.effect<StartStageCall>();
        CPPUNIT_ASSERT(call != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, call->items.size());
        m_fixture.apply(StageCallEnded{call->call, StageCallStatus::Answered, {{"h-1", {}}}});
        m_fixture.apply(PeerTaskCancelled{PeerTaskNumber{1}});
        const auto *freed = m_fixture.effect<ReleaseResults>();
        CPPUNIT_ASSERT(freed != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"h-1"}, freed->handles.front());
    }

    void endpointMissingAfterListOutageIsKeptForGracePeriod()
    {
        EndpointDirectory directory;
        directory.put(record("e"), m_now);
        static_cast<void>(directory.takeChangedList(m_now));
        directory.beginListOutage(m_now);
        m_now += std::chrono::seconds{5};
        directory.endListOutage(m_now);
        directory.remove(InstanceName{"e"}, m_now);
        CPPUNIT_ASSERT(directory.takeChangedList(m_now) == nullptr);
        m_now += std::chrono::milliseconds{2300};
        const auto list = directory.takeChangedList(m_now);
        CPPUNIT_ASSERT(list != nullptr);
        CPPUNIT_ASSERT(list->empty());
    }

    void removalAfterGracePeriodTakesEffectAtOnce()
    {
        EndpointDirectory directory;
        directory.put(record("e"), m_now);
        directory.beginListOutage(m_now);
        m_now += std::chrono::seconds{9};
        directory.endListOutage(m_now);
        m_now += std::chrono::milliseconds{500};
        directory.remove(InstanceName{"e"}, m_now);
        CPPUNIT_ASSERT(directory.takeChangedList(m_now)->empty());
    }

    void drainingEndpointHasNoGracePeriod()
    {
        EndpointDirectory directory;
        directory.put(record("e", true), m_now);
        directory.beginListOutage(m_now);
        m_now += std::chrono::seconds{5};
        directory.endListOutage(m_now);
        directory.put(record("e", false), m_now);
        CPPUNIT_ASSERT(directory.takeChangedList(m_now)->front().draining);
        directory.remove(InstanceName{"e"}, m_now);
        CPPUNIT_ASSERT(directory.takeChangedList(m_now)->empty());
    }

    void removalWithoutOutageTakesEffectAtOnce()
    {
        EndpointDirectory directory;
        directory.put(record("e"), m_now);
        directory.remove(InstanceName{"e"}, m_now);
        CPPUNIT_ASSERT(directory.takeChangedList(m_now)->empty());
    }

    void restartedEndpointNoLongerDrains()
    {
        EndpointDirectory directory;
        EndpointRecord record{InstanceName{"a"}, PoolName{"p"}, "a:1", ZoneName{"z"}, 1, true, 1};
        directory.put(record, m_now);
        static_cast<void>(directory.takeChangedList(m_now));
        record.draining = false;
        directory.put(record, m_now);
        CPPUNIT_ASSERT(directory.takeChangedList(m_now) == nullptr);
        record.incarnation = 2;
        directory.put(record, m_now);
        const auto list = directory.takeChangedList(m_now);
        CPPUNIT_ASSERT(list != nullptr);
        CPPUNIT_ASSERT(!list->front().draining);
    }

    void invalidEndpointEntryHasNoGracePeriod()
    {
        EndpointDirectory directory;
        directory.put({InstanceName{"a"}, PoolName{"p"}, "a:1", ZoneName{"z"}, 1, false, 1}, m_now);
        directory.beginListOutage(m_now);
        static_cast<void>(directory.takeChangedList(m_now));
        directory.removeAtOnce(InstanceName{"a"});
        CPPUNIT_ASSERT(directory.takeChangedList(m_now)->empty());
    }

    void restartedEndpointIsReset()
    {
        EndpointRegistry board;
        Effects effects;
        const EndpointRecord record{InstanceName{"a"}, PoolName{"p"}, "a:1", ZoneName{"z"}, 1, false, 1};
        board.update({record}, m_now, effects);
        board.recordStart(record.instance);
        board.recordLoad(record.instance, {5, 5, 4}, m_now);
        board.find(record.instance)->resultBytes = 100;
        board.find(record.instance)->slowness = 4.0;
        EndpointRecord restarted = record;
        restarted.incarnation = 2;
        board.update({restarted}, m_now, effects);
        const Endpoint &endpoint = *board.find(record.instance);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, endpoint.usedResultBytes());
        CPPUNIT_ASSERT_EQUAL(1.0, endpoint.slowness);
        CPPUNIT_ASSERT_EQUAL(0U, endpoint.load.running);
        // The run stays in progress until its connection is closed.
        CPPUNIT_ASSERT_EQUAL(1U, endpoint.inFlight);
    }

    void splitterBuffersIncompleteEvents()
    {
        EventSplitter splitter;
        CPPUNIT_ASSERT_EQUAL(std::string{}, splitter.append("id: 1\ndata"));
        CPPUNIT_ASSERT(splitter.hasPartialEvent());
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\ndata: x\n\n"}, splitter.append(": x\n\n"));
        CPPUNIT_ASSERT(!splitter.hasPartialEvent());
        CPPUNIT_ASSERT(splitter.lastEventId() == std::optional<std::uint64_t>{1});
    }

    void splitterDropsForwardedEventsAndDetectsGaps()
    {
        EventSplitter splitter{3};
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 4\ndata: d\n\n"},
                             splitter.append("id: 3\ndata: c\n\nid: 4\ndata: d\n\n"));
        static_cast<void>(splitter.append("id: 6\ndata: f\n\n"));
        CPPUNIT_ASSERT(splitter.hasGap());
    }

    void strongestProcessesAreRelaysAndOwnQueues()
    {
        Peers weak{{InstanceName{"weak"}, "weak:1", 0.05}, 1, {}};
        weak.setCanOwnQueues(true);
        CPPUNIT_ASSERT(weak.isRelay(m_now));
        Heartbeat strong = heartbeat("strong");
        strong.from.capacity = 0.5;
        weak.handleHeartbeat(strong, m_now);
        CPPUNIT_ASSERT(!weak.isRelay(m_now));
        for (const char *pool : {"p1", "p2", "p3", "p4", "p5", "p6"}) {
            CPPUNIT_ASSERT(weak.queueOwner(PoolName{pool}, m_now).value().instance == InstanceName{"strong"});
        }
    }

    void heartbeatRatePerProcessIsBounded()
    {
        Fleet fleet{120, m_now};
        fleet.run(std::chrono::seconds{4});
        const std::size_t before = fleet.heartbeatsSent();
        fleet.run(std::chrono::seconds{1});
        // Each process contacts two relays five times a second, each relay the fifteen others; probes add a few.
        const std::size_t maxHeartbeats = 120 * 2 * 5 + 16 * 15 * 5;
        CPPUNIT_ASSERT(fleet.heartbeatsSent() - before <= maxHeartbeats * 12 / 10);
    }

    void fleetOfAnySizeAgreesOnOwners()
    {
        for (const std::size_t size : {2, 5, 31, 120}) {
            Fleet fleet{size, m_now};
            fleet.run(std::chrono::seconds{4});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{"p1"}).size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{"p2"}).size());
            CPPUNIT_ASSERT_EQUAL(size - 1, fleet.minLiveCount());
        }
    }

    void failedOwnerIsReplacedEverywhere()
    {
        Fleet fleet{31, m_now};
        fleet.run(std::chrono::seconds{4});
        const InstanceName owner = *fleet.ownersOf(PoolName{"p1"}).begin();
        fleet.stop(owner);
        // The peer timeout of 0.9 s, then one heartbeat between relays and one to every other process.
        fleet.run(std::chrono::milliseconds{1600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{"p1"}).size());
        CPPUNIT_ASSERT(*fleet.ownersOf(PoolName{"p1"}).begin() != owner);
    }

    void forwardedEngineReportsAreBounded()
    {
        std::map<int, std::size_t> reportCount;
        for (const int size : {16, 32, 350}) {
            Peers relay{{InstanceName{"relay"}, "relay:1"}, 1, {}};
            for (int number = 0; number < size; ++number) {
                Heartbeat other = heartbeat("entry-" + std::to_string(number));
                other.from.capacity = 0.1;
                other.engines.push_back({other.from.instance, 1, 1, {}, {{InstanceName{"engine"}, {}, {}}}});
                relay.handleHeartbeat(other, m_now);
            }
            Heartbeat out;
            relay.fillHeartbeat(out, "entry-0:1", m_now);
            reportCount[size] = out.engines.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, reportCount[16]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{31}, reportCount[32]);
        CPPUNIT_ASSERT(reportCount[350] <= 4);
    }

    void fleetAgreesOnOwnersAfterRollingRestart()
    {
        Fleet fleet{24, m_now};
        fleet.run(std::chrono::seconds{3});
        for (const char *name : {"entry-0", "entry-4", "entry-8", "entry-12", "entry-16", "entry-20"}) {
            fleet.restart(InstanceName{name}, std::chrono::seconds{2}, std::chrono::milliseconds{200});
        }
        fleet.run(std::chrono::seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::size_t{23}, fleet.minLiveCount());
        for (const char *pool : {"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{pool}).size());
        }
    }

    void unreachableOwnerIsRetried()
    {
        Peers peers{{InstanceName{"weak"}, "weak:1", 0.1}, 1, {}};
        Heartbeat relay = heartbeat("relay");
        relay.isRelay = true;
        relay.rosterVersion = 1;
        relay.roster = {{{InstanceName{"owner"}, "owner:1"}, true}};
        peers.handleHeartbeat(relay, m_now);
        CPPUNIT_ASSERT(peers.isLive(InstanceName{"owner"}, m_now));
        peers.markUnreachable(InstanceName{"owner"}, m_now);
        CPPUNIT_ASSERT(!peers.isLive(InstanceName{"owner"}, m_now));
        m_now += std::chrono::seconds{1};
        peers.handleHeartbeat(relay, m_now);
        CPPUNIT_ASSERT(peers.isLive(InstanceName{"owner"}, m_now));
    }

private:
    [[nodiscard]] static Heartbeat heartbeat(const std::string &name)
    {
        Heartbeat out;
        out.from = {InstanceName{name}, name + ":1"};
        out.canOwnQueues = true;
        return out;
    }

    [[nodiscard]] StageTask encoderTask(const std::string &attempt, std::uint32_t pieces) const
    {
        StageTask task;
        task.pool = PoolName{"encoders"};
        task.attempt = attempt;
        task.pieces = pieces;
        task.latestStart = m_now + std::chrono::seconds{1};
        task.deadline = m_now + std::chrono::seconds{5};
        task.resultBytes = 1000;
        return task;
    }

    [[nodiscard]] static EndpointRecord record(const std::string &name, bool draining = false)
    {
        return {InstanceName{name}, PoolName{"pool"}, "10.0.0.1:1", ZoneName{"a"}, 1, draining};
    }

    /*! @brief Returns a process name that rendezvous hashing ranks above the fixture's process. */
    [[nodiscard]] InstanceName findOwner() const
    {
        for (int number = 2;; ++number) {
            const std::string name = "entry-" + std::to_string(number);
            Peers peers{{InstanceName{"entry-1"}, "10.0.0.9:1"}, 1, {}};
            peers.setCanOwnQueues(true);
            peers.handleHeartbeat(heartbeat(name), m_now);
            if (peers.queueOwner(PoolName{"encoders"}, m_now)) {
                return InstanceName{name};
            }
        }
    }

    ServingFixture m_fixture;
    TimePoint m_now{m_fixture.now()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingPeersTest);
