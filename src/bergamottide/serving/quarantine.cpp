#include "bergamottide/serving/quarantine.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Number of crashes for which a request is quarantined. Fewer would reject requests that met crashes by chance.
 */
constexpr std::size_t quarantineThreshold = 3;
/*! @brief Age at which a report expires. */
constexpr Duration reportLifetime = std::chrono::hours{1};
/*! @brief Maximum number of crashes that are remembered. */
constexpr std::size_t maxReports = 128;
/*! @brief Maximum number of suspects of a crash, and of cleared ones; exceeds the slots of an endpoint. */
constexpr std::size_t maxSuspects = 256;
/*! @brief Shortest time for which a success keeps a request from becoming a suspect. */
constexpr Duration successMemory = std::chrono::seconds{30};
constexpr std::size_t maxSuccesses = 2048;

void insertBounded(std::set<RequestFingerprint> &requests, const RequestFingerprint &request)
{
    if (requests.size() < maxSuspects) {
        requests.insert(request);
    }
}

} // namespace

Quarantine::Quarantine(GossipClock &clock)
    : m_crashes{clock}
    , m_succeeded{successMemory, maxSuccesses}
{
}

void Quarantine::recordCrash(const CrashKey &crash, const std::set<RequestFingerprint> &requests, TimePoint now)
{
    merge({{crash.first, Duration::zero(), {requests.begin(), requests.end()}, {}, crash.second}}, now);
}

void Quarantine::merge(const std::vector<CrashReport> &reports, TimePoint now)
{
    if (reports.empty()) {
        return;
    }
    for (const CrashReport &report : reports) {
        if (report.age < reportLifetime) {
            mergeReport(report, now);
        }
    }
    evaluate();
}

void Quarantine::mergeReport(const CrashReport &report, TimePoint now)
{
    const CrashKey key{report.endpoint, report.incarnation};
    const auto found = m_crashes.entries().find(key);
    const bool isNew = found == m_crashes.entries().end();
    Crash merged = isNew ? Crash{now - report.age, {}, {}} : found->second.record;
    for (const RequestFingerprint &request : report.cleared) {
        insertBounded(merged.cleared, request);
    }
    for (const RequestFingerprint &request : report.suspects) {
        insertBounded(isCleared(request, now) ? merged.cleared : merged.suspects, request);
    }
    std::erase_if(merged.suspects,
                  [&merged](const RequestFingerprint &request) { return merged.cleared.contains(request); });
    if (!isNew && merged.suspects == found->second.record.suspects && merged.cleared == found->second.record.cleared) {
        return;
    }
    if (isNew && m_crashes.entries().size() >= maxReports) {
        evictOldest();
    }
    m_crashes.change(key) = std::move(merged);
}

bool Quarantine::isCleared(const RequestFingerprint &request, TimePoint now)
{
    return m_released.contains(request) || m_succeeded.contains(request, now);
}

void Quarantine::recordSuccess(const RequestFingerprint &request, TimePoint now)
{
    m_succeeded.insert(request, now);
    clear(request);
}

void Quarantine::clear(const RequestFingerprint &request)
{
    bool isChanged = false;
    for (const auto &[key, entry] : m_crashes.entries()) {
        if (!entry.record.suspects.contains(request)) {
            continue;
        }
        Crash &crash = m_crashes.change(key);
        crash.suspects.erase(request);
        insertBounded(crash.cleared, request);
        isChanged = true;
    }
    if (isChanged) {
        evaluate();
    }
}

void Quarantine::setReleased(const std::vector<RequestFingerprint> &requests, TimePoint now)
{
    removeExpired(now);
    m_released = {requests.begin(), requests.end()};
    for (const RequestFingerprint &request : m_released) {
        clear(request);
    }
}

void Quarantine::removeExpired(TimePoint now)
{
    bool isChanged = false;
    auto &entries = m_crashes.entries();
    for (auto next = entries.begin(); next != entries.end();) {
        const bool isExpired = now - next->second.record.at >= reportLifetime;
        isChanged = isChanged || isExpired;
        next = isExpired ? m_crashes.erase(next) : std::next(next);
    }
    if (isChanged) {
        evaluate();
    }
}

/*! @brief Drops the oldest crash, preferably one without a quarantined suspect. */
void Quarantine::evictOldest()
{
    auto &entries = m_crashes.entries();
    const auto oldest = std::ranges::min_element(entries, {}, [this](const auto &item) {
        const Crash &crash = item.second.record;
        const bool isEvidence = std::ranges::any_of(
            crash.suspects, [this](const RequestFingerprint &request) { return m_quarantined.contains(request); });
        return std::pair{isEvidence, crash.at};
    });
    m_crashes.erase(oldest);
}

/*! @brief Returns the crashes under each request, for requests with enough crashes for a quarantine. */
std::map<RequestFingerprint, std::set<Quarantine::CrashKey>> Quarantine::repeatedSuspects() const
{
    std::map<RequestFingerprint, std::set<CrashKey>> out;
    for (const auto &[key, entry] : m_crashes.entries()) {
        for (const RequestFingerprint &request : entry.record.suspects) {
            out[request].insert(key);
        }
    }
    std::erase_if(out, [](const auto &item) { return item.second.size() < quarantineThreshold; });
    return out;
}

/*
 * Quarantines the request that first had enough crashes, and disregards its crashes for all others, until no request is
 * left with enough of them. Otherwise requests that merely ran beside a query of death would be quarantined, too.
 */
void Quarantine::evaluate()
{
    auto suspects = repeatedSuspects();
    const auto before = std::exchange(m_quarantined, {});
    while (!suspects.empty()) {
        const auto first = std::ranges::min_element(suspects, {}, [this](const auto &item) {
            // Of requests that had enough crashes at the same time, the one with more of them comes first.
            return std::pair{crashTimes(item.second).at(quarantineThreshold - 1),
                             -static_cast<std::ptrdiff_t>(item.second.size())};
        });
        const RequestFingerprint request = first->first;
        const std::set<CrashKey> explained = first->second;
        m_quarantined[request] = crashTimes(explained).at(explained.size() - quarantineThreshold) + reportLifetime;
        if (!before.contains(request)) {
            m_changes.started.push_back(request);
        }
        for (auto &[other, crashes] : suspects) {
            std::erase_if(crashes, [&explained](const CrashKey &crash) { return explained.contains(crash); });
        }
        std::erase_if(suspects, [](const auto &item) { return item.second.size() < quarantineThreshold; });
    }
    for (const auto &[request, until] : before) {
        if (!m_quarantined.contains(request)) {
            m_changes.ended.push_back(request);
        }
    }
}

/*! @brief Returns the times of crashes, earliest first. */
std::vector<TimePoint> Quarantine::crashTimes(const std::set<CrashKey> &crashes) const
{
    std::vector<TimePoint> times;
    times.reserve(crashes.size());
    for (const CrashKey &crash : crashes) {
        times.push_back(m_crashes.entries().at(crash).record.at);
    }
    std::ranges::sort(times);
    return times;
}

const std::map<RequestFingerprint, TimePoint> &Quarantine::quarantined() const noexcept
{
    return m_quarantined;
}

QuarantineChanges Quarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t Quarantine::crashCount(const RequestFingerprint &request) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_crashes.entries(), [&request](const auto &item) { return item.second.record.suspects.contains(request); }));
}

std::vector<CrashReport> Quarantine::reportsSince(std::uint64_t since, TimePoint now) const
{
    std::vector<CrashReport> out;
    for (const auto &[key, entry] : m_crashes.entries()) {
        if (entry.version <= since) {
            continue;
        }
        const Crash &crash = entry.record;
        out.push_back({key.first,
                       now - crash.at,
                       {crash.suspects.begin(), crash.suspects.end()},
                       {crash.cleared.begin(), crash.cleared.end()},
                       key.second});
    }
    return out;
}

} // namespace bergamottide::serving
