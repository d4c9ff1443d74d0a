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

/*! @brief What a repetition of a request may do. */
enum class RouteKind : std::uint8_t
{
    /*! @brief A plain call that may run more than once. */
    Idempotent,
    /*! @brief A plain call that runs at most once for each attempt of the caller. */
    NonIdempotent,
    /*! @brief A generation answered by a stream of events. */
    Streaming
};

/*! @brief One stage of a route: work that must be done before the route's own pool can run the request. */
struct StageSpec
{
    PoolName pool;
    /*! @brief Positions of the stages whose results it takes as inputs. */
    std::vector<std::uint32_t> after;
    /*! @brief Approximate size of one result. */
    std::uint64_t resultBytes{};
    /*! @brief Stages on the longest path from here to the end, this one included; the last stage of a path has one. */
    std::uint32_t level{1};
    /*! @brief No other stage takes its results: the route's own pool does. */
    bool isLeaf{true};
};

/*! @brief A pool that takes a share of a route's requests. */
struct WeightedPool
{
    PoolName pool;
    std::uint32_t weight{1};
};

/*! @brief Requests of one host and path prefix, and what holds for them. */
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind{};
    /*! @brief Longest time for which a request may be kept waiting. */
    Duration timeout{};
    /*! @brief Time within which an answer, or the first event of a stream, is on time. */
    Duration objective{};
    /*! @brief Rank; zero is the most urgent. */
    int priority{};
    std::vector<WeightedPool> pools;
    /*! @brief Endpoints to which one attempt of a caller may be sent. */
    std::uint32_t maxAttempts{1};
    std::vector<StageSpec> stages;
    /*! @brief Needs no key of a workspace. */
    bool isPublic{};
    /*! @brief A stream may go on at another endpoint behind the last event. */
    bool isResumable{};
    /*! @brief Regions whose endpoints may run it; empty for any. */
    std::vector<RegionName> regions;

    [[nodiscard]] bool mayRunTwice() const noexcept
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && isResumable);
    }

    /*! @brief Returns the highest level of its stages; zero without stages. */
    [[nodiscard]] std::uint32_t topLevel() const noexcept;
};

/*! @brief How the endpoints of a stage pool work. */
struct BatchSpec
{
    std::uint32_t slots{1};
    /*! @brief Items of one call at most. */
    std::uint32_t batch{1};
    /*! @brief Approximate time of a call, whatever it carries. */
    Duration callTime{};
    /*! @brief Approximate additional time of each item. */
    Duration itemTime{};
    /*! @brief Memory of an endpoint for results, in bytes. */
    std::uint64_t resultRoom{};
    /*! @brief Time for which a result is kept. */
    Duration resultTtl{};
    /*! @brief Bytes a second at which an endpoint fetches inputs; zero if not known. */
    double fetchRate{};
};

/*! @brief How the engines of a model pool work. */
struct EngineSpec
{
    std::uint32_t slots{1};
    std::uint64_t cacheTokens{};
    /*! @brief Speed at which engines fetch prompts from each other, in tokens a second; zero if they cannot. */
    double fetchRate{};
};

/*! @brief How the endpoints of a pool behave after their start. */
struct WarmupSpec
{
    /*! @brief Time for which an endpoint is cold. */
    Duration time{};
    /*! @brief Requests a second that a cold endpoint bears, from the whole fleet; well above that it crashes. */
    double perSecond{};
};

/*! @brief A pool of endpoints. */
struct Pool
{
    PoolName name;
    std::uint32_t maxConnections{};
    std::optional<BatchSpec> batch;
    std::optional<EngineSpec> engine;
    /*! @brief Nothing if its endpoints take any load at once. */
    std::optional<WarmupSpec> warmup;
};

/*! @brief A workspace, as found by a key. */
struct Workspace
{
    WorkspaceName name;
    /*! @brief Rank that goes before the route's; zero is the most urgent. */
    int priority{};
    /*! @brief Regions whose endpoints may run its requests; empty for any. */
    std::vector<RegionName> regions;
};

/*! @brief Limits on callers' connections. */
struct CallerLimits
{
    std::size_t maxHeadBytes{16U << 10U};
    std::size_t maxBodyBytes{4U << 20U};
    Duration idleTimeout{std::chrono::seconds{15}};
};

/*! @brief One version of what is served: routes, pools and workspaces. */
struct Catalog
{
    std::uint64_t version{};
    std::vector<Route> routes;
    /*! @brief Positions of the routes of each host. */
    absl::flat_hash_map<std::string, std::vector<std::size_t>> routesOfHost;
    absl::flat_hash_map<std::string, Pool> pools;
    absl::flat_hash_map<std::string, Workspace> workspaceOfKey;
    /*! @brief Callers have to show a key, but on public routes. */
    bool needsKeys{};
    CallerLimits limits;

    /*! @brief Fills what follows from routes: the index of hosts and the levels of stages. */
    void index();

    /**
     * @brief Finds the route of a request.
     * @param host Host without port.
     * @param path Path without query.
     * @return Route with the longest prefix that begins the path, or null.
     */
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    /*! @brief Returns a pool, or null. */
    [[nodiscard]] const Pool *pool(const PoolName &name) const;
};

} // namespace bergamottide::serving
