#pragma once

#include "bergamottide/admission/tokenbucket.h"
#include "bergamottide/admission/valuedemand.h"
#include "bergamottide/config/document.h"
#include "bergamottide/placement/placement.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <string>
#include <utility>

namespace bergamottide {

/*! @brief A request that asks to be admitted. */
struct AdmissionQuery
{
    const Workspace &workspace;
    const Pipeline &pipeline;
    const ModelName &model;
    const Kind &kind;
    std::uint64_t prefix{};
    /*! @brief Estimated service time of each stage. */
    absl::Span<const Duration> costs;
    /*! @brief Time left until the deadline. */
    Duration remaining{};
};

/*! @brief Whether a request is admitted, and when another try makes sense if not. */
struct AdmissionDecision
{
    /*! @brief `None` when admitted. */
    Reason reason{};
    Duration retryAfter{};
};

/**
 * @brief Admits requests that can be completed in time, and refuses the others at once.
 *
 * Load: bursts of a partner that are many times its share, and saturation that lasts.
 * Harm prevented: requests that burn the early stages and then miss their deadline in the
 * queue of the bottleneck, and callers who learn that only when it is too late to turn to
 * anybody else. A request is refused when the service times and the waits of all its
 * stages exceed its deadline. The waits are those of its own workspace, as the fair queues
 * of the sides report them; so a burst is refused its excess while others notice nothing.
 *
 * A burst may fill the queue of the bottleneck up to a good part of the deadline; under
 * lasting saturation the queue is kept shorter, so that requests with long stages behind a
 * full early one are not the first to be refused. Work of little value is refused first:
 * the wait it may use is the shorter, the more of the recent demand for that pool is worth
 * more per second of the pool's time. A workspace below its share does not wait, and so
 * loses nothing, whatever its value.
 */
class Admission
{
public:
    /**
     * @brief Creates an admission over a placement and its table, which must outlive it.
     */
    Admission(Placement &placement, const EndpointTable &table);

    /**
     * @brief Decides about a request.
     * @param query Request.
     * @param policy Limits in force.
     * @param entries Entries in the view, which are taken to admit alike.
     * @param now Present time.
     */
    [[nodiscard]] AdmissionDecision judge(const AdmissionQuery &query, const Policy &policy, std::size_t entries,
                                          TimePoint now);

    /*! @brief Notes that a request was admitted. */
    void admitted(const AdmissionQuery &query);
    /*! @brief Notes that an admitted request has ended. */
    void ended(const WorkspaceName &workspace);
    /*! @brief Notes that a stage of an admitted request was dispatched, or never will be. */
    void stageLeft(const WorkspaceName &workspace, const PoolName &pool, Duration cost);

private:
    /*! @brief Estimated waits of a request on its way through the stages. */
    struct Waits
    {
        Duration total{};
        Duration longest{};
        /*! @brief Stage with the longest wait. */
        std::size_t bottleneck{};
    };

    using PoolKey = std::pair<std::string, std::string>;
    using KindKey = std::pair<std::string, std::string>;

    [[nodiscard]] AdmissionDecision judgeLimits(const Workspace &workspace, TimePoint now);
    [[nodiscard]] AdmissionDecision judgeService(const AdmissionQuery &query, Duration service, TimePoint now);
    [[nodiscard]] Waits estimateWaits(const AdmissionQuery &query, const Policy &policy, std::size_t entries,
                                      TimePoint now);
    [[nodiscard]] Duration allowedWait(const AdmissionQuery &query, const Waits &waits, TimePoint now);
    [[nodiscard]] double rankAt(const AdmissionQuery &query, std::size_t stage);
    void countDemand(const AdmissionQuery &query, TimePoint now);
    [[nodiscard]] Duration pendingWait(const AdmissionQuery &query, const PoolName &pool, std::size_t entries) const;

    Placement &m_placement;
    const EndpointTable &m_table;
    /*! @brief Recent demand of each pool, by value per second of its time. */
    absl::flat_hash_map<std::string, ValueDemand> m_demand;
    absl::flat_hash_map<std::string, TokenBucket> m_rates;
    absl::flat_hash_map<std::string, std::uint32_t> m_inProgress;
    /*! @brief Cost admitted and not yet dispatched, by workspace and pool. */
    absl::flat_hash_map<PoolKey, Duration> m_pending;
    /*! @brief Time since when a workspace has been waiting for a pool without a break. */
    absl::flat_hash_map<PoolKey, TimePoint> m_waitingSince;
    /*! @brief Time of the next request let through although its service seems too long, by pipeline and kind. */
    absl::flat_hash_map<KindKey, TimePoint> m_nextProbe;
};

} // namespace bergamottide
