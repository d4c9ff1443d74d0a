#include "bergamottide/placement/ejector.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Weight of a new observation: about the last five decide, so that a bad endpoint is out within a second. */
constexpr double newest = 0.2;
/*! @brief Own observations below which an endpoint is judged by its side's reports. */
constexpr std::uint32_t enoughSamples = 5;
/*! @brief Largest ratio that counts: one hanging run must not outweigh twenty good ones. */
constexpr double largestRatio = 20.0;
/*! @brief Failure share of the peers above which failures say nothing about one endpoint. */
constexpr double peersFailing = 0.5;
/*! @brief Doublings of the time out of service at most: a repaired endpoint is back within a few minutes. */
constexpr std::uint32_t maxDoublings = 5;
/*! @brief Rounding of the cap: a third of three endpoints, written as 0.33, is one. */
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

void blend(double &average, double value)
{
    average += newest * (value - average);
}

double ratioOf(Duration service, Duration cost)
{
    const auto expected = static_cast<double>(std::max<std::int64_t>(1, cost.count()));
    return std::min(largestRatio, static_cast<double>(service.count()) / expected);
}

} // namespace

Ejector::Ejector(EndpointTable &table)
    : m_table{table}
{
}

void Ejector::completed(EndpointNumber number, Duration cost, Duration service)
{
    if (m_table.endpoint(number).ejection == EjectionState::Trial) {
        decideTrial(number, true);
    }
    OwnObservations &observed = m_table.observations(number);
    blend(observed.slowness, ratioOf(service, cost));
    blend(observed.failureShare, 0.0);
    ++observed.samples;
}

void Ejector::failed(EndpointNumber number)
{
    if (m_table.endpoint(number).ejection == EjectionState::Trial) {
        decideTrial(number, false);
    }
    OwnObservations &observed = m_table.observations(number);
    blend(observed.failureShare, 1.0);
    ++observed.samples;
}

void Ejector::abandoned(EndpointNumber number, Duration cost, Duration elapsed)
{
    OwnObservations &observed = m_table.observations(number);
    const double ratio = ratioOf(elapsed, cost);
    if (ratio <= observed.slowness) {
        trialUndecided(number);
        return;
    }
    if (m_table.endpoint(number).ejection == EjectionState::Trial) {
        decideTrial(number, false);
    }
    blend(observed.slowness, ratio);
    ++observed.samples;
}

void Ejector::trialUndecided(EndpointNumber number)
{
    const Endpoint &endpoint = m_table.endpoint(number);
    if (endpoint.ejection == EjectionState::Trial) {
        m_table.setEjection(number, EjectionState::HalfOpen, endpoint.ejectedUntil);
    }
}

// The verdict on a bad trial is carried out by the next review, which knows policy and time.
void Ejector::decideTrial(EndpointNumber number, bool good)
{
    const Endpoint &endpoint = m_table.endpoint(number);
    if (!good) {
        m_table.setEjection(number, EjectionState::Ejected, TimePoint{});
        return;
    }
    m_table.observations(number) = {};
    m_table.setEjectionCount(number, 0);
    m_table.setEjection(number, EjectionState::InService, TimePoint{});
    m_changes.push_back({endpoint.name, endpoint.pool, false, "trial run completed"});
}

Ejector::Standing Ejector::standingOf(const Endpoint &endpoint, double peersPerUnit) const
{
    if (endpoint.observed.samples >= enoughSamples) {
        return {endpoint.observed.slowness, endpoint.observed.failureShare};
    }
    const bool reported = endpoint.reported.known && peersPerUnit > 0.0 && endpoint.reported.servicePerUnit > 0.0;
    const double slowness = reported ? endpoint.reported.servicePerUnit / peersPerUnit : 1.0;
    return {slowness, endpoint.reported.failureShare};
}

std::vector<EjectionChange> Ejector::review(const Policy &policy, TimePoint now)
{
    for (const auto &[name, pool] : m_table.pools()) {
        reviewPool(pool, policy, now);
    }
    return std::exchange(m_changes, {});
}

void Ejector::reviewPool(const PoolEndpoints &pool, const Policy &policy, TimePoint now)
{
    std::vector<double> perUnit;
    for (const EndpointNumber number : pool.listed) {
        const Endpoint &endpoint = m_table.endpoint(number);
        if (endpoint.reported.known && endpoint.reported.servicePerUnit > 0.0) {
            perUnit.push_back(endpoint.reported.servicePerUnit);
        }
    }
    const double peersPerUnit = median(perUnit);
    std::vector<double> slowness;
    std::vector<double> failures;
    std::size_t out = 0;
    for (const EndpointNumber number : pool.listed) {
        const Standing standing = standingOf(m_table.endpoint(number), peersPerUnit);
        slowness.push_back(standing.slowness);
        failures.push_back(standing.failureShare);
        out += m_table.endpoint(number).ejection == EjectionState::InService ? 0 : 1;
    }
    const double typical = std::max(1e-6, median(slowness));
    const bool allFail = median(failures) > peersFailing;
    const auto cap =
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
        if (endpoint.ejection != EjectionState::InService || out >= cap) {
            continue;
        }
        const Standing standing = standingOf(endpoint, peersPerUnit);
        const bool failing = !allFail && standing.failureShare > policy.ejectionFailures;
        const bool slow = standing.slowness > policy.ejectionFactor * typical;
        if (failing || slow) {
            eject(number, policy, now, failing ? "fails more than its peers" : "slower than its peers");
            ++out;
        }
    }
}

void Ejector::eject(EndpointNumber number, const Policy &policy, TimePoint now, const char *cause)
{
    const Endpoint &endpoint = m_table.endpoint(number);
    const std::uint32_t doublings = std::min(endpoint.ejections, maxDoublings);
    m_table.setEjectionCount(number, endpoint.ejections + 1);
    m_table.setEjection(number, EjectionState::Ejected, now + policy.ejectionTime * (1U << doublings));
    m_changes.push_back({endpoint.name, endpoint.pool, true, cause});
}

} // namespace bergamottide
