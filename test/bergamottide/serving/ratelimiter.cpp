#include "bergamottide/limits/ratelimiter.h"
#include "peerfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::PeerFleet;

/*! @brief Limits on the requests that all processes together send to cold endpoints. */
class RateLimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimiterTest);
    CPPUNIT_TEST(coldEndpointGetsNoMoreThanTheQuota);
    CPPUNIT_TEST(requestsSentBeforeAnEndpointTurnsColdCount);
    CPPUNIT_TEST(warmEndpointIsNotLimited);
    CPPUNIT_TEST(unreachableEndpointCountsAsCold);
    CPPUNIT_TEST(endpointOfARestoredZoneCountsAsCold);
    CPPUNIT_TEST(quotasStayWithinTheLimitForAnyFleetSize);
    CPPUNIT_TEST(newFleetStaysWithinTheLimit);
    CPPUNIT_TEST(partitionedProcessesStayWithinTheLimit);
    CPPUNIT_TEST(burstStaysWithinTheLimit);
    CPPUNIT_TEST(namedLimitIsKeptAndUsed);
    CPPUNIT_TEST(limitTooHighToMatterIsNoBound);
    CPPUNIT_TEST(coldEndpointWithALimitKeepsBothBounds);
    CPPUNIT_TEST(newOwnerOfAStageQueueStartsWithPartOfTheLimit);
    CPPUNIT_TEST(capacityTellsWhenTheNextRequestMayBeSent);
    CPPUNIT_TEST(sharesSumUpToAllUnits);
    CPPUNIT_TEST_SUITE_END();

public:
    void coldEndpointGetsNoMoreThanTheQuota()
    {
        const RateLimiter limiter = withQuota(2);
        Endpoint endpoint = coldEndpoint();
        CPPUNIT_ASSERT_EQUAL(2U, burst(limiter, endpoint));
        m_now += std::chrono::milliseconds{1000};
        CPPUNIT_ASSERT_EQUAL(0U, burst(limiter, endpoint));
        m_now += std::chrono::milliseconds{250};
        CPPUNIT_ASSERT_EQUAL(2U, burst(limiter, endpoint));
    }

    void requestsSentBeforeAnEndpointTurnsColdCount()
    {
        const RateLimiter limiter = withQuota(2);
        Endpoint endpoint;
        RateLimiter::recordSent(endpoint, m_now);
        endpoint.warmupEndsAt = m_now + std::chrono::seconds{3};
        CPPUNIT_ASSERT_EQUAL(1U, burst(limiter, endpoint));
    }

    void warmEndpointIsNotLimited()
    {
        const RateLimiter limiter = withQuota(0);
        Endpoint endpoint = coldEndpoint();
        CPPUNIT_ASSERT_EQUAL(0U, burst(limiter, endpoint));
        m_now = endpoint.warmupEndsAt;
        CPPUNIT_ASSERT_EQUAL(maxTries, burst(limiter, endpoint));
        Pool unlimited = pool();
        unlimited.warmup.reset();
        CPPUNIT_ASSERT(limiter.admits(unlimited, coldEndpoint(), m_now));
    }

    void unreachableEndpointCountsAsCold()
    {
        EndpointRegistry board = listed();
        board.recordStart(m_record.instance);
        board.recordEnd(m_record.instance, EndpointOutcome::ConnectFailed, m_now, m_effects);
        CPPUNIT_ASSERT(isCold(board));
        m_now += pool().warmup->duration + std::chrono::seconds{2};
        CPPUNIT_ASSERT(!isCold(board));
    }

    void endpointOfARestoredZoneCountsAsCold()
    {
        EndpointRegistry board = listed();
        m_record.isEvacuated = true;
        board.update({m_record}, m_now, m_effects);
        CPPUNIT_ASSERT(!board.canServe(m_record.pool));
        m_now += std::chrono::seconds{20};
        m_record.isEvacuated = false;
        board.update({m_record}, m_now, m_effects);
        CPPUNIT_ASSERT(board.canServe(m_record.pool));
        CPPUNIT_ASSERT(isCold(board));
    }

    void quotasStayWithinTheLimitForAnyFleetSize()
    {
        for (const std::size_t size : {1U, 3U, 26U, 350U}) {
            PeerFleet fleet{size, m_now};
            fleet.run(std::chrono::seconds{8});
            const std::uint32_t totalQuota = fleet.sumOfShares("engine-1", requestsPerSecond);
            CPPUNIT_ASSERT(totalQuota <= requestsPerSecond);
            CPPUNIT_ASSERT(size == 1 || totalQuota >= requestsPerSecond * 3 / 4);
        }
    }

    /*! @brief Processes that do not know each other yet must not each use the whole quota. */
    void newFleetStaysWithinTheLimit()
    {
        PeerFleet fleet{350, m_now};
        for (int step = 0; step < 60; ++step) {
            fleet.run(std::chrono::milliseconds{100});
            CPPUNIT_ASSERT(fleet.sumOfShares("engine-1", requestsPerSecond) <= requestsPerSecond);
        }
    }

    void partitionedProcessesStayWithinTheLimit()
    {
        PeerFleet fleet{26, m_now};
        fleet.run(std::chrono::seconds{6});
        for (int index = 0; index < 8; ++index) {
            fleet.disconnect(InstanceName{"entry-" + std::to_string(index * 3)});
        }
        fleet.run(std::chrono::seconds{10});
        for (int engine = 0; engine < 20; ++engine) {
            CPPUNIT_ASSERT(fleet.sumOfShares("engine-" + std::to_string(engine), requestsPerSecond)
                           <= requestsPerSecond);
        }
    }

    /*! @brief Checks that 26 processes sending at full rate exceed the limit in no window of a second. */
    void burstStaysWithinTheLimit()
    {
        PeerFleet fleet{26, m_now};
        fleet.run(std::chrono::seconds{6});
        m_now += std::chrono::seconds{6};
        std::vector<TimePoint> sent;
        std::vector<Endpoint> endpoints(26, coldEndpoint());
        for (; m_now < endpoints.front().warmupEndsAt; m_now += std::chrono::milliseconds{10}) {
            for (std::size_t process = 0; process < endpoints.size(); ++process) {
                const RateLimiter limiter{
                    [&fleet, process](const InstanceName &endpoint, std::uint32_t limit, TimePoint) {
                        return fleet.shareOf(process, endpoint.text(), limit);
                    }};
                sent.insert(sent.end(), burst(limiter, endpoints[process]), m_now);
            }
        }
        CPPUNIT_ASSERT(sent.size() > requestsPerSecond);
        for (const TimePoint from : sent) {
            const auto count = std::ranges::count_if(
                sent, [from](TimePoint at) { return at >= from && at < from + std::chrono::seconds{1}; });
            CPPUNIT_ASSERT(count <= requestsPerSecond);
        }
    }

    /*! @brief Sends as much as possible for a minute, at limits from below to far above one request a second. */
    void namedLimitIsKeptAndUsed()
    {
        const RateLimiter limiter = withWholeQuota();
        for (const double limit : {0.1, 0.24, 0.3, 0.49, 1.0, 1.3, 2.0, 7.7, 50.0}) {
            Endpoint endpoint;
            endpoint.requestLimit = limit;
            const TimePoint start = m_now;
            std::vector<TimePoint> sent;
            for (; m_now < start + std::chrono::seconds{60}; m_now += std::chrono::milliseconds{10}) {
                sent.insert(sent.end(), burst(limiter, endpoint), m_now);
            }
            for (const TimePoint from : sent) {
                const auto count = std::ranges::count_if(
                    sent, [from](TimePoint at) { return at >= from && at <= from + std::chrono::seconds{4}; });
                CPPUNIT_ASSERT_MESSAGE(std::to_string(limit), static_cast<double>(count) <= limit * 4.25 + 1.0);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(limit), static_cast<double>(sent.size()) >= limit * 60 * 0.95);
        }
    }

    void limitTooHighToMatterIsNoBound()
    {
        CPPUNIT_ASSERT(!boundForLimit(1e9));
        CPPUNIT_ASSERT_EQUAL(1U, boundForLimit(0.0)->requests);
        CPPUNIT_ASSERT(boundForLimit(0.0)->window == std::chrono::seconds{10});
    }

    void coldEndpointWithALimitKeepsBothBounds()
    {
        const RateLimiter limiter = withWholeQuota();
        Endpoint endpoint = coldEndpoint();
        endpoint.requestLimit = 100.0;
        CPPUNIT_ASSERT_EQUAL(requestsPerSecond, burst(limiter, endpoint));
        endpoint = coldEndpoint();
        endpoint.requestLimit = 1.0;
        CPPUNIT_ASSERT_EQUAL(5U, burst(limiter, endpoint));
    }

    /*! @brief The former owner may have used the limit up. */
    void newOwnerOfAStageQueueStartsWithPartOfTheLimit()
    {
        const RateLimiter limiter = withQuota(0);
        Pool stages = pool();
        stages.warmup.reset();
        stages.batch = BatchSpec{};
        Endpoint endpoint;
        endpoint.requestLimit = 4.0;
        const auto send = [&] {
            std::uint32_t sent = 0;
            for (; limiter.admits(stages, endpoint, m_now); ++sent) {
                RateLimiter::recordSent(endpoint, m_now);
            }
            return sent;
        };
        CPPUNIT_ASSERT_EQUAL(7U, send());
        m_now += std::chrono::seconds{5};
        CPPUNIT_ASSERT_EQUAL(17U, send());
    }

    void capacityTellsWhenTheNextRequestMayBeSent()
    {
        const RateLimiter limiter = withWholeQuota();
        Endpoint endpoint;
        endpoint.requestLimit = 0.2;
        const TimePoint later = m_now + std::chrono::seconds{1};
        CPPUNIT_ASSERT_EQUAL(1U, limiter.capacity(pool(), {&endpoint}, m_now, later)->freeRequests);
        RateLimiter::recordSent(endpoint, m_now);
        const auto used = limiter.capacity(pool(), {&endpoint}, m_now, later);
        CPPUNIT_ASSERT_EQUAL(0U, used->freeRequests);
        CPPUNIT_ASSERT(used->nextAt == std::optional{m_now + std::chrono::seconds{5}});
        Endpoint unbounded;
        CPPUNIT_ASSERT(!limiter.capacity(pool(), {&endpoint, &unbounded}, m_now, later));
        const auto withoutShare = withQuota(0).capacity(pool(), {&endpoint}, m_now, later);
        CPPUNIT_ASSERT(withoutShare && withoutShare->freeRequests == 0 && !withoutShare->nextAt);
    }

    void sharesSumUpToAllUnits()
    {
        for (const std::size_t size : {3U, 5U, 26U}) {
            PeerFleet fleet{size, m_now};
            fleet.run(std::chrono::seconds{8});
            for (const std::uint32_t units : {1U, 4U, 9U, 11U, 40U}) {
                CPPUNIT_ASSERT_EQUAL(units, fleet.sumOfShares("engine-1", units));
            }
        }
    }

private:
    static constexpr std::uint32_t requestsPerSecond = 11;
    static constexpr std::uint32_t maxTries = 30;

    [[nodiscard]] static Pool pool()
    {
        Pool out;
        out.name = PoolName{"engines"};
        out.warmup = WarmupSpec{std::chrono::seconds{3}, requestsPerSecond};
        return out;
    }

    [[nodiscard]] static RateLimiter withQuota(std::uint32_t quota)
    {
        return RateLimiter{[quota](const InstanceName &, std::uint32_t, TimePoint) {
            return quota;
        }};
    }

    [[nodiscard]] static RateLimiter withWholeQuota()
    {
        return RateLimiter{[](const InstanceName &, std::uint32_t requests, TimePoint) {
            return requests;
        }};
    }

    [[nodiscard]] Endpoint coldEndpoint() const
    {
        Endpoint out;
        out.record.instance = InstanceName{"engine-1"};
        out.warmupEndsAt = m_now + std::chrono::seconds{3};
        return out;
    }

    [[nodiscard]] EndpointRegistry listed()
    {
        EndpointRegistry board;
        board.update({m_record}, m_now, m_effects);
        return board;
    }

    [[nodiscard]] bool isCold(EndpointRegistry &board) const
    {
        return RateLimiter::isCold(*pool().warmup, *board.find(m_record.instance), m_now);
    }

    /*! @brief Sends requests until the limiter refuses one; returns the number sent. */
    std::uint32_t burst(const RateLimiter &limiter, Endpoint &endpoint) const
    {
        std::uint32_t sent = 0;
        while (sent < maxTries && limiter.admits(pool(), endpoint, m_now)) {
            RateLimiter::recordSent(endpoint, m_now);
            ++sent;
        }
        return sent;
    }

    TimePoint m_now{std::chrono::seconds{100}};
    EndpointRecord m_record{InstanceName{"engine-1"}, PoolName{"engines"}, "10.0.0.1:1", ZoneName{"a"}, 4, false};
    Effects m_effects;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimiterTest);
