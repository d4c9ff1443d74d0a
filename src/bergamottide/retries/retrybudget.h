#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/retries/requestwindow.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace bergamottide::serving {

/*! @brief Limits of the retries to each pool. */
struct RetryBudgetOptions
{
    /*! @brief Retries allowed per request within the window. */
    double ratio{0.2};
    /*! @brief Retries allowed within the window regardless of the number of requests, in the whole fleet. */
    double slack{50.0};
    Duration window{std::chrono::seconds{10}};
    /*! @brief Minimum number of processes assumed to start within a window; each gets its part of the slack for them.
     */
    std::uint32_t assumedProcesses{16};
};

/*! @brief Part of the fleet's slack that a retry is taken from. */
enum class RetryShare : std::uint8_t
{
    /*! @brief The share of one process; every process retries requests to the pool. */
    Process,
    /*! @brief The share of the owner of the pool's queue, who makes all retries for the fleet. */
    QueueOwner
};

/*! @brief State of the budget of one pool, for log lines. */
struct RetryUsage
{
    /*! @brief Retries taken within the window. */
    std::size_t taken{};
    /*! @brief Retries allowed within the window. */
    std::size_t allowed{};
    /*! @brief Number of processes among which the slack is divided. */
    std::uint32_t processes{1};
};

/**
 * @brief Share of this process in the retry budget of the fleet.
 *
 * Prevents retry storms: when many requests fail at once, unlimited retries multiply the load on an overloaded pool.
 * The budget of a process follows from its own requests and its share of the slack, so the limit of the whole fleet
 * holds without coordination, also while callers move between processes.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);

    /*! @brief Counts the first attempt of a request at a pool. */
    void recordRequest(const PoolName &pool, TimePoint now);

    /**
     * @brief Takes one retry from the budget.
     * @param pool Pool to which the retry is sent.
     * @param now Current time.
     * @param share Part of the slack to use.
     * @return Whether the retry is allowed.
     */
    [[nodiscard]] bool tryTakeRetry(const PoolName &pool, TimePoint now, RetryShare share = RetryShare::Process);

    /*! @brief Returns how much of the budget of a pool is used. */
    [[nodiscard]] RetryUsage usage(const PoolName &pool, TimePoint now, RetryShare share = RetryShare::Process);

    /**
     * @brief Sets the number of processes that share the slack, at least one.
     *
     * The largest number of the last ten minutes counts: processes that are no longer heard may be spending their share
     * on the other side of a network partition.
     */
    void setProcessCount(std::uint32_t processes, TimePoint now);

    /*! @brief Replaces the limits; retries already spent still count. */
    void setOptions(const RetryBudgetOptions &options);

private:
    struct PoolHistory
    {
        RequestWindow requests;
        /*! @brief Times of the retries within the window. */
        std::deque<TimePoint> retries;
    };

    [[nodiscard]] std::uint32_t effectiveProcessCount(TimePoint now);
    [[nodiscard]] bool isInFirstWindow(TimePoint now) const;
    [[nodiscard]] double assuredRequests(RequestWindow &requests, TimePoint now) const;
    [[nodiscard]] double slackOf(RetryShare share, TimePoint now);
    PoolHistory &prunedHistory(const PoolName &pool, TimePoint now);

    RetryBudgetOptions m_options;
    /*! @brief Process counts in strictly decreasing order, each with the time at which it was set. */
    std::deque<std::pair<TimePoint, std::uint32_t>> m_processCounts;
    /*! @brief When the first process count was set. */
    TimePoint m_startedAt{};
    std::map<PoolName, PoolHistory> m_histories;
};

} // namespace bergamottide::serving
