#pragma once

#include "bergamottide/net/loop.h"

#include <functional>
#include <thread>

#include <csignal>

namespace bergamottide {

/**
 * @brief Blocks the signals that the daemons handle.
 *
 * To be called first in `main`, so that every thread started later inherits it and the
 * signals reach `SignalWatch` alone.
 */
void blockSignals();

/*! @brief Hands SIGTERM, SIGINT and SIGHUP to the loop; its thread only forwards. */
class SignalWatch
{
public:
    /**
     * @brief Starts to watch.
     * @param loop Loop to hand signals to; outlives the watch.
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
