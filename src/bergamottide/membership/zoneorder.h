#pragma once

#include "bergamottide/membership/instanceview.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Order of the processes of one availability zone, the same at each of them.
 *
 * Entries come before sides, and within a role a hash of the name decides (rendezvous
 * hashing). Whether one process comes before another depends on the two alone, never on the
 * rest of the list: however stale the views of some processes are, no two of them can each
 * take the other for their parent, so a tree built from the order has no cycle.
 */
class ZoneOrder
{
public:
    /*! @brief Makes an empty order. */
    ZoneOrder() = default;

    /**
     * @brief Orders the processes of a zone that are not leaving.
     * @param view Instance list as last heard.
     * @param region Region of the zone.
     * @param zone Zone.
     */
    ZoneOrder(const InstanceView &view, const RegionName &region, const ZoneName &zone);

    /*! @brief Returns the processes, the first one first. */
    [[nodiscard]] const std::vector<InstanceName> &names() const noexcept
    {
        return m_names;
    }

    /*! @brief Returns the position of a process, or nothing if it is not in the order. */
    [[nodiscard]] std::optional<std::size_t> position(const InstanceName &name) const;

    /**
     * @brief Names the processes that one may take as its parent, in the order to try them.
     *
     * The processes form a tree in which each has up to `arity` children; the first one has
     * no parent. After its own place in the tree a process tries some next to it and then the
     * first one, so that the children of a process that died spread instead of meeting at one.
     *
     * @param position Position of the process, at most the number of processes.
     * @param arity Children of one process, at least one.
     */
    [[nodiscard]] std::vector<InstanceName> parents(std::size_t position, std::size_t arity) const;

private:
    std::vector<InstanceName> m_names;
};

/**
 * @brief Names the first processes of the other zones, beginning after the own one, in a ring.
 * @param view Instance list as last heard.
 * @param region Region of the own zone.
 * @param zone Own zone.
 */
[[nodiscard]] std::vector<InstanceName> firstOfOtherZones(const InstanceView &view, const RegionName &region,
                                                          const ZoneName &zone);

} // namespace bergamottide
