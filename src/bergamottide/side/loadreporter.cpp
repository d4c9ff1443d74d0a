#include "bergamottide/side/loadreporter.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/**
 * @brief Sides of an availability zone for each period of the document.
 *
 * Sixteen sides with four reports a second of about a hundred bytes are 6.4 KB a second at
 * an entry, which leaves room below its 10 KB a second; twice as many report half as often.
 */
constexpr Duration::rep sidesPerPeriod = 16;

} // namespace

LoadReporter::LoadReporter(SideContext &context, const RunScheduler &scheduler)
    : m_context{context}
    , m_scheduler{scheduler}
{
}

void LoadReporter::onReport(const EndpointReport &event)
{
    m_models = event.models;
}

void LoadReporter::reportTo(const InstanceName &peer)
{
    m_context.out.send(peer, report());
}

void LoadReporter::reportToAll()
{
    const LoadReport message = report();
    for (const InstanceName &peer : m_context.peers.all()) {
        m_context.out.send(peer, message);
    }
    m_reportedDraining = m_context.draining;
    m_next = m_context.now + period();
    m_context.out.observe(Metric::QueueDepth, {}, message.queued);
    m_context.out.observe(Metric::RunsInProgress, {}, message.running);
}

void LoadReporter::onTick()
{
    if (m_context.now >= m_next || m_reportedDraining != m_context.draining) {
        reportToAll();
    }
}

TimePoint LoadReporter::next() const noexcept
{
    return m_next;
}

LoadReport LoadReporter::report() const
{
    LoadReport message;
    message.incarnation = m_context.identity.incarnation;
    message.draining = m_context.draining;
    message.models = m_models;
    m_scheduler.describe(message);
    return message;
}

Duration LoadReporter::period() const
{
    Duration::rep sides = 0;
    if (m_context.view) {
        for (const auto &[name, instance] : m_context.view->instances) {
            sides += instance.role == Role::Side && instance.zone == m_context.identity.zone ? 1 : 0;
        }
    }
    const Duration base = std::max(m_context.policy.reportPeriod, Duration{1});
    return base * std::max(sides, sidesPerPeriod) / sidesPerPeriod;
}

} // namespace bergamottide
