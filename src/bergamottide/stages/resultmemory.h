#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/stagetask.h"
#include "bergamottide/pools/endpointregistry.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide::serving {

/*! @brief Memory reserved for one result at one endpoint. */
struct MemoryReservation
{
    InstanceName endpoint;
    /*! @brief Incarnation of the endpoint; its memory is empty after a restart. */
    std::uint64_t incarnation{};
    std::uint64_t bytes{};
};

/**
 * @brief Tracks the memory that results occupy at the endpoints of stage pools.
 *
 * Memory is reserved when a call is sent, and freed when the result is released or expires. If the answer to a call is
 * lost, its results may still exist, so their memory counts until they would have expired. If another scheduler owned
 * the queue before, processes report the results that it requested along with their tasks.
 */
class ResultMemory
{
public:
    /**
     * @brief Creates a tracker without results.
     * @param endpoints Endpoints whose totals are updated; must outlive the tracker.
     */
    explicit ResultMemory(EndpointRegistry &endpoints);

    /*! @brief Frees a reservation whose result was not computed or is not used. */
    void releaseReservation(const MemoryReservation &reservation);

    /**
     * @brief Adds a result, for which memory was reserved before.
     * @param handle Handle of the result.
     * @param reservation Memory reserved for it.
     * @param expiry Time at which the endpoint drops it.
     */
    void add(const std::string &handle, const MemoryReservation &reservation, TimePoint expiry);

    /*! @brief Adds a result that may exist although the answer to its call was lost. */
    void addLost(const MemoryReservation &reservation, TimePoint expiry);

    /**
     * @brief Accounts for memory that results of unknown schedulers occupy, such as those of a process that has died.
     * @param unknown Endpoint and the memory in use there that no known result explains.
     * @param now Current time.
     * @param expiry Time by which the last of these results has expired; they expire evenly until then.
     */
    void addUnknown(const MemoryReservation &unknown, TimePoint now, TimePoint expiry);

    /*! @brief Removes a released result and frees its memory; unknown handles are ignored. */
    void remove(const std::string &handle);

    /*! @brief Removes expired results, and the reports that were not renewed in time. */
    void removeExpired(TimePoint now);

    /**
     * @brief Replaces a process's report of the results that it uses and that other schedulers of the pool requested.
     * @param task Task with the report.
     * @param now Current time.
     */
    void setReportedUsage(const StageTask &task, TimePoint now);

private:
    struct Result
    {
        MemoryReservation reservation;
        TimePoint expiry{};
    };

    /*! @brief Report of one process on results of one pool. */
    struct HeldReport
    {
        std::vector<ResultMemoryUsage> results;
        TimePoint receivedAt{};
    };

    void adjustHeldBytes(const std::vector<ResultMemoryUsage> &results, bool isAdded);

    EndpointRegistry &m_endpoints;
    std::map<std::pair<InstanceName, PoolName>, HeldReport> m_reportedUsage;
    std::map<std::string, Result> m_results;
    std::set<std::pair<TimePoint, std::string>> m_expiries;
    std::uint64_t m_nextLostNumber{1};
};

} // namespace bergamottide::serving
