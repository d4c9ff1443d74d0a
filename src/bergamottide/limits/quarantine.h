#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/heartbeat.h"
#include "bergamottide/events/requestfingerprint.h"
#include "bergamottide/events/suspects.h"
#include "bergamottide/gossip/gossiptable.h"
#include "bergamottide/limits/recentset.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bergamottide::serving {

/*! @brief One or several prompt parts; the one that crashes endpoints cannot be told from the others yet. */
using PartCombination = std::set<RequestFingerprint>;

/*! @brief Requests and prompt parts that entered or left the quarantine. */
struct QuarantineChanges
{
    std::vector<RequestFingerprint> started;
    std::vector<RequestFingerprint> ended;
    std::vector<PartCombination> startedParts;
    std::vector<PartCombination> endedParts;

    [[nodiscard]] bool empty() const noexcept
    {
        return started.empty() && ended.empty() && startedParts.empty() && endedParts.empty();
    }
};

/**
 * @brief Finds requests that crash the endpoints that run them ("queries of death"), and quarantines them.
 *
 * A crash makes all requests that ran on the endpoint suspects. Crash reports spread through the fleet, since each
 * process sees only some of the crashes. A request is quarantined once it is a suspect in three crashes that no other
 * quarantined request explains. A success clears its request: a query of death has none.
 *
 * Requests that differ may share the part of their prompts that crashes endpoints. Parts are suspects like requests,
 * and one is quarantined after four crashes that no single request explains. As long as other parts without a success
 * have been in nearly all of these crashes, only requests with all of them are quarantined: what becomes of the others
 * shows which part is to blame.
 *
 * All processes with the same reports come to the same result. Reports expire after an hour, so a request that is
 * still sent then costs one endpoint for each report that expires.
 */
class Quarantine
{
public:
    /*! @brief Endpoint and its incarnation: an instance that starts again under its name may crash again. */
    using CrashKey = std::pair<InstanceName, std::uint64_t>;

    /**
     * @brief Creates an empty quarantine.
     * @param clock Numbers the changes of the reports; must outlive the quarantine.
     */
    explicit Quarantine(GossipClock &clock);

    /**
     * @brief Reports a crash.
     * @param crash Endpoint that crashed, and its incarnation; further reports of both add their requests.
     * @param suspects Requests whose runs broke with it, and their prompt parts.
     * @param now Current time.
     */
    void recordCrash(const CrashKey &crash, const Suspects &suspects, TimePoint now);

    /*! @brief Clears a request or prompt part: an endpoint has run it successfully. */
    void recordSuccess(const RequestFingerprint &fingerprint, TimePoint now);

    /*! @brief Applies the reports of a peer. */
    void merge(const std::vector<CrashReport> &reports, TimePoint now);

    /*! @brief Replaces the requests and prompt parts that are never quarantined, and clears them in the whole fleet. */
    void setReleased(const std::vector<RequestFingerprint> &fingerprints, TimePoint now);

    /*! @brief Removes expired reports. */
    void removeExpired(TimePoint now);

    /*! @brief Returns the quarantined requests, with the time at which each is let through again. */
    [[nodiscard]] const std::map<RequestFingerprint, TimePoint> &quarantined() const noexcept;

    /*! @brief Returns the quarantined prompt parts: a request that has all of a combination is quarantined. */
    [[nodiscard]] const std::map<PartCombination, TimePoint> &quarantinedParts() const noexcept;

    /*! @brief Returns and clears the changes since the previous invocation. */
    [[nodiscard]] QuarantineChanges takeChanges();

    /*! @brief Returns the number of crashes in which a request or prompt part is a suspect. */
    [[nodiscard]] std::size_t crashCount(const RequestFingerprint &fingerprint) const;

    /*! @brief Returns the number of crashes in which all of several prompt parts are suspects. */
    [[nodiscard]] std::size_t crashCount(const PartCombination &parts) const;

    /**
     * @brief Returns the reports that have changed since a version.
     * @param since Version; zero for all.
     * @param now Current time.
     */
    [[nodiscard]] std::vector<CrashReport> reportsSince(std::uint64_t since, TimePoint now) const;

private:
    /*! @brief Suspects of one kind in a crash. */
    struct SuspectSet
    {
        std::set<RequestFingerprint> suspects;
        /*! @brief Former suspects that have been cleared; they cannot become suspects of this crash again. */
        std::set<RequestFingerprint> cleared;

        [[nodiscard]] bool operator==(const SuspectSet &other) const = default;
    };

    struct Crash
    {
        TimePoint at{};
        SuspectSet requests;
        SuspectSet parts;
    };

    /*! @brief Maximum number of crashes that are remembered. */
    static constexpr std::size_t maxReports = 128;

    /*! @brief Set of crashes, by their positions in the order of time. */
    using CrashSet = std::bitset<maxReports>;
    using CrashesBySuspect = std::map<RequestFingerprint, CrashSet>;

    /*! @brief Crashes that a suspect explains. */
    struct Verdict
    {
        RequestFingerprint suspect;
        CrashSet crashes;
        TimePoint endsAt{};
    };

    [[nodiscard]] bool mergeReport(const CrashReport &report, TimePoint now);
    void mergeSuspects(SuspectSet &into, const std::vector<RequestFingerprint> &suspects,
                       const std::vector<RequestFingerprint> &cleared, TimePoint now);
    void clear(const RequestFingerprint &fingerprint);
    [[nodiscard]] bool isCleared(const RequestFingerprint &fingerprint, TimePoint now);
    [[nodiscard]] bool isEvidence(const Crash &crash) const;
    void evictOldest();
    void evaluate();
    void evaluateParts(CrashesBySuspect parts, CrashesBySuspect &requests, const std::vector<TimePoint> &times);
    void evaluateRequests(CrashesBySuspect requests, const std::vector<TimePoint> &times);
    void recordChanges(const std::map<RequestFingerprint, TimePoint> &requestsBefore,
                       const std::map<PartCombination, TimePoint> &partsBefore);
    [[nodiscard]] static std::optional<Verdict> nextVerdict(const CrashesBySuspect &suspects, std::size_t threshold,
                                                            const std::vector<TimePoint> &times);
    static void disregard(CrashesBySuspect &suspects, const CrashSet &crashes);

    GossipTable<CrashKey, Crash> m_crashes;
    RecentSet<RequestFingerprint> m_succeeded;
    std::set<RequestFingerprint> m_released;
    std::map<RequestFingerprint, TimePoint> m_quarantined;
    std::map<PartCombination, TimePoint> m_quarantinedParts;
    QuarantineChanges m_changes;
};

} // namespace bergamottide::serving
