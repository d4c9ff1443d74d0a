#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <deque>
#include <map>

namespace bergamottide::serving {

/*! @brief Bound on work that is sent once more, for each pool. */
struct RetryBudgetOptions
{
    /*! @brief Repeats allowed for each request in a window. */
    double ratio{0.2};
    /*! @brief Repeats allowed in a window whatever the number of requests, over all processes. */
    double slack{50.0};
    Duration window{std::chrono::seconds{10}};
    /*! @brief Processes that share the slack. */
    std::uint32_t sharers{8};
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

    /*! @brief Sets the number of processes that share the slack, at least one. */
    void setSharers(std::uint32_t sharers);

private:
    struct Ledger
    {
        std::deque<TimePoint> sent;
        std::deque<TimePoint> repeats;
    };

    Ledger &pruned(const PoolName &pool, TimePoint now);

    RetryBudgetOptions m_options;
    std::map<PoolName, Ledger> m_ledgers;
};

} // namespace bergamottide::serving
