#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/net/callerrefusal.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/overload/memoryaccount.h"

#include <h2o.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace bergamottide::internal {

/*! @brief What the connections of a server may hold and how long they may take. */
struct ConnectionLimits
{
    std::size_t maxHeadBytes{};
    std::size_t maxBodyBytes{};
    /*! @brief Longest time between two requests, and before the first. */
    Duration idleTimeout{};
    /*! @brief Longest time from the first byte of a head to its last. */
    Duration headTimeout{};
    /*! @brief Bytes a second below which a body or the reading of a response is too slow. */
    std::size_t minBytesPerSecond{};
};

/*! @brief What the connections of a server share; outlives them. */
struct ConnectionContext
{
    Loop &loop;
    overload::MemoryAccount &memory;
    const ConnectionLimits &limits;
    std::function<void(CallerRefusal refusal)> onRefused;
    /*! @brief Called once the socket is closed. */
    std::function<void(h2o_socket_t *socket)> onClosed;
    /*! @brief Tells whether an HTTP/2 connection has a request that is not complete. */
    std::function<bool(const h2o_conn_t *connection)> hasUnfinishedRequest;
};

/**
 * @brief Accepted connection between its socket and h2o: charges what is held for it and closes it if it is too slow.
 *
 * h2o reads all that the kernel has before it looks at any of it, and bounds neither what it buffers over all
 * connections nor how slowly that grows. So the socket is read here, in pieces that are charged before, and h2o's
 * reader is called with them. The socket of an encrypted connection is read by h2o; the kernel's buffer bounds a piece
 * there, which is charged once it is read.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /**
     * @brief Creates the connection; call `guard` once h2o has accepted the socket.
     * @param socket Socket.
     * @param isEncrypted Whether h2o decrypts what is read.
     * @param context What the connections share.
     */
    ServerConnection(h2o_socket_t *socket, bool isEncrypted, const ConnectionContext &context);
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /*! @brief Returns the connection of a socket that has been guarded. */
    [[nodiscard]] static ServerConnection &of(const h2o_socket_t *socket);

    /*! @brief Returns whether there was room for the connection itself; close the socket if not. */
    [[nodiscard]] bool isCharged() const noexcept;

    /*! @brief Puts itself between the socket and the reader that h2o has set last. */
    void guard();

    /**
     * @brief Records that a complete request is handed on.
     * @param bytes Bytes that the handler gets a copy of.
     * @return Whether there is room for the copy.
     */
    [[nodiscard]] bool beginRequest(std::size_t bytes);

    /*! @brief Records the end of a request for which `beginRequest` was called. */
    void endRequest(std::size_t bytes);

    /**
     * @brief Changes what is held for a response.
     * @param before Bytes held for it so far.
     * @param after Bytes held for it from now on.
     * @return Whether there is room; if not, nothing changes.
     */
    [[nodiscard]] bool chargeResponse(std::size_t before, std::size_t after);

    /*! @brief Records how many bytes of responses wait for the caller in this process. */
    void setUnsent(std::size_t before, std::size_t after);

    /*! @brief Records bytes of responses that the kernel has taken. */
    void recordSent(std::size_t bytes);

    /**
     * @brief Forgets what has been received by HTTP/2 if neither an incomplete request nor a write may hold it.
     * @param hasUnfinished Tells whether a connection of h2o has a request that is not complete.
     */
    void forgetFinishedRequests(const std::function<bool(const h2o_conn_t *connection)> &hasUnfinished);

    /**
     * @brief Closes the connection if the caller is too slow or idle for too long; called twice a second or so.
     * @param now Current time.
     */
    void review(TimePoint now);

    /*! @brief Returns whether no request is in progress, complete or not. */
    [[nodiscard]] bool isIdle() const noexcept;

    /*! @brief Returns whether a request has begun to arrive and is not complete. */
    [[nodiscard]] bool isReceiving() const noexcept;

    /*! @brief Returns when the present state began: idle, or receiving. */
    [[nodiscard]] TimePoint since() const noexcept;

    /*! @brief Closes the connection; what is in progress is given up. */
    void close();

private:
    enum class Phase : std::uint8_t
    {
        Idle,
        Head,
        Body,
        /*! @brief A complete request awaits its response, or the caller awaits that of the last one. */
        Processing,
        /*! @brief Rejected by this class; what still comes is discarded until the caller closes. */
        Refused
    };

    static void onReadable(h2o_socket_t *socket, const char *error);
    static void onClosed(void *data);
    void handleReadable(const char *error);
    [[nodiscard]] const char *readPiece();
    [[nodiscard]] bool admitPiece();
    [[nodiscard]] bool admitHead();
    [[nodiscard]] bool admitHttp2();
    void callReader(const char *error);
    void settle();
    void discard(const char *error);
    void refuse(CallerRefusal refusal);
    void reviewPace(TimePoint now);
    void reviewPhase(TimePoint now);
    [[nodiscard]] bool chargeRequest(std::size_t inputCapacity);
    [[nodiscard]] bool isHttp2() const;
    [[nodiscard]] bool waitsForCaller() const noexcept;
    [[nodiscard]] std::int64_t movedBytes() const;
    void enter(Phase phase);

    h2o_socket_t *m_socket;
    bool m_isEncrypted;
    bool m_isCharged{};
    /*! @brief The handshake is over, since there are bytes behind it. */
    bool m_hasDecrypted{};
    const ConnectionContext &m_context;
    overload::MemoryAccount::Holder m_holder;
    /*! @brief Reader of h2o; null before it has been set. */
    h2o_socket_cb m_reader{};
    Phase m_phase{Phase::Idle};
    TimePoint m_since;
    /*! @brief Bytes of the head that have been searched for its end. */
    std::size_t m_searched{};
    /*! @brief Copy that the handler will get of the body that is being received, as far as it is known. */
    std::size_t m_expectedCopy{};
    /*! @brief The copy grows with what is received, since no length has been announced. */
    bool m_isChunked{};
    /*! @brief Copies that handlers have. */
    std::size_t m_copies{};
    /*! @brief Bytes received by HTTP/2 since no request was incomplete and nothing waited to be written. */
    std::size_t m_unfinishedBytes{};
    std::size_t m_checkedUnfinishedBytes{};
    std::size_t m_discardedBytes{};
    std::size_t m_receivedBytes{};
    std::size_t m_sentBytes{};
    std::size_t m_unsentBytes{};
    TimePoint m_paceSince;
    std::int64_t m_movedBefore{};
    /*! @brief Consecutive reviews of the pace that found it too low. */
    int m_slowReviews{};
};

} // namespace bergamottide::internal
