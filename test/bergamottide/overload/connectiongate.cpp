#include "bergamottide/overload/connectiongate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <cstddef>
#include <string>

using namespace bergamottide;
using overload::ConnectionDecision;
using overload::ConnectionGate;
using overload::LoadMeter;

/*! @brief Decisions on new connections. */
class ConnectionGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionGateTest);
    CPPUNIT_TEST(connectionsAreServedWithoutLoad);
    CPPUNIT_TEST(connectionsBeyondTheCapacityAreClosed);
    CPPUNIT_TEST(connectionIsNotKeptWaitingForLong);
    CPPUNIT_TEST(connectionsAreServedOnceTheLoadIsGone);
    CPPUNIT_TEST(someConnectionsAreServedWhateverTheLoad);
    CPPUNIT_TEST(unusedConnectionsDoNotCloseTheGate);
    CPPUNIT_TEST(requestsOnOpenConnectionsLeaveRoomForNewOnes);
    CPPUNIT_TEST(unusedConnectionsDoNotPayForOthers);
    CPPUNIT_TEST(connectionsTakenInLongRoundsAreServedInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void connectionsAreServedWithoutLoad()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, offer(100, std::chrono::seconds{1}, Duration::zero()));
    }

    /*! @brief Each request takes 40 ms, so that 25 a second are all that the processor can do. */
    void connectionsBeyondTheCapacityAreClosed()
    {
        offer(1000, std::chrono::seconds{5}, requestTime);
        const std::size_t served = offer(1000, std::chrono::seconds{5}, requestTime);
        CPPUNIT_ASSERT(served >= 75);
        CPPUNIT_ASSERT(served <= 125);
    }

    void connectionIsNotKeptWaitingForLong()
    {
        offer(1000, std::chrono::seconds{5}, requestTime);
        CPPUNIT_ASSERT(m_gate.decide({std::chrono::milliseconds{200}, 1}, m_now) == ConnectionDecision::Close);
    }

    void connectionsAreServedOnceTheLoadIsGone()
    {
        offer(1000, std::chrono::seconds{5}, requestTime);
        m_now += std::chrono::seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, offer(20, std::chrono::seconds{2}, std::chrono::milliseconds{5}));
    }

    void someConnectionsAreServedWhateverTheLoad()
    {
        for (int round = 0; round < 50; ++round) {
            m_now += std::chrono::milliseconds{100};
            m_meter.recordBusy(std::chrono::milliseconds{100}, m_now);
            m_meter.recordLateness(std::chrono::seconds{1}, m_now);
            static_cast<void>(m_gate.decide({}, m_now));
        }
        CPPUNIT_ASSERT(offer(400, std::chrono::seconds{4}, std::chrono::seconds{1}) >= 1);
    }

    void unusedConnectionsDoNotCloseTheGate()
    {
        offer(20, std::chrono::seconds{1}, requestTime);
        for (int connection = 0; connection < 200; ++connection) {
            static_cast<void>(m_gate.decide({}, m_now));
        }
        m_now += std::chrono::seconds{2};
        CPPUNIT_ASSERT(m_gate.decide({}, m_now) == ConnectionDecision::Serve);
    }

    /*! @brief Open connections bring twice as many requests as the processor can do. */
    void requestsOnOpenConnectionsLeaveRoomForNewOnes()
    {
        offer(1000, std::chrono::seconds{2}, requestTime);
        const std::size_t served = offerBesideOpenConnections();
        CPPUNIT_ASSERT(served >= 4);
        CPPUNIT_ASSERT(served <= 25);
    }

    /*! @brief Guards against requests on open connections that connections without a request have paid for. */
    void unusedConnectionsDoNotPayForOthers()
    {
        for (int connection = 0; connection < 5000; ++connection) {
            m_now += std::chrono::milliseconds{1};
            CPPUNIT_ASSERT(m_gate.decide({}, m_now) == ConnectionDecision::Serve);
            m_meter.recordBusy(Duration::zero(), m_now);
        }
        m_now += std::chrono::seconds{2};
        offer(1000, std::chrono::seconds{2}, requestTime);
        const std::size_t served = offerBesideOpenConnections();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served >= 4);
        // One new connection a second, while open ones use up the capacity.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served <= 6);
    }

    /*! @brief Nothing is measured while a round of the event loop lasts. */
    void connectionsTakenInLongRoundsAreServedInTime()
    {
        constexpr Duration time = std::chrono::seconds{10};
        const Served served = offerInRounds(200, time);
        const std::string figures = absl::StrCat(served.inTime, " in time, ", served.late, " late");
        CPPUNIT_ASSERT_MESSAGE(figures, served.inTime >= 3 * served.late);
        CPPUNIT_ASSERT_MESSAGE(figures, 2 * served.inTime * requestTime >= time);
    }

private:
    static constexpr Duration requestTime = std::chrono::milliseconds{40};
    /*! @brief Time after which callers leave. */
    static constexpr Duration callerPatience = std::chrono::seconds{1};

    /*! @brief Served connections, by the time from arrival to the end of the request. */
    struct Served
    {
        std::size_t inTime{};
        std::size_t late{};
    };

    /*! @brief Offers connections in rounds of an event loop that is measured at the end of each round. */
    Served offerInRounds(int rate, Duration time)
    {
        Served served;
        const Duration pause = Duration{std::chrono::seconds{1}} / rate;
        const TimePoint end = m_now + time;
        TimePoint arrivedAt = m_now;
        while (m_now < end) {
            const TimePoint roundStart = m_now;
            for (; arrivedAt <= roundStart; arrivedAt += pause) {
                if (m_gate.decide({}, m_now) != ConnectionDecision::Serve) {
                    continue;
                }
                m_meter.recordRequest(m_now);
                m_gate.recordRequest(m_now);
                m_now += requestTime;
                ++(m_now - arrivedAt <= callerPatience ? served.inTime : served.late);
            }
            const Duration busy = m_now - roundStart;
            m_now += std::chrono::milliseconds{1};
            m_meter.recordBusy(busy, m_now);
            m_meter.recordLateness(busy / 2, m_now);
        }
        return served;
    }

    /*! @brief Offers a connection each 20 ms for five seconds, while open connections bring twice as many requests as
     * the processor can do; returns the number that is served. */
    std::size_t offerBesideOpenConnections()
    {
        std::size_t served = 0;
        for (int round = 0; round < 250; ++round) {
            m_now += std::chrono::milliseconds{20};
            readRequest(requestTime);
            if (m_gate.decide({}, m_now) != ConnectionDecision::Serve) {
                continue;
            }
            ++served;
            readRequest(requestTime);
        }
        return served;
    }

    /*! @brief Offers connections evenly over a time, each with a request that takes processor time at once; returns the
     * number that is served. */
    std::size_t offer(int count, Duration time, Duration processorTime)
    {
        std::size_t served = 0;
        for (int connection = 0; connection < count; ++connection) {
            m_now += time / count;
            if (m_gate.decide({}, m_now) != ConnectionDecision::Serve) {
                m_meter.recordBusy(Duration::zero(), m_now);
                continue;
            }
            ++served;
            readRequest(processorTime);
        }
        return served;
    }

    void readRequest(Duration processorTime)
    {
        m_freeAt = std::max(m_freeAt, m_now);
        m_meter.recordRequest(m_now);
        m_gate.recordRequest(m_now);
        m_meter.recordBusy(processorTime, m_now);
        m_meter.recordLateness(m_freeAt - m_now, m_now);
        m_freeAt += processorTime;
    }

    TimePoint m_now{std::chrono::seconds{100}};
    /*! @brief When the processor has done what was begun. */
    TimePoint m_freeAt{};
    LoadMeter m_meter{1.0, 0.0};
    ConnectionGate m_gate{m_meter};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionGateTest);
