#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/scheduling/robustline.h"

#include <cstdint>

namespace bergamottide::engines {

/**
 * @brief Learns how long the engines of one pool take to the first event of a generation, from the tokens that are to
 * be read before it.
 */
class FirstEventModel
{
public:
    /**
     * @brief Learns from a first event.
     * @param tokens Tokens that were to be read when the generation was sent: its own and those before it.
     * @param time Time from the sending to the event.
     * @param slowness How much slower than the others the engine is taken to be.
     */
    void learn(double tokens, Duration time, double slowness);

    /*! @brief Returns the expected time of an engine of common speed that has so many tokens to read. */
    [[nodiscard]] Duration expected(double tokens) const;

    /*! @brief Returns the speed at which an engine reads, in tokens a second. */
    [[nodiscard]] double tokensPerSecond() const;

private:
    RobustLine m_line;
};

} // namespace bergamottide::engines
