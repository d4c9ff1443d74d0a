#pragma once

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/resultbuffer.h"

#include <cstdint>
#include <map>
#include <optional>

namespace bergamottide {

/**
 * @brief Callers who come back with a ticket: to get the result, or to stop the request.
 *
 * Load: entries that die with answers on their way, callers who lose their connection.
 * Harm prevented: a result that exists and reaches nobody, and the second order of a
 * caller who could not learn what became of the first. Any entry serves any ticket, since
 * only the home knows the truth.
 */
class Fetches
{
public:
    /*! @brief Creates the part over the shared state. */
    explicit Fetches(EntryContext &context);

    /**
     * @brief Starts to fetch the result of a request.
     * @param fetched Event whose key and ticket were checked.
     */
    void fetch(const CallerFetched &fetched);

    /**
     * @brief Asks the home never to start a request.
     * @param canceled Event whose key and ticket were checked.
     */
    void cancel(const CallerCanceled &canceled);

    /*! @brief Forgets a caller; returns false if the call is none of these. */
    bool callerGone(CallId call);

    /*! @brief Takes a piece; returns whether a caller waits for it. */
    [[nodiscard]] bool progress(const InstanceName &from, const RunProgress &message);
    /*! @brief Takes the end of a run; returns whether a caller waits for it. */
    [[nodiscard]] bool finished(const InstanceName &from, const RunFinished &message);
    /*! @brief Takes the state of a serial. */
    void state(const InstanceName &from, const RequestState &message);
    /*! @brief Asks again, or gives up at the caller's deadline. */
    void timedOut(std::uint64_t number);
    /*! @brief Asks again after the stream to a home has opened. */
    void reconnected(const InstanceName &peer);

    /*! @brief Returns the number of callers that wait. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct Fetch
    {
        CallId call{};
        Ticket ticket;
        /*! @brief Byte of the result at which the caller's part begins. */
        std::uint64_t offset{};
        bool streaming{};
        /*! @brief The caller wants the request to stop. */
        bool canceling{};
        TimePoint deadline{};
        std::uint32_t asked{};
        std::optional<RunId> run;
        std::optional<RunFinished> finished;
        /*! @brief Result from `offset` on. */
        ResultBuffer result;
        std::uint64_t relayed{};
        bool answered{};
    };

    void add(Fetch fetch);
    void ask(std::uint64_t number, const Fetch &fetch);
    void relay(Fetch &fetch);
    void addPiece(Fetch &fetch, const RunProgress &message);
    void end(Fetch &fetch, const RunFinished &message);
    void checkWhole(Fetch &fetch);
    void applyState(Fetch &fetch, const RequestState &message);
    void answer(Fetch &fetch, Outcome outcome, Reason reason, Duration retryAfter);
    void removeAnswered();
    [[nodiscard]] static bool concerns(const Fetch &fetch, const InstanceName &from, const RunId &run);

    EntryContext &m_context;
    std::map<std::uint64_t, Fetch> m_fetches;
    std::uint64_t m_nextNumber{1};
};

} // namespace bergamottide
