#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bergamottide {

/**
 * @brief Connected peers, and whether their messages were sent after the last pause of this process.
 *
 * A process that resumes after a pause reads messages that have waited in its sockets, and
 * their age is unknown. Each pause starts a new epoch. A peer is fresh once it has answered
 * a ping of the current epoch: messages of one stream stay in order, so everything after
 * that answer was sent after the pause. Instance lists and documents may have waited in a
 * socket as well and confirm nothing.
 */
class PeerFreshness
{
public:
    /*! @brief Adds a peer whose stream has opened; it is fresh unless a pause awaits confirmation. */
    void connect(const InstanceName &peer)
    {
        m_confirmedEpochs[peer] = awaitsConfirmation() ? 0 : m_epoch;
    }

    /*! @brief Removes a peer whose stream has closed. */
    void disconnect(const InstanceName &peer)
    {
        m_confirmedEpochs.erase(peer);
    }

    /*! @brief Returns whether a peer has an open stream. */
    [[nodiscard]] bool isConnected(const InstanceName &peer) const
    {
        return m_confirmedEpochs.contains(peer);
    }

    /*! @brief Returns whether the messages of a peer were sent after the last pause. */
    [[nodiscard]] bool isFresh(const InstanceName &peer) const
    {
        const auto found = m_confirmedEpochs.find(peer);
        return found == m_confirmedEpochs.end() ? !awaitsConfirmation() : found->second == m_epoch;
    }

    /*! @brief Starts a new epoch after a pause of the process; no connected peer is fresh any more. */
    void onResumed()
    {
        ++m_epoch;
        m_awaitsConfirmation = true;
    }

    /**
     * @brief Handles a pong.
     * @param peer Sender of the pong.
     * @param sequence Sequence of the ping, which is the epoch in which it was sent.
     * @return True if this is the first confirmation after a pause.
     */
    bool confirm(const InstanceName &peer, std::uint64_t sequence)
    {
        if (sequence != m_epoch || !isConnected(peer)) {
            return false;
        }
        m_confirmedEpochs[peer] = m_epoch;
        const bool ended = m_awaitsConfirmation;
        m_awaitsConfirmation = false;
        return ended;
    }

    /*! @brief Returns whether no peer has confirmed the current epoch since the process resumed. */
    [[nodiscard]] bool awaitsConfirmation() const noexcept
    {
        return m_awaitsConfirmation;
    }

    /*! @brief Returns the current epoch, sent as the sequence of pings; at least one. */
    [[nodiscard]] std::uint64_t epoch() const noexcept
    {
        return m_epoch;
    }

    /*! @brief Returns the peers with an open stream. */
    [[nodiscard]] std::vector<InstanceName> connectedPeers() const
    {
        std::vector<InstanceName> peers;
        for (const auto &[peer, confirmed] : m_confirmedEpochs) {
            peers.push_back(peer);
        }
        return peers;
    }

private:
    /*! @brief Last confirmed epoch of each connected peer; zero if it has confirmed none. */
    std::map<InstanceName, std::uint64_t> m_confirmedEpochs;
    std::uint64_t m_epoch{1};
    bool m_awaitsConfirmation{};
};

} // namespace bergamottide
