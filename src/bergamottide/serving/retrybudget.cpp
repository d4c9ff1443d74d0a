#include "bergamottide/serving/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace bergamottide::serving {

namespace {

/*! @brief Share of the slack that the owner of a queue may use; the owners before and after it use as much, and an
 * instance that owns the queue may restart and own it again within a window. */
constexpr double ownerSlackShare = 1.0 / 3.0;

/*
 * Each process may spend the largest budget of a window, and the processes reach theirs at different times. Without a
 * deduction for the random variation of the counts, their sum exceeds the budget of the fleet.
 */
double assuredRequests(std::size_t requests)
{
    const auto count = static_cast<double>(requests);
    return count - std::sqrt(count);
}

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options{options}
{
}

void RetryBudget::recordRequest(const PoolName &pool, TimePoint now)
{
    prunedHistory(pool, now).requests.push_back(now);
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
    const PoolHistory &history = prunedHistory(pool, now);
    const double allowed = m_options.ratio * assuredRequests(history.requests.size()) + slackOf(share, now);
    return {history.retries.size(), static_cast<std::size_t>(std::max(allowed, 0.0)), effectiveProcessCount(now)};
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
    const TimePoint oldest = now - m_options.window;
    // A count still applies for one window after a smaller one has been set.
    while (m_processCounts.size() > 1 && m_processCounts[1].first <= oldest) {
        m_processCounts.pop_front();
    }
    const std::uint32_t largest = m_processCounts.empty() ? 1 : m_processCounts.front().second;
    const bool isInFirstWindow = m_startedAt == TimePoint{} || m_startedAt > oldest;
    return isInFirstWindow ? std::max(largest, m_options.assumedProcesses) : largest;
}

/*! @brief Returns the part of the slack that this process may use; owners that a partition isolates get no more than
 * any process. */
double RetryBudget::slackOf(RetryShare share, TimePoint now)
{
    const std::uint32_t processes = effectiveProcessCount(now);
    const double ofProcess = m_options.slack / processes;
    const std::uint32_t live = m_processCounts.empty() ? 1 : m_processCounts.back().second;
    const bool isMajority = live * 2 >= processes;
    return share == RetryShare::QueueOwner && isMajority ? std::max(ofProcess, m_options.slack * ownerSlackShare)
                                                         : ofProcess;
}

void RetryBudget::setOptions(const RetryBudgetOptions &options)
{
    m_options = options;
}

RetryBudget::PoolHistory &RetryBudget::prunedHistory(const PoolName &pool, TimePoint now)
{
    PoolHistory &history = m_histories[pool];
    const TimePoint oldest = now - m_options.window;
    while (!history.requests.empty() && history.requests.front() < oldest) {
        history.requests.pop_front();
    }
    while (!history.retries.empty() && history.retries.front() < oldest) {
        history.retries.pop_front();
    }
    return history;
}

} // namespace bergamottide::serving
