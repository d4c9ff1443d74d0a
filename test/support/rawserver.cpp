#include "support/rawserver.h"

#include <array>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamottide::test {

namespace {

constexpr int pollMs = 20;
/*! @brief Polls after which a server closes a connection that its client keeps open. */
constexpr int unreadPolls = 100;

bool sendAll(int connection, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/*! @brief Reads a request and sends an answer; the request is read in part only, since the answer is independent of it.
 */
bool answer(int connection, std::string_view bytes)
{
    std::array<char, 4096> request{};
    return recv(connection, request.data(), request.size(), 0) > 0 && sendAll(connection, bytes);
}

} // namespace

RawServer::RawServer(RawScript script)
    : RawServer{[script = std::move(script)] {
        return script;
    }}
{
}

RawServer::RawServer(std::function<RawScript()> nextScript)
    : m_nextScript{std::move(nextScript)}
    , m_listener{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    constexpr int backlog = 8;
    static_cast<void>(bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
    static_cast<void>(listen(m_listener, backlog));
    m_thread = std::thread{[this] {
        serve();
    }};
}

RawServer::~RawServer()
{
    m_stopped = true;
    m_thread.join();
    close(m_listener);
}

std::string RawServer::address() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

std::size_t RawServer::sent() const noexcept
{
    return m_sent;
}

void RawServer::serve()
{
    while (!m_stopped) {
        pollfd waiting{m_listener, POLLIN, 0};
        if (poll(&waiting, 1, pollMs) <= 0) {
            continue;
        }
        const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection >= 0) {
            serveOne(connection, m_nextScript());
            close(connection);
        }
    }
}

void RawServer::serveOne(int connection, const RawScript &script)
{
    bool open = script.first.empty() || answer(connection, script.first);
    open = open && answer(connection, script.head);
    for (std::size_t time = 0; open && time < script.times && !m_stopped; ++time) {
        open = sendAll(connection, script.repeated);
        m_sent += script.repeated.size();
    }
    if (script.end == ConnectionEnd::Reset) {
        // A close without linger time resets the connection.
        const linger none{1, 0};
        static_cast<void>(setsockopt(connection, SOL_SOCKET, SO_LINGER, &none, sizeof(none)));
        return;
    }
    if (script.upload == Upload::IsUnread) {
        // Reading on would let the client finish its request; a close with unread bytes would reset the connection.
        shutdown(connection, SHUT_WR);
        for (int wait = 0; wait < unreadPolls && !m_stopped; ++wait) {
            pollfd hangup{connection, POLLRDHUP, 0};
            if (poll(&hangup, 1, pollMs) > 0) {
                return;
            }
        }
        return;
    }
    shutdown(connection, SHUT_RDWR);
}

} // namespace bergamottide::test
