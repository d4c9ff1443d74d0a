#pragma once

#include "support/scenario.h"

#include <functional>
#include <string>
#include <vector>

namespace bergamottide::test {

/*! @brief One measured figure of a scenario: the naive version, the real one, and the best that any could reach. */
struct Figure
{
    std::string name;
    double baseline{};
    double ours{};
    double bound{};
    double target{};
    /*! @brief Whether the figure must be at least the target, or at most. */
    bool atLeast{true};

    /*! @brief Tells if a value reaches the target. */
    [[nodiscard]] bool reachedBy(double value) const
    {
        return atLeast ? value >= target : value <= target;
    }
};

/*! @brief Figures of one scenario and one seed. */
struct Measured
{
    std::vector<Figure> figures;
    /*! @brief Promises that the real reducers broke. */
    std::vector<std::string> violations;
    /*! @brief Retries, hedges, ejections and refusals counted by the real reducers in all runs. */
    std::map<std::string, double> counts;
};

/*! @brief What to measure. */
struct MeasureOptions
{
    Size size;
    std::uint64_t seed{1};
    /*! @brief Changes limits of the document, to switch a mechanism off; may be empty. */
    std::function<void(Policy &)> tweak;
    bool withBaseline{true};
    /*! @brief Shortens every load, for quick runs; 1 is the full length. */
    double length{1.0};
};

/*! @brief Returns the names of the scenarios, in the order of the report. */
[[nodiscard]] std::vector<std::string> scenarioNames();

/**
 * @brief Plays a scenario and measures its figures.
 * @param name One of `scenarioNames`.
 * @param options Size, seed and limits.
 */
[[nodiscard]] Measured measure(const std::string &name, const MeasureOptions &options);

} // namespace bergamottide::test
