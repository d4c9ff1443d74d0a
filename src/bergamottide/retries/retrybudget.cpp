#include "bergamottide/retries/retrybudget.h"

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Share of the slack that the owner of a queue may use; the owners before and after it use as much, and an
 * instance that owns the queue may restart and own it again within a window. */
constexpr double ownerSlackShare = 1.0 / 3.0;

/*! @brief Share of the slack for processes in their first window: one that has restarted does not know what its
 * predecessor has spent. */
constexpr double startSlackShare = 1.0 / 3.0;

/*! @brief Time for which a process that is no longer heard keeps its share of the slack: a partition may hide it. */
constexpr Duration processMemory = std::chrono::minutes{10};

/*! @brief Part of the ratio that requests of the last window give; without it, a new process would retry nothing for a
 * window. */
constexpr double recentRequestsShare = 0.25;

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options{options}
{
}

void RetryBudget::recordRequest(const PoolName &pool, TimePoint now)
{
    m_histories[pool].requests.record(m_options.window, now);
}

bool RetryBudget::tryTakeRetry(const PoolName &pool, TimePoint now, RetryShare share)
{
    const RetryUsage current = usage(pool, now, share);
    if (current.taken >= current.allowed) {
        return false;
    }
    m_histories[pool].retries.push_back(now);
    return true;
}

RetryUsage RetryBudget::usage(const PoolName &pool, TimePoint now, RetryShare share)
{
    PoolHistory &history = prunedHistory(pool, now);
    const double allowed = m_options.ratio * assuredRequests(history.requests, now) + slackOf(share, now);
    return {history.retries.size(), static_cast<std::size_t>(std::max(allowed, 0.0)), effectiveProcessCount(now)};
}

/*
 * Returns the number of requests that count for the budget.
 *
 * The retries of all processes are bounded in any window, while a request may count in two windows at two processes: a
 * process stops after it has used its budget, and its callers turn to others. Requests of the window before count for
 * one process only, whatever the window. Requests of the last window are counted twice at worst, so they get a small
 * part of the budget, and all parts are reduced to make up for it.
 */
double RetryBudget::assuredRequests(RequestWindow &requests, TimePoint now) const
{
    const auto fewest = static_cast<double>(requests.fewest(m_options.window, now));
    const auto recent = static_cast<double>(requests.count(m_options.window, now));
    return ((1.0 - recentRequestsShare) * fewest + recentRequestsShare * recent) / (1.0 + recentRequestsShare);
}

void RetryBudget::setProcessCount(std::uint32_t processes, TimePoint now)
{
    if (m_startedAt == TimePoint{}) {
        m_startedAt = now;
    }
    processes = std::max<std::uint32_t>(processes, 1);
    while (!m_processCounts.empty() && m_processCounts.back().second < processes) {
        m_processCounts.pop_back();
    }
    if (m_processCounts.empty() || m_processCounts.back().second != processes) {
        m_processCounts.emplace_back(now, processes);
    }
}

std::uint32_t RetryBudget::effectiveProcessCount(TimePoint now)
{
    const TimePoint oldest = now - processMemory;
    while (m_processCounts.size() > 1 && m_processCounts[1].first <= oldest) {
        m_processCounts.pop_front();
    }
    const std::uint32_t largest = m_processCounts.empty() ? 1 : m_processCounts.front().second;
    return isInFirstWindow(now) ? std::max(largest, m_options.assumedProcesses) : largest;
}

bool RetryBudget::isInFirstWindow(TimePoint now) const
{
    return m_startedAt == TimePoint{} || m_startedAt > now - m_options.window;
}

/*! @brief Returns the part of the slack that this process may use; owners that a partition isolates get no more than
 * an equal part. */
double RetryBudget::slackOf(RetryShare share, TimePoint now)
{
    const std::uint32_t processes = effectiveProcessCount(now);
    const double equalPart = m_options.slack / processes;
    if (share == RetryShare::Process) {
        return equalPart * (isInFirstWindow(now) ? startSlackShare : 1.0 - startSlackShare);
    }
    const std::uint32_t live = m_processCounts.empty() ? 1 : m_processCounts.back().second;
    const bool isMajority = live * 2 >= processes;
    return isMajority ? std::max(equalPart, m_options.slack * ownerSlackShare) : equalPart;
}

void RetryBudget::setOptions(const RetryBudgetOptions &options)
{
    m_options = options;
}

RetryBudget::PoolHistory &RetryBudget::prunedHistory(const PoolName &pool, TimePoint now)
{
    PoolHistory &history = m_histories[pool];
    const TimePoint oldest = now - m_options.window;
    while (!history.retries.empty() && history.retries.front() < oldest) {
        history.retries.pop_front();
    }
    return history;
}

} // namespace bergamottide::serving
