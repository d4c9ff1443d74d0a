#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/enginereport.h"
#include "bergamottide/events/requestfingerprint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * @file
 * @brief Heartbeats that the processes of a fleet exchange.
 */
namespace bergamottide::serving {

/*! @brief Identity and properties of a process of the fleet. */
struct PeerInfo
{
    InstanceName instance;
    /*! @brief Address at which it accepts heartbeats and tasks of its peers. */
    std::string address;
    /*! @brief Capacity of its instance in cores: its CPU share, or less if its network link is the bottleneck. */
    double capacity{1.0};
    ZoneName zone;

    [[nodiscard]] bool operator==(const PeerInfo &other) const = default;
};

/*! @brief A live peer as listed in a heartbeat. */
struct RosterEntry
{
    PeerInfo peer;
    /*! @brief It has a configuration and a list of endpoints, and can own queues. */
    bool canOwnQueues{};
    /*! @brief It is no longer listed. */
    bool isRemoved{};
};

/*! @brief Expected wait of new work of a rank at a stage pool. */
struct PoolWait
{
    PoolName pool;
    int rank{};
    Duration wait{};
    /*! @brief Additional wait for each further piece that is queued ahead. */
    Duration timePerPiece{};
    /*! @brief Typical number of items that one call processes together. */
    double itemsPerCall{1.0};
    /*! @brief Used fraction of the endpoints' result memory, from 0 to 1. */
    double usedMemoryShare{};
    /*! @brief Workspaces above their share of a scarce pool; only in one entry of the pool, to keep heartbeats small.
     */
    std::vector<WorkspaceName> aboveShare;
    /*! @brief Wait of new work of these workspaces, of this rank or a less urgent one. */
    Duration aboveShareWait{};
};

/*! @brief Number of pieces of admitted requests that have yet to reach a stage pool. */
struct UpcomingWork
{
    PoolName pool;
    int rank{};
    std::uint64_t pieces{};
};

/*! @brief Crash of an endpoint, with the requests that may have caused it. */
struct CrashReport
{
    InstanceName endpoint;
    /*! @brief Time since the crash. */
    Duration age{};
    std::vector<RequestFingerprint> suspects;
    /*! @brief Requests that ran on the endpoint and cannot have crashed it. */
    std::vector<RequestFingerprint> cleared;
    /*! @brief Incarnation of the endpoint that crashed; an instance may start again under its name. */
    std::uint64_t incarnation{};
    /*! @brief Prompt parts of the suspects, as fingerprints. */
    std::vector<RequestFingerprint> suspectParts;
    /*! @brief Prompt parts with which a request has succeeded. */
    std::vector<RequestFingerprint> clearedParts;
};

/*! @brief Limit and drain that an endpoint has announced. */
struct NoticeReport
{
    InstanceName endpoint;
    std::uint64_t incarnation{};
    /*! @brief Requests per second from all processes together; empty if the endpoint has withdrawn its limit. */
    std::optional<double> requestsPerSecond;
    /*! @brief Time since the latest response that said so. */
    Duration age{};
    /*! @brief The endpoint is about to stop. */
    bool isDraining{};
};

/*! @brief Identifies a stream: digest of the workspace and of the attempt that brought its first event. */
enum class StreamKey : std::uint64_t
{
};

/*! @brief Stream that a process has sent to an endpoint. */
struct StreamReport
{
    StreamKey stream{};
    SoftwareVersion version;
    /*! @brief Time until its caller no longer waits for it. */
    Duration timeLeft{};
};

/*! @brief State that a process sends to a peer in each heartbeat. */
struct Heartbeat
{
    PeerInfo from;
    std::uint64_t incarnation{};
    /*! @brief It accepts no new work. */
    bool draining{};
    /*! @brief It has a configuration and a list of endpoints, and can own queues. */
    bool canOwnQueues{};
    /*! @brief It acts as a relay. */
    bool isRelay{};
    /*! @brief Version of its active configuration. */
    std::uint64_t configVersion{};
    /*! @brief Version of its roster for the receiver; zero if it does not send its roster, since none is wanted. */
    std::uint64_t rosterVersion{};
    /*! @brief The roster contains all changes since this version; zero if it contains all entries. */
    std::uint64_t rosterSince{};
    /*! @brief Version of the receiver's roster that it has received. */
    std::uint64_t acknowledgedRoster{};
    /*! @brief The receiver is to send its roster: it is a relay of the sender, or the sender hears from none. */
    bool wantsRoster{};
    /*! @brief Live peers that have changed; absent while the receiver has the latest version. */
    std::optional<std::vector<RosterEntry>> roster;
    /*! @brief Waits at the pools whose queue it owns; to processes that are not relays, a relay also forwards those of
     * other relays. */
    std::vector<PoolWait> waits;
    /*! @brief Work that has yet to reach the pools; from a relay also that of its peers. */
    std::vector<UpcomingWork> upcoming;
    /*! @brief Engine report of the process; from a relay also reports of other processes. */
    std::vector<engines::EngineReport> engines;
    /*! @brief Version of the records that it spreads. */
    std::uint64_t gossipVersion{};
    /*! @brief The heartbeat contains all changes since this version; zero if it contains all records. */
    std::uint64_t gossipSince{};
    /*! @brief Last version of the receiver's records that it has received. */
    std::uint64_t acknowledgedGossip{};
    /*! @brief Crash reports that the receiver has not acknowledged. */
    std::vector<CrashReport> crashes;
    /*! @brief Limits and drains of endpoints that the receiver has not acknowledged. */
    std::vector<NoticeReport> notices;
    /*! @brief Streams of this process that the receiver, a relay, has not acknowledged. */
    std::vector<StreamReport> streams;
};

/*! @brief Interval of heartbeats; several fit into the peer timeout, so that a lost one does no harm. */
inline constexpr Duration heartbeatPeriod = std::chrono::milliseconds{200};

} // namespace bergamottide::serving
