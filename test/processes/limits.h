#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace bergamottide::test {

/*! @brief Returns the processor time of a process since its start; zero if there is none. */
[[nodiscard]] std::chrono::nanoseconds processorTimeOf(pid_t process);

/*! @brief Gives a child process an allowance of processor time in each period, and stops it for the rest. */
class ProcessorLimit
{
public:
    /**
     * @brief Limits a process until destroyed; the process goes on then.
     * @param process Child process, which must not be waited for before.
     * @param share Allowance, in cores.
     */
    ProcessorLimit(pid_t process, double share);
    ProcessorLimit(const ProcessorLimit &) = delete;
    ProcessorLimit &operator=(const ProcessorLimit &) = delete;
    ~ProcessorLimit();

private:
    void run(pid_t process, double share) const;

    std::atomic<bool> m_ends{};
    std::thread m_thread;
};

/*! @brief TCP relay on the loopback interface that carries a bounded number of bytes a second in each direction. */
class LinkLimit
{
public:
    /**
     * @brief Starts to relay.
     * @param target Address to relay to, `ip:port`.
     * @param bytesPerSecond Bytes carried in each direction, over all connections.
     */
    LinkLimit(const std::string &target, double bytesPerSecond);
    LinkLimit(const LinkLimit &) = delete;
    LinkLimit &operator=(const LinkLimit &) = delete;
    ~LinkLimit();

    [[nodiscard]] std::string address() const;

private:
    /*! @brief Allowance of one direction. */
    struct Budget
    {
        double bytes{};
        void refill(double seconds, double rate);
    };

    struct Pair
    {
        int caller{-1};
        int target{-1};
    };

    void run();
    void acceptAll();
    [[nodiscard]] static bool copy(int from, int to, Budget &budget);
    static void reset(const Pair &pair);

    std::string m_target;
    double m_bytesPerSecond;
    int m_listener{-1};
    std::vector<Pair> m_pairs;
    Budget m_toTarget;
    Budget m_toCaller;
    std::atomic<bool> m_ends{};
    std::thread m_thread;
};

} // namespace bergamottide::test
