#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/placement/endpointtable.h"
#include "bergamottide/placement/random.h"

#include <absl/types/span.h>

#include <optional>
#include <vector>

namespace bergamottide {

/*! @brief What is to be placed. */
struct PlacementQuery
{
    const PoolName &pool;
    const ModelName &model;
    const WorkspaceName &workspace;
    /*! @brief Hash of the prompt's prefix; zero if unknown. */
    std::uint64_t prefix{};
    /*! @brief Estimated service time of the run. */
    Duration cost{};
    /*! @brief The run may be repeated, so that it may try a half-open endpoint. */
    bool mayTry{};
    /*! @brief Sides that are not to be chosen. */
    absl::Span<const InstanceName> avoided;
};

/*! @brief Where a run is placed. */
struct Placed
{
    EndpointNumber number{};
    /*! @brief Estimated time in the endpoint's queue, its distance included. */
    Duration wait{};
    /*! @brief The run is the one trial of a half-open endpoint. */
    bool trial{};
};

/**
 * @brief Chooses an endpoint for each stage run.
 *
 * Load: bursts and skewed demand over thousands of endpoints, seen through reports that
 * are late, missing or stale, by entries that do not know of each other's choices. Harm
 * prevented: herds that run to the one endpoint that looked idle, a slow endpoint that
 * fills up, prefixes computed anew all over the fleet. A few random candidates
 * (`placementChoices`; two already remove most of the imbalance, each more costs a cache
 * miss and brings the herd back) are compared by estimated wait; the cache-affine one is
 * preferred while its load is bounded (`affinityBound`), since a hot prefix must not
 * overload one endpoint. Farther tiers are looked at with fewer candidates and pay their
 * distance, so that work spills over only when the near ones are worse by more than that.
 * The cost is independent of the number of endpoints.
 */
class Placement
{
public:
    /**
     * @brief Creates a placement over a table.
     * @param table Endpoints; must outlive the placement.
     * @param seed Seed of the random choices.
     */
    Placement(EndpointTable &table, std::uint64_t seed);

    /**
     * @brief Chooses an endpoint.
     * @param query What is to be placed.
     * @param policy Limits in force.
     * @param now Present time.
     * @return The endpoint, or nothing if none is available.
     */
    [[nodiscard]] std::optional<Placed> choose(const PlacementQuery &query, const Policy &policy, TimePoint now);

    /**
     * @brief Estimates how long a new run would wait, looking at more candidates than a placement would.
     * @return The shortest estimated wait found, or nothing if no endpoint is available.
     */
    [[nodiscard]] std::optional<Duration> estimateWait(const PlacementQuery &query, const Policy &policy,
                                                       TimePoint now);

    /*! @brief Returns the number of endpoints looked at so far; lets a test count instead of time. */
    [[nodiscard]] std::uint64_t looked() const noexcept;

private:
    /*! @brief Groups a query draws from; the second may be null. */
    struct Source
    {
        const EndpointGroup *first{};
        const EndpointGroup *second{};
    };

    /*! @brief Best candidate so far. */
    struct Best
    {
        std::optional<EndpointNumber> number;
        Duration score{};
        Duration wait{};
        bool trial{};
    };

    /*! @brief A query with what is looked up once for all candidates. */
    struct Search
    {
        const PlacementQuery &query;
        const Policy &policy;
        TimePoint now;
        WorkspaceNumber workspace{};
        Source source;
        Best best;
    };

    [[nodiscard]] Source sourceOf(const PlacementQuery &query) const;
    [[nodiscard]] Search startSearch(const PlacementQuery &query, const Policy &policy, TimePoint now);
    void searchTiers(Search &search, std::uint32_t choices);
    [[nodiscard]] std::uint32_t drawFrom(Search &search, Tier tier, std::uint32_t choices);
    [[nodiscard]] bool drawOne(Search &search, const EndpointSet &first, const EndpointSet *second);
    void consider(Search &search, EndpointNumber number);
    void considerAffine(Search &search);
    [[nodiscard]] Duration waitAt(const Search &search, const Endpoint &endpoint) const;
    [[nodiscard]] Duration scoreOf(const Search &search, const Endpoint &endpoint, Duration wait) const;

    EndpointTable &m_table;
    Random m_random;
    std::uint64_t m_looked{};
};

} // namespace bergamottide
