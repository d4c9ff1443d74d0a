#include "bergamottide/app/peerset.h"

#include <utility>
#include <vector>

namespace bergamottide {

namespace {

/*! @brief Time for which a stream is kept after it was last asked for: three renewals of a subscription. */
constexpr Duration requirementTime = std::chrono::seconds{30};
/*!
 * @brief Time without a stream after which the end that should wait opens it itself.
 *
 * Above the longest backoff of the transport, so that the other end has tried again by then:
 * streams opened from both ends replace each other without end.
 */
constexpr Duration patience = std::chrono::seconds{5};

} // namespace

PeerSet::PeerSet(PeerTransport &transport, InstanceName self, Role role, Wanted wanted, Duration keepTime)
    : m_transport{transport}
    , m_self{std::move(self)}
    , m_role{role}
    , m_wanted{std::move(wanted)}
    , m_keepTime{keepTime}
{
}

void PeerSet::update(const InstanceView &view, TimePoint now)
{
    m_listed = view.instances;
    for (const auto &[name, instance] : view.instances) {
        if (!isWanted(instance)) {
            continue;
        }
        m_vanished.erase(name);
        std::string &address = m_addresses[name];
        if (address == instance.address) {
            continue;
        }
        address = instance.address;
        m_transport.connect(name, address);
    }
    for (const auto &[name, address] : m_addresses) {
        const auto listed = view.instances.find(name);
        if (listed == view.instances.end() || !isWanted(listed->second)) {
            m_vanished.try_emplace(name, now);
        }
    }
    expire(now);
}

void PeerSet::require(const InstanceName &peer, TimePoint now)
{
    const auto listed = m_listed.find(peer);
    if (listed == m_listed.end() || peer == m_self) {
        return;
    }
    if (m_role == Role::Side && listed->second.role == Role::Entry) {
        // An entry keeps a stream to every side of its region.
        return;
    }
    Requirement &requirement = m_required.try_emplace(peer, Requirement{now, now}).first->second;
    requirement.last = now;
    if (m_open.contains(peer) || m_addresses.contains(peer)) {
        return;
    }
    if (!opensFirst(listed->second) && now - requirement.since < patience) {
        return;
    }
    m_addresses[peer] = listed->second.address;
    m_transport.connect(peer, listed->second.address);
}

void PeerSet::expire(TimePoint now)
{
    const auto old = [now](const auto &one) {
        return now - one.second.last > requirementTime;
    };
    std::erase_if(m_required, old);
    for (const auto &[name, address] : m_addresses) {
        const auto listed = m_listed.find(name);
        if (listed != m_listed.end() && !isWanted(listed->second)) {
            m_vanished.try_emplace(name, now);
        }
    }
    std::vector<InstanceName> gone;
    for (const auto &[name, since] : m_vanished) {
        if (now - since > m_keepTime || !m_open.contains(name)) {
            gone.push_back(name);
        }
    }
    for (const InstanceName &name : gone) {
        forget(name);
    }
}

void PeerSet::opened(const InstanceName &peer)
{
    m_open.insert(peer);
}

void PeerSet::closed(const InstanceName &peer, TimePoint now)
{
    m_open.erase(peer);
    const auto required = m_required.find(peer);
    if (required != m_required.end()) {
        required->second.since = now;
    }
}

std::size_t PeerSet::open() const noexcept
{
    return m_open.size();
}

std::size_t PeerSet::wanted() const noexcept
{
    return m_addresses.size() - m_vanished.size();
}

bool PeerSet::isWanted(const Instance &instance) const
{
    const bool required = m_required.contains(instance.name) && m_addresses.contains(instance.name);
    return required || (instance.name != m_self && m_wanted(instance));
}

bool PeerSet::opensFirst(const Instance &instance) const
{
    if (instance.role == m_role) {
        return m_self < instance.name;
    }
    return m_role == Role::Entry;
}

void PeerSet::forget(const InstanceName &peer)
{
    m_vanished.erase(peer);
    m_addresses.erase(peer);
    m_open.erase(peer);
    m_transport.disconnect(peer);
}

} // namespace bergamottide
