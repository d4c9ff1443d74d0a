#pragma once

#include "bergamottide/ledger/ledger.h"
#include "bergamottide/scheduling/concurrencylimit.h"
#include "bergamottide/scheduling/fairqueue.h"
#include "bergamottide/scheduling/servicetime.h"
#include "bergamottide/side/rundelivery.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Decides which run goes to the endpoint next, and which is refused.
 *
 * Load it is made for: bursts and saturation at one endpoint. Runs wait in a fair queue
 * and are handed over within the adaptive concurrency limit. A run that cannot end within
 * its deadline, given the estimate of this and the following stages, is refused before it
 * costs anything; so is the run that the full queue gives up. A refused run that must not
 * be repeated is sealed in the ledger first, hence the refusal stays true whatever message
 * comes late.
 */
class RunScheduler
{
public:
    /**
     * @brief Takes what it works on.
     * @param context Shared parts of the side.
     * @param runs Runs of the side.
     * @param ledger Ledger of the side.
     * @param delivery Delivery of results.
     */
    RunScheduler(SideContext &context, RunTable &runs, Ledger &ledger, RunDelivery &delivery);

    /*! @brief Takes over limits and weights of the document in force. */
    void configure();

    /**
     * @brief Queues a run that is in the table, or refuses it.
     * @param run Run whose state is queued; if it must not be repeated, the ledger has it queued too.
     */
    void enqueue(Run &run);

    /*! @brief Hands runs to the endpoint while it has room, unless the process has woken up from a pause. */
    void dispatch();

    /*! @brief Refuses the queued runs that cannot end in time any more. */
    void refuseDoomed();

    /**
     * @brief Ends a run that is queued: it never starts.
     * @param run Queued run.
     * @param reason Why.
     */
    void refuse(Run &run, Reason reason);

    /**
     * @brief Cancels a repeatable run at the endpoint.
     * @param run Run at the endpoint.
     * @param reason Why.
     */
    void cancelRunning(Run &run, Reason reason);

    /*! @brief Handles a piece of a result. */
    void onPiece(const EndpointPiece &event);
    /*! @brief Handles the end of a call. */
    void onFinished(const EndpointFinished &event);

    /*! @brief Returns the time at which `refuseDoomed` has something to do. */
    [[nodiscard]] std::optional<TimePoint> nextDoomed() const;
    /*! @brief Returns the number of runs queued. */
    [[nodiscard]] std::uint32_t queued() const noexcept;
    /*! @brief Returns the number of runs at the endpoint. */
    [[nodiscard]] std::uint32_t running() const noexcept;
    /*! @brief Fills in what a load report says about queue and endpoint. */
    void describe(LoadReport &report) const;

private:
    [[nodiscard]] QueueItem queueItem(const Run &run) const;
    [[nodiscard]] Duration refusalWait(const Run &run) const;
    void start(Run &run);
    void end(Run &run, const RunEnd &end);
    void learn(const Run &run, EndpointResult result, Reason reason);
    void account(const Run &run);

    SideContext &m_context;
    RunTable &m_runs;
    Ledger &m_ledger;
    RunDelivery &m_delivery;
    FairQueue m_queue;
    ConcurrencyLimit m_limit;
    ServiceTimes m_times;
    /*! @brief Times of runs that the endpoint worked on nearly alone. */
    ServiceTimes m_lightTimes;
    /*! @brief Runs at the endpoint, with the number there when each started. */
    std::map<RunId, std::uint32_t> m_running;
    double m_failureShare{};
};

} // namespace bergamottide
