#pragma once

#include "bergamottide/side/attemptfence.h"
#include "bergamottide/side/requesthome.h"

namespace bergamottide {

/**
 * @brief Receives what entries ask of single runs: start, cancel, query, acknowledge.
 *
 * Messages may come late, twice or out of order. A start that was seen before starts
 * nothing: it is answered with the state of the run. A higher attempt at a repeatable
 * stage fences the lower ones. What is refused stays refused.
 */
class RunReception
{
public:
    /**
     * @brief Takes what it works on.
     * @param context Shared parts of the side.
     * @param runs Runs of the side.
     * @param delivery Delivery of results.
     * @param scheduler Scheduler of the runs.
     * @param home Home of requests that run at most once.
     */
    RunReception(SideContext &context, RunTable &runs, RunDelivery &delivery, RunScheduler &scheduler,
                 RequestHome &home);

    /*! @brief Handles the start of a run. */
    void onStart(const InstanceName &from, const StartRun &order);
    /*! @brief Handles a cancellation. */
    void onCancel(const InstanceName &from, const CancelRun &message);
    /*! @brief Handles a question for the states of runs. */
    void onQuery(const InstanceName &from, const QueryRuns &message);
    /*! @brief Cares for the runs whose time has come, and forgets what has expired. */
    void onTick();

private:
    [[nodiscard]] Reason refusal(const InstanceName &from, const StartRun &order) const;
    [[nodiscard]] TimePoint deadlineOf(const StartRun &order) const;
    void startRepeatable(const InstanceName &from, const StartRun &order);
    void stop(Run &run, Reason reason);
    void care(Run &run);
    [[nodiscard]] bool abandoned(Run &run) const;

    SideContext &m_context;
    RunTable &m_runs;
    RunDelivery &m_delivery;
    RunScheduler &m_scheduler;
    RequestHome &m_home;
    AttemptFence m_fence;
};

} // namespace bergamottide
