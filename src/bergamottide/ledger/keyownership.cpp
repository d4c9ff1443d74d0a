#include "bergamottide/ledger/keyownership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

std::uint64_t score(const RequestId &request, const InstanceName &instance)
{
    // Hashing both halves avoids collisions between identities with related halves.
    const std::uint64_t inner = XXH3_64bits_withSeed(instance.text().data(), instance.text().size(), request.high);
    return XXH3_64bits_withSeed(&inner, sizeof(inner), request.low);
}

/*! @brief Returns whether an instance is preferred to another as home of a request. */
bool ranksHigher(const RequestId &request, const InstanceName &left, const InstanceName &right)
{
    return std::pair{score(request, left), left} > std::pair{score(request, right), right};
}

/*! @brief Returns whether an instance may become the home of requests whose last stage runs in a pool. */
bool isCandidate(const Instance &instance, const PoolName &pool)
{
    return instance.role == Role::Sidecar && instance.pool == pool && !instance.leaving;
}

} // namespace

InstanceName homeForKey(const RequestId &request, const InstanceView &view, const PoolName &pool)
{
    InstanceName home;
    for (const auto &[name, instance] : view.instances) {
        if (!isCandidate(instance, pool)) {
            continue;
        }
        if (home.empty() || ranksHigher(request, name, home)) {
            home = name;
        }
    }
    return home;
}

void KeyOwnership::update(const InstanceView &view, const PoolName &pool, TimePoint now, Duration window)
{
    for (auto &[name, member] : m_members) {
        const auto found = view.instances.find(name);
        const bool present = found != view.instances.end() && isCandidate(found->second, pool);
        if (!present && !member.leftAt) {
            member.leftAt = now;
        }
    }
    for (const auto &[name, instance] : view.instances) {
        if (!isCandidate(instance, pool)) {
            continue;
        }
        const auto [member, added] = m_members.try_emplace(name, Member{now, std::nullopt});
        if (member->second.leftAt) {
            member->second = Member{now, std::nullopt};
        }
    }
    std::erase_if(m_members, [now, window](const auto &entry) {
        return entry.second.leftAt && *entry.second.leftAt + window < now;
    });
}

KeyDecision KeyOwnership::decide(const RequestId &request, const InstanceName &self, TimePoint now,
                                 Duration window) const
{
    const auto own = m_members.find(self);
    if (own == m_members.end() || own->second.leftAt) {
        return {Reason::StaleView, Duration{}};
    }
    TimePoint clear = own->second.joinedAt + window;
    for (const auto &[name, member] : m_members) {
        if (name == self || !ranksHigher(request, name, self)) {
            continue;
        }
        if (!member.leftAt) {
            return {Reason::StaleView, Duration{}};
        }
        clear = std::max(clear, *member.leftAt + window);
    }
    if (now < clear) {
        return {Reason::Warming, clear - now};
    }
    return {};
}

} // namespace bergamottide
