#pragma once

#include "bergamottide/net/callerrefusal.h"
#include "bergamottide/net/http.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/overload/connectiongate.h"
#include "bergamottide/overload/memoryaccount.h"

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace bergamottide {

/**
 * @brief Answers one request; may be kept and used later, on the loop's thread.
 *
 * Every call does nothing once the connection has closed or the answer is whole.
 */
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /**
     * @brief Sends a whole answer.
     * @param answer Status, headers and body.
     */
    virtual void respond(HttpResponse answer) = 0;

    /**
     * @brief Sends the head of an answer whose body follows piece by piece.
     * @param status HTTP status.
     * @param headers Header lines.
     */
    virtual void begin(int status, const HttpHeaders &headers) = 0;

    /**
     * @brief Sends a piece of the body; pieces wait in memory while the caller reads slowly.
     *
     * Without room for the piece, the connection is closed and its hook called.
     * @param piece Bytes to send.
     */
    virtual void send(std::string_view piece) = 0;

    /**
     * @brief Charges the caller for bytes of a response that is being collected elsewhere.
     * @param bytes Bytes of the response so far.
     * @return Whether there is room for them; if not, the response cannot be sent.
     */
    [[nodiscard]] virtual bool reserve(std::size_t bytes) = 0;

    /*! @brief Ends a body sent piece by piece. */
    virtual void finish() = 0;

    /*! @brief Closes the connection, so that a caller sees that a body sent piece by piece is not whole. */
    virtual void abort() = 0;

    /**
     * @brief Sets the hook called once if the connection closes before the answer is whole.
     * @param hook Hook to call.
     */
    virtual void onClosed(std::function<void()> hook) = 0;

    /*! @brief Returns the number of bytes handed to `send` that the connection has not yet taken. */
    [[nodiscard]] virtual std::size_t unsent() const = 0;
};

/*! @brief Files of a server's certificate, PEM. */
struct TlsFiles
{
    std::string certificate;
    std::string key;
    /*! @brief Certificates that sign peers; empty where peers show none. */
    std::string authority;

    [[nodiscard]] bool empty() const noexcept
    {
        return certificate.empty();
    }
};

/*! @brief Settings of a server. */
struct HttpServerOptions
{
    /*! @brief IP number and port, `ip:port`; port 0 lets the kernel choose. */
    std::string listen;
    /*! @brief Empty for plain text. */
    TlsFiles tls;
    /*! @brief Largest body in bytes; a larger one is answered 413 without a call of the handler. */
    std::size_t maxBodyBytes{8u << 20};
    /*! @brief Time for which a connection may be idle between requests. */
    Duration idleTimeout{std::chrono::seconds{30}};
    /*! @brief Period in which connections with an answer under way are looked at for a close by the caller. */
    Duration closePollPeriod{std::chrono::milliseconds{500}};
    /*! @brief Time after which a connection whose bytes are not acknowledged is broken; zero for the kernel's own. */
    Duration unacknowledgedTimeout{};
    /*! @brief Optional: told of the bytes of requests and answers. */
    TrafficHook onTraffic;
    /*! @brief Optional: decides on each new connection before anything is read; without it all are served. */
    std::function<overload::ConnectionDecision(const overload::WaitingConnection &connection)> decideConnection;
    /*! @brief Time from the first byte of a head to its last. */
    Duration headTimeout{std::chrono::seconds{30}};
    /*! @brief Largest head in bytes; a larger one is answered 431 without a call of the handler. */
    std::size_t maxHeadBytes{64u << 10};
    /*! @brief Bytes a second below which a caller that sends a body or takes a response is too slow. */
    std::size_t minBytesPerSecond{1024};
    /*!
     * @brief Connections at a time; a further one replaces an idle one, or one whose request is not complete. Zero for
     * the default of `defaultMaxConnections`.
     */
    std::size_t maxConnections{};
    /*! @brief Charged for all that is held for callers; null for an account of the server's own. */
    std::shared_ptr<overload::MemoryAccount> memory;
    /*! @brief HTTP/2 is spoken beside HTTP/1.1. */
    bool speaksHttp2{};
    /*! @brief Optional: told of callers that are rejected or closed by the server itself. */
    std::function<void(CallerRefusal refusal)> onRefused;
};

/*! @brief HTTP/1.1 server on h2o, HTTP/2 if set; bounds the memory, connections and time that callers take. */
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

    /**
     * @brief Creates a server that does not listen yet.
     * @param loop Loop it runs on; outlives the server.
     * @param options Settings.
     * @param handler Called for each request.
     */
    HttpServer(Loop &loop, HttpServerOptions options, Handler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /*! @brief Starts to listen. */
    [[nodiscard]] absl::Status listen();

    /*! @brief Returns the address listened on, with the port that the kernel chose. */
    [[nodiscard]] std::string address() const;

    /*! @brief Sets the largest body, for requests whose body is yet to be read; less if memory has no room for it. */
    void setMaxBodyBytes(std::size_t bytes);

    /*! @brief Returns the largest body in effect, in bytes. */
    [[nodiscard]] std::size_t maxBodyBytes() const;

    /**
     * @brief Sets the limits of heads and of idle connections, for all connections.
     * @param maxHeadBytes Largest head in bytes.
     * @param headTimeout Time from the first byte of a head to its last.
     * @param idleTimeout Time for which a connection may be idle between requests.
     */
    void setHeadLimits(std::size_t maxHeadBytes, Duration headTimeout, Duration idleTimeout);

    /*! @brief Closes each connection after its present or next answer, and says so in that; goes on accepting. */
    void closeAfterAnswers();

    /*! @brief Accepts no further connection and closes the present ones as they become idle. */
    void shutdown();

    /*! @brief Reads the certificate files again; keeps the present ones on an error. */
    [[nodiscard]] absl::Status reloadTls();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bergamottide
