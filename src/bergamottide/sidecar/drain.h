#pragma once

#include "bergamottide/ledger/ledger.h"
#include "bergamottide/sidecar/runtable.h"
#include "bergamottide/sidecar/sidecarcontext.h"

#include <optional>
#include <string>

namespace bergamottide {

/**
 * @brief Graceful shutdown of a sidecar.
 *
 * A drain starts when the process is asked to stop or when the instance list marks this
 * instance as leaving. While draining, the sidecar opens no ledger record and accepts no
 * repeatable run; at-most-once runs with a serial issued earlier are still accepted for a
 * short grace period. After a stop request the process exits once all runs have ended and
 * their results are acknowledged or expired, at the latest after the maximum deadline plus
 * the result retention. A drain caused by the instance list alone does not end the process
 * and can be canceled.
 */
class Drain
{
public:
    /**
     * @brief Creates an inactive drain.
     * @param context Shared state of the sidecar.
     * @param runs Runs of the sidecar.
     * @param ledger Ledger of the sidecar.
     */
    Drain(SidecarContext &context, RunTable &runs, const Ledger &ledger);

    /**
     * @brief Handles a request to stop the process.
     * @param cause Reason given in the log and in the audit trail.
     */
    void onRequested(const std::string &cause);
    /*! @brief Starts or cancels the drain according to the current instance list. */
    void onViewChanged();
    /*! @brief Emits `DrainComplete` once, as soon as the process may exit. */
    void onTick();

private:
    void updateState(const std::string &cause);
    [[nodiscard]] bool isFinished();

    SidecarContext &m_context;
    RunTable &m_runs;
    const Ledger &m_ledger;
    std::optional<TimePoint> m_requestedAt;
    bool m_leavingInList{};
    bool m_completed{};
};

} // namespace bergamottide
