#pragma once

#include "bergamottide/entry/answers.h"
#include "bergamottide/entry/entrycontext.h"

#include <optional>

namespace bergamottide {

/**
 * @brief Takes requests through their stages: places, sends, repeats and ends stage runs.
 */
class StageDriver
{
public:
    /*! @brief Creates the part over the shared state. */
    StageDriver(EntryContext &context, Answers &answers);

    /**
     * @brief Starts the present stage of a request; ends the request if nothing can run it.
     *
     * During a pause the request is held; a stage bound to a home that is not connected
     * waits for its stream, until the deadline.
     *
     * @param request Request without runs; may be removed.
     */
    void start(Request &request);

    /**
     * @brief Goes on after the result of a run has arrived whole and verified.
     * @param request Request; may be removed.
     * @param run Run of the request.
     */
    void advance(Request &request, Run &run);

    /**
     * @brief Goes on after a run has ended without a result.
     *
     * A repeatable stage is tried elsewhere while attempts and budget last.
     *
     * @param request Request; may be removed.
     * @param run Run of the request.
     * @param reason Why the run ended.
     * @param retryAfter Time after which another try makes sense; zero for none.
     */
    void runLost(Request &request, Run &run, Reason reason, Duration retryAfter);

    /**
     * @brief Replaces a run whose side is out of reach by one elsewhere, if that is possible.
     * @return False if the run stays: it must not be repeated, or nothing is left to repeat it with.
     */
    bool moveElsewhere(Request &request, Run &run);

    /*! @brief Starts a second run beside a repeatable one that takes too long, if the budget allows. */
    void hedge(Request &request);

    /**
     * @brief Sends the run of a stage bound to its home once more, unchanged.
     *
     * The serial starts at most one run, so that a repeated message is harmless.
     */
    void resend(const Request &request, const Run &run);

    /*! @brief Adds a run that was started by another entry, to wait for its result. */
    void follow(Request &request, const RunId &id);

    /*! @brief Sends the caller what has newly arrived of the last stage's result. */
    void relay(Request &request, const Run &run);

    /*! @brief Estimates the service times of all stages of a request. */
    void estimateCosts(Request &request) const;

    /*! @brief Starts what was held during a pause. */
    void releaseHeld();

private:
    [[nodiscard]] std::optional<Placed> place(const Request &request, bool mayTry);
    [[nodiscard]] PlacementQuery queryFor(const Request &request, bool mayTry) const;
    [[nodiscard]] bool hasRoomForHedge(const Request &request);
    [[nodiscard]] bool dispatch(Request &request, bool mayTry);
    [[nodiscard]] bool mayRepeat(const Request &request, const Run &run) const;
    [[nodiscard]] bool dispatchAgain(Request &request, Reason reason);
    [[nodiscard]] StartRun messageFor(const Request &request, const Run &run) const;
    [[nodiscard]] ServiceKey serviceKey(const Request &request) const;
    void setTimers(const Request &request, const Run &run);
    void addRun(Request &request, const Placed &placed);
    void leaveStagePending(Request &request);
    void remove(Request &request, const Run &run);
    void cancelOthers(Request &request, const RunId &winner);

    EntryContext &m_context;
    Answers &m_answers;
};

} // namespace bergamottide
