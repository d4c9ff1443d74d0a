#pragma once

#include "bergamottide/core/fwd.h"
#include "bergamottide/placement/quantilesketch.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <utility>

namespace bergamottide {

/**
 * @brief Tells after which time a repeatable run has become an outlier worth a second one.
 *
 * Load: a run that hangs at one endpoint while its like are done elsewhere. Harm
 * prevented: the tail of each stage, which a request meets once per stage, so that the
 * slowest of all its stages decides. Only the slowest share of runs, beyond
 * `hedgeQuantile`, is run twice; under `hedgeBudget`, so that a general slowdown, in
 * which every run looks like an outlier, doubles nothing.
 */
class Hedging
{
public:
    /**
     * @brief Learns how long a run took in all.
     * @param cost Service time that was estimated.
     * @param elapsed Time from dispatch to the whole result.
     */
    void learn(const PipelineName &pipeline, const StageName &stage, Duration cost, Duration elapsed)
    {
        m_ratios[std::pair{pipeline.text(), stage.text()}].add(ratio(elapsed, cost));
    }

    /**
     * @brief Tells when a run should be hedged.
     * @param cost Estimated service time.
     * @param quantile Share of runs that end earlier, from 0.5 to 1.
     * @return Time since dispatch, or nothing while too little is known.
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
