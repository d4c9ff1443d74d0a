#pragma once

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/resultbuffer.h"

#include <cstdint>
#include <map>
#include <optional>

namespace bergamottide {

/**
 * @brief Fetches results and cancels requests for callers that present a ticket.
 *
 * A caller that has lost its connection or its entry can still get the result, instead of
 * submitting the request again. Every entry serves every ticket by querying the home.
 */
class Fetches
{
public:
    /*! @brief Creates the component; the context must outlive it. */
    explicit Fetches(EntryContext &context);

    /**
     * @brief Starts fetching the result of a request.
     * @param fetched Event with a valid key and ticket.
     */
    void fetch(const FetchRequested &fetched);

    /**
     * @brief Requests that the home seals a request, so that its last stage never starts.
     * @param canceled Event with a valid key and ticket.
     */
    void cancel(const CancelRequested &canceled);

    /*! @brief Drops the fetches of a disconnected caller; returns whether there was one. */
    bool removeCall(CallId call);

    /*! @brief Handles a piece of a result; returns whether a caller waits for it. */
    [[nodiscard]] bool handleProgress(const InstanceName &from, const RunProgress &message);
    /*! @brief Handles the end of a run; returns whether a caller waits for it. */
    [[nodiscard]] bool handleFinished(const InstanceName &from, const RunFinished &message);
    /*! @brief Handles a home's reply with the state of a serial. */
    void handleRequestState(const InstanceName &from, const RequestState &message);
    /*! @brief Repeats the query of a fetch, or ends the fetch at the caller's deadline. */
    void handleTimeout(std::uint64_t number);
    /*! @brief Repeats the queries to a home after the stream to it has opened. */
    void handleReconnect(const InstanceName &peer);

    /*! @brief Returns the number of fetches and cancellations in progress. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    /*! @brief A caller that waits for the result of a request, or for its cancellation. */
    struct Fetch
    {
        CallId call{};
        Ticket ticket;
        /*! @brief Offset in bytes from which the caller wants the result. */
        std::uint64_t offset{};
        bool streaming{};
        /*! @brief The caller cancels the request. */
        bool canceling{};
        TimePoint deadline{};
        /*! @brief Queries to the home since its last answer. */
        std::uint32_t unansweredQueries{};
        std::optional<RunId> run;
        std::optional<RunFinished> finished;
        /*! @brief Result from `offset` to its end. */
        ResultBuffer result;
        std::uint64_t relayedBytes{};
        bool answered{};
    };

    void add(Fetch fetch);
    void sendQuery(std::uint64_t number, const Fetch &fetch);
    void relay(Fetch &fetch);
    void addPiece(Fetch &fetch, const RunProgress &message);
    void handleEnd(Fetch &fetch, const RunFinished &message);
    void checkComplete(Fetch &fetch);
    void applyState(Fetch &fetch, const RequestState &message);
    void answer(Fetch &fetch, Outcome outcome, Reason reason, Duration retryAfter);
    void removeAnswered();
    [[nodiscard]] static bool concerns(const Fetch &fetch, const InstanceName &from, const RunId &run);

    EntryContext &m_context;
    std::map<std::uint64_t, Fetch> m_fetches;
    std::uint64_t m_nextNumber{1};
};

} // namespace bergamottide
