#include "bergamottide/load/reportseries.h"

#include <algorithm>
#include <cmath>

namespace bergamottide::load {

namespace {

/*! @brief Time constant of the mean. A machine stays slow for seconds to minutes, so the mean has to follow within
 * seconds, and it has to cover many of the changes that occur several times per second. */
constexpr double meanSeconds = 10.0;
/*! @brief Time after the last report at which the endpoint counts as unknown; the mean covers hardly more. */
constexpr Duration maxReportAge = std::chrono::seconds{30};
/*! @brief Least time that a report counts for in the mean. The first report of a series has no earlier one, and several
 * may arrive at once. */
constexpr double minReportSeconds = 0.001;
/*! @brief Time for which the first earlier report is kept. */
constexpr Duration firstReferenceAge = std::chrono::milliseconds{1};
constexpr int referenceAgeFactor = 4;

} // namespace

void ReportSeries::record(double value, TimePoint now, ValueDecay &decay)
{
    const Report report{value, now};
    if (m_latest) {
        decay.recordDeviation(value - m_weightedSum / m_weight);
        compare(report, decay);
    } else {
        m_references.fill(report);
    }
    // Weighted by time, or the many reports of a burst would outweigh the few of the time before.
    const double elapsed = m_latest ? std::chrono::duration<double>(now - m_latest->at).count() : 0.0;
    const double kept = std::exp(-std::max(elapsed, minReportSeconds) / meanSeconds);
    m_weightedSum = m_weightedSum * kept + value * (1.0 - kept);
    m_weight = m_weight * kept + (1.0 - kept);
    m_latest = report;
}

/*! @brief Compares a report with an earlier one of each time scale, so that the decay is learned beyond the time
 * between two successive reports. */
void ReportSeries::compare(const Report &report, ValueDecay &decay)
{
    Duration minAge = firstReferenceAge;
    TimePoint comparedAt = TimePoint::max();
    for (std::optional<Report> &reference : m_references) {
        if (report.at - reference->at >= minAge) {
            if (reference->at != comparedAt) {
                decay.recordPair(report.value - reference->value, report.at - reference->at);
            }
            comparedAt = reference->at;
            reference = report;
        }
        minAge *= referenceAgeFactor;
    }
}

std::optional<double> ReportSeries::expected(const ValueDecay &decay, TimePoint now) const
{
    if (!m_latest || now - m_latest->at > maxReportAge) {
        return std::nullopt;
    }
    const double average = m_weightedSum / m_weight;
    return average + decay.weight(now - m_latest->at) * (m_latest->value - average);
}

std::optional<double> ReportSeries::mean() const
{
    return m_latest ? std::optional{m_weightedSum / m_weight} : std::nullopt;
}

} // namespace bergamottide::load
