#include "bergamottide/pools/endpointnotices.h"
#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::ServingFixture;

/*! @brief Limits that endpoints name, as known to the processes of a fleet. */
class EndpointNoticesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointNoticesTest);
    CPPUNIT_TEST(limitHoldsUntilItIsChangedOrWithdrawn);
    CPPUNIT_TEST(malformedLimitLeavesTheKnownOne);
    CPPUNIT_TEST(limitIsLearntFromPeers);
    CPPUNIT_TEST(laterResponseCounts);
    CPPUNIT_TEST(stricterLimitCountsIfTheOrderIsUncertain);
    CPPUNIT_TEST(limitEndsWithItsInstance);
    CPPUNIT_TEST(limitOfAnEndpointListedLaterApplies);
    CPPUNIT_TEST(unchangedLimitIsNotSentAgain);
    CPPUNIT_TEST(drainIsLearntFromPeersAndKeptBesideALimit);
    CPPUNIT_TEST(drainEndsWithItsInstance);
    CPPUNIT_TEST(drainOfAnEndpointListedAgainApplies);
    CPPUNIT_TEST(endpointOfUnknownIncarnationListedAgainMayHaveRestarted);
    CPPUNIT_TEST(processThatKnowsOfADrainTellsOneThatDoesNot);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_first.list(1);
        m_second.list(1);
    }

    void limitHoldsUntilItIsChangedOrWithdrawn()
    {
        m_first.record(2.5, m_now);
        CPPUNIT_ASSERT(m_first.limit() == std::optional{2.5});
        m_first.record(0.3, m_now);
        CPPUNIT_ASSERT(m_first.limit() == std::optional{0.3});
        m_first.record(std::nullopt, m_now);
        CPPUNIT_ASSERT(!m_first.limit());
    }

    void malformedLimitLeavesTheKnownOne()
    {
        m_first.record(2.0, m_now);
        EndpointNotice notice;
        notice.malformedHeaders.emplace_back("limit");
        m_first.notices.record(endpoint, notice, m_now, m_first.effects);
        CPPUNIT_ASSERT(m_first.limit() == std::optional{2.0});
        CPPUNIT_ASSERT(std::ranges::any_of(m_first.effects, [](const Effect &effect) {
            const auto *line = std::get_if<LogLine>(&effect);
            return line != nullptr && line->text == "Header of an endpoint ignored.";
        }));
    }

    void limitIsLearntFromPeers()
    {
        m_first.record(2.0, m_now);
        exchange();
        CPPUNIT_ASSERT(m_second.limit() == std::optional{2.0});
        m_now += std::chrono::seconds{2};
        m_second.record(std::nullopt, m_now);
        exchange();
        CPPUNIT_ASSERT(!m_first.limit());
    }

    /*! @brief A process that has seen a later response neither takes an older report nor keeps its own to itself. */
    void laterResponseCounts()
    {
        m_first.record(2.0, m_now);
        exchange();
        m_now += std::chrono::seconds{1};
        m_second.record(std::nullopt, m_now);
        const auto withdrawn = m_second.notices.reportsSince(0, m_now);
        m_now += std::chrono::seconds{1};
        m_first.record(2.0, m_now);
        const std::uint64_t version = m_first.clock.version();
        m_first.notices.merge(withdrawn, m_now, m_first.effects);
        m_first.notices.merge({{endpoint, 1, std::nullopt, std::chrono::seconds{1}}}, m_now, m_first.effects);
        CPPUNIT_ASSERT(m_first.clock.version() > version);
        CPPUNIT_ASSERT(m_first.limit() == std::optional{2.0});
        exchange();
        CPPUNIT_ASSERT(m_second.limit() == std::optional{2.0});
    }

    void stricterLimitCountsIfTheOrderIsUncertain()
    {
        m_first.record(2.0, m_now);
        m_second.record(1.0, m_now);
        exchange();
        CPPUNIT_ASSERT(m_first.limit() == std::optional{1.0});
        CPPUNIT_ASSERT(m_second.limit() == std::optional{1.0});
    }

    void limitEndsWithItsInstance()
    {
        m_first.record(2.0, m_now);
        m_first.list(2);
        CPPUNIT_ASSERT(!m_first.limit());
        // A late report of the former incarnation does not apply.
        m_first.notices.merge({{endpoint, 1, 3.0, Duration::zero()}}, m_now, m_first.effects);
        CPPUNIT_ASSERT(!m_first.limit());
        m_first.record(4.0, m_now);
        CPPUNIT_ASSERT(m_first.limit() == std::optional{4.0});
    }

    void limitOfAnEndpointListedLaterApplies()
    {
        m_second.endpoints.update({}, m_now, m_second.effects);
        m_first.record(2.0, m_now);
        exchange();
        CPPUNIT_ASSERT(m_second.endpoints.find(endpoint) == nullptr);
        m_second.list(1);
        CPPUNIT_ASSERT(m_second.limit() == std::optional{2.0});
    }

    void unchangedLimitIsNotSentAgain()
    {
        m_first.record(2.0, m_now);
        const std::uint64_t version = m_first.clock.version();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_first.notices.reportsSince(0, m_now).size());
        m_first.record(2.0, m_now + std::chrono::seconds{1});
        CPPUNIT_ASSERT(m_first.notices.reportsSince(version, m_now).empty());
    }

    void drainIsLearntFromPeersAndKeptBesideALimit()
    {
        m_first.drain(m_now);
        m_second.record(2.0, m_now);
        exchange();
        for (Process *process : {&m_first, &m_second}) {
            CPPUNIT_ASSERT(!process->acceptsWork());
            CPPUNIT_ASSERT(process->limit() == std::optional{2.0});
        }
        m_now += std::chrono::seconds{1};
        m_second.record(std::nullopt, m_now);
        exchange();
        CPPUNIT_ASSERT(!m_first.acceptsWork() && !m_second.acceptsWork());
        CPPUNIT_ASSERT(!m_first.limit());
        const std::uint64_t version = m_first.clock.version();
        exchange();
        CPPUNIT_ASSERT_EQUAL(version, m_first.clock.version());
    }

    void drainEndsWithItsInstance()
    {
        m_first.drain(m_now);
        m_first.list(1);
        CPPUNIT_ASSERT(!m_first.acceptsWork());
        m_first.list(2);
        CPPUNIT_ASSERT(m_first.acceptsWork());
        // A late report of the former incarnation does not apply.
        m_first.notices.merge({{endpoint, 1, std::nullopt, Duration::zero(), true}}, m_now, m_first.effects);
        CPPUNIT_ASSERT(m_first.acceptsWork());
    }

    /*! @brief Another reader of the list may be behind, so that an endpoint is removed and listed again. */
    void drainOfAnEndpointListedAgainApplies()
    {
        m_first.drain(m_now);
        m_first.unlist();
        CPPUNIT_ASSERT(m_first.endpoints.find(endpoint) == nullptr);
        m_first.list(1);
        CPPUNIT_ASSERT(!m_first.acceptsWork());
    }

    void endpointOfUnknownIncarnationListedAgainMayHaveRestarted()
    {
        m_first.list(0);
        m_first.drain(m_now);
        m_first.list(0);
        CPPUNIT_ASSERT(!m_first.acceptsWork());
        m_first.unlist();
        m_first.list(0);
        CPPUNIT_ASSERT(m_first.acceptsWork());
    }

    void processThatKnowsOfADrainTellsOneThatDoesNot()
    {
        m_second.drain(m_now);
        const std::uint64_t version = m_second.clock.version();
        // The other one has seen a later response, which names a limit and was sent before the drain began.
        m_second.notices.merge({{endpoint, 1, 2.0, Duration::zero(), false}}, m_now + std::chrono::seconds{1},
                               m_second.effects);
        CPPUNIT_ASSERT(!m_second.acceptsWork());
        const auto reports = m_second.notices.reportsSince(version, m_now);
        CPPUNIT_ASSERT(reports.size() == 1 && reports.front().isDraining);
    }

private:
    static inline const InstanceName endpoint{"engine-1"};

    struct Process
    {
        void list(std::uint64_t incarnation)
        {
            EndpointRecord record{endpoint, PoolName{"engines"}, "10.0.0.1:1", ZoneName{"a"}, 4, false};
            record.incarnation = incarnation;
            endpoints.update({record}, TimePoint{}, effects);
            notices.updateEndpoints(TimePoint{}, effects);
        }

        void record(std::optional<double> requestsPerSecond, TimePoint now)
        {
            EndpointNotice notice;
            notice.limit = LimitNotice{requestsPerSecond};
            notices.record(endpoint, notice, now, effects);
        }

        void unlist()
        {
            endpoints.update({}, TimePoint{}, effects);
            notices.updateEndpoints(TimePoint{}, effects);
        }

        void drain(TimePoint now)
        {
            EndpointNotice notice;
            notice.isDraining = true;
            notices.record(endpoint, notice, now, effects);
        }

        [[nodiscard]] bool acceptsWork()
        {
            return endpoints.find(endpoint)->acceptsWork();
        }

        [[nodiscard]] std::optional<double> limit()
        {
            return endpoints.find(endpoint)->requestLimit;
        }

        EndpointRegistry endpoints;
        GossipClock clock{0};
        EndpointNotices notices{clock, endpoints};
        Effects effects;
    };

    void exchange()
    {
        const auto fromFirst = m_first.notices.reportsSince(0, m_now);
        const auto fromSecond = m_second.notices.reportsSince(0, m_now);
        m_first.notices.merge(fromSecond, m_now, m_first.effects);
        m_second.notices.merge(fromFirst, m_now, m_second.effects);
    }

    TimePoint m_now{std::chrono::seconds{100}};
    Process m_first;
    Process m_second;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointNoticesTest);

/*! @brief Requests to a pool whose endpoints are all limited. */
class LimitedPoolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitedPoolTest);
    CPPUNIT_TEST(requestBeyondTheLimitsIsRejectedOnArrivalWithATimeToComeBack);
    CPPUNIT_TEST(requestBeyondTheLimitsDoesNotRunItsStages);
    CPPUNIT_TEST(requestGoesToAnEndpointWithoutALimit);
    CPPUNIT_TEST(requestsInTheirStagesCount);
    CPPUNIT_TEST(runWaitsIfItsStagesAreDoneBeforeAnEndpointAcceptsIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestBeyondTheLimitsIsRejectedOnArrivalWithATimeToComeBack()
    {
        limit("desk-1", 0.2);
        limit("desk-2", 0.2);
        CPPUNIT_ASSERT(start("/order/1", 1));
        CPPUNIT_ASSERT(start("/order/2", 2));
        m_fixture.advanceClock(std::chrono::milliseconds{4500});
        CPPUNIT_ASSERT(!start("/order/3", 3));
        const auto *error = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr && error->kind == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(error->retryAfter == std::chrono::milliseconds{500});
        m_fixture.advanceClock(error->retryAfter);
        CPPUNIT_ASSERT(start("/order/3", 4));
    }

    void requestBeyondTheLimitsDoesNotRunItsStages()
    {
        limit("engine-1", 0.2);
        limit("engine-2", 0.2);
        CPPUNIT_ASSERT(start("/chat/1", 1));
        CPPUNIT_ASSERT(start("/chat/2", 2));
        RequestArrived arrival = m_fixture.arrival("/draft/1", 3);
        arrival.request.pieces = {4};
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>() != nullptr);
    }

    void requestGoesToAnEndpointWithoutALimit()
    {
        limit("desk-1", 0.2);
        for (std::uint64_t call = 1; call < 20; ++call) {
            CPPUNIT_ASSERT(start("/order/1", call));
        }
    }

    /*! @brief Requests that have yet to be sent need what the endpoints accept. */
    void requestsInTheirStagesCount()
    {
        limit("engine-1", 0.2);
        limit("engine-2", 0.2);
        for (std::uint64_t call = 1; call <= 2; ++call) {
            RequestArrived arrival = m_fixture.arrival("/draft/1", call);
            arrival.request.pieces = {4};
            m_fixture.apply(arrival);
            CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>() == nullptr);
        }
        CPPUNIT_ASSERT(!start("/chat/1", 3));
    }

    void runWaitsIfItsStagesAreDoneBeforeAnEndpointAcceptsIt()
    {
        limit("engine-1", 0.2);
        limit("engine-2", 0.2);
        CPPUNIT_ASSERT(start("/chat/1", 1));
        CPPUNIT_ASSERT(start("/chat/2", 2));
        m_fixture.advanceClock(std::chrono::milliseconds{4850});
        RequestArrived arrival = m_fixture.arrival("/draft/1", 3);
        arrival.request.pieces = {4};
        m_fixture.apply(arrival);
        const auto *call = m_fixture.effect<StartStageCall>();
        CPPUNIT_ASSERT(call != nullptr);
        StageCallEnded ended{call->call, StageCallStatus::Answered, {}};
        ended.results.assign(call->items.size(), PieceResult{"10.0.0.1:1/h", PieceFailure::None});
        m_fixture.apply(ended);
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>() == nullptr);
        m_fixture.advanceClock(std::chrono::milliseconds{150});
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
    }

private:
    void limit(const std::string &endpoint, double requestsPerSecond)
    {
        Heartbeat heartbeat;
        heartbeat.from = {InstanceName{"peer"}, "10.0.0.8:1"};
        heartbeat.notices.push_back({InstanceName{endpoint}, 0, requestsPerSecond, Duration::zero()});
        m_fixture.apply(HeartbeatReceived{heartbeat});
        // After this time the process has a share in the limits, and forgets the peer.
        m_fixture.advanceClock(std::chrono::seconds{70});
        CPPUNIT_ASSERT(m_fixture.reducer().livePeers(m_fixture.now()).empty());
    }

    bool start(const std::string &path, std::uint64_t call)
    {
        m_fixture.apply(m_fixture.arrival(path, call));
        return m_fixture.effect<StartRun>() != nullptr;
    }

    ServingFixture m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedPoolTest);
