#include "bergamottide/sidecar/drain.h"

namespace bergamottide {

Drain::Drain(SidecarContext &context, RunTable &runs, const Ledger &ledger)
    : m_context{context}
    , m_runs{runs}
    , m_ledger{ledger}
{
}

void Drain::onRequested(const std::string &cause)
{
    if (!m_requestedAt) {
        m_requestedAt = m_context.now;
    }
    updateState(cause);
}

void Drain::onViewChanged()
{
    const auto found = m_context.view->instances.find(m_context.identity.instance);
    m_leavingInList = found != m_context.view->instances.end() && found->second.leaving;
    updateState("instance list");
}

void Drain::onTick()
{
    if (!m_requestedAt || m_completed || !isFinished()) {
        return;
    }
    m_completed = true;
    m_context.effects.log(Severity::Info, Part::Sidecar, "Drain complete.");
    m_context.effects.add(
        AuditRecord{AuditKind::DrainFinished, m_context.identity.instance.text(), "nothing left", ""});
    m_context.effects.add(DrainComplete{});
}

void Drain::updateState(const std::string &cause)
{
    const bool draining = m_requestedAt.has_value() || m_leavingInList;
    if (draining == m_context.draining) {
        return;
    }
    m_context.draining = draining;
    // After a pause the drain may have been signalled at any time since the pause began.
    m_context.drainingSince = m_context.peers.awaitsConfirmation() ? m_context.pausedSince : m_context.now;
    const char *text = draining ? "Drain started." : "Drain canceled.";
    m_context.effects.log(Severity::Info, Part::Sidecar, text, {{"cause", cause}});
    const AuditKind kind = draining ? AuditKind::DrainStarted : AuditKind::Return;
    m_context.effects.add(AuditRecord{kind, m_context.identity.instance.text(), cause, ""});
}

bool Drain::isFinished()
{
    const Duration maxDuration = m_context.policy.maxDeadline + m_context.policy.resultRetention;
    if (*m_requestedAt + maxDuration < m_context.now) {
        m_context.effects.log(Severity::Warning, Part::Sidecar, "Drain timed out; unfinished runs are dropped.",
                              {{"runs", std::to_string(m_runs.size())}});
        return true;
    }
    if (m_ledger.unfinishedCount() > 0) {
        return false;
    }
    bool isIdle = true;
    m_runs.forEach([&isIdle](const RunRecord &run) { isIdle = isIdle && !run.isInProgress() && run.isAcknowledged(); });
    return isIdle;
}

} // namespace bergamottide
