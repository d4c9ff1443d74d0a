#pragma once

#include "bergamottide/entry/answers.h"
#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/fetches.h"
#include "bergamottide/entry/homes.h"
#include "bergamottide/entry/requestcheck.h"
#include "bergamottide/entry/stagedriver.h"

#include <memory>

namespace bergamottide {

/**
 * @brief Takes what callers ask for: checks it, admits or refuses it at once, and starts it.
 */
class Intake
{
public:
    /*! @brief Creates the part over the shared state. */
    Intake(EntryContext &context, Answers &answers, StageDriver &driver, Homes &homes, Fetches &fetches);

    /*! @brief Takes a submission. */
    void submitted(const CallerSubmitted &event);
    /*! @brief Takes a caller who comes back for a result. */
    void fetched(const CallerFetched &event);
    /*! @brief Takes a caller who wants a request to stop. */
    void canceled(const CallerCanceled &event);
    /*! @brief Takes the end of a caller's connection. */
    void gone(const CallerGone &event);

private:
    [[nodiscard]] Reason reasonToRefuseAll() const;
    [[nodiscard]] bool checkTicketHolder(CallId call, const std::string &keyDigest, const Ticket &ticket);
    [[nodiscard]] bool admit(const CallerSubmitted &event, const CheckedRequest &checked, Request &request);
    [[nodiscard]] std::unique_ptr<Request> makeRequest(const CallerSubmitted &event,
                                                       const CheckedRequest &checked) const;
    void start(const CallerSubmitted &event, const CheckedRequest &checked);
    void alreadyInProgress(const CallerSubmitted &event, const CheckedRequest &checked);

    EntryContext &m_context;
    Answers &m_answers;
    StageDriver &m_driver;
    Homes &m_homes;
    Fetches &m_fetches;
};

} // namespace bergamottide
