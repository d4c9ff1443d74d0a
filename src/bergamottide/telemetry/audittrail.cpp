#include "bergamottide/telemetry/audittrail.h"

#include "bergamottide/telemetry/logsink.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamottide {

namespace {

void shorten(std::string &text)
{
    if (text.size() > AuditTrail::longestText) {
        text.resize(AuditTrail::longestText);
        text += "...";
    }
}

} // namespace

std::string auditLine(const AuditEntry &entry)
{
    nlohmann::ordered_json json;
    json["time"] = wallTimeText(entry.time);
    json["instance"] = entry.instance.text();
    json["sequence"] = entry.sequence;
    json["kind"] = enumName(entry.record.kind);
    json["subject"] = entry.record.subject;
    json["cause"] = entry.record.cause;
    json["detail"] = entry.record.detail;
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

AuditTrail::AuditTrail(InstanceName instance, const Clock &clock, WriteLine writeLine)
    : m_instance{std::move(instance)}
    , m_clock{clock}
    , m_writeLine{std::move(writeLine)}
{
}

void AuditTrail::record(const AuditRecord &record)
{
    AuditEntry &entry = m_entries.emplace_back(AuditEntry{++m_sequence, m_clock.wallNow(), m_instance, record});
    shorten(entry.record.subject);
    shorten(entry.record.cause);
    shorten(entry.record.detail);
    if (m_writeLine) {
        m_writeLine(auditLine(entry));
    }
    if (m_entries.size() > capacity) {
        m_entries.pop_front();
    }
}

std::vector<AuditEntry> AuditTrail::since(std::uint64_t sequence) const
{
    std::vector<AuditEntry> found;
    for (const AuditEntry &entry : m_entries) {
        if (entry.sequence > sequence) {
            found.push_back(entry);
        }
    }
    return found;
}

std::string AuditTrail::linesSince(std::uint64_t sequence) const
{
    std::string lines;
    for (const AuditEntry &entry : since(sequence)) {
        lines += auditLine(entry) + '\n';
    }
    return lines;
}

} // namespace bergamottide
