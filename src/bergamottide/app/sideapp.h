#pragma once

#include "bergamottide/app/adminport.h"
#include "bergamottide/app/peerset.h"
#include "bergamottide/app/platformfeed.h"
#include "bergamottide/app/reactor.h"
#include "bergamottide/app/telemetry.h"
#include "bergamottide/config/settings.h"
#include "bergamottide/endpoint/endpointadapter.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/net/peertransport.h"
#include "bergamottide/side/sidereducer.h"

#include <absl/status/status.h>

#include <memory>
#include <string>

namespace bergamottide {

/**
 * @brief A side as a process: its reducer with the endpoint's adapter, the streams from the
 * entries, the platform's clients and the admin port around it.
 *
 * The adapter is made when the first document tells what kind of endpoint the pool has, and
 * anew when that changes.
 */
class SideApp
{
public:
    /**
     * @brief Creates a side that does not listen yet.
     * @param loop Loop it runs on; outlives the side.
     * @param clock Source of the wall time for log and audit trail; outlives the object.
     * @param settings Settings of the process.
     * @param incarnation Number of this start of the process.
     */
    SideApp(Loop &loop, const Clock &clock, const Settings &settings, Incarnation incarnation);

    /*! @brief Listens on its ports and starts to read the platform. */
    [[nodiscard]] absl::Status start();

    /**
     * @brief Starts a graceful shutdown; the loop is stopped at its end.
     * @param cause Why, for the audit trail.
     */
    void drain(const std::string &cause);

    /*! @brief Returns the address of the admin port. */
    [[nodiscard]] std::string adminAddress() const;

    /*! @brief Returns the address for other processes of the system. */
    [[nodiscard]] std::string peersAddress() const;

private:
    void carryOut(SideEffect effect);
    void carryOut(const SendMessage &effect);
    void carryOut(const EndpointStart &effect);
    void carryOut(const EndpointCancel &effect);
    void carryOut(const GiveOrder &effect);
    void carryOut(const DrainComplete &effect);
    void carryOut(const LogLine &line);
    void carryOut(const AuditRecord &record);
    void carryOut(const Observe &observation);

    [[nodiscard]] PlatformFeedHooks feedHooks();
    [[nodiscard]] PeerHooks peerHooks();
    [[nodiscard]] AdminHooks adminHooks();
    [[nodiscard]] EndpointHooks endpointHooks();
    void takeDocument(const std::shared_ptr<const Document> &document);
    /*! @brief Asks the endpoint for its load, closes streams no longer asked for, and comes back. */
    void pollEndpoint();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::string status() const;

    Loop &m_loop;
    Settings m_settings;
    Telemetry m_telemetry;
    SideReducer m_reducer;
    Reactor<SideReducer, SideEvent, SideEffect, Tick> m_reactor;
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
