#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"
#include "bergamottide/events/heartbeat.h"
#include "bergamottide/gossip/gossiptable.h"
#include "bergamottide/pools/endpointlistage.h"
#include "bergamottide/streams/versionassignment.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief Software versions at which streams continue.
 *
 * What endpoints of two versions write does not fit together, and endpoints do not check it: a stream that breaks off
 * may continue only at the version that began it. Its caller may resume it at any process, so each process tells the
 * relays which version it has chosen, already when it sends a request. Where nothing is known of a stream, the only
 * version of its pool is taken if this process has known the endpoints for as long as the stream can have lasted.
 */
class StreamVersions
{
public:
    /*! @brief Longest time for which a stream is known; callers name their deadlines themselves. */
    static constexpr Duration maxLifetime = std::chrono::minutes{10};

    /*!
     * @brief Time for which a version without endpoints is counted beyond the longest that a stream can have lasted.
     *
     * A process that is cut off from the list and from its peers may still begin streams there.
     */
    static constexpr Duration outOfStepTime = std::chrono::minutes{1};

    /**
     * @brief Creates an empty table.
     * @param clock Numbers the changes; must outlive the table.
     * @param listAge Tells for which period the endpoints are known; must outlive the table.
     */
    StreamVersions(GossipClock &clock, const EndpointListAge &listAge);

    /**
     * @brief Returns the key of a stream.
     * @param workspace Workspace of the caller; other workspaces cannot resume the stream.
     * @param attempt Attempt that brought the first event.
     */
    [[nodiscard]] static StreamKey keyOf(const WorkspaceName &workspace, const std::string &attempt);

    /*! @brief Updates the versions of all pools. */
    void updateEndpoints(const EndpointList &endpoints, TimePoint now);

    /**
     * @brief Adds the versions of endpoints that are no longer listed, as the history of the list tells.
     * @param endpoints Former endpoints.
     * @param hasUnknown Whether there were others of which the version is unknown.
     * @param now Current time, from which these count as gone.
     */
    void recordFormer(const EndpointList &endpoints, bool hasUnknown, TimePoint now);

    /*! @brief Returns whether an endpoint of unknown version may have begun streams that callers still resume. */
    [[nodiscard]] bool hasUnknownFormer(TimePoint now) const noexcept;

    /*! @brief Returns the versions of a pool whose endpoints accept work, with the number of these. */
    [[nodiscard]] VersionCounts servingVersions(const PoolName &pool) const;

    /*!
     * @brief Returns all versions of a pool that may have begun streams which callers still resume.
     *
     * Each comes with its number of listed endpoints; one that has none, with the largest number that it had.
     */
    [[nodiscard]] VersionCounts knownVersions(const PoolName &pool) const;

    /**
     * @brief Records the version of a stream; a later one replaces it until the first event is sent.
     * @param stream Stream.
     * @param version Version of the endpoint that the request is sent to.
     * @param expiresAt When the caller no longer waits, and thus will not resume the stream; at most ten minutes count.
     * @param now Current time.
     * @return Whether it has replaced another version, which peers may have been told.
     */
    [[nodiscard]] bool record(StreamKey stream, const SoftwareVersion &version, TimePoint expiresAt, TimePoint now);

    /*! @brief Returns the version of a stream; nothing if it is unknown. */
    [[nodiscard]] std::optional<SoftwareVersion> find(StreamKey stream) const;

    /**
     * @brief Returns the only version that a pool's endpoints can have had while a stream lasted.
     * @param pool Pool.
     * @param lifetime Longest time for which the stream can have lasted; at most ten minutes count.
     * @param resumedAt When its resumption has arrived, and thus the latest time at which it can have begun.
     * @return Version; nothing if there were several, or not all endpoints of that time are known.
     */
    [[nodiscard]] std::optional<SoftwareVersion> onlyVersion(const PoolName &pool, Duration lifetime,
                                                             TimePoint resumedAt) const;

    /*! @brief Returns whether this process has seen a single version of a pool within a time; others may have served.
     */
    [[nodiscard]] bool hasSingleVersion(const PoolName &pool, Duration lifetime, TimePoint now) const;

    /*! @brief Adds the streams of a peer. */
    void merge(const std::vector<StreamReport> &reports, TimePoint now);

    /**
     * @brief Returns the streams of this process that have been recorded since a version of the clock.
     * @param since Version; zero for all.
     * @param now Current time.
     */
    [[nodiscard]] std::vector<StreamReport> reportsSince(std::uint64_t since, TimePoint now) const;

    /*! @brief Removes the streams whose callers no longer wait. */
    void removeExpired(TimePoint now);

private:
    struct Stream
    {
        SoftwareVersion version;
        TimePoint expiresAt{};
    };

    /*! @brief Endpoints of a version. */
    struct Presence
    {
        /*! @brief When the last one was removed; nothing while there is one. */
        std::optional<TimePoint> goneAt;
        std::size_t listed{};
        std::size_t serving{};
        std::size_t mostListed{};
    };

    using PoolVersions = std::map<SoftwareVersion, Presence>;

    [[nodiscard]] std::optional<SoftwareVersion> singleVersion(const PoolName &pool, TimePoint since) const;

    GossipTable<StreamKey, Stream> m_own;
    /*! @brief Streams of peers. */
    std::map<StreamKey, Stream> m_reported;
    std::map<PoolName, PoolVersions> m_pools;
    std::optional<TimePoint> m_unknownFormerAt;
    const EndpointListAge &m_listAge;
};

} // namespace bergamottide::serving
