#include "bergamottide/membership/zoneorder.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Parent candidates of a process, apart from the root. */
constexpr std::size_t maxTreeCandidates = 3;

struct Ranked
{
    Role role{};
    std::uint64_t hash{};
    InstanceName name;
};

std::uint64_t hashOf(const InstanceName &name)
{
    return XXH3_64bits(name.text().data(), name.text().size());
}

void addIfAbsent(const InstanceName &name, std::vector<InstanceName> &names)
{
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.push_back(name);
    }
}

} // namespace

ZoneOrder::ZoneOrder(const InstanceView &view, const RegionName &region, const ZoneName &zone)
{
    std::vector<Ranked> ranked;
    for (const auto &[name, instance] : view.instances) {
        if (instance.leaving || instance.region != region || instance.zone != zone) {
            continue;
        }
        ranked.push_back({instance.role, hashOf(name), name});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.role, a.hash, a.name) < std::tie(b.role, b.hash, b.name);
    });
    for (Ranked &process : ranked) {
        m_names.push_back(std::move(process.name));
    }
}

std::optional<std::size_t> ZoneOrder::position(const InstanceName &name) const
{
    const auto found = std::find(m_names.begin(), m_names.end(), name);
    if (found == m_names.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_names.begin());
}

std::vector<InstanceName> ZoneOrder::parents(std::size_t position, std::size_t arity) const
{
    std::vector<InstanceName> candidates;
    if (position == 0) {
        return candidates;
    }
    const std::size_t first = (position - 1) / arity;
    for (std::size_t step = 0; step < maxTreeCandidates; ++step) {
        const std::size_t candidate = first + step * (1 + position % arity);
        if (candidate < position) {
            addIfAbsent(m_names[candidate], candidates);
        }
    }
    addIfAbsent(m_names.front(), candidates);
    return candidates;
}

std::vector<InstanceName> rootsOfOtherZones(const InstanceView &view, const RegionName &region, const ZoneName &zone)
{
    using ZoneKey = std::pair<RegionName, ZoneName>;
    std::set<ZoneKey> zones;
    for (const auto &[name, instance] : view.instances) {
        zones.emplace(instance.region, instance.zone);
    }
    const ZoneKey own{region, zone};
    zones.erase(own);
    // The cyclic order starts with the zone after this one.
    std::vector<ZoneKey> ring{zones.lower_bound(own), zones.end()};
    ring.insert(ring.end(), zones.begin(), zones.lower_bound(own));
    std::vector<InstanceName> roots;
    for (const ZoneKey &zoneKey : ring) {
        const ZoneOrder order{view, zoneKey.first, zoneKey.second};
        if (!order.names().empty()) {
            roots.push_back(order.names().front());
        }
    }
    return roots;
}

} // namespace bergamottide
