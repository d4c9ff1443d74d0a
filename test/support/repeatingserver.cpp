#include "support/repeatingserver.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamottide::test {

namespace {

constexpr int pollMs = 5;
constexpr std::chrono::milliseconds idleDelay{20};

bool sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/*! @brief Removes the first request from received bytes; nothing if it is not whole. */
std::optional<HttpRequest> takeRequest(std::string &received)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    const auto end = received.find(headEnd);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    HttpRequest request;
    std::size_t length = 0;
    const std::vector<std::string> lines = absl::StrSplit(received.substr(0, end), "\r\n");
    for (std::size_t line = 1; line < lines.size(); ++line) {
        const std::pair<std::string, std::string> field = absl::StrSplit(lines[line], absl::MaxSplits(": ", 1));
        request.headers.emplace_back(absl::AsciiStrToLower(field.first), field.second);
        if (request.headers.back().first == "content-length") {
            static_cast<void>(absl::SimpleAtoi(field.second, &length));
        }
    }
    if (received.size() < end + headEnd.size() + length) {
        return std::nullopt;
    }
    const std::vector<std::string> words = absl::StrSplit(lines.front(), ' ');
    request.method = words[0];
    request.path = words[1];
    request.body = received.substr(end + headEnd.size(), length);
    received.erase(0, end + headEnd.size() + length);
    return request;
}

std::string encode(const HttpResponse &answer)
{
    std::string out = absl::StrCat("HTTP/1.1 ", answer.status, " X\r\n");
    for (const auto &[name, value] : answer.headers) {
        absl::StrAppend(&out, name, ": ", value, "\r\n");
    }
    absl::StrAppend(&out, "content-length: ", answer.body.size(), "\r\n\r\n", answer.body);
    return out;
}

} // namespace

RepeatingServer::RepeatingServer(Repetition repetition, std::size_t period, std::string path, Handler handler)
    : m_repetition{repetition}
    , m_period{period}
    , m_path{std::move(path)}
    , m_handler{std::move(handler)}
    , m_listener{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    constexpr int backlog = 64;
    static_cast<void>(bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
    static_cast<void>(listen(m_listener, backlog));
    m_thread = std::thread{[this] {
        serve();
    }};
}

RepeatingServer::~RepeatingServer()
{
    m_stopped = true;
    m_thread.join();
    for (const Connection &connection : m_connections) {
        close(connection.descriptor);
    }
    close(m_listener);
}

std::string RepeatingServer::address() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

std::size_t RepeatingServer::repeated() const noexcept
{
    return m_repeated;
}

std::size_t RepeatingServer::connections() const noexcept
{
    return m_accepted;
}

void RepeatingServer::serve()
{
    while (!m_stopped) {
        std::vector<pollfd> waiting{{m_listener, POLLIN, 0}};
        for (const Connection &connection : m_connections) {
            waiting.push_back({connection.descriptor, POLLIN, 0});
        }
        poll(waiting.data(), waiting.size(), pollMs);
        const auto now = std::chrono::steady_clock::now();
        for (std::size_t index = m_connections.size(); index-- > 0;) {
            Connection &connection = m_connections[index];
            bool isOpen = true;
            if (!connection.due.empty() && connection.dueAt <= now) {
                isOpen = sendAll(connection.descriptor, std::exchange(connection.due, {}));
            }
            isOpen = isOpen && (waiting[index + 1].revents == 0 || receive(connection));
            if (isOpen) {
                continue;
            }
            close(connection.descriptor);
            m_connections.erase(m_connections.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (waiting.front().revents == 0) {
            continue;
        }
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) {
            m_connections.push_back({descriptor, {}, {}, {}, {}});
            ++m_accepted;
        }
    }
}

bool RepeatingServer::receive(Connection &connection)
{
    std::array<char, 16384> buffer{};
    const ssize_t size = recv(connection.descriptor, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        return false;
    }
    connection.received.append(buffer.data(), static_cast<std::size_t>(size));
    return answerRequests(connection);
}

bool RepeatingServer::answerRequests(Connection &connection)
{
    while (const auto request = takeRequest(connection.received)) {
        const std::string answer = encode(m_handler(*request));
        const bool isMeant = request->path.starts_with(m_path);
        if (isMeant && !sendAll(connection.descriptor, std::exchange(connection.late, {}))) {
            return false;
        }
        if (!sendAll(connection.descriptor, answer)) {
            return false;
        }
        if (isMeant && ++m_answers % m_period == 0) {
            scheduleRepetition(connection, answer);
        }
    }
    return true;
}

void RepeatingServer::scheduleRepetition(Connection &connection, const std::string &answer)
{
    switch (m_repetition) {
    case Repetition::Never:
        return;
    case Repetition::WhileIdle:
        connection.due = answer;
        connection.dueAt = std::chrono::steady_clock::now() + idleDelay;
        break;
    case Repetition::BeforeNext:
        connection.late = answer;
        break;
    case Repetition::TwiceBeforeNext:
        connection.late = answer + answer;
        break;
    case Repetition::CutBeforeNext:
        connection.late = answer.substr(0, answer.size() - 1);
        break;
    }
    ++m_repeated;
}

} // namespace bergamottide::test
