#pragma once

#include "bergamottide/placement/endpoint.h"

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace bergamottide {

/**
 * @brief Set of endpoints with random access and the sums of their loads and concurrencies.
 *
 * All operations take constant time.
 */
class EndpointSet
{
public:
    /*! @brief Adds an endpoint that is not in the set. */
    void add(const Endpoint &endpoint, EndpointNumber number)
    {
        m_positions.emplace(number, m_members.size());
        m_members.push_back(number);
        m_load += endpoint.load;
        m_slots += endpoint.slots;
    }

    /*! @brief Removes an endpoint; does nothing if it is not in the set. */
    void remove(const Endpoint &endpoint, EndpointNumber number)
    {
        const auto found = m_positions.find(number);
        if (found == m_positions.end()) {
            return;
        }
        const std::size_t position = found->second;
        m_positions.erase(found);
        m_load -= endpoint.load;
        m_slots -= endpoint.slots;
        const EndpointNumber last = m_members.back();
        m_members.pop_back();
        if (last != number) {
            m_members[position] = last;
            m_positions[last] = position;
        }
    }

    /*! @brief Adds the changes of a member's load and concurrency to the sums. */
    void changeLoad(std::int64_t load, std::int64_t slots) noexcept
    {
        m_load += load;
        m_slots += slots;
    }

    /*! @brief Returns the sum of the members' concurrencies. */
    [[nodiscard]] std::int64_t slots() const noexcept
    {
        return m_slots;
    }

    /*! @brief Returns the mean load of the members, in thousandths of their concurrency. */
    [[nodiscard]] std::int64_t averageLoad() const noexcept
    {
        return m_members.empty() ? 0 : m_load / static_cast<std::int64_t>(m_members.size());
    }

    /*! @brief Returns the member at a position, which must be below `size()`. */
    [[nodiscard]] EndpointNumber operator[](std::size_t position) const noexcept
    {
        return m_members[position];
    }

    /*! @brief Returns the number of members. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_members.size();
    }

private:
    std::vector<EndpointNumber> m_members;
    absl::flat_hash_map<EndpointNumber, std::size_t> m_positions;
    std::int64_t m_load{};
    std::int64_t m_slots{};
};

} // namespace bergamottide
