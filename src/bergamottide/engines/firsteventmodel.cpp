#include "bergamottide/engines/firsteventmodel.h"

#include <algorithm>
#include <cmath>

namespace bergamottide::engines {

namespace {

/*! @brief Default of the time to the first event of an empty prompt, in seconds. */
constexpr double defaultBaseSeconds = 0.1;
/*! @brief Default of the prefill time per token, in seconds. */
constexpr double defaultSecondsPerToken = 30e-6;
/*! @brief Minimum samples for an estimate; with fewer the defaults are used, since the first few prompts may all have
 * the same length. */
constexpr std::uint64_t minTrustedSamples = 12;
/*! @brief Prompt lengths between which the prefill rate is measured on the regression line, in tokens. */
constexpr double shortPromptTokens = 1'000.0;
constexpr double longPromptTokens = 21'000.0;
/*! @brief Range of the prefill rate; the slope of a regression over few samples is unreliable. */
constexpr double minTokensPerSecond = 2'000.0;
constexpr double maxTokensPerSecond = 200'000.0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void FirstEventModel::learn(double tokens, Duration time, double slowness)
{
    m_regression.learn(tokens, seconds(time) / std::max(slowness, 1.0));
}

Duration FirstEventModel::expected(double tokens) const
{
    const double value = m_regression.samples() < minTrustedSamples
        ? defaultBaseSeconds + defaultSecondsPerToken * tokens
        : m_regression.estimate(tokens);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

double FirstEventModel::tokensPerSecond() const
{
    const double span = seconds(expected(longPromptTokens) - expected(shortPromptTokens));
    return std::clamp((longPromptTokens - shortPromptTokens) / std::max(span, 1e-3), minTokensPerSecond,
                      maxTokensPerSecond);
}

} // namespace bergamottide::engines
