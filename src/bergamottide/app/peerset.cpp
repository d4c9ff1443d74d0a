#include "bergamottide/app/peerset.h"

#include <utility>
#include <vector>

namespace bergamottide {

namespace {

/*! @brief Time for which a stream is kept after its last request; subscriptions are renewed more often. */
constexpr Duration requestLifetime = std::chrono::seconds{30};
/*!
 * @brief Time without a stream after which the passive end opens it itself.
 *
 * Must exceed the longest backoff of the transport: streams opened from both ends would keep replacing each other.
 */
constexpr Duration initiatorGracePeriod = std::chrono::seconds{5};

} // namespace

PeerSet::PeerSet(PeerTransport &transport, InstanceName self, Role role, PeerFilter isNeeded,
                 Duration removedPeerRetention)
    : m_transport{transport}
    , m_self{std::move(self)}
    , m_role{role}
    , m_isNeeded{std::move(isNeeded)}
    , m_removedPeerRetention{removedPeerRetention}
{
}

void PeerSet::update(const InstanceView &view, TimePoint now)
{
    m_instances = view.instances;
    for (const auto &[name, instance] : view.instances) {
        if (!shouldKeep(instance)) {
            continue;
        }
        m_removedAt.erase(name);
        std::string &address = m_addresses[name];
        if (address == instance.address) {
            continue;
        }
        address = instance.address;
        m_transport.connect(name, address);
    }
    for (const auto &[name, address] : m_addresses) {
        const auto listed = view.instances.find(name);
        if (listed == view.instances.end() || !shouldKeep(listed->second)) {
            m_removedAt.try_emplace(name, now);
        }
    }
    closeExpired(now);
}

void PeerSet::requestStream(const InstanceName &peer, TimePoint now)
{
    const auto listed = m_instances.find(peer);
    if (listed == m_instances.end() || peer == m_self) {
        return;
    }
    if (m_role == Role::Sidecar && listed->second.role == Role::Entry) {
        // An entry keeps a stream to every sidecar of its region.
        return;
    }
    StreamRequest &streamRequest = m_streamRequests.try_emplace(peer, StreamRequest{now, now}).first->second;
    streamRequest.lastRequestedAt = now;
    if (m_open.contains(peer) || m_addresses.contains(peer)) {
        return;
    }
    if (!isInitiator(listed->second) && now - streamRequest.unconnectedSince < initiatorGracePeriod) {
        return;
    }
    m_addresses[peer] = listed->second.address;
    m_transport.connect(peer, listed->second.address);
}

void PeerSet::closeExpired(TimePoint now)
{
    const auto isExpired = [now](const auto &entry) {
        return now - entry.second.lastRequestedAt > requestLifetime;
    };
    std::erase_if(m_streamRequests, isExpired);
    for (const auto &[name, address] : m_addresses) {
        const auto listed = m_instances.find(name);
        if (listed != m_instances.end() && !shouldKeep(listed->second)) {
            m_removedAt.try_emplace(name, now);
        }
    }
    std::vector<InstanceName> expired;
    for (const auto &[name, removedAt] : m_removedAt) {
        if (now - removedAt > m_removedPeerRetention || !m_open.contains(name)) {
            expired.push_back(name);
        }
    }
    for (const InstanceName &name : expired) {
        removePeer(name);
    }
}

void PeerSet::handleOpened(const InstanceName &peer)
{
    m_open.insert(peer);
}

void PeerSet::handleClosed(const InstanceName &peer, TimePoint now)
{
    m_open.erase(peer);
    const auto request = m_streamRequests.find(peer);
    if (request != m_streamRequests.end()) {
        request->second.unconnectedSince = now;
    }
}

std::size_t PeerSet::openCount() const noexcept
{
    return m_open.size();
}

std::size_t PeerSet::wantedCount() const noexcept
{
    return m_addresses.size() - m_removedAt.size();
}

bool PeerSet::shouldKeep(const Instance &instance) const
{
    const bool isRequested = m_streamRequests.contains(instance.name) && m_addresses.contains(instance.name);
    return isRequested || (instance.name != m_self && m_isNeeded(instance));
}

bool PeerSet::isInitiator(const Instance &instance) const
{
    if (instance.role == m_role) {
        return m_self < instance.name;
    }
    return m_role == Role::Entry;
}

void PeerSet::removePeer(const InstanceName &peer)
{
    m_removedAt.erase(peer);
    m_addresses.erase(peer);
    m_open.erase(peer);
    m_transport.disconnect(peer);
}

} // namespace bergamottide
