#pragma once

#include "bergamottide/net/loop.h"

#include <chrono>

namespace bergamottide::test {

/*! @brief Time after which a test gives up waiting; long enough for a machine that is busy with other work. */
constexpr Duration patience = std::chrono::seconds{60};

/**
 * @brief Runs a loop until a condition holds.
 *
 * Bounded by time: how many rounds some work takes depends on how the threads of other libraries are scheduled.
 * @param loop Loop to run.
 * @param condition Called before each round.
 * @param longest Time after which to give up.
 * @return Whether the condition holds.
 */
template <typename Condition>
bool runUntil(Loop &loop, Condition condition, Duration longest = patience)
{
    constexpr Duration roundWait = std::chrono::milliseconds{10};
    const TimePoint giveUpAt = loop.now() + longest;
    while (!condition()) {
        if (loop.now() >= giveUpAt) {
            return false;
        }
        loop.runOnce(roundWait);
    }
    return true;
}

/**
 * @brief Runs a loop for a time.
 * @param loop Loop to run.
 * @param time Length of the time.
 */
inline void runFor(Loop &loop, Duration time)
{
    runUntil(
        loop, [] { return false; }, time);
}

} // namespace bergamottide::test
