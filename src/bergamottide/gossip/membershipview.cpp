#include "bergamottide/gossip/membershipview.h"

#include <xxhash.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Limited because every relay exchanges heartbeats with every other one. */
constexpr std::size_t maxRelays = 16;
/*! @brief Relays of one process: a primary and a standby. */
constexpr std::size_t relaysPerProcess = 2;
/*! @brief Smallest fleet in which processes read the platform's store for others. */
constexpr std::size_t minFleetWithReaders = 9;
/*! @brief Minimum number of processes that read the platform's store; tolerates two simultaneous failures. */
constexpr std::size_t minReaders = 3;
/*! @brief Processes served by each reader of the platform's store. */
constexpr std::size_t processesPerReader = 32;
/*! @brief Minimum capacity of a relay, relative to the largest one: relays own the queues of the whole fleet. */
constexpr double minRelativeRelayCapacity = 0.5;

/*! @brief Returns when a peer changes state unless a heartbeat arrives; the far future if it does not. */
TimePoint nextChangeAt(const PeerState &peer, TimePoint now)
{
    if (now < peer.unreachableUntil) {
        return peer.unreachableUntil;
    }
    return peer.hasRecentHeartbeat(now) ? peer.lastHeartbeatAt + peerTimeout : TimePoint::max();
}

} // namespace

std::uint64_t rendezvousScore(std::string_view key, const InstanceName &process)
{
    return XXH3_64bits_withSeed(process.text().data(), process.text().size(), XXH3_64bits(key.data(), key.size()));
}

bool PeerState::hasRecentHeartbeat(TimePoint now) const
{
    return now >= unreachableUntil && lastHeartbeatAt != TimePoint{} && now - lastHeartbeatAt < peerTimeout;
}

MembershipView::MembershipView(const PeerInfo &self, bool canOwnQueues, const PeerStates &peers, TimePoint now)
    : m_self{self}
{
    collectMembers(peers, now);
    selectRelays(canOwnQueues);
    selectPartners(peers, now);
    selectStoreReaders();
}

/*
 * Heartbeats that have arrived since the view was built put the timeouts off, so that a view outlives the timeouts
 * known when it was built.
 */
bool MembershipView::isValid(TimePoint now)
{
    if (now < m_validUntil) {
        return true;
    }
    m_validUntil = TimePoint::max();
    for (const auto &[peer, isUnreachable] : m_timedPeers) {
        if (isUnreachable ? now >= peer->unreachableUntil : !peer->hasRecentHeartbeat(now)) {
            return false;
        }
        m_validUntil = std::min(m_validUntil, nextChangeAt(*peer, now));
    }
    return true;
}

const std::vector<Member> &MembershipView::live() const noexcept
{
    return m_live;
}

const Member *MembershipView::find(const PeerState *peer) const
{
    const auto found = m_liveIndex.find(peer);
    return found == m_liveIndex.end() ? nullptr : &m_live[found->second];
}

bool MembershipView::isAlive(const PeerState *peer) const
{
    return m_liveIndex.contains(peer) || m_draining.contains(peer);
}

const PeerState *MembershipView::findByAddress(const std::string &address) const
{
    const auto found = m_peersByAddress.find(address);
    if (found == m_peersByAddress.end()) {
        return nullptr;
    }
    return *std::ranges::max_element(found->second, {}, &PeerState::lastHeartbeatAt);
}

bool MembershipView::isRelay() const noexcept
{
    return m_isRelay;
}

std::vector<PeerInfo> MembershipView::otherRelays() const
{
    std::vector<PeerInfo> out;
    for (const Relay &relay : m_relays) {
        if (relay.info.instance != m_self.instance) {
            out.push_back(relay.info);
        }
    }
    return out;
}

const std::vector<InstanceName> &MembershipView::partners() const noexcept
{
    return m_partners;
}

bool MembershipView::isPartner(const PeerState *peer) const
{
    return peer != nullptr && std::ranges::find(m_partners, peer->info.instance) != m_partners.end();
}

bool MembershipView::hearsRelay() const noexcept
{
    return m_hearsRelay;
}

const std::vector<std::string> &MembershipView::storeReaders() const noexcept
{
    return m_storeReaders;
}

bool MembershipView::isServedByOtherRelay(const PeerInfo &peer) const
{
    return peer.zone != m_self.zone && m_relayZones.contains(peer.zone);
}

const std::optional<PeerInfo> &MembershipView::queueOwner(const PoolName &pool) const
{
    const auto found = m_ownerCache.find(pool);
    return found != m_ownerCache.end() ? found->second : m_ownerCache.emplace(pool, selectOwner(pool)).first->second;
}

std::uint32_t MembershipView::share(const std::string &key, std::uint32_t units) const
{
    const auto [found, isNew] = m_shareCache.try_emplace({key, units});
    if (isNew) {
        found->second = computeShare(key, units);
    }
    return found->second;
}

void MembershipView::collectMembers(const PeerStates &peers, TimePoint now)
{
    const std::map<InstanceName, RosterState> rosters = collectRosters(peers, now);
    for (const auto &[instance, peer] : peers) {
        m_allPeers.push_back(&peer);
        const TimePoint changeAt = nextChangeAt(peer, now);
        if (changeAt != TimePoint::max()) {
            m_validUntil = std::min(m_validUntil, changeAt);
            m_timedPeers.push_back({&peer, now < peer.unreachableUntil});
        }
        m_peersByAddress[peer.info.address].push_back(&peer);
        const bool isDirect = peer.hasRecentHeartbeat(now);
        const auto listed = rosters.find(instance);
        const bool isListed = listed != rosters.end() && listed->second.isListed;
        if (now < peer.unreachableUntil || (!isDirect && !isListed)) {
            continue;
        }
        if (isDirect && peer.draining) {
            m_draining.insert(&peer);
            continue;
        }
        // A peer's own heartbeats take precedence over rosters.
        const bool canOwnQueues = isDirect ? peer.canOwnQueues : listed->second.canOwnQueues;
        m_liveIndex.emplace(&peer, m_live.size());
        m_live.push_back({&peer, isDirect, canOwnQueues});
    }
}

/*! @brief Merges the rosters of the relays whose heartbeats arrive here. */
std::map<InstanceName, MembershipView::RosterState> MembershipView::collectRosters(const PeerStates &peers,
                                                                                   TimePoint now)
{
    std::map<InstanceName, RosterState> out;
    for (const auto &[instance, relay] : peers) {
        if (!relay.isRelay || !relay.hasRecentHeartbeat(now)) {
            continue;
        }
        for (const auto &[listed, canOwnQueues] : relay.roster) {
            RosterState &state = out[listed];
            state.isListed = true;
            state.canOwnQueues = state.canOwnQueues || canOwnQueues;
        }
    }
    return out;
}

/*! @brief Sorts relays by their rendezvous hashing score for a key, the highest first. */
void MembershipView::sortByScore(std::vector<Relay> &relays, std::string_view key)
{
    std::ranges::sort(relays, std::ranges::greater{},
                      [key](const Relay &relay) { return rendezvousScore(key, relay.info.instance); });
}

/*!
 * @brief Selects relays by rendezvous hashing, evenly across availability zones as far as possible.
 *
 * Processes prefer relays of their own zone, so those of a zone with few relays would be overloaded.
 */
std::vector<MembershipView::Relay> MembershipView::selectAcrossZones(std::vector<Relay> candidates,
                                                                     std::string_view key, std::size_t limit)
{
    sortByScore(candidates, key);
    std::map<ZoneName, std::size_t> countByZone;
    for (const Relay &relay : candidates) {
        ++countByZone[relay.info.zone];
    }
    const std::size_t quota = countByZone.empty() ? 0 : (limit + countByZone.size() - 1) / countByZone.size();
    countByZone.clear();
    // Candidates beyond the quota of their zone come last.
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&countByZone, quota](const Relay &relay) { return countByZone[relay.info.zone]++ < quota; });
    candidates.resize(std::min(candidates.size(), limit));
    return candidates;
}

void MembershipView::selectRelays(bool canOwnQueues)
{
    std::vector<Relay> candidates{{m_self, canOwnQueues}};
    for (const Member &member : m_live) {
        candidates.push_back({member.peer->info, member.canOwnQueues});
    }
    double strongest = 0.0;
    for (const Relay &candidate : candidates) {
        strongest = std::max(strongest, candidate.info.capacity);
    }
    std::erase_if(candidates, [strongest](const Relay &candidate) {
        return candidate.info.capacity < strongest * minRelativeRelayCapacity;
    });
    m_relays = selectAcrossZones(std::move(candidates), relayKey, maxRelays);
    for (const Relay &relay : m_relays) {
        m_relayZones.insert(relay.info.zone);
        m_isRelay = m_isRelay || relay.info.instance == m_self.instance;
    }
}

/*
 * If possible, the primary relay is in the zone of this process, to limit cross-zone traffic, and the standby is in
 * another zone, so that losing all relays of one zone does not disconnect the process.
 */
void MembershipView::selectPartners(const PeerStates &peers, TimePoint now)
{
    std::vector<Relay> local;
    std::vector<Relay> remote;
    for (const Relay &relay : m_relays) {
        if (relay.info.instance != m_self.instance) {
            (relay.info.zone == m_self.zone ? local : remote).push_back(relay);
        }
    }
    if (!m_isRelay) {
        sortByScore(local, m_self.instance.text());
        sortByScore(remote, m_self.instance.text());
        local.resize(std::min(local.size(), remote.empty() ? relaysPerProcess : 1));
        remote.resize(std::min(remote.size(), relaysPerProcess - local.size()));
    }
    local.insert(local.end(), remote.begin(), remote.end());
    for (const Relay &relay : local) {
        const PeerState &peer = peers.at(relay.info.instance);
        m_partners.push_back(relay.info.instance);
        m_hearsRelay = m_hearsRelay || (peer.isRelay && peer.hasRecentHeartbeat(now));
    }
}

/*
 * A few readers bound the number of calls to the platform. They are spread over the zones, and a process prefers
 * readers of its own zone, to limit cross-zone traffic: some 1,000 changes of a lost zone, relayed across zones to 300
 * processes, cost more than anything else in a fleet of that size.
 */
void MembershipView::selectStoreReaders()
{
    const std::size_t fleet = m_live.size() + 1;
    if (fleet < minFleetWithReaders) {
        return;
    }
    std::vector<Relay> readers = m_relays;
    std::erase_if(readers, [](const Relay &relay) { return !relay.canOwnQueues; });
    readers = selectAcrossZones(std::move(readers), "reader", std::max(minReaders, fleet / processesPerReader));
    if (std::ranges::any_of(readers, [this](const Relay &reader) { return reader.info.instance == m_self.instance; })) {
        return;
    }
    sortByScore(readers, m_self.instance.text());
    std::stable_partition(readers.begin(), readers.end(),
                          [this](const Relay &reader) { return reader.info.zone == m_self.zone; });
    for (const Relay &reader : readers) {
        m_storeReaders.push_back(reader.info.address);
    }
}

std::optional<PeerInfo> MembershipView::selectOwner(const PoolName &pool) const
{
    std::optional<PeerInfo> best;
    std::uint64_t bestScore = 0;
    for (const Relay &relay : m_relays) {
        const std::uint64_t score = rendezvousScore(pool.text(), relay.info.instance);
        if (relay.canOwnQueues && score > bestScore) {
            bestScore = score;
            best = relay.info;
        }
    }
    return best && best->instance == m_self.instance ? std::nullopt : best;
}

std::uint32_t MembershipView::computeShare(const std::string &key, std::uint32_t units) const
{
    const auto processes = static_cast<std::uint32_t>(m_allPeers.size() + 1);
    const std::uint32_t remainder = units % processes;
    const std::uint64_t ownScore = rendezvousScore(key, m_self.instance);
    std::uint32_t precedingCount = 0;
    for (const PeerState *peer : m_allPeers) {
        precedingCount += rendezvousScore(key, peer->info.instance) > ownScore ? 1 : 0;
        if (precedingCount >= remainder) {
            return units / processes;
        }
    }
    return units / processes + (precedingCount < remainder ? 1 : 0);
}

} // namespace bergamottide::serving
