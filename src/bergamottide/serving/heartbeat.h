#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/enginereport.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * @file
 * @brief What processes tell each other several times a second.
 */
namespace bergamottide::serving {

/*! @brief Another process of the same kind. */
struct PeerInfo
{
    InstanceName instance;
    /*! @brief Where it listens for its peers. */
    std::string address;
    /*! @brief What its instance can carry, in cores: its processor share, or what its link allows if that is less. */
    double strength{1.0};
    ZoneName zone;

    [[nodiscard]] bool operator==(const PeerInfo &other) const = default;
};

/*! @brief A peer as others tell of it. */
struct RosterEntry
{
    PeerInfo peer;
    /*! @brief It knows what is served and by whom, and can keep queues. */
    bool ownsQueues{};
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
    bool ownsQueues{};
    /*! @brief It takes itself for a relay. */
    bool isRelay{};
    /*! @brief Version of the configuration that it has in force. */
    std::uint64_t version{};
    /*! @brief Digest of the roster that it has for the receiver, and of the one that it last got from it. */
    std::uint64_t rosterDigest{};
    std::uint64_t knownDigest{};
    /*! @brief Peers that it has heard of lately; left out while the receiver has the same. */
    std::optional<std::vector<RosterEntry>> roster;
    /*! @brief Waits at the pools whose queue it keeps, or, to a process that is no relay, of all that it knows. */
    std::vector<PoolWait> waits;
    /*! @brief Work that is on its way to the pools: of its own requests, and of what it was told by others. */
    std::vector<PoolWork> upcoming;
    /*! @brief Generations of the process, and, from a relay, what others have told it of theirs. */
    std::vector<engines::EngineReport> engines;
};

/*! @brief Period of heartbeats: four of them fit into the silence after which a peer counts as gone. */
inline constexpr Duration heartbeatPeriod = std::chrono::milliseconds{200};

} // namespace bergamottide::serving
