#pragma once

#include "bergamottide/net/loop.h"

#include <functional>
#include <thread>

#include <csignal>

namespace bergamottide {

/**
 * @brief Blocks the signals that the daemons handle and ignores SIGPIPE.
 *
 * Call it first in `main`: threads started later inherit the mask, so that only `SignalWatch` receives the signals.
 */
void blockSignals();

/*! @brief Waits for SIGTERM, SIGINT and SIGHUP on its own thread and posts them to an event loop. */
class SignalWatch
{
public:
    /**
     * @brief Starts the thread.
     * @param loop Event loop; outlives the watch.
     * @param terminate Called on the loop's thread for SIGTERM and SIGINT.
     * @param reload Called on the loop's thread for SIGHUP.
     */
    SignalWatch(Loop &loop, std::function<void()> terminate, std::function<void()> reload);
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;
    ~SignalWatch();

private:
    std::thread m_thread;
};

} // namespace bergamottide
