#pragma once

#include "bergamottide/core/time.h"

#include <cstdint>
#include <random>

namespace bergamottide {

/**
 * @brief Truncated exponential backoff with full jitter.
 *
 * Made for thousands of readers that lose the same service at once: without jitter they
 * would come back in step and keep it down.
 */
class Backoff
{
public:
    /**
     * @brief Creates a backoff.
     * @param first Longest first wait, above zero.
     * @param longest Longest wait.
     * @param seed Seed of the jitter.
     */
    Backoff(Duration first, Duration longest, std::uint64_t seed);

    /*! @brief Returns the next wait: random, at least half of a bound that doubles with each call. */
    [[nodiscard]] Duration next();

    /*! @brief Starts anew after a success. */
    void reset();

private:
    Duration m_first;
    Duration m_longest;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace bergamottide
