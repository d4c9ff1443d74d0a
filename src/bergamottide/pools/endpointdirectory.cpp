#include "bergamottide/pools/endpointdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Time for which an endpoint without an entry is kept: a live one renews its entry within about 2 s of the
 * list's return. */
constexpr Duration missingTimeout = std::chrono::milliseconds{2200};
/*!
 * @brief Grace period after an outage, for entries that expired during it.
 *
 * The first read after the outage contains all of these removals. Later ones are real and take effect at once.
 */
constexpr Duration graceAfterReturn = std::chrono::milliseconds{400};
/*! @brief Tolerance for the end of the warm-up: entries contain the remaining time, so propagation delays shift it. */
constexpr Duration warmupEndTolerance = std::chrono::milliseconds{1000};
/*! @brief Shortest outage that starts a grace period: in shorter ones no entry expires. */
constexpr Duration minOutageWithGrace = std::chrono::milliseconds{1000};

} // namespace

void EndpointDirectory::replace(const EndpointList &list, TimePoint now)
{
    std::set<InstanceName> listed;
    for (const EndpointRecord &record : list) {
        listed.insert(record.instance);
        put(record, now);
    }
    std::vector<InstanceName> absent;
    for (const auto &[instance, record] : m_endpoints) {
        if (!listed.contains(instance)) {
            absent.push_back(instance);
        }
    }
    for (const InstanceName &instance : absent) {
        remove(instance, now);
    }
}

void EndpointDirectory::put(const EndpointRecord &record, TimePoint now)
{
    m_missing.erase(record.instance);
    const auto [found, isNew] = m_endpoints.try_emplace(record.instance, record);
    EndpointRecord &known = found->second;
    const bool isNewIncarnation = isNew || known.incarnation != record.incarnation;
    const bool draining = record.draining || (!isNewIncarnation && known.draining);
    const TimePoint warmupEndsAt =
        record.remainingWarmup > Duration::zero() ? now + record.remainingWarmup : TimePoint{};
    const bool isColder = warmupEndsAt > known.warmupEndsAt + warmupEndTolerance;
    if (isNewIncarnation || known.draining != draining || known.address != record.address || known.pool != record.pool
        || known.zone != record.zone || known.softwareVersion != record.softwareVersion || known.slots != record.slots
        || isColder) {
        m_changed = true;
    }
    const TimePoint knownWarmupEnd = known.warmupEndsAt;
    known = record;
    known.draining = draining;
    known.warmupEndsAt = isNewIncarnation || isColder ? warmupEndsAt : knownWarmupEnd;
}

void EndpointDirectory::remove(const InstanceName &instance, TimePoint now)
{
    const auto found = m_endpoints.find(instance);
    if (found == m_endpoints.end()) {
        return;
    }
    if (isInGracePeriod(now) && !found->second.draining) {
        m_missing.try_emplace(instance, now + missingTimeout);
        return;
    }
    removeAtOnce(instance);
}

void EndpointDirectory::removeAtOnce(const InstanceName &instance)
{
    m_missing.erase(instance);
    m_changed = m_endpoints.erase(instance) != 0 || m_changed;
}

void EndpointDirectory::setEvacuatedZones(std::set<ZoneName> zones)
{
    m_changed = m_changed || zones != m_evacuated;
    m_evacuated = std::move(zones);
}

const std::set<ZoneName> &EndpointDirectory::evacuatedZones() const noexcept
{
    return m_evacuated;
}

void EndpointDirectory::beginListOutage(TimePoint now)
{
    if (!m_isListUnavailable) {
        m_isListUnavailable = true;
        m_unavailableSince = now;
    }
}

void EndpointDirectory::endListOutage(TimePoint now)
{
    if (m_isListUnavailable && now - m_unavailableSince >= minOutageWithGrace) {
        m_graceUntil = now + graceAfterReturn;
        for (auto &[instance, until] : m_missing) {
            until = now + missingTimeout;
        }
    }
    m_isListUnavailable = false;
}

std::optional<TimePoint> EndpointDirectory::nextWakeup() const
{
    std::optional<TimePoint> first;
    for (const auto &[instance, until] : m_missing) {
        first = first ? std::min(*first, until) : until;
    }
    return first;
}

std::shared_ptr<const EndpointList> EndpointDirectory::takeChangedList(TimePoint now)
{
    for (auto next = m_missing.begin(); next != m_missing.end();) {
        if (next->second > now) {
            ++next;
            continue;
        }
        m_endpoints.erase(next->first);
        next = m_missing.erase(next);
        m_changed = true;
    }
    if (!std::exchange(m_changed, false)) {
        return nullptr;
    }
    auto list = std::make_shared<EndpointList>();
    for (const auto &[instance, record] : m_endpoints) {
        list->push_back(record);
        list->back().isEvacuated = m_evacuated.contains(record.zone);
    }
    return list;
}

bool EndpointDirectory::isInGracePeriod(TimePoint now) const
{
    return m_isListUnavailable || (m_graceUntil && now < *m_graceUntil);
}

} // namespace bergamottide::serving
