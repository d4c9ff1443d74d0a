#include "bergamottide/serving/endpointboard.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Weight of the newest sign in the moving average: five failures in a row lift it from 0 to 0.67. */
constexpr double failureWeight = 0.2;
/*! @brief Share of failures below which an endpoint is never ejected: some requests fail anywhere. */
constexpr double leastFailureShare = 0.3;
/*! @brief Distance from the others of the pool above which an endpoint is ejected. */
constexpr double failureDistance = 0.25;
/*! @brief Signs before the share is trusted. */
constexpr std::uint32_t trustedSamples = 4;
/*! @brief First time out after a failure; doubles to the longest. A trial costs one request, hence not shorter. */
constexpr Duration firstEjection = std::chrono::milliseconds{1000};
constexpr Duration longestEjection = std::chrono::milliseconds{4000};
constexpr std::uint32_t mostDoublings = 2;
/*! @brief Share of failures that an endpoint returns with: one failure of its trial sends it out again. */
constexpr double returnShare = 0.25;

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

void EndpointBoard::update(const EndpointList &list, TimePoint now, Effects &effects)
{
    std::set<InstanceName> listed;
    for (const EndpointRecord &record : list) {
        listed.insert(record.instance);
        const auto [found, isNew] = m_endpoints.try_emplace(record.instance);
        Endpoint &endpoint = found->second;
        if (!isNew && endpoint.record.incarnation != record.incarnation) {
            restart(endpoint, now, effects);
        }
        if (isNew) {
            endpoint.record = record;
            log(effects, "An endpoint is listed.", endpoint, record.draining ? "draining" : "ready");
        }
        takeRecord(endpoint, record, now, effects);
    }
    for (auto next = m_endpoints.begin(); next != m_endpoints.end();) {
        const auto present = next++;
        if (listed.contains(present->first) || present->second.gone) {
            continue;
        }
        present->second.gone = true;
        log(effects, "An endpoint is no longer listed.", present->second, "gone");
        forgetIfIdle(present->first);
    }
    indexPools();
}

/*! @brief Takes what is listed of an endpoint that is known. */
void EndpointBoard::takeRecord(Endpoint &endpoint, const EndpointRecord &record, TimePoint now, Effects &effects)
{
    const EndpointRecord before = std::exchange(endpoint.record, record);
    endpoint.gone = false;
    if (record.draining && !before.draining) {
        log(effects, "An endpoint takes no new work.", endpoint, "draining");
    }
    if (record.isEvacuated && !before.isEvacuated) {
        log(effects, "An endpoint takes no new work.", endpoint, "its zone is evacuated");
    }
    if (before.isEvacuated && !record.isEvacuated) {
        // Endpoints may have been restarted meanwhile, and what is listed of that may be seconds old.
        endpoint.mayHaveStartedAt = now;
        log(effects, "An endpoint takes work again.", endpoint, "its zone is restored");
    }
    if (record.coldUntil > endpoint.coldUntil) {
        if (endpoint.coldUntil <= now) {
            log(effects, "An endpoint is cold.", endpoint,
                absl::StrCat("ms ", (record.coldUntil - now).count() / 1000));
        }
        endpoint.coldUntil = record.coldUntil;
    }
}

void EndpointBoard::indexPools()
{
    m_pools.clear();
    for (auto &[instance, endpoint] : m_endpoints) {
        m_pools[endpoint.record.pool].push_back(&endpoint);
    }
}

const std::vector<Endpoint *> &EndpointBoard::ofPool(const PoolName &pool) const
{
    static const std::vector<Endpoint *> none;
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? none : found->second;
}

/*! @brief Forgets what was believed of an endpoint that has started anew; work in progress there ends by itself. */
void EndpointBoard::restart(Endpoint &endpoint, TimePoint now, Effects &effects)
{
    const std::uint32_t inFlight = endpoint.inFlight;
    endpoint = Endpoint{.record = endpoint.record, .inFlight = inFlight};
    endpoint.record.draining = false;
    endpoint.mayHaveStartedAt = now;
    log(effects, "An endpoint has started anew.", endpoint, "another incarnation");
}

Endpoint *EndpointBoard::find(const InstanceName &instance)
{
    const auto found = m_endpoints.find(instance);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

std::vector<Endpoint *> EndpointBoard::usable(const PoolName &pool, TimePoint now) const
{
    const std::vector<Endpoint *> &listed = ofPool(pool);
    std::vector<Endpoint *> good;
    std::vector<Endpoint *> all;
    good.reserve(listed.size());
    for (Endpoint *endpoint : listed) {
        if (!endpoint->takesWork()) {
            continue;
        }
        all.push_back(endpoint);
        if (endpoint->ejectedUntil <= now) {
            good.push_back(endpoint);
        }
    }
    return good.empty() ? all : good;
}

bool EndpointBoard::serves(const PoolName &pool) const
{
    return std::ranges::any_of(ofPool(pool), &Endpoint::takesWork);
}

void EndpointBoard::started(const InstanceName &instance)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        ++endpoint->inFlight;
    }
}

void EndpointBoard::ended(const InstanceName &instance, std::optional<EndpointSign> sign, TimePoint now,
                          Effects &effects)
{
    Endpoint *endpoint = find(instance);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->inFlight -= endpoint->inFlight > 0 ? 1 : 0;
    if (sign && *sign != EndpointSign::Rejected) {
        const double failed = *sign == EndpointSign::Good ? 0.0 : 1.0;
        endpoint->failureShare += failureWeight * (failed - endpoint->failureShare);
        endpoint->samples = std::min(endpoint->samples + 1, trustedSamples);
        if (*sign == EndpointSign::Good) {
            endpoint->ejections = 0;
        }
        if (*sign == EndpointSign::Unreached) {
            // If it is being restarted, that shows in the list seconds after it takes work again.
            endpoint->mayHaveStartedAt = now + firstEjection;
            endpoint->failureShare = std::max(endpoint->failureShare, leastFailureShare + failureDistance);
            endpoint->samples = trustedSamples;
        }
        judge(*endpoint, now, effects);
    }
    forgetIfIdle(instance);
}

void EndpointBoard::answered(const InstanceName &instance, TimePoint now)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        endpoint->answeredAt = now;
    }
}

void EndpointBoard::toldCold(const InstanceName &instance, Duration left, TimePoint now)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        endpoint->coldUntil = std::max(endpoint->coldUntil, now + left);
    }
}

void EndpointBoard::suspect(const InstanceName &instance, TimePoint since, TimePoint now, Effects &effects)
{
    Endpoint *endpoint = find(instance);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->failureShare += failureWeight * (1.0 - endpoint->failureShare);
    endpoint->samples = std::min(endpoint->samples + 1, trustedSamples);
    if (endpoint->answeredAt < since) {
        endpoint->failureShare = std::max(endpoint->failureShare, leastFailureShare + failureDistance);
        endpoint->samples = trustedSamples;
    }
    judge(*endpoint, now, effects);
}

void EndpointBoard::told(const InstanceName &instance, const EndpointLoad &load, TimePoint now)
{
    if (Endpoint *endpoint = find(instance); endpoint != nullptr) {
        endpoint->load = load;
        endpoint->loadAt = now;
    }
}

std::vector<EndpointRecord> EndpointBoard::records() const
{
    std::vector<EndpointRecord> out;
    for (const auto &[instance, endpoint] : m_endpoints) {
        if (!endpoint.gone) {
            out.push_back(endpoint.record);
        }
    }
    return out;
}

std::size_t EndpointBoard::size() const noexcept
{
    return m_endpoints.size();
}

void EndpointBoard::judge(Endpoint &endpoint, TimePoint now, Effects &effects)
{
    if (endpoint.samples < trustedSamples || endpoint.ejectedUntil > now || endpoint.failureShare < leastFailureShare) {
        return;
    }
    const double others = failureShareOfOthers(endpoint);
    if (endpoint.failureShare < others + failureDistance) {
        return;
    }
    const Duration pause =
        std::min(firstEjection * (1U << std::min(endpoint.ejections, mostDoublings)), longestEjection);
    log(effects, "An endpoint is left out for a while.", endpoint,
        absl::StrCat("failure share ", endpoint.failureShare, " against ", others, " of the others; ms ",
                     pause.count() / 1000));
    endpoint.ejectedUntil = now + pause;
    endpoint.failureShare = returnShare;
    ++endpoint.ejections;
}

void EndpointBoard::forgetIfIdle(const InstanceName &instance)
{
    const auto found = m_endpoints.find(instance);
    if (found != m_endpoints.end() && found->second.gone && found->second.inFlight == 0) {
        std::erase(m_pools[found->second.record.pool], &found->second);
        m_endpoints.erase(found);
    }
}

double EndpointBoard::failureShareOfOthers(const Endpoint &endpoint) const
{
    double sum = 0.0;
    std::uint32_t count = 0;
    for (const Endpoint *other : ofPool(endpoint.record.pool)) {
        if (other == &endpoint || !other->takesWork()) {
            continue;
        }
        sum += other->failureShare;
        ++count;
    }
    // Without others to compare with, nothing is gained by an ejection.
    return count == 0 ? 1.0 : sum / count;
}

} // namespace bergamottide::serving
