#include "bergamottide/limits/ratelimiter.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Window for the limit per second of a cold endpoint; longer than a second, as network delays may bunch
 * requests together. */
constexpr Duration coldWindow = std::chrono::milliseconds{1250};
/*! @brief Shortest window for a limit that an endpoint names; gives more processes a share of a low limit. */
constexpr double minLimitWindowSeconds = 4.25;
/*! @brief Lowest rate, in requests per second, at which an endpoint is still used: only its responses show whether it
 * raises or withdraws its limit. */
constexpr double minRate = 0.1;
/*! @brief Limit in requests per second above which an endpoint counts as unbounded. */
constexpr double maxLimit = 1e5;
/*! @brief Longest window of any bound; older requests are forgotten. */
constexpr Duration maxWindow = std::chrono::seconds{10};
/*! @brief Share of a bound that the new owner of a stage queue uses during the first window: its predecessor may have
 * used the endpoint shortly before. */
constexpr double newOwnerShare = 0.4;

/*! @brief Returns the number of requests sent within the window before a time. */
std::uint32_t sentWithin(const Endpoint &endpoint, Duration window, TimePoint at)
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(endpoint.recentSendTimes, [window, at](TimePoint sent) { return at - sent < window; }));
}

} // namespace

std::optional<RateBound> boundForLimit(double requestsPerSecond)
{
    if (requestsPerSecond > maxLimit) {
        return std::nullopt;
    }
    const double rate = std::max(requestsPerSecond, minRate);
    const double requests = std::ceil(rate * minLimitWindowSeconds);
    const auto window =
        std::chrono::ceil<Duration>(std::chrono::duration<double>(std::max(requests / rate, minLimitWindowSeconds)));
    return RateBound{static_cast<std::uint32_t>(requests), std::min(window, maxWindow)};
}

RateLimiter::RateLimiter(QuotaFunction quotaOf)
    : m_quotaOf{std::move(quotaOf)}
{
}

bool RateLimiter::isCold(const WarmupSpec &warmup, const Endpoint &endpoint, TimePoint now)
{
    const bool mayHaveRestarted =
        endpoint.possibleRestartAt != TimePoint{} && now < endpoint.possibleRestartAt + warmup.duration;
    return mayHaveRestarted || now < endpoint.warmupEndsAt;
}

std::vector<RateBound> RateLimiter::bounds(const Pool &pool, const Endpoint &endpoint, TimePoint at)
{
    std::vector<RateBound> out;
    if (pool.warmup && isCold(*pool.warmup, endpoint, at)) {
        out.push_back({static_cast<std::uint32_t>(std::max(pool.warmup->requestsPerSecond, 1.0)), coldWindow});
    }
    auto limit = endpoint.requestLimit ? boundForLimit(*endpoint.requestLimit) : std::nullopt;
    if (!limit) {
        return out;
    }
    if (pool.batch && at - endpoint.sendingSince < limit->window) {
        limit->requests = static_cast<std::uint32_t>(std::ceil(limit->requests * newOwnerShare));
    }
    out.push_back(*limit);
    return out;
}

std::uint32_t RateLimiter::quota(const Pool &pool, const Endpoint &endpoint, const RateBound &bound,
                                 TimePoint now) const
{
    // All calls to a stage pool come from the process that owns its queue.
    return pool.batch ? bound.requests : m_quotaOf(endpoint.record.instance, bound.requests, now);
}

bool RateLimiter::admits(const Pool &pool, const Endpoint &endpoint, TimePoint now) const
{
    return endpoint.pausedUntil <= now && std::ranges::all_of(bounds(pool, endpoint, now), [&](const RateBound &bound) {
               return sentWithin(endpoint, bound.window, now) < quota(pool, endpoint, bound, now);
           });
}

std::optional<RateCapacity> RateLimiter::capacity(const Pool &pool, const std::vector<Endpoint *> &endpoints,
                                                  TimePoint now, TimePoint at) const
{
    RateCapacity sum;
    for (const Endpoint *endpoint : endpoints) {
        const std::vector<RateBound> all = bounds(pool, *endpoint, at);
        if (all.empty() && endpoint->pausedUntil <= at) {
            return std::nullopt;
        }
        addCapacity(pool, *endpoint, all, now, at, sum);
    }
    return sum;
}

void RateLimiter::addCapacity(const Pool &pool, const Endpoint &endpoint, const std::vector<RateBound> &all,
                              TimePoint now, TimePoint at, RateCapacity &sum) const
{
    const bool isPaused = endpoint.pausedUntil > at;
    std::uint32_t freeRequests = isPaused ? 0 : UINT32_MAX;
    TimePoint nextAt = std::max(at, endpoint.pausedUntil);
    for (const RateBound &bound : all) {
        const std::uint32_t allowed = quota(pool, endpoint, bound, now);
        if (allowed == 0) {
            return;
        }
        const std::uint32_t sent = sentWithin(endpoint, bound.window, at);
        freeRequests = std::min(freeRequests, allowed > sent ? allowed - sent : 0);
        if (sent >= allowed) {
            nextAt =
                std::max(nextAt, endpoint.recentSendTimes.at(endpoint.recentSendTimes.size() - allowed) + bound.window);
        }
    }
    sum.freeRequests += freeRequests;
    sum.nextAt = sum.nextAt ? std::min(*sum.nextAt, nextAt) : nextAt;
}

void RateLimiter::recordSent(Endpoint &endpoint, TimePoint now)
{
    std::deque<TimePoint> &sent = endpoint.recentSendTimes;
    while (!sent.empty() && now - sent.front() >= maxWindow) {
        sent.pop_front();
    }
    if (sent.empty()) {
        endpoint.sendingSince = now;
    }
    sent.push_back(now);
}

} // namespace bergamottide::serving
