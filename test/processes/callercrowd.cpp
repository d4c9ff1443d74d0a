#include "processes/callercrowd.h"

#include "bergamottide/net/socketaddress.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <string_view>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamottide::test {

namespace {

constexpr std::chrono::milliseconds round{20};
constexpr std::size_t roundsPerSecond = 50;
/*! @brief Receive buffer of a caller, in bytes: what it does not read stays at the other end. */
constexpr int receiveBuffer = 4096;

} // namespace

CallerCrowd::CallerCrowd(const std::string &address, std::size_t count,
                         const std::function<CallerScript(std::size_t number)> &script)
    : m_address{address}
    , m_callers(count)
{
    for (std::size_t number = 0; number < count; ++number) {
        m_callers[number].script = script(number);
    }
    m_thread = std::thread{[this] {
        run();
    }};
}

CallerCrowd::~CallerCrowd()
{
    m_ends = true;
    m_thread.join();
    for (const Caller &caller : m_callers) {
        if (caller.socket >= 0) {
            close(caller.socket);
        }
    }
}

bool CallerCrowd::hasSettled() const noexcept
{
    return m_settled == m_callers.size();
}

std::size_t CallerCrowd::closedAtLeastOnce() const noexcept
{
    return m_closed;
}

void CallerCrowd::run()
{
    for (std::size_t number = 0; !m_ends; ++number) {
        for (Caller &caller : m_callers) {
            if (number % roundsPerSecond == 0) {
                caller.mayRead = caller.script.bytesReadPerSecond;
            }
            if (caller.socket < 0 && number % roundsPerSecond == 0) {
                open(caller);
            }
            serve(caller);
        }
        std::this_thread::sleep_for(round);
    }
}

void CallerCrowd::open(Caller &caller) const
{
    auto address = parseSocketAddress(m_address);
    caller.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    caller.sent = 0;
    ++caller.opened;
    setsockopt(caller.socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    if (connect(caller.socket, address->native(), address->length) != 0 && errno != EINPROGRESS) {
        close(caller.socket);
        caller.socket = -1;
    }
}

void CallerCrowd::serve(Caller &caller)
{
    if (caller.socket < 0) {
        return;
    }
    pollfd state{caller.socket, POLLIN | POLLOUT | POLLRDHUP, 0};
    if (poll(&state, 1, 0) <= 0) {
        return;
    }
    // A caller that does not read sees an end behind its response by the last of these alone.
    const bool isOpen = (state.revents & (POLLERR | POLLHUP | POLLRDHUP)) == 0
        && ((state.revents & POLLOUT) == 0 || send(caller)) && ((state.revents & POLLIN) == 0 || read(caller));
    if (!isOpen) {
        recordClose(caller);
        return;
    }
    recordSent(caller);
}

/*! @brief Sends what the connection takes; returns whether it is open. */
bool CallerCrowd::send(Caller &caller)
{
    const CallerScript &script = caller.script;
    const std::size_t all = script.first.size() + script.times * script.repeated.size();
    // A bounded share of a round, so that all callers make progress.
    constexpr int maxWrites = 16;
    for (int write = 0; write < maxWrites && caller.sent < all; ++write) {
        std::string_view piece{script.first};
        if (caller.sent >= piece.size()) {
            piece = script.repeated;
            piece.remove_prefix((caller.sent - script.first.size()) % script.repeated.size());
        } else {
            piece.remove_prefix(caller.sent);
        }
        const ssize_t sent = ::send(caller.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        caller.sent += static_cast<std::size_t>(sent);
    }
    return true;
}

/*! @brief Reads what the script allows; returns whether the connection is open. */
bool CallerCrowd::read(Caller &caller)
{
    std::array<char, 4096> bytes{};
    if (caller.mayRead == 0) {
        return true;
    }
    const ssize_t got = recv(caller.socket, bytes.data(), std::min(bytes.size(), caller.mayRead), 0);
    if (got > 0) {
        caller.mayRead -= static_cast<std::size_t>(got);
    }
    return got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
}

void CallerCrowd::recordClose(Caller &caller)
{
    close(caller.socket);
    caller.socket = -1;
    m_settled += caller.hasSent || caller.wasClosed ? 0 : 1;
    m_closed += caller.wasClosed ? 0 : 1;
    caller.wasClosed = true;
}

void CallerCrowd::recordSent(Caller &caller)
{
    const CallerScript &script = caller.script;
    if (caller.hasSent || caller.sent < script.first.size() + script.times * script.repeated.size()) {
        return;
    }
    m_settled += caller.wasClosed ? 0 : 1;
    caller.hasSent = true;
}

} // namespace bergamottide::test
