#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::serving {

/*! @brief Kind of a route: how it responds and whether its requests may be repeated. */
enum class RouteKind : std::uint8_t
{
    /*! @brief Plain call that may be executed more than once. */
    Idempotent,
    /*! @brief Plain call that is executed at most once for each attempt of the caller. */
    NonIdempotent,
    /*! @brief Generation with a response of server-sent events. */
    Streaming
};

/**
 * @brief One stage of a route: preprocessing that must complete before the route's own pool can run the request.
 *
 * Each request states of how many independent pieces the stage consists.
 */
struct StageSpec
{
    PoolName pool;
    /*! @brief Positions of the stages whose results are its inputs. */
    std::vector<std::uint32_t> dependencies;
    /*! @brief Approximate size of one result, in bytes. */
    std::uint64_t resultBytes{};
    /*! @brief Number of stages on the longest path from this stage to the end, itself included; one for a leaf. */
    std::uint32_t level{1};
    /*! @brief No other stage depends on it; its results are inputs of the route's own pool. */
    bool isLeaf{true};
};

/*! @brief Pool with its share of a route's requests. */
struct WeightedPool
{
    PoolName pool;
    std::uint32_t weight{1};
};

/*! @brief Route: matches requests by host and path prefix and defines how they are served. */
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind{};
    /*! @brief Time from arrival after which a request times out. */
    Duration timeout{};
    /*! @brief Time from arrival within which the response, or the first event of a stream, is on time. */
    Duration objective{};
    /*! @brief Priority within the workspace; zero is the most urgent. */
    int priority{};
    std::vector<WeightedPool> pools;
    /*! @brief Maximum number of endpoints that may execute one attempt of a caller. */
    std::uint32_t maxAttempts{1};
    std::vector<StageSpec> stages;
    /*! @brief Requests need no API key. */
    bool isPublic{};
    /*! @brief After a failure, another endpoint may resume a stream after its last event. */
    bool isResumable{};
    /*! @brief Regions whose endpoints may run its requests; empty for any. */
    std::vector<RegionName> regions;

    [[nodiscard]] bool mayRunTwice() const noexcept
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && isResumable);
    }

    /*! @brief Returns the highest level of the stages; zero without stages. */
    [[nodiscard]] std::uint32_t maxLevel() const noexcept;
};

/*! @brief Batching and cost model of a stage pool's endpoints. */
struct BatchSpec
{
    /*! @brief Calls that an endpoint processes at a time. */
    std::uint32_t slots{1};
    /*! @brief Maximum number of items in one call. */
    std::uint32_t maxItems{1};
    /*! @brief Approximate fixed time of a call. */
    Duration callTime{};
    /*! @brief Approximate additional time of each item. */
    Duration itemTime{};
    /*! @brief Memory of an endpoint for results, in bytes. */
    std::uint64_t resultMemory{};
    /*! @brief Time for which an endpoint stores a result. */
    Duration resultTtl{};
    /*! @brief Rate at which an endpoint fetches inputs, in bytes per second; zero if unknown. */
    double fetchBytesPerSecond{};
};

/*! @brief Properties of a model pool's engines. */
struct EngineSpec
{
    std::uint32_t slots{1};
    /*! @brief Capacity of the prompt cache, in tokens. */
    std::uint64_t cacheTokens{};
    /*! @brief Rate at which engines fetch cached prompts from each other, in tokens per second; zero if they cannot. */
    double fetchTokensPerSecond{};
};

/*! @brief Load limit of a pool's endpoints after their start. */
struct WarmupSpec
{
    /*! @brief Time from its start for which an endpoint is cold. */
    Duration duration{};
    /*! @brief Requests per second that a cold endpoint can take from all processes together; it crashes well above
     * that. */
    double requestsPerSecond{};
};

/*! @brief Pool of endpoints that do the same work. */
struct Pool
{
    PoolName name;
    std::uint32_t maxConnections{};
    /*! @brief Set for stage pools. */
    std::optional<BatchSpec> batch;
    /*! @brief Set for model pools. */
    std::optional<EngineSpec> engine;
    /*! @brief Empty if endpoints take full load right after their start. */
    std::optional<WarmupSpec> warmup;
};

/*! @brief Workspace (customer) that an API key identifies. */
struct Workspace
{
    WorkspaceName name;
    /*! @brief Priority that outweighs that of the route; zero is the most urgent. */
    int priority{};
    /*! @brief Regions whose endpoints may run its requests; empty for any. */
    std::vector<RegionName> regions;
};

/*! @brief Limits on the requests of callers, and on idle connections. */
struct CallerLimits
{
    std::size_t maxHeadBytes{16U << 10U};
    std::size_t maxBodyBytes{4U << 20U};
    /*! @brief Time from the first byte of a head to its last. */
    Duration headTimeout{std::chrono::seconds{30}};
    /*! @brief Time for which a connection may be idle between requests. */
    Duration idleTimeout{std::chrono::seconds{15}};
};

/*! @brief One version of the configuration of routes, pools and workspaces. */
struct Catalog
{
    std::uint64_t version{};
    std::vector<Route> routes;
    /*! @brief Positions of the routes of each host, in lower case. */
    absl::flat_hash_map<std::string, std::vector<std::size_t>> routesByHost;
    absl::flat_hash_map<std::string, Pool> pools;
    absl::flat_hash_map<std::string, Workspace> workspaceByApiKey;
    /*! @brief Requests need an API key, except on public routes. */
    bool requiresApiKey{};
    CallerLimits limits;

    /*! @brief Computes what is derived from `routes`: the host index, and the levels and leaves of stages. */
    void buildIndex();

    /**
     * @brief Finds the route for a request.
     * @param host Host without port; case-insensitive.
     * @param path Path without query.
     * @return Route with the longest matching path prefix, or null.
     */
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;

    /*! @brief Returns the pool with this name, or null. */
    [[nodiscard]] const Pool *findPool(const PoolName &name) const;
};

} // namespace bergamottide::serving
