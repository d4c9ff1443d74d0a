#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/limits/ratelimiter.h"
#include "bergamottide/pools/endpointregistry.h"
#include "bergamottide/stages/fetchpaths.h"
#include "bergamottide/stages/pendingtask.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace bergamottide::serving {

/*! @brief Candidate call to one endpoint. */
struct CallCandidate
{
    std::vector<CallItem> items;
    std::set<StageTaskId> tasks;
    /*! @brief Result memory in use at the endpoint, including the results of this call. */
    std::uint64_t usedBytes{};
    /*! @brief Number of items that prefer the endpoint's zone. */
    std::size_t localItems{};
    /*! @brief Takes no further tasks. */
    bool isComplete{};
    /*! @brief Its last task may be split, so that no item of the call stays empty. */
    bool maySplit{};
};

/*! @brief Endpoint and items of the call to send next. */
struct PlannedCall
{
    Endpoint *endpoint{};
    std::vector<CallItem> items;
};

/**
 * @brief Selects the next endpoint of a stage pool to call and the pieces to send to it.
 *
 * Calls are filled up to the batch size as far as the endpoint's result memory allows. The pieces of a task are kept in
 * one call where they fit.
 */
class CallPlanner
{
public:
    /**
     * @brief Creates a planner.
     * @param endpoints Known endpoints; must outlive the planner.
     * @param tasks Tasks that the queues refer to; must outlive the planner.
     * @param rateLimiter Limits the rate of calls to endpoints; must outlive the planner.
     * @param paths Zones between which results cannot be fetched; must outlive the planner.
     */
    CallPlanner(EndpointRegistry &endpoints, const PendingTasks &tasks, const RateLimiter &rateLimiter,
                const FetchPaths &paths);

    /**
     * @brief Selects the next call.
     * @param pool Stage pool.
     * @param queue Non-empty queue of the pool.
     * @param now Current time.
     * @return The call; nothing if none should be sent now.
     */
    [[nodiscard]] std::optional<PlannedCall> nextCall(const Pool &pool, const StageQueue &queue, TimePoint now) const;

    /*! @brief Sets whether calls are filled also in saturated pools whose endpoints report no pace. */
    void setFillsAllPools(bool fillsAllPools) noexcept;

private:
    [[nodiscard]] std::vector<Endpoint *> availableEndpoints(const Pool &pool, TimePoint now) const;
    [[nodiscard]] CallCandidate fillCall(const Pool &pool, const Endpoint &endpoint, const StageQueue &queue,
                                         const std::set<ZoneName> &poolZones, bool isSaturated, TimePoint now) const;
    void addTask(const Pool &pool, const PendingTask &pending, CallCandidate &candidate) const;
    [[nodiscard]] bool isBetter(const Pool &pool, const CallCandidate &candidate, const Endpoint &endpoint,
                                const CallCandidate &other, const Endpoint &otherEndpoint, TimePoint now) const;

    EndpointRegistry &m_endpoints;
    const PendingTasks &m_tasks;
    const RateLimiter &m_rateLimiter;
    const FetchPaths &m_paths;
    bool m_fillsAllPools{};
};

} // namespace bergamottide::serving
