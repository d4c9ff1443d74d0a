#pragma once

#include "bergamottide/core/fwd.h"
#include "bergamottide/placement/quantilesketch.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <utility>

namespace bergamottide {

/**
 * @brief Estimates the delay after which a repeatable run is hedged with a second run.
 *
 * Hedging reduces the tail latency of each stage. The delay is a quantile of recent
 * durations relative to their estimates, so that only the slowest runs are hedged.
 * `hedgeBudget` bounds the extra load when all runs become slow.
 */
class Hedging
{
public:
    /**
     * @brief Records the duration of a completed run.
     * @param cost Estimated service time.
     * @param elapsed Time from dispatch to the complete result.
     */
    void learn(const PipelineName &pipeline, const StageName &stage, Duration cost, Duration elapsed)
    {
        m_ratios[std::pair{pipeline.text(), stage.text()}].add(ratio(elapsed, cost));
    }

    /**
     * @brief Returns the delay after which a run should be hedged.
     * @param cost Estimated service time.
     * @param quantile Fraction of runs that complete within the delay, from 0.5 to 1.
     * @return Time since dispatch; absent if there are too few samples.
     */
    [[nodiscard]] std::optional<Duration> delay(const PipelineName &pipeline, const StageName &stage, Duration cost,
                                                double quantile) const
    {
        const auto found = m_ratios.find(std::pair{pipeline.text(), stage.text()});
        const auto value = found == m_ratios.end() ? std::nullopt : found->second.quantile(quantile);
        if (!value) {
            return std::nullopt;
        }
        return Duration{static_cast<std::int64_t>(*value * static_cast<double>(cost.count()))};
    }

private:
    [[nodiscard]] static double ratio(Duration elapsed, Duration cost)
    {
        return static_cast<double>(elapsed.count()) / static_cast<double>(std::max<std::int64_t>(1, cost.count()));
    }

    absl::flat_hash_map<std::pair<std::string, std::string>, QuantileSketch> m_ratios;
};

} // namespace bergamottide
