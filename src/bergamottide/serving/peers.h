#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamottide::serving {

/*! @brief Another process of the same kind. */
struct PeerInfo
{
    InstanceName instance;
    /*! @brief Where it listens for its peers. */
    std::string address;
};

/*! @brief Wait that new work of a rank, or a more urgent one, finds at a stage pool. */
struct PoolWait
{
    PoolName pool;
    int rank{};
    Duration wait{};
    /*! @brief Time by which each further piece ahead lengthens the wait. */
    Duration perPiece{};
    /*! @brief Typical number of items of a call, which last together. */
    double items{1.0};
    /*! @brief Share of the endpoints' memory for results that is taken, from 0 to 1. */
    double roomTaken{};
};

/*! @brief Pieces of admitted requests that have yet to reach a stage pool. */
struct PoolWork
{
    PoolName pool;
    int rank{};
    std::uint64_t pieces{};
};

/*! @brief What a process tells its peers several times a second. */
struct Heartbeat
{
    PeerInfo from;
    std::uint64_t incarnation{};
    /*! @brief It takes no new work. */
    bool draining{};
    /*! @brief It knows what is served and by whom, and can keep queues. */
    bool keepsQueues{};
    /*! @brief Version of the configuration that it has in force. */
    std::uint64_t version{};
    /*! @brief Peers that it has heard of lately. */
    std::vector<PeerInfo> peers;
    /*! @brief Waits at the pools whose queue it keeps. */
    std::vector<PoolWait> waits;
    /*! @brief Work of its own requests that is on its way to the pools. */
    std::vector<PoolWork> upcoming;
};

/*! @brief Period of heartbeats: four of them fit into the silence after which a peer counts as gone. */
inline constexpr Duration heartbeatPeriod = std::chrono::milliseconds{200};

/**
 * @brief Peers that are alive, learnt from a few seeds and from each other, and which of them keeps which queue.
 *
 * The queue of a stage pool has one keeper among the live peers, drawn by rendezvous hashing: processes that see the
 * same peers agree without talking. While they do not, two keepers send work to the same endpoints, which costs time
 * but breaks nothing.
 */
class Peers
{
public:
    /**
     * @brief Creates a view with nobody but this process.
     * @param self This process.
     * @param seeds Addresses of peers to ask first; they may be out of date.
     */
    Peers(PeerInfo self, const std::vector<std::string> &seeds);

    /*! @brief Takes what a peer told, as a question or an answer. */
    void heard(const Heartbeat &heartbeat, TimePoint now);

    /*! @brief Sets whether this process can keep queues; it keeps them all the same while no peer can. */
    void setKeepsQueues(bool keepsQueues) noexcept;

    /*! @brief Notes that a call to a peer has failed: it counts as gone until it is heard again. */
    void unreached(const InstanceName &peer);

    /**
     * @brief Returns the addresses that are due for a heartbeat.
     * @param now Present time.
     */
    [[nodiscard]] std::vector<std::string> due(TimePoint now);

    /*! @brief Returns the peers that are alive and take work, without this process. */
    [[nodiscard]] std::vector<PeerInfo> live(TimePoint now) const;

    /**
     * @brief Returns the keeper of a pool's queue.
     * @param pool Pool.
     * @param now Present time.
     * @return The peer, or nothing if it is this process.
     */
    [[nodiscard]] std::optional<PeerInfo> keeper(const PoolName &pool, TimePoint now) const;

    /*! @brief Returns the incarnation that a peer told; zero if it is not known. */
    [[nodiscard]] std::uint64_t incarnationOf(const InstanceName &peer) const;

    /*! @brief Tells if a peer is alive; it may drain. */
    [[nodiscard]] bool isLive(const InstanceName &peer, TimePoint now) const;

    /*! @brief Returns the wait that a keeper told for a pool and rank: the longest of the ranks up to it. */
    [[nodiscard]] std::optional<PoolWait> toldWait(const InstanceName &peer, const PoolName &pool, int rank) const;

    /*! @brief Returns the pieces of a rank or a more urgent one that live peers told to be on their way to a pool. */
    [[nodiscard]] std::uint64_t upcoming(const PoolName &pool, int rank, TimePoint now) const;

    /*! @brief Returns this process. */
    [[nodiscard]] const PeerInfo &self() const noexcept;

private:
    struct Peer
    {
        PeerInfo info;
        std::uint64_t incarnation{};
        TimePoint heardAt{};
        bool draining{};
        bool keepsQueues{};
        bool isUnreached{};
        std::vector<PoolWait> waits;
        std::vector<PoolWork> upcoming;
    };

    void forgetGone(TimePoint now);

    PeerInfo m_self;
    bool m_keepsQueues{};
    std::set<std::string> m_seeds;
    /*! @brief Addresses to ask, and when each was asked last. */
    std::map<std::string, TimePoint> m_askedAt;
    std::map<InstanceName, Peer> m_peers;
};

} // namespace bergamottide::serving
