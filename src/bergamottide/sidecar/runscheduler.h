#pragma once

#include "bergamottide/ledger/ledger.h"
#include "bergamottide/scheduling/concurrencylimit.h"
#include "bergamottide/scheduling/fairqueue.h"
#include "bergamottide/scheduling/servicetimes.h"
#include "bergamottide/sidecar/resultdelivery.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Schedules the runs of one endpoint.
 *
 * Runs wait in a fair queue and are started within an adaptive concurrency limit. A run
 * that cannot meet its deadline, given the estimated time of this and the later stages, is
 * refused before it starts, and so is a run evicted from the full queue. An at-most-once
 * run is sealed in the ledger before it is refused, so that no late message can start it.
 */
class RunScheduler
{
public:
    /**
     * @brief Creates a scheduler with an empty queue.
     * @param context Shared state of the sidecar.
     * @param runs Runs of the sidecar.
     * @param ledger Ledger of the sidecar.
     * @param delivery Delivers the results.
     */
    RunScheduler(SidecarContext &context, RunTable &runs, Ledger &ledger, ResultDelivery &delivery);

    /*! @brief Applies the limits and weights of the active document. */
    void configure();

    /**
     * @brief Queues a run, or refuses it.
     * @param run Run of the table in state `Queued`; an at-most-once run is queued in the ledger as well.
     */
    void enqueue(RunRecord &run);

    /*! @brief Starts queued runs up to the concurrency limit; starts none while a pause awaits confirmation. */
    void dispatch();

    /*! @brief Refuses the queued runs that can no longer meet their deadline. */
    void refuseInfeasible();

    /**
     * @brief Ends a run before it starts.
     * @param run Queued run.
     * @param reason Reason of the refusal.
     */
    void refuse(RunRecord &run, Reason reason);

    /**
     * @brief Cancels a repeatable run at the endpoint.
     * @param run Run at the endpoint.
     * @param reason Reason of the cancellation.
     */
    void cancelRunning(RunRecord &run, Reason reason);

    /*! @brief Appends a piece to the result of a run; cancels the run if its result becomes too large. */
    void onPiece(const EndpointResultPiece &event);
    /*! @brief Ends a run according to its outcome at the endpoint. */
    void onFinished(const EndpointRunEnded &event);

    /*! @brief Returns the earliest time at which a queued run can no longer meet its deadline, if any. */
    [[nodiscard]] std::optional<TimePoint> nextInfeasibleAt() const;
    /*! @brief Returns the number of queued runs. */
    [[nodiscard]] std::uint32_t queued() const noexcept;
    /*! @brief Returns the number of runs at the endpoint. */
    [[nodiscard]] std::uint32_t running() const noexcept;
    /*! @brief Sets the fields of a load report about the queue and the endpoint. */
    void fillLoadReport(LoadReport &report) const;

private:
    [[nodiscard]] QueueItem makeQueueItem(const RunRecord &run) const;
    [[nodiscard]] Duration retryDelay(const RunRecord &run) const;
    void startRun(RunRecord &run);
    void endRun(RunRecord &run, const RunOutcome &outcome);
    void recordServiceTime(const RunRecord &run, EndpointResult result, Reason reason);
    void recordStageMetrics(const RunRecord &run);

    SidecarContext &m_context;
    RunTable &m_runs;
    Ledger &m_ledger;
    ResultDelivery &m_delivery;
    FairQueue m_queue;
    ConcurrencyLimit m_limit;
    ServiceTimes m_serviceTimes;
    /*! @brief Service times of runs that started with few others at the endpoint. */
    ServiceTimes m_uncontendedTimes;
    /*! @brief Runs at the endpoint, each with the number of runs there when it started, itself included. */
    std::map<RunId, std::uint32_t> m_running;
    /*! @brief Exponential moving average of the share of failed runs. */
    double m_failureShare{};
};

} // namespace bergamottide
