#include "bergamottide/app/callerport.h"

#include "bergamottide/app/calleranswer.h"

#include <openssl/rand.h>

#include <array>
#include <cstring>
#include <utility>

namespace bergamottide {

namespace {

/*!
 * @brief Unsent bytes buffered for a slow caller; above this its stream is ended and the call is dropped.
 *
 * Bounds the memory held by one connection. A caller with a ticket can still fetch the result.
 */
constexpr std::size_t maxUnsentBytes = 4u << 20;

} // namespace

CallerPort::CallerPort(const TicketCodec &tickets, std::uint64_t seed, EventSink submitEvent)
    : m_tickets{tickets}
    , m_seed{seed}
    , m_submitEvent{std::move(submitEvent)}
{
    m_context.tickets = &m_tickets;
    m_context.generateRequestId = [this] {
        return generateRequestId();
    };
}

void CallerPort::handle(const HttpRequest &request, std::shared_ptr<HttpResponder> responder)
{
    const CallId id{++m_lastCall};
    auto read = parseCallerRequest(id, request, m_context);
    if (!read.ok()) {
        responder->respond(httpAnswer(notRunAnswer(id, read.status()), {}));
        return;
    }
    Call call;
    call.responder = std::move(responder);
    call.mode = read->mode;
    if (const auto *fetched = std::get_if<FetchRequested>(&read->event)) {
        call.offset = fetched->offset;
    }
    const auto key = static_cast<std::uint64_t>(id);
    call.responder->onClosed([this, id, key] {
        if (m_calls.erase(key) != 0) {
            m_submitEvent(CallerGone{id});
        }
    });
    m_calls.emplace(key, std::move(call));
    std::visit([this](auto &&event) { m_submitEvent(std::forward<decltype(event)>(event)); }, std::move(read->event));
}

void CallerPort::setDocument(std::shared_ptr<const Document> document)
{
    m_context.document = std::move(document);
}

void CallerPort::carryOut(const SendTicket &effect)
{
    const auto found = m_calls.find(static_cast<std::uint64_t>(effect.call));
    if (found == m_calls.end()) {
        return;
    }
    Call &call = found->second;
    call.ticket = m_tickets.write(effect.ticket);
    const std::string data =
        "{\"request_id\":\"" + effect.ticket.request.text() + "\",\"ticket\":\"" + call.ticket + "\"}";
    if (call.mode.isAsynchronous) {
        constexpr int statusAccepted = 202;
        const auto responder = call.responder;
        m_calls.erase(found);
        responder->respond(HttpResponse{statusAccepted, {{"content-type", "application/json"}}, data});
        return;
    }
    if (call.mode.streaming) {
        beginStream(call);
        call.responder->send(serverSentEvent("ticket", data));
    }
}

void CallerPort::carryOut(const SendResultPiece &effect)
{
    const auto found = m_calls.find(static_cast<std::uint64_t>(effect.call));
    if (found == m_calls.end() || !found->second.mode.streaming) {
        return;
    }
    Call &call = found->second;
    beginStream(call);
    call.responder->send(serverSentEvent("piece", pieceEventData(call.offset, effect.piece)));
    call.offset += effect.piece.size();
    dropIfSlow(effect.call, call);
}

void CallerPort::carryOut(const SendAnswer &effect)
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
    const bool completedStream = call.mode.streaming && effect.outcome == Outcome::Completed;
    if (call.hasStreamStarted || completedStream) {
        finishStream(call, effect);
        return;
    }
    call.responder->respond(httpAnswer(effect, call.ticket));
}

std::size_t CallerPort::waitingCalls() const noexcept
{
    return m_calls.size();
}

RequestId CallerPort::generateRequestId()
{
    RequestId request;
    std::array<unsigned char, sizeof(request.high) + sizeof(request.low)> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        // Without random bytes, a per-process seed and a counter still give a unique identity.
        return RequestId{m_seed, ++m_generatedRequests};
    }
    std::memcpy(&request.high, bytes.data(), sizeof(request.high));
    std::memcpy(&request.low, bytes.data() + sizeof(request.high), sizeof(request.low));
    return request;
}

void CallerPort::beginStream(Call &call)
{
    if (call.hasStreamStarted) {
        return;
    }
    call.hasStreamStarted = true;
    call.responder->begin(200, {{"content-type", "text/event-stream"}, {"cache-control", "no-store"}});
}

void CallerPort::finishStream(Call &call, const SendAnswer &effect)
{
    beginStream(call);
    if (!effect.body.empty()) {
        call.responder->send(serverSentEvent("piece", pieceEventData(call.offset, effect.body)));
    }
    call.responder->send(serverSentEvent("answer", answerBody(effect, call.ticket, false)));
    call.responder->finish();
}

void CallerPort::dropIfSlow(CallId id, const Call &call)
{
    if (call.responder->unsent() <= maxUnsentBytes) {
        return;
    }
    const auto responder = call.responder;
    m_calls.erase(static_cast<std::uint64_t>(id));
    responder->finish();
    m_submitEvent(CallerGone{id});
}

} // namespace bergamottide
