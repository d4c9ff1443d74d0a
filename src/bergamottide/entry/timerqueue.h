#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace bergamottide {

/*! @brief What is due when a timer of an entry expires. */
enum class TimerKind : std::uint8_t
{
    /*! @brief The deadline of a request. */
    Deadline,
    /*! @brief A run may have gone silent. */
    Progress,
    /*! @brief A run has taken long enough to be hedged. */
    Hedge,
    /*! @brief The home has not answered. */
    Home,
    /*! @brief A caller's fetch or cancellation has not been answered. */
    Fetch
};

/*! @brief One timer; it may outlive what it was set for and is then ignored. */
struct Timer
{
    TimePoint at{};
    TimerKind kind{};
    RequestId request;
    /*! @brief Stage of the run, for timers of runs. */
    std::uint32_t stage{};
    /*! @brief Attempt of the run, for timers of runs; number of the fetch, for timers of fetches. */
    std::uint64_t number{};
};

/**
 * @brief Timers in order of time.
 *
 * Timers are never taken back: whoever handles one checks whether it still matters. That
 * keeps the end of a request cheap, and a timer lives no longer than a deadline.
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
     * @brief Takes the earliest timer that is due.
     * @param now Present time.
     * @return The timer, or nothing if none is due.
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

    /*! @brief Returns the time of the earliest timer, if any. */
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
