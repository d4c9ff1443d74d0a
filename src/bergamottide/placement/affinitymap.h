#pragma once

#include "bergamottide/placement/endpoint.h"

#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Rendezvous hashing of keys to endpoints with look-ups in constant time.
 *
 * Keys are hashed to a fixed number of buckets; each bucket is assigned to the member with
 * the highest score for it. Adding a member visits each bucket once, removing one only
 * recomputes the buckets assigned to it. The assignment depends on the set of members and
 * not on the order of changes, so that entry processes with the same set agree.
 */
class AffinityMap
{
public:
    /*! @brief Number of buckets: eight for each endpoint of a zone with 129, so that the shares differ little. */
    static constexpr std::size_t bucketCount = 1024;

    /*! @brief Adds an endpoint that is not a member yet. */
    void add(EndpointNumber number, std::uint64_t hash);
    /*! @brief Removes an endpoint; does nothing if it is not a member. */
    void remove(EndpointNumber number);

    /**
     * @brief Returns the member that a key is assigned to.
     * @param key Hash of a prompt's prefix.
     * @return Member, or nothing if there are none.
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
