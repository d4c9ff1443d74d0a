#pragma once

#include "bergamottide/core/fwd.h"

#include <map>
#include <optional>

namespace bergamottide {

/*! @brief What an entry knows about the stream to one side. */
struct Peer
{
    bool connected{};
    /*! @brief Last message of any kind. */
    TimePoint heard{};
    /*! @brief Questions about silent runs since the last answer; the waiting time doubles with each. */
    std::uint32_t asked{};
    /*! @brief A reconciliation is in progress until then. */
    std::optional<TimePoint> reconcilingUntil;
    /*! @brief Answered since the process last woke from a pause. */
    bool renewed{true};
};

/*! @brief The streams of an entry, by the name of the other end. */
class PeerTable
{
public:
    /*! @brief Returns the peer of a name; a new one is not connected. */
    [[nodiscard]] Peer &at(const InstanceName &name)
    {
        return m_peers[name];
    }

    /*! @brief Tells if messages to a peer have a stream to go out on. */
    [[nodiscard]] bool connected(const InstanceName &name) const
    {
        const auto found = m_peers.find(name);
        return found != m_peers.end() && found->second.connected;
    }

    /*! @brief Returns all peers, in the order of their names. */
    [[nodiscard]] std::map<InstanceName, Peer> &all() noexcept
    {
        return m_peers;
    }

private:
    std::map<InstanceName, Peer> m_peers;
};

} // namespace bergamottide
