#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <map>

namespace bergamottide {

/*! @brief What an entry knows about the stream to one side. */
struct Peer
{
    bool connected{};
    /*! @brief Grows whenever the stream opens or closes; what was sent before may have reached another incarnation. */
    std::uint32_t epoch{};
    /*! @brief Last message of any kind. */
    TimePoint heard{};
    /*! @brief Questions since the last message; the waiting time doubles with each. */
    std::uint32_t asked{};
    /*! @brief No further question before that time: one reconciliation at a time. */
    TimePoint nextQuestion{};
    /*! @brief The stream was replaced on purpose, and its closing says nothing about the side. */
    bool reopening{};
    /*! @brief Last wake-up from a pause after which the side has answered. */
    std::uint64_t confirmedWake{};
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
