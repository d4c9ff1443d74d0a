#pragma once

#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/protocol/messages.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamottide {

/*! @brief Settings of the streams between processes. */
struct PeerTransportOptions
{
    /*! @brief IP number and port to listen on, `ip:port`; empty for a process that only connects. */
    std::string listen;
    /*! @brief Mutual TLS; empty for plain text. */
    TlsFiles tls;
    /*! @brief Who this process is; sent first on each stream. */
    Hello hello;
    /*! @brief Bytes waiting for a peer that does not read, above which its stream is closed. */
    std::size_t maxUnsentBytes{16u << 20};
    /*! @brief First wait before a stream is opened again; doubles up to the longest. */
    Duration firstBackoff{std::chrono::milliseconds{50}};
    Duration longestBackoff{std::chrono::seconds{2}};
};

/*! @brief Hooks of the streams; called on the loop's thread. */
struct PeerHooks
{
    std::function<void(const InstanceName &peer)> up;
    std::function<void(const InstanceName &peer)> down;
    std::function<void(const InstanceName &peer, Message message)> received;
};

/**
 * @brief Streams of messages to other processes, by gRPC.
 *
 * There is at most one stream in use for a peer; a newer one replaces the older. Threads of
 * gRPC only hand frames to the loop. Messages that wait for a busy stream leave together in
 * one frame. A peer is known from its `Hello` on; `up` is called then.
 */
class PeerTransport
{
public:
    /**
     * @brief Creates a transport without streams.
     * @param loop Loop it runs on; outlives the transport.
     * @param options Settings.
     * @param hooks Called for each event.
     */
    PeerTransport(Loop &loop, PeerTransportOptions options, PeerHooks hooks);
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    ~PeerTransport();

    /*! @brief Starts to listen, if an address is set. */
    [[nodiscard]] absl::Status listen();

    /*! @brief Returns the address listened on, with the port that the kernel chose. */
    [[nodiscard]] std::string address() const;

    /**
     * @brief Keeps a stream to a peer open until `disconnect`, with truncated exponential backoff.
     * @param peer Name of the peer.
     * @param address Its IP number and port; another one than before replaces the stream.
     */
    void connect(const InstanceName &peer, const std::string &address);

    /**
     * @brief Closes the stream to a peer and opens none again.
     * @param peer Name of the peer.
     */
    void disconnect(const InstanceName &peer);

    /**
     * @brief Replaces the stream to a peer by one on a new connection, at once; `down` and then `up` follow.
     * @param peer Name of a peer given to `connect`.
     */
    void reopen(const InstanceName &peer);

    /**
     * @brief Sends a message; it is dropped if there is no stream to the peer.
     * @param peer Name of the peer.
     * @param message Message to send.
     */
    void send(const InstanceName &peer, const Message &message);

    /*! @brief Returns the bytes sent and received so far, for the control budget. */
    [[nodiscard]] std::uint64_t bytes() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bergamottide
