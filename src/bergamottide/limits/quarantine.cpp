#include "bergamottide/limits/quarantine.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Number of crashes for which a request is quarantined. Fewer would reject requests that met crashes by chance.
 */
constexpr std::size_t requestThreshold = 3;
/*! @brief Number of crashes for which a prompt part is quarantined; it may be in many requests that met crashes by
 * chance.
 */
constexpr std::size_t partThreshold = 4;
/*! @brief Number of crashes without another suspect that tell a suspect from it. A single one is no proof, as the
 * report of a crash may lack the runs of a process that has stopped. */
constexpr std::size_t minDistinctCrashes = 2;
/*! @brief Age at which a report expires. */
constexpr Duration reportLifetime = std::chrono::hours{1};
/*! @brief Maximum number of suspects of a crash, and of cleared ones, of each kind; exceeds the slots of an endpoint.
 */
constexpr std::size_t maxSuspects = 256;
/*! @brief Shortest time for which a success keeps a request or prompt part from becoming a suspect. */
constexpr Duration successMemory = std::chrono::seconds{30};
constexpr std::size_t maxSuccesses = 8192;

void insertBounded(std::set<RequestFingerprint> &fingerprints, const RequestFingerprint &fingerprint)
{
    if (fingerprints.size() < maxSuspects) {
        fingerprints.insert(fingerprint);
    }
}

/*! @brief Returns the times of some crashes, earliest first. */
template <typename CrashSet>
std::vector<TimePoint> timesOf(const CrashSet &crashes, const std::vector<TimePoint> &times)
{
    std::vector<TimePoint> out;
    for (std::size_t position = 0; position < times.size(); ++position) {
        if (crashes.test(position)) {
            out.push_back(times[position]);
        }
    }
    return out;
}

/*! @brief Returns whether a suspect has been in enough crashes without another one. */
template <typename CrashSet>
bool isDistinct(const CrashSet &crashes, const CrashSet &others)
{
    return (crashes & ~others).count() >= minDistinctCrashes;
}

} // namespace

Quarantine::Quarantine(GossipClock &clock)
    : m_crashes{clock}
    , m_succeeded{successMemory, maxSuccesses}
{
}

void Quarantine::recordCrash(const CrashKey &crash, const Suspects &suspects, TimePoint now)
{
    CrashReport report{crash.first, Duration::zero(), {}, {}, crash.second, {}, {}};
    report.suspects.assign(suspects.requests.begin(), suspects.requests.end());
    report.suspectParts.assign(suspects.parts.begin(), suspects.parts.end());
    merge({report}, now);
}

void Quarantine::merge(const std::vector<CrashReport> &reports, TimePoint now)
{
    bool isChanged = false;
    for (const CrashReport &report : reports) {
        isChanged = (report.age < reportLifetime && mergeReport(report, now)) || isChanged;
    }
    if (isChanged) {
        evaluate();
    }
}

/*! @brief Applies a report, and returns whether it says anything new. */
bool Quarantine::mergeReport(const CrashReport &report, TimePoint now)
{
    const CrashKey key{report.endpoint, report.incarnation};
    const auto found = m_crashes.entries().find(key);
    const bool isNew = found == m_crashes.entries().end();
    Crash merged = isNew ? Crash{now - report.age, {}, {}} : found->second.record;
    mergeSuspects(merged.requests, report.suspects, report.cleared, now);
    mergeSuspects(merged.parts, report.suspectParts, report.clearedParts, now);
    if (!isNew && merged.requests == found->second.record.requests && merged.parts == found->second.record.parts) {
        return false;
    }
    if (isNew && m_crashes.entries().size() >= maxReports) {
        evictOldest();
    }
    m_crashes.change(key) = std::move(merged);
    return true;
}

void Quarantine::mergeSuspects(SuspectSet &into, const std::vector<RequestFingerprint> &suspects,
                               const std::vector<RequestFingerprint> &cleared, TimePoint now)
{
    for (const RequestFingerprint &fingerprint : cleared) {
        insertBounded(into.cleared, fingerprint);
    }
    for (const RequestFingerprint &fingerprint : suspects) {
        insertBounded(isCleared(fingerprint, now) ? into.cleared : into.suspects, fingerprint);
    }
    std::erase_if(into.suspects,
                  [&into](const RequestFingerprint &fingerprint) { return into.cleared.contains(fingerprint); });
}

bool Quarantine::isCleared(const RequestFingerprint &fingerprint, TimePoint now)
{
    return m_released.contains(fingerprint) || m_succeeded.contains(fingerprint, now);
}

void Quarantine::recordSuccess(const RequestFingerprint &fingerprint, TimePoint now)
{
    m_succeeded.insert(fingerprint, now);
    clear(fingerprint);
}

void Quarantine::clear(const RequestFingerprint &fingerprint)
{
    bool isChanged = false;
    for (const auto &[key, entry] : m_crashes.entries()) {
        const bool isPart = entry.record.parts.suspects.contains(fingerprint);
        if (!isPart && !entry.record.requests.suspects.contains(fingerprint)) {
            continue;
        }
        Crash &crash = m_crashes.change(key);
        SuspectSet &cleared = isPart ? crash.parts : crash.requests;
        cleared.suspects.erase(fingerprint);
        insertBounded(cleared.cleared, fingerprint);
        isChanged = true;
    }
    if (isChanged) {
        evaluate();
    }
}

void Quarantine::setReleased(const std::vector<RequestFingerprint> &fingerprints, TimePoint now)
{
    removeExpired(now);
    m_released = {fingerprints.begin(), fingerprints.end()};
    for (const RequestFingerprint &fingerprint : m_released) {
        clear(fingerprint);
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

/*! @brief Returns whether a crash has a suspect that is quarantined. */
bool Quarantine::isEvidence(const Crash &crash) const
{
    return std::ranges::any_of(crash.requests.suspects,
                               [this](const RequestFingerprint &request) { return m_quarantined.contains(request); })
        || std::ranges::any_of(m_quarantinedParts, [&crash](const auto &entry) {
               return std::ranges::includes(crash.parts.suspects, entry.first);
           });
}

/*! @brief Drops the oldest crash, preferably one without a quarantined suspect. */
void Quarantine::evictOldest()
{
    auto &entries = m_crashes.entries();
    const auto oldest = std::ranges::min_element(entries, {}, [this](const auto &item) {
        return std::pair{isEvidence(item.second.record), item.second.record.at};
    });
    m_crashes.erase(oldest);
}

/*! @brief Returns the suspect that first had enough crashes, and of several the one with the most. */
std::optional<Quarantine::Verdict> Quarantine::nextVerdict(const CrashesBySuspect &suspects, std::size_t threshold,
                                                           const std::vector<TimePoint> &times)
{
    std::optional<Verdict> first;
    std::pair<TimePoint, std::ptrdiff_t> least;
    for (const auto &[suspect, crashes] : suspects) {
        if (crashes.count() < threshold) {
            continue;
        }
        const std::vector<TimePoint> at = timesOf(crashes, times);
        const std::pair order{at.at(threshold - 1), -static_cast<std::ptrdiff_t>(at.size())};
        if (!first || order < least) {
            least = order;
            first = Verdict{suspect, crashes, at.at(at.size() - threshold) + reportLifetime};
        }
    }
    return first;
}

/*! @brief Removes crashes that have been explained. */
void Quarantine::disregard(CrashesBySuspect &suspects, const CrashSet &crashes)
{
    for (auto &[suspect, others] : suspects) {
        others &= ~crashes;
    }
}

/*
 * Quarantines the suspect that first had enough crashes, and disregards its crashes for all others, until no suspect is
 * left with enough of them. Otherwise requests that merely ran beside a query of death would be quarantined, too.
 */
void Quarantine::evaluate()
{
    std::vector<std::pair<TimePoint, const Crash *>> crashes;
    for (const auto &[key, entry] : m_crashes.entries()) {
        crashes.emplace_back(entry.record.at, &entry.record);
    }
    std::ranges::stable_sort(crashes, {}, &std::pair<TimePoint, const Crash *>::first);
    CrashesBySuspect requests;
    CrashesBySuspect parts;
    std::vector<TimePoint> times;
    for (const auto &[at, crash] : crashes) {
        for (const RequestFingerprint &request : crash->requests.suspects) {
            requests[request].set(times.size());
        }
        for (const RequestFingerprint &part : crash->parts.suspects) {
            parts[part].set(times.size());
        }
        times.push_back(at);
    }
    const auto requestsBefore = std::exchange(m_quarantined, {});
    const auto partsBefore = std::exchange(m_quarantinedParts, {});
    evaluateParts(std::move(parts), requests, times);
    evaluateRequests(std::move(requests), times);
    recordChanges(requestsBefore, partsBefore);
}

/*! @brief Quarantines prompt parts; requests lose the crashes that these explain. */
void Quarantine::evaluateParts(CrashesBySuspect parts, CrashesBySuspect &requests, const std::vector<TimePoint> &times)
{
    const CrashesBySuspect allParts = parts;
    const CrashesBySuspect allRequests = requests;
    while (const auto verdict = nextVerdict(parts, partThreshold, times)) {
        parts.erase(verdict->suspect);
        const bool isOneRequest = std::ranges::any_of(
            allRequests, [&verdict](const auto &request) { return !isDistinct(verdict->crashes, request.second); });
        if (isOneRequest) {
            continue;
        }
        PartCombination combination{verdict->suspect};
        for (const auto &[part, crashes] : allParts) {
            if (!isDistinct(verdict->crashes, crashes)) {
                combination.insert(part);
            }
        }
        m_quarantinedParts.emplace(std::move(combination), verdict->endsAt);
        disregard(parts, verdict->crashes);
        disregard(requests, verdict->crashes);
    }
}

void Quarantine::evaluateRequests(CrashesBySuspect requests, const std::vector<TimePoint> &times)
{
    while (const auto verdict = nextVerdict(requests, requestThreshold, times)) {
        m_quarantined[verdict->suspect] = verdict->endsAt;
        requests.erase(verdict->suspect);
        disregard(requests, verdict->crashes);
    }
}

void Quarantine::recordChanges(const std::map<RequestFingerprint, TimePoint> &requestsBefore,
                               const std::map<PartCombination, TimePoint> &partsBefore)
{
    const auto appendMissing = [](const auto &from, const auto &in, auto &to) {
        for (const auto &[key, until] : from) {
            if (!in.contains(key)) {
                to.push_back(key);
            }
        }
    };
    appendMissing(m_quarantined, requestsBefore, m_changes.started);
    appendMissing(requestsBefore, m_quarantined, m_changes.ended);
    appendMissing(m_quarantinedParts, partsBefore, m_changes.startedParts);
    appendMissing(partsBefore, m_quarantinedParts, m_changes.endedParts);
}

const std::map<RequestFingerprint, TimePoint> &Quarantine::quarantined() const noexcept
{
    return m_quarantined;
}

const std::map<PartCombination, TimePoint> &Quarantine::quarantinedParts() const noexcept
{
    return m_quarantinedParts;
}

QuarantineChanges Quarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t Quarantine::crashCount(const RequestFingerprint &fingerprint) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_crashes.entries(), [&fingerprint](const auto &item) {
        const Crash &crash = item.second.record;
        return crash.requests.suspects.contains(fingerprint) || crash.parts.suspects.contains(fingerprint);
    }));
}

std::size_t Quarantine::crashCount(const PartCombination &parts) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_crashes.entries(), [&parts](const auto &item) {
        return std::ranges::includes(item.second.record.parts.suspects, parts);
    }));
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
                       {crash.requests.suspects.begin(), crash.requests.suspects.end()},
                       {crash.requests.cleared.begin(), crash.requests.cleared.end()},
                       key.second,
                       {crash.parts.suspects.begin(), crash.parts.suspects.end()},
                       {crash.parts.cleared.begin(), crash.parts.cleared.end()}});
    }
    return out;
}

} // namespace bergamottide::serving
