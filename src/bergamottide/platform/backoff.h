#pragma once

#include "bergamottide/core/time.h"

#include <cstdint>
#include <random>

namespace bergamottide {

/**
 * @brief Truncated exponential backoff with jitter.
 *
 * The jitter keeps clients that lost the same service at once from retrying in lockstep.
 */
class Backoff
{
public:
    /**
     * @brief Creates a backoff.
     * @param initial Upper bound of the first wait; above zero.
     * @param maximum Upper bound of every wait.
     * @param seed Seed of the jitter.
     */
    Backoff(Duration initial, Duration maximum, std::uint64_t seed);

    /*! @brief Returns the next wait: random between half of an upper bound and the bound, which doubles with each call.
     */
    [[nodiscard]] Duration next();

    /*! @brief Starts over from the initial bound, after a success. */
    void reset();

private:
    Duration m_initial;
    Duration m_maximum;
    Duration m_upperBound;
    std::mt19937_64 m_random;
};

} // namespace bergamottide
