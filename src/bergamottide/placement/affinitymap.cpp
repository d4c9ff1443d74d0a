#include "bergamottide/placement/affinitymap.h"

#include "bergamottide/placement/random.h"

#include <algorithm>

namespace bergamottide {

std::uint64_t AffinityMap::score(std::size_t bucket, std::uint64_t hash) noexcept
{
    return Random::mix(hash ^ (bucket * 0x9e3779b97f4a7c15ULL));
}

std::size_t AffinityMap::bucketOf(std::uint64_t key) noexcept
{
    return static_cast<std::size_t>(Random::mix(key) % bucketCount);
}

void AffinityMap::add(EndpointNumber number, std::uint64_t hash)
{
    m_members.push_back({number, hash});
    m_buckets.resize(bucketCount);
    for (std::size_t index = 0; index < bucketCount; ++index) {
        Bucket &bucket = m_buckets[index];
        const std::uint64_t memberScore = score(index, hash);
        if (bucket.taken && bucket.score >= memberScore) {
            continue;
        }
        bucket = {number, memberScore, true};
    }
}

void AffinityMap::remove(EndpointNumber number)
{
    const auto isMember = [number](const Member &member) {
        return member.number == number;
    };
    const auto found = std::find_if(m_members.begin(), m_members.end(), isMember);
    if (found == m_members.end()) {
        return;
    }
    *found = m_members.back();
    m_members.pop_back();
    for (std::size_t index = 0; index < bucketCount; ++index) {
        if (m_buckets[index].taken && m_buckets[index].number == number) {
            recompute(index);
        }
    }
}

void AffinityMap::recompute(std::size_t bucket)
{
    m_buckets[bucket] = {};
    for (const Member &member : m_members) {
        const std::uint64_t memberScore = score(bucket, member.hash);
        if (m_buckets[bucket].taken && m_buckets[bucket].score >= memberScore) {
            continue;
        }
        m_buckets[bucket] = {member.number, memberScore, true};
    }
}

std::optional<EndpointNumber> AffinityMap::find(std::uint64_t key) const
{
    if (m_members.empty()) {
        return std::nullopt;
    }
    return m_buckets[bucketOf(key)].number;
}

} // namespace bergamottide
