#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"
#include "bergamottide/events/requestfingerprint.h"
#include "bergamottide/stages/stagescheduler.h"
#include "bergamottide/streams/eventsplitter.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamottide::serving {

/*! @brief Forecast lateness up to which a request is admitted if no measured margin counts; covers forecast errors. */
inline constexpr Duration maxAdmittedLateness = std::chrono::milliseconds{300};

/*! @brief Progress of one stage of a request; a stage without pieces is done from the start. */
struct StageProgress
{
    PoolName pool;
    std::uint32_t pieces{};
    /*! @brief Task in progress; empty before the start and after the end of the stage. */
    std::optional<StageTaskId> task;
    /*! @brief Set while the start of the stage is delayed. */
    std::optional<TimePoint> startAt;
    std::uint32_t completedPieces{};
    /*! @brief One for each piece; without a handle until the piece is done. */
    std::vector<StoredResult> results;
    /*! @brief The results have been released. */
    bool isReleased{};

    [[nodiscard]] bool isDone() const noexcept
    {
        return completedPieces == pieces;
    }
};

/*! @brief A request in progress. */
struct Request
{
    std::shared_ptr<const CallerRequest> callerRequest;
    /*! @brief Computed on first use. */
    mutable std::optional<RequestFingerprint> cachedFingerprint;
    /*! @brief Computed on first use. */
    mutable std::optional<std::set<RequestFingerprint>> cachedPartFingerprints;
    /*! @brief Catalog in effect on arrival; used until the request ends. */
    std::shared_ptr<const Catalog> catalog;
    const Route *route{};
    Workspace workspace;
    /*! @brief Combined priority of workspace and route; the lowest is served first. */
    int rank{};
    TimePoint arrivedAt{};
    /*! @brief When the caller stops waiting or the timeout of the route expires, whichever is first. */
    TimePoint deadline{};
    /*! @brief Latest time at which the response, or the first event of a stream, is on time. */
    TimePoint objective{};
    /*! @brief Forecast on arrival of the time between sending the request to an endpoint and the response or first
     * event. */
    Duration expectedRunTime{};
    /*! @brief Time of the response or first event, as forecast on arrival. */
    TimePoint expectedResponseAt{};
    /*! @brief Margin for the error of that forecast that counted on arrival; empty if the fixed allowance did. */
    std::optional<Duration> forecastMargin;
    /*! @brief Delay after which a retry of the rejected request is expected to succeed; empty if unknown. */
    std::optional<Duration> retryAfter;

    std::vector<StageProgress> stages;
    /*! @brief Level of the stages in progress; zero once all stages are done. */
    std::uint32_t level{};
    /*! @brief Number of times that all stages were restarted because an input no longer existed. */
    std::uint32_t stageRestarts{};

    /*! @brief Pool selected from the route's weighted pools. */
    PoolName pool;
    /*! @brief Parts of the prompt; empty for a plain call. */
    engines::PromptChain prompt;
    std::optional<RunNumber> run;
    /*! @brief Set while the run is delayed. */
    std::optional<TimePoint> runAt;
    TimePoint runStartedAt{};
    /*! @brief Time since then in which this process may not have read the response. */
    Duration runUnobserved{};
    /*! @brief Estimated time at which the engine of the current run has fetched all inputs. */
    std::optional<TimePoint> inputsFetchedAt;
    /*! @brief The current run has been detected as stalled. */
    bool isStallDetected{};
    /*! @brief When the response headers of a stream arrived, which counts as its first event. */
    std::optional<TimePoint> firstEventAt;
    /*! @brief Endpoint of the current or last run. */
    InstanceName endpoint;
    /*! @brief Incarnation of that endpoint when the run was sent. */
    std::uint64_t endpointIncarnation{};
    /*! @brief Software version of that endpoint. */
    SoftwareVersion endpointVersion;
    /*! @brief Software version that the stream must continue at; empty as long as any will do. */
    std::optional<SoftwareVersion> streamVersion;
    /*! @brief Number of peers and searches that have yet to tell which version began the stream. */
    std::size_t pendingLookups{};
    /*! @brief The run starts once that version is known. */
    bool awaitsVersion{};
    /*! @brief Endpoints to which the request was sent, in order. */
    std::vector<InstanceName> triedEndpoints;
    /*! @brief Number of failed runs that may have executed the request. */
    std::uint32_t executions{};
    /*! @brief An earlier run may have executed the request; a run in progress does not count. */
    bool mayHaveRun{};

    /*! @brief Response of the current run, as far as received. */
    std::optional<EndpointResponseHead> head;
    std::string body;
    /*! @brief The headers of a stream have been sent to the caller. */
    bool isStreamStarted{};
    EventSplitter eventSplitter;

    /*! @brief Returns the fingerprint; the workspace must be known. */
    [[nodiscard]] const RequestFingerprint &fingerprint() const
    {
        if (!cachedFingerprint) {
            cachedFingerprint = fingerprintOf(workspace.name, *callerRequest);
        }
        return *cachedFingerprint;
    }

    /*! @brief Returns the fingerprints of the shared parts of the prompt; the workspace must be known. */
    [[nodiscard]] const std::set<RequestFingerprint> &partFingerprints() const
    {
        if (!cachedPartFingerprints) {
            cachedPartFingerprints = partFingerprintsOf(workspace.name, *callerRequest);
        }
        return *cachedPartFingerprints;
    }

    /*! @brief Returns the attempt that names the stream: the one that brought its first event. */
    [[nodiscard]] const std::string &streamAttempt() const noexcept
    {
        return callerRequest->resumedAttempt.empty() ? callerRequest->attempt : callerRequest->resumedAttempt;
    }

    /*! @brief Returns whether inputs that another run would need have been released. */
    [[nodiscard]] bool hasReleasedInputs() const noexcept
    {
        for (std::size_t stage = 0; stage < stages.size(); ++stage) {
            if (route->stages[stage].isLeaf && stages[stage].pieces != 0 && stages[stage].isReleased) {
                return true;
            }
        }
        return false;
    }

    /*! @brief Returns by how much the forecast response and its margin miss the objective; zero if they do not. */
    [[nodiscard]] Duration lateness() const noexcept
    {
        return std::max(expectedResponseAt + forecastMargin.value_or(Duration::zero()) - objective, Duration::zero());
    }

    /*! @brief Returns whether no endpoint can have executed the request, which permits the caller a safe retry. */
    [[nodiscard]] bool hasProvablyNotRun() const noexcept
    {
        return !mayHaveRun && !run;
    }
};

} // namespace bergamottide::serving
