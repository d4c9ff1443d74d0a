#pragma once

#include "bergamottide/placement/endpoint.h"

#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Rendezvous hashing of keys over a changing set of endpoints, in constant time per look-up.
 *
 * Keys fall into a fixed number of buckets; each bucket belongs to the member with the
 * highest hash for it. Adding a member looks at each bucket once, removing one recomputes
 * only the buckets it had. The result depends on the set alone, not on the order of changes,
 * so two entries with the same set agree.
 */
class AffinityMap
{
public:
    /*! @brief Number of buckets: eight for each endpoint of the largest zone (129), so that shares differ little. */
    static constexpr std::size_t bucketCount = 1024;

    /*! @brief Adds a member that is not in the set. */
    void add(EndpointNumber number, std::uint64_t hash);
    /*! @brief Removes a member; one that is not in the set changes nothing. */
    void remove(EndpointNumber number);

    /**
     * @brief Finds the member of a key.
     * @param key Hash of a prompt's prefix.
     * @return The member, or nothing if the set is empty.
     */
    [[nodiscard]] std::optional<EndpointNumber> find(std::uint64_t key) const;

    /*! @brief Returns the number of members. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_members.size();
    }

private:
    struct Member
    {
        EndpointNumber number{};
        std::uint64_t hash{};
    };

    struct Bucket
    {
        EndpointNumber number{};
        std::uint64_t score{};
        bool taken{};
    };

    [[nodiscard]] static std::uint64_t score(std::size_t bucket, std::uint64_t hash) noexcept;
    [[nodiscard]] static std::size_t bucketOf(std::uint64_t key) noexcept;
    void recompute(std::size_t bucket);

    std::vector<Member> m_members;
    std::vector<Bucket> m_buckets;
};

} // namespace bergamottide
