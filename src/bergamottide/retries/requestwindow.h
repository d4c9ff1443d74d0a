#pragma once

#include "bergamottide/core/time.h"

#include <cstddef>
#include <deque>

namespace bergamottide::serving {

/**
 * @brief Counts requests in a sliding window, and keeps the least count of the last window.
 *
 * Memory is linear in the requests of one window; each call takes constant time on average.
 */
class RequestWindow
{
public:
    /**
     * @brief Counts a request.
     * @param window Length of the window.
     * @param now Current time; must not decrease.
     */
    void record(Duration window, TimePoint now);

    /**
     * @brief Returns the least number of requests in any window that ends within the last window.
     *
     * It may be too low by one.
     * @param window Length of the window.
     * @param now Current time; must not decrease.
     */
    [[nodiscard]] std::size_t fewest(Duration window, TimePoint now);

    /*! @brief Returns the number of requests in the window that ends now. */
    [[nodiscard]] std::size_t count(Duration window, TimePoint now);

private:
    /*! @brief Number of requests in the window that ended at a time. */
    struct Count
    {
        TimePoint at{};
        std::size_t requests{};
    };

    void advance(Duration window, TimePoint now);
    void addCount(TimePoint at);

    /*! @brief Times of the requests within the window. */
    std::deque<TimePoint> m_times;
    /*! @brief Counts in increasing order, the first one of the start of the last window or before. */
    std::deque<Count> m_counts;
};

} // namespace bergamottide::serving
