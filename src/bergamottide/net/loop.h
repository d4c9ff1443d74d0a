#pragma once

#include "bergamottide/core/time.h"

#include <h2o.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief Identity of a timer of a loop; zero is none. */
enum class TimerId : std::uint64_t
{
};

/*! @brief Figures of one round of a loop. */
struct RoundFigures
{
    /*! @brief Time of the round without its wait. */
    Duration busy{};
    /*! @brief How late the first timer ran; nothing if none was due. */
    std::optional<Duration> lateness;
};

/**
 * @brief The one event loop of a process, around the loop of h2o.
 *
 * Everything but `post` and `stop` is called on the loop's own thread.
 */
class Loop
{
public:
    using Task = std::function<void()>;

    /**
     * @brief Creates a loop.
     * @param clock Source of time for the timers; outlives the loop.
     */
    explicit Loop(const Clock &clock);
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;
    ~Loop();

    /*! @brief Runs until `stop` is called. */
    void run();

    /**
     * @brief Runs one round: waits for sockets, timers and tasks at most that long.
     * @param longest Longest wait.
     */
    void runOnce(Duration longest);

    /*! @brief Ends `run` after the present round; any thread may call it. */
    void stop();

    /**
     * @brief Hands a task to the loop's thread; any thread may call it.
     * @param task Task to run in the next round.
     */
    void post(Task task);

    /**
     * @brief Runs a task once at a time, to the millisecond.
     * @param due Time at which to run it.
     * @param task Task to run.
     * @return Identity for `cancel`.
     */
    TimerId at(TimePoint due, Task task);

    /**
     * @brief Forgets a timer; does nothing if it has run.
     * @param timer Identity from `at`.
     */
    void cancel(TimerId timer);

    /**
     * @brief Sets a hook called after each round of h2o's loop, before posted tasks.
     * @param hook Hook to call.
     * @return Identity for `removeRoundHook`.
     */
    std::uint64_t addRoundHook(Task hook);

    /**
     * @brief Forgets a hook.
     * @param hook Identity from `addRoundHook`.
     */
    void removeRoundHook(std::uint64_t hook);

    /**
     * @brief Sets the hook that is given the figures of each round.
     * @param hook Hook to call.
     */
    void setFiguresHook(std::function<void(const RoundFigures &figures)> hook);

    /*! @brief Returns the time of the loop's clock. */
    [[nodiscard]] TimePoint now() const;

    /*! @brief Returns h2o's loop. */
    [[nodiscard]] h2o_loop_t *native() const noexcept;

    /*! @brief Returns h2o's queue of messages between threads, for its resolver. */
    [[nodiscard]] h2o_multithread_queue_t *queue() const noexcept;

private:
    struct Wakeup;

    [[nodiscard]] Duration untilNextTimer() const;
    /*! @brief Runs the timers that are due; returns how late the first one is. */
    std::optional<Duration> runDueTimers();
    void runPosted();
    [[nodiscard]] Duration callbackTime(std::size_t formerSlot) const;

    const Clock &m_clock;
    h2o_loop_t *m_loop;
    h2o_multithread_queue_t *m_queue;
    std::unique_ptr<Wakeup> m_wakeup;
    /*! @brief Thread that ran the last round. */
    std::atomic<std::thread::id> m_thread;
    std::mutex m_mutex;
    std::vector<Task> m_posted;
    bool m_stopped{};
    /*! @brief Tasks have run since h2o's last round; they may have left it work. */
    bool m_ranTasks{true};
    std::map<std::pair<TimePoint, std::uint64_t>, Task> m_timers;
    std::map<std::uint64_t, TimePoint> m_due;
    std::uint64_t m_nextTimer{1};
    std::map<std::uint64_t, Task> m_roundHooks;
    std::uint64_t m_nextRoundHook{1};
    std::function<void(const RoundFigures &figures)> m_figuresHook;
};

} // namespace bergamottide
