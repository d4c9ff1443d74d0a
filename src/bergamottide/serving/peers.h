#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/enginereport.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide::serving {

/*! @brief Another process of the same kind. */
struct PeerInfo
{
    InstanceName instance;
    /*! @brief Where it listens for its peers. */
    std::string address;
    /*! @brief What its instance can carry, in cores: its processor share, or what its link allows if that is less. */
    double strength{1.0};

    [[nodiscard]] bool operator==(const PeerInfo &other) const = default;
};

/*! @brief A peer as others tell of it. */
struct RosterEntry
{
    PeerInfo peer;
    /*! @brief It knows what is served and by whom, and can keep queues. */
    bool keepsQueues{};
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

/*! @brief What a process tells a peer several times a second. */
struct Heartbeat
{
    PeerInfo from;
    std::uint64_t incarnation{};
    /*! @brief It takes no new work. */
    bool draining{};
    /*! @brief It knows what is served and by whom, and can keep queues. */
    bool keepsQueues{};
    /*! @brief It takes itself for a hub. */
    bool isHub{};
    /*! @brief Version of the configuration that it has in force. */
    std::uint64_t version{};
    /*! @brief Digest of the roster that it has for the receiver, and of the one that it last got from it. */
    std::uint64_t rosterDigest{};
    std::uint64_t knownDigest{};
    /*! @brief Peers that it has heard of lately; left out while the receiver has the same. */
    std::optional<std::vector<RosterEntry>> roster;
    /*! @brief Waits at the pools whose queue it keeps, or, to a process that is no hub, of all that it knows. */
    std::vector<PoolWait> waits;
    /*! @brief Work that is on its way to the pools: of its own requests, and of what it was told by others. */
    std::vector<PoolWork> upcoming;
    /*! @brief Generations of the process, and, from a hub, what others have told it of theirs. */
    std::vector<engines::EngineReport> engines;
};

/*! @brief Period of heartbeats: four of them fit into the silence after which a peer counts as gone. */
inline constexpr Duration heartbeatPeriod = std::chrono::milliseconds{200};

/**
 * @brief Peers that are alive, learnt from a few seeds and from each other, and which of them keeps which queue.
 *
 * Up to sixteen of the strongest processes are hubs: they exchange heartbeats with each other, and every other process
 * exchanges them with two hubs of its own. So the heartbeats of a process do not grow with the fleet, and those of a
 * hub grow by one sixteenth of it. Who is a hub follows from the peers that are alive; processes that see the same
 * peers agree without talking.
 *
 * The queue of a stage pool has one keeper among the hubs, drawn by rendezvous hashing. While processes see different
 * peers, two keepers send work to the same endpoints, which costs time but breaks nothing.
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

    // A survey points at the peers of its own view.
    Peers(const Peers &) = delete;
    Peers &operator=(const Peers &) = delete;
    Peers(Peers &&) = default;
    Peers &operator=(Peers &&) = default;
    ~Peers() = default;

    /*! @brief Adds addresses to ask; those known before stay. */
    void addSeeds(const std::vector<std::string> &seeds);

    /*! @brief Takes what a peer told, as a question or an answer. */
    void heard(const Heartbeat &heartbeat, TimePoint now);

    /*! @brief Sets whether this process can keep queues; it keeps them all the same while no peer can. */
    void setKeepsQueues(bool keepsQueues) noexcept;

    /*! @brief Notes that a call to a peer has failed: it counts as gone until it is heard again, or for a while if
     * only others tell of it. */
    void unreached(const InstanceName &peer, TimePoint now);

    /**
     * @brief Returns the addresses that are due for a heartbeat.
     * @param now Present time.
     */
    [[nodiscard]] std::vector<std::string> due(TimePoint now);

    /**
     * @brief Fills in what a heartbeat tells of peers, their waits and their upcoming work.
     * @param heartbeat Heartbeat with what the process tells of itself.
     * @param to Address of the receiver.
     * @param now Present time.
     */
    void complete(Heartbeat &heartbeat, const std::string &to, TimePoint now) const;

    /*! @brief Returns the peers that are alive and take work, without this process. */
    [[nodiscard]] std::vector<PeerInfo> live(TimePoint now) const;

    /*! @brief Returns the number of peers that are alive and take work. */
    [[nodiscard]] std::size_t liveCount(TimePoint now) const;

    /*! @brief Tells if this process is a hub. */
    [[nodiscard]] bool isHub(TimePoint now) const;

    /**
     * @brief Returns the keeper of a pool's queue.
     * @param pool Pool.
     * @param now Present time.
     * @return The peer, or nothing if it is this process.
     */
    [[nodiscard]] std::optional<PeerInfo> keeper(const PoolName &pool, TimePoint now) const;

    /**
     * @brief Returns who reads for this process what the platform publishes.
     *
     * In a fleet of some size a few hubs read, so that the calls to the platform do not grow with the fleet.
     * @param now Present time.
     * @return Addresses in the order in which to ask; none if this process reads for itself.
     */
    [[nodiscard]] std::vector<std::string> readers(TimePoint now) const;

    /**
     * @brief Deals units of something scarce among the processes of the fleet, and returns the share of this one.
     *
     * Processes that have not been alive lately keep their shares, so that parts of a partitioned fleet, which deal
     * apart, never give out more than there is. A process that has just started has no share: it does not know the
     * others yet.
     * @param key What is dealt; each key has other holders where there are fewer units than processes.
     * @param units Number of units.
     * @param now Present time.
     */
    [[nodiscard]] std::uint32_t share(const std::string &key, std::uint32_t units, TimePoint now) const;

    /**
     * @brief Tells if who owns which queue can be relied upon: the process has met the others since its start.
     *
     * Holds from the moment at which no further peers have turned up for a while, and after a second in any case.
     */
    [[nodiscard]] bool isSettled(TimePoint now) const;

    /*! @brief Returns the incarnation that a peer told; zero if it is not known. */
    [[nodiscard]] std::uint64_t incarnationOf(const InstanceName &peer) const;

    /*! @brief Tells if a peer is alive; it may drain. */
    [[nodiscard]] bool isLive(const InstanceName &peer, TimePoint now) const;

    /*! @brief Returns the wait that a keeper told for a pool and rank: the longest of the ranks up to it. */
    [[nodiscard]] std::optional<PoolWait> toldWait(const InstanceName &peer, const PoolName &pool, int rank,
                                                   TimePoint now) const;

    /**
     * @brief Returns the pieces of a rank or a more urgent one that are on their way to a pool.
     * @param own Pieces of this process.
     */
    [[nodiscard]] std::uint64_t upcoming(const PoolName &pool, int rank, std::uint64_t own, TimePoint now) const;

    /*! @brief Returns this process. */
    [[nodiscard]] const PeerInfo &self() const noexcept;

    /*! @brief Returns how often the view of the fleet was worked out anew; that takes time in proportion to its size.
     */
    [[nodiscard]] std::size_t surveys() const noexcept;

private:
    struct Peer
    {
        PeerInfo info;
        std::uint64_t incarnation{};
        /*! @brief When it was heard itself; the epoch if it is known from others only. */
        TimePoint heardAt{};
        /*! @brief When others last told of it; the epoch if none has. */
        TimePoint toldAt{};
        bool draining{};
        bool keepsQueues{};
        bool isHub{};
        /*! @brief A call to it has failed; it counts as gone until then. */
        TimePoint unreachedUntil{};
        /*! @brief Peers that it told of, whether each keeps queues, and the digest that it told with them. */
        std::map<InstanceName, bool> roster;
        std::uint64_t rosterDigest{};
        /*! @brief Digest of the roster that it last got from here. */
        std::uint64_t knownDigest{};
        std::vector<PoolWait> waits;
        std::vector<PoolWork> upcoming;
        /*! @brief What it told of its own generations. */
        std::optional<engines::EngineReport> engines;
    };

    /*! @brief What hubs say of a process that is not heard here. */
    struct Hearsay
    {
        bool isTold{};
        bool keepsQueues{};
    };

    /*! @brief A peer as it counts at present. */
    struct Standing
    {
        const Peer *peer{};
        bool isHeard{};
        bool keepsQueues{};
        /*! @brief Digest of what a roster tells of it. */
        std::uint64_t digest{};
    };

    /*! @brief Who is alive and what follows from it, for as long as nothing of it changes. */
    struct Survey
    {
        /*! @brief The first moment at which somebody counts differently merely because time has passed. */
        TimePoint until{};
        /*! @brief Peers that are alive and take work, by name; and places in it. */
        std::vector<Standing> live;
        absl::flat_hash_map<const Peer *, std::size_t> places;
        /*! @brief Peers that are alive, but drain. */
        std::set<const Peer *> draining;
        absl::flat_hash_map<std::string, std::vector<const Peer *>> atAddress;
        std::vector<InstanceName> hubs;
        std::vector<InstanceName> partners;
        /*! @brief Addresses of those who read the platform for this process, in the order in which to ask. */
        std::vector<std::string> readers;
        bool isHub{};
        /*! @brief Digests of the rosters of all that are alive, and of those that are heard here. */
        std::uint64_t liveDigest{};
        std::uint64_t heardDigest{};
        /*! @brief Shares that were dealt, by key and units. */
        std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> shares;
        /*! @brief Keepers that were looked up. */
        std::map<PoolName, std::optional<PeerInfo>> keepers;
    };

    void passOnWork(Heartbeat &heartbeat, const Peer *receiver, TimePoint now) const;
    void passOnEngines(Heartbeat &heartbeat, const Peer *receiver, TimePoint now) const;
    void takeRoster(const Heartbeat &heartbeat, Peer &teller, TimePoint now);
    void forgetGone(TimePoint now);
    [[nodiscard]] std::vector<std::string> trials(TimePoint now) const;
    [[nodiscard]] Survey &survey(TimePoint now) const;
    void surveyPeers(Survey &survey, TimePoint now) const;
    void chooseHubs(Survey &survey) const;
    void chooseReaders(Survey &survey) const;
    [[nodiscard]] bool keepsQueues(const InstanceName &hub, const Survey &survey) const;
    [[nodiscard]] std::map<InstanceName, Hearsay> hearsay(TimePoint now) const;
    [[nodiscard]] static bool isHeard(const Peer &peer, TimePoint now);
    [[nodiscard]] static TimePoint changesAt(const Peer &peer, TimePoint now);
    [[nodiscard]] const Peer *atAddress(const std::string &address, TimePoint now) const;
    [[nodiscard]] std::uint32_t deal(const std::string &key, std::uint32_t units) const;
    [[nodiscard]] std::optional<PeerInfo> drawKeeper(const PoolName &pool, const Survey &survey) const;
    void tellRoster(Heartbeat &heartbeat, const Peer *receiver, TimePoint now) const;

    PeerInfo m_self;
    bool m_keepsQueues{};
    std::set<std::string> m_seeds;
    /*! @brief Addresses to ask, and when each was asked last. */
    std::map<std::string, TimePoint> m_askedAt;
    /*! @brief When addresses of peers that are not alive were tried last. */
    TimePoint m_triedAt{};
    std::map<InstanceName, Peer> m_peers;
    /*! @brief When a peer was heard for the first time; the epoch if none was. */
    TimePoint m_metAt{};
    /*! @brief When the process first looked for peers, and when it last learnt of a further one. */
    TimePoint m_startedAt{};
    TimePoint m_grownAt{};
    bool m_isSettled{};
    /*! @brief Nothing after a change of what it follows from. */
    mutable std::unique_ptr<Survey> m_survey;
    mutable std::size_t m_surveys{};
};

} // namespace bergamottide::serving
