#include "bergamottide/net/socketaddress.h"

#include "bergamottide/core/error.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace bergamottide {

namespace {

constexpr int listenBacklog = 1024;

absl::Status malformed()
{
    return makeError(Reason::MalformedHeader, "address", "An address is written as ip:port.");
}

bool fillHost(SocketAddress &address)
{
    // The system's functions ignore what follows a zero byte.
    if (address.host.find('\0') != std::string::npos) {
        return false;
    }
    auto *four = reinterpret_cast<sockaddr_in *>(&address.storage);
    if (inet_pton(AF_INET, address.host.c_str(), &four->sin_addr) == 1) {
        four->sin_family = AF_INET;
        four->sin_port = htons(address.port);
        address.length = sizeof(sockaddr_in);
        return true;
    }
    auto *six = reinterpret_cast<sockaddr_in6 *>(&address.storage);
    if (inet_pton(AF_INET6, address.host.c_str(), &six->sin6_addr) == 1) {
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(address.port);
        address.length = sizeof(sockaddr_in6);
        return true;
    }
    return false;
}

} // namespace

absl::StatusOr<SocketAddress> parseSocketAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return malformed();
    }
    SocketAddress address;
    address.host = text.substr(0, colon);
    if (address.host.front() == '[' && address.host.back() == ']') {
        address.host = address.host.substr(1, address.host.size() - 2);
    }
    const std::string portText = text.substr(colon + 1);
    std::uint32_t port = 0;
    if (!std::ranges::all_of(portText, absl::ascii_isdigit) || !absl::SimpleAtoi(portText, &port)
        || port > UINT16_MAX) {
        return malformed();
    }
    address.port = static_cast<std::uint16_t>(port);
    return fillHost(address) ? absl::StatusOr<SocketAddress>{address} : absl::StatusOr<SocketAddress>{malformed()};
}

absl::StatusOr<int> listenOn(SocketAddress address)
{
    const int descriptor = socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return makeError(Reason::ConnectionLost, "listen", std::strerror(errno));
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(descriptor, address.native(), address.length) != 0 || ::listen(descriptor, listenBacklog) != 0) {
        const absl::Status status = makeError(Reason::ConnectionLost, "listen", std::strerror(errno));
        close(descriptor);
        return status;
    }
    return descriptor;
}

std::string boundAddress(int descriptor)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    if (getsockname(descriptor, reinterpret_cast<sockaddr *>(&storage), &length) != 0) {
        return {};
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET) {
        const auto *four = reinterpret_cast<const sockaddr_in *>(&storage);
        inet_ntop(AF_INET, &four->sin_addr, text.data(), text.size());
        return std::string{text.data()} + ":" + std::to_string(ntohs(four->sin_port));
    }
    const auto *six = reinterpret_cast<const sockaddr_in6 *>(&storage);
    inet_ntop(AF_INET6, &six->sin6_addr, text.data(), text.size());
    return "[" + std::string{text.data()} + "]:" + std::to_string(ntohs(six->sin6_port));
}

void detectSilence(int descriptor, Duration longest)
{
    if (longest <= Duration::zero()) {
        return;
    }
    const auto timeout = static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(longest).count());
    // Best effort: without the option the timeouts of the caller's own remain.
    static_cast<void>(setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout)));
}

void boundBuffers(int descriptor, int bytes)
{
    // Best effort: without the options the kernel's own bounds remain.
    static_cast<void>(setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)));
    static_cast<void>(setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes)));
}

} // namespace bergamottide
