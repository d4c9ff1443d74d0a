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
 * @brief Port of the callers: HTTP requests to events, effects to HTTP answers.
 *
 * Decides nothing but the form of requests and answers.
 */
class CallerPort
{
public:
    /*! @brief Takes an event; may carry out its effects on this port at once. */
    using Sink = std::function<void(EntryEvent event)>;

    /**
     * @brief Creates a port that does not listen.
     * @param tickets Writes and reads tickets; outlives the port.
     * @param seed Seed of the identities drawn, unique to this start of the process.
     * @param sink Takes the events.
     */
    CallerPort(const TicketCodec &tickets, std::uint64_t seed, Sink sink);

    /**
     * @brief Handles one HTTP request.
     * @param request Request.
     * @param responder Way to answer.
     */
    void handle(const HttpRequest &request, std::shared_ptr<HttpResponder> responder);

    /**
     * @brief Sets the document by which the form of requests is checked.
     * @param document Document in force.
     */
    void setDocument(std::shared_ptr<const Document> document);

    /**
     * @brief Tells a caller its ticket.
     * @param effect Effect to carry out.
     */
    void carryOut(const CallerTicket &effect);

    /**
     * @brief Sends a piece of an answer.
     * @param effect Effect to carry out.
     */
    void carryOut(const CallerPiece &effect);

    /**
     * @brief Ends a call.
     * @param effect Effect to carry out.
     */
    void carryOut(const CallerAnswer &effect);

    /*! @brief Returns the number of callers that wait for an answer. */
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    struct Call
    {
        std::shared_ptr<HttpResponder> responder;
        AnswerForm form;
        bool begun{};
        /*! @brief Position of the next piece within the whole result. */
        std::uint64_t offset{};
        std::string ticket;
    };

    [[nodiscard]] RequestId drawRequest();
    void begin(Call &call);
    void endStream(Call &call, const CallerAnswer &effect);
    void dropSlow(CallId id, const Call &call);

    const TicketCodec &m_tickets;
    std::uint64_t m_seed;
    Sink m_sink;
    CallerContext m_context;
    std::uint64_t m_lastCall{};
    std::uint64_t m_lastRequest{};
    std::unordered_map<std::uint64_t, Call> m_calls;
};

} // namespace bergamottide
