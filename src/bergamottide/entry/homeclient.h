#pragma once

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/requestfinisher.h"
#include "bergamottide/entry/stagedriver.h"

namespace bergamottide {

/**
 * @brief Opens requests at their homes and handles the homes' messages, so that no last stage runs twice.
 *
 * The ledger of the home issues one serial per request, and a serial starts at most one
 * run, so repeated and late messages are harmless. The entry keeps the first serial that
 * it receives, and tries another home only before it has one; an opened record without a
 * run has no effect. A request with an idempotency key never changes its home, where an
 * earlier submission of the same key may be recorded.
 */
class HomeClient
{
public:
    /*! @brief Creates the component; the references must outlive it. */
    HomeClient(EntryContext &context, RequestFinisher &finisher, StageDriver &driver);

    /*! @brief Opens a new request at a home; its first stage starts when the home has answered. */
    void open(Request &request);
    /*! @brief Resumes a request at the home that its ticket names. */
    void resume(Request &request, const Ticket &ticket);
    /*! @brief Requests the state of a request's serial and its result from the home. */
    void attach(Request &request);

    /*! @brief Handles the confirmation that a record was opened. */
    void handleOpened(const InstanceName &from, const RequestOpened &message);
    /*! @brief Handles the refusal to open a record. */
    void handleOpenRefused(const InstanceName &from, const OpenRefused &message);
    /*! @brief Handles a home's reply with the state of a serial. */
    void handleRequestState(const InstanceName &from, const RequestState &message);
    /*! @brief Repeats an unanswered query, tries another home or ends the request. */
    void handleTimeout(Request &request, std::uint64_t timer);
    /*! @brief Repeats the last query after the stream to the home has opened. */
    void handleReconnect(Request &request);

private:
    [[nodiscard]] InstanceName chooseHome(const Request &request);
    void sendOpen(Request &request);
    void setTimer(Request &request);
    void applyState(Request &request, LedgerState state, const RunId &run);
    void handleSealed(Request &request);
    void handleAbsent(Request &request, Incarnation incarnation);
    void startOrResend(Request &request);

    EntryContext &m_context;
    RequestFinisher &m_finisher;
    StageDriver &m_driver;
};

} // namespace bergamottide
