#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/ids.h"

#include <map>

namespace bergamottide::serving {

/*! @brief Restricts requests to the regions that their route and workspace allow. */
class RegionRule
{
public:
    /**
     * @brief Creates a rule.
     * @param regions Region of each availability zone.
     */
    explicit RegionRule(std::map<ZoneName, RegionName> regions);

    /**
     * @brief Returns whether a request may run in a zone.
     *
     * If both route and workspace list regions, both lists have to contain the region of the zone; an empty list allows
     * all. A zone of unknown region is only allowed if both lists are empty.
     */
    [[nodiscard]] bool allows(const Route &route, const Workspace &workspace, const ZoneName &zone) const;

private:
    std::map<ZoneName, RegionName> m_regions;
};

} // namespace bergamottide::serving
