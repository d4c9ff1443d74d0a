#pragma once

#include "bergamottide/core/fwd.h"

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief Index of an endpoint in its `EndpointTable`. */
using EndpointNumber = std::uint32_t;
/*! @brief Index of a workspace in its `EndpointTable`. */
using WorkspaceNumber = std::uint32_t;

/*! @brief Distance of an endpoint from this entry; nearer endpoints are preferred. */
enum class Tier : std::uint8_t
{
    OwnZone,
    OwnRegion,
    OtherRegion
};

template <>
struct EnumNames<Tier>
{
    static constexpr std::array<std::string_view, 3> names{"own_zone", "own_region", "elsewhere"};
};

inline constexpr std::size_t tierCount = EnumNames<Tier>::names.size();

/*! @brief Circuit breaker state of an endpoint; see `OutlierEjector`. */
enum class EjectionState : std::uint8_t
{
    InService,
    Ejected,
    /*! @brief May be given one trial run. */
    HalfOpen,
    /*! @brief The trial run is in progress. */
    Trial
};

template <>
struct EnumNames<EjectionState>
{
    static constexpr std::array<std::string_view, 4> names{"in_service", "ejected", "half_open", "trial"};
};

/*! @brief Load of an endpoint from the latest report of its sidecar. */
struct ReportedLoad
{
    TimePoint at{};
    bool known{};
    std::uint32_t inProgress{};
    std::uint32_t concurrency{1};
    Duration wait{};
    /*! @brief Estimated waits of the workspaces that have queued runs, sorted by number. */
    std::vector<std::pair<WorkspaceNumber, Duration>> waits;
    double servicePerUnit{};
    double failureShare{};
};

/*! @brief Load that this entry has sent to an endpoint. */
struct OwnLoad
{
    /*! @brief Runs sent that have not ended. */
    std::uint32_t outstanding{};
    Duration outstandingCost{};
    /*! @brief Runs sent since the latest report, which doesn't include them. */
    std::uint32_t runsSinceReport{};
    Duration costSinceReport{};
};

/*! @brief Moving averages over the runs that this entry sent to an endpoint. */
struct OwnObservations
{
    /*! @brief Service time divided by its estimate; 1 is as expected. */
    double slowness{1.0};
    /*! @brief Share of failed runs. */
    double failureShare{};
    std::uint32_t samples{};
};

/*! @brief State of an endpoint and its sidecar, as known to this entry. */
struct Endpoint
{
    InstanceName name;
    PoolName pool;
    Tier tier{};
    /*! @brief Hash of the name, for rendezvous hashing. */
    std::uint64_t hash{};
    bool listed{};
    bool leaving{};
    bool connected{};
    bool draining{};
    /*! @brief The stream to the sidecar is open, but nothing is received. */
    bool silent{};
    EjectionState ejection{};
    TimePoint ejectedUntil{};
    /*! @brief Consecutive ejections without a successful trial run; each doubles the next time, up to a limit. */
    std::uint32_t ejections{};
    std::vector<ModelName> models;
    ReportedLoad reported;
    OwnLoad own;
    OwnObservations observed;
    /*! @brief Load in thousandths of the concurrency, as included in the sums of the endpoint's groups. */
    std::int64_t load{};
    /*! @brief Concurrency, as included in the sums of the endpoint's groups. */
    std::int64_t slots{1};

    /*! @brief Returns whether new runs may be sent to the endpoint. */
    [[nodiscard]] bool available() const noexcept
    {
        const bool inService = ejection == EjectionState::InService || ejection == EjectionState::HalfOpen;
        return listed && !leaving && connected && !draining && !silent && inService;
    }
};

} // namespace bergamottide
