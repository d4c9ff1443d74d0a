#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/pools/endpointregistry.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bergamottide::serving {

/*! @brief Number of requests that an endpoint accepts within a sliding window, from all processes together. */
struct RateBound
{
    std::uint32_t requests{};
    Duration window{};
};

/*! @brief Requests that this process may send to a set of endpoints. */
struct RateCapacity
{
    std::uint32_t freeRequests{};
    /*! @brief When the next request may be sent; nothing if never, as far as is known. */
    std::optional<TimePoint> nextAt;
};

/**
 * @brief Limits the rate of requests that all processes together send to an endpoint.
 *
 * An endpoint is bounded while it is cold, while it names a limit of its own, and while it is paused, which concerns
 * this process only. Placement prefers idle endpoints, so a burst from all processes at once would exceed what it
 * accepts. The requests are therefore divided among the processes; a process with a quota of zero sends nothing to the
 * endpoint while it is bounded.
 */
class RateLimiter
{
public:
    /**
     * @brief Returns the quota of this process.
     *
     * Arguments are the endpoint, the number of requests that all processes may send to it, and the current time.
     */
    using QuotaFunction =
        std::function<std::uint32_t(const InstanceName &endpoint, std::uint32_t requests, TimePoint now)>;

    /**
     * @brief Creates a limiter.
     * @param quotaOf Returns how many of an endpoint's requests this process may send.
     */
    explicit RateLimiter(QuotaFunction quotaOf);

    /**
     * @brief Returns whether one more request may be sent to an endpoint.
     * @param pool Pool of the endpoint.
     * @param endpoint Endpoint.
     * @param now Current time.
     */
    [[nodiscard]] bool admits(const Pool &pool, const Endpoint &endpoint, TimePoint now) const;

    /**
     * @brief Returns how many requests this process may send to endpoints at a later time.
     * @param pool Pool of the endpoints.
     * @param endpoints Endpoints that accept work.
     * @param now Current time.
     * @param at When the requests are to be sent, not before `now`.
     * @return The capacity; nothing if an endpoint is not bounded then.
     */
    [[nodiscard]] std::optional<RateCapacity> capacity(const Pool &pool, const std::vector<Endpoint *> &endpoints,
                                                       TimePoint now, TimePoint at) const;

    /*! @brief Records a request sent to an endpoint; unbounded endpoints count too, as they may turn out to be bounded.
     */
    static void recordSent(Endpoint &endpoint, TimePoint now);

    /*! @brief Returns whether an endpoint is cold or may have restarted recently. */
    [[nodiscard]] static bool isCold(const WarmupSpec &warmup, const Endpoint &endpoint, TimePoint now);

private:
    [[nodiscard]] static std::vector<RateBound> bounds(const Pool &pool, const Endpoint &endpoint, TimePoint at);
    [[nodiscard]] std::uint32_t quota(const Pool &pool, const Endpoint &endpoint, const RateBound &bound,
                                      TimePoint now) const;
    void addCapacity(const Pool &pool, const Endpoint &endpoint, const std::vector<RateBound> &all, TimePoint now,
                     TimePoint at, RateCapacity &sum) const;

    QuotaFunction m_quotaOf;
};

/*! @brief Returns the bound for a limit in requests per second; nothing if the limit is too high to matter. */
[[nodiscard]] std::optional<RateBound> boundForLimit(double requestsPerSecond);

} // namespace bergamottide::serving
