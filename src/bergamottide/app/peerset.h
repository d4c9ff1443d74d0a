#pragma once

#include "bergamottide/membership/instanceview.h"
#include "bergamottide/net/peertransport.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace bergamottide {

/**
 * @brief Keeps streams open to a selection of the instances in the view.
 *
 * An instance that has left the list may still finish runs, so its stream is kept until it closes or the retention
 * time is over.
 */
class PeerSet
{
public:
    /*! @brief Returns whether a stream to an instance is kept permanently. */
    using PeerFilter = std::function<bool(const Instance &instance)>;

    /**
     * @brief Creates an empty set.
     * @param transport Transport of the streams; outlives the set.
     * @param self Name of this process.
     * @param role Role of this process.
     * @param isNeeded Selects the peers.
     * @param removedPeerRetention Longest time for which the stream to a removed instance is kept.
     */
    PeerSet(PeerTransport &transport, InstanceName self, Role role, PeerFilter isNeeded, Duration removedPeerRetention);

    /**
     * @brief Connects new peers of a view and marks removed ones.
     * @param view Instance view.
     * @param now Current time.
     */
    void update(const InstanceView &view, TimePoint now);

    /**
     * @brief Requests a temporary stream to a peer that the filter does not select, such as the parent in the
     * configuration's distribution tree.
     *
     * If both ends opened a stream, the two would keep replacing each other. So the initiator (an entry towards a
     * sidecar, otherwise the smaller name) opens it at once, and the other end only after a grace period. The stream is
     * kept while requests are repeated.
     *
     * @param peer Name of the process.
     * @param now Current time.
     */
    void requestStream(const InstanceName &peer, TimePoint now);

    /**
     * @brief Closes the streams to peers that were removed or are no longer requested.
     * @param now Current time.
     */
    void closeExpired(TimePoint now);

    /**
     * @brief Records that a stream has opened.
     * @param peer Peer at its other end.
     */
    void handleOpened(const InstanceName &peer);

    /**
     * @brief Records that a stream has closed.
     * @param peer Peer at its other end.
     * @param now Current time.
     */
    void handleClosed(const InstanceName &peer, TimePoint now);

    /*! @brief Returns the number of open streams. */
    [[nodiscard]] std::size_t openCount() const noexcept;

    /*! @brief Returns the number of peers to which a stream should be open. */
    [[nodiscard]] std::size_t wantedCount() const noexcept;

private:
    /*! @brief Request for a temporary stream. */
    struct StreamRequest
    {
        /*! @brief Time since which the requested stream has not been open. */
        TimePoint unconnectedSince;
        TimePoint lastRequestedAt;
    };

    [[nodiscard]] bool shouldKeep(const Instance &instance) const;
    [[nodiscard]] bool isInitiator(const Instance &instance) const;
    void removePeer(const InstanceName &peer);

    PeerTransport &m_transport;
    InstanceName m_self;
    Role m_role;
    PeerFilter m_isNeeded;
    Duration m_removedPeerRetention;
    std::map<InstanceName, Instance> m_instances;
    std::map<InstanceName, StreamRequest> m_streamRequests;
    std::map<InstanceName, std::string> m_addresses;
    std::map<InstanceName, TimePoint> m_removedAt;
    std::set<InstanceName> m_open;
};

} // namespace bergamottide
