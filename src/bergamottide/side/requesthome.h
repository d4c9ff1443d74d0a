#pragma once

#include "bergamottide/ledger/keyownership.h"
#include "bergamottide/ledger/ledger.h"
#include "bergamottide/side/runscheduler.h"

#include <map>
#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Home of requests whose last stage runs at most once: opening, attaching, sealing.
 *
 * A record is opened before anything of the request is dispatched. Its serial is the only
 * way to start the run, once. Whoever has the ticket can follow the run, or have it sealed
 * while it has not started. Opening again makes the sender the request's driver; when the
 * driver has been without a stream for some time while another process waits for the
 * request, the record is sealed and the waiting process told.
 */
class RequestHome
{
public:
    /**
     * @brief Takes what it works on.
     * @param context Shared parts of the side.
     * @param runs Runs of the side.
     * @param ledger Ledger of the side.
     * @param delivery Delivery of results.
     * @param scheduler Scheduler of the runs.
     */
    RequestHome(SideContext &context, RunTable &runs, Ledger &ledger, RunDelivery &delivery, RunScheduler &scheduler);

    /*! @brief Takes over a new instance list. */
    void viewChanged();
    /*! @brief Handles the opening of a record. */
    void onOpen(const InstanceName &from, const OpenRequest &message);
    /*! @brief Handles a process that attaches. */
    void onAttach(const InstanceName &from, const AttachRequest &message);
    /*! @brief Handles the sealing of a record. */
    void onSeal(const InstanceName &from, const SealRequest &message);

    /**
     * @brief Starts the run of a serial, or answers why it does not start.
     * @param from Process that asks.
     * @param order Run with a serial; it is not in the table.
     * @param refusal Why runs are refused at present; `None` if they are not.
     */
    void onStart(const InstanceName &from, const StartRun &order, Reason refusal);

    /**
     * @brief Cancels the run of a serial that has not been queued: it never starts.
     * @param from Process that asks.
     * @param message Cancellation; its run is not in the table.
     */
    void onCancel(const InstanceName &from, const CancelRun &message);

    /*! @brief Seals and forgets what has expired; seals what has lost its driver while someone waits for it. */
    void expire();

private:
    /*! @brief Process that drives an opened request: the last one that opened it. */
    struct Driver
    {
        InstanceName peer;
        /*! @brief Since when it has had no stream, if so. */
        std::optional<TimePoint> goneSince;
    };

    [[nodiscard]] bool driverLost(Driver &driver) const;
    [[nodiscard]] LedgerLimits limits() const;
    [[nodiscard]] Duration keyMemory() const;
    [[nodiscard]] std::optional<OpenRefused> refuseKeyed(const OpenRequest &message) const;
    void sendState(const InstanceName &peer, const RequestId &request, Serial serial);
    void sealRecord(Serial serial, Reason reason);
    void tellWaiting(Serial serial);
    void answerKnown(const InstanceName &from, const StartRun &order);

    SideContext &m_context;
    RunTable &m_runs;
    Ledger &m_ledger;
    RunDelivery &m_delivery;
    RunScheduler &m_scheduler;
    KeyOwnership m_keys;
    /*! @brief Processes attached to a record that has no run yet. */
    std::map<Serial, std::vector<InstanceName>> m_waiting;
    /*! @brief Drivers of the records that are opened. */
    std::map<Serial, Driver> m_drivers;
};

} // namespace bergamottide
