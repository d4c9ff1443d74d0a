#include "bergamottide/placement/placement.h"
#include "bergamottide/placement/outlierejector.h"

#include <benchmark/benchmark.h>

#include <string>

/**
 * @file
 * @brief Times of a placement, of applying a load report and of a review by the ejector, by the number of endpoints.
 */

namespace {

using namespace bergamottide;

/*! @brief Pool of engines in 31 availability zones; all are connected and have sent a load report. */
struct Fleet
{
    explicit Fleet(std::uint32_t endpoints)
        : table{RegionName{"region-0"}, ZoneName{"zone-0"}}
        , placement{table, 1}
    {
        for (std::uint32_t number = 0; number < endpoints; ++number) {
            Instance instance;
            instance.name = InstanceName{"engine-" + std::to_string(number)};
            instance.role = Role::Sidecar;
            instance.region = RegionName{"region-" + std::to_string(number % 31 / 4)};
            instance.zone = ZoneName{"zone-" + std::to_string(number % 31)};
            instance.pool = pool;
            view.instances[instance.name] = instance;
        }
        table.applyView(view);
        for (const auto &[name, instance] : view.instances) {
            table.setConnected(name, true);
            table.applyReport(name, report, now);
        }
    }

    [[nodiscard]] PlacementQuery query(std::uint64_t prefix) const
    {
        return {pool, model, workspace, prefix, std::chrono::milliseconds{400}, true, {}};
    }

    PoolName pool{"engines"};
    ModelName model{"model-1"};
    WorkspaceName workspace{"workspace-1"};
    LoadReport report{.running = 4, .concurrency = 8, .servicePerUnit = 100.0, .models = {ModelName{"model-1"}}};
    TimePoint now{std::chrono::seconds{1}};
    InstanceView view;
    EndpointTable table;
    Placement placement;
    Policy policy;
};

void place(benchmark::State &state)
{
    Fleet fleet{static_cast<std::uint32_t>(state.range(0))};
    std::uint64_t prefix = 1;
    for (auto step : state) {
        const auto placed = fleet.placement.choose(fleet.query(prefix++), fleet.policy, fleet.now);
        fleet.table.runSent(placed->number, std::chrono::milliseconds{400});
        fleet.table.runEnded(placed->number, std::chrono::milliseconds{400});
        benchmark::DoNotOptimize(placed);
    }
}

void takeReport(benchmark::State &state)
{
    Fleet fleet{static_cast<std::uint32_t>(state.range(0))};
    const InstanceName sidecar{"engine-0"};
    for (auto step : state) {
        fleet.report.running = (fleet.report.running + 1) % 8;
        fleet.table.applyReport(sidecar, fleet.report, fleet.now);
    }
}

void review(benchmark::State &state)
{
    Fleet fleet{static_cast<std::uint32_t>(state.range(0))};
    OutlierEjector ejector{fleet.table};
    for (auto step : state) {
        benchmark::DoNotOptimize(ejector.review(fleet.policy, fleet.now));
    }
}

BENCHMARK(place)->Arg(12)->Arg(129)->Arg(4000);
BENCHMARK(takeReport)->Arg(12)->Arg(129)->Arg(4000);
BENCHMARK(review)->Arg(12)->Arg(129)->Arg(4000);

} // namespace

BENCHMARK_MAIN();
