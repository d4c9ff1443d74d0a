#include "bergamottide/catalog/regionrule.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bergamottide::serving {

RegionRule::RegionRule(std::map<ZoneName, RegionName> regions)
    : m_regions{std::move(regions)}
{
}

bool RegionRule::allows(const Route &route, const Workspace &workspace, const ZoneName &zone) const
{
    if (route.regions.empty() && workspace.regions.empty()) {
        return true;
    }
    const auto found = m_regions.find(zone);
    if (found == m_regions.end()) {
        return false;
    }
    const auto allowsRegion = [&found](const std::vector<RegionName> &regions) {
        return regions.empty() || std::ranges::find(regions, found->second) != regions.end();
    };
    return allowsRegion(route.regions) && allowsRegion(workspace.regions);
}

} // namespace bergamottide::serving
