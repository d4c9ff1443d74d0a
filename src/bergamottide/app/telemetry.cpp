#include "bergamottide/app/telemetry.h"

namespace bergamottide {

Telemetry::Telemetry(const Settings &settings, const Clock &clock)
    : m_log{LogOptions{settings.logFormat, settings.logLevel, settings.instance}, clock}
    , m_trail{settings.instance, clock}
{
}

void Telemetry::log(const LogLine &line)
{
    m_log.write(line);
}

void Telemetry::audit(const AuditRecord &record)
{
    m_trail.record(record);
    m_log.write(LogLine{Severity::Info,
                        Part::Admin,
                        "An audit record was added.",
                        {{"kind", std::string{enumName(record.kind)}},
                         {"subject", record.subject},
                         {"cause", record.cause},
                         {"detail", record.detail}}});
}

void Telemetry::observe(const Observe &observation)
{
    m_registry.observe(observation);
}

std::string Telemetry::metrics() const
{
    return m_registry.text();
}

std::string Telemetry::auditLines(std::uint64_t after) const
{
    return m_trail.linesSince(after);
}

} // namespace bergamottide
