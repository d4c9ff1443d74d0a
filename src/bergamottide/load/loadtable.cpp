#include "bergamottide/load/loadtable.h"

#include <algorithm>
#include <optional>

namespace bergamottide::load {

namespace {

/*! @brief Pace of an endpoint that has not reported one. */
constexpr double usualPace = 1.0;
/*! @brief Range of the paces that are used. A value beyond it comes from a fault of the endpoint, and must not attract
 * or repel all work. */
constexpr double minPace = 0.1;
constexpr double maxPace = 20.0;

} // namespace

void LoadTable::record(const PoolName &pool, const InstanceName &instance, std::uint64_t incarnation,
                       const EndpointLoad &load, std::uint32_t ownInFlight, TimePoint now)
{
    PoolReports &reports = m_pools[pool];
    EndpointReports &endpoint = reports.endpoints[instance];
    if (endpoint.incarnation != incarnation) {
        endpoint = EndpointReports{incarnation, {}, {}};
    }
    const double total = static_cast<double>(load.running) + static_cast<double>(load.waiting);
    endpoint.others.record(std::max(total - ownInFlight, 0.0), now, reports.othersDecay);
    if (load.pace) {
        endpoint.pace.record(std::clamp(*load.pace, minPace, maxPace), now, reports.paceDecay);
    }
}

double LoadTable::expectedPace(const PoolName &pool, const InstanceName &instance, TimePoint now) const
{
    const auto reports = m_pools.find(pool);
    if (reports == m_pools.end()) {
        return usualPace;
    }
    const auto endpoint = reports->second.endpoints.find(instance);
    return endpoint == reports->second.endpoints.end()
        ? usualPace
        : endpoint->second.pace.expected(reports->second.paceDecay, now).value_or(usualPace);
}

double LoadTable::expectedOthers(const PoolName &pool, const InstanceName &instance, TimePoint now) const
{
    const auto reports = m_pools.find(pool);
    if (reports == m_pools.end()) {
        return 0.0;
    }
    const auto endpoint = reports->second.endpoints.find(instance);
    return endpoint == reports->second.endpoints.end()
        ? 0.0
        : endpoint->second.others.expected(reports->second.othersDecay, now).value_or(0.0);
}

double LoadTable::meanPace(const PoolName &pool) const
{
    const auto reports = m_pools.find(pool);
    if (reports == m_pools.end()) {
        return usualPace;
    }
    double sum = 0.0;
    std::size_t count = 0;
    for (const auto &[instance, endpoint] : reports->second.endpoints) {
        if (const auto mean = endpoint.pace.mean()) {
            sum += *mean;
            ++count;
        }
    }
    return count == 0 ? usualPace : sum / static_cast<double>(count);
}

void LoadTable::retain(const Incarnations &listed)
{
    for (auto &[pool, reports] : m_pools) {
        std::erase_if(reports.endpoints, [&listed](const auto &entry) {
            const auto found = listed.find(entry.first);
            return found == listed.end() || found->second != entry.second.incarnation;
        });
    }
}

} // namespace bergamottide::load
