#include "bergamottide/engines/firsteventmodel.h"

#include <algorithm>
#include <cmath>

namespace bergamottide::engines {

namespace {

/*! @brief Time to the first event of a short prompt, before anything is measured, in seconds. */
constexpr double guessedBase = 0.1;
/*! @brief Time to read a token, before anything is measured, in seconds: engines of today read 20 to 60 in a
 * millisecond, beside the tokens that they generate. */
constexpr double guessedPerToken = 30e-6;
/*! @brief Samples after which the line is trusted; the first few may all have the same length. */
constexpr std::uint64_t trustedSamples = 12;
/*! @brief Prompt lengths between which the speed is taken from the line, in tokens. */
constexpr double shortPrompt = 1'000.0;
constexpr double longPrompt = 21'000.0;
/*! @brief Speeds that are believed, in tokens a second: a line through few samples may be flat or steep. */
constexpr double slowestRead = 2'000.0;
constexpr double fastestRead = 200'000.0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void FirstEventModel::learn(double tokens, Duration time, double slowness)
{
    m_line.learn(tokens, seconds(time) / std::max(slowness, 1.0));
}

Duration FirstEventModel::expected(double tokens) const
{
    const double value =
        m_line.samples() < trustedSamples ? guessedBase + guessedPerToken * tokens : m_line.estimate(tokens);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

double FirstEventModel::tokensPerSecond() const
{
    const double span = seconds(expected(longPrompt) - expected(shortPrompt));
    return std::clamp((longPrompt - shortPrompt) / std::max(span, 1e-3), slowestRead, fastestRead);
}

} // namespace bergamottide::engines
