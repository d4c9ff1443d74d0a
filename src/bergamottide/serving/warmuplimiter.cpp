#include "bergamottide/serving/warmuplimiter.h"

#include <algorithm>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Window for the limit per second; longer than a second, as network delays may bunch requests together. */
constexpr Duration sendWindow = std::chrono::milliseconds{1250};

std::uint32_t sentInWindow(const Endpoint &endpoint, TimePoint now)
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(endpoint.recentSendTimes, [now](TimePoint at) { return now - at < sendWindow; }));
}

} // namespace

WarmupLimiter::WarmupLimiter(QuotaFunction quotaOf)
    : m_quotaOf{std::move(quotaOf)}
{
}

bool WarmupLimiter::isCold(const WarmupSpec &warmup, const Endpoint &endpoint, TimePoint now)
{
    const bool mayHaveRestarted =
        endpoint.possibleRestartAt != TimePoint{} && now < endpoint.possibleRestartAt + warmup.duration;
    return mayHaveRestarted || now < endpoint.warmupEndsAt;
}

bool WarmupLimiter::admits(const Pool &pool, const Endpoint &endpoint, TimePoint now) const
{
    if (!pool.warmup || !isCold(*pool.warmup, endpoint, now)) {
        return true;
    }
    const auto requests = static_cast<std::uint32_t>(std::max(pool.warmup->requestsPerSecond, 1.0));
    // All calls to a stage pool come from the process that owns its queue.
    const std::uint32_t quota = pool.batch ? requests : m_quotaOf(endpoint.record.instance, requests, now);
    return sentInWindow(endpoint, now) < quota;
}

void WarmupLimiter::recordSent(const Pool &pool, Endpoint &endpoint, TimePoint now)
{
    if (!pool.warmup) {
        return;
    }
    std::erase_if(endpoint.recentSendTimes, [now](TimePoint at) { return now - at >= sendWindow; });
    endpoint.recentSendTimes.push_back(now);
}

} // namespace bergamottide::serving
