#pragma once

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace bergamottide::internal {

class PeerStream;

/*! @brief What a stream tells its owner; called on threads of gRPC. */
struct StreamHooks
{
    std::function<void(wire::Frame frame)> received;
    /**
     * @brief The stream has ended; the last call.
     *
     * It gets the stream itself, to be destroyed on another thread: with the last stream goes the last
     * channel, and gRPC then joins the very threads that call these hooks.
     */
    std::function<void(std::shared_ptr<PeerStream> stream)> ended;
};

/**
 * @brief One stream of frames, from either end; every function may be called from any thread.
 *
 * gRPC takes one write at a time; frames that come meanwhile wait and leave together as one batch.
 */
class PeerStream
{
public:
    PeerStream(const PeerStream &) = delete;
    PeerStream &operator=(const PeerStream &) = delete;
    virtual ~PeerStream() = default;

    /**
     * @brief Sends a frame, or keeps it until the write before it is done.
     * @param frame Frame to send; dropped once the stream has ended. A stream with more bytes
     * waiting than its limit is closed: its peer does not read.
     */
    void send(wire::Frame frame);

    /*! @brief Ends the stream; `ended` follows. */
    virtual void close() = 0;

protected:
    /**
     * @brief Creates a stream.
     * @param maxUnsentBytes Bytes waiting above which the stream is closed.
     */
    explicit PeerStream(std::size_t maxUnsentBytes)
        : m_maxUnsentBytes{maxUnsentBytes}
    {
    }

    /*! @brief Hands a frame to gRPC; called with no other write in progress. */
    virtual void startWrite(const wire::Frame *frame) = 0;
    /*! @brief Called once when reading has ended and no write is in progress. */
    virtual void release() = 0;

    void writeDone(bool ok);
    void readEnded();

private:
    [[nodiscard]] bool claimRelease();
    void writeNext();
    [[nodiscard]] wire::Frame takeWaiting();

    std::size_t m_maxUnsentBytes;
    std::mutex m_mutex;
    std::vector<wire::Frame> m_waiting;
    std::size_t m_waitingBytes{};
    wire::Frame m_current;
    bool m_writing{};
    bool m_readEnded{};
    bool m_released{};
};

/**
 * @brief Opens a stream to a peer.
 * @param channel Channel to the peer.
 * @param hooks What to call.
 * @param maxUnsentBytes Bytes waiting above which the stream is closed.
 * @return The stream; it stays alive until it has ended.
 */
[[nodiscard]] std::shared_ptr<PeerStream> openStream(const std::shared_ptr<grpc::Channel> &channel, StreamHooks hooks,
                                                     std::size_t maxUnsentBytes);

/*! @brief Service that accepts streams. */
class PeerService final : public wire::Peer::CallbackService
{
public:
    /*! @brief Called for each new stream, on a thread of gRPC; returns the hooks of the stream. */
    using AcceptHook = std::function<StreamHooks(const std::shared_ptr<PeerStream> &stream)>;

    /**
     * @brief Creates the service.
     * @param accepted Called for each new stream.
     * @param maxUnsentBytes Bytes waiting above which a stream is closed.
     */
    PeerService(AcceptHook accepted, std::size_t maxUnsentBytes);

    grpc::ServerBidiReactor<wire::Frame, wire::Frame> *Exchange(grpc::CallbackServerContext *context) override;

private:
    AcceptHook m_accepted;
    std::size_t m_maxUnsentBytes;
};

} // namespace bergamottide::internal
