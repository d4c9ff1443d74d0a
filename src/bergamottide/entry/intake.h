#pragma once

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/fetches.h"
#include "bergamottide/entry/homeclient.h"
#include "bergamottide/entry/requestcheck.h"
#include "bergamottide/entry/requestfinisher.h"
#include "bergamottide/entry/stagedriver.h"

#include <memory>

namespace bergamottide {

/**
 * @brief Handles the events of callers: validates and admits requests, or refuses them at once.
 */
class Intake
{
public:
    /*! @brief Creates the component; the references must outlive it. */
    Intake(EntryContext &context, RequestFinisher &finisher, StageDriver &driver, HomeClient &homeClient,
           Fetches &fetches);

    /*! @brief Handles the submission of a request. */
    void handleSubmission(const CallerSubmitted &event);
    /*! @brief Handles a caller that fetches a result by its ticket. */
    void handleFetch(const FetchRequested &event);
    /*! @brief Handles a caller that cancels a request by its ticket. */
    void handleCancel(const CancelRequested &event);
    /*! @brief Handles the disconnection of a caller. */
    void handleCallerGone(const CallerGone &event);

private:
    [[nodiscard]] Reason refusalReason() const;
    [[nodiscard]] bool checkTicketHolder(CallId call, const std::string &keyDigest, const Ticket &ticket);
    [[nodiscard]] bool admit(const CallerSubmitted &event, const CheckedRequest &checked, Request &request);
    [[nodiscard]] std::unique_ptr<Request> makeRequest(const CallerSubmitted &event,
                                                       const CheckedRequest &checked) const;
    void start(const CallerSubmitted &event, const CheckedRequest &checked);
    void joinInProgress(const CallerSubmitted &event, const CheckedRequest &checked);

    EntryContext &m_context;
    RequestFinisher &m_finisher;
    StageDriver &m_driver;
    HomeClient &m_homeClient;
    Fetches &m_fetches;
};

} // namespace bergamottide
