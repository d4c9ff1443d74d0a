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
    const double share = m_options.slack / m_options.sharers;
    const double allowed = std::floor(m_options.ratio * static_cast<double>(ledger.sent.size()) + share);
    if (static_cast<double>(ledger.repeats.size()) + 1.0 > allowed) {
        return false;
    }
    ledger.repeats.push_back(now);
    return true;
}

void RetryBudget::setSharers(std::uint32_t sharers)
{
    m_options.sharers = std::max<std::uint32_t>(sharers, 1);
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
