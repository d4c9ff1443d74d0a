#include "bergamottide/serving/servingreducer.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * @brief CPU time of the process that owns the queue of a stage pool, and of a relay, in a fleet of hundreds.
 *
 * Each iteration simulates one second of load, so its CPU time in seconds is the share of a core in use.
 */

namespace {

using namespace bergamottide;
using namespace bergamottide::serving;

constexpr Duration step = std::chrono::milliseconds{1};
constexpr std::uint32_t piecesPerTask = 16;

/*! @brief Load on the owner of the queue of a stage pool, in a deployment with many other endpoints. */
class QueueOwnerLoad
{
public:
    QueueOwnerLoad(std::uint32_t endpoints, std::uint32_t otherEndpoints)
        : m_catalog{catalog()}
        , m_reducer{options()}
    {
        apply(CatalogChanged{m_catalog});
        auto list = std::make_shared<EndpointList>();
        for (std::uint32_t number = 0; number < endpoints + otherEndpoints; ++number) {
            const std::string pool = number < endpoints ? "rerankers" : "engines";
            list->push_back({InstanceName{"endpoint-" + std::to_string(number)}, PoolName{pool}, "10.0.0.1:1",
                             ZoneName{"zone-" + std::to_string(number % 5)}, 1, false});
        }
        apply(EndpointsChanged{list});
    }

    /*! @brief Advances the clock by one step, in which tasks of peers arrive and calls complete. */
    void advance(double tasks)
    {
        m_now += step;
        m_dueTasks += tasks;
        for (; m_dueTasks >= 1.0; m_dueTasks -= 1.0) {
            submitTask();
        }
        while (!m_running.empty() && m_running.front().first <= m_now) {
            const StageCallEnded ended = m_running.front().second;
            m_running.erase(m_running.begin());
            apply(ended);
        }
        if (m_reducer.nextWakeup().value_or(m_now) <= m_now) {
            apply(Tick{});
        }
    }

    [[nodiscard]] std::uint64_t answeredTasks() const noexcept
    {
        return m_answeredTasks;
    }

private:
    static std::shared_ptr<const Catalog> catalog()
    {
        auto out = std::make_shared<Catalog>();
        out->version = 1;
        BatchSpec batch{
            1, 70, std::chrono::milliseconds{150}, std::chrono::microseconds{1800}, 1'200'000, std::chrono::seconds{4}};
        out->pools["rerankers"] = Pool{PoolName{"rerankers"}, 100, batch, {}};
        out->pools["engines"] = Pool{PoolName{"engines"}, 100, {}, EngineSpec{32, 350'000}};
        out->buildIndex();
        return out;
    }

    static ServingOptions options()
    {
        ServingOptions out;
        out.self = {InstanceName{"entry-1"}, "10.0.0.9:1"};
        return out;
    }

    void submitTask()
    {
        StageTask task;
        task.pool = PoolName{"rerankers"};
        task.rank = static_cast<int>(m_tasks % 2) * 2;
        task.deadline = m_now + std::chrono::seconds{4};
        task.latestStart = m_now + std::chrono::milliseconds{600};
        task.attempt = "attempt-" + std::to_string(m_tasks);
        task.stage = 2;
        task.pieces = piecesPerTask;
        for (std::uint32_t input = 0; input < 8; ++input) {
            task.inputs.push_back(
                {"10.0.0.2:1/" + std::to_string(m_tasks * 8 + input), InstanceName{"other"}, "10.0.0.2:1", 60'000, 1});
        }
        task.resultBytes = 6000;
        task.preferredZone = ZoneName{"zone-" + std::to_string(m_tasks % 5)};
        task.requester = InstanceName{"entry-" + std::to_string(m_tasks % 100)};
        apply(PeerTaskArrived{PeerTaskNumber{++m_tasks}, std::move(task)});
    }

    void apply(const Event &event)
    {
        for (const Effect &effect : m_reducer.apply(event, m_now)) {
            if (const auto *call = std::get_if<StartStageCall>(&effect)) {
                startCall(*call);
            } else if (const auto *answer = std::get_if<CompletePeerTask>(&effect)) {
                m_answeredTasks += answer->outcomes.empty() ? 0 : 1;
                releaseLater(*answer);
            }
        }
    }

    void startCall(const StartStageCall &call)
    {
        StageCallEnded ended{call.call, StageCallStatus::Answered, {}, EndpointLoad{1, 0, 1}};
        for (const StageItem &item : call.items) {
            ended.results.push_back({call.address + "/" + item.attempt + "-" + std::to_string(item.piece), {}});
        }
        const TimePoint completion =
            m_now + std::chrono::milliseconds{150} + std::chrono::microseconds{1800} * call.items.size();
        const auto position = std::upper_bound(m_running.begin(), m_running.end(), completion,
                                               [](TimePoint time, const auto &entry) { return time < entry.first; });
        m_running.emplace(position, completion, std::move(ended));
    }

    void releaseLater(const CompletePeerTask &answer)
    {
        PeerReleasedResults released;
        for (const StageOutcome &outcome : answer.outcomes) {
            released.handles.push_back(outcome.result.handle);
        }
        m_released.push_back(std::move(released));
        // Results are released only after the next stage has fetched them.
        if (m_released.size() > 100) {
            const PeerReleasedResults first = std::move(m_released.front());
            m_released.erase(m_released.begin());
            apply(first);
        }
    }

    TimePoint m_now{std::chrono::seconds{100}};
    std::shared_ptr<const Catalog> m_catalog;
    ServingReducer m_reducer;
    std::vector<std::pair<TimePoint, StageCallEnded>> m_running;
    std::vector<PeerReleasedResults> m_released;
    double m_dueTasks{};
    std::uint64_t m_tasks{};
    std::uint64_t m_answeredTasks{};
};

/*! @brief One second at the owner of a queue; the arguments are tasks per second and stage endpoints. */
void keepQueue(benchmark::State &state)
{
    const auto tasksPerSecond = static_cast<double>(state.range(0));
    QueueOwnerLoad load{static_cast<std::uint32_t>(state.range(1)), 265};
    for (auto iteration : state) {
        for (int count = 0; count < 1000; ++count) {
            load.advance(tasksPerSecond / 1000.0);
        }
    }
    state.counters["answered"] =
        benchmark::Counter(static_cast<double>(load.answeredTasks()), benchmark::Counter::kAvgIterations);
}
BENCHMARK(keepQueue)
    ->Args({100, 12})
    ->Args({330, 41})
    ->Args({560, 41})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(4)
    ->MeasureProcessCPUTime();

Heartbeat heartbeatOf(std::size_t number, bool isRelay)
{
    Heartbeat heartbeat;
    const std::string name = "entry-" + std::to_string(number);
    heartbeat.from = {InstanceName{name}, name + ":1", isRelay ? 0.5 : 0.1};
    heartbeat.incarnation = 1;
    heartbeat.canOwnQueues = true;
    heartbeat.isRelay = isRelay;
    heartbeat.upcoming = {{PoolName{"encoders"}, 0, 4}, {PoolName{"rerankers"}, 2, 8}};
    heartbeat.engines.push_back({heartbeat.from.instance, 1, 1, {{InstanceName{"engine-1"}, 400}}, {}});
    return heartbeat;
}

/*! @brief One second of heartbeats at a relay; the argument is the number of processes, a seventh of them relays. */
void answerHeartbeats(benchmark::State &state)
{
    const auto fleet = static_cast<std::size_t>(state.range(0));
    Peers peers{{InstanceName{"entry-0"}, "entry-0:1", 0.5}, 1, {}};
    peers.setCanOwnQueues(true);
    TimePoint now{std::chrono::seconds{100}};
    for (std::size_t number = 1; number < fleet; ++number) {
        peers.handleHeartbeat(heartbeatOf(number, number % 7 == 0), now);
    }
    for (auto iteration : state) {
        for (int beat = 0; beat < 5; ++beat) {
            now += heartbeatPeriod;
            for (std::size_t number = 1; number < fleet; ++number) {
                if (number % 7 != 0 && number % 8 >= 2) {
                    continue;
                }
                const Heartbeat received = heartbeatOf(number, number % 7 == 0);
                peers.handleHeartbeat(received, now);
                Heartbeat answer;
                peers.fillHeartbeat(answer, received.from.address, now);
                benchmark::DoNotOptimize(answer);
            }
            benchmark::DoNotOptimize(peers.takeDueAddresses(now));
        }
    }
}
BENCHMARK(answerHeartbeats)->Arg(30)->Arg(100)->Arg(300)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
