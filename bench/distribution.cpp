// Cost of one configuration change: reading a document, applying a delta, and sending deltas to subscribers, by the
// size of the document and the number of subscribers. Byte counts include only the names and texts of the sections.

#include "bergamottide/config/section.h"
#include "bergamottide/config/store.h"
#include "bergamottide/membership/subscribers.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace bergamottide;

namespace {

constexpr int pipelines = 6;
constexpr int models = 16;

/*! @brief Returns a document of production size with the given number of workspaces. */
Document documentOf(std::int64_t workspaces)
{
    Document document;
    document.version = 1;
    const PoolName pool{"engines"};
    document.pools[pool] = {.name = pool, .kind = PoolKind::Engine};
    for (int number = 0; number < models; ++number) {
        const ModelName name{"model-" + std::to_string(number)};
        document.models[name] = {.name = name, .versions = {"2026-10", "2026-11"}};
    }
    for (int number = 0; number < pipelines; ++number) {
        const PipelineName name{"pipeline-" + std::to_string(number)};
        Pipeline &pipeline = document.pipelines[name];
        pipeline.name = name;
        for (int stage = 0; stage < 4; ++stage) {
            pipeline.stages.push_back({.name = StageName{"stage-" + std::to_string(stage)}, .pool = pool});
        }
    }
    for (std::int64_t number = 0; number < workspaces; ++number) {
        const WorkspaceName name{"workspace-" + std::to_string(number)};
        std::string digest = std::to_string(number);
        digest.insert(0, 64 - digest.size(), '0');
        document.workspaces[name] = {.name = name, .weight = 2, .keyDigests = {digest}, .maxInProgress = 500};
        for (int bound = 0; bound < 2; ++bound) {
            document.bindings.push_back({.workspace = name,
                                         .pipeline = PipelineName{"pipeline-" + std::to_string(bound)},
                                         .model = ModelName{"model-" + std::to_string(number % models)},
                                         .version = "2026-11"});
        }
    }
    return document;
}

Document withNextVersion(Document document)
{
    ++document.version;
    Workspace &workspace = document.workspaces.begin()->second;
    workspace.maxInProgress = 500 + static_cast<std::uint32_t>(document.version % 100);
    return document;
}

double sizeInBytes(const ConfigDelta &delta)
{
    std::size_t bytes = 0;
    for (const ConfigDelta::Section &section : delta.sections) {
        bytes += section.name.size() + section.text.size();
    }
    return static_cast<double>(bytes);
}

void readerTakesText(benchmark::State &state)
{
    const Document document = documentOf(state.range(0));
    const std::string first = writeDocument(document);
    const std::string second = writeDocument(withNextVersion(document));
    ConfigStore before;
    (void)before.offerText(first);
    for (auto unused : state) {
        ConfigStore store = before;
        benchmark::DoNotOptimize(store.offerText(second));
    }
    state.counters["text_bytes"] = static_cast<double>(second.size());
}

void processAppliesDelta(benchmark::State &state)
{
    const Document document = documentOf(state.range(0));
    const SnapshotPointer base = makeSnapshot(document);
    const SnapshotPointer to = makeSnapshot(withNextVersion(document));
    const ConfigDelta delta = makeDelta(*to, changedSections(base, *to), base->version(), base->digest);
    for (auto unused : state) {
        benchmark::DoNotOptimize(applyDelta(base, delta));
    }
    state.counters["delta_bytes"] = sizeInBytes(delta);
}

void parentServesSubscribers(benchmark::State &state)
{
    const Document document = documentOf(520);
    ConfigStore store;
    (void)store.offerText(writeDocument(document));
    const ConfigSubscribe old{store.version(), store.digest()};
    (void)store.offerText(writeDocument(withNextVersion(document)));
    double bytes = 0;
    for (auto unused : state) {
        Subscribers subscribers{SubscriberPolicy{}};
        for (std::int64_t number = 0; number < state.range(0); ++number) {
            subscribers.add(InstanceName{"side-" + std::to_string(number)}, old, TimePoint{});
        }
        bytes = 0;
        const TimePoint now{std::chrono::seconds{1}};
        subscribers.sendDue(store, {}, now,
                            [&bytes](const InstanceName &, const ConfigDelta &delta) { bytes += sizeInBytes(delta); });
    }
    state.counters["sent_bytes"] = bytes;
}

BENCHMARK(readerTakesText)->Arg(5)->Arg(104)->Arg(520)->Unit(benchmark::kMicrosecond);
BENCHMARK(processAppliesDelta)->Arg(5)->Arg(104)->Arg(520)->Unit(benchmark::kMicrosecond);
BENCHMARK(parentServesSubscribers)->Arg(2)->Arg(8)->Arg(32)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
