#include "bergamottide/placement/outlierejector.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Weight of a new sample in the moving averages; averages over about the last five. */
constexpr double sampleWeight = 0.2;
/*! @brief Minimum number of own samples; with fewer the sidecar's load report is used instead. */
constexpr std::uint32_t minOwnSamples = 5;
/*! @brief Upper bound of a slowness sample; limits the effect of a single hanging run. */
constexpr double maxSlownessSample = 20.0;
/*! @brief Median failure share above which no endpoint is ejected for failures, since they have a common cause. */
constexpr double maxMedianFailureShare = 0.5;
/*! @brief Limits the exponential growth of the ejection time. */
constexpr std::uint32_t maxDoublings = 5;
/*! @brief Added before rounding down, so that a cap of 0.33 allows one of three endpoints to be ejected. */
constexpr double capRounding = 0.05;

double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void updateAverage(double &average, double value)
{
    average += sampleWeight * (value - average);
}

double slownessOf(Duration service, Duration cost)
{
    const auto expected = static_cast<double>(std::max<std::int64_t>(1, cost.count()));
    return std::min(maxSlownessSample, static_cast<double>(service.count()) / expected);
}

} // namespace

OutlierEjector::OutlierEjector(EndpointTable &table)
    : m_table{table}
{
}

void OutlierEjector::recordCompletion(EndpointNumber number, Duration cost, Duration service)
{
    if (m_table.endpoint(number).ejection == EjectionState::Trial) {
        finishTrial(number, true);
    }
    OwnObservations &observed = m_table.observations(number);
    updateAverage(observed.slowness, slownessOf(service, cost));
    updateAverage(observed.failureShare, 0.0);
    ++observed.samples;
}

void OutlierEjector::recordFailure(EndpointNumber number)
{
    if (m_table.endpoint(number).ejection == EjectionState::Trial) {
        finishTrial(number, false);
    }
    OwnObservations &observed = m_table.observations(number);
    updateAverage(observed.failureShare, 1.0);
    ++observed.samples;
}

void OutlierEjector::recordCancellation(EndpointNumber number, Duration cost, Duration elapsed)
{
    OwnObservations &observed = m_table.observations(number);
    const double ratio = slownessOf(elapsed, cost);
    if (ratio <= observed.slowness) {
        releaseTrial(number);
        return;
    }
    if (m_table.endpoint(number).ejection == EjectionState::Trial) {
        finishTrial(number, false);
    }
    updateAverage(observed.slowness, ratio);
    ++observed.samples;
}

void OutlierEjector::releaseTrial(EndpointNumber number)
{
    const Endpoint &endpoint = m_table.endpoint(number);
    if (endpoint.ejection == EjectionState::Trial) {
        m_table.setEjection(number, EjectionState::HalfOpen, endpoint.ejectedUntil);
    }
}

// A failed trial is marked by an empty `ejectedUntil`; the next review ejects the endpoint again, since the duration
// depends on the policy.
void OutlierEjector::finishTrial(EndpointNumber number, bool succeeded)
{
    const Endpoint &endpoint = m_table.endpoint(number);
    if (!succeeded) {
        m_table.setEjection(number, EjectionState::Ejected, TimePoint{});
        return;
    }
    m_table.observations(number) = {};
    m_table.setEjectionCount(number, 0);
    m_table.setEjection(number, EjectionState::InService, TimePoint{});
    m_changes.push_back({endpoint.name, endpoint.pool, false, "trial run completed"});
}

OutlierEjector::Performance OutlierEjector::performanceOf(const Endpoint &endpoint, double medianServicePerUnit) const
{
    if (endpoint.observed.samples >= minOwnSamples) {
        return {endpoint.observed.slowness, endpoint.observed.failureShare};
    }
    const bool reported =
        endpoint.reported.known && medianServicePerUnit > 0.0 && endpoint.reported.servicePerUnit > 0.0;
    const double slowness = reported ? endpoint.reported.servicePerUnit / medianServicePerUnit : 1.0;
    return {slowness, endpoint.reported.failureShare};
}

std::vector<EjectionChange> OutlierEjector::review(const Policy &policy, TimePoint now)
{
    for (const auto &[name, pool] : m_table.pools()) {
        reviewPool(pool, policy, now);
    }
    return std::exchange(m_changes, {});
}

void OutlierEjector::reviewPool(const PoolEndpoints &pool, const Policy &policy, TimePoint now)
{
    std::vector<double> servicePerUnits;
    for (const EndpointNumber number : pool.listed) {
        const Endpoint &endpoint = m_table.endpoint(number);
        if (endpoint.reported.known && endpoint.reported.servicePerUnit > 0.0) {
            servicePerUnits.push_back(endpoint.reported.servicePerUnit);
        }
    }
    const double medianServicePerUnit = median(servicePerUnits);
    std::vector<double> slowness;
    std::vector<double> failures;
    std::size_t ejectedCount = 0;
    for (const EndpointNumber number : pool.listed) {
        const Performance performance = performanceOf(m_table.endpoint(number), medianServicePerUnit);
        slowness.push_back(performance.slowness);
        failures.push_back(performance.failureShare);
        ejectedCount += m_table.endpoint(number).ejection == EjectionState::InService ? 0 : 1;
    }
    const double medianSlowness = std::max(1e-6, median(slowness));
    const bool mostFail = median(failures) > maxMedianFailureShare;
    const auto maxEjected =
        static_cast<std::size_t>(policy.ejectionCap * static_cast<double>(pool.listed.size()) + capRounding);
    const std::vector<EndpointNumber> listed = pool.listed;
    for (const EndpointNumber number : listed) {
        const Endpoint &endpoint = m_table.endpoint(number);
        if (endpoint.ejection == EjectionState::Ejected && endpoint.ejectedUntil == TimePoint{}) {
            eject(number, policy, now, "trial run failed");
            continue;
        }
        if (endpoint.ejection == EjectionState::Ejected && endpoint.ejectedUntil <= now) {
            m_table.setEjection(number, EjectionState::HalfOpen, now);
            continue;
        }
        if (endpoint.ejection != EjectionState::InService || ejectedCount >= maxEjected) {
            continue;
        }
        const Performance performance = performanceOf(endpoint, medianServicePerUnit);
        const bool failing = !mostFail && performance.failureShare > policy.ejectionFailures;
        const bool slow = performance.slowness > policy.ejectionFactor * medianSlowness;
        if (failing || slow) {
            eject(number, policy, now, failing ? "fails more than its peers" : "slower than its peers");
            ++ejectedCount;
        }
    }
}

void OutlierEjector::eject(EndpointNumber number, const Policy &policy, TimePoint now, const char *cause)
{
    const Endpoint &endpoint = m_table.endpoint(number);
    const std::uint32_t doublings = std::min(endpoint.ejections, maxDoublings);
    m_table.setEjectionCount(number, endpoint.ejections + 1);
    m_table.setEjection(number, EjectionState::Ejected, now + policy.ejectionTime * (1U << doublings));
    m_changes.push_back({endpoint.name, endpoint.pool, true, cause});
}

} // namespace bergamottide
