#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/heartbeat.h"

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

/*! @brief What a process knows of one peer. */
struct PeerState
{
    PeerInfo info;
    std::uint64_t incarnation{};
    /*! @brief When it was heard itself; the epoch if it is known from others only. */
    TimePoint heardAt{};
    /*! @brief When others last told of it; the epoch if none has. */
    TimePoint toldAt{};
    bool draining{};
    bool ownsQueues{};
    bool isRelay{};
    /*! @brief A call to it has failed; it counts as gone until then. */
    TimePoint unreachedUntil{};
    /*! @brief Peers that it told of, whether each owns queues, and the digest that it told with them. */
    std::map<InstanceName, bool> roster;
    std::uint64_t rosterDigest{};
    /*! @brief Digest of the roster that it last got from here. */
    std::uint64_t knownDigest{};
    std::vector<PoolWait> waits;
    std::vector<PoolWork> upcoming;

    /*! @brief Tells if its own heartbeats come in. */
    [[nodiscard]] bool isHeard(TimePoint now) const;
};

using PeerStates = std::map<InstanceName, PeerState>;

/*! @brief A peer that is alive and takes work. */
struct Member
{
    const PeerState *peer{};
    bool isHeard{};
    bool ownsQueues{};
    /*! @brief Digest of what a roster tells of it. */
    std::uint64_t digest{};
};

/**
 * @brief Who is alive, and which processes relay heartbeats, read the platform and own queues as follows from it.
 *
 * Holds for as long as nobody counts differently. Processes with the same members come to the same answers.
 */
class MembershipView
{
public:
    /**
     * @brief Works the view out.
     * @param self This process.
     * @param ownsQueues This process can own queues.
     * @param peers Peers; each outlives the view.
     * @param now Present time.
     */
    MembershipView(const PeerInfo &self, bool ownsQueues, const PeerStates &peers, TimePoint now);

    /*! @brief Tells if nobody counts differently merely because time has passed. */
    [[nodiscard]] bool holds(TimePoint now) const noexcept;

    /*! @brief Returns the peers that are alive and take work, by name. */
    [[nodiscard]] const std::vector<Member> &live() const noexcept;

    /*! @brief Returns a peer that is alive and takes work, or null. */
    [[nodiscard]] const Member *find(const PeerState *peer) const;

    /*! @brief Tells if a peer is alive; it may drain. */
    [[nodiscard]] bool isAlive(const PeerState *peer) const;

    /*! @brief Returns the peer at an address that was heard last, or null. */
    [[nodiscard]] const PeerState *atAddress(const std::string &address) const;

    /*! @brief Tells if this process is a relay. */
    [[nodiscard]] bool isRelay() const noexcept;

    /*! @brief Returns the peers that this process exchanges heartbeats with; unless it is a relay, the nearest first.
     */
    [[nodiscard]] const std::vector<InstanceName> &partners() const noexcept;

    /*! @brief Returns addresses of those who read the platform for this process, in the order in which to ask. */
    [[nodiscard]] const std::vector<std::string> &readers() const noexcept;

    /*! @brief Tells if a process that is no relay gets all news from another relay, of its own zone. */
    [[nodiscard]] bool isToldByAnother(const PeerInfo &peer) const;

    /*! @brief Returns the digest of the roster of all that are alive, or of those that are heard here. */
    [[nodiscard]] std::uint64_t digest(bool heardOnly) const noexcept;

    /*! @brief Returns the owner of a pool's queue; nothing if it is this process. */
    [[nodiscard]] const std::optional<PeerInfo> &owner(const PoolName &pool) const;

    /*! @brief Deals units of something among all known processes, and returns the share of this one. */
    [[nodiscard]] std::uint32_t share(const std::string &key, std::uint32_t units) const;

private:
    /*! @brief What relays say of a process that is not heard here. */
    struct Reported
    {
        bool isTold{};
        bool ownsQueues{};
    };

    /*! @brief A process that relays heartbeats and can read the platform and own queues for others. */
    struct Relay
    {
        PeerInfo info;
        bool ownsQueues{};
    };

    void collectMembers(const PeerStates &peers, TimePoint now);
    static void sortByPreference(std::vector<Relay> &relays, std::string_view key);
    [[nodiscard]] static std::vector<Relay> drawEvenly(std::vector<Relay> candidates, std::string_view key,
                                                       std::size_t most);
    void chooseRelays(bool ownsQueues);
    void choosePartners();
    void chooseReaders();
    [[nodiscard]] static std::map<InstanceName, Reported> reported(const PeerStates &peers, TimePoint now);
    [[nodiscard]] std::optional<PeerInfo> drawOwner(const PoolName &pool) const;
    [[nodiscard]] std::uint32_t deal(const std::string &key, std::uint32_t units) const;

    PeerInfo m_self;
    TimePoint m_until{TimePoint::max()};
    /*! @brief All peers, dead ones too. */
    std::vector<const PeerState *> m_known;
    std::vector<Member> m_live;
    absl::flat_hash_map<const PeerState *, std::size_t> m_places;
    /*! @brief Peers that are alive, but drain. */
    std::set<const PeerState *> m_draining;
    absl::flat_hash_map<std::string, std::vector<const PeerState *>> m_atAddress;
    std::vector<Relay> m_relays;
    std::set<ZoneName> m_relayZones;
    std::vector<InstanceName> m_partners;
    std::vector<std::string> m_readers;
    bool m_isRelay{};
    std::uint64_t m_liveDigest{};
    std::uint64_t m_heardDigest{};
    /*! @brief Owners and shares that were looked up. */
    mutable std::map<PoolName, std::optional<PeerInfo>> m_owners;
    mutable std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> m_shares;
};

/*! @brief Returns the weight by which rendezvous hashing ranks a process for a key. */
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view key, const InstanceName &process);

/*! @brief Silence after which a peer counts as gone; its work is done again elsewhere, so not much longer than a stage
 * call. */
inline constexpr Duration peerSilence = std::chrono::milliseconds{900};

/*! @brief Key by which the relays are drawn. */
inline constexpr std::string_view relayKey = "relay";

} // namespace bergamottide::serving
