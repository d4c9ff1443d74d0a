#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace bergamottide::test {

/*! @brief What one connection of a crowd sends and reads. */
struct CallerScript
{
    /*! @brief Bytes sent first. */
    std::string first;
    /*! @brief Bytes sent behind them, `times` times. */
    std::string repeated;
    std::size_t times{};
    /*! @brief Bytes read each second; zero for none. */
    std::size_t bytesReadPerSecond{};
};

/**
 * @brief Callers that keep their connections open, each with a script; run by a thread of their own.
 *
 * A connection that the other end closes is opened again, and follows its script from the start.
 */
class CallerCrowd
{
public:
    /**
     * @brief Opens the connections.
     * @param address Address to connect to, `ip:port`.
     * @param count Number of connections.
     * @param script Returns the script of a connection by its number.
     */
    CallerCrowd(const std::string &address, std::size_t count,
                const std::function<CallerScript(std::size_t number)> &script);
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;
    ~CallerCrowd();

    /*! @brief Returns whether each connection has been closed by the other end or has sent its whole script. */
    [[nodiscard]] bool hasSettled() const noexcept;

    /*! @brief Returns the number of connections that have been closed by the other end at least once. */
    [[nodiscard]] std::size_t closedAtLeastOnce() const noexcept;

private:
    struct Caller
    {
        CallerScript script;
        int socket{-1};
        std::size_t sent{};
        std::size_t opened{};
        std::size_t mayRead{};
        bool hasSent{};
        bool wasClosed{};
    };

    void run();
    void open(Caller &caller) const;
    void serve(Caller &caller);
    [[nodiscard]] static bool send(Caller &caller);
    [[nodiscard]] static bool read(Caller &caller);
    void recordClose(Caller &caller);
    void recordSent(Caller &caller);

    std::string m_address;
    std::vector<Caller> m_callers;
    std::atomic<std::size_t> m_settled{};
    std::atomic<std::size_t> m_closed{};
    std::atomic<bool> m_ends{};
    std::thread m_thread;
};

} // namespace bergamottide::test
