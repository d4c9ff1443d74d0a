#pragma once

#include "bergamottide/entry/entrycontext.h"

#include <string>

namespace bergamottide {

/**
 * @brief Ends requests: each gets exactly one final answer, with its outcome.
 */
class Answers
{
public:
    /*! @brief Creates the part over the shared state. */
    explicit Answers(EntryContext &context);

    /**
     * @brief Refuses a call for which no request was made.
     * @param call Call to answer.
     * @param request Identity the caller gave.
     * @param outcome What may be said about it.
     * @param reason Why it is refused.
     * @param field Field at fault; may be empty.
     * @param retryAfter Time after which another try makes sense; zero for none.
     */
    void refuse(CallId call, const RequestId &request, Outcome outcome, Reason reason, std::string field,
                Duration retryAfter);

    /**
     * @brief Ends a request with the whole result of its last stage.
     * @param request Request; removed.
     * @param result Whole result; what was relayed already is not sent again.
     */
    void complete(Request &request, const std::string &result);

    /**
     * @brief Ends a request that gets no result.
     *
     * A request opened at a home is sealed there first, so that its answer can be true;
     * the answer follows with the confirmation, or without it after `progressTimeout`.
     *
     * @param request Request; removed now or with the home's answer.
     * @param reason Why.
     * @param retryAfter Time after which another try makes sense; zero for none.
     */
    void giveUp(Request &request, Reason reason, Duration retryAfter);

    /**
     * @brief Ends a request now, with the outcome that its present state proves.
     * @param request Request; removed.
     * @param reason Why.
     * @param retryAfter Time after which another try makes sense; zero for none.
     */
    void finish(Request &request, Reason reason, Duration retryAfter);

    /**
     * @brief Stops a run whose result is no longer wanted; the caller removes it from its request.
     *
     * A run with a serial is left alone: its result stays at the home for whoever shows the ticket.
     */
    void cancelRun(const Request &request, const Run &run);

    /*! @brief Returns the ticket of a request opened at a home, if its serial is known. */
    [[nodiscard]] static std::optional<Ticket> ticketOf(const Request &request);

private:
    void end(Request &request, CallerAnswer answer);
    void cancelRuns(Request &request);
    void countSpent(const Request &request, bool useful);

    EntryContext &m_context;
};

} // namespace bergamottide
