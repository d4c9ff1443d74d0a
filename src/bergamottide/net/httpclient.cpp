#include "bergamottide/net/httpclient.h"

#include "bergamottide/net/headcheck.h"
#include "bergamottide/net/socketaddress.h"
#include "bergamottide/net/tlscontext.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/socket.h>

namespace bergamottide {

namespace {

/*! @brief Time an idle connection is kept, in milliseconds; below the servers' own limit. */
constexpr std::uint64_t idleMs = 10'000;

/*!
 * @brief Timeout of h2o's own, in milliseconds: a year.
 *
 * h2o measures by the time of day, whose jumps would break every call; the silence of calls is measured here instead.
 */
constexpr std::uint64_t unusedTimeoutMs = 365ULL * 24 * 3600 * 1000;
/*! @brief Period in which calls are looked at for silence; a call is given up this much late at most. */
constexpr Duration silencePeriod = std::chrono::milliseconds{250};

/*! @brief Bytes on the wire for each byte of a body, in chunks of a single byte. */
constexpr std::size_t maxWireBytesPerByte = 6;

/*! @brief Buffers of the kernel for each connection and direction, in bytes. */
constexpr int socketBufferBytes = 256 << 10;

std::shared_ptr<const std::string> takeBody(HttpRequest &request)
{
    return request.sharedBody ? std::move(request.sharedBody)
                              : std::make_shared<const std::string>(std::move(request.body));
}

std::string writeHead(const std::string &address, const HttpRequest &request)
{
    const std::size_t bodyBytes = request.sharedBody ? request.sharedBody->size() : request.body.size();
    std::string head =
        absl::StrCat(request.method, " ", requestTarget(request),
                     " HTTP/1.1\r\nhost: ", request.authority.empty() ? address : request.authority, "\r\n");
    for (const auto &[name, value] : request.headers) {
        absl::StrAppend(&head, name, ": ", value, "\r\n");
    }
    if (bodyBytes != 0 || request.method == "POST" || request.method == "PUT") {
        absl::StrAppend(&head, "content-length: ", bodyBytes, "\r\n");
    }
    head += "\r\n";
    return head;
}

} // namespace

struct HttpClient::State
{
    /*! @brief Connections to one address. */
    struct Target
    {
        h2o_socketpool_t pool{};
        SocketAddress address;
    };

    /*! @brief One call in progress. */
    struct Call
    {
        State *state{};
        HttpCallId id{};
        HttpCallHooks hooks;
        /*! @brief Null once h2o has closed it, or closes it on the way out of the present callback. */
        h2o_http1client_t *client{};
        std::string head;
        std::shared_ptr<const std::string> body;
        std::array<h2o_iovec_t, 2> buffers{};
        bool isHead{};
        bool cancelled{};
        /*! @brief Time of the start or of the last bytes received. */
        TimePoint activeAt{};
        /*! @brief Reader of h2o for a body that ends with its connection, behind the check of how that ends. */
        h2o_socket_cb bodyReader{};
        /*! @brief The connection stands and the request is on its way. */
        bool connected{};
        TimerId connectTimer{};
        int status{};
        HttpHeaders headers;
        std::string received;
        /*! @brief Bytes of the body that count toward the sum of all calls. */
        std::size_t collectedBytes{};
        std::size_t receivedBytes{};
        /*! @brief Bytes read behind the head, frames of chunks included, of a body without length. */
        std::size_t framedBytes{};
        /*! @brief Bytes read before the head was whole, interim answers included. */
        std::size_t headBytes{};
        /*! @brief Reader of h2o that waits behind the check of the head; null until the check is in place. */
        h2o_socket_cb headReader{};
    };

    State(Loop &eventLoop, HttpClientOptions clientOptions)
        : loop{eventLoop}
        , options{std::move(clientOptions)}
        , roundHook{loop.addRoundHook([this] { guardHeads(); })}
    {
        h2o_timeout_init(loop.native(), &ioTimeout, unusedTimeoutMs);
        h2o_multithread_register_receiver(loop.queue(), &getaddrReceiver, h2o_hostinfo_getaddr_receiver);
        context.loop = loop.native();
        context.getaddr_receiver = &getaddrReceiver;
        context.io_timeout = &ioTimeout;
        if (!options.authority.empty()) {
            auto made = makeClientContext(options.authority);
            tls = made.ok() ? *made : nullptr;
            context.ssl_ctx = tls.get();
        }
    }

    Target *target(const std::string &address)
    {
        const auto found = targets.find(address);
        if (found != targets.end()) {
            return found->second.get();
        }
        auto parsed = parseSocketAddress(address);
        if (!parsed.ok()) {
            return nullptr;
        }
        auto made = std::make_unique<Target>();
        made->address = *parsed;
        h2o_socketpool_init_by_address(&made->pool, made->address.native(), made->address.length,
                                       options.authority.empty() ? 0 : 1, options.idleConnections);
        h2o_socketpool_set_timeout(&made->pool, loop.native(), idleMs);
        return targets.emplace(address, std::move(made)).first->second.get();
    }

    void start(Call &call, const std::string &address, Connection connection)
    {
        Target *to = target(address);
        if (to == nullptr) {
            fail(call, HttpFailure::Connect);
            return;
        }
        if (options.connectTimeout > Duration::zero()) {
            call.connectTimer =
                loop.at(loop.now() + options.connectTimeout, [this, id = call.id] { giveUpConnect(id); });
        }
        if (connection == Connection::Pooled) {
            h2o_http1client_connect_with_pool(&call.client, &call, &context, &to->pool, &State::onConnect);
            return;
        }
        const h2o_iovec_t host = h2o_iovec_init(to->address.host.data(), to->address.host.size());
        h2o_http1client_connect(&call.client, &call, &context, host, to->address.port,
                                options.authority.empty() ? 0 : 1, &State::onConnect);
    }

    /*! @brief Ends a call; its hook runs in the next round, so that it may start and cancel calls freely. */
    void end(Call &call, std::function<void(const HttpCallHooks &)> report)
    {
        call.client = nullptr;
        loop.cancel(call.connectTimer);
        releaseCollected(call);
        auto node = calls.extract(call.id);
        if (call.cancelled) {
            graveyard(std::move(node.mapped()));
            return;
        }
        ended.emplace(call.id, std::move(node.mapped()));
        const HttpCallId id = call.id;
        loop.post([this, id, report = std::move(report), alive = std::weak_ptr<int>{life}] {
            if (alive.expired()) {
                return;
            }
            const auto found = ended.extract(id);
            if (!found.empty()) {
                report(found.mapped()->hooks);
            }
        });
    }

    /*! @brief Fails calls that have been silent for too long. */
    void reviewSilence()
    {
        silenceTimer = {};
        std::vector<Call *> silent;
        for (const auto &[id, call] : calls) {
            if (!call->cancelled && loop.now() - call->activeAt > options.ioTimeout) {
                silent.push_back(call.get());
            }
        }
        for (Call *call : silent) {
            h2o_http1client_t *client = call->client;
            fail(*call, call->connected ? HttpFailure::Broken : HttpFailure::ConnectTimeout);
            if (client != nullptr) {
                h2o_http1client_cancel(client);
            }
        }
        armSilence();
    }

    void armSilence()
    {
        if (silenceTimer == TimerId{} && !calls.empty()) {
            silenceTimer = loop.at(loop.now() + silencePeriod, [this] { reviewSilence(); });
        }
    }

    /*! @brief Fails a call whose connection has not come about in time. */
    void giveUpConnect(HttpCallId id)
    {
        const auto found = calls.find(id);
        if (found == calls.end()) {
            return;
        }
        Call &call = *found->second;
        call.connectTimer = {};
        if (call.connected || call.cancelled) {
            return;
        }
        h2o_http1client_t *client = call.client;
        fail(call, HttpFailure::ConnectTimeout);
        if (client != nullptr) {
            h2o_http1client_cancel(client);
        }
    }

    /*! @brief Destroys a call after the present callback of h2o has returned. */
    void graveyard(std::unique_ptr<Call> call)
    {
        loop.post([kept = std::shared_ptr<Call>{std::move(call)}] {});
    }

    void fail(Call &call, HttpFailure failure)
    {
        end(call, [failure](const HttpCallHooks &hooks) {
            if (hooks.failed) {
                hooks.failed(failure);
            }
        });
    }

    void complete(Call &call)
    {
        auto answer = std::make_shared<HttpResponse>(
            HttpResponse{call.status, std::move(call.headers), std::move(call.received)});
        end(call, [answer](const HttpCallHooks &hooks) {
            if (hooks.done) {
                hooks.done(std::move(*answer));
            }
        });
    }

    void cancel(HttpCallId id)
    {
        ended.erase(id);
        const auto found = calls.find(id);
        if (found == calls.end()) {
            return;
        }
        found->second->cancelled = true;
        found->second->hooks = {};
        loop.post([this, id, alive = std::weak_ptr<int>{life}] {
            if (!alive.expired()) {
                closeCancelled(id);
            }
        });
    }

    void closeCancelled(HttpCallId id)
    {
        const auto node = calls.extract(id);
        if (node.empty()) {
            return;
        }
        loop.cancel(node.mapped()->connectTimer);
        releaseCollected(*node.mapped());
        if (node.mapped()->client != nullptr) {
            h2o_http1client_cancel(node.mapped()->client);
        }
    }

    static h2o_http1client_head_cb onConnect(h2o_http1client_t *client, const char *error, h2o_iovec_t **buffers,
                                             size_t *count, int *isHead)
    {
        auto &call = *static_cast<Call *>(client->data);
        if (error != nullptr || call.cancelled) {
            call.state->fail(call, HttpFailure::Connect);
            return nullptr;
        }
        call.connected = true;
        call.state->loop.cancel(call.connectTimer);
        call.connectTimer = {};
        const int descriptor = h2o_socket_get_fd(client->sock);
        detectSilence(descriptor, call.state->options.unacknowledgedTimeout);
        boundBuffers(descriptor, socketBufferBytes);
        call.buffers = {h2o_iovec_init(call.head.data(), call.head.size()),
                        h2o_iovec_init(call.body->data(), call.body->size())};
        *buffers = call.buffers.data();
        *count = call.body->empty() ? 1 : 2;
        *isHead = call.isHead ? 1 : 0;
        call.state->countTraffic(0, call.head.size() + call.body->size());
        call.activeAt = call.state->loop.now();
        call.state->unguarded.push_back(call.id);
        return &State::onHead;
    }

    /**
     * @brief Puts the check of the head before h2o's reader, once h2o has set that after its write.
     *
     * Runs after each round; the head itself can come in the next round at the earliest.
     */
    void guardHeads()
    {
        std::erase_if(unguarded, [this](HttpCallId id) {
            const auto found = calls.find(id);
            if (found == calls.end() || found->second->client == nullptr) {
                return true;
            }
            Call &call = *found->second;
            h2o_socket_t *socket = call.client->sock;
            if (socket->_cb.read == nullptr) {
                return false;
            }
            if (call.headReader == nullptr) {
                call.headReader = std::exchange(socket->_cb.read, &State::onRawHead);
            } else {
                call.bodyReader = std::exchange(socket->_cb.read, &State::onRawBody);
            }
            return true;
        });
    }

    static void onRawHead(h2o_socket_t *socket, const char *error)
    {
        // h2o keeps its client in the socket, and the client keeps the call.
        auto *client = static_cast<h2o_http1client_t *>(socket->data);
        auto &call = *static_cast<Call *>(client->data);
        const std::size_t maxBytes = call.state->options.maxHeadBytes;
        const auto state = internal::checkHead({socket->input->bytes, socket->input->size});
        call.headBytes += socket->bytes_read;
        const bool isEndless = state == internal::HeadState::Incomplete && call.headBytes > maxBytes;
        if (error != nullptr || (state != internal::HeadState::Malformed && !isEndless)) {
            call.headReader(socket, error);
            return;
        }
        call.state->fail(call, isEndless ? HttpFailure::TooLarge : HttpFailure::Malformed);
        h2o_http1client_cancel(client);
    }

    /*!
     * @brief Tells a whole body from one that was cut off, where h2o does not.
     *
     * h2o takes any end of the connection as the end of a body without length, a reset too, and a close between two
     * chunks as the end of a chunked one. It reads chunk extensions and trailers without a bound.
     */
    static void onRawBody(h2o_socket_t *socket, const char *error)
    {
        auto *client = static_cast<h2o_http1client_t *>(socket->data);
        auto &call = *static_cast<Call *>(client->data);
        const bool mayEnd = error == h2o_socket_error_closed && headerValue(call.headers, "transfer-encoding").empty();
        const bool isEndless =
            call.framedBytes > call.state->options.maxHeadBytes + maxWireBytesPerByte * call.receivedBytes;
        call.framedBytes += socket->bytes_read;
        if ((error == nullptr && !isEndless) || mayEnd) {
            call.bodyReader(socket, error);
            return;
        }
        call.state->fail(call, error == nullptr ? HttpFailure::TooLarge : HttpFailure::Broken);
        h2o_http1client_cancel(client);
    }

    static h2o_http1client_body_cb onHead(h2o_http1client_t *client, const char *error, int, int status, h2o_iovec_t,
                                          h2o_header_t *headers, size_t count, int)
    {
        auto &call = *static_cast<Call *>(client->data);
        const bool whole = error == h2o_http1client_error_is_eos;
        if ((error != nullptr && !whole) || call.cancelled) {
            call.state->fail(call, HttpFailure::Broken);
            return nullptr;
        }
        call.status = status;
        call.activeAt = call.state->loop.now();
        if (!call.state->readHeaders(call, headers, count)) {
            call.state->fail(call, HttpFailure::TooLarge);
            return nullptr;
        }
        const auto hook = call.hooks.head;
        if (hook) {
            hook(call.status, call.headers);
        }
        if (whole) {
            call.state->complete(call);
            closeIfCancelled(call, client);
            return nullptr;
        }
        if (headerValue(call.headers, "content-length").empty()
            || !headerValue(call.headers, "transfer-encoding").empty()) {
            call.state->unguarded.push_back(call.id);
        }
        return &State::onBody;
    }

    bool readHeaders(Call &call, const h2o_header_t *headers, size_t count) const
    {
        std::size_t bytes = 0;
        for (std::size_t index = 0; index < count; ++index) {
            const h2o_header_t &header = headers[index];
            bytes += header.name->len + header.value.len;
            if (bytes > options.maxHeadBytes) {
                return false;
            }
            call.headers.emplace_back(std::string{header.name->base, header.name->len},
                                      std::string{header.value.base, header.value.len});
        }
        countTraffic(bytes, 0);
        return true;
    }

    static int onBody(h2o_http1client_t *client, const char *error)
    {
        auto &call = *static_cast<Call *>(client->data);
        if (call.cancelled || (error != nullptr && error != h2o_http1client_error_is_eos)) {
            call.state->fail(call, HttpFailure::Broken);
            closeIfCancelled(call, client);
            return -1;
        }
        if (!call.state->takeBody(call)) {
            call.state->fail(call, HttpFailure::TooLarge);
            return -1;
        }
        if (error != nullptr) {
            call.state->complete(call);
            closeIfCancelled(call, client);
        }
        return 0;
    }

    /*!
     * @brief Closes the connection of a call that a hook has cancelled at the end of its answer.
     *
     * h2o takes it for one to keep, but it does not use one again that has been shut down.
     */
    static void closeIfCancelled(const Call &call, const h2o_http1client_t *client)
    {
        if (call.cancelled) {
            static_cast<void>(::shutdown(h2o_socket_get_fd(client->sock), SHUT_RDWR));
        }
    }

    void countTraffic(std::size_t received, std::size_t sent) const
    {
        if (options.onTraffic) {
            options.onTraffic(received, sent);
        }
    }

    /*! @brief Counts a piece of a body that is kept; returns false if there is no room for it. */
    [[nodiscard]] bool collect(Call &call, std::size_t bytes)
    {
        call.collectedBytes += bytes;
        collectedSum += bytes;
        return call.collectedBytes <= options.maxCollectedBytes && collectedSum <= options.maxCollectedSum;
    }

    void releaseCollected(Call &call)
    {
        collectedSum -= std::exchange(call.collectedBytes, 0);
    }

    bool takeBody(Call &call)
    {
        h2o_buffer_t **input = &call.client->sock->input;
        const std::string piece{(*input)->bytes, (*input)->size};
        h2o_buffer_consume(input, (*input)->size);
        call.receivedBytes += piece.size();
        countTraffic(piece.size(), 0);
        call.activeAt = loop.now();
        if (call.receivedBytes > options.maxBodyBytes) {
            return false;
        }
        // The hook may cancel the call, which clears its hooks; the copy survives that.
        const auto hook = call.hooks.piece;
        if (!hook) {
            if (!collect(call, piece.size())) {
                return false;
            }
            call.received += piece;
            return true;
        }
        if (!piece.empty()) {
            hook(piece);
        }
        return true;
    }

    Loop &loop;
    HttpClientOptions options;
    std::uint64_t roundHook;
    /*! @brief Calls whose request is under way but whose head is not checked yet. */
    std::vector<HttpCallId> unguarded;
    h2o_timeout_t ioTimeout{};
    h2o_multithread_receiver_t getaddrReceiver{};
    h2o_http1client_ctx_t context{};
    TlsContext tls;
    std::map<std::string, std::unique_ptr<Target>> targets;
    std::map<HttpCallId, std::unique_ptr<Call>> calls;
    /*! @brief Calls whose last hook waits for the next round. */
    std::map<HttpCallId, std::unique_ptr<Call>> ended;
    std::uint64_t nextCall{1};
    /*! @brief Sum of `Call::collectedBytes`. */
    std::size_t collectedSum{};
    TimerId silenceTimer{};
    /*! @brief Expires with the client, for tasks that come later. */
    std::shared_ptr<int> life{std::make_shared<int>()};
};

HttpClient::HttpClient(Loop &loop, HttpClientOptions options)
    : m_state{std::make_unique<State>(loop, std::move(options))}
{
}

HttpClient::~HttpClient()
{
    m_state->loop.removeRoundHook(m_state->roundHook);
    m_state->loop.cancel(m_state->silenceTimer);
    for (const auto &[id, call] : m_state->calls) {
        if (call->client != nullptr) {
            h2o_http1client_cancel(call->client);
        }
    }
    for (const auto &[address, target] : m_state->targets) {
        h2o_socketpool_dispose(&target->pool);
    }
    h2o_multithread_unregister_receiver(m_state->loop.queue(), &m_state->getaddrReceiver);
    h2o_timeout_dispose(m_state->loop.native(), &m_state->ioTimeout);
}

HttpCallId HttpClient::call(const std::string &address, HttpRequest request, HttpCallHooks hooks, Connection connection)
{
    const HttpCallId id{m_state->nextCall++};
    auto call = std::make_unique<State::Call>();
    call->state = m_state.get();
    call->id = id;
    call->hooks = std::move(hooks);
    call->head = writeHead(address, request);
    call->body = takeBody(request);
    call->isHead = request.method == "HEAD";
    call->activeAt = m_state->loop.now();
    State::Call &kept = *m_state->calls.emplace(id, std::move(call)).first->second;
    m_state->start(kept, address, connection);
    m_state->armSilence();
    return id;
}

void HttpClient::cancel(HttpCallId call)
{
    m_state->cancel(call);
}

std::size_t HttpClient::inProgress() const noexcept
{
    return m_state->calls.size() + m_state->ended.size();
}

} // namespace bergamottide
