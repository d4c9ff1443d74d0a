#include "bergamottide/pools/endpointregistry.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Weight of the latest sample in the failure rate: five failures in a row raise it from 0 to 0.67. */
constexpr double failureRateWeight = 0.2;
/*! @brief Failure rate below which an endpoint is never ejected, as some requests fail at any endpoint. */
constexpr double minEjectionFailureRate = 0.3;
/*! @brief Excess over the mean failure rate of the other endpoints of the pool that leads to an ejection. */
constexpr double minExcessFailureRate = 0.25;
/*! @brief Samples needed before an endpoint may be ejected. */
constexpr std::uint32_t minSamples = 4;
/*! @brief Duration of the first ejection; doubles up to the maximum. Each readmission may cost a request. */
constexpr Duration firstEjection = std::chrono::milliseconds{1000};
constexpr Duration maxEjection = std::chrono::milliseconds{4000};
constexpr std::uint32_t maxEjectionDoublings = 2;
/*! @brief Failure rate after an ejection; one more failure is enough for the next one. */
constexpr double readmissionFailureRate = 0.25;

void log(Effects &effects, std::string text, const Endpoint &endpoint, std::string reason)
{
    effects.emplace_back(LogLine{Severity::Info,
                                 Part::Membership,
                                 std::move(text),
                                 {{"endpoint", endpoint.record.instance.text()},
                                  {"pool", endpoint.record.pool.text()},
                                  {"address", endpoint.record.address},
                                  {"reason", std::move(reason)}}});
}

} // namespace

void EndpointRegistry::update(const EndpointList &list, TimePoint now, Effects &effects)
{
    std::set<InstanceName> listed;
    for (const EndpointRecord &record : list) {
        listed.insert(record.instance);
        const auto [found, isNew] = m_endpoints.try_emplace(record.instance);
        Endpoint &endpoint = found->second;
        if (!isNew && endpoint.record.incarnation != record.incarnation) {
            resetState(endpoint, now, effects);
        }
        if (isNew) {
            endpoint.record = record;
            log(effects, "Endpoint listed.", endpoint, record.draining ? "draining" : "ready");
        }
        applyRecord(endpoint, record, now, effects);
    }
    for (auto next = m_endpoints.begin(); next != m_endpoints.end();) {
        const auto present = next++;
        if (listed.contains(present->first) || present->second.isUnlisted) {
            continue;
        }
        present->second.isUnlisted = true;
        log(effects, "Endpoint no longer listed.", present->second, "removed from the list");
        removeIfIdle(present->first);
    }
    indexPools();
    load::LoadTable::Incarnations incarnations;
    for (const EndpointRecord &record : list) {
        incarnations.emplace(record.instance, record.incarnation);
    }
    m_loads.retain(incarnations);
}

/*! @brief Applies the listed state to a known endpoint. */
void EndpointRegistry::applyRecord(Endpoint &endpoint, const EndpointRecord &record, TimePoint now, Effects &effects)
{
    const EndpointRecord before = std::exchange(endpoint.record, record);
    endpoint.isUnlisted = false;
    if (record.draining && !before.draining) {
        log(effects, "Endpoint accepts no new work.", endpoint, "draining");
    }
    if (record.isEvacuated && !before.isEvacuated) {
        log(effects, "Endpoint accepts no new work.", endpoint, "zone evacuated");
    }
    if (before.isEvacuated && !record.isEvacuated) {
        // The list may lag behind by seconds, so a restart during the evacuation may not show yet.
        endpoint.possibleRestartAt = now;
        log(effects, "Endpoint accepts new work again.", endpoint, "zone restored");
    }
    if (record.warmupEndsAt > endpoint.warmupEndsAt) {
        if (endpoint.warmupEndsAt <= now) {
            log(effects, "Endpoint is cold.", endpoint,
                absl::StrCat("warm in ", (record.warmupEndsAt - now).count() / 1000, " ms"));
        }
        endpoint.warmupEndsAt = record.warmupEndsAt;
    }
}

void EndpointRegistry::indexPools()
{
    m_pools.clear();
    for (auto &[instance, endpoint] : m_endpoints) {
        m_pools[endpoint.record.pool].push_back(&endpoint);
    }
}

const std::vector<Endpoint *> &EndpointRegistry::endpointsOf(const PoolName &pool) const
{
    static const std::vector<Endpoint *> none;
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? none : found->second;
}

/*! @brief Resets the state of a restarted endpoint; work in progress there still ends through the usual events. */
void EndpointRegistry::resetState(Endpoint &endpoint, TimePoint now, Effects &effects)
{
    const std::uint32_t inFlight = endpoint.inFlight;
    endpoint = Endpoint{.record = endpoint.record, .inFlight = inFlight};
    endpoint.record.draining = false;
    endpoint.possibleRestartAt = now;
    log(effects, "Endpoint restarted.", endpoint, "new incarnation");
}

Endpoint *EndpointRegistry::find(const InstanceName &instance)
{
    const auto found = m_endpoints.find(instance);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

const Endpoint *EndpointRegistry::find(const InstanceName &instance) const
{
    const auto found = m_endpoints.find(instance);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

bool EndpointRegistry::isCurrent(const InstanceName &instance, std::uint64_t incarnation) const
{
    const Endpoint *endpoint = find(instance);
    return endpoint != nullptr && endpoint->record.incarnation == incarnation;
}

std::vector<Endpoint *> EndpointRegistry::usable(const PoolName &pool, TimePoint now, const Filter &filter) const
{
    const std::vector<Endpoint *> &candidates = endpointsOf(pool);
    std::vector<Endpoint *> healthy;
    std::vector<Endpoint *> all;
    healthy.reserve(candidates.size());
    for (Endpoint *endpoint : candidates) {
        if (!endpoint->acceptsWork() || (filter && !filter(*endpoint))) {
            continue;
        }
        all.push_back(endpoint);
        if (endpoint->ejectedUntil <= now) {
            healthy.push_back(endpoint);
        }
    }
    return healthy.empty() ? all : healthy;
}

bool EndpointRegistry::canServe(const PoolName &pool) const
{
    return std::ranges::any_of(endpointsOf(pool), &Endpoint::acceptsWork);
}

void EndpointRegistry::recordStart(const InstanceName &instance)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        ++endpoint->inFlight;
    }
}

void EndpointRegistry::recordEnd(const InstanceName &instance, std::optional<EndpointOutcome> outcome, TimePoint now,
                                 Effects &effects)
{
    Endpoint *endpoint = find(instance);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->inFlight -= endpoint->inFlight > 0 ? 1 : 0;
    if (outcome && *outcome != EndpointOutcome::Rejected) {
        const double failed = *outcome == EndpointOutcome::Succeeded ? 0.0 : 1.0;
        endpoint->failureRate += failureRateWeight * (failed - endpoint->failureRate);
        endpoint->sampleCount = std::min(endpoint->sampleCount + 1, minSamples);
        if (*outcome == EndpointOutcome::Succeeded) {
            endpoint->consecutiveEjections = 0;
        }
        if (*outcome == EndpointOutcome::ConnectFailed) {
            // A restart shows in the list only seconds after the endpoint accepts work again.
            endpoint->possibleRestartAt = now + firstEjection;
            endpoint->failureRate = std::max(endpoint->failureRate, minEjectionFailureRate + minExcessFailureRate);
            endpoint->sampleCount = minSamples;
        }
        ejectIfFailing(*endpoint, now, effects);
    }
    removeIfIdle(instance);
}

void EndpointRegistry::recordCrash(const InstanceName &instance, TimePoint now, Effects &effects)
{
    Endpoint *endpoint = find(instance);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->ejectedUntil = now + maxEjection;
    endpoint->possibleRestartAt = now + firstEjection;
    log(effects, "Endpoint ejected.", *endpoint, "crashed");
}

void EndpointRegistry::recordAnswer(const InstanceName &instance, TimePoint now)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        endpoint->lastResponseAt = now;
    }
}

void EndpointRegistry::recordWarmup(const InstanceName &instance, Duration remaining, TimePoint now)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        endpoint->warmupEndsAt = std::max(endpoint->warmupEndsAt, now + remaining);
    }
}

void EndpointRegistry::recordTimeout(const InstanceName &instance, TimePoint since, TimePoint now, Effects &effects)
{
    Endpoint *endpoint = find(instance);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->failureRate += failureRateWeight * (1.0 - endpoint->failureRate);
    endpoint->sampleCount = std::min(endpoint->sampleCount + 1, minSamples);
    if (endpoint->lastResponseAt < since) {
        endpoint->failureRate = std::max(endpoint->failureRate, minEjectionFailureRate + minExcessFailureRate);
        endpoint->sampleCount = minSamples;
    }
    ejectIfFailing(*endpoint, now, effects);
}

void EndpointRegistry::recordDrain(const InstanceName &instance, Effects &effects)
{
    Endpoint *endpoint = find(instance);
    if (endpoint != nullptr && !std::exchange(endpoint->hasAnnouncedDrain, true)) {
        log(effects, "Endpoint announced its drain.", *endpoint,
            endpoint->record.draining ? "listed as draining" : "listed as ready");
    }
}

void EndpointRegistry::setLimit(const InstanceName &instance, std::optional<double> requestsPerSecond, Effects &effects)
{
    Endpoint *endpoint = find(instance);
    if (endpoint == nullptr || endpoint->requestLimit == requestsPerSecond) {
        return;
    }
    endpoint->requestLimit = requestsPerSecond;
    if (requestsPerSecond) {
        log(effects, "Endpoint limits its requests.", *endpoint,
            absl::StrCat(*requestsPerSecond, " requests per second from all processes"));
    } else {
        log(effects, "Endpoint no longer limits its requests.", *endpoint, "response without a limit");
    }
}

void EndpointRegistry::pause(const InstanceName &instance, TimePoint until)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        endpoint->pausedUntil = std::max(endpoint->pausedUntil, until);
    }
}

void EndpointRegistry::recordPause(const InstanceName &instance, Duration pause, TimePoint now, Effects &effects)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        log(effects, "Endpoint asks for a pause.", *endpoint, absl::StrCat(pause.count() / 1000, " ms"));
        endpoint->requestedPauseEndsAt = std::max(endpoint->requestedPauseEndsAt, now + pause);
        this->pause(instance, now + pause);
    }
}

void EndpointRegistry::recordMalformedHeader(Endpoint &endpoint, const std::string &header, Effects &effects)
{
    effects.emplace_back(Observe{Metric::MalformedHeadersTotal, {endpoint.record.pool.text(), header}, 1.0});
    if (endpoint.malformedHeaders.insert(header).second) {
        log(effects, "Header of an endpoint ignored.", endpoint, absl::StrCat("malformed: ", header));
    }
}

void EndpointRegistry::recordLoad(const InstanceName &instance, const EndpointLoad &load, TimePoint now)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        endpoint->load = load;
        endpoint->loadUpdatedAt = now;
        if (!endpoint->isUnlisted) {
            m_loads.record(endpoint->record.pool, instance, endpoint->record.incarnation, load, endpoint->inFlight,
                           now);
        }
    }
}

const load::LoadTable &EndpointRegistry::loads() const noexcept
{
    return m_loads;
}

bool EndpointRegistry::reportsPace(const PoolName &pool) const
{
    return std::ranges::any_of(endpointsOf(pool),
                               [](const Endpoint *endpoint) { return endpoint->load.pace.has_value(); });
}

std::vector<EndpointRecord> EndpointRegistry::records() const
{
    std::vector<EndpointRecord> out;
    for (const auto &[instance, endpoint] : m_endpoints) {
        if (!endpoint.isUnlisted) {
            out.push_back(endpoint.record);
        }
    }
    return out;
}

std::size_t EndpointRegistry::size() const noexcept
{
    return m_endpoints.size();
}

void EndpointRegistry::ejectIfFailing(Endpoint &endpoint, TimePoint now, Effects &effects)
{
    if (endpoint.sampleCount < minSamples || endpoint.ejectedUntil > now
        || endpoint.failureRate < minEjectionFailureRate) {
        return;
    }
    const double othersRate = meanFailureRateOfOthers(endpoint);
    if (endpoint.failureRate < othersRate + minExcessFailureRate) {
        return;
    }
    const Duration pause =
        std::min(firstEjection * (1U << std::min(endpoint.consecutiveEjections, maxEjectionDoublings)), maxEjection);
    log(effects, "Endpoint ejected.", endpoint,
        absl::StrCat("failure rate ", endpoint.failureRate, ", mean of the other endpoints ", othersRate,
                     "; ejected for ", pause.count() / 1000, " ms"));
    endpoint.ejectedUntil = now + pause;
    endpoint.failureRate = readmissionFailureRate;
    ++endpoint.consecutiveEjections;
}

void EndpointRegistry::removeIfIdle(const InstanceName &instance)
{
    const auto found = m_endpoints.find(instance);
    if (found != m_endpoints.end() && found->second.isUnlisted && found->second.inFlight == 0) {
        std::erase(m_pools[found->second.record.pool], &found->second);
        m_endpoints.erase(found);
    }
}

double EndpointRegistry::meanFailureRateOfOthers(const Endpoint &endpoint) const
{
    double sum = 0.0;
    std::uint32_t count = 0;
    for (const Endpoint *other : endpointsOf(endpoint.record.pool)) {
        if (other == &endpoint || !other->acceptsWork()) {
            continue;
        }
        sum += other->failureRate;
        ++count;
    }
    // Without other endpoints in the pool there is nothing to fall back to, so none is ejected.
    return count == 0 ? 1.0 : sum / count;
}

} // namespace bergamottide::serving
