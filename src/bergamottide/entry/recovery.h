#pragma once

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/fetches.h"
#include "bergamottide/entry/homes.h"
#include "bergamottide/entry/runtracker.h"
#include "bergamottide/entry/stagedriver.h"

#include <cstdint>
#include <vector>

namespace bergamottide {

/**
 * @brief Finds out what became of runs whose side was not heard of, and what a pause left behind.
 *
 * Load: sides that die, streams that close, open streams that go silent for good while new
 * ones work, processes that wake up late. Harm prevented: callers who wait for a run that
 * nobody works on, and work done twice because an entry guessed. A run in progress gives a
 * sign of life every half of `progressTimeout`; after a whole one without any, the entry
 * asks its side for the state of all runs there (explicit reconciliation), on a new stream
 * if nothing at all has come over the old one. One question per side at a time, with
 * truncated exponential backoff, so that a dead side is not showered with streams.
 */
class Recovery
{
public:
    /*! @brief Creates the part over the shared state. */
    Recovery(EntryContext &context, RunTracker &runs, StageDriver &driver, Homes &homes, Fetches &fetches);

    /*! @brief Checks whether a run has gone silent. */
    void checkProgress(const Timer &timer);
    /*! @brief Notes that anything was heard from a side. */
    void heard(const InstanceName &from);
    /*! @brief Takes the answer to a question. */
    void states(const InstanceName &from, const RunStates &message);
    /*! @brief Handles the opening of a stream. */
    void peerUp(const InstanceName &peer);
    /*! @brief Handles the closing of a stream. */
    void peerDown(const InstanceName &peer);

    /*! @brief Handles waking up from a pause: nothing is started until a side has answered. */
    void wokenUp();
    /*! @brief Takes the answer to a ping. */
    void pong(const InstanceName &from, const Pong &message);
    /*! @brief Asks sides that have not answered since the last wake-up once more; called periodically. */
    void review();

private:
    [[nodiscard]] std::vector<RequestId> requestsAt(const InstanceName &side);
    void reconcile(const InstanceName &side);
    void askAbout(const InstanceName &side);
    void confirm(const InstanceName &side);

    EntryContext &m_context;
    RunTracker &m_runs;
    StageDriver &m_driver;
    Homes &m_homes;
    Fetches &m_fetches;
    /*! @brief Number of the last wake-up; pings carry it. */
    std::uint64_t m_wake{};
};

} // namespace bergamottide
