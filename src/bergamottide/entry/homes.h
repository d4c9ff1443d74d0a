#pragma once

#include "bergamottide/entry/answers.h"
#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/stagedriver.h"

namespace bergamottide {

/**
 * @brief Opens requests at their homes, and acts on what the homes say about them.
 *
 * Load: callers, entries and sides that repeat themselves, die and come back while a
 * request is on its way. Harm prevented: a last stage that runs twice. The home's ledger
 * gives each request one serial, and each serial starts at most one run, so that repeated
 * or late messages are harmless. The entry pins the first serial it learns and turns to
 * another home only while it has learnt none: an opened record that nobody uses does
 * nothing. A keyed request never turns to another home, since an earlier submission of
 * the same key may be opened at this one.
 */
class Homes
{
public:
    /*! @brief Creates the part over the shared state. */
    Homes(EntryContext &context, Answers &answers, StageDriver &driver);

    /*! @brief Opens a new request at a home; its first stage starts with the home's answer. */
    void open(Request &request);
    /*! @brief Takes up a request whose home is known from its ticket. */
    void resume(Request &request, const Ticket &ticket);
    /*! @brief Asks the home for the state of a request's serial and for its result. */
    void attach(Request &request);

    /*! @brief Takes the answer to an opening. */
    void opened(const InstanceName &from, const RequestOpened &message);
    /*! @brief Takes the refusal of an opening. */
    void refused(const InstanceName &from, const OpenRefused &message);
    /*! @brief Takes the state of a serial. */
    void state(const InstanceName &from, const RequestState &message);
    /*! @brief Handles a home that has not answered. */
    void timedOut(Request &request, std::uint64_t timer);
    /*! @brief Asks again after the stream to a home has opened. */
    void reconnected(Request &request);

private:
    [[nodiscard]] InstanceName chooseHome(const Request &request);
    void sendOpen(Request &request);
    void setTimer(Request &request);
    void learnt(Request &request, LedgerState state, const RunId &run);
    void sealed(Request &request);
    void absent(Request &request, Incarnation incarnation);
    void drive(Request &request);

    EntryContext &m_context;
    Answers &m_answers;
    StageDriver &m_driver;
};

} // namespace bergamottide
