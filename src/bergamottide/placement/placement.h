#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/placement/endpointtable.h"
#include "bergamottide/placement/random.h"

#include <absl/types/span.h>

#include <optional>
#include <vector>

namespace bergamottide {

/*! @brief Run to be placed. */
struct PlacementQuery
{
    const PoolName &pool;
    const ModelName &model;
    const WorkspaceName &workspace;
    /*! @brief Hash of the prompt's prefix; zero if unknown. */
    std::uint64_t prefix{};
    /*! @brief Estimated service time of the run. */
    Duration cost{};
    /*! @brief The run may be sent to a half-open endpoint as its trial run, because it can be repeated. */
    bool allowsTrial{};
    /*! @brief Endpoints that must not be chosen. */
    absl::Span<const InstanceName> avoided;
};

/*! @brief Result of a placement. */
struct PlacementResult
{
    EndpointNumber number{};
    /*! @brief Estimated wait in the endpoint's queue, including the penalty for its distance. */
    Duration wait{};
    /*! @brief The run is the trial run of a half-open endpoint. */
    bool trial{};
};

/**
 * @brief Chooses an endpoint for each run by the power of two choices.
 *
 * Compares the estimated waits at a few random candidates (`placementChoices`). If entry
 * processes compared all endpoints instead, they would overload the one that looks idle in
 * their stale reports. The endpoint that the prompt's prefix is mapped to is preferred
 * while its load is bounded (`affinityBound`), so that a hot prefix doesn't overload it.
 * Farther tiers get fewer candidates and a penalty for their distance, so that runs spill
 * over to them only if the nearer ones are worse by more than that. The time
 * to place a run is independent of the number of endpoints.
 */
class Placement
{
public:
    /**
     * @brief Creates a placement.
     * @param table Endpoints; must outlive the placement.
     * @param seed Seed of the random candidates.
     */
    Placement(EndpointTable &table, std::uint64_t seed);

    /**
     * @brief Chooses an endpoint; a half-open one changes to `EjectionState::Trial`.
     * @param query Run to be placed.
     * @param policy Current limits.
     * @param now Current time.
     * @return The endpoint, or nothing if none is available.
     */
    [[nodiscard]] std::optional<PlacementResult> choose(const PlacementQuery &query, const Policy &policy,
                                                        TimePoint now);

    /**
     * @brief Estimates how long a new run would wait, from at least as many candidates as a placement.
     * @return Estimated wait at the best candidate, including the penalty for its distance; nothing if no endpoint is
     * available.
     */
    [[nodiscard]] std::optional<Duration> estimateWait(const PlacementQuery &query, const Policy &policy,
                                                       TimePoint now);

    /*! @brief Returns the number of candidates examined so far; lets tests check the complexity. */
    [[nodiscard]] std::uint64_t examined() const noexcept;

private:
    /*! @brief Groups that the candidates of a query are sampled from; the second may be null. */
    struct CandidateGroups
    {
        const EndpointGroup *first{};
        const EndpointGroup *second{};
    };

    /*! @brief Candidate with the best score so far. */
    struct BestCandidate
    {
        std::optional<EndpointNumber> number;
        Duration score{};
        Duration wait{};
        bool trial{};
    };

    /*! @brief State of the search for one query. */
    struct Search
    {
        const PlacementQuery &query;
        const Policy &policy;
        TimePoint now;
        WorkspaceNumber workspace{};
        CandidateGroups groups;
        BestCandidate best;
    };

    [[nodiscard]] CandidateGroups groupsFor(const PlacementQuery &query) const;
    [[nodiscard]] Search startSearch(const PlacementQuery &query, const Policy &policy, TimePoint now);
    void searchTiers(Search &search, std::uint32_t choices);
    [[nodiscard]] std::uint32_t sampleTier(Search &search, Tier tier, std::uint32_t choices);
    [[nodiscard]] bool sampleOne(Search &search, const EndpointSet &first, const EndpointSet *second);
    void consider(Search &search, EndpointNumber number);
    void considerAffinity(Search &search);
    [[nodiscard]] Duration waitWithDistance(const Search &search, const Endpoint &endpoint) const;
    [[nodiscard]] Duration scoreOf(const Search &search, const Endpoint &endpoint, Duration wait) const;

    EndpointTable &m_table;
    Random m_random;
    std::uint64_t m_examined{};
};

} // namespace bergamottide
