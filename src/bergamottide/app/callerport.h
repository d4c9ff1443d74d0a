#pragma once

#include "bergamottide/app/callerrequest.h"
#include "bergamottide/entry/entryevents.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/protocol/ticket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace bergamottide {

/**
 * @brief Translates callers' HTTP requests into events and effects into HTTP responses.
 *
 * Checks only the syntax of requests; all other decisions are the reducer's.
 */
class CallerPort
{
public:
    /*! @brief Called with each event; may call `carryOut` before it returns. */
    using EventSink = std::function<void(EntryEvent event)>;

    /**
     * @brief Creates a port; the HTTP server passes requests to `handle`.
     * @param tickets Encodes and decodes tickets; outlives the port.
     * @param seed Number unique to this start of the process; part of a request identity if no random bytes are
     * available.
     * @param submitEvent Called with each event.
     */
    CallerPort(const TicketCodec &tickets, std::uint64_t seed, EventSink submitEvent);

    /**
     * @brief Handles one HTTP request.
     * @param request Request.
     * @param responder Sends the response.
     */
    void handle(const HttpRequest &request, std::shared_ptr<HttpResponder> responder);

    /**
     * @brief Sets the configuration document that requests are checked against.
     * @param document Active document.
     */
    void setDocument(std::shared_ptr<const Document> document);

    /**
     * @brief Sends a caller its ticket: as the whole response to an asynchronous request, else as an event.
     * @param effect Effect to carry out.
     */
    void carryOut(const SendTicket &effect);

    /**
     * @brief Streams a piece of the result to the caller.
     * @param effect Effect to carry out.
     */
    void carryOut(const SendResultPiece &effect);

    /**
     * @brief Sends the final answer and ends the call.
     * @param effect Effect to carry out.
     */
    void carryOut(const SendAnswer &effect);

    /*! @brief Returns the number of calls whose response is not complete. */
    [[nodiscard]] std::size_t waitingCalls() const noexcept;

private:
    struct Call
    {
        std::shared_ptr<HttpResponder> responder;
        AnswerMode mode;
        bool hasStreamStarted{};
        /*! @brief Offset of the next piece within the result, in bytes. */
        std::uint64_t offset{};
        std::string ticket;
    };

    [[nodiscard]] RequestId generateRequestId();
    void beginStream(Call &call);
    void finishStream(Call &call, const SendAnswer &effect);
    void dropIfSlow(CallId id, const Call &call);

    const TicketCodec &m_tickets;
    std::uint64_t m_seed;
    EventSink m_submitEvent;
    CallerContext m_context;
    std::uint64_t m_lastCall{};
    std::uint64_t m_generatedRequests{};
    std::unordered_map<std::uint64_t, Call> m_calls;
};

} // namespace bergamottide
