#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/heartbeat.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bergamottide::serving {

/*! @brief State of a peer as known to this process. */
struct PeerState
{
    PeerInfo info;
    std::uint64_t incarnation{};
    /*! @brief Time of its last heartbeat; the epoch if it is known only from rosters. */
    TimePoint lastHeartbeatAt{};
    /*! @brief That time has been moved over a pause of this process; only a heartbeat allows that again. */
    bool isMovedOverPause{};
    /*! @brief When a roster first named it, or it was last alive; the epoch if neither has been. */
    TimePoint lastKnownAt{};
    bool draining{};
    bool canOwnQueues{};
    bool isRelay{};
    /*! @brief End of the time for which it counts as dead after a failed call. */
    TimePoint unreachableUntil{};
    /*! @brief Its last roster: peers, and whether each can own queues. */
    std::map<InstanceName, bool> roster;
    /*! @brief Version of its roster that this process has received. */
    std::uint64_t rosterVersion{};
    /*! @brief Version of this process's roster that it has received. */
    std::uint64_t acknowledgedRoster{};
    /*! @brief It asks for the roster of this process. */
    bool wantsRoster{};
    /*! @brief Version of its gossip that this process has received. */
    std::uint64_t gossipVersion{};
    /*! @brief Version of this process's gossip that it has received. */
    std::uint64_t acknowledgedGossip{};
    std::vector<PoolWait> waits;
    std::vector<UpcomingWork> upcoming;

    /*! @brief Returns whether its own heartbeats arrive here within the timeout. */
    [[nodiscard]] bool hasRecentHeartbeat(TimePoint now) const;
};

using PeerStates = std::map<InstanceName, PeerState>;

/*! @brief A live peer that does not drain. */
struct Member
{
    const PeerState *peer{};
    /*! @brief Its own heartbeats arrive here; otherwise it is known from relays. */
    bool isDirect{};
    bool canOwnQueues{};
};

/**
 * @brief Immutable snapshot of the live peers and of the roles derived from them: relays, readers and owners.
 *
 * It is valid until a peer changes state. Processes with the same members derive the same roles.
 */
class MembershipView
{
public:
    /**
     * @brief Builds the view.
     * @param self This process.
     * @param canOwnQueues Whether this process can own queues.
     * @param peers All known peers; must outlive the view.
     * @param now Current time.
     */
    MembershipView(const PeerInfo &self, bool canOwnQueues, const PeerStates &peers, TimePoint now);

    /*! @brief Returns whether no timeout has changed the state of a peer since the view was built. */
    [[nodiscard]] bool isValid(TimePoint now);

    /*! @brief Returns the live peers that do not drain, ordered by name. */
    [[nodiscard]] const std::vector<Member> &live() const noexcept;

    /*! @brief Returns the entry of a live peer that does not drain, or null. */
    [[nodiscard]] const Member *find(const PeerState *peer) const;

    /*! @brief Returns whether a peer is alive; a draining peer is, too. */
    [[nodiscard]] bool isAlive(const PeerState *peer) const;

    /*! @brief Returns the peer with an address, or null; of several the one with the latest heartbeat. */
    [[nodiscard]] const PeerState *findByAddress(const std::string &address) const;

    /*! @brief Returns whether this process is a relay. */
    [[nodiscard]] bool isRelay() const noexcept;

    /*! @brief Returns the relays without this process. */
    [[nodiscard]] std::vector<PeerInfo> otherRelays() const;

    /*!
     * @brief Returns the peers with which this process exchanges heartbeats.
     *
     * On a process that is not a relay the first one is the primary relay, in the zone of this process if possible.
     */
    [[nodiscard]] const std::vector<InstanceName> &partners() const noexcept;

    /*! @brief Returns whether a peer is one of those with which this process exchanges heartbeats. */
    [[nodiscard]] bool isPartner(const PeerState *peer) const;

    /*! @brief Returns whether heartbeats of a relay of this process arrive here. */
    [[nodiscard]] bool hearsRelay() const noexcept;

    /*!
     * @brief Returns the addresses of the peers that read the platform's store for this process, best first.
     *
     * Empty if this process reads the store itself.
     */
    [[nodiscard]] const std::vector<std::string> &storeReaders() const noexcept;

    /*! @brief Returns whether a peer that is not a relay has its primary relay in another zone than this process. */
    [[nodiscard]] bool isServedByOtherRelay(const PeerInfo &peer) const;

    /*! @brief Returns the owner of a pool's queue; nothing if this process owns it. */
    [[nodiscard]] const std::optional<PeerInfo> &queueOwner(const PoolName &pool) const;

    /*! @brief Returns the share of this process in units that are divided among all processes, dead ones included. */
    [[nodiscard]] std::uint32_t share(const std::string &key, std::uint32_t units) const;

private:
    /*! @brief State of a process according to the rosters of the relays. */
    struct RosterState
    {
        bool isListed{};
        bool canOwnQueues{};
    };

    /*! @brief A process that is a relay or a candidate for one. */
    struct Relay
    {
        PeerInfo info;
        bool canOwnQueues{};
    };

    void collectMembers(const PeerStates &peers, TimePoint now);
    static void sortByScore(std::vector<Relay> &relays, std::string_view key);
    [[nodiscard]] static std::vector<Relay> selectAcrossZones(std::vector<Relay> candidates, std::string_view key,
                                                              std::size_t limit);
    void selectRelays(bool canOwnQueues);
    void selectPartners(const PeerStates &peers, TimePoint now);
    void selectStoreReaders();
    [[nodiscard]] static std::map<InstanceName, RosterState> collectRosters(const PeerStates &peers, TimePoint now);
    [[nodiscard]] std::optional<PeerInfo> selectOwner(const PoolName &pool) const;
    [[nodiscard]] std::uint32_t computeShare(const std::string &key, std::uint32_t units) const;

    /*! @brief A peer whose state changes with time alone. */
    struct TimedPeer
    {
        const PeerState *peer{};
        bool isUnreachable{};
    };

    PeerInfo m_self;
    /*! @brief Earliest time at which a peer may change state. */
    TimePoint m_validUntil{TimePoint::max()};
    std::vector<TimedPeer> m_timedPeers;
    /*! @brief All known peers, dead ones included. */
    std::vector<const PeerState *> m_allPeers;
    std::vector<Member> m_live;
    /*! @brief Position of each live peer in m_live. */
    absl::flat_hash_map<const PeerState *, std::size_t> m_liveIndex;
    /*! @brief Live peers that drain. */
    std::set<const PeerState *> m_draining;
    absl::flat_hash_map<std::string, std::vector<const PeerState *>> m_peersByAddress;
    std::vector<Relay> m_relays;
    std::set<ZoneName> m_relayZones;
    std::vector<InstanceName> m_partners;
    bool m_hearsRelay{};
    std::vector<std::string> m_storeReaders;
    bool m_isRelay{};
    /*! @brief Results of earlier lookups. */
    mutable std::map<PoolName, std::optional<PeerInfo>> m_ownerCache;
    mutable std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> m_shareCache;
};

/*! @brief Returns the score by which rendezvous hashing ranks a process for a key; the highest wins. */
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view key, const InstanceName &process);

/*! @brief Silence after which a peer counts as dead: short, since only then its tasks are repeated elsewhere. */
inline constexpr Duration peerTimeout = std::chrono::milliseconds{900};

/*! @brief Rendezvous hashing key of the relay selection. */
inline constexpr std::string_view relayKey = "relay";

} // namespace bergamottide::serving
