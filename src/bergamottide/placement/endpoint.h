#pragma once

#include "bergamottide/core/fwd.h"

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief Dense number of an endpoint within one placement table. */
using EndpointNumber = std::uint32_t;
/*! @brief Dense number of a workspace within one placement table. */
using WorkspaceNumber = std::uint32_t;

/*! @brief How far an endpoint is from the entry; nearer ones are looked at first. */
enum class Tier : std::uint8_t
{
    OwnZone,
    OwnRegion,
    Elsewhere
};

template <>
struct EnumNames<Tier>
{
    static constexpr std::array<std::string_view, 3> names{"own_zone", "own_region", "elsewhere"};
};

/*! @brief Number of tiers. */
inline constexpr std::size_t tierCount = EnumNames<Tier>::names.size();

/*! @brief Whether an endpoint was taken out of service by comparison with its peers. */
enum class EjectionState : std::uint8_t
{
    InService,
    Ejected,
    /*! @brief Half-open: may be given one trial run. */
    HalfOpen,
    /*! @brief The trial run is on its way. */
    Trial
};

template <>
struct EnumNames<EjectionState>
{
    static constexpr std::array<std::string_view, 4> names{"in_service", "ejected", "half_open", "trial"};
};

/*! @brief Load of an endpoint as its side last reported it. */
struct ReportedLoad
{
    TimePoint at{};
    bool known{};
    std::uint32_t inProgress{};
    std::uint32_t concurrency{1};
    Duration wait{};
    /*! @brief Waits of workspaces with runs queued, ordered by number. */
    std::vector<std::pair<WorkspaceNumber, Duration>> waits;
    double servicePerUnit{};
    double failureShare{};
};

/*! @brief Load that this entry itself has put on an endpoint. */
struct OwnLoad
{
    /*! @brief Runs sent and not ended. */
    std::uint32_t outstanding{};
    Duration outstandingCost{};
    /*! @brief Runs sent since the last report, which does not count them yet. */
    std::uint32_t sinceReport{};
    Duration costSinceReport{};
};

/*! @brief What this entry's own runs say about an endpoint. */
struct OwnObservations
{
    /*! @brief Smoothed service time relative to the estimate; 1 is as expected. */
    double slowness{1.0};
    /*! @brief Smoothed share of failed runs. */
    double failureShare{};
    std::uint32_t samples{};
};

/*! @brief One endpoint with its side, as an entry knows it. */
struct Endpoint
{
    InstanceName name;
    PoolName pool;
    Tier tier{};
    /*! @brief Position-independent hash of the name, for rendezvous. */
    std::uint64_t hash{};
    bool listed{};
    bool leaving{};
    bool connected{};
    bool draining{};
    /*! @brief Its stream has gone silent. */
    bool silent{};
    EjectionState ejection{};
    TimePoint ejectedUntil{};
    /*! @brief Ejections without a good trial in between; each doubles the time out of service. */
    std::uint32_t ejections{};
    std::vector<ModelName> models;
    ReportedLoad reported;
    OwnLoad own;
    OwnObservations observed;
    /*! @brief Load in thousandths of its concurrency, as the sums of its groups count it. */
    std::int64_t load{};
    /*! @brief Concurrency, as the sums of its groups count it. */
    std::int64_t slots{1};

    /*! @brief Tells if new work may go to it. */
    [[nodiscard]] bool available() const noexcept
    {
        const bool inService = ejection == EjectionState::InService || ejection == EjectionState::HalfOpen;
        return listed && !leaving && connected && !draining && !silent && inService;
    }
};

} // namespace bergamottide
