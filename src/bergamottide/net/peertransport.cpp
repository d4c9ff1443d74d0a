#include "bergamottide/net/peertransport.h"

#include "bergamottide/core/error.h"
#include "bergamottide/net/codec.h"
#include "bergamottide/net/peercredentials.h"
#include "bergamottide/net/peerstream.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bergamottide {

namespace {

using internal::PeerStream;
using internal::StreamHooks;

/*! @brief Largest frame read, in bytes; above the limit of what may wait for one write. */
constexpr int maxFrameBytes = 64 << 20;
/*! @brief Period of HTTP/2 pings on an idle connection, in milliseconds; finds ends that are gone. */
constexpr int keepaliveMs = 10'000;
/*! @brief Silence after a ping that closes the connection, in milliseconds. */
constexpr int keepaliveTimeoutMs = 3'000;
/*! @brief Shortest period of pings accepted from a peer, in milliseconds. */
constexpr int shortestPingMs = 5'000;

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    // A channel of its own connection: a new stream must not end up on a connection that has gone silent.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetMaxReceiveMessageSize(maxFrameBytes);
    return arguments;
}

} // namespace

struct PeerTransport::State : std::enable_shared_from_this<PeerTransport::State>
{
    /*! @brief Identity of a stream within this process. */
    using StreamId = std::uint64_t;

    /*! @brief A peer, whether it has a stream or not. */
    struct Link
    {
        /*! @brief Where to open streams; empty for a peer that opens them itself. */
        std::string address;
        StreamId stream{};
        bool up{};
        Duration backoff{};
        TimerId timer{};
    };

    /*! @brief A stream, known by its peer only after the first message. */
    struct Stream
    {
        std::shared_ptr<PeerStream> stream;
        InstanceName peer;
        /*! @brief The peer's `Hello` has come. */
        bool greeted{};
    };

    State(Loop &eventLoop, PeerTransportOptions transportOptions, PeerHooks peerHooks)
        : loop{eventLoop}
        , options{std::move(transportOptions)}
        , hooks{std::move(peerHooks)}
        , credentials{internal::channelCredentials(options.tls)}
    {
    }

    /*! @brief Makes hooks that hand everything to the loop's thread; the destructor waits for their last call. */
    StreamHooks forward(StreamId id)
    {
        const std::lock_guard lock{mutex};
        ++liveStreams;
        StreamHooks forwarded;
        forwarded.received = [this, id](wire::Frame frame) {
            forwardFrame(id, std::move(frame));
        };
        forwarded.ended = [this, id](std::shared_ptr<PeerStream> stream) {
            forwardEnd(id, std::move(stream));
        };
        return forwarded;
    }

    /*! @brief On a thread of gRPC. */
    void forwardFrame(StreamId id, wire::Frame frame)
    {
        receivedBytes += frame.ByteSizeLong();
        auto kept = std::make_shared<wire::Frame>(std::move(frame));
        loop.post([weak = weak_from_this(), id, kept] {
            if (const auto state = weak.lock()) {
                state->received(id, *kept);
            }
        });
    }

    /*! @brief On a thread of gRPC; the stream is kept for the loop's thread to destroy. */
    void forwardEnd(StreamId id, std::shared_ptr<PeerStream> stream)
    {
        loop.post([weak = weak_from_this(), id] {
            if (const auto state = weak.lock()) {
                state->ended(id);
                state->destroyEnded();
            }
        });
        const std::lock_guard lock{mutex};
        endedStreams.push_back(std::move(stream));
        --liveStreams;
        allEnded.notify_all();
    }

    void destroyEnded()
    {
        std::vector<std::shared_ptr<PeerStream>> gone;
        const std::lock_guard lock{mutex};
        gone.swap(endedStreams);
    }

    /*! @brief Waits until gRPC calls no hook any more. */
    void waitForEnd()
    {
        std::unique_lock lock{mutex};
        allEnded.wait(lock, [this] { return liveStreams == 0; });
    }

    /*! @brief A peer has opened a stream; on a thread of gRPC. */
    StreamHooks accepted(const std::shared_ptr<PeerStream> &stream)
    {
        const StreamId id = nextStream++;
        loop.post([weak = weak_from_this(), id, stream] {
            if (const auto state = weak.lock()) {
                state->streams.emplace(id, Stream{stream, {}, false});
                state->greet(*stream);
            }
        });
        return forward(id);
    }

    void greet(PeerStream &stream)
    {
        write(stream, toFrame(options.hello));
    }

    void write(PeerStream &stream, wire::Frame frame)
    {
        sentBytes += frame.ByteSizeLong();
        stream.send(std::move(frame));
    }

    void open(const InstanceName &peer, Link &link)
    {
        loop.cancel(link.timer);
        const StreamId id = nextStream++;
        const auto channel = grpc::CreateCustomChannel(link.address, credentials, channelArguments());
        auto stream = internal::openStream(channel, forward(id), options.maxUnsentBytes);
        streams.emplace(id, Stream{stream, peer, false});
        replace(link, id);
        greet(*stream);
    }

    /*! @brief Puts a stream in use for a link and closes the one before it. */
    void replace(Link &link, StreamId id)
    {
        const StreamId former = std::exchange(link.stream, id);
        const auto found = streams.find(former);
        if (found == streams.end() || former == id) {
            return;
        }
        const auto stream = found->second.stream;
        streams.erase(found);
        stream->close();
    }

    void received(StreamId id, wire::Frame &frame)
    {
        if (frame.body_case() != wire::Frame::kBatch) {
            receivedOne(id, frame);
            return;
        }
        for (wire::Frame &one : *frame.mutable_batch()->mutable_frames()) {
            receivedOne(id, one);
        }
    }

    void receivedOne(StreamId id, wire::Frame &frame)
    {
        const auto found = streams.find(id);
        if (found == streams.end()) {
            return;
        }
        auto message = fromFrame(frame);
        if (!message) {
            return;
        }
        if (const auto *hello = std::get_if<Hello>(&*message); hello != nullptr && !found->second.greeted) {
            greeted(id, found->second, *hello);
        }
        const auto again = streams.find(id);
        if (again == streams.end() || !again->second.greeted) {
            return;
        }
        const InstanceName peer = again->second.peer;
        hooks.received(peer, *std::move(message));
    }

    /*! @brief The first `Hello` names the peer; a stream that reached another instance than meant is closed. */
    void greeted(StreamId id, Stream &stream, const Hello &hello)
    {
        if (!stream.peer.empty() && stream.peer != hello.instance) {
            stream.stream->close();
            return;
        }
        stream.peer = hello.instance;
        stream.greeted = true;
        Link &link = links[hello.instance];
        replace(link, id);
        link.backoff = Duration::zero();
        link.up = true;
        hooks.up(hello.instance);
    }

    void ended(StreamId id)
    {
        const auto found = streams.find(id);
        if (found == streams.end()) {
            return;
        }
        const InstanceName peer = found->second.peer;
        streams.erase(found);
        const auto link = links.find(peer);
        if (link == links.end() || link->second.stream != id) {
            return;
        }
        link->second.stream = 0;
        const bool wasUp = std::exchange(link->second.up, false);
        if (link->second.address.empty()) {
            links.erase(link);
        } else {
            scheduleOpen(peer, link->second);
        }
        if (wasUp) {
            hooks.down(peer);
        }
    }

    void scheduleOpen(const InstanceName &peer, Link &link)
    {
        link.backoff = std::clamp(link.backoff * 2, options.firstBackoff, options.longestBackoff);
        const std::weak_ptr<State> weak = weak_from_this();
        link.timer = loop.at(loop.now() + link.backoff, [weak, peer] {
            const auto state = weak.lock();
            if (!state) {
                return;
            }
            const auto found = state->links.find(peer);
            if (found != state->links.end() && found->second.stream == 0) {
                state->open(peer, found->second);
            }
        });
    }

    Loop &loop;
    PeerTransportOptions options;
    PeerHooks hooks;
    std::shared_ptr<grpc::ChannelCredentials> credentials;
    std::unique_ptr<internal::PeerService> service;
    std::unique_ptr<grpc::Server> server;
    std::string address;
    std::map<InstanceName, Link> links;
    std::unordered_map<StreamId, Stream> streams;
    std::atomic<StreamId> nextStream{1};
    std::atomic<std::uint64_t> sentBytes{};
    std::atomic<std::uint64_t> receivedBytes{};
    std::mutex mutex;
    std::condition_variable allEnded;
    std::size_t liveStreams{};
    std::vector<std::shared_ptr<PeerStream>> endedStreams;
};

PeerTransport::PeerTransport(Loop &loop, PeerTransportOptions options, PeerHooks hooks)
    : m_state{std::make_shared<State>(loop, std::move(options), std::move(hooks))}
{
}

PeerTransport::~PeerTransport()
{
    for (auto &[peer, link] : m_state->links) {
        m_state->loop.cancel(link.timer);
    }
    for (auto &[id, stream] : m_state->streams) {
        stream.stream->close();
    }
    if (m_state->server) {
        m_state->server->Shutdown(std::chrono::system_clock::now());
        m_state->server->Wait();
    }
    m_state->waitForEnd();
    m_state->streams.clear();
    m_state->destroyEnded();
}

absl::Status PeerTransport::listen()
{
    if (m_state->options.listen.empty()) {
        return absl::OkStatus();
    }
    State *state = m_state.get();
    m_state->service = std::make_unique<internal::PeerService>(
        [state](const std::shared_ptr<PeerStream> &stream) { return state->accepted(stream); },
        m_state->options.maxUnsentBytes);
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(m_state->options.listen, internal::serverCredentials(m_state->options.tls), &port);
    builder.RegisterService(m_state->service.get());
    builder.SetMaxReceiveMessageSize(maxFrameBytes);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, shortestPingMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    m_state->server = builder.BuildAndStart();
    if (!m_state->server || port == 0) {
        return makeError(Reason::ConnectionLost, "listen", "The address for peers cannot be listened on.");
    }
    const std::string &wanted = m_state->options.listen;
    m_state->address = absl::StrCat(wanted.substr(0, wanted.rfind(':')), ":", port);
    return absl::OkStatus();
}

std::string PeerTransport::address() const
{
    return m_state->address;
}

void PeerTransport::connect(const InstanceName &peer, const std::string &address)
{
    auto &link = m_state->links[peer];
    if (link.address == address) {
        return;
    }
    link.address = address;
    m_state->open(peer, link);
}

void PeerTransport::disconnect(const InstanceName &peer)
{
    const auto found = m_state->links.find(peer);
    if (found == m_state->links.end()) {
        return;
    }
    m_state->loop.cancel(found->second.timer);
    m_state->replace(found->second, 0);
    const bool wasUp = found->second.up;
    m_state->links.erase(found);
    if (wasUp) {
        m_state->hooks.down(peer);
    }
}

void PeerTransport::reopen(const InstanceName &peer)
{
    const auto found = m_state->links.find(peer);
    if (found == m_state->links.end() || found->second.address.empty()) {
        return;
    }
    m_state->open(peer, found->second);
    found->second.up = false;
    // In the next round: the caller may be in the midst of carrying out effects.
    m_state->loop.post([weak = m_state->weak_from_this(), peer] {
        if (const auto state = weak.lock()) {
            state->hooks.down(peer);
        }
    });
}

void PeerTransport::send(const InstanceName &peer, const Message &message)
{
    const auto link = m_state->links.find(peer);
    if (link == m_state->links.end()) {
        return;
    }
    const auto stream = m_state->streams.find(link->second.stream);
    if (stream != m_state->streams.end()) {
        m_state->write(*stream->second.stream, toFrame(message));
    }
}

std::uint64_t PeerTransport::bytes() const noexcept
{
    return m_state->sentBytes + m_state->receivedBytes;
}

} // namespace bergamottide
