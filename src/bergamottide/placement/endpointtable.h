#pragma once

#include "bergamottide/membership/instanceview.h"
#include "bergamottide/placement/endpointgroup.h"
#include "bergamottide/protocol/messages.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamottide {

/*! @brief Endpoints of one pool, grouped by the models that they have loaded. */
struct PoolEndpoints
{
    EndpointGroup all;
    /*! @brief Endpoints that report no models and are assumed to serve all of them. */
    EndpointGroup unspecified;
    std::map<ModelName, EndpointGroup> byModel;
    /*! @brief All endpoints of the instance list, available or not. */
    std::vector<EndpointNumber> listed;
};

/**
 * @brief State and load of all endpoints that this entry process knows.
 *
 * The groups and their sums are updated incrementally with each event, so that a placement
 * doesn't have to iterate over all endpoints. The number of an endpoint doesn't change
 * during the lifetime of the table.
 */
class EndpointTable
{
public:
    /**
     * @brief Creates an empty table.
     * @param region Region of the entry.
     * @param zone Availability zone of the entry.
     */
    EndpointTable(RegionName region, ZoneName zone);

    /*! @brief Adds, moves and removes endpoints according to a new instance list. */
    void applyView(const InstanceView &view);
    /*! @brief Sets whether the stream to a sidecar is open. */
    void setConnected(const InstanceName &sidecar, bool connected);
    /*! @brief Sets whether a sidecar drains and refuses new runs. */
    void setDraining(const InstanceName &sidecar, bool draining);
    /*! @brief Sets whether nothing is received on the open stream to a sidecar. */
    void setSilent(const InstanceName &sidecar, bool silent);
    /*! @brief Stores a load report of a sidecar. */
    void applyReport(const InstanceName &sidecar, const LoadReport &report, TimePoint now);

    /*! @brief Adds a run to the own load of an endpoint. */
    void runSent(EndpointNumber number, Duration cost);
    /*! @brief Removes a run from the own load of an endpoint, whatever its outcome. */
    void runEnded(EndpointNumber number, Duration cost);
    /*! @brief Sets the ejection state of an endpoint and the time until which it is ejected. */
    void setEjection(EndpointNumber number, EjectionState state, TimePoint until);
    /*! @brief Sets the number of consecutive ejections without a successful trial run. */
    void setEjectionCount(EndpointNumber number, std::uint32_t ejections);

    /*! @brief Returns an endpoint; the number must come from this table. */
    [[nodiscard]] const Endpoint &endpoint(EndpointNumber number) const;
    /*! @brief Returns the modifiable observations of own runs at an endpoint. */
    [[nodiscard]] OwnObservations &observations(EndpointNumber number);
    /*! @brief Returns the number of a sidecar's endpoint, or nothing if it is unknown. */
    [[nodiscard]] std::optional<EndpointNumber> find(const InstanceName &sidecar) const;
    /*! @brief Returns a pool, or null if it is unknown. */
    [[nodiscard]] const PoolEndpoints *pool(const PoolName &name) const;
    [[nodiscard]] const std::map<PoolName, PoolEndpoints> &pools() const noexcept;
    /*! @brief Returns the number of a workspace; assigns one if it is new. */
    [[nodiscard]] WorkspaceNumber workspaceNumber(const WorkspaceName &workspace);

private:
    template <typename Change>
    void update(EndpointNumber number, Change &&apply);
    template <typename Visit>
    void forEachGroup(const Endpoint &endpoint, Visit &&visit);

    [[nodiscard]] EndpointNumber numberOf(const InstanceName &sidecar);
    [[nodiscard]] Tier tierOf(const Instance &instance) const;
    void applyInstance(const Instance &instance);
    void removeFromPool(EndpointNumber number);
    void addToPool(EndpointNumber number);
    void refreshLoad(EndpointNumber number);

    RegionName m_region;
    ZoneName m_zone;
    std::vector<Endpoint> m_endpoints;
    absl::flat_hash_map<std::string, EndpointNumber> m_numbers;
    absl::flat_hash_map<std::string, WorkspaceNumber> m_workspaces;
    std::map<PoolName, PoolEndpoints> m_pools;
};

} // namespace bergamottide
