#include "bergamottide/net/loop.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace bergamottide {

namespace {

/*! @brief Longest wait of one round of `run`, so that a stop is seen even if its wakeup was lost. */
constexpr Duration longestRound = std::chrono::seconds{1};
/*! @brief Longest time of callbacks that is believed; the time of day may have jumped. */
constexpr std::uint64_t maxCallbackMs = 60'000;

std::int32_t roundedUpMilliseconds(Duration wait)
{
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    return static_cast<std::int32_t>(std::max<std::int64_t>(milliseconds, 0));
}

} // namespace

/*! @brief Receiver whose only use is to end the wait of the loop. */
struct Loop::Wakeup
{
    h2o_multithread_receiver_t receiver{};

    static void received(h2o_multithread_receiver_t *, h2o_linklist_t *messages)
    {
        while (h2o_linklist_is_empty(messages) == 0) {
            h2o_linklist_t *first = messages->next;
            h2o_linklist_unlink(first);
            delete reinterpret_cast<h2o_multithread_message_t *>(first);
        }
    }
};

Loop::Loop(const Clock &clock)
    : m_clock{clock}
    , m_loop{h2o_evloop_create()}
    , m_queue{h2o_multithread_create_queue(m_loop)}
    , m_wakeup{std::make_unique<Wakeup>()}
{
    h2o_multithread_register_receiver(m_queue, &m_wakeup->receiver, &Wakeup::received);
}

Loop::~Loop()
{
    // The receiver must hold no message when it goes. The native loop stays: sockets that h2o closes later still
    // point to it, and it goes with the process.
    h2o_evloop_run(m_loop, 0);
    h2o_multithread_unregister_receiver(m_queue, &m_wakeup->receiver);
}

void Loop::run()
{
    for (;;) {
        {
            const std::lock_guard lock{m_mutex};
            if (m_stopped) {
                return;
            }
        }
        runOnce(longestRound);
    }
}

void Loop::runOnce(Duration longest)
{
    m_thread.store(std::this_thread::get_id(), std::memory_order_relaxed);
    bool pending = false;
    {
        const std::lock_guard lock{m_mutex};
        pending = !m_posted.empty();
    }
    // What tasks have written is finished by h2o in its next round only, which must not wait for a socket first.
    const bool busy = pending || std::exchange(m_ranTasks, false);
    const Duration wait = busy ? Duration::zero() : std::min(longest, untilNextTimer());
    const TimePoint startedAt = now();
    const std::size_t slot = m_loop->exec_time_counter.prev.index;
    h2o_evloop_run(m_loop, roundedUpMilliseconds(wait));
    const TimePoint returnedAt = now();
    const Duration callbacks = std::min(callbackTime(slot), returnedAt - startedAt);
    for (const auto &[id, hook] : m_roundHooks) {
        hook();
    }
    runPosted();
    const auto lateness = runDueTimers();
    if (m_figuresHook) {
        m_figuresHook({callbacks + (now() - returnedAt), lateness});
    }
}

void Loop::stop()
{
    {
        const std::lock_guard lock{m_mutex};
        m_stopped = true;
    }
    post([] {});
}

void Loop::post(Task task)
{
    bool first = false;
    {
        const std::lock_guard lock{m_mutex};
        first = m_posted.empty();
        m_posted.push_back(std::move(task));
    }
    // The loop's own thread looks at the tasks before it waits again, and needs no wakeup.
    if (first && m_thread.load(std::memory_order_relaxed) != std::this_thread::get_id()) {
        h2o_multithread_send_message(&m_wakeup->receiver, new h2o_multithread_message_t{});
    }
}

TimerId Loop::at(TimePoint due, Task task)
{
    const std::uint64_t number = m_nextTimer++;
    m_timers.emplace(std::pair{due, number}, std::move(task));
    m_due.emplace(number, due);
    return TimerId{number};
}

void Loop::cancel(TimerId timer)
{
    const auto found = m_due.find(static_cast<std::uint64_t>(timer));
    if (found == m_due.end()) {
        return;
    }
    m_timers.erase(std::pair{found->second, found->first});
    m_due.erase(found);
}

std::uint64_t Loop::addRoundHook(Task hook)
{
    m_roundHooks.emplace(m_nextRoundHook, std::move(hook));
    return m_nextRoundHook++;
}

void Loop::removeRoundHook(std::uint64_t hook)
{
    m_roundHooks.erase(hook);
}

void Loop::setFiguresHook(std::function<void(const RoundFigures &figures)> hook)
{
    m_figuresHook = std::move(hook);
}

/*!
 * @brief Returns how long h2o ran callbacks in its last round, to the millisecond.
 *
 * h2o counts by the time of day, whose jumps the caller bounds.
 */
Duration Loop::callbackTime(std::size_t formerSlot) const
{
    const auto &times = m_loop->exec_time_counter.prev;
    if (times.index == formerSlot) {
        return Duration::zero();
    }
    const std::uint64_t milliseconds = times.slots[formerSlot];
    return std::chrono::milliseconds{std::min<std::uint64_t>(milliseconds, maxCallbackMs)};
}

TimePoint Loop::now() const
{
    return m_clock.now();
}

h2o_loop_t *Loop::native() const noexcept
{
    return m_loop;
}

h2o_multithread_queue_t *Loop::queue() const noexcept
{
    return m_queue;
}

Duration Loop::untilNextTimer() const
{
    if (m_timers.empty()) {
        return longestRound;
    }
    return std::max(Duration::zero(), m_timers.begin()->first.first - m_clock.now());
}

std::optional<Duration> Loop::runDueTimers()
{
    const TimePoint now = m_clock.now();
    if (m_timers.empty() || m_timers.begin()->first.first > now) {
        return std::nullopt;
    }
    const Duration lateness = now - m_timers.begin()->first.first;
    // A timer that is set to be due at once by one of these waits for the next round, so that sockets get their turn.
    const std::uint64_t firstNew = m_nextTimer;
    while (!m_timers.empty() && m_timers.begin()->first.first <= now && m_timers.begin()->first.second < firstNew) {
        m_ranTasks = true;
        auto node = m_timers.extract(m_timers.begin());
        m_due.erase(node.key().second);
        node.mapped()();
    }
    return lateness;
}

void Loop::runPosted()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock{m_mutex};
        tasks.swap(m_posted);
    }
    m_ranTasks = m_ranTasks || !tasks.empty();
    for (Task &task : tasks) {
        task();
    }
}

} // namespace bergamottide
