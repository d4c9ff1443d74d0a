#include "bergamottide/serving/warmuplimiter.h"

#include <algorithm>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Window in which a cold endpoint gets what it bears in a second: requests that were sent further apart than a
 * second may still arrive within one. */
constexpr Duration window = std::chrono::milliseconds{1250};

std::uint32_t sentWithin(const Endpoint &endpoint, TimePoint now)
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(endpoint.sentAt, [now](TimePoint at) { return now - at < window; }));
}

} // namespace

WarmupLimiter::WarmupLimiter(ShareOf shareOf)
    : m_shareOf{std::move(shareOf)}
{
}

bool WarmupLimiter::isCold(const WarmupSpec &warmup, const Endpoint &endpoint, TimePoint now)
{
    const bool mayHaveStarted =
        endpoint.mayHaveStartedAt != TimePoint{} && now < endpoint.mayHaveStartedAt + warmup.time;
    return mayHaveStarted || now < endpoint.coldUntil;
}

bool WarmupLimiter::admits(const Pool &pool, const Endpoint &endpoint, TimePoint now) const
{
    if (!pool.warmup || !isCold(*pool.warmup, endpoint, now)) {
        return true;
    }
    const auto requests = static_cast<std::uint32_t>(std::max(pool.warmup->perSecond, 1.0));
    // Calls of a stage pool all come from the owner of its queue.
    const std::uint32_t share = pool.batch ? requests : m_shareOf(endpoint.record.instance, requests, now);
    return sentWithin(endpoint, now) < share;
}

void WarmupLimiter::noteSent(const Pool &pool, Endpoint &endpoint, TimePoint now)
{
    if (!pool.warmup) {
        return;
    }
    std::erase_if(endpoint.sentAt, [now](TimePoint at) { return now - at >= window; });
    endpoint.sentAt.push_back(now);
}

} // namespace bergamottide::serving
