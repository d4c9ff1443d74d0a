#include "bergamottide/scheduling/fairqueue.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace std::chrono_literals;

namespace {

/*! @brief Runs queued for each workspace. */
constexpr std::uint64_t runsPerWorkspace = 2;

QueueItem item(std::uint64_t number, const WorkspaceName &workspace)
{
    const Duration cost = (1 + number * 7 % 13) * 10ms;
    return {RunId{RequestId{number * 0x9e3779b97f4a7c15ULL, number}, 0, 1},
            workspace,
            cost,
            0ms,
            TimePoint{} + 10h,
            static_cast<double>(1 + number % 3)};
}

/*! @brief Queue with runs of all workspaces. */
struct FilledQueue
{
    explicit FilledQueue(std::uint64_t workspaces)
        : queue{2 * runsPerWorkspace * workspaces, 8}
    {
        for (std::uint64_t index = 0; index < workspaces; ++index) {
            names.emplace_back("workspace-" + std::to_string(index));
        }
        for (; number < runsPerWorkspace * workspaces; ++number) {
            (void)queue.push(item(number, names[number % workspaces]));
        }
    }

    FairQueue queue;
    std::vector<WorkspaceName> names;
    std::uint64_t number{};
};

/*! @brief Time of one `pop` and one `push` for another workspace. */
void popAndPush(benchmark::State &state)
{
    const auto workspaces = static_cast<std::uint64_t>(state.range(0));
    FilledQueue filledQueue{workspaces};
    for (auto _ : state) {
        benchmark::DoNotOptimize(filledQueue.queue.pop(TimePoint{}));
        const std::uint64_t number = filledQueue.number++;
        benchmark::DoNotOptimize(filledQueue.queue.push(item(number, filledQueue.names[number * 31 % workspaces])));
    }
}

/*! @brief Time of a `push` to a full queue, which evicts a run. */
void pushWhenFull(benchmark::State &state)
{
    const auto workspaces = static_cast<std::uint64_t>(state.range(0));
    FilledQueue filledQueue{workspaces};
    filledQueue.queue.setLimit(runsPerWorkspace * workspaces);
    for (auto _ : state) {
        const std::uint64_t number = filledQueue.number++;
        benchmark::DoNotOptimize(filledQueue.queue.push(item(number, filledQueue.names[number * 31 % workspaces])));
    }
}

} // namespace

BENCHMARK(popAndPush)->Arg(5)->Arg(520)->Arg(10000);
BENCHMARK(pushWhenFull)->Arg(5)->Arg(520)->Arg(10000);
BENCHMARK_MAIN();
