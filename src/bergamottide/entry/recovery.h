#pragma once

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/fetches.h"
#include "bergamottide/entry/homeclient.h"
#include "bergamottide/entry/runtracker.h"
#include "bergamottide/entry/stagedriver.h"

#include <cstdint>
#include <vector>

namespace bergamottide {

/**
 * @brief Reconciles runs with sidecars that are silent or disconnected, and after a suspension of this process.
 *
 * Sidecars report the progress of a run at least every half of `progressTimeout`. If
 * nothing is received for `progressTimeout`, the entry queries the sidecar for the state
 * of all its runs, on a new stream if the old one was silent altogether. Queries to a
 * sidecar are limited by truncated exponential backoff.
 */
class Recovery
{
public:
    /*! @brief Creates the component; the references must outlive it. */
    Recovery(EntryContext &context, RunTracker &runs, StageDriver &driver, HomeClient &homeClient, Fetches &fetches);

    /*! @brief Handles a progress timer: acts if nothing was received about the run for `progressTimeout`. */
    void checkProgress(const Timer &timer);
    /*! @brief Records that a message was received from a sidecar. */
    void messageReceived(const InstanceName &from);
    /*! @brief Handles the reply to a query for the states of runs. */
    void handleRunStates(const InstanceName &from, const RunStates &message);
    void handlePeerUp(const InstanceName &peer);
    void handlePeerDown(const InstanceName &peer);

    /*! @brief Handles a suspension of this process: no run is started until a sidecar has answered a ping. */
    void handleResumed();
    /*! @brief Handles the reply to a ping. */
    void handlePong(const InstanceName &from, const Pong &message);
    /*! @brief Reopens the streams to sidecars that have not answered since the last suspension; called periodically. */
    void reopenUnconfirmedStreams();

private:
    [[nodiscard]] std::vector<RequestId> requestsAt(const InstanceName &sidecar);
    void reconcile(const InstanceName &sidecar);
    void queryRuns(const InstanceName &sidecar);
    void confirm(const InstanceName &sidecar);

    EntryContext &m_context;
    RunTracker &m_runs;
    StageDriver &m_driver;
    HomeClient &m_homeClient;
    Fetches &m_fetches;
    /*! @brief Number of suspensions of this process; sequence of the pings sent after the last one. */
    std::uint64_t m_suspensionCount{};
};

} // namespace bergamottide
