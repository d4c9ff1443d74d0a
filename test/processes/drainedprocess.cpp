#include "platform/fakes.h"
#include "platform/slowendpoint.h"
#include "processes/platformprocesses.h"
#include "support/endedcall.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::test;

namespace {

constexpr std::size_t enoughSlots = 1000;

} // namespace

/*! @brief A real process that is told to stop while its endpoint is busy, and one beside it. */
class DrainedProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainedProcessTest);
    CPPUNIT_TEST(shortRequestsAreAnswered);
    CPPUNIT_TEST(requestsThatFitAreAnswered);
    CPPUNIT_TEST(longUnsafeRequestsAreAnswered);
    CPPUNIT_TEST(longSafeRequestsAreAnswered);
    CPPUNIT_TEST(requestsAtABusyEndpointAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void shortRequestsAreAnswered()
    {
        stopBeside("unsafe", std::chrono::milliseconds{300}, enoughSlots);
    }

    void requestsThatFitAreAnswered()
    {
        stopBeside("unsafe", std::chrono::seconds{3}, enoughSlots);
    }

    void longUnsafeRequestsAreAnswered()
    {
        const Duration work = std::chrono::seconds{6};
        const Duration lastArrival = stopBeside("unsafe", work, enoughSlots);
        CPPUNIT_ASSERT_MESSAGE(
            absl::StrCat("last sent after the signal, ms: ", lastArrival / std::chrono::milliseconds{1}),
            lastArrival + work <= grace);
    }

    void longSafeRequestsAreAnswered()
    {
        const Duration work = std::chrono::milliseconds{5800};
        const Duration lastArrival = stopBeside("safe", work, enoughSlots);
        CPPUNIT_ASSERT(lastArrival + work <= grace);
    }

    /*! @brief The endpoint is behind by more than the grace period, so most of its work cannot end before the process.
     */
    void requestsAtABusyEndpointAreAnswered()
    {
        stopBeside("unsafe", std::chrono::seconds{3}, 6);
    }

private:
    static constexpr Duration grace = std::chrono::seconds{8};
    static constexpr Duration requestPeriod = std::chrono::milliseconds{100};

    /*!
     * @brief Sends requests before a signal and after it, and checks that each is answered.
     * @return Time between the signal and the last request that reached the endpoint.
     */
    Duration stopBeside(const std::string &kind, Duration work, std::size_t slots)
    {
        SlowEndpoint endpoint{m_loop, work, slots};
        FakeStore store{m_loop};
        publishShop(store, endpoint.address(), kind, 100'000, std::chrono::seconds{30});
        PlatformProcesses processes{m_loop, store.address(), 2};
        processes.start();
        sendFor(work + std::chrono::seconds{2}, processes);
        const TimePoint signalledAt = m_loop.now();
        processes.signal(0, SIGTERM);
        // Later ones may find the listening socket closed.
        sendFor(std::chrono::seconds{3}, processes);
        processes.runUntil([&processes] { return !processes.isRunning(0); });
        const TimePoint endedAt = m_loop.now();
        CPPUNIT_ASSERT(endedAt - signalledAt <= grace);
        runFor(m_loop, std::chrono::milliseconds{100});
        const auto cut = std::ranges::count_if(m_calls, [](const EndedCall &call) { return !call.answer; });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("requests without an answer", std::ptrdiff_t{0}, cut);
        const bool isServed =
            std::ranges::any_of(m_calls, [](const EndedCall &call) { return call.answer->status == 200; });
        CPPUNIT_ASSERT(isServed);
        return endpoint.lastArrivalAt() - signalledAt;
    }

    void sendFor(Duration time, PlatformProcesses &processes)
    {
        for (const TimePoint end = m_loop.now() + time; m_loop.now() < end;) {
            HttpRequest request = shopRequest(m_calls.size() + 1, "body");
            request.headers[1].second = "30000";
            m_client.call(processes.callers(0), std::move(request), recordingHooks(m_calls.emplace_back()));
            runFor(m_loop, requestPeriod);
        }
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    HttpClient m_client{m_loop, HttpClientOptions{}};
    /*! @brief Keeps its elements in place, which the calls refer to. */
    std::deque<EndedCall> m_calls;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainedProcessTest);
