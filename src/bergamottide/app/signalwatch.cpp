#include "bergamottide/app/signalwatch.h"

#include <pthread.h>

#include <utility>

namespace bergamottide {

namespace {

/*! @brief Sent to the thread of the watch to end it. */
constexpr int stopSignal = SIGUSR1;

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP, stopSignal}) {
        sigaddset(&signals, signal);
    }
    return signals;
}

} // namespace

void blockSignals()
{
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

SignalWatch::SignalWatch(Loop &loop, std::function<void()> terminate, std::function<void()> reload)
    : m_thread{[&loop, terminate = std::move(terminate), reload = std::move(reload)] {
        const sigset_t signals = handledSignals();
        int signal = 0;
        while (sigwait(&signals, &signal) == 0 && signal != stopSignal) {
            loop.post(signal == SIGHUP ? reload : terminate);
        }
    }}
{
}

SignalWatch::~SignalWatch()
{
    pthread_kill(m_thread.native_handle(), stopSignal);
    m_thread.join();
}

} // namespace bergamottide
