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
 * Reducers learn from the distance of two ticks that their process was paused, so the ticks
 * come also when nothing is due; a quarter of the default pause gap leaves room for a busy loop.
 */
inline constexpr Duration longestTick = std::chrono::milliseconds{250};

/**
 * @brief Runs one reducer on a loop: feeds it events one at a time, carries out its effects in order, and ticks.
 * @tparam Reducer Type with `apply(event, now)` and `nextWakeup()`.
 * @tparam Event Variant of its events, with a `Tick`.
 * @tparam Effect Variant of its effects.
 */
template <typename Reducer, typename Event, typename Effect, typename TickEvent>
class Reactor
{
public:
    using CarryOut = std::function<void(Effect effect)>;

    /**
     * @brief Creates a reactor that does not tick yet.
     * @param loop Loop it runs on; outlives the reactor.
     * @param reducer Reducer to run; outlives the reactor.
     * @param carryOut Carries out one effect; may submit further events, which wait for their turn.
     */
    Reactor(Loop &loop, Reducer &reducer, CarryOut carryOut)
        : m_loop{loop}
        , m_reducer{reducer}
        , m_carryOut{std::move(carryOut)}
    {
    }

    Reactor(const Reactor &) = delete;
    Reactor &operator=(const Reactor &) = delete;

    ~Reactor()
    {
        m_loop.cancel(m_timer);
    }

    /**
     * @brief Applies an event, after those submitted before it.
     * @param event Event to apply.
     */
    void submit(Event event)
    {
        m_events.push_back(std::move(event));
        if (m_applying) {
            return;
        }
        m_applying = true;
        while (!m_events.empty()) {
            const Event next = std::move(m_events.front());
            m_events.pop_front();
            for (auto &effect : m_reducer.apply(next, m_loop.now())) {
                m_carryOut(std::move(effect));
            }
        }
        m_applying = false;
        arm();
    }

private:
    /*! @brief Sets the timer unless it is due early enough; a tick that comes early does no harm. */
    void arm()
    {
        const TimePoint latest = m_loop.now() + longestTick;
        const std::optional<TimePoint> wanted = m_reducer.nextWakeup();
        const TimePoint due = std::min(wanted.value_or(latest), latest);
        if (m_timer != TimerId{} && m_due <= due) {
            return;
        }
        m_loop.cancel(m_timer);
        m_due = due;
        m_timer = m_loop.at(due, [this] {
            m_timer = {};
            submit(TickEvent{});
        });
    }

    Loop &m_loop;
    Reducer &m_reducer;
    CarryOut m_carryOut;
    std::deque<Event> m_events;
    bool m_applying{};
    TimerId m_timer{};
    TimePoint m_due;
};

} // namespace bergamottide
