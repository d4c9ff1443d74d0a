#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"
#include "bergamottide/load/loadtable.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamottide::serving {

/*! @brief Outcome of a run or call, as far as it tells of the health of its endpoint. */
enum class EndpointOutcome : std::uint8_t
{
    /*! @brief The endpoint answered correctly. */
    Succeeded,
    /*! @brief The endpoint refused the work since it is full or draining. */
    Rejected,
    /*! @brief The endpoint answered with an error of its own, or the connection broke. */
    Failed,
    /*! @brief No connection could be established. */
    ConnectFailed
};

/*! @brief An endpoint with its load and health as seen by this process. */
struct Endpoint
{
    EndpointRecord record;
    /*! @brief Whether the platform no longer lists it; kept until its work in progress has ended. */
    bool isUnlisted{};
    /*! @brief It announced in a response that it is about to stop; holds until it restarts. */
    bool hasAnnouncedDrain{};
    /*! @brief Runs and stage calls of this process in progress there. */
    std::uint32_t inFlight{};
    /*! @brief Load that it reported last, and when. */
    EndpointLoad load;
    TimePoint loadUpdatedAt{};
    /*! @brief Time of its latest response to any run or call. */
    TimePoint lastResponseAt{};
    /*! @brief Share of failed work, as a moving average from 0 to 1. */
    double failureRate{};
    /*! @brief Samples behind the failure rate, counted up to the number needed for an ejection. */
    std::uint32_t sampleCount{};
    /*! @brief Not used before this time, unless all endpoints of the pool are ejected. */
    TimePoint ejectedUntil{};
    /*! @brief Number of ejections since its last success. */
    std::uint32_t consecutiveEjections{};
    /*! @brief Ratio of measured to expected duration of stage calls, as a moving average. */
    double slowness{1.0};
    TimePoint slownessUpdatedAt{};
    /*! @brief When it last reported that only this process uses it; the epoch if it has reported other work since. */
    TimePoint exclusiveAt{};
    /*! @brief This process sends it no new work before this time. */
    TimePoint pausedUntil{};
    /*! @brief End of the pause that it asked for, during which it wants no requests at all; not after `pausedUntil`. */
    TimePoint requestedPauseEndsAt{};
    /*! @brief When its warm-up ends, as reported by the platform or the endpoint. */
    TimePoint warmupEndsAt{};
    /*! @brief Latest time of a possible restart: its zone was restored, or it could not be reached; the epoch if there
     * is none. */
    TimePoint possibleRestartAt{};
    /*! @brief Requests per second that it accepts from all processes together; empty without a limit. */
    std::optional<double> requestLimit;
    /*! @brief When requests were sent to it, within the longest window of a `RateBound`, oldest first. */
    std::deque<TimePoint> recentSendTimes;
    /*! @brief Start of the current series of requests, without a pause as long as that window. */
    TimePoint sendingSince{};
    /*! @brief Memory in use or reserved for results that this process requested, in bytes. */
    std::uint64_t resultBytes{};
    /*! @brief Memory of results that other schedulers requested, in bytes. */
    std::uint64_t otherSchedulersBytes{};
    /*! @brief Headers of its responses that could not be read; each is logged once. */
    std::set<std::string> malformedHeaders;

    /*! @brief Returns the result memory in use or reserved, in bytes. */
    [[nodiscard]] std::uint64_t usedResultBytes() const noexcept
    {
        return resultBytes + otherSchedulersBytes;
    }

    /*! @brief Tells whether new work may be sent to it; ejections are not considered. */
    [[nodiscard]] bool acceptsWork() const noexcept
    {
        return !isUnlisted && !hasAnnouncedDrain && record.acceptsWork();
    }
};

/**
 * @brief Endpoints of all pools with their load, and outlier ejection.
 *
 * An endpoint whose failure rate exceeds that of the rest of its pool is ejected for a period that doubles with each
 * ejection up to a limit. As the pool is the reference, a failure of all its endpoints ejects none of them.
 */
class EndpointRegistry
{
public:
    /**
     * @brief Replaces the list of endpoints.
     * @param list All endpoints that the platform lists.
     * @param now Current time.
     * @param effects Receives a log line for each change.
     */
    void update(const EndpointList &list, TimePoint now, Effects &effects);

    /*! @brief Returns an endpoint, or null if it is unknown. */
    [[nodiscard]] Endpoint *find(const InstanceName &instance);
    [[nodiscard]] const Endpoint *find(const InstanceName &instance) const;

    /*! @brief Tells whether an endpoint may serve a request. */
    using Filter = std::function<bool(const Endpoint &endpoint)>;

    /**
     * @brief Returns the endpoints of a pool that accept work and are not ejected, or the ejected ones if all are.
     * @param pool Pool.
     * @param now Current time.
     * @param filter Selects the endpoints to consider; all if empty.
     */
    [[nodiscard]] std::vector<Endpoint *> usable(const PoolName &pool, TimePoint now, const Filter &filter = {}) const;

    /*!
     * @brief Tells whether an endpoint has not restarted since it had an incarnation.
     *
     * The end of work that was sent to the former one says nothing of the new one.
     */
    [[nodiscard]] bool isCurrent(const InstanceName &instance, std::uint64_t incarnation) const;

    /*! @brief Tells whether any endpoint of a pool accepts work. */
    [[nodiscard]] bool canServe(const PoolName &pool) const;

    /**
     * @brief Records the start of a run or call.
     * @param instance Endpoint.
     */
    void recordStart(const InstanceName &instance);

    /**
     * @brief Records the end of a run or call, and ejects the endpoint if it fails too often.
     * @param instance Endpoint.
     * @param outcome Outcome; nothing if the work was cancelled.
     * @param now Current time.
     * @param effects Receives a log line for an ejection.
     */
    void recordEnd(const InstanceName &instance, std::optional<EndpointOutcome> outcome, TimePoint now,
                   Effects &effects);

    /*! @brief Ejects an endpoint that has crashed: the platform lists it for some seconds more. */
    void recordCrash(const InstanceName &instance, TimePoint now, Effects &effects);

    /*! @brief Records that an endpoint has begun to respond. */
    void recordAnswer(const InstanceName &instance, TimePoint now);

    /**
     * @brief Counts a timeout as a failure; an endpoint that has not answered since `since` may be ejected at once.
     * @param instance Endpoint.
     * @param since When the work that timed out was sent.
     * @param now Current time.
     * @param effects Receives a log line for an ejection.
     */
    void recordTimeout(const InstanceName &instance, TimePoint since, TimePoint now, Effects &effects);

    /*! @brief Records the remaining warm-up time that an endpoint reported. */
    void recordWarmup(const InstanceName &instance, Duration remaining, TimePoint now);

    /*! @brief Records that an endpoint announced in a response that it is about to stop. */
    void recordDrain(const InstanceName &instance, Effects &effects);

    /**
     * @brief Sets the limit of an endpoint.
     * @param instance Endpoint.
     * @param requestsPerSecond Requests that it accepts from all processes together; empty for no limit.
     * @param effects Receives a log line for a change.
     */
    void setLimit(const InstanceName &instance, std::optional<double> requestsPerSecond, Effects &effects);

    /*! @brief Sends an endpoint no new work before a time; an earlier time than the one known changes nothing. */
    void pause(const InstanceName &instance, TimePoint until);

    /**
     * @brief Pauses an endpoint that wants no requests from this process for a time.
     * @param instance Endpoint.
     * @param pause Time that it asks for.
     * @param now Current time.
     * @param effects Receives a log line.
     */
    void recordPause(const InstanceName &instance, Duration pause, TimePoint now, Effects &effects);

    /*! @brief Counts a header by which an endpoint tells of itself and that cannot be read; logs the first one of that
     * name since the start of the endpoint. */
    static void recordMalformedHeader(Endpoint &endpoint, const std::string &header, Effects &effects);

    /*! @brief Tells whether a listed endpoint of a pool has reported its pace. */
    [[nodiscard]] bool reportsPace(const PoolName &pool) const;

    /*! @brief Records the load that an endpoint reported. */
    void recordLoad(const InstanceName &instance, const EndpointLoad &load, TimePoint now);

    /*! @brief Returns the expected load and pace of the endpoints. */
    [[nodiscard]] const load::LoadTable &loads() const noexcept;

    /*! @brief Returns the records of the listed endpoints. */
    [[nodiscard]] std::vector<EndpointRecord> records() const;

    /*! @brief Returns the number of endpoints, including unlisted ones with work in progress. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    static void resetState(Endpoint &endpoint, TimePoint now, Effects &effects);
    static void applyRecord(Endpoint &endpoint, const EndpointRecord &record, TimePoint now, Effects &effects);
    void ejectIfFailing(Endpoint &endpoint, TimePoint now, Effects &effects);
    void removeIfIdle(const InstanceName &instance);
    void indexPools();
    [[nodiscard]] const std::vector<Endpoint *> &endpointsOf(const PoolName &pool) const;
    [[nodiscard]] double meanFailureRateOfOthers(const Endpoint &endpoint) const;

    std::map<InstanceName, Endpoint> m_endpoints;
    /*! @brief Index of the endpoints by pool. */
    std::map<PoolName, std::vector<Endpoint *>> m_pools;
    load::LoadTable m_loads;
};

} // namespace bergamottide::serving
