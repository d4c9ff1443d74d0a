#pragma once

#include "bergamottide/ctl/command.h"
#include "bergamottide/ctl/remote.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace bergamottide {

/*! @brief Sums up the answers to a load. */
class LoadSummary
{
public:
    /**
     * @brief Counts one answer.
     * @param outcome Outcome that the answer names; `lost` if there was none.
     * @param latency Time from sending the request to its whole answer.
     */
    void add(const std::string &outcome, Duration latency);

    /**
     * @brief Tells what the load has cost.
     * @param before Time spent by stage before the load.
     * @param after Time spent by stage after it.
     */
    void setCosts(const StageCosts &before, const StageCosts &after);

    /*! @brief Returns the number of answers. */
    [[nodiscard]] std::size_t answers() const noexcept
    {
        return m_answers;
    }

    /*! @brief Returns the share of answers that completed, from 0 to 1; 1 without answers. */
    [[nodiscard]] double attainment() const;

    /**
     * @brief Returns a quantile of the latencies of completed requests, by the nearest rank.
     * @param share From 0 to 1.
     */
    [[nodiscard]] Duration quantile(double share) const;

    /*! @brief Writes the summary. */
    [[nodiscard]] std::string text(OutputFormat format) const;

private:
    std::size_t m_answers{};
    std::map<std::string, std::size_t> m_outcomes;
    std::vector<Duration> m_latencies;
    StageCosts m_costs;
};

/**
 * @brief Submits requests at a steady rate and sums up.
 *
 * The load is open: a request is sent at its time whether or not earlier ones have ended, as
 * callers do; a load that waits for answers would hide the very delays it shall show.
 */
[[nodiscard]] ExitCode runLoad(const CommandContext &context, const std::vector<std::string> &arguments);

} // namespace bergamottide
