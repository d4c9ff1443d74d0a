#pragma once

#include "bergamottide/membership/instanceview.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Order of the processes of one availability zone, the same at each of them.
 *
 * Entries come before sidecars; within a role a hash of the name decides. The relative order of two processes depends
 * on these two only, not on the rest of the list. So even with stale views no two processes can each become the parent
 * of the other, and a tree built from the order has no cycle.
 */
class ZoneOrder
{
public:
    /*! @brief Creates an empty order. */
    ZoneOrder() = default;

    /**
     * @brief Orders the processes of a zone that are not leaving.
     * @param view Last received instance list.
     * @param region Region of the zone.
     * @param zone Availability zone.
     */
    ZoneOrder(const InstanceView &view, const RegionName &region, const ZoneName &zone);

    /*! @brief Returns the processes in order. */
    [[nodiscard]] const std::vector<InstanceName> &names() const noexcept
    {
        return m_names;
    }

    /*! @brief Returns the position of a process, or nothing if it is not in the order. */
    [[nodiscard]] std::optional<std::size_t> position(const InstanceName &name) const;

    /**
     * @brief Returns the parent candidates of a process in order of preference.
     *
     * The processes form a tree in which each has up to `arity` children; the first process is the root and has no
     * parent. Alternatives are other processes near the regular parent, and finally the root. Siblings have different
     * alternatives, so that the children of a failed process do not all move to the same one.
     *
     * @param position Position of the process, at most the number of processes.
     * @param arity Maximum number of children, at least one.
     */
    [[nodiscard]] std::vector<InstanceName> parents(std::size_t position, std::size_t arity) const;

private:
    std::vector<InstanceName> m_names;
};

/**
 * @brief Returns the tree roots of the other zones, in cyclic order that starts after the own zone.
 * @param view Last received instance list.
 * @param region Region of the own zone.
 * @param zone Own zone.
 */
[[nodiscard]] std::vector<InstanceName> rootsOfOtherZones(const InstanceView &view, const RegionName &region,
                                                          const ZoneName &zone);

} // namespace bergamottide
