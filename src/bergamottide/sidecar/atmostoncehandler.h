#pragma once

#include "bergamottide/ledger/keyownership.h"
#include "bergamottide/ledger/ledger.h"
#include "bergamottide/sidecar/runscheduler.h"

#include <map>
#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Handles the messages about requests whose last stage runs at most once.
 *
 * A ledger record is opened before any stage of the request is dispatched; its serial
 * authorizes exactly one run. Any process with the ticket can subscribe to the run, or seal
 * the record as long as the run has not started. The last process that opened the record is
 * the request's driver. If the driver stays disconnected while another process waits for
 * the request, the record is sealed and the waiting process is notified.
 */
class AtMostOnceHandler
{
public:
    /**
     * @brief Creates a handler.
     * @param context Shared state of the sidecar.
     * @param runs Runs of the sidecar.
     * @param ledger Ledger of the sidecar.
     * @param delivery Delivers the results.
     * @param scheduler Queues and starts the runs.
     */
    AtMostOnceHandler(SidecarContext &context, RunTable &runs, Ledger &ledger, ResultDelivery &delivery,
                      RunScheduler &scheduler);

    /*! @brief Updates the ownership of idempotency keys from the current instance list. */
    void onViewChanged();
    /*! @brief Opens a record, or returns the existing one of the same request. */
    void onOpen(const InstanceName &from, const OpenRequest &message);
    /*! @brief Subscribes a process to the run of a record, or to its start if there is no run yet. */
    void onAttach(const InstanceName &from, const AttachRequest &message);
    /*! @brief Seals a record unless its run has started. */
    void onSeal(const InstanceName &from, const SealRequest &message);

    /**
     * @brief Queues the run of a serial, or answers why it does not start.
     * @param from Sender.
     * @param message Message with a serial; its run is not in the table.
     * @param refusalReason Reason for which new runs are refused now; `None` if they are accepted.
     */
    void onStart(const InstanceName &from, const StartRun &message, Reason refusalReason);

    /**
     * @brief Seals the record of a run that has not been queued.
     * @param from Sender.
     * @param message Cancellation; its run is not in the table.
     */
    void onCancel(const InstanceName &from, const CancelRun &message);

    /*! @brief Expires ledger records, and seals records whose driver is lost while another process waits. */
    void expire();

private:
    /*! @brief Process that last opened a record and is expected to start its run. */
    struct Driver
    {
        InstanceName peer;
        /*! @brief Time since which it has been disconnected; absent while it is connected. */
        std::optional<TimePoint> disconnectedSince;
    };

    [[nodiscard]] bool isDriverLost(Driver &driver) const;
    [[nodiscard]] LedgerLimits limits() const;
    [[nodiscard]] Duration keyRetention() const;
    [[nodiscard]] std::optional<OpenRefused> checkKeyOwnership(const OpenRequest &message) const;
    void sendRequestState(const InstanceName &peer, const RequestId &request, Serial serial);
    void sealRecord(Serial serial, Reason reason);
    void notifyWaitingPeers(Serial serial);
    void attachToStartedRun(const InstanceName &from, const StartRun &message);

    SidecarContext &m_context;
    RunTable &m_runs;
    Ledger &m_ledger;
    ResultDelivery &m_delivery;
    RunScheduler &m_scheduler;
    KeyOwnership m_keyOwnership;
    /*! @brief Processes attached to records that have no run yet. */
    std::map<Serial, std::vector<InstanceName>> m_waitingPeers;
    /*! @brief Drivers of the records in state `Opened`. */
    std::map<Serial, Driver> m_drivers;
};

} // namespace bergamottide
