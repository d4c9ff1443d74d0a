#include "bergamottide/net/httpserver.h"

#include "bergamottide/core/error.h"
#include "bergamottide/net/machinelimits.h"
#include "bergamottide/net/requestframing.h"
#include "bergamottide/net/serverconnection.h"
#include "bergamottide/net/socketaddress.h"
#include "bergamottide/net/tlscontext.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <sys/socket.h>

namespace bergamottide {

namespace {

/*! @brief Timeout of idle HTTP/2 connections, in milliseconds. */
constexpr std::uint64_t http2IdleTimeoutMs = 60'000;
/*! @brief HTTP/2 requests of one connection that are handled at a time. */
constexpr std::size_t maxHttp2Requests = 16;
/*!
 * @brief Timeout of h2o's own for requests, in milliseconds: a year.
 *
 * h2o measures by the time of day, whose jumps would close connections; their time is measured here instead.
 */
constexpr std::uint64_t unusedTimeoutMs = 365ULL * 24 * 3600 * 1000;
/*! @brief Largest piece of a response that is handed to h2o at a time, in bytes. */
constexpr std::size_t maxPieceBytes = 16U << 10U;
/*! @brief Room for a response that a request has before it is handed on, in bytes. */
constexpr std::size_t ordinaryResponseBytes = 8U << 10U;
/*! @brief Copies of a body received by HTTP/2: h2o's own buffer, which doubles, and that of the handler. */
constexpr std::size_t http2BodyCopies = 3;
/*! @brief Copies of a head: as received, as decoded, and as sent to an endpoint. */
constexpr std::size_t headCopies = 3;
/*! @brief Buffers of the kernel for each connection and direction, in bytes. */
constexpr int socketBufferBytes = 64 << 10;
/*! @brief What is charged for a body relative to its length: h2o doubles its buffer, and the handler gets a copy. */
constexpr std::size_t chargedForEachBodyByte = 3;
/*! @brief Period in which the pace of the connections is looked at. */
constexpr Duration connectionReviewPeriod = std::chrono::milliseconds{500};
/*! @brief Maximum number of connections accepted in one round of the loop. */
constexpr int maxAccepts = 64;
/*! @brief Period of deciding again on connections that wait. */
constexpr Duration reviewPeriod = std::chrono::milliseconds{20};

constexpr int statusBadRequest = 400;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;

std::string textOf(const h2o_iovec_t &vector)
{
    return std::string{vector.base, vector.len};
}

class Responder;
using Responders = std::list<std::weak_ptr<Responder>>;

/*! @brief Responder of one request of h2o. */
class Responder final : public HttpResponder, public std::enable_shared_from_this<Responder>
{
public:
    /**
     * @brief Creates a responder.
     * @param request Request to answer.
     * @param connection Connection of the request.
     * @param loop Event loop; outlives the responder.
     * @param closes Whether connections close after their answers; outlives the responder.
     * @param options Settings of the server; outlive the responder.
     */
    Responder(h2o_req_t *request, std::weak_ptr<internal::ServerConnection> connection, Loop &loop, const bool &closes,
              const HttpServerOptions &options)
        : m_request{request}
        , m_connection{std::move(connection)}
        , m_loop{loop}
        , m_closes{closes}
        , m_options{options}
    {
    }

    /*! @brief Charges the copies of the request that its handler makes; returns whether there is room for them. */
    [[nodiscard]] bool beginRequest()
    {
        const auto connection = m_connection.lock();
        const std::size_t bodyCopies = m_request->version >= 0x200 ? http2BodyCopies : 1;
        const std::size_t bytes = bodyCopies * m_request->entity.len + headCopies * headBytes();
        if (!connection || !connection->beginRequest(bytes)) {
            return false;
        }
        m_requestBytes = bytes;
        m_hasBegunRequest = true;
        if (charge(ordinaryResponseBytes)) {
            return true;
        }
        refuse(CallerRefusal::RequestMemory);
        return false;
    }

    void respond(HttpResponse answer) override
    {
        if (m_request == nullptr || m_begun) {
            return;
        }
        if (!charge(answer.body.size())) {
            refuse(CallerRefusal::ResponseMemory);
            answer = {statusBadGateway, {}, {}};
            m_request->http1_is_persistent = 0;
        }
        writeHead(answer.status, answer.headers);
        m_request->res.content_length = answer.body.size();
        start();
        if (!answer.body.empty()) {
            append(std::move(answer.body));
        }
        m_finishing = true;
        pump();
    }

    void begin(int status, const HttpHeaders &headers) override
    {
        if (m_request == nullptr || m_begun) {
            return;
        }
        writeHead(status, headers);
        start();
        // An empty first piece sends the head at once.
        sendNow(H2O_SEND_STATE_IN_PROGRESS);
    }

    void send(std::string_view piece) override
    {
        if (m_request == nullptr || m_finishing) {
            return;
        }
        if (!charge(std::max(m_kept + piece.size(), ordinaryResponseBytes))) {
            refuse(CallerRefusal::ResponseMemory);
            // The handler may be in the middle of an operation on the request.
            m_loop.post([self = shared_from_this()] { self->reportHungUp(); });
            return;
        }
        append(piece);
        pump();
    }

    [[nodiscard]] bool reserve(std::size_t bytes) override
    {
        if (m_request == nullptr || m_begun) {
            return true;
        }
        if (charge(std::max(bytes, m_charged))) {
            return true;
        }
        refuse(CallerRefusal::ResponseMemory);
        return false;
    }

    void finish() override
    {
        if (m_request == nullptr || m_finishing) {
            return;
        }
        m_finishing = true;
        pump();
    }

    void abort() override
    {
        if (m_request == nullptr || m_whole) {
            return;
        }
        if (m_request->version < 0x200) {
            h2o_socket_t *socket = m_request->conn->callbacks->get_socket(m_request->conn);
            ::shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
        }
        if (!m_begun) {
            respond({statusBadGateway, {}, {}});
            return;
        }
        dropWaiting();
        m_isBroken = true;
        m_finishing = true;
        pump();
    }

    void onClosed(std::function<void()> hook) override
    {
        m_closed = std::move(hook);
    }

    [[nodiscard]] std::size_t unsent() const override
    {
        return m_kept - m_taken;
    }

    /*! @brief The request's memory is going; whatever is not sent by now never will be. */
    void detach()
    {
        m_request = nullptr;
        m_blocks.clear();
        m_kept = 0;
        m_taken = 0;
        settle();
        static_cast<void>(charge(0));
        if (const auto connection = m_connection.lock(); connection && m_hasBegunRequest) {
            connection->endRequest(m_requestBytes);
        }
        auto hook = std::exchange(m_closed, nullptr);
        if (!m_whole && hook) {
            hook();
        }
    }

    /*! @brief Tells if the caller has closed its end although the answer is not whole. */
    [[nodiscard]] bool hungUp() const
    {
        if (m_request == nullptr || m_finishing || m_request->version >= 0x200) {
            return false;
        }
        h2o_socket_t *socket = m_request->conn->callbacks->get_socket(m_request->conn);
        char byte = 0;
        const auto got = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    /*! @brief Calls the hook for a caller that has hung up. */
    void reportHungUp()
    {
        auto hook = std::exchange(m_closed, nullptr);
        if (hook) {
            hook();
        }
        // Whatever is written fails, and h2o then lets go of the connection.
        abort();
    }

private:
    /*! @brief Generator of h2o with the way back to the responder. */
    struct Generator
    {
        h2o_generator_t base;
        Responder *owner;
    };

    [[nodiscard]] std::size_t headBytes() const
    {
        std::size_t bytes = m_request->path.len;
        for (std::size_t index = 0; index < m_request->headers.size; ++index) {
            const h2o_header_t &header = m_request->headers.entries[index];
            bytes += header.name->len + header.value.len;
        }
        return bytes;
    }

    void writeHead(int status, const HttpHeaders &headers)
    {
        m_begun = true;
        if (m_closes) {
            m_request->http1_is_persistent = 0;
        }
        m_request->res.status = status;
        m_request->res.reason = "Status";
        countSent(headerBytes(headers));
        for (const auto &[name, value] : headers) {
            const h2o_iovec_t keptName = h2o_strdup(&m_request->pool, name.data(), name.size());
            h2o_strtolower(keptName.base, keptName.len);
            const h2o_iovec_t kept = h2o_strdup(&m_request->pool, value.data(), value.size());
            h2o_add_header_by_str(&m_request->pool, &m_request->res.headers, keptName.base, keptName.len, 1, nullptr,
                                  kept.base, kept.len);
        }
    }

    void start()
    {
        m_generator.base.proceed = [](h2o_generator_t *self, h2o_req_t *) {
            reinterpret_cast<Generator *>(self)->owner->proceed();
        };
        m_generator.base.stop = [](h2o_generator_t *, h2o_req_t *) {
        };
        m_generator.owner = this;
        h2o_start_response(m_request, &m_generator.base);
    }

    void countSent(std::size_t bytes) const
    {
        if (m_options.onTraffic) {
            m_options.onTraffic(0, bytes);
        }
    }

    /*! @brief The kernel has taken the last piece. */
    void proceed()
    {
        if (const auto connection = m_connection.lock()) {
            connection->recordSent(m_pieceBytes);
        }
        m_busy = false;
        m_taken += std::exchange(m_pieceBytes, 0);
        if (!m_blocks.empty() && m_taken == m_blocks.front().size()) {
            m_kept -= m_taken;
            m_blocks.pop_front();
            m_taken = 0;
        }
        settle();
        pump();
    }

    void pump()
    {
        if (!m_begun || m_busy || m_whole || (unsent() == 0 && !m_finishing)) {
            return;
        }
        const bool isLast = m_finishing && m_blocks.size() <= 1 && unsent() <= maxPieceBytes;
        const h2o_send_state_t last = m_isBroken ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
        sendNow(isLast ? last : H2O_SEND_STATE_IN_PROGRESS);
    }

    void sendNow(h2o_send_state_t state)
    {
        m_busy = true;
        m_whole = state != H2O_SEND_STATE_IN_PROGRESS;
        m_pieceBytes = m_blocks.empty() ? 0 : std::min(m_blocks.front().size() - m_taken, maxPieceBytes);
        countSent(m_pieceBytes);
        settle();
        h2o_iovec_t vector =
            h2o_iovec_init(m_pieceBytes == 0 ? nullptr : m_blocks.front().data() + m_taken, m_pieceBytes);
        h2o_send(m_request, &vector, m_pieceBytes == 0 ? 0 : 1, state);
    }

    /*! @brief Appends a block, or fills up the last one, which h2o must not be reading from. */
    void append(std::string_view piece)
    {
        m_kept += piece.size();
        while (!piece.empty()) {
            if (m_blocks.size() < 2 || m_blocks.back().size() >= maxPieceBytes) {
                m_blocks.emplace_back().reserve(std::min(piece.size(), maxPieceBytes));
            }
            const std::size_t bytes = std::min(piece.size(), maxPieceBytes - m_blocks.back().size());
            m_blocks.back().append(piece.substr(0, bytes));
            piece.remove_prefix(bytes);
        }
    }

    void append(std::string &&body)
    {
        m_kept += body.size();
        m_blocks.push_back(std::move(body));
    }

    /*! @brief Drops all blocks but the one that h2o may be reading from. */
    void dropWaiting()
    {
        while (m_blocks.size() > 1) {
            m_kept -= m_blocks.back().size();
            m_blocks.pop_back();
        }
        if (!m_busy && !m_blocks.empty()) {
            m_blocks.clear();
            m_kept = 0;
            m_taken = 0;
        }
    }

    /*! @brief Changes what is charged for the response; returns whether there is room. */
    [[nodiscard]] bool charge(std::size_t bytes)
    {
        const auto connection = m_connection.lock();
        if (!connection || !connection->chargeResponse(m_charged, bytes)) {
            return false;
        }
        m_charged = bytes;
        return true;
    }

    /*! @brief Charges what is kept now, which is no more than before. */
    void settle()
    {
        // A stream keeps room for its next event.
        const std::size_t kept = m_finishing ? m_kept : std::max(m_kept, ordinaryResponseBytes);
        if (kept < m_charged && m_begun) {
            static_cast<void>(charge(kept));
        }
        if (const auto connection = m_connection.lock()) {
            connection->setUnsent(m_reportedUnsent, unsent());
        }
        m_reportedUnsent = unsent();
    }

    void refuse(CallerRefusal refusal) const
    {
        if (m_options.onRefused) {
            m_options.onRefused(refusal);
        }
    }

    h2o_req_t *m_request;
    std::weak_ptr<internal::ServerConnection> m_connection;
    Loop &m_loop;
    const bool &m_closes;
    const HttpServerOptions &m_options;
    Generator m_generator{};
    std::function<void()> m_closed;
    /*! @brief Bytes to send, in blocks that are freed one by one; h2o reads from the first only. */
    std::deque<std::string> m_blocks;
    /*! @brief Bytes of all blocks. */
    std::size_t m_kept{};
    /*! @brief Bytes of the first block that the kernel has taken. */
    std::size_t m_taken{};
    /*! @brief Bytes of the piece that h2o is sending. */
    std::size_t m_pieceBytes{};
    std::size_t m_requestBytes{};
    std::size_t m_charged{};
    std::size_t m_reportedUnsent{};
    bool m_hasBegunRequest{};
    bool m_begun{};
    bool m_busy{};
    bool m_finishing{};
    /*! @brief The response ends before it is whole, which its caller has to see. */
    bool m_isBroken{};
    bool m_whole{};
};

/*! @brief Cell in the request's memory that keeps the responder alive and hears of the request's end. */
struct Anchor
{
    std::shared_ptr<Responder> responder;
    std::function<void()> ended;

    static void dispose(void *memory)
    {
        auto *anchor = static_cast<Anchor *>(memory);
        const Anchor kept = std::move(*anchor);
        anchor->~Anchor();
        kept.responder->detach();
        kept.ended();
    }
};

} // namespace

struct HttpServer::State
{
    /*! @brief Handler of h2o with the way back to the server. */
    struct Dispatcher
    {
        h2o_handler_t base;
        State *state;
    };

    struct Waiting
    {
        h2o_socket_t *socket;
        TimePoint since;
    };

    State(Loop &eventLoop, HttpServerOptions serverOptions, Handler requestHandler)
        : loop{eventLoop}
        , options{std::move(serverOptions)}
        , handler{std::move(requestHandler)}
        , maxConnections{options.maxConnections == 0 ? defaultMaxConnections() : options.maxConnections}
        , memory{options.memory ? options.memory
                                : std::make_shared<overload::MemoryAccount>(defaultMemoryLimit(), maxConnections)}
        , limits{options.maxHeadBytes, options.maxBodyBytes, options.idleTimeout, options.headTimeout,
                 options.minBytesPerSecond}
    {
        h2o_config_init(&config);
        config.http1.req_timeout = unusedTimeoutMs;
        config.http1.upgrade_to_http2 = options.speaksHttp2 ? 1 : 0;
        config.http2.idle_timeout = http2IdleTimeoutMs;
        config.http2.max_concurrent_requests_per_connection = maxHttp2Requests;
        setMaxBodyBytes(options.maxBodyBytes);
        config.server_name = h2o_iovec_init(H2O_STRLIT("bergamottide"));
        h2o_hostconf_t *host = h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), UINT16_MAX);
        h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
        auto *dispatcher = reinterpret_cast<Dispatcher *>(h2o_create_handler(path, sizeof(Dispatcher)));
        dispatcher->base.on_req = &State::onRequest;
        dispatcher->state = this;
        h2o_context_init(&context, loop.native(), &config);
        accept.ctx = &context;
        accept.hosts = config.hosts;
    }

    /*! @brief Sets the largest body; one that there can never be room for is too large, too. */
    void setMaxBodyBytes(std::size_t bytes)
    {
        limits.maxBodyBytes = std::min(bytes, memory->mostForOne() / chargedForEachBodyByte);
        config.max_request_entity_size = limits.maxBodyBytes;
    }

    static int onRequest(h2o_handler_t *self, h2o_req_t *request)
    {
        reinterpret_cast<Dispatcher *>(self)->state->handle(request);
        return 0;
    }

    void handle(h2o_req_t *request)
    {
        const h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
        const auto connection = internal::ServerConnection::of(socket).shared_from_this();
        auto responder = std::make_shared<Responder>(request, connection, loop, closes, options);
        void *cell = h2o_mem_alloc_shared(&request->pool, sizeof(Anchor), &Anchor::dispose);
        new (cell) Anchor{responder, [this, request, connection] {
                              forget(request, connection);
                          }};
        responders.push_back(responder);
        handled.insert(request);
        if (!isFramingUnambiguous(request)) {
            request->http1_is_persistent = 0;
            responder->respond({statusBadRequest, {}, {}});
            return;
        }
        if (!responder->beginRequest()) {
            request->http1_is_persistent = 0;
            responder->respond({statusUnavailable, {{"retry-after", "1"}}, {}});
            return;
        }
        HttpRequest received = read(request);
        if (options.onTraffic) {
            options.onTraffic(headerBytes(received.headers) + received.body.size(), 0);
        }
        handler(std::move(received), responder);
    }

    /*! @brief A request of h2o has ended; its connection may read the next one. */
    void forget(const h2o_req_t *request, const std::shared_ptr<internal::ServerConnection> &connection)
    {
        handled.erase(request);
        unguarded.push_back(connection);
    }

    /*! @brief Puts the connections that h2o reads again under guard; runs after each round. */
    void guardConnections()
    {
        for (const auto &connection : std::exchange(unguarded, {})) {
            connection->guard();
        }
    }

    /*! @brief Tells whether an HTTP/2 connection has a request that has not been handed on yet. */
    [[nodiscard]] bool hasUnfinishedRequest(const h2o_conn_t *connection)
    {
        struct Search
        {
            const State *state;
            const h2o_conn_t *connection;
        };
        Search search{this, connection};
        const auto isUnfinished = [](h2o_req_t *request, void *data) {
            const auto *wanted = static_cast<const Search *>(data);
            return request->conn == wanted->connection && !wanted->state->handled.contains(request) ? 1 : 0;
        };
        return config.http2.callbacks.foreach_request(&context, isUnfinished, &search) != 0;
    }

    /*! @brief Returns the HTTP/2 connections with a request that has not been handed on yet. */
    [[nodiscard]] std::unordered_set<const h2o_conn_t *> unfinishedHttp2Connections()
    {
        struct Search
        {
            const State *state;
            std::unordered_set<const h2o_conn_t *> found;
        };
        Search search{this, {}};
        const auto visit = [](h2o_req_t *request, void *data) {
            auto *present = static_cast<Search *>(data);
            if (!present->state->handled.contains(request)) {
                present->found.insert(request->conn);
            }
            return 0;
        };
        // Set by h2o once a connection speaks HTTP/2.
        if (options.speaksHttp2 && config.http2.callbacks.foreach_request != nullptr) {
            config.http2.callbacks.foreach_request(&context, visit, &search);
        }
        return std::move(search.found);
    }

    /*! @brief Checks the bytes that h2o has read the request from; HTTP/2 frames bodies in one way only. */
    static bool isFramingUnambiguous(h2o_req_t *request)
    {
        if (request->version >= 0x200) {
            return true;
        }
        const h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
        return internal::isFramingUnambiguous({socket->input->bytes, socket->input->size});
    }

    static HttpRequest read(h2o_req_t *request)
    {
        HttpRequest out;
        out.method = textOf(request->method);
        out.authority = textOf(request->authority);
        readTarget(textOf(request->path), out);
        for (std::size_t index = 0; index < request->headers.size; ++index) {
            const h2o_header_t &header = request->headers.entries[index];
            out.headers.emplace_back(textOf(*header.name), textOf(header.value));
        }
        if (request->entity.base != nullptr) {
            out.body = textOf(request->entity);
        }
        return out;
    }

    /*! @brief Reads a target in origin or absolute form (RFC 9112, section 3.2). */
    static void readTarget(std::string target, HttpRequest &out)
    {
        const auto schemeEnd = target.find("://");
        const bool isAbsolute = schemeEnd != std::string::npos && target.find_first_of("/?") == schemeEnd + 1;
        if (isAbsolute) {
            target.erase(0, schemeEnd + 3);
            const auto hostEnd = std::min(target.find_first_of("/?"), target.size());
            out.authority = target.substr(0, hostEnd);
            target.erase(0, hostEnd);
            if (target.empty() || target.front() == '?') {
                target.insert(0, 1, '/');
            }
        }
        const auto mark = target.find('?');
        out.path = target.substr(0, mark);
        out.query = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
        out.hasEmptyQuery = mark != std::string::npos && out.query.empty();
    }

    static void onAccept(h2o_socket_t *listener, const char *error)
    {
        auto *state = static_cast<State *>(listener->data);
        if (error == nullptr && !state->acceptAll()) {
            // Taken together at the next review: a wakeup for each would cost as much as serving some of them, and
            // without descriptors left there would be one in each round.
            h2o_socket_read_stop(listener);
            state->scheduleReview();
        }
    }

    /*! @brief Accepts the connections that the kernel holds; returns false if one was not served at once. */
    bool acceptAll()
    {
        bool allServed = true;
        // One connection a round would keep the others waiting while the loop has much to do.
        for (int count = 0; count < maxAccepts; ++count) {
            errno = 0;
            h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
            if (socket == nullptr) {
                return allServed && errno != EMFILE && errno != ENFILE && errno != ENOMEM && errno != ENOBUFS;
            }
            if (!makeRoom()) {
                refused(CallerRefusal::TooManyConnections);
                h2o_socket_close(socket);
                continue;
            }
            allServed = admit(socket) && allServed;
        }
        return allServed;
    }

    /*! @brief Serves a new connection, closes it or lets it wait; returns whether it is served. */
    bool admit(h2o_socket_t *socket)
    {
        if (!options.decideConnection) {
            serve(socket);
            return true;
        }
        const overload::ConnectionDecision decision = options.decideConnection({Duration::zero(), waiting.size()});
        if (decision == overload::ConnectionDecision::Wait) {
            waiting.push_back({socket, loop.now()});
        } else {
            carryOut(decision, socket);
        }
        return decision == overload::ConnectionDecision::Serve;
    }

    void carryOut(overload::ConnectionDecision decision, h2o_socket_t *socket)
    {
        if (decision == overload::ConnectionDecision::Serve) {
            serve(socket);
            return;
        }
        h2o_socket_close(socket);
    }

    void serve(h2o_socket_t *socket)
    {
        const int descriptor = h2o_socket_get_fd(socket);
        detectSilence(descriptor, options.unacknowledgedTimeout);
        boundBuffers(descriptor, socketBufferBytes);
        const auto connection =
            std::make_shared<internal::ServerConnection>(socket, accept.ssl_ctx != nullptr, connectionContext);
        connections.emplace(socket, connection);
        if (!connection->isCharged()) {
            refused(CallerRefusal::TooManyConnections);
            h2o_socket_close(socket);
            return;
        }
        h2o_accept(&accept, socket);
        connection->guard();
    }

    /*! @brief Closes a connection for a new one if there are too many; returns whether there is room. */
    bool makeRoom()
    {
        if (connections.size() + waiting.size() < maxConnections) {
            return true;
        }
        std::shared_ptr<internal::ServerConnection> victim;
        for (const auto &[socket, connection] : connections) {
            if (!connection->isIdle() && !connection->isReceiving()) {
                continue;
            }
            if (!victim || isReplacedBefore(*connection, *victim)) {
                victim = connection;
            }
        }
        if (!victim) {
            return false;
        }
        refused(CallerRefusal::ConnectionReplaced);
        victim->close();
        return connections.size() + waiting.size() < maxConnections;
    }

    /*! @brief Orders connections by how little is lost with them: idle ones first, then by age. */
    static bool isReplacedBefore(const internal::ServerConnection &one, const internal::ServerConnection &other)
    {
        return std::pair{!one.isIdle(), one.since()} < std::pair{!other.isIdle(), other.since()};
    }

    void refused(CallerRefusal refusal) const
    {
        if (options.onRefused) {
            options.onRefused(refusal);
        }
    }

    /*! @brief Closes the connections whose callers are too slow. */
    void reviewConnections()
    {
        const TimePoint now = loop.now();
        std::vector<std::shared_ptr<internal::ServerConnection>> present;
        present.reserve(connections.size());
        for (const auto &[socket, connection] : connections) {
            present.push_back(connection);
        }
        const auto unfinished = unfinishedHttp2Connections();
        for (const auto &connection : present) {
            connection->forgetFinishedRequests(
                [&unfinished](const h2o_conn_t *one) { return unfinished.contains(one); });
            connection->review(now);
        }
        connectionTimer = loop.at(now + connectionReviewPeriod, [this] { reviewConnections(); });
    }

    /*! @brief Decides again on the connections that wait, then on new ones. */
    void review()
    {
        reviewTimer = {};
        while (!waiting.empty()) {
            const Waiting first = waiting.front();
            const auto decision = options.decideConnection({loop.now() - first.since, 0});
            if (decision == overload::ConnectionDecision::Wait) {
                break;
            }
            waiting.pop_front();
            carryOut(decision, first.socket);
        }
        if (!acceptAll() || !waiting.empty()) {
            scheduleReview();
            return;
        }
        h2o_socket_read_start(listener, &State::onAccept);
    }

    void scheduleReview()
    {
        if (reviewTimer == TimerId{}) {
            reviewTimer = loop.at(loop.now() + reviewPeriod, [this] { review(); });
        }
    }

    void closeWaiting()
    {
        loop.cancel(std::exchange(reviewTimer, {}));
        for (const Waiting &connection : std::exchange(waiting, {})) {
            h2o_socket_close(connection.socket);
        }
    }

    /*! @brief Looks for callers that closed while their answer is under way; HTTP/1.1 tells of it in no other way. */
    void pollClosed()
    {
        for (auto next = responders.begin(); next != responders.end();) {
            const auto responder = next->lock();
            if (!responder) {
                next = responders.erase(next);
                continue;
            }
            if (responder->hungUp()) {
                responder->reportHungUp();
            }
            ++next;
        }
        timer = loop.at(loop.now() + options.closePollPeriod, [this] { pollClosed(); });
    }

    Loop &loop;
    HttpServerOptions options;
    Handler handler;
    std::size_t maxConnections;
    std::shared_ptr<overload::MemoryAccount> memory;
    internal::ConnectionLimits limits;
    internal::ConnectionContext connectionContext{loop,
                                                  *memory,
                                                  limits,
                                                  [this](CallerRefusal refusal) { refused(refusal); },
                                                  [this](h2o_socket_t *socket) { connections.erase(socket); },
                                                  [this](const h2o_conn_t *connection) {
                                                      return hasUnfinishedRequest(connection);
                                                  }};
    std::unordered_map<h2o_socket_t *, std::shared_ptr<internal::ServerConnection>> connections;
    /*! @brief Connections that h2o may read again since a request of theirs has ended. */
    std::vector<std::shared_ptr<internal::ServerConnection>> unguarded;
    /*! @brief Requests of h2o that have been handed on and have not ended. */
    std::unordered_set<const h2o_req_t *> handled;
    std::uint64_t roundHook{loop.addRoundHook([this] { guardConnections(); })};
    TimerId connectionTimer{};
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept{};
    TlsContext tls;
    h2o_socket_t *listener{};
    std::string address;
    Responders responders;
    /*! @brief Accepted connections of which nothing has been read, in order. */
    std::deque<Waiting> waiting;
    TimerId reviewTimer{};
    bool closes{};
    TimerId timer{};
};

HttpServer::HttpServer(Loop &loop, HttpServerOptions options, Handler handler)
    : m_state{std::make_unique<State>(loop, std::move(options), std::move(handler))}
{
}

HttpServer::~HttpServer()
{
    // Connections may outlive the server inside h2o, so its context has to stay; what the handler holds need not.
    m_state->loop.cancel(m_state->timer);
    m_state->loop.cancel(m_state->connectionTimer);
    m_state->closeWaiting();
    if (m_state->listener != nullptr) {
        h2o_socket_close(m_state->listener);
        m_state->listener = nullptr;
    }
    m_state->handler = [](HttpRequest, const std::shared_ptr<HttpResponder> &responder) {
        responder->respond({503, {}, {}});
    };
    m_state->options.onTraffic = {};
    m_state->options.onRefused = {};
    static_cast<void>(m_state.release());
}

absl::Status HttpServer::listen()
{
    if (!m_state->options.tls.empty()) {
        if (const absl::Status status = reloadTls(); !status.ok()) {
            return status;
        }
    }
    const auto address = parseSocketAddress(m_state->options.listen);
    if (!address.ok()) {
        return address.status();
    }
    const auto descriptor = listenOn(*address);
    if (!descriptor.ok()) {
        return descriptor.status();
    }
    m_state->address = boundAddress(*descriptor);
    m_state->listener = h2o_evloop_socket_create(m_state->loop.native(), *descriptor, H2O_SOCKET_FLAG_DONT_READ);
    m_state->listener->data = m_state.get();
    h2o_socket_read_start(m_state->listener, &State::onAccept);
    m_state->pollClosed();
    m_state->reviewConnections();
    return absl::OkStatus();
}

std::string HttpServer::address() const
{
    return m_state->address;
}

void HttpServer::setMaxBodyBytes(std::size_t bytes)
{
    m_state->setMaxBodyBytes(bytes);
}

std::size_t HttpServer::maxBodyBytes() const
{
    return m_state->limits.maxBodyBytes;
}

void HttpServer::setHeadLimits(std::size_t maxHeadBytes, Duration headTimeout, Duration idleTimeout)
{
    m_state->limits.maxHeadBytes = maxHeadBytes;
    m_state->limits.headTimeout = headTimeout;
    m_state->limits.idleTimeout = idleTimeout;
}

void HttpServer::closeAfterAnswers()
{
    m_state->closes = true;
}

void HttpServer::shutdown()
{
    m_state->closeWaiting();
    if (m_state->listener != nullptr) {
        h2o_socket_close(m_state->listener);
        m_state->listener = nullptr;
    }
    h2o_context_request_shutdown(&m_state->context);
}

absl::Status HttpServer::reloadTls()
{
    if (m_state->options.tls.empty()) {
        return absl::OkStatus();
    }
    auto context = makeServerContext(m_state->options.tls, m_state->options.speaksHttp2);
    if (!context.ok()) {
        return context.status();
    }
    // Connections made with the former context hold references of their own.
    m_state->tls = *std::move(context);
    m_state->accept.ssl_ctx = m_state->tls.get();
    return absl::OkStatus();
}

} // namespace bergamottide
