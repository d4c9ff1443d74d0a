#include "bergamottide/retries/requestwindow.h"

namespace bergamottide::serving {

void RequestWindow::record(Duration window, TimePoint now)
{
    advance(window, now);
    addCount(now);
    m_times.push_back(now);
}

std::size_t RequestWindow::fewest(Duration window, TimePoint now)
{
    advance(window, now);
    return m_counts.front().requests;
}

std::size_t RequestWindow::count(Duration window, TimePoint now)
{
    advance(window, now);
    return m_times.size();
}

void RequestWindow::advance(Duration window, TimePoint now)
{
    if (m_counts.empty()) {
        addCount(now);
    }
    // The count is least just when a request leaves the window.
    while (!m_times.empty() && m_times.front() + window <= now) {
        const TimePoint leftAt = m_times.front() + window;
        m_times.pop_front();
        addCount(leftAt);
    }
    while (m_counts.size() > 1 && m_counts[1].at <= now - window) {
        m_counts.pop_front();
    }
}

/*! @brief Adds the current count; earlier ones that are greater can no longer be the least. */
void RequestWindow::addCount(TimePoint at)
{
    while (!m_counts.empty() && m_counts.back().requests > m_times.size()) {
        m_counts.pop_back();
    }
    m_counts.push_back({at, m_times.size()});
}

} // namespace bergamottide::serving
