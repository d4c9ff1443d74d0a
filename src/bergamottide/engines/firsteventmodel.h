#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/scheduling/robustregression.h"

#include <cstdint>

namespace bergamottide::engines {

/**
 * @brief Learns the time to the first event of a generation at the engines of a pool, as a linear function of the
 * tokens to prefill.
 */
class FirstEventModel
{
public:
    /**
     * @brief Adds the sample of a first event.
     * @param tokens Tokens to prefill when the generation was sent, including those of earlier generations.
     * @param time Time from sending the generation to the event.
     * @param slowness Slowness of the engine relative to its pool.
     */
    void learn(double tokens, Duration time, double slowness);

    /*! @brief Returns the expected time to the first event at an engine of average speed. */
    [[nodiscard]] Duration expected(double tokens) const;

    /*! @brief Returns the prefill rate of an engine. */
    [[nodiscard]] double tokensPerSecond() const;

private:
    RobustRegression m_regression;
};

} // namespace bergamottide::engines
