#include "bergamottide/entry/fetches.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Maximum number of times that the interval between queries is doubled. */
constexpr std::uint32_t maxBackoffDoublings = 3;
/*! @brief Timeout of a cancellation: allows for a new stream and some round trips between regions. */
constexpr Duration cancelTimeout = std::chrono::seconds{1};

} // namespace

Fetches::Fetches(EntryContext &context)
    : m_context{context}
{
}

void Fetches::fetch(const FetchRequested &fetched)
{
    const Duration wait = std::clamp(fetched.deadline, Duration{1}, m_context.policy().maxDeadline);
    Fetch fetch{.call = fetched.call,
                .ticket = fetched.ticket,
                .offset = fetched.offset,
                .streaming = fetched.streaming,
                .deadline = m_context.now + wait,
                .result = ResultBuffer{m_context.policy().maxResultBytes}};
    add(std::move(fetch));
}

void Fetches::cancel(const CancelRequested &canceled)
{
    Fetch fetch{.call = canceled.call,
                .ticket = canceled.ticket,
                .canceling = true,
                .deadline = m_context.now + cancelTimeout,
                .result = ResultBuffer{m_context.policy().maxResultBytes}};
    add(std::move(fetch));
}

void Fetches::add(Fetch fetch)
{
    const std::uint64_t number = m_nextNumber++;
    const auto added = m_fetches.emplace(number, std::move(fetch)).first;
    sendQuery(number, added->second);
    m_context.timers.set({added->second.deadline, TimerKind::Fetch, {}, 0, number});
}

void Fetches::sendQuery(std::uint64_t number, const Fetch &fetch)
{
    const Ticket &ticket = fetch.ticket;
    if (fetch.canceling) {
        m_context.send(ticket.home, SealRequest{ticket.request, ticket.incarnation, ticket.serial});
    } else {
        const std::uint64_t offset = fetch.offset + fetch.result.contiguousBytes();
        m_context.send(ticket.home, AttachRequest{ticket.request, ticket.incarnation, ticket.serial, offset});
    }
    const Duration delay =
        m_context.policy().progressTimeout * (1U << std::min(fetch.unansweredQueries, maxBackoffDoublings));
    m_context.timers.set({m_context.now + delay, TimerKind::Fetch, {}, 0, number});
}

bool Fetches::removeCall(CallId call)
{
    const auto removed = std::erase_if(m_fetches, [call](const auto &entry) { return entry.second.call == call; });
    return removed > 0;
}

void Fetches::removeAnswered()
{
    std::erase_if(m_fetches, [](const auto &entry) { return entry.second.answered; });
}

bool Fetches::concerns(const Fetch &fetch, const InstanceName &from, const RunId &run)
{
    return fetch.ticket.home == from && fetch.run == run;
}

bool Fetches::handleProgress(const InstanceName &from, const RunProgress &message)
{
    bool wanted = false;
    for (auto &[number, fetch] : m_fetches) {
        if (concerns(fetch, from, message.run)) {
            wanted = true;
            addPiece(fetch, message);
        }
    }
    removeAnswered();
    return wanted;
}

void Fetches::addPiece(Fetch &fetch, const RunProgress &message)
{
    fetch.unansweredQueries = 0;
    const std::uint64_t end = message.offset + message.piece.size();
    if (end <= fetch.offset) {
        return;
    }
    const std::uint64_t start = std::max(fetch.offset, message.offset);
    const std::string_view piece = std::string_view{message.piece}.substr(start - message.offset);
    if (fetch.result.add(start - fetch.offset, piece) == PieceResult::TooLarge) {
        answer(fetch, Outcome::Unknown, Reason::AnswerTooLarge, Duration::zero());
        return;
    }
    relay(fetch);
    checkComplete(fetch);
}

bool Fetches::handleFinished(const InstanceName &from, const RunFinished &message)
{
    bool wanted = false;
    for (auto &[number, fetch] : m_fetches) {
        if (concerns(fetch, from, message.run)) {
            wanted = true;
            handleEnd(fetch, message);
        }
    }
    removeAnswered();
    return wanted;
}

void Fetches::handleEnd(Fetch &fetch, const RunFinished &message)
{
    if (message.state == RunState::Completed) {
        fetch.finished = message;
        fetch.result.finish(message.length - std::min(message.length, fetch.offset), message.digest);
        checkComplete(fetch);
        return;
    }
    m_context.send(fetch.ticket.home, RunAcknowledged{message.run});
    const bool nothingRan = message.state == RunState::NotStarted;
    answer(fetch, nothingRan ? Outcome::Incomplete : Outcome::Unknown, message.reason, message.retryAfter);
}

void Fetches::checkComplete(Fetch &fetch)
{
    if (!fetch.finished || !fetch.result.isComplete()) {
        return;
    }
    m_context.send(fetch.ticket.home, RunAcknowledged{fetch.finished->run});
    // The digest covers the whole result, so only a fetch from the start can be verified here.
    if (fetch.offset == 0 && !fetch.result.isVerified()) {
        answer(fetch, Outcome::Unknown, Reason::Internal, Duration::zero());
        return;
    }
    answer(fetch, Outcome::Completed, Reason::None, Duration::zero());
}

void Fetches::relay(Fetch &fetch)
{
    const std::string &bytes = fetch.result.bytes();
    if (!fetch.streaming || bytes.size() <= fetch.relayedBytes) {
        return;
    }
    m_context.effects.emplace_back(SendResultPiece{fetch.call, bytes.substr(fetch.relayedBytes)});
    fetch.relayedBytes = bytes.size();
}

void Fetches::handleRequestState(const InstanceName &from, const RequestState &message)
{
    for (auto &[number, fetch] : m_fetches) {
        if (fetch.ticket.home == from && fetch.ticket.request == message.request) {
            applyState(fetch, message);
        }
    }
    removeAnswered();
}

void Fetches::applyState(Fetch &fetch, const RequestState &message)
{
    fetch.unansweredQueries = 0;
    const Ticket &ticket = fetch.ticket;
    const bool same = message.incarnation == ticket.incarnation;
    if (message.state == LedgerState::Absent) {
        answer(fetch, Outcome::Unknown, same ? Reason::UnknownTicket : Reason::WrongIncarnation, Duration::zero());
        return;
    }
    if (!same || message.serial != ticket.serial || message.state == LedgerState::Opened) {
        return;
    }
    if (message.state == LedgerState::Sealed) {
        answer(fetch, Outcome::Incomplete, fetch.canceling ? Reason::Canceled : Reason::Sealed, Duration::zero());
        return;
    }
    if (fetch.canceling && message.state == LedgerState::Running) {
        // Too late to cancel: the run continues, and its result can be fetched with the ticket.
        answer(fetch, Outcome::Unknown, Reason::Canceled, m_context.policy().progressTimeout);
        return;
    }
    if (fetch.canceling && !fetch.run) {
        m_context.send(ticket.home, AttachRequest{ticket.request, ticket.incarnation, ticket.serial, 0});
    }
    fetch.run = message.run;
}

void Fetches::handleTimeout(std::uint64_t number)
{
    const auto found = m_fetches.find(number);
    if (found == m_fetches.end()) {
        return;
    }
    Fetch &fetch = found->second;
    if (m_context.now >= fetch.deadline) {
        answer(fetch, Outcome::Unknown, Reason::DeadlineExceeded, m_context.policy().ejectionTime);
        removeAnswered();
        return;
    }
    ++fetch.unansweredQueries;
    sendQuery(number, fetch);
}

void Fetches::handleReconnect(const InstanceName &peer)
{
    for (const auto &[number, fetch] : m_fetches) {
        if (fetch.ticket.home == peer) {
            sendQuery(number, fetch);
        }
    }
}

void Fetches::answer(Fetch &fetch, Outcome outcome, Reason reason, Duration retryAfter)
{
    if (outcome != Outcome::Completed) {
        m_context.observe(Metric::RefusalsTotal, {std::string{enumName(reason)}});
    }
    SendAnswer answer;
    answer.call = fetch.call;
    answer.request = fetch.ticket.request;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    answer.ticket = fetch.ticket;
    if (outcome == Outcome::Completed) {
        answer.body = fetch.result.take().substr(fetch.relayedBytes);
        answer.tokens = fetch.finished->tokens;
    }
    fetch.answered = true;
    m_context.effects.emplace_back(std::move(answer));
}

std::size_t Fetches::size() const noexcept
{
    return m_fetches.size();
}

} // namespace bergamottide
