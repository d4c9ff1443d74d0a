#include "bergamottide/app/telemetry.h"

#include <iostream>

namespace bergamottide {

Telemetry::Telemetry(const Settings &settings)
    : m_level{settings.logLevel}
{
}

void Telemetry::log(const LogLine &line)
{
    if (line.severity < m_level) {
        return;
    }
    std::cerr << enumName(line.severity) << " " << enumName(line.part) << ": " << line.text;
    for (const auto &[name, value] : line.fields) {
        std::cerr << " " << name << "=" << value;
    }
    std::cerr << "\n";
}

void Telemetry::audit(const AuditRecord &record)
{
    std::cerr << "audit " << enumName(record.kind) << ": " << record.subject << " " << record.cause << " "
              << record.detail << "\n";
}

void Telemetry::observe(const Observe &)
{
}

std::string Telemetry::metrics() const
{
    return {};
}

std::string Telemetry::auditTrail() const
{
    return R"({"records":[]})";
}

} // namespace bergamottide
