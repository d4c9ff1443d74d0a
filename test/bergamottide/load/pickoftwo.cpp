#include "bergamottide/load/pickoftwo.h"
#include "bergamottide/load/endpointload.h"
#include "bergamottide/load/loadtable.h"
#include "bergamottide/placement/random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::load;

namespace {

using Choice = std::function<std::size_t(const std::vector<LoadCandidate> &candidates, const std::string &attempt)>;

std::size_t drawTwo(const std::vector<LoadCandidate> &candidates, const std::string &attempt)
{
    return pickOfTwo(candidates, attempt).value();
}

/*! @brief Chooses as with the decision switched off: the minimum over all endpoints. */
std::size_t takeMinimum(const std::vector<LoadCandidate> &candidates, const std::string &)
{
    return static_cast<std::size_t>(std::ranges::min_element(candidates, {}, relativeCost) - candidates.begin());
}

/*! @brief How evenly and how fast calls were served. */
struct Figures
{
    /*! @brief Mean over the time of the ratio of the busiest to the mean endpoint, by requests per slot. */
    double busiestToMean{};
    Duration wait99{};
};

/*!
 * @brief Calls of many processes to the endpoints of a plain service on the virtual clock.
 *
 * The endpoints have 6 slots and calls of 15 ms, as in the first deployment. The pace changes many times per second. A
 * third of the endpoints is slowed; for a third of the time there are three times the calls.
 */
class PlainService
{
public:
    PlainService(std::size_t processes, std::size_t endpoints, std::uint64_t seed, Choice choice)
        : m_choice{std::move(choice)}
        , m_processes(processes)
        , m_endpoints(endpoints)
        , m_random{seed}
    {
        for (std::size_t index = 0; index < endpoints; ++index) {
            m_endpoints[index].name = InstanceName{"endpoint-" + std::to_string(index)};
            m_endpoints[index].slowdown = index % 3 == 0 ? slowedPace : 1.0;
        }
        for (Process &process : m_processes) {
            process.inFlight.resize(endpoints);
        }
    }

    Figures run()
    {
        at(m_now, [this] { arrive(); });
        at(m_now, [this] { sample(); });
        for (Endpoint &endpoint : m_endpoints) {
            at(m_now, [this, &endpoint] { changePace(endpoint); });
        }
        while (!m_events.empty()) {
            auto first = m_events.begin();
            m_now = first->first;
            const std::function<void()> action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        std::ranges::sort(m_waits);
        return {m_ratioSum / static_cast<double>(m_ratioCount), m_waits.at(m_waits.size() * 99 / 100)};
    }

private:
    static constexpr std::size_t slots = 6;
    static constexpr Duration callTime = std::chrono::milliseconds{15};
    static constexpr Duration networkDelay = std::chrono::milliseconds{1};
    static constexpr Duration end = std::chrono::seconds{9};
    static constexpr Duration burstStart = std::chrono::seconds{4};
    static constexpr Duration burstEnd = std::chrono::seconds{7};
    static constexpr Duration samplePeriod = std::chrono::milliseconds{20};
    static constexpr Duration meanPaceTime = std::chrono::milliseconds{150};
    static constexpr double slowedPace = 2.0;
    /*! @brief Share of the slots in use without the burst, if all had the usual pace; the burst brings it to 0.72 of
     * the 0.83 that remain with a third of the endpoints slowed. */
    static constexpr double usualShare = 0.24;

    struct Call
    {
        std::size_t process{};
        std::size_t endpoint{};
        TimePoint arrivedAt{};
    };

    struct Endpoint
    {
        InstanceName name;
        double slowdown{1.0};
        double pace{1.0};
        std::size_t running{};
        std::deque<Call> waiting;
    };

    struct Process
    {
        LoadTable table;
        std::vector<std::uint32_t> inFlight;
    };

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }

    [[nodiscard]] bool isBurst() const
    {
        return m_now.time_since_epoch() >= burstStart && m_now.time_since_epoch() < burstEnd;
    }

    double uniform()
    {
        constexpr std::uint32_t steps = 1U << 24U;
        return (m_random.below(steps) + 0.5) / steps;
    }

    Duration exponential(Duration mean)
    {
        return scaled(mean, -std::log(uniform()));
    }

    void arrive()
    {
        if (m_now.time_since_epoch() >= end) {
            return;
        }
        send(m_random.below(static_cast<std::uint32_t>(m_processes.size())));
        const double busySlots = usualShare * (isBurst() ? 3.0 : 1.0) * static_cast<double>(m_endpoints.size() * slots);
        at(m_now + exponential(scaled(callTime, 1.0 / busySlots)), [this] { arrive(); });
    }

    void send(std::size_t number)
    {
        Process &process = m_processes[number];
        std::vector<LoadCandidate> candidates;
        for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
            const InstanceName &name = m_endpoints[index].name;
            candidates.push_back({name, process.inFlight[index], process.table.expectedOthers(m_pool, name, m_now),
                                  slots, process.table.expectedPace(m_pool, name, m_now)});
        }
        const std::size_t chosen = m_choice(candidates, "attempt-" + std::to_string(m_nextAttempt++));
        ++process.inFlight[chosen];
        at(m_now + networkDelay, [this, number, chosen] { receive({number, chosen, m_now}); });
    }

    void receive(const Call &call)
    {
        m_endpoints[call.endpoint].waiting.push_back(call);
        startNext(m_endpoints[call.endpoint]);
    }

    void startNext(Endpoint &endpoint)
    {
        if (endpoint.waiting.empty() || endpoint.running >= slots) {
            return;
        }
        const Call call = endpoint.waiting.front();
        endpoint.waiting.pop_front();
        ++endpoint.running;
        m_waits.push_back(m_now - call.arrivedAt);
        at(m_now + scaled(callTime, endpoint.pace), [this, call] { complete(call); });
    }

    void complete(const Call &call)
    {
        Endpoint &endpoint = m_endpoints[call.endpoint];
        const EndpointLoad load{static_cast<std::uint32_t>(endpoint.running),
                                static_cast<std::uint32_t>(endpoint.waiting.size()), slots, endpoint.pace};
        --endpoint.running;
        startNext(endpoint);
        at(m_now + networkDelay, [this, call, load, &endpoint] {
            Process &process = m_processes[call.process];
            process.table.record(m_pool, endpoint.name, 1, load, process.inFlight[call.endpoint], m_now);
            --process.inFlight[call.endpoint];
        });
    }

    void changePace(Endpoint &endpoint)
    {
        if (m_now.time_since_epoch() >= end) {
            return;
        }
        endpoint.pace = endpoint.slowdown * (0.75 + 0.5 * uniform());
        at(m_now + exponential(meanPaceTime), [this, &endpoint] { changePace(endpoint); });
    }

    void sample()
    {
        if (m_now.time_since_epoch() >= end) {
            return;
        }
        std::size_t busiest = 0;
        std::size_t total = 0;
        for (const Endpoint &endpoint : m_endpoints) {
            const std::size_t requests = endpoint.running + endpoint.waiting.size();
            busiest = std::max(busiest, requests);
            total += requests;
        }
        if (isBurst() && total > 0) {
            m_ratioSum += static_cast<double>(busiest * m_endpoints.size()) / static_cast<double>(total);
            ++m_ratioCount;
        }
        at(m_now + samplePeriod, [this] { sample(); });
    }

    const PoolName m_pool{"plain"};
    Choice m_choice;
    std::vector<Process> m_processes;
    std::vector<Endpoint> m_endpoints;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now{};
    Random m_random;
    std::uint64_t m_nextAttempt{};
    std::vector<Duration> m_waits;
    double m_ratioSum{};
    std::size_t m_ratioCount{};
};

} // namespace

/*! @brief Choice of an endpoint for a plain call by loads that are out of date. */
class PickOfTwoTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PickOfTwoTest);
    CPPUNIT_TEST(withoutCandidatesNothingIsChosen);
    CPPUNIT_TEST(ofTwoTheOneWithTheShorterCallIsChosen);
    CPPUNIT_TEST(drawsDependOnTheAttemptOnly);
    CPPUNIT_TEST(mostLoadedIsNeverChosen);
    CPPUNIT_TEST(loadIsNoLessEvenThanWithTheMinimumAt27Processes);
    CPPUNIT_TEST(loadIsMoreEvenThanWithTheMinimumAt300Processes);
    CPPUNIT_TEST_SUITE_END();

public:
    void withoutCandidatesNothingIsChosen()
    {
        CPPUNIT_ASSERT(!pickOfTwo({}, "attempt"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pickOfTwo({{InstanceName{"only"}, 9, 9.0, 1, 9.0}}, "attempt").value());
    }

    /*! @brief Guards against a choice that leaves out own requests, others, slots or pace. */
    void ofTwoTheOneWithTheShorterCallIsChosen()
    {
        const LoadCandidate usual{InstanceName{"usual"}, 2, 2.0, 6, 1.0};
        const std::vector<LoadCandidate> worse{{InstanceName{"own"}, 3, 2.0, 6, 1.0},
                                               {InstanceName{"others"}, 2, 3.0, 6, 1.0},
                                               {InstanceName{"slots"}, 2, 2.0, 5, 1.0},
                                               {InstanceName{"pace"}, 2, 2.0, 6, 1.1}};
        for (const LoadCandidate &other : worse) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pickOfTwo({usual, other}, "attempt").value());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pickOfTwo({other, usual}, "attempt").value());
        }
    }

    /*! @brief Guards against draws that differ by the order of the list. */
    void drawsDependOnTheAttemptOnly()
    {
        std::vector<LoadCandidate> candidates = equalCandidates();
        std::set<std::string> chosen;
        for (int attempt = 0; attempt < 200; ++attempt) {
            const std::string text = std::to_string(attempt);
            const InstanceName first = candidates[pickOfTwo(candidates, text).value()].instance;
            std::ranges::reverse(candidates);
            CPPUNIT_ASSERT_EQUAL(first, candidates[pickOfTwo(candidates, text).value()].instance);
            chosen.insert(first.text());
        }
        CPPUNIT_ASSERT_EQUAL(candidates.size(), chosen.size());
    }

    void mostLoadedIsNeverChosen()
    {
        std::vector<LoadCandidate> candidates = equalCandidates();
        candidates[3].others = 1.0;
        for (int attempt = 0; attempt < 200; ++attempt) {
            CPPUNIT_ASSERT(pickOfTwo(candidates, std::to_string(attempt)) != std::size_t{3});
        }
    }

    /*! @brief Guards against a fleet that concentrates a burst on the endpoints that looked idle. */
    void loadIsNoLessEvenThanWithTheMinimumAt27Processes()
    {
        const Figures two = figuresOf(27, 6, drawTwo);
        const Figures minimum = figuresOf(27, 6, takeMinimum);
        CPPUNIT_ASSERT(two.busiestToMean <= minimum.busiestToMean);
        CPPUNIT_ASSERT(two.wait99 <= longestWait);
    }

    /*! @brief As with 27 processes; reports are older, as each process has a smaller part of the calls. */
    void loadIsMoreEvenThanWithTheMinimumAt300Processes()
    {
        const Figures two = figuresOf(300, 12, drawTwo);
        const Figures minimum = figuresOf(300, 12, takeMinimum);
        CPPUNIT_ASSERT(two.busiestToMean < minimum.busiestToMean);
        CPPUNIT_ASSERT(two.wait99 < minimum.wait99);
        CPPUNIT_ASSERT(two.wait99 <= longestWait);
        CPPUNIT_ASSERT(minimum.wait99 > longestWait);
    }

private:
    /*! @brief Objective of the plain service in the first deployment, less the duration of a call. */
    static constexpr Duration longestWait = std::chrono::milliseconds{120 - 15};

    static std::vector<LoadCandidate> equalCandidates()
    {
        constexpr int count = 5;
        std::vector<LoadCandidate> candidates;
        candidates.reserve(count);
        for (int index = 0; index < count; ++index) {
            candidates.push_back({InstanceName{"endpoint-" + std::to_string(index)}, 0, 0.0, 6, 1.0});
        }
        return candidates;
    }

    /*! @brief Returns the mean figures of runs with different seeds. */
    static Figures figuresOf(std::size_t processes, std::size_t endpoints, const Choice &choice)
    {
        constexpr int runs = 3;
        Figures mean;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            const Figures figures = PlainService{processes, endpoints, seed, choice}.run();
            mean.busiestToMean += figures.busiestToMean / runs;
            mean.wait99 += figures.wait99 / runs;
        }
        return mean;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PickOfTwoTest);
