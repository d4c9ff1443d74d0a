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

/*! @brief Endpoints of one pool, in groups by the models they hold. */
struct PoolEndpoints
{
    EndpointGroup all;
    /*! @brief Endpoints that report no models: taken to serve every model. */
    EndpointGroup unspecified;
    std::map<ModelName, EndpointGroup> byModel;
    /*! @brief Every endpoint of the view, available or not. */
    std::vector<EndpointNumber> listed;
};

/**
 * @brief All endpoints an entry knows, with their loads, kept up to date event by event.
 *
 * Every change touches only the endpoint it is about, so that a placement never has to
 * look at more than a few of them. An endpoint is addressed by a dense number that stays
 * its own as long as the table lives.
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

    /*! @brief Takes a new instance list: adds, moves and removes endpoints as it says. */
    void applyView(const InstanceView &view);
    /*! @brief Notes that the stream to a side is open or closed. */
    void setConnected(const InstanceName &side, bool connected);
    /*! @brief Notes that a side refuses new work because it drains. */
    void setDraining(const InstanceName &side, bool draining);
    /*! @brief Notes that the stream to a side has gone silent, or that the side was heard again. */
    void setSilent(const InstanceName &side, bool silent);
    /*! @brief Takes a load report. */
    void applyReport(const InstanceName &side, const LoadReport &report, TimePoint now);

    /*! @brief Notes that a run was sent. */
    void runSent(EndpointNumber number, Duration cost);
    /*! @brief Notes that a run has ended, however it did. */
    void runEnded(EndpointNumber number, Duration cost);
    /*! @brief Changes the state of ejection. */
    void setEjection(EndpointNumber number, EjectionState state, TimePoint until);
    /*! @brief Sets the number of ejections without a good trial in between. */
    void setEjectionCount(EndpointNumber number, std::uint32_t ejections);

    /*! @brief Returns an endpoint; the number must come from this table. */
    [[nodiscard]] const Endpoint &endpoint(EndpointNumber number) const;
    /*! @brief Returns what own runs say about an endpoint, to be changed. */
    [[nodiscard]] OwnObservations &observations(EndpointNumber number);
    /*! @brief Finds the number of a side, or nothing if it was never seen. */
    [[nodiscard]] std::optional<EndpointNumber> find(const InstanceName &side) const;
    /*! @brief Finds a pool, or null if no endpoint of it was ever seen. */
    [[nodiscard]] const PoolEndpoints *pool(const PoolName &name) const;
    /*! @brief Returns all pools. */
    [[nodiscard]] const std::map<PoolName, PoolEndpoints> &pools() const noexcept;
    /*! @brief Returns the number of a workspace; the same for the same name. */
    [[nodiscard]] WorkspaceNumber workspaceNumber(const WorkspaceName &workspace);

private:
    template <typename Change>
    void change(EndpointNumber number, Change &&apply);
    template <typename Visit>
    void forGroups(const Endpoint &endpoint, Visit &&visit);

    [[nodiscard]] EndpointNumber numberOf(const InstanceName &side);
    [[nodiscard]] Tier tierOf(const Instance &instance) const;
    void applyInstance(const Instance &instance);
    void unlist(EndpointNumber number);
    void list(EndpointNumber number);
    void refreshLoad(EndpointNumber number);

    RegionName m_region;
    ZoneName m_zone;
    std::vector<Endpoint> m_endpoints;
    absl::flat_hash_map<std::string, EndpointNumber> m_numbers;
    absl::flat_hash_map<std::string, WorkspaceNumber> m_workspaces;
    std::map<PoolName, PoolEndpoints> m_pools;
};

} // namespace bergamottide
