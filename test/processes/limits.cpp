#include "processes/limits.h"

#include "bergamottide/net/socketaddress.h"

#include <algorithm>
#include <array>

#include <cerrno>
#include <csignal>
#include <ctime>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamottide::test {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto period = std::chrono::milliseconds{50};
constexpr auto lookEvery = std::chrono::milliseconds{1};
constexpr std::size_t chunkBytes = 4096;
constexpr double largestBurst = 16.0 * chunkBytes;

std::chrono::nanoseconds clockTime(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

double processorSeconds(clockid_t clock)
{
    return std::chrono::duration<double>(clockTime(clock)).count();
}

int connectTo(const std::string &target)
{
    auto address = parseSocketAddress(target);
    if (!address.ok()) {
        return -1;
    }
    const int made = socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(made, address->native(), address->length) != 0) {
        close(made);
        return -1;
    }
    return made;
}

} // namespace

std::chrono::nanoseconds processorTimeOf(pid_t process)
{
    clockid_t clock{};
    return clock_getcpuclockid(process, &clock) == 0 ? clockTime(clock) : std::chrono::nanoseconds{};
}

ProcessorLimit::ProcessorLimit(pid_t process, double share)
    : m_thread{[this, process, share] {
        run(process, share);
    }}
{
}

ProcessorLimit::~ProcessorLimit()
{
    m_ends = true;
    m_thread.join();
}

void ProcessorLimit::run(pid_t process, double share) const
{
    clockid_t clock{};
    if (clock_getcpuclockid(process, &clock) != 0) {
        return;
    }
    const double allowance = share * std::chrono::duration<double>(period).count();
    double allowed = processorSeconds(clock) + allowance;
    for (auto end = Clock::now() + period; !m_ends; end += period) {
        bool isStopped = false;
        while (Clock::now() < end && !m_ends) {
            if (!isStopped && processorSeconds(clock) >= allowed) {
                isStopped = kill(process, SIGSTOP) == 0;
            }
            std::this_thread::sleep_for(lookEvery);
        }
        // What was used above the allowance of this period is missing from the next.
        const double used = processorSeconds(clock);
        allowed = std::min(allowed, used) + allowance;
        if (isStopped && allowed > used) {
            kill(process, SIGCONT);
        }
    }
    kill(process, SIGCONT);
}

LinkLimit::LinkLimit(const std::string &target, double bytesPerSecond)
    : m_target{target}
    , m_bytesPerSecond{bytesPerSecond}
{
    const auto any = parseSocketAddress("127.0.0.1:0");
    const auto listener = any.ok() ? listenOn(*any) : any.status();
    m_listener = listener.ok() ? *listener : -1;
    m_thread = std::thread{[this] {
        run();
    }};
}

LinkLimit::~LinkLimit()
{
    m_ends = true;
    m_thread.join();
    std::ranges::for_each(m_pairs, &LinkLimit::reset);
    close(m_listener);
}

std::string LinkLimit::address() const
{
    return boundAddress(m_listener);
}

void LinkLimit::Budget::refill(double seconds, double rate)
{
    bytes = std::min(largestBurst, bytes + seconds * rate);
}

void LinkLimit::run()
{
    auto last = Clock::now();
    while (!m_ends) {
        const auto now = Clock::now();
        const double elapsed = std::chrono::duration<double>(now - std::exchange(last, now)).count();
        m_toTarget.refill(elapsed, m_bytesPerSecond);
        m_toCaller.refill(elapsed, m_bytesPerSecond);
        acceptAll();
        std::erase_if(m_pairs, [this](const Pair &pair) {
            if (copy(pair.caller, pair.target, m_toTarget) && copy(pair.target, pair.caller, m_toCaller)) {
                return false;
            }
            reset(pair);
            return true;
        });
        std::this_thread::sleep_for(lookEvery);
    }
}

void LinkLimit::acceptAll()
{
    for (;;) {
        const int caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (caller < 0) {
            return;
        }
        const Pair pair{caller, connectTo(m_target)};
        if (pair.target < 0) {
            reset(pair);
            continue;
        }
        m_pairs.push_back(pair);
    }
}

/*! @brief Carries what the allowance permits; returns false once the connection has ended. */
bool LinkLimit::copy(int from, int to, Budget &budget)
{
    if (budget.bytes < 1.0) {
        return true;
    }
    std::array<char, chunkBytes> buffer{};
    const auto most = std::min(static_cast<double>(buffer.size()), budget.bytes);
    const auto got = recv(from, buffer.data(), static_cast<std::size_t>(most), MSG_DONTWAIT);
    if (got < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    budget.bytes -= static_cast<double>(got);
    return got > 0 && send(to, buffer.data(), static_cast<std::size_t>(got), MSG_NOSIGNAL) == got;
}

void LinkLimit::reset(const Pair &pair)
{
    const linger atOnce{1, 0};
    for (const int end : {pair.caller, pair.target}) {
        if (end >= 0) {
            setsockopt(end, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
            close(end);
        }
    }
}

} // namespace bergamottide::test
