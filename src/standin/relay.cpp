#include "standin/relay.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamottide::standin {

namespace {

constexpr int backlog = 64;
constexpr std::size_t chunkBytes = 64u << 10;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t portOf(const std::string &address)
{
    std::uint32_t port = 0;
    const bool valid = absl::SimpleAtoi(address.substr(address.rfind(':') + 1), &port);
    return valid ? static_cast<std::uint16_t>(port) : std::uint16_t{0};
}

} // namespace

Relay::Relay(std::string target)
    : m_target{std::move(target)}
    , m_listener{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    const sockaddr_in address = loopback(0);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(m_listener, backlog) != 0) {
        close(m_listener);
        m_listener = -1;
    }
}

Relay::~Relay()
{
    for (const Pair &pair : m_pairs) {
        close(pair.caller);
        close(pair.target);
    }
    close(m_listener);
}

std::string Relay::address() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (m_listener < 0 || getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        return {};
    }
    return absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
}

void Relay::runOnce(int waitMs)
{
    std::vector<pollfd> polled{{m_listener, POLLIN, 0}};
    for (const Pair &pair : m_pairs) {
        const short events = pair.silent ? 0 : POLLIN;
        polled.push_back({pair.silent ? -1 : pair.caller, events, 0});
        polled.push_back({pair.silent ? -1 : pair.target, events, 0});
    }
    if (poll(polled.data(), polled.size(), waitMs) <= 0) {
        return;
    }
    std::vector<Pair> kept;
    for (std::size_t index = 0; index < m_pairs.size(); ++index) {
        const Pair &pair = m_pairs[index];
        const bool fromCaller = polled[1 + (2 * index)].revents != 0;
        const bool fromTarget = polled[2 + (2 * index)].revents != 0;
        const bool open =
            (!fromCaller || copy(pair.caller, pair.target)) && (!fromTarget || copy(pair.target, pair.caller));
        if (!open) {
            close(pair.caller);
            close(pair.target);
            continue;
        }
        kept.push_back(pair);
    }
    m_pairs = std::move(kept);
    if (polled[0].revents != 0) {
        acceptOne();
    }
}

void Relay::silence()
{
    for (Pair &pair : m_pairs) {
        pair.silent = true;
    }
}

void Relay::acceptOne()
{
    const int caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0) {
        return;
    }
    const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(portOf(m_target));
    if (connect(target, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(caller);
        close(target);
        return;
    }
    m_pairs.push_back(Pair{caller, target, false});
}

bool Relay::copy(int from, int to)
{
    std::array<char, chunkBytes> chunk{};
    const ssize_t got = recv(from, chunk.data(), chunk.size(), 0);
    if (got <= 0) {
        return false;
    }
    ssize_t sent = 0;
    while (sent < got) {
        const ssize_t written = send(to, chunk.data() + sent, static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        sent += written;
    }
    return true;
}

} // namespace bergamottide::standin
