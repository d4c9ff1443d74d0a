#pragma once

#include "bergamottide/core/time.h"

#include <algorithm>

namespace bergamottide {

/*! @brief Token bucket whose capacity is one second's worth of tokens, at least one. */
class TokenBucket
{
public:
    /**
     * @brief Takes a token.
     * @param rate Tokens per second, above zero; may change between calls.
     * @param now Current time.
     * @return Zero if a token was available, else the time until the next one.
     */
    [[nodiscard]] Duration take(double rate, TimePoint now)
    {
        const double burst = std::max(1.0, rate);
        const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = m_initialized ? std::min(burst, m_tokens + elapsed * rate) : burst;
        m_initialized = true;
        m_refilledAt = now;
        if (m_tokens >= 1.0) {
            m_tokens -= 1.0;
            return Duration::zero();
        }
        const double seconds = (1.0 - m_tokens) / rate;
        return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
    }

private:
    double m_tokens{};
    TimePoint m_refilledAt{};
    bool m_initialized{};
};

} // namespace bergamottide
