#pragma once

#include "bergamottide/app/adminport.h"
#include "bergamottide/app/peerset.h"
#include "bergamottide/app/platformfeed.h"
#include "bergamottide/app/reducerrunner.h"
#include "bergamottide/app/telemetry.h"
#include "bergamottide/config/settings.h"
#include "bergamottide/endpoint/endpointadapter.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/net/peertransport.h"
#include "bergamottide/sidecar/sidecarreducer.h"

#include <absl/status/status.h>

#include <memory>
#include <string>

namespace bergamottide {

/**
 * @brief Sidecar process of one endpoint, which schedules its runs (role `side`).
 *
 * Connects a `SidecarReducer` with the endpoint's adapter, the streams from the entries, the platform's clients and the
 * admin port. The adapter is created when a configuration document sets the kind of the pool, and again when the kind
 * changes.
 */
class SidecarApp
{
public:
    /**
     * @brief Creates a sidecar that does not listen yet.
     * @param loop Event loop; outlives the sidecar.
     * @param clock Source of the wall time for log and audit trail; outlives the sidecar.
     * @param settings Settings of the process.
     * @param incarnation Number of this start of the process.
     */
    SidecarApp(Loop &loop, const Clock &clock, const Settings &settings, Incarnation incarnation);

    /*! @brief Opens the ports and starts to read configuration and instance list from the platform. */
    [[nodiscard]] absl::Status start();

    /**
     * @brief Starts a graceful shutdown, which ends by stopping the loop.
     * @param cause Cause written to the audit trail.
     */
    void drain(const std::string &cause);

    /*! @brief Returns the listen address of the admin port. */
    [[nodiscard]] std::string adminAddress() const;

    /*! @brief Returns the listen address for peers. */
    [[nodiscard]] std::string peersAddress() const;

private:
    void carryOut(SidecarEffect effect);
    void carryOut(const SendMessage &effect);
    void carryOut(const StartEndpointRun &effect);
    void carryOut(const CancelEndpointRun &effect);
    void carryOut(const SendOrder &effect);
    void carryOut(const DrainComplete &effect);
    void carryOut(const LogLine &line);
    void carryOut(const AuditRecord &record);
    void carryOut(const Observe &observation);

    [[nodiscard]] PlatformFeedHooks feedHooks();
    [[nodiscard]] PeerHooks peerHooks();
    [[nodiscard]] AdminHooks adminHooks();
    [[nodiscard]] EndpointHooks endpointHooks();
    void applyDocument(const std::shared_ptr<const Document> &document);
    /*! @brief Polls the load of the endpoint and closes expired streams periodically. */
    void pollEndpoint();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::string status() const;

    Loop &m_loop;
    Settings m_settings;
    Telemetry m_telemetry;
    SidecarReducer m_reducer;
    ReducerRunner<SidecarReducer, SidecarEvent, SidecarEffect, Tick> m_runner;
    AdminPort m_admin;
    HttpServer m_adminServer;
    PeerTransport m_transport;
    PeerSet m_peers;
    PlatformFeed m_feed;
    std::unique_ptr<EndpointAdapter> m_endpoint;
    PoolKind m_kind{};
    Duration m_reportPeriod{std::chrono::milliseconds{250}};
    bool m_draining{};
};

} // namespace bergamottide
