#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/events/heartbeat.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bergamottide::serving {

/*! @brief Part of the live peers that a process lists in the heartbeats to one peer. */
enum class RosterKind : std::uint8_t
{
    /*!
     * @brief All live peers that the receiver does not list itself; from a process that is not a relay.
     *
     * It makes processes known that have been discovered through different seeds.
     */
    Introduction,
    /*!
     * @brief Peers whose heartbeats arrive at the sender; from one relay to another.
     *
     * If relays repeated each other's rosters, a dead peer would stay alive.
     */
    Direct,
    /*! @brief All live peers; from a relay to a process that is not one. */
    Complete,
};

/**
 * @brief Live peers of a process, with numbered changes, of which each peer is sent only those that it lacks.
 *
 * A change of one process therefore costs one entry for each receiver at any size of the fleet. The versions of one
 * kind differ from those of the others, and of another start of the process, so that they are never confused.
 */
class Roster
{
public:
    /*! @brief A live peer. */
    struct LivePeer
    {
        const PeerInfo *info{};
        bool canOwnQueues{};
        /*! @brief Its own heartbeats arrive here. */
        bool isDirect{};
    };

    /**
     * @brief Creates an empty roster.
     * @param incarnation Random number of this start of the process.
     */
    explicit Roster(std::uint64_t incarnation);

    /**
     * @brief Numbers the changes since the last update.
     * @param live Live peers, ordered by name.
     */
    void update(const std::vector<LivePeer> &live);

    /*! @brief Returns the version of the latest change. */
    [[nodiscard]] std::uint64_t version(RosterKind kind) const noexcept;

    /**
     * @brief Returns the version since which a peer is to be sent the changes.
     * @param kind What the peer is sent.
     * @param acknowledged Version that the peer has received.
     * @return Version; zero for all entries.
     */
    [[nodiscard]] std::uint64_t sendSince(RosterKind kind, std::uint64_t acknowledged) const noexcept;

    /**
     * @brief Returns the changes since a version.
     * @param kind What the peer is sent.
     * @param since Version from `sendSince`.
     */
    [[nodiscard]] std::vector<RosterEntry> changesSince(RosterKind kind, std::uint64_t since) const;

private:
    struct Entry
    {
        RosterEntry entry;
        bool isDirect{};
        std::uint64_t version{};
    };

    void put(const LivePeer &peer);
    void remove(Entry &entry);
    void discardOldRemovals();

    std::uint64_t m_firstVersion{};
    std::uint64_t m_version{};
    /*! @brief Version of the latest discarded removal; peers that lack it are sent all entries. */
    std::uint64_t m_discardedVersion{};
    std::size_t m_removedCount{};
    /*! @brief Live peers, and those that have left since. */
    std::map<InstanceName, Entry> m_entries;
};

} // namespace bergamottide::serving
