#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/load/endpointload.h"
#include "bergamottide/load/reportseries.h"
#include "bergamottide/load/valuedecay.h"

#include <cstdint>
#include <map>

namespace bergamottide::load {

/**
 * @brief Load and pace of the endpoints, as expected from their reports to this process.
 *
 * A report is exact when it is made and worthless some time later. How fast it loses its value is learned for each pool
 * from the reports themselves. Endpoints without reports have the usual pace and no load.
 */
class LoadTable
{
public:
    /*! @brief Incarnations of the listed endpoints. */
    using Incarnations = std::map<InstanceName, std::uint64_t>;

    /**
     * @brief Records a report.
     * @param pool Pool of the endpoint.
     * @param instance Endpoint.
     * @param incarnation Start of the endpoint that the report belongs to; another one than before discards all earlier
     * reports.
     * @param load Reported load.
     * @param ownInFlight Requests of this process in progress at the endpoint, which the reported load includes.
     * @param now Current time.
     */
    void record(const PoolName &pool, const InstanceName &instance, std::uint64_t incarnation, const EndpointLoad &load,
                std::uint32_t ownInFlight, TimePoint now);

    /*! @brief Returns how long work is expected to take at an endpoint, relative to the usual time. */
    [[nodiscard]] double expectedPace(const PoolName &pool, const InstanceName &instance, TimePoint now) const;

    /*! @brief Returns the expected number of requests of other processes at an endpoint. */
    [[nodiscard]] double expectedOthers(const PoolName &pool, const InstanceName &instance, TimePoint now) const;

    /*! @brief Returns the mean pace of the endpoints of a pool that have reported one; 1 if none has. */
    [[nodiscard]] double meanPace(const PoolName &pool) const;

    /*! @brief Discards the reports of endpoints that are not listed, or that are listed with another incarnation. */
    void retain(const Incarnations &listed);

private:
    struct EndpointReports
    {
        std::uint64_t incarnation{};
        ReportSeries pace;
        ReportSeries others;
    };

    struct PoolReports
    {
        ValueDecay paceDecay;
        ValueDecay othersDecay;
        std::map<InstanceName, EndpointReports> endpoints;
    };

    std::map<PoolName, PoolReports> m_pools;
};

} // namespace bergamottide::load
