#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/catalog.h"
#include "bergamottide/serving/endpointboard.h"
#include "bergamottide/serving/fetchpaths.h"
#include "bergamottide/serving/pendingtask.h"
#include "bergamottide/serving/warmuplimiter.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace bergamottide::serving {

/*! @brief What a call to one endpoint would carry. */
struct CallChoice
{
    std::vector<CallItem> items;
    std::set<StageTaskId> tasks;
    /*! @brief Bytes in the endpoint's memory with it. */
    std::uint64_t bytes{};
    /*! @brief Items that prefer the endpoint's zone. */
    std::size_t local{};
};

/*! @brief The call that is best sent next. */
struct PlannedCall
{
    Endpoint *endpoint{};
    std::vector<CallItem> items;
};

/**
 * @brief Makes up calls to the endpoints of a stage pool: which endpoint comes next, and which pieces it gets.
 *
 * Made for a backlog: calls are filled as far as the endpoint's memory for results allows, and a request's pieces stay
 * together.
 */
class CallPlanner
{
public:
    /**
     * @brief Creates a planner.
     * @param endpoints Endpoints; outlive the planner.
     * @param tasks Tasks that the queues refer to; outlive the planner.
     * @param warmup Bound on calls to cold endpoints; outlives the planner.
     * @param paths Zones between which results cannot be fetched; outlive the planner.
     */
    CallPlanner(EndpointBoard &endpoints, const PendingTasks &tasks, const WarmupLimiter &warmup,
                const FetchPaths &paths);

    /**
     * @brief Chooses the next call.
     * @param pool Pool.
     * @param queue Its queue.
     * @param now Present time.
     * @return The call; nothing if none should be sent now.
     */
    [[nodiscard]] std::optional<PlannedCall> next(const Pool &pool, const StageQueue &queue, TimePoint now) const;

private:
    [[nodiscard]] std::vector<Endpoint *> freeEndpoints(const Pool &pool, TimePoint now) const;
    [[nodiscard]] CallChoice choose(const Pool &pool, const Endpoint &endpoint, const StageQueue &queue,
                                    const std::set<ZoneName> &zones, TimePoint now) const;
    void take(const Pool &pool, const PendingTask &pending, CallChoice &choice) const;
    [[nodiscard]] static bool isBetter(const CallChoice &one, const Endpoint &endpoint, const CallChoice &other,
                                       const Endpoint &rival, TimePoint now);

    EndpointBoard &m_endpoints;
    const PendingTasks &m_tasks;
    const WarmupLimiter &m_warmup;
    const FetchPaths &m_paths;
};

} // namespace bergamottide::serving
