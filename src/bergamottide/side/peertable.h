#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bergamottide {

/**
 * @brief Processes that have a stream to this side, and whether what they send is known to be fresh.
 *
 * A process that was paused wakes up with old messages in its sockets; nothing in them
 * tells their age. So after each wake-up a peer counts as fresh only once it has answered
 * a ping sent after the wake-up: messages of one stream keep their order, hence whatever
 * follows that answer was sent after the wake-up. Views and documents are no such proof,
 * since they may have waited in a socket as well.
 */
class PeerTable
{
public:
    /*! @brief Records that a stream has opened; it is fresh unless a wake-up awaits its confirmation. */
    void connect(const InstanceName &peer)
    {
        m_confirmed[peer] = paused() ? 0 : m_wake;
    }

    /*! @brief Records that a stream has closed. */
    void disconnect(const InstanceName &peer)
    {
        m_confirmed.erase(peer);
    }

    /*! @brief Tells if a peer has a stream. */
    [[nodiscard]] bool connected(const InstanceName &peer) const
    {
        return m_confirmed.contains(peer);
    }

    /*! @brief Tells if what a peer sends was sent after the last wake-up. */
    [[nodiscard]] bool fresh(const InstanceName &peer) const
    {
        const auto found = m_confirmed.find(peer);
        return found == m_confirmed.end() ? !paused() : found->second == m_wake;
    }

    /*! @brief Records that the process has woken up from a pause; no peer is fresh any more. */
    void wakeUp()
    {
        ++m_wake;
        m_paused = true;
    }

    /**
     * @brief Records the answer to a ping.
     * @param peer Who has answered.
     * @param sequence Sequence of the ping.
     * @return True if it ends the pause.
     */
    bool confirm(const InstanceName &peer, std::uint64_t sequence)
    {
        if (sequence != m_wake || !connected(peer)) {
            return false;
        }
        m_confirmed[peer] = m_wake;
        const bool ended = m_paused;
        m_paused = false;
        return ended;
    }

    /*! @brief Tells if the process has woken up and no peer has confirmed itself since. */
    [[nodiscard]] bool paused() const noexcept
    {
        return m_paused;
    }

    /*! @brief Returns the number of the last wake-up, which the pings carry; at least one. */
    [[nodiscard]] std::uint64_t wake() const noexcept
    {
        return m_wake;
    }

    /*! @brief Returns the connected peers. */
    [[nodiscard]] std::vector<InstanceName> all() const
    {
        std::vector<InstanceName> peers;
        for (const auto &[peer, confirmed] : m_confirmed) {
            peers.push_back(peer);
        }
        return peers;
    }

private:
    std::map<InstanceName, std::uint64_t> m_confirmed;
    std::uint64_t m_wake{1};
    bool m_paused{};
};

} // namespace bergamottide
