#pragma once

#include "bergamottide/app/adminport.h"
#include "bergamottide/app/callerport.h"
#include "bergamottide/app/callerreport.h"
#include "bergamottide/app/peerset.h"
#include "bergamottide/app/platformfeed.h"
#include "bergamottide/app/reducerrunner.h"
#include "bergamottide/app/telemetry.h"
#include "bergamottide/config/settings.h"
#include "bergamottide/entry/entryreducer.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/net/peertransport.h"

#include <absl/status/status.h>

#include <memory>
#include <string>
#include <vector>

namespace bergamottide {

/**
 * @brief Process that accepts callers' requests and runs their stages on endpoints.
 *
 * Connects an `EntryReducer` with the callers' HTTP server, the streams to the endpoints' sidecars, the
 * platform's clients and the admin port.
 */
class EntryApp
{
public:
    /**
     * @brief Creates an entry that does not listen yet.
     * @param loop Event loop; outlives the entry.
     * @param clock Source of the wall time for log and audit trail; outlives the entry.
     * @param settings Settings of the process.
     * @param ticketKeys Keys that authenticate tickets, at least one; the first one signs.
     * @param incarnation Number of this start of the process.
     */
    EntryApp(Loop &loop, const Clock &clock, const Settings &settings, std::vector<TicketKey> ticketKeys,
             Incarnation incarnation);

    /*! @brief Opens the ports and starts to read configuration and instance list from the platform. */
    [[nodiscard]] absl::Status start();

    /**
     * @brief Starts a graceful shutdown, which ends by stopping the loop.
     * @param cause Cause written to the audit trail.
     */
    void drain(const std::string &cause);

    /*! @brief Reloads the TLS certificate of the callers' port. */
    void reloadTls();

    /*! @brief Returns the listen address for callers. */
    [[nodiscard]] std::string callersAddress() const;

    /*! @brief Returns the listen address of the admin port. */
    [[nodiscard]] std::string adminAddress() const;

    /*! @brief Returns the listen address for peers. */
    [[nodiscard]] std::string peersAddress() const;

private:
    void carryOut(EntryEffect effect);
    void carryOut(const SendMessage &effect);
    void carryOut(const ReopenStream &effect);
    void carryOut(const SendTicket &effect);
    void carryOut(const SendResultPiece &effect);
    void carryOut(const SendAnswer &effect);
    void carryOut(const DrainComplete &effect);
    void carryOut(const LogLine &line);
    void carryOut(const AuditRecord &record);
    void carryOut(const Observe &observation);

    [[nodiscard]] PlatformFeedHooks feedHooks();
    [[nodiscard]] PeerHooks peerHooks();
    [[nodiscard]] AdminHooks adminHooks();
    [[nodiscard]] CallerReportHooks callerReportHooks();
    [[nodiscard]] HttpServerOptions callerOptions();
    [[nodiscard]] HttpServerOptions adminOptions();
    /*! @brief Closes expired streams periodically. */
    void expirePeers();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::string status() const;

    Loop &m_loop;
    Settings m_settings;
    Telemetry m_telemetry;
    TicketCodec m_tickets;
    EntryReducer m_reducer;
    ReducerRunner<EntryReducer, EntryEvent, EntryEffect, Tick> m_runner;
    CallerPort m_callers;
    AdminPort m_admin;
    /*! @brief Charged for what callers and operators hold. */
    std::shared_ptr<overload::MemoryAccount> m_memory;
    CallerReport m_callerReport;
    HttpServer m_callerServer;
    HttpServer m_adminServer;
    PeerTransport m_transport;
    PeerSet m_peers;
    PlatformFeed m_feed;
    TimePoint m_startedAt;
    bool m_draining{};
};

} // namespace bergamottide
