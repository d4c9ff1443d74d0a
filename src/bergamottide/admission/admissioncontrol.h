#pragma once

#include "bergamottide/admission/demandhistogram.h"
#include "bergamottide/admission/tokenbucket.h"
#include "bergamottide/config/document.h"
#include "bergamottide/placement/placement.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <string>
#include <utility>

namespace bergamottide {

/*! @brief Request to be admitted. */
struct AdmissionQuery
{
    const Workspace &workspace;
    const Pipeline &pipeline;
    const ModelName &model;
    const Kind &kind;
    /*! @brief Hash of the prompt's prefix; zero if unknown. */
    std::uint64_t prefix{};
    /*! @brief Estimated service time of each stage. */
    absl::Span<const Duration> costs;
    /*! @brief Time left until the deadline. */
    Duration remaining{};
};

/*! @brief Whether a request is admitted, and after which time a refused one may be retried. */
struct AdmissionDecision
{
    /*! @brief Reason of the refusal; `None` if the request is admitted. */
    Reason reason{};
    Duration retryAfter{};
};

/**
 * @brief Admission control: refuses requests that are not expected to meet their deadline.
 *
 * A request is refused if the estimated service times and waits of all of its stages
 * exceed its remaining time. The waits are those of its workspace, as reported from the
 * endpoints' fair queues, so that a burst of one workspace doesn't affect the others.
 *
 * The wait at the bottleneck stage is limited as well: to a large share of the remaining
 * time during a burst, and to a smaller one under sustained saturation, so that a full
 * early stage doesn't lock out requests with long later stages. Requests of low value are
 * refused first: the limit decreases with the share of the pool's recent demand that has a
 * higher value per second of endpoint time. A workspace below its fair share doesn't wait,
 * so the value of its requests has no effect.
 */
class AdmissionControl
{
public:
    /*! @brief Creates an admission control; the placement and its table must outlive it. */
    AdmissionControl(Placement &placement, const EndpointTable &table);

    /**
     * @brief Decides whether a request is admitted.
     * @param query Request.
     * @param policy Current limits.
     * @param entryCount Number of entry processes; each is assumed to admit the same load.
     * @param now Current time.
     */
    [[nodiscard]] AdmissionDecision decide(const AdmissionQuery &query, const Policy &policy, std::size_t entryCount,
                                           TimePoint now);

    /*! @brief Records that a request was admitted. */
    void requestAdmitted(const AdmissionQuery &query);
    /*! @brief Records that an admitted request has ended. */
    void requestEnded(const WorkspaceName &workspace);
    /*! @brief Removes the cost of a stage that was dispatched, or will never be, from the pending cost of its pool. */
    void removePendingStage(const WorkspaceName &workspace, const PoolName &pool, Duration cost);

private:
    /*! @brief Estimated waits of a request in the queues of its stages. */
    struct WaitEstimate
    {
        Duration total{};
        Duration longest{};
        /*! @brief Stage with the longest wait. */
        std::size_t bottleneck{};
    };

    using PoolKey = std::pair<std::string, std::string>;
    using KindKey = std::pair<std::string, std::string>;

    [[nodiscard]] AdmissionDecision checkWorkspaceLimits(const Workspace &workspace, TimePoint now);
    /*! @brief Refuses a request whose estimated service time exceeds its remaining time, except for periodic probes. */
    [[nodiscard]] AdmissionDecision probeOrRefuse(const AdmissionQuery &query, Duration service, TimePoint now);
    [[nodiscard]] WaitEstimate estimateWaits(const AdmissionQuery &query, const Policy &policy, std::size_t entryCount,
                                             TimePoint now);
    [[nodiscard]] Duration allowedWait(const AdmissionQuery &query, const WaitEstimate &waits, TimePoint now);
    [[nodiscard]] double shareOfHigherValue(const AdmissionQuery &query, std::size_t stage);
    void recordDemand(const AdmissionQuery &query, TimePoint now);
    [[nodiscard]] Duration pendingWait(const AdmissionQuery &query, const PoolName &pool, std::size_t entryCount) const;

    Placement &m_placement;
    const EndpointTable &m_table;
    /*! @brief Recent demand for each pool by value density. */
    absl::flat_hash_map<std::string, DemandHistogram> m_demand;
    absl::flat_hash_map<std::string, TokenBucket> m_rates;
    absl::flat_hash_map<std::string, std::uint32_t> m_inProgress;
    /*! @brief Cost of admitted stages that are not dispatched yet, by workspace and pool. */
    absl::flat_hash_map<PoolKey, Duration> m_pending;
    /*! @brief Start of the continuous queueing of a workspace for a pool. */
    absl::flat_hash_map<PoolKey, TimePoint> m_queueingSince;
    /*! @brief Time from which the next probe is admitted, by pipeline and kind; see `probeOrRefuse`. */
    absl::flat_hash_map<KindKey, TimePoint> m_nextProbe;
};

} // namespace bergamottide
