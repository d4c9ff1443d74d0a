#pragma once

#include "bergamottide/entry/entrycontext.h"

#include <string>

namespace bergamottide {

/**
 * @brief Ends requests and sends each caller exactly one final answer with the outcome.
 */
class RequestFinisher
{
public:
    /*! @brief Creates the component; the context must outlive it. */
    explicit RequestFinisher(EntryContext &context);

    /**
     * @brief Refuses a call whose request was not added to the request table.
     * @param call Call to answer.
     * @param request Identity of the request.
     * @param outcome Outcome to report.
     * @param reason Reason for the refusal.
     * @param field Name of the invalid field; may be empty.
     * @param retryAfter Time after which the caller may retry; zero if retrying is pointless.
     */
    void refuse(CallId call, const RequestId &request, Outcome outcome, Reason reason, std::string field,
                Duration retryAfter);

    /**
     * @brief Ends a request with the result of its last stage.
     * @param request Request; removed.
     * @param result Complete result; bytes that were relayed already are not sent again.
     */
    void complete(Request &request, const std::string &result);

    /**
     * @brief Ends a request without a result.
     *
     * A request opened at a home is sealed there first, so that the outcome is certain. The
     * caller is answered when the home confirms, or after `progressTimeout`.
     *
     * @param request Request; removed now or when the home answers.
     * @param reason Reason to report.
     * @param retryAfter Time after which the caller may retry; zero if retrying is pointless.
     */
    void giveUp(Request &request, Reason reason, Duration retryAfter);

    /**
     * @brief Ends a request without a result at once, with the outcome that its current state implies.
     * @param request Request; removed.
     * @param reason Reason to report.
     * @param retryAfter Time after which the caller may retry; zero if retrying is pointless.
     */
    void finish(Request &request, Reason reason, Duration retryAfter);

    /**
     * @brief Cancels a run whose result is no longer needed; it stays in `request.runs`.
     *
     * A run with a serial continues: its result can be fetched from the home with the ticket.
     */
    void cancelRun(const Request &request, const StageRun &run);

    /*! @brief Returns the ticket of a request; absent unless the home has issued its serial. */
    [[nodiscard]] static std::optional<Ticket> ticketOf(const Request &request);

private:
    void end(Request &request, SendAnswer answer);
    void cancelRuns(Request &request);
    void observeServiceTime(const Request &request, bool useful);

    EntryContext &m_context;
};

} // namespace bergamottide
