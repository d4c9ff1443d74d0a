#include "bergamottide/side/drain.h"

namespace bergamottide {

Drain::Drain(SideContext &context, RunTable &runs, const Ledger &ledger)
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
    update(cause);
}

void Drain::onView()
{
    const auto found = m_context.view->instances.find(m_context.identity.instance);
    m_listedLeaving = found != m_context.view->instances.end() && found->second.leaving;
    update("instance list");
}

void Drain::onTick()
{
    if (!m_requestedAt || m_completed || !finished()) {
        return;
    }
    m_completed = true;
    m_context.out.log(Severity::Info, Part::Side, "The drain is over.");
    m_context.out.add(AuditRecord{AuditKind::DrainFinished, m_context.identity.instance.text(), "nothing left", ""});
    m_context.out.add(DrainComplete{});
}

void Drain::update(const std::string &cause)
{
    const bool draining = m_requestedAt.has_value() || m_listedLeaving;
    if (draining == m_context.draining) {
        return;
    }
    m_context.draining = draining;
    // A sign heard right after a pause may have been given at any moment of it.
    m_context.drainingSince = m_context.peers.paused() ? m_context.pausedSince : m_context.now;
    const char *text = draining ? "The drain has started." : "The drain was called off.";
    m_context.out.log(Severity::Info, Part::Side, text, {{"cause", cause}});
    const AuditKind kind = draining ? AuditKind::DrainStarted : AuditKind::Return;
    m_context.out.add(AuditRecord{kind, m_context.identity.instance.text(), cause, ""});
}

bool Drain::finished()
{
    const Duration longest = m_context.policy.maxDeadline + m_context.policy.resultRetention;
    if (*m_requestedAt + longest < m_context.now) {
        m_context.out.log(Severity::Warning, Part::Side, "The drain has reached its limit with runs left.",
                          {{"runs", std::to_string(m_runs.size())}});
        return true;
    }
    if (m_ledger.unfinished() > 0) {
        return false;
    }
    bool clear = true;
    m_runs.forEach([&clear](const Run &run) { clear = clear && !run.inProgress() && run.acknowledged(); });
    return clear;
}

} // namespace bergamottide
