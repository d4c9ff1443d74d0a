#pragma once

#include "bergamottide/net/loop.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <utility>

namespace bergamottide {

/*!
 * @brief Longest time between two ticks of a reducer.
 *
 * Reducers detect a pause of their process by the time between ticks, so they tick even when nothing is due. Must stay
 * well below the default pause gap.
 */
inline constexpr Duration maxTickInterval = std::chrono::milliseconds{250};

/**
 * @brief Runs a reducer on an event loop: applies events one at a time, hands on the effects in order, sends ticks.
 * @tparam Reducer Type with `apply(event, now)` and `nextWakeup()`.
 * @tparam Event Variant of its events.
 * @tparam Effect Variant of its effects.
 * @tparam TickEvent Event sent at each wakeup, an alternative of `Event`; if it has a `lateness`, it is told how late
 * it is.
 */
template <typename Reducer, typename Event, typename Effect, typename TickEvent>
class ReducerRunner
{
public:
    using EffectHandler = std::function<void(Effect effect)>;

    /**
     * @brief Creates a runner; ticks begin with the first event.
     * @param loop Event loop; outlives the runner.
     * @param reducer Reducer to run; outlives the runner.
     * @param handleEffect Carries out one effect; may submit further events, which are queued.
     */
    ReducerRunner(Loop &loop, Reducer &reducer, EffectHandler handleEffect)
        : m_loop{loop}
        , m_reducer{reducer}
        , m_handleEffect{std::move(handleEffect)}
    {
    }

    ReducerRunner(const ReducerRunner &) = delete;
    ReducerRunner &operator=(const ReducerRunner &) = delete;

    ~ReducerRunner()
    {
        m_loop.cancel(m_timer);
    }

    /**
     * @brief Applies an event after all events submitted before it.
     * @param event Event to apply.
     */
    void submit(Event event)
    {
        m_events.push_back(std::move(event));
        if (m_isApplying) {
            return;
        }
        m_isApplying = true;
        while (!m_events.empty()) {
            const Event next = std::move(m_events.front());
            m_events.pop_front();
            for (auto &effect : m_reducer.apply(next, m_loop.now())) {
                m_handleEffect(std::move(effect));
            }
        }
        m_isApplying = false;
        scheduleTick();
    }

private:
    /*! @brief Schedules the next tick; keeps a pending timer that is due earlier, since early ticks are harmless. */
    void scheduleTick()
    {
        const TimePoint latest = m_loop.now() + maxTickInterval;
        const std::optional<TimePoint> wakeup = m_reducer.nextWakeup();
        const TimePoint due = std::min(wakeup.value_or(latest), latest);
        if (m_timer != TimerId{} && m_due <= due) {
            return;
        }
        m_loop.cancel(m_timer);
        m_due = due;
        m_timer = m_loop.at(due, [this] {
            m_timer = {};
            submit(tick());
        });
    }

    [[nodiscard]] TickEvent tick() const
    {
        TickEvent event;
        if constexpr (requires { event.lateness; }) {
            event.lateness = std::max(m_loop.now() - m_due, Duration::zero());
        }
        return event;
    }

    Loop &m_loop;
    Reducer &m_reducer;
    EffectHandler m_handleEffect;
    std::deque<Event> m_events;
    bool m_isApplying{};
    TimerId m_timer{};
    TimePoint m_due;
};

} // namespace bergamottide
