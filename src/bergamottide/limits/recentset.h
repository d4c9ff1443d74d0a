#pragma once

#include "bergamottide/core/time.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <utility>

namespace bergamottide::serving {

/**
 * @brief Remembers values for a time between one and two periods, in bounded memory.
 * @tparam Value Hashable type of the values.
 */
template <typename Value>
class RecentSet
{
public:
    /**
     * @brief Creates an empty set.
     * @param period Shortest time for which a value is remembered, unless there are too many.
     * @param maxValues Number of values after which the older ones are dropped early.
     */
    RecentSet(Duration period, std::size_t maxValues)
        : m_period{period}
        , m_maxValues{maxValues}
    {
    }

    void insert(const Value &value, TimePoint now)
    {
        rotate(now);
        m_current.insert(value);
    }

    [[nodiscard]] bool contains(const Value &value, TimePoint now)
    {
        rotate(now);
        return m_current.contains(value) || m_previous.contains(value);
    }

private:
    void rotate(TimePoint now)
    {
        if (now - m_rotatedAt < m_period && m_current.size() < m_maxValues) {
            return;
        }
        if (now - m_rotatedAt >= m_period * 2) {
            m_current.clear();
        }
        m_previous = std::exchange(m_current, {});
        m_rotatedAt = now;
    }

    Duration m_period;
    std::size_t m_maxValues;
    TimePoint m_rotatedAt{};
    absl::flat_hash_set<Value> m_current;
    absl::flat_hash_set<Value> m_previous;
};

} // namespace bergamottide::serving
