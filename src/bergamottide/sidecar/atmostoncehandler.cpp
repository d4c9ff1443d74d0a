#include "bergamottide/sidecar/atmostoncehandler.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Time after which a disconnected driver counts as lost; a reconnect takes up to one second. */
constexpr Duration driverGracePeriod = std::chrono::seconds{3};

} // namespace

AtMostOnceHandler::AtMostOnceHandler(SidecarContext &context, RunTable &runs, Ledger &ledger, ResultDelivery &delivery,
                                     RunScheduler &scheduler)
    : m_context{context}
    , m_runs{runs}
    , m_ledger{ledger}
    , m_delivery{delivery}
    , m_scheduler{scheduler}
{
}

void AtMostOnceHandler::onViewChanged()
{
    m_keyOwnership.update(*m_context.view, m_context.identity.pool, m_context.now, keyRetention());
}

void AtMostOnceHandler::onOpen(const InstanceName &from, const OpenRequest &message)
{
    const Policy &policy = m_context.policy;
    OpenRefused refused{message.request, Reason::None, policy.reportPeriod};
    if (!m_context.document) {
        refused.reason = Reason::StaleView;
    } else if (!m_context.peers.isFresh(from)) {
        refused.reason = Reason::Paused;
    } else if (m_context.draining && !m_ledger.contains(message.request)) {
        refused.reason = Reason::Draining;
    } else if (m_delivery.isMemoryLow() && !m_ledger.contains(message.request)) {
        refused.reason = Reason::LedgerFull;
    } else if (message.hasIdempotencyKey && !m_ledger.contains(message.request)) {
        refused = checkKeyOwnership(message).value_or(refused);
    }
    if (refused.reason == Reason::None) {
        const Duration remaining = std::min(message.remaining, policy.maxDeadline);
        const LedgerOpenResult opening =
            m_ledger.open(message.request, remaining, message.hasIdempotencyKey, limits(), m_context.now);
        if (opening.reason == Reason::None) {
            m_drivers[opening.record.serial] = Driver{from, std::nullopt};
            m_context.effects.send(from,
                                   RequestOpened{message.request, m_context.identity.incarnation, opening.record.serial,
                                                 opening.record.state});
            return;
        }
        refused.reason = opening.reason;
        refused.retryAfter = std::max(opening.retryAfter, policy.reportPeriod);
    }
    m_context.effects.observe(Metric::RefusalsTotal, {std::string{enumName(refused.reason)}});
    m_context.effects.send(from, refused);
}

void AtMostOnceHandler::onAttach(const InstanceName &from, const AttachRequest &message)
{
    const bool isCurrentIncarnation = message.incarnation == m_context.identity.incarnation;
    const LedgerRecord *record = isCurrentIncarnation ? m_ledger.find(message.serial) : nullptr;
    sendRequestState(from, message.request, isCurrentIncarnation ? message.serial : noSerial);
    if (record == nullptr || record->request != message.request) {
        return;
    }
    if (record->state == LedgerState::Opened) {
        auto &waiting = m_waitingPeers[message.serial];
        if (std::find(waiting.begin(), waiting.end(), from) == waiting.end()) {
            waiting.push_back(from);
        }
        return;
    }
    if (RunRecord *run = m_runs.find(record->run)) {
        m_delivery.subscribe(*run, from, message.offset);
        return;
    }
    if (record->state == LedgerState::Finished) {
        // The run has ended, but its result is no longer stored.
        m_context.effects.send(from, RunFinished{record->run, RunState::Unknown, Reason::UnknownTicket});
    }
}

void AtMostOnceHandler::onSeal(const InstanceName &from, const SealRequest &message)
{
    const bool isCurrentIncarnation = message.incarnation == m_context.identity.incarnation;
    const LedgerRecord *record = isCurrentIncarnation ? m_ledger.find(message.serial) : nullptr;
    if (record != nullptr && record->request == message.request) {
        sealRecord(message.serial, Reason::Sealed);
    }
    sendRequestState(from, message.request, isCurrentIncarnation ? message.serial : noSerial);
}

void AtMostOnceHandler::onStart(const InstanceName &from, const StartRun &message, Reason refusalReason)
{
    if (message.incarnation != m_context.identity.incarnation) {
        m_context.effects.send(from, RunFinished{message.run, RunState::NotStarted, Reason::WrongIncarnation});
        return;
    }
    const Reason claim = m_ledger.claim(message.serial, message.run, m_context.now);
    if (claim == Reason::UnknownTicket) {
        // A serial whose record was removed may have run; one that was never issued has not.
        const RunState state = m_ledger.wasIssued(message.serial) ? RunState::Unknown : RunState::NotStarted;
        m_context.effects.send(from, RunFinished{message.run, state, Reason::UnknownTicket});
        return;
    }
    if (claim == Reason::DuplicateRequest) {
        attachToStartedRun(from, message);
        return;
    }
    if (claim != Reason::None) {
        sendRequestState(from, message.run.request, message.serial);
        m_context.effects.send(from, RunFinished{message.run, RunState::NotStarted, claim});
        return;
    }
    RunRecord run;
    run.spec = message;
    run.arrived = m_context.now;
    run.deadline = m_context.now + std::min(message.remaining, m_context.policy.maxDeadline);
    run.due = m_context.now + m_context.policy.progressTimeout / 2;
    RunRecord &added = m_runs.insert(std::move(run));
    m_delivery.addHeldBytes(added);
    added.subscribers.push_back({from});
    if (refusalReason != Reason::None) {
        m_scheduler.refuse(added, refusalReason);
    } else {
        m_scheduler.enqueue(added);
    }
    notifyWaitingPeers(message.serial);
}

void AtMostOnceHandler::onCancel(const InstanceName &from, const CancelRun &message)
{
    const LedgerRecord *record = m_ledger.find(message.serial);
    const bool open = record != nullptr && record->request == message.run.request
        && (record->state == LedgerState::Opened || record->state == LedgerState::Sealed);
    if (!open) {
        sendRequestState(from, message.run.request, message.serial);
        return;
    }
    sealRecord(message.serial, Reason::Canceled);
    m_context.effects.send(from, RunFinished{message.run, RunState::NotStarted, Reason::Canceled});
}

void AtMostOnceHandler::expire()
{
    for (const Serial serial : m_ledger.expire(m_context.now)) {
        notifyWaitingPeers(serial);
    }
    std::erase_if(m_drivers, [this](const auto &entry) {
        const LedgerRecord *record = m_ledger.find(entry.first);
        return record == nullptr || record->state != LedgerState::Opened;
    });
    for (auto &[serial, driver] : m_drivers) {
        if (m_waitingPeers.contains(serial) && isDriverLost(driver)) {
            sealRecord(serial, Reason::Sealed);
        }
    }
}

bool AtMostOnceHandler::isDriverLost(Driver &driver) const
{
    if (m_context.peers.isConnected(driver.peer)) {
        driver.disconnectedSince.reset();
        return false;
    }
    if (!driver.disconnectedSince) {
        driver.disconnectedSince = m_context.now;
    }
    return *driver.disconnectedSince + driverGracePeriod < m_context.now;
}

LedgerLimits AtMostOnceHandler::limits() const
{
    return {m_context.policy.ledgerLimit, m_context.policy.resultRetention, keyRetention()};
}

Duration AtMostOnceHandler::keyRetention() const
{
    Duration longest{};
    if (m_context.document) {
        for (const auto &[name, kind] : m_context.document->kinds) {
            longest = std::max(longest, kind.deadline);
        }
    }
    if (longest == Duration{}) {
        longest = Kind{}.deadline;
    }
    return longest + m_context.policy.resultRetention;
}

std::optional<OpenRefused> AtMostOnceHandler::checkKeyOwnership(const OpenRequest &message) const
{
    const KeyDecision verdict =
        m_keyOwnership.decide(message.request, m_context.identity.instance, m_context.now, keyRetention());
    if (verdict.reason == Reason::None) {
        return std::nullopt;
    }
    return OpenRefused{message.request, verdict.reason, std::max(verdict.retryAfter, m_context.policy.reportPeriod)};
}

void AtMostOnceHandler::sendRequestState(const InstanceName &peer, const RequestId &request, Serial serial)
{
    RequestState state{request, m_context.identity.incarnation, serial, LedgerState::Absent, {}};
    const LedgerRecord *record = m_ledger.find(serial);
    if (record != nullptr && record->request == request) {
        state.state = record->state;
        state.run = record->run;
    }
    m_context.effects.send(peer, state);
}

void AtMostOnceHandler::sealRecord(Serial serial, Reason reason)
{
    const LedgerRecord *record = m_ledger.find(serial);
    RunRecord *run = record->state == LedgerState::Queued ? m_runs.find(record->run) : nullptr;
    if (run != nullptr) {
        m_scheduler.refuse(*run, reason);
    } else {
        m_ledger.seal(serial, m_delivery.retentionEnd());
    }
    notifyWaitingPeers(serial);
}

void AtMostOnceHandler::notifyWaitingPeers(Serial serial)
{
    const auto found = m_waitingPeers.find(serial);
    const LedgerRecord *record = m_ledger.find(serial);
    if (found == m_waitingPeers.end() || record == nullptr || record->state == LedgerState::Opened) {
        return;
    }
    const std::vector<InstanceName> waiting = std::move(found->second);
    m_waitingPeers.erase(found);
    for (const InstanceName &peer : waiting) {
        sendRequestState(peer, record->request, serial);
        RunRecord *run = m_runs.find(record->run);
        if (run != nullptr) {
            m_delivery.subscribe(*run, peer, 0);
        }
    }
}

void AtMostOnceHandler::attachToStartedRun(const InstanceName &from, const StartRun &message)
{
    // Another driver has started the run of this serial; subscribe to it instead of running again.
    const LedgerRecord *record = m_ledger.find(message.serial);
    onAttach(from, AttachRequest{record->request, m_context.identity.incarnation, message.serial, 0});
}

} // namespace bergamottide
