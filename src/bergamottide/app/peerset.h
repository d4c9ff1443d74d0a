#pragma once

#include "bergamottide/membership/instanceview.h"
#include "bergamottide/net/peertransport.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace bergamottide {

/**
 * @brief Streams that a process keeps open, chosen from the instance view.
 *
 * An instance that has vanished from the lagging list may still finish runs, so its stream
 * is kept until it closes by itself or for the longest deadline.
 */
class PeerSet
{
public:
    /*! @brief Tells if a stream to an instance is wanted. */
    using Wanted = std::function<bool(const Instance &instance)>;

    /**
     * @brief Creates an empty set.
     * @param transport Transport of the streams; outlives the set.
     * @param wanted Chooses the peers.
     * @param keepTime Time for which the stream to a vanished instance is kept.
     */
    PeerSet(PeerTransport &transport, Wanted wanted, Duration keepTime);

    /**
     * @brief Takes a new view.
     * @param view Instance view.
     * @param now Present time.
     */
    void update(const InstanceView &view, TimePoint now);

    /**
     * @brief Closes the streams to instances that vanished long ago.
     * @param now Present time.
     */
    void expire(TimePoint now);

    /**
     * @brief Notes that a stream has opened.
     * @param peer Peer at its other end.
     */
    void opened(const InstanceName &peer);

    /**
     * @brief Notes that a stream has closed.
     * @param peer Peer at its other end.
     */
    void closed(const InstanceName &peer);

    /*! @brief Returns the number of streams that are open. */
    [[nodiscard]] std::size_t open() const noexcept;

    /*! @brief Returns the number of streams that are wanted. */
    [[nodiscard]] std::size_t wanted() const noexcept;

private:
    void forget(const InstanceName &peer);

    PeerTransport &m_transport;
    Wanted m_wanted;
    Duration m_keepTime;
    std::map<InstanceName, std::string> m_addresses;
    std::map<InstanceName, TimePoint> m_vanished;
    std::set<InstanceName> m_open;
};

} // namespace bergamottide
