#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace bergamottide {

/**
 * @brief Indexed binary min-heap: members are small integers whose keys can be updated in logarithmic time.
 *
 * @tparam Key Type of the keys, compared by `<`; a total order makes the heap deterministic.
 */
template <typename Key>
class IndexedHeap
{
public:
    using Index = std::size_t;

    /*! @brief Returns whether the heap is empty. */
    [[nodiscard]] bool empty() const noexcept
    {
        return m_nodes.empty();
    }

    /*! @brief Returns the number of members. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_nodes.size();
    }

    /*! @brief Returns whether an index is a member. */
    [[nodiscard]] bool contains(Index index) const noexcept
    {
        return index < m_positions.size() && m_positions[index] != absent;
    }

    /*! @brief Returns the member with the smallest key; the heap must not be empty. */
    [[nodiscard]] Index top() const
    {
        return m_nodes.front().second;
    }

    /*! @brief Returns the smallest key; the heap must not be empty. */
    [[nodiscard]] const Key &topKey() const
    {
        return m_nodes.front().first;
    }

    /*! @brief Returns the number of swaps so far; lets tests check the complexity. */
    [[nodiscard]] std::uint64_t steps() const noexcept
    {
        return m_steps;
    }

    /*! @brief Adds a member, or changes its key. */
    void set(Index index, Key key)
    {
        if (!contains(index)) {
            append(index, std::move(key));
            return;
        }
        const std::size_t position = m_positions[index];
        m_nodes[position].first = std::move(key);
        siftDown(siftUp(position));
    }

    /*! @brief Removes an index; does nothing if it is not a member. */
    void erase(Index index)
    {
        if (!contains(index)) {
            return;
        }
        const std::size_t position = m_positions[index];
        swapNodes(position, m_nodes.size() - 1);
        m_nodes.pop_back();
        m_positions[index] = absent;
        if (position < m_nodes.size()) {
            siftDown(siftUp(position));
        }
    }

private:
    static constexpr std::size_t absent = static_cast<std::size_t>(-1);

    void append(Index index, Key key)
    {
        if (index >= m_positions.size()) {
            m_positions.resize(index + 1, absent);
        }
        m_positions[index] = m_nodes.size();
        m_nodes.emplace_back(std::move(key), index);
        siftUp(m_nodes.size() - 1);
    }

    void swapNodes(std::size_t left, std::size_t right)
    {
        ++m_steps;
        std::swap(m_nodes[left], m_nodes[right]);
        m_positions[m_nodes[left].second] = left;
        m_positions[m_nodes[right].second] = right;
    }

    std::size_t siftUp(std::size_t position)
    {
        while (position > 0) {
            const std::size_t parent = (position - 1) / 2;
            if (!(m_nodes[position].first < m_nodes[parent].first)) {
                break;
            }
            swapNodes(position, parent);
            position = parent;
        }
        return position;
    }

    void siftDown(std::size_t position)
    {
        for (;;) {
            std::size_t smallest = position;
            for (std::size_t child = 2 * position + 1; child <= 2 * position + 2; ++child) {
                if (child < m_nodes.size() && m_nodes[child].first < m_nodes[smallest].first) {
                    smallest = child;
                }
            }
            if (smallest == position) {
                return;
            }
            swapNodes(position, smallest);
            position = smallest;
        }
    }

    std::vector<std::pair<Key, Index>> m_nodes;
    std::vector<std::size_t> m_positions;
    std::uint64_t m_steps{};
};

} // namespace bergamottide
