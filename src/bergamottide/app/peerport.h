#pragma once

#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/serving/events.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bergamottide {

/*! @brief What a peer port asks of its process. */
struct PeerPortHooks
{
    /*! @brief Takes an event that comes from a peer. */
    std::function<void(serving::Event event)> submit;
    /*! @brief Returns what this process tells the peer at an address. */
    std::function<serving::Heartbeat(const std::string &to)> heartbeat;
    std::function<void(const LogLine &line)> log;
};

/*! @brief Answers to peers that ask for what the platform has published. */
struct PublishedAnswers
{
    /*! @brief Returns all of it for a query, or nothing. */
    std::function<std::optional<std::string>(const std::string &query)> all;
    /*! @brief Answers a query for changes, when there are any. */
    std::function<void(const std::string &query, const std::shared_ptr<HttpResponder> &responder)> changes;
};

/*! @brief Path at which a peer is asked for changes of what the platform has published. */
inline constexpr std::string_view publishedChangesPath = "/peer/published/changes";

/**
 * @brief Talks with the peers of a process that serves callers: heartbeats, and stage tasks handed over.
 *
 * A task is one HTTP call that is answered when its pieces are made. A connection that breaks or falls silent therefore
 * tells both ends at once: one does the work elsewhere, the other drops it.
 */
class PeerPort
{
public:
    /**
     * @brief Creates a port that does not listen yet.
     * @param loop Loop it runs on; outlives the port.
     * @param address Address to listen on.
     * @param hooks What the port asks of its process.
     */
    PeerPort(Loop &loop, const std::string &address, PeerPortHooks hooks);

    /*! @brief Starts to listen. */
    [[nodiscard]] absl::Status listen();

    /*! @brief Sets what answers a peer that asks for what the platform has published. */
    void onPublishedAsked(PublishedAnswers answers);

    /*! @brief Asks a peer for what the platform has published; `then` is called with the body if there is one. */
    void askPublished(const serving::PeerInfo &peer, const std::string &query,
                      std::function<void(const std::string &body)> then);

    void carryOut(const serving::SendHeartbeat &effect);
    void carryOut(const serving::HandTask &effect);
    void carryOut(const serving::RecallTask &effect);
    void carryOut(const serving::AnswerPeerTask &effect);
    void carryOut(const serving::TellReleased &effect);

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void takeTask(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    [[nodiscard]] absl::StatusOr<std::string> takeHeartbeat(const std::string &text);
    void handedEnded(serving::StageTaskId task, const InstanceName &peer, const HttpAnswer &answer);
    void logUnreadable(const absl::Status &status);

    Loop &m_loop;
    PeerPortHooks m_hooks;
    PublishedAnswers m_published;
    HttpServer m_server;
    HttpClient m_client;
    HttpClient m_heartbeats;
    std::map<serving::StageTaskId, HttpCallId> m_handed;
    std::map<serving::PeerTaskNumber, std::shared_ptr<HttpResponder>> m_asked;
    std::uint64_t m_lastAsked{};
};

} // namespace bergamottide
