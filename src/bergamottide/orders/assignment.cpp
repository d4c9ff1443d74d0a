#include "bergamottide/orders/assignment.h"

#include <xxhash.h>

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace bergamottide {

namespace {

std::uint64_t score(const ModelName &model, const InstanceName &engine)
{
    const std::uint64_t inner = XXH3_64bits(engine.text().data(), engine.text().size());
    return XXH3_64bits_withSeed(model.text().data(), model.text().size(), inner);
}

/*! @brief Returns the engine pools in which each model is used by a binding. */
std::map<ModelName, std::set<PoolName>> enginePools(const Document &document)
{
    std::map<ModelName, std::set<PoolName>> pools;
    for (const Binding &binding : document.bindings) {
        const auto pipeline = document.pipelines.find(binding.pipeline);
        if (pipeline == document.pipelines.end() || binding.model.empty()) {
            continue;
        }
        for (const Stage &stage : pipeline->second.stages) {
            const auto pool = document.pools.find(stage.pool);
            if (pool != document.pools.end() && pool->second.kind == PoolKind::Engine) {
                pools[binding.model].insert(stage.pool);
            }
        }
    }
    return pools;
}

/*! @brief Returns the rank of an engine for a model; absent if the engine belongs to none of the pools. */
std::optional<std::uint32_t> rankOf(const ModelName &model, const std::set<PoolName> &pools, const InstanceView &view,
                                    const InstanceName &engine)
{
    const auto candidate = [&pools](const Instance &instance) {
        return instance.role == Role::Sidecar && !instance.leaving && pools.contains(instance.pool);
    };
    const auto own = view.instances.find(engine);
    if (own == view.instances.end() || !candidate(own->second)) {
        return std::nullopt;
    }
    const std::pair ownScore{score(model, engine), engine};
    std::uint32_t higher = 0;
    for (const auto &[name, instance] : view.instances) {
        if (!candidate(instance)) {
            continue;
        }
        higher += ownScore < std::pair{score(model, name), name} ? 1 : 0;
    }
    return higher;
}

} // namespace

std::vector<AssignedModel> assignedModels(const Document &document, const InstanceView &view,
                                          const InstanceName &engine)
{
    std::vector<AssignedModel> assigned;
    for (const auto &[name, pools] : enginePools(document)) {
        const auto model = document.models.find(name);
        if (model == document.models.end()) {
            continue;
        }
        const std::optional<std::uint32_t> rank = rankOf(name, pools, view, engine);
        if (!rank || *rank >= model->second.replicas) {
            continue;
        }
        const auto &versions = model->second.versions;
        assigned.push_back({name, versions.empty() ? std::string{} : versions.back(), model->second.adapters, *rank,
                            model->second.megabytes});
    }
    return assigned;
}

} // namespace bergamottide
