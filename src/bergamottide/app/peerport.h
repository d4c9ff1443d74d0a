#pragma once

#include "bergamottide/events/events.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bergamottide {

/*! @brief Callbacks through which a peer port reaches its process. */
struct PeerPortHooks
{
    /*! @brief Called with each event caused by a peer. */
    std::function<void(serving::Event event)> submit;
    /*! @brief Returns the heartbeat to send to the peer at an address. */
    std::function<serving::Heartbeat(const std::string &to)> heartbeat;
    std::function<void(const LogLine &line)> log;
};

/*! @brief Handlers of peers' requests for the data of the platform's store. */
struct StoreHandlers
{
    /*! @brief Returns the response to a query; without a body if there is no newer data. */
    std::function<HttpResponse(const std::string &query)> snapshot;
    /*! @brief Answers a query for changes, possibly later (long poll). */
    std::function<void(const std::string &query, const std::shared_ptr<HttpResponder> &responder)> changes;
    /*! @brief Requests a confirmation of the data; `ServingApp::confirmEndpoints` or `leaveUnconfirmed` is called. */
    std::function<void()> confirm;
    /*! @brief Reads the history of the list of endpoints; `ServingApp::setFormerEndpoints` is called. */
    std::function<void()> readHistory;
};

/*! @brief Path at which peers ask for changes of the store's data. */
inline constexpr std::string_view storeChangesPath = "/peer/published/changes";

/**
 * @brief HTTP server and clients for the other serving processes: heartbeats and delegated stage tasks.
 *
 * A delegated task is one HTTP call that is answered when the task is done. A lost connection therefore informs both
 * ends: the sender retries elsewhere, the receiver cancels the task.
 */
class PeerPort
{
public:
    /**
     * @brief Creates a port that does not listen yet.
     * @param loop Event loop; outlives the port.
     * @param address Address to listen on.
     * @param hooks Callbacks into the process.
     */
    PeerPort(Loop &loop, const std::string &address, PeerPortHooks hooks);

    /*! @brief Starts to listen. */
    [[nodiscard]] absl::Status listen();

    /*! @brief Returns the address it listens on, with the port that the system has chosen. */
    [[nodiscard]] std::string address() const;

    /*! @brief Sets the handlers of peers' requests for the store's data. */
    void setStoreHandlers(StoreHandlers handlers);

    /*! @brief Requests the store's data from a peer; `onAnswer` is not called if it does not respond. */
    void requestStoreSnapshot(const serving::PeerInfo &peer, const QueryParameters &query,
                              std::function<void(const HttpResponse &answer)> onAnswer);

    void carryOut(const serving::SendHeartbeat &effect);
    void carryOut(const serving::DelegateTask &effect);
    void carryOut(const serving::CancelDelegatedTask &effect);
    void carryOut(const serving::CompletePeerTask &effect);
    void carryOut(const serving::NotifyReleasedResults &effect);
    void carryOut(const serving::LookUpStream &effect);
    void carryOut(const serving::AnswerStreamQuery &effect);

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void receiveTask(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void receiveStreamQuery(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    [[nodiscard]] absl::StatusOr<std::string> receiveHeartbeat(const std::string &text);
    void handleTaskAnswer(serving::StageTaskId task, const InstanceName &peer, const HttpResponse &answer);
    void logMalformedMessage(const absl::Status &status);

    Loop &m_loop;
    PeerPortHooks m_hooks;
    StoreHandlers m_storeHandlers;
    HttpServer m_server;
    HttpClient m_taskClient;
    HttpClient m_heartbeatClient;
    std::map<serving::StageTaskId, HttpCallId> m_delegatedTasks;
    std::map<serving::PeerTaskNumber, std::shared_ptr<HttpResponder>> m_peerTasks;
    std::uint64_t m_lastPeerTask{};
    /*! @brief Questions of peers that have not been answered. */
    std::map<serving::StreamQueryNumber, std::shared_ptr<HttpResponder>> m_streamQueries;
    std::uint64_t m_lastStreamQuery{};
};

} // namespace bergamottide
