#include "bergamottide/sidecar/loadreporter.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Sidecars of an availability zone up to which the report period stays at its configured value. */
constexpr Duration::rep sidecarsPerPeriod = 16;

} // namespace

LoadReporter::LoadReporter(SidecarContext &context, const RunScheduler &scheduler)
    : m_context{context}
    , m_scheduler{scheduler}
{
}

void LoadReporter::onReport(const EndpointLoadReport &event)
{
    m_models = event.models;
}

void LoadReporter::reportTo(const InstanceName &peer)
{
    m_context.effects.send(peer, report());
}

void LoadReporter::reportToAll()
{
    const LoadReport message = report();
    for (const InstanceName &peer : m_context.peers.connectedPeers()) {
        m_context.effects.send(peer, message);
    }
    m_reportedRefusal = refusesRuns();
    m_nextReportAt = m_context.now + period();
    m_context.effects.observe(Metric::QueueDepth, {}, message.queued);
    m_context.effects.observe(Metric::RunsInProgress, {}, message.running);
}

void LoadReporter::onTick()
{
    if (m_context.now >= m_nextReportAt || m_reportedRefusal != refusesRuns()) {
        reportToAll();
    }
}

TimePoint LoadReporter::nextReportAt() const noexcept
{
    return m_nextReportAt;
}

bool LoadReporter::refusesRuns() const
{
    return m_context.draining || !m_context.document;
}

LoadReport LoadReporter::report() const
{
    LoadReport message;
    message.incarnation = m_context.identity.incarnation;
    message.draining = refusesRuns();
    message.models = m_models;
    m_scheduler.fillLoadReport(message);
    return message;
}

Duration LoadReporter::period() const
{
    Duration::rep sidecars = 0;
    if (m_context.view) {
        for (const auto &[name, instance] : m_context.view->instances) {
            sidecars += instance.role == Role::Sidecar && instance.zone == m_context.identity.zone ? 1 : 0;
        }
    }
    const Duration base = std::max(m_context.policy.reportPeriod, Duration{1});
    return base * std::max(sidecars, sidecarsPerPeriod) / sidecarsPerPeriod;
}

} // namespace bergamottide
