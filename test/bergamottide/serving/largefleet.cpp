#include "peerfleet.h"
#include "servingfixture.h"

#include "bergamottide/serving/endpointboard.h"
#include "bergamottide/serving/peers.h"
#include "bergamottide/serving/stagescheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::PeerFleet;

/*! @brief What a process spends on a fleet of hundreds, counted and not timed. */
class LargeFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LargeFleetTest);
    CPPUNIT_TEST(viewIsBuiltOnlyWhenSomebodyCountsDifferently);
    CPPUNIT_TEST(viewEndsWithTheSilenceOfAPeer);
    CPPUNIT_TEST(viewFollowsWhatAPeerTells);
    CPPUNIT_TEST(workToldByARelayDoesNotGrowWithTheFleet);
    CPPUNIT_TEST(workOfTheWholeFleetIsAddedUp);
    CPPUNIT_TEST(rosterIsToldOnceToEachPeer);
    CPPUNIT_TEST(fleetOfHundredsMeets);
    CPPUNIT_TEST(fewProcessesReadThePlatformForAll);
    CPPUNIT_TEST(processAsksItsOwnZoneFirst);
    CPPUNIT_TEST(heartbeatsOfALargeFleetStayWithinZonesAndSmallLinks);
    CPPUNIT_TEST(generationsOfAllAreKnownInAFleetOfSomeDozens);
    CPPUNIT_TEST(smallFleetReadsThePlatformItself);
    CPPUNIT_TEST(lostReaderIsReplaced);
    CPPUNIT_TEST(queueIsReviewedOnlyWhenItHasChanged);
    CPPUNIT_TEST(queueIsReviewedWhenRoomComesBack);
    CPPUNIT_TEST(queueIsReviewedWhenTheListOfEndpointsChanges);
    CPPUNIT_TEST(poolsOfAnEndpointThatIsGoneAreRight);
    CPPUNIT_TEST_SUITE_END();

public:
    void viewIsBuiltOnlyWhenSomebodyCountsDifferently()
    {
        constexpr std::size_t processes = 150;
        PeerFleet fleet{processes, m_now};
        fleet.run(std::chrono::seconds{3});
        const std::size_t before = fleet.viewsBuilt();
        const std::size_t sent = fleet.sent();
        fleet.run(std::chrono::seconds{2});
        // Each process asks for it at least twice for each heartbeat that it sends or answers.
        CPPUNIT_ASSERT(fleet.viewsBuilt() - before <= processes * 6);
        CPPUNIT_ASSERT(fleet.sent() - sent >= 3000);
    }

    void viewEndsWithTheSilenceOfAPeer()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, {}};
        peers.heard(heartbeat("b"), m_now);
        peers.heard(heartbeat("c"), m_now + std::chrono::milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peers.liveCount(m_now + std::chrono::milliseconds{899}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.liveCount(m_now + std::chrono::milliseconds{900}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peers.liveCount(m_now + std::chrono::milliseconds{1400}));
    }

    void viewFollowsWhatAPeerTells()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, {}};
        Heartbeat other = heartbeat("b");
        peers.heard(other, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.liveCount(m_now));
        CPPUNIT_ASSERT(peers.owner(PoolName{"pool"}, m_now).has_value());
        other.ownsQueues = false;
        peers.heard(other, m_now);
        CPPUNIT_ASSERT(!peers.owner(PoolName{"pool"}, m_now));
        other.draining = true;
        peers.heard(other, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peers.liveCount(m_now));
        CPPUNIT_ASSERT(peers.isLive(InstanceName{"b"}, m_now));
        peers.unreached(InstanceName{"b"}, m_now);
        CPPUNIT_ASSERT(!peers.isLive(InstanceName{"b"}, m_now));
    }

    void processAsksItsOwnZoneFirst()
    {
        for (const std::size_t size : {26U, 300U}) {
            PeerFleet fleet{size, m_now};
            fleet.run(std::chrono::seconds{4});
            for (const std::string &address : fleet.addresses()) {
                CPPUNIT_ASSERT(fleet.asksItsOwnZoneFirst(address));
            }
        }
    }

    /*! @brief Entries have links of 10 Mbit/s, of which heartbeats may take half; bytes between zones are paid for. */
    void heartbeatsOfALargeFleetStayWithinZonesAndSmallLinks()
    {
        constexpr std::size_t mostBytesASecond = 600'000;
        constexpr std::size_t mostBetweenZonesASecond = 4'000'000;
        PeerFleet fleet{300, m_now};
        fleet.run(std::chrono::seconds{4});
        fleet.weigh();
        fleet.run(std::chrono::seconds{1});
        CPPUNIT_ASSERT(fleet.mostBytes() < mostBytesASecond);
        CPPUNIT_ASSERT(fleet.bytesBetweenZones() < mostBetweenZonesASecond);
    }

    void generationsOfAllAreKnownInAFleetOfSomeDozens()
    {
        constexpr std::size_t processes = 26;
        PeerFleet fleet{processes, m_now};
        fleet.run(std::chrono::seconds{3});
        fleet.weigh();
        fleet.run(std::chrono::seconds{1});
        CPPUNIT_ASSERT_EQUAL(processes - 1, fleet.fewestOrigins());
    }

    void workToldByARelayDoesNotGrowWithTheFleet()
    {
        Peers relay{{InstanceName{"relay"}, "relay:1", 0.5}, {}};
        for (int number = 0; number < 103; ++number) {
            Heartbeat other = heartbeat("entry-" + std::to_string(number));
            other.from.strength = number % 7 == 0 ? 0.5 : 0.1;
            other.isRelay = number % 7 == 0;
            for (const int rank : {0, 1, 2}) {
                other.upcoming.push_back({PoolName{"encoders"}, rank, 4});
                other.upcoming.push_back({PoolName{"rerankers"}, rank, 8});
            }
            relay.heard(other, m_now);
        }
        Heartbeat out;
        relay.complete(out, "entry-1:1", m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, out.upcoming.size());
    }

    void workOfTheWholeFleetIsAddedUp()
    {
        Peers relay{{InstanceName{"relay"}, "relay:1", 0.5}, {}};
        Heartbeat leaf = heartbeat("leaf");
        leaf.from.strength = 0.1;
        leaf.upcoming.push_back({PoolName{"encoders"}, 1, 4});
        Heartbeat other = heartbeat("other");
        other.from.strength = 0.5;
        other.isRelay = true;
        other.upcoming.push_back({PoolName{"encoders"}, 1, 30});
        relay.heard(leaf, m_now);
        relay.heard(other, m_now);
        Heartbeat toLeaf;
        toLeaf.upcoming.push_back({PoolName{"encoders"}, 1, 500});
        relay.complete(toLeaf, "leaf:1", m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{530}, toLeaf.upcoming.front().pieces);
        // The other relay is not told again what it has told itself.
        Heartbeat toRelay;
        relay.complete(toRelay, "other:1", m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, toRelay.upcoming.front().pieces);
    }

    void rosterIsToldOnceToEachPeer()
    {
        Peers one{{InstanceName{"one"}, "one:1", 0.5}, {}};
        Peers two{{InstanceName{"two"}, "two:1", 0.5}, {}};
        one.heard(heartbeat("three"), m_now);
        exchange(two, one);
        CPPUNIT_ASSERT(exchange(one, two));
        exchange(two, one);
        CPPUNIT_ASSERT(!exchange(one, two));
        one.heard(heartbeat("four"), m_now);
        CPPUNIT_ASSERT(exchange(one, two));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, two.liveCount(m_now));
    }

    void fleetOfHundredsMeets()
    {
        PeerFleet fleet{350, m_now};
        fleet.run(std::chrono::seconds{3});
        CPPUNIT_ASSERT_EQUAL(std::size_t{349}, fleet.fewestLive());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{"pool"}).size());
    }

    void fewProcessesReadThePlatformForAll()
    {
        for (const auto &[size, most] : {std::pair{18, 3}, {103, 3}, {300, 9}}) {
            PeerFleet fleet{static_cast<std::size_t>(size), m_now};
            fleet.run(std::chrono::seconds{3});
            const std::set<std::string> readers = fleet.readers();
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(most), readers.size());
            // Those whom others ask read for themselves, and nobody else does.
            CPPUNIT_ASSERT(readers == fleet.withoutReaders());
        }
    }

    void smallFleetReadsThePlatformItself()
    {
        PeerFleet fleet{8, m_now};
        fleet.run(std::chrono::seconds{3});
        CPPUNIT_ASSERT(fleet.readers().empty());
    }

    void lostReaderIsReplaced()
    {
        PeerFleet fleet{103, m_now};
        fleet.run(std::chrono::seconds{3});
        const std::string lost = *fleet.readers().begin();
        fleet.stop(InstanceName{lost.substr(0, lost.find(':'))});
        fleet.run(std::chrono::seconds{3});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.readers().size());
        CPPUNIT_ASSERT(!fleet.readers().contains(lost));
        CPPUNIT_ASSERT(fleet.readers() == fleet.withoutReaders());
    }

    void queueIsReviewedOnlyWhenItHasChanged()
    {
        queueBehindABusyEndpoint();
        const std::size_t before = m_scheduler.reviews();
        for (int event = 0; event < 1000; ++event) {
            m_now += std::chrono::microseconds{5};
            dispatch();
        }
        CPPUNIT_ASSERT_EQUAL(before, m_scheduler.reviews());
        m_now += std::chrono::milliseconds{10};
        dispatch();
        CPPUNIT_ASSERT_EQUAL(before + 1, m_scheduler.reviews());
    }

    void queueIsReviewedWhenRoomComesBack()
    {
        queueBehindABusyEndpoint();
        const std::size_t before = m_scheduler.reviews();
        m_scheduler.released("some result");
        dispatch();
        CPPUNIT_ASSERT_EQUAL(before + 1, m_scheduler.reviews());
    }

    void queueIsReviewedWhenTheListOfEndpointsChanges()
    {
        list({"encoder-1"});
        submit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch());
        submit(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatch());
        list({"encoder-1", "encoder-2"});
        m_scheduler.reviewAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch());
    }

    void poolsOfAnEndpointThatIsGoneAreRight()
    {
        list({"encoder-1", "encoder-2"});
        m_endpoints.started(InstanceName{"encoder-1"});
        list({"encoder-2"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_endpoints.usable(PoolName{"encoders"}, m_now).size());
        Effects ignored;
        // Its work is over: the endpoint is forgotten.
        m_endpoints.ended(InstanceName{"encoder-1"}, EndpointSign::Failed, m_now, ignored);
        CPPUNIT_ASSERT(m_endpoints.find(InstanceName{"encoder-1"}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_endpoints.usable(PoolName{"encoders"}, m_now).size());
        list({});
        CPPUNIT_ASSERT(!m_endpoints.serves(PoolName{"encoders"}));
    }

private:
    [[nodiscard]] static Heartbeat heartbeat(const std::string &name)
    {
        Heartbeat out;
        out.from = {InstanceName{name}, name + ":1", 0.5};
        out.ownsQueues = true;
        return out;
    }

    /*! @brief Sends a heartbeat from one to the other, and tells if it carried the roster. */
    bool exchange(const Peers &from, Peers &to)
    {
        Heartbeat out;
        from.complete(out, to.self().address, m_now);
        to.heard(out, m_now);
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
        task.due = m_now + std::chrono::seconds{1};
        task.attempt = "attempt-" + std::to_string(id);
        task.resultBytes = 10;
        m_scheduler.submit(std::move(task), m_now);
    }

    /*! @brief Has the only endpoint take a call, and a task wait behind it that was reviewed just now. */
    void queueBehindABusyEndpoint()
    {
        list({"encoder-1"});
        submit(1);
        dispatch();
        submit(2);
        dispatch();
    }

    /*! @brief Dispatches, and returns the number of calls that were sent. */
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
    EndpointBoard m_endpoints;
    RetryBudget m_budget{RetryBudgetOptions{}};
    FetchPaths m_paths;
    WarmupLimiter m_warmup{[](const InstanceName &, std::uint32_t, TimePoint) {
        return 0U;
    }};
    StageScheduler m_scheduler{m_endpoints, m_budget, m_warmup, m_paths, [](const KeptResult &) {
                                   return false;
                               }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeFleetTest);
