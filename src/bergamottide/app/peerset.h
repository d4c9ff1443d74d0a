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
     * @param self Name of this process.
     * @param role Role of this process.
     * @param wanted Chooses the peers.
     * @param keepTime Time for which the stream to a vanished instance is kept.
     */
    PeerSet(PeerTransport &transport, InstanceName self, Role role, Wanted wanted, Duration keepTime);

    /**
     * @brief Takes a new view.
     * @param view Instance view.
     * @param now Present time.
     */
    void update(const InstanceView &view, TimePoint now);

    /**
     * @brief Asks for a stream to a process that is not among those wanted, such as a parent in the tree.
     *
     * Both ends may ask at once, and two streams would replace each other in turn. So one end
     * opens it at once (always the entry towards a side, otherwise the smaller name), and the
     * other of two equals only if none has come after a while. It is kept while it is asked for.
     *
     * @param peer Name of the process.
     * @param now Present time.
     */
    void require(const InstanceName &peer, TimePoint now);

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
     * @param now Present time.
     */
    void closed(const InstanceName &peer, TimePoint now);

    /*! @brief Returns the number of streams that are open. */
    [[nodiscard]] std::size_t open() const noexcept;

    /*! @brief Returns the number of streams that are wanted. */
    [[nodiscard]] std::size_t wanted() const noexcept;

private:
    /*! @brief Since when and until when a stream is asked for. */
    struct Requirement
    {
        TimePoint since;
        TimePoint last;
    };

    [[nodiscard]] bool isWanted(const Instance &instance) const;
    [[nodiscard]] bool opensFirst(const Instance &instance) const;
    void forget(const InstanceName &peer);

    PeerTransport &m_transport;
    InstanceName m_self;
    Role m_role;
    Wanted m_wanted;
    Duration m_keepTime;
    std::map<InstanceName, Instance> m_listed;
    std::map<InstanceName, Requirement> m_required;
    std::map<InstanceName, std::string> m_addresses;
    std::map<InstanceName, TimePoint> m_vanished;
    std::set<InstanceName> m_open;
};

} // namespace bergamottide
