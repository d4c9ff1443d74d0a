#pragma once

#include "bergamottide/core/time.h"

#include <algorithm>

namespace bergamottide {

/*! @brief Rate limit that lets a short burst through: a second's worth of requests, at least one. */
class TokenBucket
{
public:
    /**
     * @brief Takes a token.
     * @param rate Tokens per second, above zero; it may change from call to call.
     * @param now Present time.
     * @return Zero if there was one, else the time until there will be one.
     */
    [[nodiscard]] Duration take(double rate, TimePoint now)
    {
        const double burst = std::max(1.0, rate);
        const double passed = std::chrono::duration<double>(now - m_filled).count();
        m_tokens = m_started ? std::min(burst, m_tokens + passed * rate) : burst;
        m_started = true;
        m_filled = now;
        if (m_tokens >= 1.0) {
            m_tokens -= 1.0;
            return Duration::zero();
        }
        const double seconds = (1.0 - m_tokens) / rate;
        return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
    }

private:
    double m_tokens{};
    TimePoint m_filled{};
    bool m_started{};
};

} // namespace bergamottide
