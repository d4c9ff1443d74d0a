#pragma once

#include "bergamottide/core/time.h"

#include <absl/status/statusor.h>

#include <sys/socket.h>

#include <cstdint>
#include <string>

namespace bergamottide {

/*! @brief Address of a socket, IPv4 or IPv6. */
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t length{};
    /*! @brief IP number without brackets. */
    std::string host;
    std::uint16_t port{};

    /*! @brief Returns the address for the calls of the operating system. */
    [[nodiscard]] sockaddr *native() noexcept
    {
        return reinterpret_cast<sockaddr *>(&storage);
    }
};

/**
 * @brief Reads an address written as `ip:port` or `[ip]:port`.
 * @param text Text to read; a host name is refused.
 * @return The address, or `Reason::MalformedHeader` with the field `address`.
 */
[[nodiscard]] absl::StatusOr<SocketAddress> parseSocketAddress(const std::string &text);

/**
 * @brief Opens a socket that listens.
 * @param address Address to listen on; port 0 lets the kernel choose.
 * @return Its descriptor, or `Reason::ConnectionLost` with the field `listen`.
 */
[[nodiscard]] absl::StatusOr<int> listenOn(SocketAddress address);

/**
 * @brief Writes the address a socket is bound to.
 * @param descriptor Descriptor of a bound socket.
 * @return Its address as `ip:port`.
 */
[[nodiscard]] std::string boundAddress(int descriptor);

/**
 * @brief Lets the kernel break a connection whose other end has gone silent.
 *
 * A partition answers nothing, so that a connection across it would hang for as long as the kernel tries again.
 *
 * @param descriptor Descriptor of a connected socket.
 * @param longest Time for which bytes may stay unacknowledged; nothing is changed if zero.
 */
void detectSilence(int descriptor, Duration longest);

/**
 * @brief Bounds the bytes that the kernel keeps for a connection in each direction.
 * @param descriptor Socket.
 * @param bytes Size of either buffer, in bytes; the kernel may double it for its own bookkeeping.
 */
void boundBuffers(int descriptor, int bytes);

} // namespace bergamottide
