#include "bergamottide/serving/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace bergamottide::serving {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options{options}
{
}

void RetryBudget::sent(const PoolName &pool, TimePoint now)
{
    pruned(pool, now).sent.push_back(now);
}

bool RetryBudget::take(const PoolName &pool, TimePoint now)
{
    Ledger &ledger = pruned(pool, now);
    const double share = m_options.slack / sharers(now);
    const double allowed = std::floor(m_options.ratio * static_cast<double>(ledger.sent.size()) + share);
    if (static_cast<double>(ledger.repeats.size()) + 1.0 > allowed) {
        return false;
    }
    ledger.repeats.push_back(now);
    return true;
}

void RetryBudget::setSharers(std::uint32_t sharers, TimePoint now)
{
    if (m_startedAt == TimePoint{}) {
        m_startedAt = now;
    }
    sharers = std::max<std::uint32_t>(sharers, 1);
    while (!m_sharers.empty() && m_sharers.back().second < sharers) {
        m_sharers.pop_back();
    }
    if (m_sharers.empty() || m_sharers.back().second != sharers) {
        m_sharers.emplace_back(now, sharers);
    }
}

std::uint32_t RetryBudget::sharers(TimePoint now)
{
    const TimePoint oldest = now - m_options.window;
    // A number counts until a window after the next smaller one was set.
    while (m_sharers.size() > 1 && m_sharers[1].first <= oldest) {
        m_sharers.pop_front();
    }
    const std::uint32_t largest = m_sharers.empty() ? 1 : m_sharers.front().second;
    const bool isNew = m_startedAt == TimePoint{} || m_startedAt > oldest;
    return isNew ? std::max(largest, m_options.sharers) : largest;
}

void RetryBudget::setOptions(const RetryBudgetOptions &options)
{
    m_options = options;
}

RetryBudget::Ledger &RetryBudget::pruned(const PoolName &pool, TimePoint now)
{
    Ledger &ledger = m_ledgers[pool];
    const TimePoint oldest = now - m_options.window;
    while (!ledger.sent.empty() && ledger.sent.front() < oldest) {
        ledger.sent.pop_front();
    }
    while (!ledger.repeats.empty() && ledger.repeats.front() < oldest) {
        ledger.repeats.pop_front();
    }
    return ledger;
}

} // namespace bergamottide::serving
