#include "bergamottide/ledger/ledger.h"

#include <algorithm>

namespace bergamottide {

LedgerOpenResult Ledger::open(const RequestId &request, Duration remaining, bool keyed, const LedgerLimits &limits,
                              TimePoint now)
{
    if (const auto known = m_serialOf.find(request); known != m_serialOf.end()) {
        return {Reason::None, Duration{}, m_records.at(known->second)};
    }
    if (remaining <= Duration{}) {
        return {Reason::InvalidDeadline, Duration{}, {}};
    }
    if (m_records.size() >= limits.maxRecords) {
        const Duration untilNext = m_expiries.empty() ? limits.retention : m_expiries.begin()->first - now;
        return {Reason::LedgerFull, std::clamp(untilNext, Duration{1}, std::max(limits.retention, Duration{1})), {}};
    }
    LedgerRecord record;
    record.request = request;
    record.serial = Serial{++m_lastSerial};
    record.latestStart = now + remaining;
    record.retainUntil = record.latestStart + limits.retention;
    if (keyed) {
        record.retainUntil = std::max(record.retainUntil, now + limits.keyRetention);
    }
    m_serialOf.emplace(request, record.serial);
    m_expiries.emplace(expiryOf(record), record.serial);
    m_records.emplace(record.serial, record);
    return {Reason::None, Duration{}, record};
}

Reason Ledger::claim(Serial serial, const RunId &run, TimePoint now)
{
    LedgerRecord *record = findRecord(serial);
    if (record == nullptr || record->request != run.request) {
        return Reason::UnknownTicket;
    }
    if (record->state == LedgerState::Sealed) {
        return Reason::Sealed;
    }
    if (record->state != LedgerState::Opened) {
        return Reason::DuplicateRequest;
    }
    if (record->latestStart < now) {
        update(*record, [](LedgerRecord &changed) { changed.state = LedgerState::Sealed; });
        return Reason::DeadlineExceeded;
    }
    update(*record, [&run](LedgerRecord &changed) {
        changed.state = LedgerState::Queued;
        changed.run = run;
    });
    return Reason::None;
}

void Ledger::markRunning(Serial serial)
{
    LedgerRecord *record = findRecord(serial);
    if (record != nullptr && record->state == LedgerState::Queued) {
        update(*record, [](LedgerRecord &changed) { changed.state = LedgerState::Running; });
    }
}

void Ledger::markFinished(Serial serial, TimePoint retainUntil)
{
    LedgerRecord *record = findRecord(serial);
    if (record == nullptr || record->state != LedgerState::Running) {
        return;
    }
    update(*record, [retainUntil](LedgerRecord &changed) {
        changed.state = LedgerState::Finished;
        changed.retainUntil = std::max(changed.retainUntil, retainUntil);
    });
}

LedgerState Ledger::seal(Serial serial, TimePoint retainUntil)
{
    LedgerRecord *record = findRecord(serial);
    if (record == nullptr) {
        return LedgerState::Absent;
    }
    if (record->state == LedgerState::Opened || record->state == LedgerState::Queued) {
        update(*record, [retainUntil](LedgerRecord &changed) {
            changed.state = LedgerState::Sealed;
            changed.retainUntil = std::max(changed.retainUntil, retainUntil);
        });
    }
    return record->state;
}

void Ledger::markRefused(Serial serial, TimePoint retainUntil)
{
    LedgerRecord *record = findRecord(serial);
    if (record == nullptr || record->state == LedgerState::Finished) {
        return;
    }
    update(*record, [retainUntil](LedgerRecord &changed) {
        changed.state = LedgerState::Sealed;
        changed.retainUntil = std::max(changed.retainUntil, retainUntil);
    });
}

bool Ledger::contains(const RequestId &request) const
{
    return m_serialOf.contains(request);
}

bool Ledger::wasIssued(Serial serial) const noexcept
{
    return serial != noSerial && static_cast<std::uint64_t>(serial) <= m_lastSerial;
}

const LedgerRecord *Ledger::find(Serial serial) const
{
    const auto found = m_records.find(serial);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<Serial> Ledger::expire(TimePoint now)
{
    std::vector<Serial> sealed;
    while (!m_expiries.empty() && m_expiries.begin()->first < now) {
        const Serial serial = m_expiries.begin()->second;
        LedgerRecord &record = m_records.at(serial);
        if (record.state == LedgerState::Opened) {
            update(record, [](LedgerRecord &changed) { changed.state = LedgerState::Sealed; });
            sealed.push_back(serial);
            continue;
        }
        erase(serial);
    }
    return sealed;
}

std::optional<TimePoint> Ledger::nextExpiry() const
{
    if (m_expiries.empty()) {
        return std::nullopt;
    }
    return m_expiries.begin()->first;
}

std::size_t Ledger::size() const noexcept
{
    return m_records.size();
}

std::size_t Ledger::unfinishedCount() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [](const auto &entry) {
        return entry.second.state != LedgerState::Finished && entry.second.state != LedgerState::Sealed;
    }));
}

TimePoint Ledger::expiryOf(const LedgerRecord &record)
{
    switch (record.state) {
    case LedgerState::Opened:
        return record.latestStart;
    case LedgerState::Queued:
    case LedgerState::Running:
        // Records in progress never expire.
        return TimePoint::max();
    default:
        return record.retainUntil;
    }
}

LedgerRecord *Ledger::findRecord(Serial serial)
{
    const auto found = m_records.find(serial);
    return found == m_records.end() ? nullptr : &found->second;
}

template <typename Change>
void Ledger::update(LedgerRecord &record, Change change)
{
    m_expiries.erase({expiryOf(record), record.serial});
    change(record);
    m_expiries.emplace(expiryOf(record), record.serial);
}

void Ledger::erase(Serial serial)
{
    const LedgerRecord &record = m_records.at(serial);
    m_expiries.erase({expiryOf(record), serial});
    m_serialOf.erase(record.request);
    m_records.erase(serial);
}

} // namespace bergamottide
