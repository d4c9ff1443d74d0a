#pragma once

#include "bergamottide/ctl/command.h"
#include "bergamottide/ctl/remote.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace bergamottide {

/*! @brief Statistics of the answers to a load. */
class LoadSummary
{
public:
    /**
     * @brief Counts one answer.
     * @param outcome Outcome in the answer; `lost` if there was no answer.
     * @param latency Time from sending the request to the end of its answer.
     */
    void add(const std::string &outcome, Duration latency);

    /**
     * @brief Sets the cost of the load by stage, as the difference of two readings.
     * @param before Counters before the load.
     * @param after Counters after the load.
     */
    void setCosts(const StageCosts &before, const StageCosts &after);

    /*! @brief Returns the number of answers. */
    [[nodiscard]] std::size_t answers() const noexcept
    {
        return m_answers;
    }

    /*! @brief Returns the fraction of answers that completed, from 0 to 1; 1 without answers. */
    [[nodiscard]] double attainment() const;

    /**
     * @brief Returns a quantile of the latencies of completed requests, by the nearest rank.
     * @param fraction Fraction from 0 to 1.
     */
    [[nodiscard]] Duration quantile(double fraction) const;

    /*! @brief Returns the summary in an output format. */
    [[nodiscard]] std::string text(OutputFormat format) const;

private:
    std::size_t m_answers{};
    std::map<std::string, std::size_t> m_outcomes;
    std::vector<Duration> m_latencies;
    StageCosts m_costs;
};

/**
 * @brief Submits requests at a constant rate and prints a summary.
 *
 * The load is open-loop: requests are sent on schedule even if earlier ones are unanswered. A closed loop would hide
 * queueing delays (coordinated omission).
 */
[[nodiscard]] ExitCode runLoad(const CommandContext &context, const std::vector<std::string> &arguments);

} // namespace bergamottide
