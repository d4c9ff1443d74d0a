#include "bergamottide/serving/endpointdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Time within which an endpoint that lives has renewed its entry after the list's return: about 2 s, and a
 * margin. */
constexpr Duration renewal = std::chrono::milliseconds{2200};
/*!
 * @brief Time after the list's return in which an entry that is missing may have lapsed before it.
 *
 * The first read after the return tells of all that lapsed; whatever disappears later is gone, and must have no new
 * work two seconds on.
 */
constexpr Duration catchUp = std::chrono::milliseconds{400};
/*! @brief An entry is heard of some time after it was written, so that the same coldness seems to end later each time.
 */
constexpr Duration coldTolerance = std::chrono::milliseconds{1000};
/*! @brief Outages shorter than this let no entry lapse: entries outlive three heartbeats. */
constexpr Duration shortOutage = std::chrono::milliseconds{1000};

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
    const bool isAnew = isNew || known.incarnation != record.incarnation;
    const bool draining = record.draining || (!isAnew && known.draining);
    const TimePoint coldUntil = record.coldLeft > Duration::zero() ? now + record.coldLeft : TimePoint{};
    const bool isColder = coldUntil > known.coldUntil + coldTolerance;
    if (isAnew || known.draining != draining || known.address != record.address || known.pool != record.pool
        || known.slots != record.slots || isColder) {
        m_changed = true;
    }
    const TimePoint knownUntil = known.coldUntil;
    known = record;
    known.draining = draining;
    known.coldUntil = isAnew || isColder ? coldUntil : knownUntil;
}

void EndpointDirectory::remove(const InstanceName &instance, TimePoint now)
{
    const auto found = m_endpoints.find(instance);
    if (found == m_endpoints.end()) {
        return;
    }
    if (isForgiving(now) && !found->second.draining) {
        m_missing.try_emplace(instance, now + renewal);
        return;
    }
    discard(instance);
}

void EndpointDirectory::discard(const InstanceName &instance)
{
    m_missing.erase(instance);
    m_changed = m_endpoints.erase(instance) != 0 || m_changed;
}

void EndpointDirectory::setEvacuated(std::set<ZoneName> zones)
{
    m_changed = m_changed || zones != m_evacuated;
    m_evacuated = std::move(zones);
}

const std::set<ZoneName> &EndpointDirectory::evacuated() const noexcept
{
    return m_evacuated;
}

void EndpointDirectory::lost(TimePoint now)
{
    if (!m_isLost) {
        m_isLost = true;
        m_lostAt = now;
    }
}

void EndpointDirectory::regained(TimePoint now)
{
    if (m_isLost && now - m_lostAt >= shortOutage) {
        m_forgivingUntil = now + catchUp;
        for (auto &[instance, until] : m_missing) {
            until = now + renewal;
        }
    }
    m_isLost = false;
}

std::optional<TimePoint> EndpointDirectory::nextWakeup() const
{
    std::optional<TimePoint> first;
    for (const auto &[instance, until] : m_missing) {
        first = first ? std::min(*first, until) : until;
    }
    return first;
}

std::shared_ptr<const EndpointList> EndpointDirectory::takeChange(TimePoint now)
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

bool EndpointDirectory::isForgiving(TimePoint now) const
{
    return m_isLost || (m_forgivingUntil && now < *m_forgivingUntil);
}

} // namespace bergamottide::serving
