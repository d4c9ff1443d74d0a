#include "bergamottide/app/peerset.h"

#include <utility>
#include <vector>

namespace bergamottide {

PeerSet::PeerSet(PeerTransport &transport, Wanted wanted, Duration keepTime)
    : m_transport{transport}
    , m_wanted{std::move(wanted)}
    , m_keepTime{keepTime}
{
}

void PeerSet::update(const InstanceView &view, TimePoint now)
{
    for (const auto &[name, instance] : view.instances) {
        if (!m_wanted(instance)) {
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
        if (listed == view.instances.end() || !m_wanted(listed->second)) {
            m_vanished.try_emplace(name, now);
        }
    }
    expire(now);
}

void PeerSet::expire(TimePoint now)
{
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

void PeerSet::closed(const InstanceName &peer)
{
    m_open.erase(peer);
}

std::size_t PeerSet::open() const noexcept
{
    return m_open.size();
}

std::size_t PeerSet::wanted() const noexcept
{
    return m_addresses.size() - m_vanished.size();
}

void PeerSet::forget(const InstanceName &peer)
{
    m_vanished.erase(peer);
    m_addresses.erase(peer);
    m_open.erase(peer);
    m_transport.disconnect(peer);
}

} // namespace bergamottide
