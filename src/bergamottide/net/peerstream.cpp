#include "bergamottide/net/peerstream.h"

#include <utility>

namespace bergamottide::internal {

namespace {

/*! @brief End of a stream that this process has opened. */
class ClientStream final : public PeerStream, public grpc::ClientBidiReactor<wire::Frame, wire::Frame>
{
public:
    ClientStream(const std::shared_ptr<grpc::Channel> &channel, StreamHooks hooks, std::size_t maxUnsentBytes)
        : PeerStream{maxUnsentBytes}
        , m_stub{wire::Peer::NewStub(channel)}
        , m_hooks{std::move(hooks)}
    {
    }

    void start(std::shared_ptr<ClientStream> self)
    {
        m_self = std::move(self);
        m_stub->async()->Exchange(&m_context, this);
        // Writes come from outside of the reactor's own callbacks; the hold keeps it alive for them.
        AddHold();
        StartRead(&m_incoming);
        StartCall();
    }

    void close() override
    {
        m_context.TryCancel();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            readEnded();
            return;
        }
        m_hooks.received(std::move(m_incoming));
        m_incoming.Clear();
        StartRead(&m_incoming);
    }

    void OnWriteDone(bool ok) override
    {
        writeDone(ok);
    }

    void OnDone(const grpc::Status &) override
    {
        // The object may go while the hook runs, so the hook must not live in it.
        const auto ended = std::move(m_hooks.ended);
        ended(std::move(m_self));
    }

private:
    void startWrite(const wire::Frame *frame) override
    {
        StartWrite(frame);
    }

    void release() override
    {
        RemoveHold();
    }

    grpc::ClientContext m_context;
    std::unique_ptr<wire::Peer::Stub> m_stub;
    StreamHooks m_hooks;
    wire::Frame m_incoming;
    std::shared_ptr<ClientStream> m_self;
};

/*! @brief End of a stream that a peer has opened. */
class ServerStream final : public PeerStream, public grpc::ServerBidiReactor<wire::Frame, wire::Frame>
{
public:
    ServerStream(grpc::CallbackServerContext *context, std::size_t maxUnsentBytes)
        : PeerStream{maxUnsentBytes}
        , m_context{context}
    {
    }

    void start(std::shared_ptr<ServerStream> self, StreamHooks hooks)
    {
        m_self = std::move(self);
        m_hooks = std::move(hooks);
        StartRead(&m_incoming);
    }

    void close() override
    {
        const std::lock_guard lock{m_contextMutex};
        if (m_context != nullptr) {
            m_context->TryCancel();
        }
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            readEnded();
            return;
        }
        m_hooks.received(std::move(m_incoming));
        m_incoming.Clear();
        StartRead(&m_incoming);
    }

    void OnWriteDone(bool ok) override
    {
        writeDone(ok);
    }

    void OnDone() override
    {
        {
            const std::lock_guard lock{m_contextMutex};
            m_context = nullptr;
        }
        // The object may go while the hook runs, so the hook must not live in it.
        const auto ended = std::move(m_hooks.ended);
        ended(std::move(m_self));
    }

private:
    void startWrite(const wire::Frame *frame) override
    {
        StartWrite(frame);
    }

    void release() override
    {
        Finish(grpc::Status::OK);
    }

    std::mutex m_contextMutex;
    /*! @brief Null once gRPC is done with the stream. */
    grpc::CallbackServerContext *m_context;
    StreamHooks m_hooks;
    wire::Frame m_incoming;
    std::shared_ptr<ServerStream> m_self;
};

} // namespace

void PeerStream::send(wire::Frame frame)
{
    bool tooMuch = false;
    {
        const std::lock_guard lock{m_mutex};
        if (m_readEnded) {
            return;
        }
        m_waitingBytes += frame.ByteSizeLong();
        m_waiting.push_back(std::move(frame));
        tooMuch = m_waitingBytes > m_maxUnsentBytes;
        if (!m_writing) {
            writeNext();
        }
    }
    if (tooMuch) {
        close();
    }
}

void PeerStream::writeDone(bool ok)
{
    bool over = false;
    {
        const std::lock_guard lock{m_mutex};
        m_writing = false;
        if (ok && !m_readEnded && !m_waiting.empty()) {
            writeNext();
        }
        over = claimRelease();
    }
    if (over) {
        release();
    }
}

void PeerStream::readEnded()
{
    bool over = false;
    {
        const std::lock_guard lock{m_mutex};
        m_readEnded = true;
        over = claimRelease();
    }
    if (over) {
        release();
    }
}

bool PeerStream::claimRelease()
{
    if (!m_readEnded || m_writing || m_released) {
        return false;
    }
    m_released = true;
    return true;
}

void PeerStream::writeNext()
{
    m_current = takeWaiting();
    m_writing = true;
    startWrite(&m_current);
}

wire::Frame PeerStream::takeWaiting()
{
    m_waitingBytes = 0;
    if (m_waiting.size() == 1) {
        wire::Frame frame = std::move(m_waiting.front());
        m_waiting.clear();
        return frame;
    }
    wire::Frame batch;
    auto *frames = batch.mutable_batch()->mutable_frames();
    frames->Reserve(static_cast<int>(m_waiting.size()));
    for (wire::Frame &frame : m_waiting) {
        *frames->Add() = std::move(frame);
    }
    m_waiting.clear();
    return batch;
}

std::shared_ptr<PeerStream> openStream(const std::shared_ptr<grpc::Channel> &channel, StreamHooks hooks,
                                       std::size_t maxUnsentBytes)
{
    auto stream = std::make_shared<ClientStream>(channel, std::move(hooks), maxUnsentBytes);
    stream->start(stream);
    return stream;
}

PeerService::PeerService(AcceptHook accepted, std::size_t maxUnsentBytes)
    : m_accepted{std::move(accepted)}
    , m_maxUnsentBytes{maxUnsentBytes}
{
}

grpc::ServerBidiReactor<wire::Frame, wire::Frame> *PeerService::Exchange(grpc::CallbackServerContext *context)
{
    auto stream = std::make_shared<ServerStream>(context, m_maxUnsentBytes);
    StreamHooks hooks = m_accepted(stream);
    stream->start(stream, std::move(hooks));
    return stream.get();
}

} // namespace bergamottide::internal
