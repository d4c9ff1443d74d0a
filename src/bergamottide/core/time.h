#pragma once

#include <chrono>

namespace bergamottide {

/*! @brief Length of time used everywhere inside the library, in microseconds. */
using Duration = std::chrono::microseconds;
/*! @brief Monotonic point in time; only meaningful within one process. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/*! @brief Returns a duration times a factor, cut to the resolution of durations. */
[[nodiscard]] constexpr Duration scaled(Duration duration, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor)};
}
/*! @brief Wall clock time, for logs and the audit trail only, never for decisions. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/**
 * @brief Source of time, passed in wherever time is read.
 *
 * No module reads a clock of the standard library on its own, so that every
 * decision runs under a virtual clock in the tests.
 */
class Clock
{
public:
    virtual ~Clock() = default;

    /*! @brief Returns the monotonic time. */
    [[nodiscard]] virtual TimePoint now() const = 0;
    /*! @brief Returns the wall clock time. */
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/*! @brief Clock of the operating system. */
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }

    [[nodiscard]] WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    }
};

/*! @brief Virtual clock that moves only when told to. */
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return m_now;
    }

    [[nodiscard]] WallTime wallNow() const override
    {
        return WallTime{m_now.time_since_epoch()};
    }

    /**
     * @brief Moves the clock forward.
     * @param step Time to add, not negative.
     */
    void advance(Duration step)
    {
        m_now += step;
    }

    /**
     * @brief Sets the clock.
     * @param now New time, not before the present one.
     */
    void set(TimePoint now)
    {
        m_now = now;
    }

private:
    TimePoint m_now{std::chrono::seconds{1}};
};

} // namespace bergamottide
