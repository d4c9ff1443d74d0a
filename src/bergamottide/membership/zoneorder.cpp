#include "bergamottide/membership/zoneorder.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Neighbours tried after the first parent has failed. */
constexpr std::size_t neighbours = 3;

struct Ranked
{
    Role role{};
    std::uint64_t rank{};
    InstanceName name;
};

std::uint64_t rankOf(const InstanceName &name)
{
    return XXH3_64bits(name.text().data(), name.text().size());
}

void addOnce(const InstanceName &name, std::vector<InstanceName> &names)
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
        ranked.push_back({instance.role, rankOf(name), name});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.role, a.rank, a.name) < std::tie(b.role, b.rank, b.name);
    });
    for (Ranked &one : ranked) {
        m_names.push_back(std::move(one.name));
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
    std::vector<InstanceName> found;
    if (position == 0) {
        return found;
    }
    const std::size_t first = (position - 1) / arity;
    for (std::size_t step = 0; step < neighbours; ++step) {
        const std::size_t candidate = first + step * (1 + position % arity);
        if (candidate < position) {
            addOnce(m_names[candidate], found);
        }
    }
    addOnce(m_names.front(), found);
    return found;
}

std::vector<InstanceName> firstOfOtherZones(const InstanceView &view, const RegionName &region, const ZoneName &zone)
{
    using Place = std::pair<RegionName, ZoneName>;
    std::set<Place> places;
    for (const auto &[name, instance] : view.instances) {
        places.emplace(instance.region, instance.zone);
    }
    const Place own{region, zone};
    places.erase(own);
    // The ring begins with the place that follows the own one.
    std::vector<Place> ring{places.lower_bound(own), places.end()};
    ring.insert(ring.end(), places.begin(), places.lower_bound(own));
    std::vector<InstanceName> found;
    for (const Place &place : ring) {
        const ZoneOrder order{view, place.first, place.second};
        if (!order.names().empty()) {
            found.push_back(order.names().front());
        }
    }
    return found;
}

} // namespace bergamottide
