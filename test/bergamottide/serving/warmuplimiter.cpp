#include "bergamottide/serving/warmuplimiter.h"
#include "peerfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::PeerFleet;

/*! @brief Requests that cold endpoints get from a whole fleet. */
class WarmupLimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WarmupLimiterTest);
    CPPUNIT_TEST(coldEndpointGetsNoMoreThanTheShareOfTheProcess);
    CPPUNIT_TEST(endpointThatTurnsColdHasAlreadyGotWhatItWasSent);
    CPPUNIT_TEST(warmEndpointIsNotBounded);
    CPPUNIT_TEST(endpointThatWasNotReachedCountsAsCold);
    CPPUNIT_TEST(endpointOfARestoredZoneCountsAsCold);
    CPPUNIT_TEST(fleetsOfAnySizeDealWhatThereIs);
    CPPUNIT_TEST(fleetThatHasJustStartedDealsNothing);
    CPPUNIT_TEST(processesThatAreCutOffKeepTheirShares);
    CPPUNIT_TEST(burstAtAColdEndpointStaysWithinItsBound);
    CPPUNIT_TEST_SUITE_END();

public:
    void coldEndpointGetsNoMoreThanTheShareOfTheProcess()
    {
        const WarmupLimiter limiter = withShare(2);
        Endpoint endpoint = cold();
        CPPUNIT_ASSERT_EQUAL(2U, burst(limiter, endpoint));
        m_now += std::chrono::milliseconds{1000};
        CPPUNIT_ASSERT_EQUAL(0U, burst(limiter, endpoint));
        m_now += std::chrono::milliseconds{250};
        CPPUNIT_ASSERT_EQUAL(2U, burst(limiter, endpoint));
    }

    void endpointThatTurnsColdHasAlreadyGotWhatItWasSent()
    {
        const WarmupLimiter limiter = withShare(2);
        Endpoint endpoint;
        WarmupLimiter::noteSent(pool(), endpoint, m_now);
        endpoint.coldUntil = m_now + std::chrono::seconds{3};
        CPPUNIT_ASSERT_EQUAL(1U, burst(limiter, endpoint));
    }

    void warmEndpointIsNotBounded()
    {
        const WarmupLimiter limiter = withShare(0);
        Endpoint endpoint = cold();
        CPPUNIT_ASSERT_EQUAL(0U, burst(limiter, endpoint));
        m_now = endpoint.coldUntil;
        CPPUNIT_ASSERT_EQUAL(tries, burst(limiter, endpoint));
        Pool unbounded = pool();
        unbounded.warmup.reset();
        CPPUNIT_ASSERT(limiter.admits(unbounded, cold(), m_now));
    }

    void endpointThatWasNotReachedCountsAsCold()
    {
        EndpointBoard board = listed();
        board.started(m_record.instance);
        board.ended(m_record.instance, EndpointSign::Unreached, m_now, m_effects);
        CPPUNIT_ASSERT(isCold(board));
        m_now += pool().warmup->time + std::chrono::seconds{2};
        CPPUNIT_ASSERT(!isCold(board));
    }

    void endpointOfARestoredZoneCountsAsCold()
    {
        EndpointBoard board = listed();
        m_record.isEvacuated = true;
        board.update({m_record}, m_now, m_effects);
        CPPUNIT_ASSERT(!board.serves(m_record.pool));
        m_now += std::chrono::seconds{20};
        m_record.isEvacuated = false;
        board.update({m_record}, m_now, m_effects);
        CPPUNIT_ASSERT(board.serves(m_record.pool));
        CPPUNIT_ASSERT(isCold(board));
    }

    void fleetsOfAnySizeDealWhatThereIs()
    {
        for (const std::size_t size : {1U, 3U, 26U, 350U}) {
            PeerFleet fleet{size, m_now};
            fleet.run(std::chrono::seconds{8});
            const std::uint32_t dealt = fleet.dealt("engine-1", requests);
            CPPUNIT_ASSERT(dealt <= requests);
            CPPUNIT_ASSERT(size == 1 || dealt >= requests * 3 / 4);
        }
    }

    /*! @brief Processes that do not know each other yet would each take the whole. */
    void fleetThatHasJustStartedDealsNothing()
    {
        PeerFleet fleet{350, m_now};
        for (int step = 0; step < 60; ++step) {
            fleet.run(std::chrono::milliseconds{100});
            CPPUNIT_ASSERT(fleet.dealt("engine-1", requests) <= requests);
        }
    }

    void processesThatAreCutOffKeepTheirShares()
    {
        PeerFleet fleet{26, m_now};
        fleet.run(std::chrono::seconds{6});
        for (int index = 0; index < 8; ++index) {
            fleet.cutOff(InstanceName{"entry-" + std::to_string(index * 3)});
        }
        fleet.run(std::chrono::seconds{10});
        for (int engine = 0; engine < 20; ++engine) {
            CPPUNIT_ASSERT(fleet.dealt("engine-" + std::to_string(engine), requests) <= requests);
        }
    }

    /*! @brief 26 processes that each want to send all they can; counted over any second. */
    void burstAtAColdEndpointStaysWithinItsBound()
    {
        PeerFleet fleet{26, m_now};
        fleet.run(std::chrono::seconds{6});
        m_now += std::chrono::seconds{6};
        std::vector<TimePoint> sent;
        std::vector<Endpoint> seen(26, cold());
        for (; m_now < seen.front().coldUntil; m_now += std::chrono::milliseconds{10}) {
            for (std::size_t process = 0; process < seen.size(); ++process) {
                const WarmupLimiter limiter{
                    [&fleet, process](const InstanceName &endpoint, std::uint32_t units, TimePoint) {
                        return fleet.shareOf(process, endpoint.text(), units);
                    }};
                sent.insert(sent.end(), burst(limiter, seen[process]), m_now);
            }
        }
        CPPUNIT_ASSERT(sent.size() > requests);
        for (const TimePoint from : sent) {
            const auto count = std::ranges::count_if(
                sent, [from](TimePoint at) { return at >= from && at < from + std::chrono::seconds{1}; });
            CPPUNIT_ASSERT(count <= requests);
        }
    }

private:
    static constexpr std::uint32_t requests = 11;
    static constexpr std::uint32_t tries = 30;

    [[nodiscard]] static Pool pool()
    {
        Pool out;
        out.name = PoolName{"engines"};
        out.warmup = WarmupSpec{std::chrono::seconds{3}, requests};
        return out;
    }

    [[nodiscard]] static WarmupLimiter withShare(std::uint32_t share)
    {
        return WarmupLimiter{[share](const InstanceName &, std::uint32_t, TimePoint) {
            return share;
        }};
    }

    [[nodiscard]] Endpoint cold() const
    {
        Endpoint out;
        out.record.instance = InstanceName{"engine-1"};
        out.coldUntil = m_now + std::chrono::seconds{3};
        return out;
    }

    [[nodiscard]] EndpointBoard listed()
    {
        EndpointBoard board;
        board.update({m_record}, m_now, m_effects);
        return board;
    }

    [[nodiscard]] bool isCold(EndpointBoard &board) const
    {
        return WarmupLimiter::isCold(*pool().warmup, *board.find(m_record.instance), m_now);
    }

    /*! @brief Sends as many requests as are admitted at this moment, and returns their number. */
    std::uint32_t burst(const WarmupLimiter &limiter, Endpoint &endpoint) const
    {
        std::uint32_t sent = 0;
        while (sent < tries && limiter.admits(pool(), endpoint, m_now)) {
            WarmupLimiter::noteSent(pool(), endpoint, m_now);
            ++sent;
        }
        return sent;
    }

    TimePoint m_now{std::chrono::seconds{100}};
    EndpointRecord m_record{InstanceName{"engine-1"}, PoolName{"engines"}, "10.0.0.1:1", ZoneName{"a"}, 4, false};
    Effects m_effects;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmupLimiterTest);
