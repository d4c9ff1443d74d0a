#include "bergamottide/placement/endpointtable.h"

#include "bergamottide/placement/random.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Loads are stored as integer thousandths, so that the sums stay exact. */
constexpr std::int64_t loadScale = 1000;

std::int64_t loadOf(const Endpoint &endpoint)
{
    const auto runs = std::max(endpoint.reported.inProgress + endpoint.own.runsSinceReport, endpoint.own.outstanding);
    return loadScale * runs / std::max<std::int64_t>(1, endpoint.reported.concurrency);
}

} // namespace

EndpointTable::EndpointTable(RegionName region, ZoneName zone)
    : m_region{std::move(region)}
    , m_zone{std::move(zone)}
{
}

template <typename Visit>
void EndpointTable::forEachGroup(const Endpoint &endpoint, Visit &&visit)
{
    PoolEndpoints &pool = m_pools[endpoint.pool];
    visit(pool.all);
    if (endpoint.models.empty()) {
        visit(pool.unspecified);
    }
    for (const ModelName &model : endpoint.models) {
        visit(pool.byModel[model]);
    }
}

// Removes an endpoint from its groups, changes it and adds it to the groups that it then belongs to.
template <typename Change>
void EndpointTable::update(EndpointNumber number, Change &&apply)
{
    Endpoint &endpoint = m_endpoints[number];
    const bool wasAvailable = endpoint.available();
    if (wasAvailable) {
        forEachGroup(endpoint, [&](EndpointGroup &group) { group.remove(endpoint, number); });
    }
    apply(endpoint);
    if (endpoint.available()) {
        forEachGroup(endpoint, [&](EndpointGroup &group) { group.add(endpoint, number); });
    }
}

EndpointNumber EndpointTable::numberOf(const InstanceName &sidecar)
{
    const auto [found, added] = m_numbers.try_emplace(sidecar.text(), static_cast<EndpointNumber>(m_endpoints.size()));
    if (added) {
        Endpoint &endpoint = m_endpoints.emplace_back();
        endpoint.name = sidecar;
        endpoint.hash = XXH3_64bits(sidecar.text().data(), sidecar.text().size());
    }
    return found->second;
}

Tier EndpointTable::tierOf(const Instance &instance) const
{
    if (instance.region != m_region) {
        return Tier::OtherRegion;
    }
    return instance.zone == m_zone ? Tier::OwnZone : Tier::OwnRegion;
}

void EndpointTable::addToPool(EndpointNumber number)
{
    m_pools[m_endpoints[number].pool].listed.push_back(number);
}

void EndpointTable::removeFromPool(EndpointNumber number)
{
    std::vector<EndpointNumber> &listed = m_pools[m_endpoints[number].pool].listed;
    listed.erase(std::remove(listed.begin(), listed.end(), number), listed.end());
}

void EndpointTable::applyInstance(const Instance &instance)
{
    const EndpointNumber number = numberOf(instance.name);
    const Tier tier = tierOf(instance);
    const Endpoint &known = m_endpoints[number];
    const bool moved = known.pool != instance.pool || known.tier != tier;
    const bool wasListed = known.listed;
    if (wasListed && !moved && known.leaving == instance.leaving) {
        return;
    }
    if (wasListed && moved) {
        removeFromPool(number);
    }
    update(number, [&](Endpoint &endpoint) {
        endpoint.pool = instance.pool;
        endpoint.tier = tier;
        endpoint.leaving = instance.leaving;
        endpoint.listed = true;
    });
    if (!wasListed || moved) {
        addToPool(number);
    }
}

void EndpointTable::applyView(const InstanceView &view)
{
    for (const auto &[name, instance] : view.instances) {
        if (instance.role == Role::Sidecar) {
            applyInstance(instance);
        }
    }
    for (EndpointNumber number = 0; number < m_endpoints.size(); ++number) {
        const Endpoint &endpoint = m_endpoints[number];
        if (!endpoint.listed || view.instances.contains(endpoint.name)) {
            continue;
        }
        removeFromPool(number);
        update(number, [](Endpoint &removed) { removed.listed = false; });
    }
}

void EndpointTable::setConnected(const InstanceName &sidecar, bool connected)
{
    const EndpointNumber number = numberOf(sidecar);
    if (m_endpoints[number].connected == connected) {
        return;
    }
    update(number, [connected](Endpoint &endpoint) {
        endpoint.connected = connected;
        endpoint.silent = false;
        endpoint.draining = endpoint.draining && !connected;
    });
}

void EndpointTable::setDraining(const InstanceName &sidecar, bool draining)
{
    const EndpointNumber number = numberOf(sidecar);
    if (m_endpoints[number].draining != draining) {
        update(number, [draining](Endpoint &endpoint) { endpoint.draining = draining; });
    }
}

void EndpointTable::setSilent(const InstanceName &sidecar, bool silent)
{
    const EndpointNumber number = numberOf(sidecar);
    if (m_endpoints[number].silent != silent) {
        update(number, [silent](Endpoint &endpoint) { endpoint.silent = silent; });
    }
}

void EndpointTable::applyReport(const InstanceName &sidecar, const LoadReport &report, TimePoint now)
{
    const EndpointNumber number = numberOf(sidecar);
    setDraining(sidecar, report.draining);
    if (m_endpoints[number].models != report.models) {
        update(number, [&report](Endpoint &endpoint) { endpoint.models = report.models; });
    }
    ReportedLoad &load = m_endpoints[number].reported;
    load.at = now;
    load.known = true;
    load.inProgress = report.queued + report.running;
    load.concurrency = std::max(1U, report.concurrency);
    load.wait = report.wait;
    load.servicePerUnit = report.servicePerUnit;
    load.failureShare = report.failureShare;
    load.waits.clear();
    for (const LoadReport::Wait &wait : report.waits) {
        load.waits.emplace_back(workspaceNumber(wait.workspace), wait.wait);
    }
    std::sort(load.waits.begin(), load.waits.end());
    m_endpoints[number].own.runsSinceReport = 0;
    m_endpoints[number].own.costSinceReport = Duration::zero();
    refreshLoad(number);
}

void EndpointTable::runSent(EndpointNumber number, Duration cost)
{
    OwnLoad &own = m_endpoints[number].own;
    ++own.outstanding;
    own.outstandingCost += cost;
    ++own.runsSinceReport;
    own.costSinceReport += cost;
    refreshLoad(number);
}

void EndpointTable::runEnded(EndpointNumber number, Duration cost)
{
    OwnLoad &own = m_endpoints[number].own;
    own.outstanding -= std::min(1U, own.outstanding);
    own.outstandingCost -= std::min(cost, own.outstandingCost);
    refreshLoad(number);
}

void EndpointTable::refreshLoad(EndpointNumber number)
{
    Endpoint &endpoint = m_endpoints[number];
    const std::int64_t load = loadOf(endpoint) - endpoint.load;
    const std::int64_t slots = endpoint.reported.concurrency - endpoint.slots;
    endpoint.load += load;
    endpoint.slots += slots;
    if ((load == 0 && slots == 0) || !endpoint.available()) {
        return;
    }
    const auto tier = static_cast<std::size_t>(endpoint.tier);
    forEachGroup(endpoint, [&](EndpointGroup &group) { group.available[tier].changeLoad(load, slots); });
}

void EndpointTable::setEjection(EndpointNumber number, EjectionState state, TimePoint until)
{
    update(number, [&](Endpoint &endpoint) {
        endpoint.ejection = state;
        endpoint.ejectedUntil = until;
    });
}

void EndpointTable::setEjectionCount(EndpointNumber number, std::uint32_t ejections)
{
    m_endpoints[number].ejections = ejections;
}

const Endpoint &EndpointTable::endpoint(EndpointNumber number) const
{
    return m_endpoints[number];
}

OwnObservations &EndpointTable::observations(EndpointNumber number)
{
    return m_endpoints[number].observed;
}

std::optional<EndpointNumber> EndpointTable::find(const InstanceName &sidecar) const
{
    const auto found = m_numbers.find(sidecar.text());
    return found == m_numbers.end() ? std::nullopt : std::optional{found->second};
}

const PoolEndpoints *EndpointTable::pool(const PoolName &name) const
{
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? nullptr : &found->second;
}

const std::map<PoolName, PoolEndpoints> &EndpointTable::pools() const noexcept
{
    return m_pools;
}

WorkspaceNumber EndpointTable::workspaceNumber(const WorkspaceName &workspace)
{
    const auto next = static_cast<WorkspaceNumber>(m_workspaces.size());
    return m_workspaces.try_emplace(workspace.text(), next).first->second;
}

} // namespace bergamottide
