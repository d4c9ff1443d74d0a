#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace bergamottide::serving {

/*! @brief Bound on work that is sent once more, for each pool. */
struct RetryBudgetOptions
{
    /*! @brief Repeats allowed for each request in a window. */
    double ratio{0.2};
    /*! @brief Repeats allowed in a window whatever the number of requests, over all processes. */
    double slack{50.0};
    Duration window{std::chrono::seconds{10}};
    /*! @brief Processes that are taken to share the slack until a window has passed: a process that has just started
     * does not know them all. */
    std::uint32_t sharers{16};
};

/**
 * @brief Share of this process in the fleet's budget of repeats.
 *
 * Made for endpoints that fail many requests at once: repeats then multiply the load on a pool that has least to spare.
 * Each process spends from the requests that it has sent itself and from its share of the slack, so that no exchange
 * between processes is needed for the sum to hold.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);

    /*! @brief Notes the first arrival of a request at a pool. */
    void sent(const PoolName &pool, TimePoint now);

    /**
     * @brief Takes one repeat from the budget.
     * @param pool Pool that gets the repeat.
     * @param now Present time.
     * @return Whether the repeat may be sent.
     */
    [[nodiscard]] bool take(const PoolName &pool, TimePoint now);

    /**
     * @brief Sets the number of processes that share the slack, at least one.
     *
     * The largest number of the last window counts: those that are no longer seen may have spent their share, or be
     * behind a partition and spend it now.
     */
    void setSharers(std::uint32_t sharers, TimePoint now);

    /*! @brief Takes over other bounds; what is spent stays spent. */
    void setOptions(const RetryBudgetOptions &options);

private:
    struct Ledger
    {
        std::deque<TimePoint> sent;
        std::deque<TimePoint> repeats;
    };

    [[nodiscard]] std::uint32_t sharers(TimePoint now);
    Ledger &pruned(const PoolName &pool, TimePoint now);

    RetryBudgetOptions m_options;
    /*! @brief Numbers of sharers with the times at which they were set, each smaller than the one before. */
    std::deque<std::pair<TimePoint, std::uint32_t>> m_sharers;
    /*! @brief When the first number of sharers was set. */
    TimePoint m_startedAt{};
    std::map<PoolName, Ledger> m_ledgers;
};

} // namespace bergamottide::serving
