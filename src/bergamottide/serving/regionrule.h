#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/serving/catalog.h"

#include <map>

namespace bergamottide::serving {

/*! @brief Keeps requests within the regions that their route and workspace name. */
class RegionRule
{
public:
    /**
     * @brief Creates a rule.
     * @param regions Region of each availability zone.
     */
    explicit RegionRule(std::map<ZoneName, RegionName> regions);

    /**
     * @brief Tells if a request may run in a zone. Where both route and workspace name regions, both bind.
     *
     * A zone whose region is not known is in none of them.
     */
    [[nodiscard]] bool allows(const Route &route, const Workspace &workspace, const ZoneName &zone) const;

private:
    std::map<ZoneName, RegionName> m_regions;
};

} // namespace bergamottide::serving
