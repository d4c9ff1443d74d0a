#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/load/valuedecay.h"

#include <array>
#include <cstddef>
#include <optional>

namespace bergamottide::load {

/*! @brief Reports of one value by one endpoint: the latest one, their mean, and earlier ones for comparison. */
class ReportSeries
{
public:
    /**
     * @brief Records a report.
     * @param value Reported value.
     * @param now Current time.
     * @param decay Learns from the comparison with earlier reports.
     */
    void record(double value, TimePoint now, ValueDecay &decay);

    /**
     * @brief Returns the expected value, weighted between the latest report and the mean.
     * @param decay Weight of a report by its age.
     * @param now Current time.
     * @return Expected value; nothing if there is no report, or none within the time that the mean covers.
     */
    [[nodiscard]] std::optional<double> expected(const ValueDecay &decay, TimePoint now) const;

    /*! @brief Returns the mean of the last seconds; nothing without a report. */
    [[nodiscard]] std::optional<double> mean() const;

private:
    struct Report
    {
        double value{};
        TimePoint at{};
    };

    /*! @brief Number of earlier reports that are kept, each for four times as long as the one before. */
    static constexpr std::size_t referenceCount = 7;

    void compare(const Report &report, ValueDecay &decay);

    std::optional<Report> m_latest;
    std::array<std::optional<Report>, referenceCount> m_references;
    double m_weightedSum{};
    double m_weight{};
};

} // namespace bergamottide::load
