#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/gossiptable.h"
#include "bergamottide/serving/heartbeat.h"
#include "bergamottide/serving/recentset.h"
#include "bergamottide/serving/requestfingerprint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bergamottide::serving {

/*! @brief Requests that entered or left the quarantine. */
struct QuarantineChanges
{
    std::vector<RequestFingerprint> started;
    std::vector<RequestFingerprint> ended;

    [[nodiscard]] bool empty() const noexcept
    {
        return started.empty() && ended.empty();
    }
};

/**
 * @brief Finds requests that crash the endpoints that run them ("queries of death"), and quarantines them.
 *
 * A crash makes all requests that ran on the endpoint suspects. Crash reports spread through the fleet, since each
 * process sees only some of the crashes. A request is quarantined once it is a suspect in three crashes that no other
 * quarantined request explains. A success clears its request: a query of death has none.
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
     * @param requests Requests whose runs broke with it.
     * @param now Current time.
     */
    void recordCrash(const CrashKey &crash, const std::set<RequestFingerprint> &requests, TimePoint now);

    /*! @brief Clears a request: an endpoint has run it successfully. */
    void recordSuccess(const RequestFingerprint &request, TimePoint now);

    /*! @brief Applies the reports of a peer. */
    void merge(const std::vector<CrashReport> &reports, TimePoint now);

    /*! @brief Replaces the requests that are never quarantined, and clears them in the whole fleet. */
    void setReleased(const std::vector<RequestFingerprint> &requests, TimePoint now);

    /*! @brief Removes expired reports. */
    void removeExpired(TimePoint now);

    /*! @brief Returns the quarantined requests, with the time at which each is let through again. */
    [[nodiscard]] const std::map<RequestFingerprint, TimePoint> &quarantined() const noexcept;

    /*! @brief Returns and clears the changes since the previous invocation. */
    [[nodiscard]] QuarantineChanges takeChanges();

    /*! @brief Returns the number of crashes in which a request is a suspect. */
    [[nodiscard]] std::size_t crashCount(const RequestFingerprint &request) const;

    /**
     * @brief Returns the reports that have changed since a version.
     * @param since Version; zero for all.
     * @param now Current time.
     */
    [[nodiscard]] std::vector<CrashReport> reportsSince(std::uint64_t since, TimePoint now) const;

private:
    struct Crash
    {
        TimePoint at{};
        std::set<RequestFingerprint> suspects;
        /*! @brief Former suspects that have been cleared; they cannot become suspects of this crash again. */
        std::set<RequestFingerprint> cleared;
    };

    void mergeReport(const CrashReport &report, TimePoint now);
    void clear(const RequestFingerprint &request);
    [[nodiscard]] bool isCleared(const RequestFingerprint &request, TimePoint now);
    void evictOldest();
    void evaluate();
    [[nodiscard]] std::map<RequestFingerprint, std::set<CrashKey>> repeatedSuspects() const;
    [[nodiscard]] std::vector<TimePoint> crashTimes(const std::set<CrashKey> &crashes) const;

    GossipTable<CrashKey, Crash> m_crashes;
    RecentSet<RequestFingerprint> m_succeeded;
    std::set<RequestFingerprint> m_released;
    std::map<RequestFingerprint, TimePoint> m_quarantined;
    QuarantineChanges m_changes;
};

} // namespace bergamottide::serving
