#include "bergamottide/catalog/catalog.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Raises the level of a stage and, recursively, of its dependencies; `depth` ends the recursion on a cycle. */
void raiseLevels(std::vector<StageSpec> &stages, std::size_t stage, std::uint32_t level, std::size_t depth)
{
    if (depth > stages.size()) {
        return;
    }
    stages[stage].level = std::max(stages[stage].level, level);
    for (const std::uint32_t before : stages[stage].dependencies) {
        if (before >= stages.size()) {
            continue;
        }
        stages[before].isLeaf = false;
        raiseLevels(stages, before, level + 1, depth + 1);
    }
}

std::string normalizedHost(std::string_view host)
{
    return absl::AsciiStrToLower(absl::string_view{host.data(), host.size()});
}

} // namespace

std::uint32_t Route::maxLevel() const noexcept
{
    std::uint32_t top = 0;
    for (const StageSpec &stage : stages) {
        top = std::max(top, stage.level);
    }
    return top;
}

void Catalog::buildIndex()
{
    routesByHost.clear();
    for (std::size_t position = 0; position < routes.size(); ++position) {
        Route &route = routes[position];
        routesByHost[normalizedHost(route.host)].push_back(position);
        for (std::size_t stage = 0; stage < route.stages.size(); ++stage) {
            raiseLevels(route.stages, stage, 1, 0);
        }
    }
}

const Route *Catalog::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = routesByHost.find(normalizedHost(host));
    if (found == routesByHost.end()) {
        return nullptr;
    }
    const Route *best = nullptr;
    for (const std::size_t position : found->second) {
        const Route &route = routes[position];
        if (!path.starts_with(route.pathPrefix)) {
            continue;
        }
        if (best == nullptr || best->pathPrefix.size() < route.pathPrefix.size()) {
            best = &route;
        }
    }
    return best;
}

const Pool *Catalog::findPool(const PoolName &name) const
{
    const auto found = pools.find(name.text());
    return found == pools.end() ? nullptr : &found->second;
}

} // namespace bergamottide::serving
