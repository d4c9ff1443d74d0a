#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace bergamottide {

/*! @brief Purpose of a timer of an entry. */
enum class TimerKind : std::uint8_t
{
    /*! @brief The deadline of a request is reached. */
    Deadline,
    /*! @brief Checks whether a run has reported progress. */
    Progress,
    /*! @brief A run is slow enough to be hedged. */
    Hedge,
    /*! @brief Repeats an unanswered query to the home, tries another home or ends the request. */
    Home,
    /*! @brief Repeats the query of a fetch or cancellation, or ends it at its deadline. */
    Fetch
};

/*! @brief A timer; ignored if its request, run or fetch has ended. */
struct Timer
{
    TimePoint at{};
    TimerKind kind{};
    RequestId request;
    /*! @brief Stage of the run, for timers of runs. */
    std::uint32_t stage{};
    /*! @brief Attempt of the run, number of the fetch, or number of the home's timer. */
    std::uint64_t number{};
};

/**
 * @brief Priority queue of timers.
 *
 * Timers cannot be canceled: the handler checks whether a timer is still relevant. This
 * keeps the end of a request cheap; timers expire by the deadline of their request.
 */
class TimerQueue
{
public:
    /*! @brief Sets a timer. */
    void set(const Timer &timer)
    {
        m_timers.push(timer);
    }

    /**
     * @brief Removes and returns the earliest expired timer.
     * @param now Current time.
     * @return The timer; absent if none has expired.
     */
    [[nodiscard]] std::optional<Timer> takeDue(TimePoint now)
    {
        if (m_timers.empty() || m_timers.top().at > now) {
            return std::nullopt;
        }
        Timer timer = m_timers.top();
        m_timers.pop();
        return timer;
    }

    /*! @brief Returns the expiry of the earliest timer, if any. */
    [[nodiscard]] std::optional<TimePoint> next() const
    {
        return m_timers.empty() ? std::nullopt : std::optional{m_timers.top().at};
    }

private:
    struct Later
    {
        bool operator()(const Timer &left, const Timer &right) const noexcept
        {
            return left.at > right.at;
        }
    };

    std::priority_queue<Timer, std::vector<Timer>, Later> m_timers;
};

} // namespace bergamottide
