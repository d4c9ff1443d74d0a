#include "bergamottide/admission/admissioncontrol.h"

#include <benchmark/benchmark.h>

#include <array>
#include <string>
#include <vector>

/**
 * @file
 * @brief Time of one admission decision for a pipeline of four stages, by the number of endpoints per stage.
 */

namespace {

using namespace bergamottide;

void judge(benchmark::State &state)
{
    const auto endpoints = static_cast<std::uint32_t>(state.range(0));
    const std::array<std::string, 4> pools{"encoders", "retrievers", "rerankers", "engines"};
    EndpointTable table{RegionName{"region"}, ZoneName{"zone-0"}};
    Placement placement{table, 1};
    AdmissionControl admission{placement, table};
    const TimePoint now{std::chrono::seconds{1}};
    InstanceView view;
    Pipeline pipeline{PipelineName{"answer"}, {}};
    for (const std::string &pool : pools) {
        pipeline.stages.push_back({StageName{pool}, PoolName{pool}});
        for (std::uint32_t number = 0; number < endpoints; ++number) {
            Instance instance;
            instance.name = InstanceName{pool + std::to_string(number)};
            instance.role = Role::Sidecar;
            instance.region = RegionName{"region"};
            instance.zone = ZoneName{"zone-" + std::to_string(number % 3)};
            instance.pool = PoolName{pool};
            view.instances[instance.name] = instance;
        }
    }
    table.applyView(view);
    const LoadReport report{.queued = 8, .running = 8, .concurrency = 8, .wait = std::chrono::milliseconds{300}};
    for (const auto &[name, instance] : view.instances) {
        table.setConnected(name, true);
        table.applyReport(name, report, now);
    }
    const Workspace workspace{WorkspaceName{"north"}};
    const ModelName model;
    const Kind kind;
    const std::vector<Duration> costs(pools.size(), std::chrono::milliseconds{100});
    const AdmissionQuery query{workspace, pipeline, model, kind, 0, costs, std::chrono::seconds{9}};
    const Policy policy;
    for (auto step : state) {
        benchmark::DoNotOptimize(admission.decide(query, policy, 2, now));
    }
}

BENCHMARK(judge)->Arg(12)->Arg(129)->Arg(4000);

} // namespace

BENCHMARK_MAIN();
