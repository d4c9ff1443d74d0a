#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/heartbeat.h"
#include "bergamottide/gossip/membershipview.h"
#include "bergamottide/gossip/roster.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief Gossip membership of the fleet: discovers live peers from a few seeds and selects the owner of each queue.
 *
 * Up to sixteen processes of high capacity are relays. They exchange heartbeats with each other, and every other
 * process exchanges heartbeats with two relays. The load of an ordinary process is therefore independent of the size of
 * the fleet, and each relay serves only a part of it. The relays are a function of the live peers: processes
 * with the same membership agree on them without coordination.
 *
 * The queue of a stage pool has one owner among the relays, selected by rendezvous hashing. While memberships differ,
 * two owners may send work to the same endpoints, which costs time but not correctness.
 */
class Peers
{
public:
    /**
     * @brief Creates a membership that contains only this process.
     * @param self This process.
     * @param incarnation Random number of this start of the process.
     * @param seeds Addresses of peers to contact first; they may be out of date.
     */
    Peers(PeerInfo self, std::uint64_t incarnation, const std::vector<std::string> &seeds);

    // The cached membership view points into the peer table.
    Peers(const Peers &) = delete;
    Peers &operator=(const Peers &) = delete;
    Peers(Peers &&) = default;
    Peers &operator=(Peers &&) = default;
    ~Peers() = default;

    /*! @brief Adds seed addresses; earlier ones are kept. */
    void addSeeds(const std::vector<std::string> &seeds);

    /*! @brief Returns the number of seed addresses without that of this process. */
    [[nodiscard]] std::size_t otherSeeds() const noexcept;

    /*! @brief Applies a heartbeat that was received as a request or as the response to one. */
    void handleHeartbeat(const Heartbeat &heartbeat, TimePoint now);

    /*! @brief Sets whether this process can own queues. While no peer can, it owns all of them in any case. */
    void setCanOwnQueues(bool canOwnQueues) noexcept;

    /*!
     * @brief Marks a peer as unreachable after a failed call.
     *
     * It counts as dead until its next heartbeat. A peer known only from rosters counts as alive again after the peer
     * timeout.
     */
    void markUnreachable(const InstanceName &peer, TimePoint now);

    /**
     * @brief Returns the addresses to which a heartbeat is due, and records that it is sent.
     * @param now Current time.
     */
    [[nodiscard]] std::vector<std::string> takeDueAddresses(TimePoint now);

    /**
     * @brief Records that this process stood still, so that its peers do not count as silent for that time.
     * @param from Start of the pause.
     * @param until End of the pause.
     */
    void recordPause(TimePoint from, TimePoint until);

    /*! @brief Makes heartbeats to the relays of this process due at once. */
    void expediteHeartbeats(TimePoint now);

    /**
     * @brief Adds the roster, and on a relay the waits, upcoming work and engine reports of other peers.
     * @param heartbeat Heartbeat that contains the state of this process.
     * @param to Address of the receiver.
     * @param now Current time.
     */
    void fillHeartbeat(Heartbeat &heartbeat, const std::string &to, TimePoint now) const;

    /*! @brief Returns the version of this process's gossip that the peer with an address has received. */
    [[nodiscard]] std::uint64_t acknowledgedGossip(const std::string &address, TimePoint now) const;

    /*! @brief Returns the live peers that do not drain, without this process. */
    [[nodiscard]] std::vector<PeerInfo> live(TimePoint now) const;

    /*! @brief Returns the number of live peers that do not drain, without this process. */
    [[nodiscard]] std::size_t liveCount(TimePoint now) const;

    /*! @brief Returns the relays without this process. */
    [[nodiscard]] std::vector<PeerInfo> relays(TimePoint now) const;

    /*! @brief Tells if this process is a relay. */
    [[nodiscard]] bool isRelay(TimePoint now) const;

    /**
     * @brief Returns the owner of a pool's queue.
     * @param pool Pool.
     * @param now Current time.
     * @return The peer, or nothing if this process owns the queue.
     */
    [[nodiscard]] std::optional<PeerInfo> queueOwner(const PoolName &pool, TimePoint now) const;

    /**
     * @brief Returns the peers that read the platform's store on behalf of this process.
     *
     * In a larger fleet only a few relays read it, so that calls to the platform do not grow with the fleet.
     * @param now Current time.
     * @return Addresses in order of preference; empty if this process reads the store itself.
     */
    [[nodiscard]] std::vector<std::string> storeReaders(TimePoint now) const;

    /**
     * @brief Divides units of a limited resource among the processes of the fleet and returns this process's share.
     *
     * Peers that died recently keep their shares, so that the sides of a network partition together never exceed the
     * total. A process that has just started has no share, since it does not know all peers yet.
     * @param key Resource. If there are fewer units than processes, the key determines which processes get one.
     * @param units Total number of units.
     * @param now Current time.
     */
    [[nodiscard]] std::uint32_t share(const std::string &key, std::uint32_t units, TimePoint now) const;

    /*! @brief Returns the interval of heartbeats; it is shorter during initial discovery. */
    [[nodiscard]] Duration heartbeatInterval() const;

    /**
     * @brief Returns whether initial discovery is over, so that queue owners are reliable.
     *
     * It ends when no new peer has appeared for some heartbeats, at the latest after a second.
     */
    [[nodiscard]] bool isDiscoveryFinished(TimePoint now) const;

    /*! @brief Returns the last known incarnation of a peer; zero if unknown. */
    [[nodiscard]] std::uint64_t incarnationOf(const InstanceName &peer) const;

    /*! @brief Returns whether a peer is alive; a draining peer is, too. */
    [[nodiscard]] bool isLive(const InstanceName &peer, TimePoint now) const;

    /*! @brief Returns the wait that a queue owner reported for work of a workspace at a pool: the longest of all ranks
     * up to the given one. */
    [[nodiscard]] std::optional<PoolWait> reportedWait(const InstanceName &peer, const PoolName &pool, int rank,
                                                       const WorkspaceName &workspace, TimePoint now) const;

    /**
     * @brief Returns the number of pieces, of the given rank or a more urgent one, that have yet to reach a pool.
     * @param own Pieces of this process.
     */
    [[nodiscard]] std::uint64_t upcomingPieces(const PoolName &pool, int rank, std::uint64_t own, TimePoint now) const;

    /*! @brief Returns this process. */
    [[nodiscard]] const PeerInfo &self() const noexcept;

    /*! @brief Returns how often the membership view was rebuilt; each rebuild is linear in the size of the fleet. */
    [[nodiscard]] std::size_t viewsBuilt() const noexcept;

private:
    /*! @brief Last engine report of a process. */
    struct ReceivedReport
    {
        engines::EngineReport report;
        TimePoint receivedAt{};
        /*! @brief Received from the process itself, not from a relay. */
        bool isDirect{};
    };

    void addRelayedWork(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const;
    void addRelayedReports(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const;
    [[nodiscard]] bool mergeRoster(const Heartbeat &heartbeat, PeerState &reporter, TimePoint now);
    void removeExpiredPeers(TimePoint now);
    [[nodiscard]] std::vector<std::string> probeTargets(TimePoint now) const;
    void mergeReports(const Heartbeat &heartbeat, TimePoint now);
    [[nodiscard]] const MembershipView &view(TimePoint now) const;
    void updateRoster() const;
    void addRoster(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const;

    PeerInfo m_self;
    bool m_canOwnQueues{};
    std::set<std::string> m_seeds;
    /*! @brief Known addresses and the time of the last heartbeat to each. */
    std::map<std::string, TimePoint> m_lastSentAt;
    /*! @brief When addresses without a live peer were last probed. */
    TimePoint m_lastProbedAt{};
    /*! @brief Time between the last probe and the next one. */
    Duration m_probeInterval{};
    PeerStates m_peers;
    /*! @brief Engine reports by origin; forwarded until they expire. */
    std::map<InstanceName, ReceivedReport> m_reports;
    /*! @brief Time of the first heartbeat from any peer; the epoch if there was none. */
    TimePoint m_firstHeardAt{};
    /*! @brief When discovery started. */
    TimePoint m_startedAt{};
    /*! @brief When the last new peer was discovered. */
    TimePoint m_lastDiscoveredAt{};
    bool m_isDiscoveryFinished{};
    /*! @brief Cached view; null after a change of the peers. */
    mutable std::unique_ptr<MembershipView> m_view;
    /*! @brief Follows the view. */
    mutable Roster m_roster;
    mutable std::size_t m_viewsBuilt{};
};

} // namespace bergamottide::serving
