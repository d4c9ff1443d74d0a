#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/heartbeat.h"
#include "bergamottide/serving/membershipview.h"

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
 * @brief Peers that are alive, learnt from a few seeds and from each other, and which of them keeps which queue.
 *
 * Up to sixteen of the strongest processes are relays: they exchange heartbeats with each other, and every other
 * process exchanges them with two relays of its own. So the heartbeats of a process do not grow with the fleet, and
 * those of a relay grow by one sixteenth of it. Who is a relay follows from the peers that are alive; processes that
 * see the same peers agree without talking.
 *
 * The queue of a stage pool has one owner among the relays, drawn by rendezvous hashing. While processes see different
 * peers, two owners send work to the same endpoints, which costs time but breaks nothing.
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

    // A membership view points at the peers that are kept here.
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
    void setOwnsQueues(bool ownsQueues) noexcept;

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

    /*! @brief Tells if this process is a relay. */
    [[nodiscard]] bool isRelay(TimePoint now) const;

    /**
     * @brief Returns the owner of a pool's queue.
     * @param pool Pool.
     * @param now Present time.
     * @return The peer, or nothing if it is this process.
     */
    [[nodiscard]] std::optional<PeerInfo> owner(const PoolName &pool, TimePoint now) const;

    /**
     * @brief Returns who reads for this process what the platform publishes.
     *
     * In a fleet of some size a few relays read, so that the calls to the platform do not grow with the fleet.
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

    /*! @brief Returns the wait that an owner told for a pool and rank: the longest of the ranks up to it. */
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
    [[nodiscard]] std::size_t viewsBuilt() const noexcept;

private:
    /*! @brief What a process told of its generations. */
    struct ToldReport
    {
        engines::EngineReport report;
        TimePoint heardAt{};
        /*! @brief Told by the process itself, not passed on. */
        bool isDirect{};
    };

    void passOnWork(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const;
    void passOnEngines(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const;
    void takeRoster(const Heartbeat &heartbeat, PeerState &teller, TimePoint now);
    void forgetGone(TimePoint now);
    [[nodiscard]] std::vector<std::string> trials(TimePoint now) const;
    void takeReports(const Heartbeat &heartbeat, TimePoint now);
    [[nodiscard]] const MembershipView &view(TimePoint now) const;
    void tellRoster(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const;

    PeerInfo m_self;
    bool m_ownsQueues{};
    std::set<std::string> m_seeds;
    /*! @brief Addresses to ask, and when each was asked last. */
    std::map<std::string, TimePoint> m_askedAt;
    /*! @brief When addresses of peers that are not alive were tried last. */
    TimePoint m_triedAt{};
    PeerStates m_peers;
    /*! @brief Reports that are passed on while they are new, by their origin. */
    std::map<InstanceName, ToldReport> m_reports;
    /*! @brief When a peer was heard for the first time; the epoch if none was. */
    TimePoint m_metAt{};
    /*! @brief When the process first looked for peers, and when it last learnt of a further one. */
    TimePoint m_startedAt{};
    TimePoint m_grownAt{};
    bool m_isSettled{};
    /*! @brief Nothing after a change of what it follows from. */
    mutable std::unique_ptr<MembershipView> m_view;
    mutable std::size_t m_viewsBuilt{};
};

} // namespace bergamottide::serving
