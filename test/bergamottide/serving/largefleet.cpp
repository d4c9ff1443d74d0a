#include "peerfleet.h"
#include "servingfixture.h"

#include "bergamottide/gossip/peers.h"
#include "bergamottide/pools/endpointregistry.h"
#include "bergamottide/stages/stagescheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::PeerFleet;

/*! @brief Scalability with fleet size, measured by operation counts instead of time. */
class LargeFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LargeFleetTest);
    CPPUNIT_TEST(viewIsRebuiltOnlyOnMembershipChange);
    CPPUNIT_TEST(viewExpiresWithPeerTimeout);
    CPPUNIT_TEST(viewFollowsPeerState);
    CPPUNIT_TEST(workReportedByRelayIsAggregated);
    CPPUNIT_TEST(workOfWholeFleetIsSummed);
    CPPUNIT_TEST(rosterIsSentOnceToEachPeer);
    CPPUNIT_TEST(changeOfOneProcessIsSentAsOneEntry);
    CPPUNIT_TEST(changeOfOneProcessIsSentAsOneEntryAtTwiceTheSize);
    CPPUNIT_TEST(startOfWholeFleetSendsEachEntryAFewTimes);
    CPPUNIT_TEST(peersOutliveTheRelaysThatListThem);
    CPPUNIT_TEST(largeFleetDiscoversAllPeers);
    CPPUNIT_TEST(fleetWhoseSeedsStartLastIsDiscoveredSoon);
    CPPUNIT_TEST(discoveryOfLargeFleetSendsFewHeartbeats);
    CPPUNIT_TEST(fewProcessesReadThePlatform);
    CPPUNIT_TEST(processPrefersReadersOfOwnZone);
    CPPUNIT_TEST(heartbeatTrafficOfLargeFleetIsBounded);
    CPPUNIT_TEST(allEngineReportsAreKnownInMediumFleet);
    CPPUNIT_TEST(smallFleetHasNoReaders);
    CPPUNIT_TEST(failedReaderIsReplaced);
    CPPUNIT_TEST(queueIsScannedOnlyAfterChange);
    CPPUNIT_TEST(queueIsScannedWhenResultMemoryIsFreed);
    CPPUNIT_TEST(queueIsScannedWhenEndpointListChanges);
    CPPUNIT_TEST(poolsAreUpdatedWhenEndpointDisappears);
    CPPUNIT_TEST_SUITE_END();

public:
    void viewIsRebuiltOnlyOnMembershipChange()
    {
        constexpr std::size_t processes = 150;
        PeerFleet fleet{processes, m_now};
        fleet.run(std::chrono::seconds{3});
        const std::size_t before = fleet.viewsBuilt();
        const std::size_t sent = fleet.heartbeatsSent();
        fleet.run(std::chrono::seconds{2});
        // Each heartbeat sent or answered queries the view at least twice.
        CPPUNIT_ASSERT(fleet.viewsBuilt() - before <= processes * 6);
        CPPUNIT_ASSERT(fleet.heartbeatsSent() - sent >= 3000);
    }

    void viewExpiresWithPeerTimeout()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, 1, {}};
        peers.handleHeartbeat(heartbeat("b"), m_now);
        peers.handleHeartbeat(heartbeat("c"), m_now + std::chrono::milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peers.liveCount(m_now + std::chrono::milliseconds{899}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.liveCount(m_now + std::chrono::milliseconds{900}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peers.liveCount(m_now + std::chrono::milliseconds{1400}));
    }

    void viewFollowsPeerState()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, 1, {}};
        Heartbeat other = heartbeat("b");
        peers.handleHeartbeat(other, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.liveCount(m_now));
        CPPUNIT_ASSERT(peers.queueOwner(PoolName{"pool"}, m_now).has_value());
        other.canOwnQueues = false;
        peers.handleHeartbeat(other, m_now);
        CPPUNIT_ASSERT(!peers.queueOwner(PoolName{"pool"}, m_now));
        other.draining = true;
        peers.handleHeartbeat(other, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peers.liveCount(m_now));
        CPPUNIT_ASSERT(peers.isLive(InstanceName{"b"}, m_now));
        peers.markUnreachable(InstanceName{"b"}, m_now);
        CPPUNIT_ASSERT(!peers.isLive(InstanceName{"b"}, m_now));
    }

    void processPrefersReadersOfOwnZone()
    {
        for (const std::size_t size : {26U, 300U}) {
            PeerFleet fleet{size, m_now};
            fleet.run(std::chrono::seconds{4});
            for (const std::string &address : fleet.addresses()) {
                CPPUNIT_ASSERT(fleet.prefersReadersOfOwnZone(address));
            }
        }
    }

    /*! @brief Bounds the bandwidth per process, for links of 10 Mbit/s, and the cross-zone traffic, which is billed. */
    void heartbeatTrafficOfLargeFleetIsBounded()
    {
        constexpr std::size_t maxBytesPerSecond = 600'000;
        constexpr std::size_t maxCrossZoneBytesPerSecond = 4'000'000;
        PeerFleet fleet{300, m_now};
        fleet.run(std::chrono::seconds{4});
        fleet.recordTraffic();
        fleet.run(std::chrono::seconds{1});
        CPPUNIT_ASSERT(fleet.maxBytesSent() < maxBytesPerSecond);
        CPPUNIT_ASSERT(fleet.crossZoneBytes() < maxCrossZoneBytesPerSecond);
    }

    void allEngineReportsAreKnownInMediumFleet()
    {
        constexpr std::size_t processes = 26;
        PeerFleet fleet{processes, m_now};
        fleet.run(std::chrono::seconds{3});
        fleet.recordTraffic();
        fleet.run(std::chrono::seconds{1});
        CPPUNIT_ASSERT_EQUAL(processes - 1, fleet.minOriginCount());
    }

    void workReportedByRelayIsAggregated()
    {
        Peers relay{{InstanceName{"relay"}, "relay:1", 0.5}, 1, {}};
        for (int number = 0; number < 103; ++number) {
            Heartbeat other = heartbeat("entry-" + std::to_string(number));
            other.from.capacity = number % 7 == 0 ? 0.5 : 0.1;
            other.isRelay = number % 7 == 0;
            for (const int rank : {0, 1, 2}) {
                other.upcoming.push_back({PoolName{"encoders"}, rank, 4});
                other.upcoming.push_back({PoolName{"rerankers"}, rank, 8});
            }
            relay.handleHeartbeat(other, m_now);
        }
        Heartbeat out;
        relay.fillHeartbeat(out, "entry-1:1", m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, out.upcoming.size());
    }

    void workOfWholeFleetIsSummed()
    {
        Peers relay{{InstanceName{"relay"}, "relay:1", 0.5}, 1, {}};
        Heartbeat leaf = heartbeat("leaf");
        leaf.from.capacity = 0.1;
        leaf.upcoming.push_back({PoolName{"encoders"}, 1, 4});
        Heartbeat other = heartbeat("other");
        other.from.capacity = 0.5;
        other.isRelay = true;
        other.upcoming.push_back({PoolName{"encoders"}, 1, 30});
        relay.handleHeartbeat(leaf, m_now);
        relay.handleHeartbeat(other, m_now);
        Heartbeat toLeaf;
        toLeaf.upcoming.push_back({PoolName{"encoders"}, 1, 500});
        relay.fillHeartbeat(toLeaf, "leaf:1", m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{530}, toLeaf.upcoming.front().pieces);
        // Work that the other relay has reported is not sent back to it.
        Heartbeat toRelay;
        relay.fillHeartbeat(toRelay, "other:1", m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, toRelay.upcoming.front().pieces);
    }

    void rosterIsSentOnceToEachPeer()
    {
        Peers one{{InstanceName{"one"}, "one:1", 0.5}, 1, {}};
        Peers two{{InstanceName{"two"}, "two:1", 0.5}, 1, {}};
        one.handleHeartbeat(heartbeat("three"), m_now);
        exchange(two, one);
        CPPUNIT_ASSERT(exchange(one, two));
        exchange(two, one);
        CPPUNIT_ASSERT(!exchange(one, two));
        one.handleHeartbeat(heartbeat("four"), m_now);
        CPPUNIT_ASSERT(exchange(one, two));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, two.liveCount(m_now));
    }

    /*! @brief Replays a rolling restart: with complete rosters, each change cost the square of the fleet's size. */
    void changeOfOneProcessIsSentAsOneEntry()
    {
        checkEntriesOfRestart(357);
    }

    void changeOfOneProcessIsSentAsOneEntryAtTwiceTheSize()
    {
        checkEntriesOfRestart(714);
    }

    void startOfWholeFleetSendsEachEntryAFewTimes()
    {
        constexpr std::size_t size = 357;
        // From two relays, while the relays change and the processes become ready.
        constexpr std::size_t maxCopies = 16;
        PeerFleet fleet{size, m_now};
        fleet.run(std::chrono::seconds{4});
        CPPUNIT_ASSERT_EQUAL(size - 1, fleet.minLiveCount());
        CPPUNIT_ASSERT(fleet.rosterEntriesReceived() <= size * size * maxCopies);
    }

    void peersOutliveTheRelaysThatListThem()
    {
        Peers peers{{InstanceName{"weak"}, "weak:1", 0.1}, 1, {"seed:1"}};
        Heartbeat relay = heartbeat("relay");
        relay.isRelay = true;
        relay.rosterVersion = 1;
        relay.roster = {{{InstanceName{"listed"}, "listed:1", 0.5}, true}};
        for (int beat = 0; beat < 700; ++beat) {
            peers.handleHeartbeat(relay, m_now);
            relay.roster.reset();
            static_cast<void>(peers.takeDueAddresses(m_now));
            m_now += heartbeatPeriod;
        }
        // The relay is dead for a few seconds, minutes after it has listed the other process.
        std::set<std::string> probed;
        for (int beat = 0; beat < 20; ++beat) {
            const std::vector<std::string> due = peers.takeDueAddresses(m_now);
            probed.insert(due.begin(), due.end());
            m_now += heartbeatPeriod;
        }
        CPPUNIT_ASSERT(probed.contains("listed:1"));
    }

    void largeFleetDiscoversAllPeers()
    {
        PeerFleet fleet{350, m_now};
        fleet.run(std::chrono::seconds{3});
        CPPUNIT_ASSERT_EQUAL(std::size_t{349}, fleet.minLiveCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{"pool"}).size());
    }

    /*!
     * @brief After a loss of power all processes start within some milliseconds, the seeds among them at any position.
     *
     * Stage work is deferred until discovery ends. It took 0.8 s, most of the objective of the requests that waited.
     */
    void fleetWhoseSeedsStartLastIsDiscoveredSoon()
    {
        constexpr Duration tick = std::chrono::milliseconds{10};
        PeerFleet fleet{27, m_now};
        fleet.restartAll({InstanceName{"entry-0"}, InstanceName{"entry-1"}}, std::chrono::milliseconds{30}, tick);
        fleet.run(std::chrono::milliseconds{370}, tick);
        CPPUNIT_ASSERT(fleet.isDiscoveryFinished());
        CPPUNIT_ASSERT_EQUAL(std::size_t{26}, fleet.minLiveCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{"pool"}).size());
    }

    /*! @brief The short intervals of discovery must not overload the seeds of a large fleet. */
    void discoveryOfLargeFleetSendsFewHeartbeats()
    {
        constexpr std::size_t processes = 357;
        PeerFleet fleet{processes, m_now};
        fleet.run(std::chrono::seconds{1}, std::chrono::milliseconds{10});
        // In normal operation a process sends at most eight heartbeats a second, and a relay some 90 more.
        constexpr std::size_t relays = 16;
        CPPUNIT_ASSERT(fleet.heartbeatsSent() <= 2 * (8 * processes + 90 * relays));
    }

    void fewProcessesReadThePlatform()
    {
        for (const auto &[size, expected] : {std::pair{18, 3}, {103, 3}, {300, 9}}) {
            PeerFleet fleet{static_cast<std::size_t>(size), m_now};
            fleet.run(std::chrono::seconds{3});
            const std::set<std::string> readers = fleet.readers();
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(expected), readers.size());
            // Exactly the selected readers read the platform's store themselves.
            CPPUNIT_ASSERT(readers == fleet.addressesWithoutReaders());
        }
    }

    void smallFleetHasNoReaders()
    {
        PeerFleet fleet{8, m_now};
        fleet.run(std::chrono::seconds{3});
        CPPUNIT_ASSERT(fleet.readers().empty());
    }

    void failedReaderIsReplaced()
    {
        PeerFleet fleet{103, m_now};
        fleet.run(std::chrono::seconds{3});
        const std::string lost = *fleet.readers().begin();
        fleet.stop(InstanceName{lost.substr(0, lost.find(':'))});
        fleet.run(std::chrono::seconds{3});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.readers().size());
        CPPUNIT_ASSERT(!fleet.readers().contains(lost));
        CPPUNIT_ASSERT(fleet.readers() == fleet.addressesWithoutReaders());
    }

    void queueIsScannedOnlyAfterChange()
    {
        queueTaskBehindBusyEndpoint();
        const std::size_t before = m_scheduler.scanCount();
        for (int event = 0; event < 1000; ++event) {
            m_now += std::chrono::microseconds{5};
            dispatch();
        }
        CPPUNIT_ASSERT_EQUAL(before, m_scheduler.scanCount());
        m_now += std::chrono::milliseconds{10};
        dispatch();
        CPPUNIT_ASSERT_EQUAL(before + 1, m_scheduler.scanCount());
    }

    void queueIsScannedWhenResultMemoryIsFreed()
    {
        queueTaskBehindBusyEndpoint();
        const std::size_t before = m_scheduler.scanCount();
        m_scheduler.handleReleased("some result");
        dispatch();
        CPPUNIT_ASSERT_EQUAL(before + 1, m_scheduler.scanCount());
    }

    void queueIsScannedWhenEndpointListChanges()
    {
        list({"encoder-1"});
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch());
        submit(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatch());
        list({"encoder-1", "encoder-2"});
        m_scheduler.requestScans();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch());
    }

    void poolsAreUpdatedWhenEndpointDisappears()
    {
        list({"encoder-1", "encoder-2"});
        m_endpoints.recordStart(InstanceName{"encoder-1"});
        list({"encoder-2"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_endpoints.usable(PoolName{"encoders"}, m_now).size());
        Effects ignored;
        // Its last call has ended, so the endpoint is removed.
        m_endpoints.recordEnd(InstanceName{"encoder-1"}, EndpointOutcome::Failed, m_now, ignored);
        CPPUNIT_ASSERT(m_endpoints.find(InstanceName{"encoder-1"}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_endpoints.usable(PoolName{"encoders"}, m_now).size());
        list({});
        CPPUNIT_ASSERT(!m_endpoints.canServe(PoolName{"encoders"}));
    }

private:
    void checkEntriesOfRestart(std::size_t size)
    {
        // It drains, leaves and returns; two relays of each process tell of each, and some relays change.
        constexpr std::size_t maxEntriesPerProcess = 20;
        PeerFleet fleet{size, m_now};
        fleet.run(std::chrono::seconds{4});
        const std::size_t before = fleet.rosterEntriesReceived();
        fleet.run(std::chrono::seconds{2});
        CPPUNIT_ASSERT_EQUAL(before, fleet.rosterEntriesReceived());
        fleet.restart(InstanceName{"entry-7"}, std::chrono::seconds{2}, std::chrono::seconds{2});
        fleet.run(std::chrono::seconds{2});
        CPPUNIT_ASSERT_EQUAL(size - 1, fleet.minLiveCount());
        // The restarted process itself gets a complete roster from each of its relays.
        CPPUNIT_ASSERT(fleet.rosterEntriesReceived() - before <= size * maxEntriesPerProcess);
    }

    [[nodiscard]] static Heartbeat heartbeat(const std::string &name)
    {
        Heartbeat out;
        out.from = {InstanceName{name}, name + ":1", 0.5};
        out.canOwnQueues = true;
        return out;
    }

    /*! @brief Sends a heartbeat from one process to the other and returns whether it contained the roster. */
    bool exchange(const Peers &from, Peers &to)
    {
        Heartbeat out;
        from.fillHeartbeat(out, to.self().address, m_now);
        to.handleHeartbeat(out, m_now);
        return out.roster.has_value();
    }

    void list(const std::vector<std::string> &names)
    {
        EndpointList out;
        for (const std::string &name : names) {
            out.push_back({InstanceName{name}, PoolName{"encoders"}, "10.0.0.1:1", ZoneName{"a"}, 1, false});
        }
        Effects ignored;
        m_endpoints.update(out, m_now, ignored);
    }

    void submit(std::uint64_t id)
    {
        StageTask task;
        task.id = StageTaskId{id};
        task.pool = PoolName{"encoders"};
        task.pieces = 4;
        task.deadline = m_now + std::chrono::seconds{4};
        task.latestStart = m_now + std::chrono::seconds{1};
        task.attempt = "attempt-" + std::to_string(id);
        task.resultBytes = 10;
        m_scheduler.submit(std::move(task), m_now);
    }

    /*! @brief Occupies the only endpoint with a call, and queues another task; the queue has just been scanned. */
    void queueTaskBehindBusyEndpoint()
    {
        list({"encoder-1"});
        submit(1);
        dispatch();
        submit(2);
        dispatch();
    }

    /*! @brief Dispatches and returns the number of calls started. */
    std::size_t dispatch()
    {
        Effects effects;
        m_scheduler.dispatch(*test::ServingFixture::catalog(), m_now, effects);
        std::size_t calls = 0;
        for (const Effect &effect : effects) {
            calls += std::holds_alternative<StartStageCall>(effect) ? 1 : 0;
        }
        return calls;
    }

    TimePoint m_now{std::chrono::seconds{100}};
    EndpointRegistry m_endpoints;
    RetryBudget m_budget{RetryBudgetOptions{}};
    FetchPaths m_paths;
    RateLimiter m_rateLimiter{[](const InstanceName &, std::uint32_t, TimePoint) {
        return 0U;
    }};
    StageScheduler m_scheduler{m_endpoints, m_budget, m_rateLimiter, m_paths, [](const StoredResult &) {
                                   return false;
                               }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeFleetTest);
