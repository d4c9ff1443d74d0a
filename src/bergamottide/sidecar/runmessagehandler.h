#pragma once

#include "bergamottide/sidecar/atmostoncehandler.h"
#include "bergamottide/sidecar/attemptfence.h"

namespace bergamottide {

/**
 * @brief Handles the messages of entries about single runs: start, cancel and query.
 *
 * Messages may be late, duplicated or reordered. A repeated start starts nothing and is
 * answered with the state of the run. At a repeatable stage a higher attempt stops the
 * lower ones. A refused run is never started later.
 */
class RunMessageHandler
{
public:
    /**
     * @brief Creates a handler.
     * @param context Shared state of the sidecar.
     * @param runs Runs of the sidecar.
     * @param delivery Delivers the results.
     * @param scheduler Queues and starts the runs.
     * @param atMostOnce Handles the runs with a serial.
     */
    RunMessageHandler(SidecarContext &context, RunTable &runs, ResultDelivery &delivery, RunScheduler &scheduler,
                      AtMostOnceHandler &atMostOnce);

    /*! @brief Starts a run, or subscribes the sender to an existing run. */
    void onStart(const InstanceName &from, const StartRun &message);
    /*! @brief Cancels a run. */
    void onCancel(const InstanceName &from, const CancelRun &message);
    /*! @brief Answers with the states of runs and subscribes the sender to the existing ones. */
    void onQuery(const InstanceName &from, const QueryRuns &message);
    /*! @brief Handles the runs that are due, and removes expired records from the ledger and the fence. */
    void onTick();

private:
    [[nodiscard]] Reason refusalReason(const InstanceName &from, const StartRun &message) const;
    [[nodiscard]] TimePoint deadlineOf(const StartRun &message) const;
    void startRepeatable(const InstanceName &from, const StartRun &message);
    void stopRun(RunRecord &run, Reason reason);
    void handleDue(RunRecord &run);
    [[nodiscard]] bool isAbandoned(RunRecord &run) const;

    SidecarContext &m_context;
    RunTable &m_runs;
    ResultDelivery &m_delivery;
    RunScheduler &m_scheduler;
    AtMostOnceHandler &m_atMostOnce;
    AttemptFence m_fence;
};

} // namespace bergamottide
