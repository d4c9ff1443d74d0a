#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <map>

namespace bergamottide {

/*! @brief State of the stream from an entry to a sidecar. */
struct PeerState
{
    bool connected{};
    /*! @brief Incremented when the stream opens or closes; earlier messages may have reached another incarnation. */
    std::uint32_t streamEpoch{};
    /*! @brief Time of the last message of any kind. */
    TimePoint lastMessageAt{};
    /*! @brief Queries since the last message; each doubles the backoff. */
    std::uint32_t unansweredQueries{};
    /*! @brief Earliest time of the next query. */
    TimePoint nextQueryAt{};
    /*! @brief This entry is replacing the stream; the closing does not mean that the sidecar has failed. */
    bool reopening{};
    /*! @brief Number of the last suspension of this process after which the sidecar has answered. */
    std::uint64_t confirmedSuspension{};
};

/*! @brief States of the streams of an entry, by name of the peer. */
class PeerStateTable
{
public:
    /*! @brief Returns the state of a peer; creates a disconnected one if there is none. */
    [[nodiscard]] PeerState &at(const InstanceName &name)
    {
        return m_peers[name];
    }

    /*! @brief Returns whether there is an open stream to a peer. */
    [[nodiscard]] bool connected(const InstanceName &name) const
    {
        const auto found = m_peers.find(name);
        return found != m_peers.end() && found->second.connected;
    }

    /*! @brief Returns all peers, ordered by name. */
    [[nodiscard]] std::map<InstanceName, PeerState> &all() noexcept
    {
        return m_peers;
    }

private:
    std::map<InstanceName, PeerState> m_peers;
};

} // namespace bergamottide
