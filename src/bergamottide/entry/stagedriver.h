#pragma once

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/requestfinisher.h"

#include <optional>

namespace bergamottide {

/**
 * @brief Executes the stages of requests: places, dispatches, retries and hedges runs.
 */
class StageDriver
{
public:
    /*! @brief Creates the component; the references must outlive it. */
    StageDriver(EntryContext &context, RequestFinisher &finisher);

    /**
     * @brief Starts the current stage of a request; ends the request if no endpoint is available.
     *
     * After a suspension of the process the start is deferred. A stage bound to a
     * disconnected home waits for its stream, until the deadline.
     *
     * @param request Request without runs; may be removed.
     */
    void start(Request &request);

    /**
     * @brief Continues with the next stage after a verified result, or completes the request.
     * @param request Request; may be removed.
     * @param run Run of the request.
     */
    void advance(Request &request, StageRun &run);

    /**
     * @brief Handles a run that has ended without a result.
     *
     * A repeatable stage is retried at another sidecar within `maxAttempts` and the retry budget.
     *
     * @param request Request; may be removed.
     * @param run Run of the request.
     * @param reason Reason for the end of the run.
     * @param retryAfter Time after which the caller may retry; zero if retrying is pointless.
     */
    void runLost(Request &request, StageRun &run, Reason reason, Duration retryAfter);

    /**
     * @brief Replaces a run at an unreachable sidecar by a run at another one.
     * @return False if the run remains: it is not repeatable, or budget or endpoints are exhausted.
     */
    bool moveElsewhere(Request &request, StageRun &run);

    /*! @brief Starts a second run in parallel to a slow, repeatable one, within the hedge budget. */
    void hedge(Request &request);

    /**
     * @brief Repeats the start message of a run that is bound to its home.
     *
     * Safe, since a serial starts at most one run.
     */
    void resend(const Request &request, const StageRun &run);

    /*! @brief Adds a run that another entry has started, to receive its result. */
    void follow(Request &request, const RunId &id);

    /*! @brief Sends the caller the new bytes of the last stage's result, if the caller streams. */
    void relay(Request &request, const StageRun &run);

    /*! @brief Estimates the service times of all stages of a request. */
    void estimateCosts(Request &request) const;

    /*! @brief Starts the stages that were deferred after a suspension. */
    void startDeferred();

private:
    [[nodiscard]] std::optional<PlacementResult> place(const Request &request, bool allowsTrial);
    [[nodiscard]] PlacementQuery queryFor(const Request &request, bool allowsTrial) const;
    [[nodiscard]] bool hasCapacityForHedge(const Request &request);
    [[nodiscard]] bool dispatch(Request &request, bool allowsTrial);
    [[nodiscard]] bool mayRepeat(const Request &request, const StageRun &run) const;
    [[nodiscard]] bool dispatchAgain(Request &request, Reason reason);
    [[nodiscard]] StartRun messageFor(const Request &request, const StageRun &run) const;
    [[nodiscard]] ServiceTimeKey serviceKey(const Request &request) const;
    void setTimers(const Request &request, const StageRun &run);
    void addRun(Request &request, const PlacementResult &placed);
    void removePendingStage(Request &request);
    void removeRun(Request &request, const StageRun &run);
    void cancelOthers(Request &request, const RunId &winner);

    EntryContext &m_context;
    RequestFinisher &m_finisher;
};

} // namespace bergamottide
