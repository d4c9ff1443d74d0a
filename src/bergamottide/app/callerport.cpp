#include "bergamottide/app/callerport.h"

#include "bergamottide/app/calleranswer.h"

#include <openssl/rand.h>

#include <array>
#include <cstring>
#include <utility>

namespace bergamottide {

namespace {

/*!
 * @brief Bytes that may wait for a caller that reads slowly.
 *
 * One such caller holds this much of the 128 MB of an entry; beyond it the caller is gone.
 * Its ticket, if it has one, still leads to the result.
 */
constexpr std::size_t maxUnsentBytes = 4u << 20;

} // namespace

CallerPort::CallerPort(const TicketCodec &tickets, std::uint64_t seed, Sink sink)
    : m_tickets{tickets}
    , m_seed{seed}
    , m_sink{std::move(sink)}
{
    m_context.tickets = &m_tickets;
    m_context.drawRequest = [this] {
        return drawRequest();
    };
}

void CallerPort::handle(const HttpRequest &request, std::shared_ptr<HttpResponder> responder)
{
    const CallId id{++m_lastCall};
    auto read = readCallerRequest(id, request, m_context);
    if (!read.ok()) {
        responder->answer(wholeAnswer(refusal(id, read.status()), {}));
        return;
    }
    Call call;
    call.responder = std::move(responder);
    call.form = read->form;
    if (const auto *fetched = std::get_if<CallerFetched>(&read->event)) {
        call.offset = fetched->offset;
    }
    const auto key = static_cast<std::uint64_t>(id);
    call.responder->onClosed([this, id, key] {
        if (m_calls.erase(key) != 0) {
            m_sink(CallerGone{id});
        }
    });
    m_calls.emplace(key, std::move(call));
    std::visit([this](auto &&event) { m_sink(std::forward<decltype(event)>(event)); }, std::move(read->event));
}

void CallerPort::setDocument(std::shared_ptr<const Document> document)
{
    m_context.document = std::move(document);
}

void CallerPort::carryOut(const CallerTicket &effect)
{
    const auto found = m_calls.find(static_cast<std::uint64_t>(effect.call));
    if (found == m_calls.end()) {
        return;
    }
    Call &call = found->second;
    call.ticket = m_tickets.write(effect.ticket);
    const std::string data =
        "{\"request_id\":\"" + effect.ticket.request.text() + "\",\"ticket\":\"" + call.ticket + "\"}";
    if (call.form.detached) {
        constexpr int statusAccepted = 202;
        const auto responder = call.responder;
        m_calls.erase(found);
        responder->answer(HttpAnswer{statusAccepted, {{"content-type", "application/json"}}, data});
        return;
    }
    if (call.form.streaming) {
        begin(call);
        call.responder->send(serverSentEvent("ticket", data));
    }
}

void CallerPort::carryOut(const CallerPiece &effect)
{
    const auto found = m_calls.find(static_cast<std::uint64_t>(effect.call));
    if (found == m_calls.end() || !found->second.form.streaming) {
        return;
    }
    Call &call = found->second;
    begin(call);
    call.responder->send(serverSentEvent("piece", pieceData(call.offset, effect.piece)));
    call.offset += effect.piece.size();
    dropSlow(effect.call, call);
}

void CallerPort::carryOut(const CallerAnswer &effect)
{
    const auto found = m_calls.find(static_cast<std::uint64_t>(effect.call));
    if (found == m_calls.end()) {
        return;
    }
    Call call = std::move(found->second);
    m_calls.erase(found);
    if (effect.ticket) {
        call.ticket = m_tickets.write(*effect.ticket);
    }
    const bool completedStream = call.form.streaming && effect.outcome == Outcome::Completed;
    if (call.begun || completedStream) {
        endStream(call, effect);
        return;
    }
    call.responder->answer(wholeAnswer(effect, call.ticket));
}

std::size_t CallerPort::waiting() const noexcept
{
    return m_calls.size();
}

RequestId CallerPort::drawRequest()
{
    RequestId request;
    std::array<unsigned char, sizeof(request.high) + sizeof(request.low)> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        // Without random bytes the seed of this start and a count still make it unique.
        return RequestId{m_seed, ++m_lastRequest};
    }
    std::memcpy(&request.high, bytes.data(), sizeof(request.high));
    std::memcpy(&request.low, bytes.data() + sizeof(request.high), sizeof(request.low));
    return request;
}

void CallerPort::begin(Call &call)
{
    if (call.begun) {
        return;
    }
    call.begun = true;
    call.responder->begin(200, {{"content-type", "text/event-stream"}, {"cache-control", "no-store"}});
}

void CallerPort::endStream(Call &call, const CallerAnswer &effect)
{
    begin(call);
    if (!effect.body.empty()) {
        call.responder->send(serverSentEvent("piece", pieceData(call.offset, effect.body)));
    }
    call.responder->send(serverSentEvent("answer", answerBody(effect, call.ticket, false)));
    call.responder->finish();
}

void CallerPort::dropSlow(CallId id, const Call &call)
{
    if (call.responder->unsent() <= maxUnsentBytes) {
        return;
    }
    const auto responder = call.responder;
    m_calls.erase(static_cast<std::uint64_t>(id));
    responder->finish();
    m_sink(CallerGone{id});
}

} // namespace bergamottide
