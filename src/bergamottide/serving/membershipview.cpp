#include "bergamottide/serving/membershipview.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Relays at most: each exchanges heartbeats with all others, five times a second. */
constexpr std::size_t mostRelays = 16;
/*! @brief Relays that a process exchanges heartbeats with: the second one is there when the first is lost. */
constexpr std::size_t relaysOfOne = 2;
/*! @brief Smallest fleet in which processes read the platform for others: below, reading oneself costs no more. */
constexpr std::size_t leastFollowedFleet = 9;
/*! @brief Processes that read the platform: enough that one is left after two losses at once, and one for so many
 * others, each of which asks twice a second. */
constexpr std::size_t leastReaders = 3;
constexpr std::size_t processesOfReader = 32;
/*! @brief Share of the strongest process's strength that a relay has at least: it owns queues for the whole fleet. */
constexpr double relayStrength = 0.5;

/*! @brief Digest of a roster's entry. The digest of a roster is the sum of them, so that one can be taken out. */
std::uint64_t digestOf(const PeerInfo &peer, bool ownsQueues)
{
    const std::string text = absl::StrCat(peer.instance.text(), " ", peer.address, " ", peer.strength, " ",
                                          peer.zone.text(), " ", ownsQueues);
    return XXH3_64bits(text.data(), text.size());
}

/*! @brief Returns when a peer that tells nothing more counts differently; the far future if it does not. */
TimePoint changesAt(const PeerState &peer, TimePoint now)
{
    if (now < peer.unreachedUntil) {
        return peer.unreachedUntil;
    }
    return peer.isHeard(now) ? peer.heardAt + peerSilence : TimePoint::max();
}

} // namespace

std::uint64_t rendezvousScore(std::string_view key, const InstanceName &process)
{
    return XXH3_64bits_withSeed(process.text().data(), process.text().size(), XXH3_64bits(key.data(), key.size()));
}

bool PeerState::isHeard(TimePoint now) const
{
    return now >= unreachedUntil && heardAt != TimePoint{} && now - heardAt < peerSilence;
}

MembershipView::MembershipView(const PeerInfo &self, bool ownsQueues, const PeerStates &peers, TimePoint now)
    : m_self{self}
{
    collectMembers(peers, now);
    chooseRelays(ownsQueues);
    choosePartners();
    chooseReaders();
}

bool MembershipView::holds(TimePoint now) const noexcept
{
    return now < m_until;
}

const std::vector<Member> &MembershipView::live() const noexcept
{
    return m_live;
}

const Member *MembershipView::find(const PeerState *peer) const
{
    const auto found = m_places.find(peer);
    return found == m_places.end() ? nullptr : &m_live[found->second];
}

bool MembershipView::isAlive(const PeerState *peer) const
{
    return m_places.contains(peer) || m_draining.contains(peer);
}

const PeerState *MembershipView::atAddress(const std::string &address) const
{
    const auto found = m_atAddress.find(address);
    if (found == m_atAddress.end()) {
        return nullptr;
    }
    return *std::ranges::max_element(found->second, {}, &PeerState::heardAt);
}

bool MembershipView::isRelay() const noexcept
{
    return m_isRelay;
}

const std::vector<InstanceName> &MembershipView::partners() const noexcept
{
    return m_partners;
}

const std::vector<std::string> &MembershipView::readers() const noexcept
{
    return m_readers;
}

bool MembershipView::isToldByAnother(const PeerInfo &peer) const
{
    return peer.zone != m_self.zone && m_relayZones.contains(peer.zone);
}

std::uint64_t MembershipView::digest(bool heardOnly) const noexcept
{
    return heardOnly ? m_heardDigest : m_liveDigest;
}

const std::optional<PeerInfo> &MembershipView::owner(const PoolName &pool) const
{
    const auto found = m_owners.find(pool);
    return found != m_owners.end() ? found->second : m_owners.emplace(pool, drawOwner(pool)).first->second;
}

std::uint32_t MembershipView::share(const std::string &key, std::uint32_t units) const
{
    const auto [found, isNew] = m_shares.try_emplace({key, units});
    if (isNew) {
        found->second = deal(key, units);
    }
    return found->second;
}

void MembershipView::collectMembers(const PeerStates &peers, TimePoint now)
{
    const std::map<InstanceName, Reported> told = reported(peers, now);
    for (const auto &[instance, peer] : peers) {
        m_known.push_back(&peer);
        m_until = std::min(m_until, changesAt(peer, now));
        m_atAddress[peer.info.address].push_back(&peer);
        const bool heard = peer.isHeard(now);
        const auto reported = told.find(instance);
        const bool isTold = reported != told.end() && reported->second.isTold;
        if (now < peer.unreachedUntil || (!heard && !isTold)) {
            continue;
        }
        if (heard && peer.draining) {
            m_draining.insert(&peer);
            continue;
        }
        // What a peer tells itself while it is heard goes before what relays tell of it.
        const bool ownsQueues = heard ? peer.ownsQueues : reported->second.ownsQueues;
        const std::uint64_t digest = digestOf(peer.info, ownsQueues);
        m_places.emplace(&peer, m_live.size());
        m_live.push_back({&peer, heard, ownsQueues, digest});
        m_liveDigest += digest;
        m_heardDigest += heard ? digest : 0;
    }
}

/*! @brief Returns what the relays that are heard tell of others. */
std::map<InstanceName, MembershipView::Reported> MembershipView::reported(const PeerStates &peers, TimePoint now)
{
    std::map<InstanceName, Reported> out;
    for (const auto &[instance, teller] : peers) {
        if (!teller.isRelay || !teller.isHeard(now)) {
            continue;
        }
        for (const auto &[told, ownsQueues] : teller.roster) {
            Reported &reported = out[told];
            reported.isTold = true;
            reported.ownsQueues = reported.ownsQueues || ownsQueues;
        }
    }
    return out;
}

/*! @brief Orders relays as rendezvous hashing prefers them for a key, the best first. */
void MembershipView::sortByPreference(std::vector<Relay> &relays, std::string_view key)
{
    std::ranges::sort(relays, std::ranges::greater{},
                      [key](const Relay &relay) { return rendezvousScore(key, relay.info.instance); });
}

/*!
 * @brief Draws relays by rendezvous hashing, equally many of each zone as far as there are.
 *
 * Processes turn to relays of their zone, so that a zone with few would load these most.
 */
std::vector<MembershipView::Relay> MembershipView::drawEvenly(std::vector<Relay> candidates, std::string_view key,
                                                              std::size_t most)
{
    sortByPreference(candidates, key);
    std::map<ZoneName, std::size_t> places;
    for (const Relay &relay : candidates) {
        ++places[relay.info.zone];
    }
    const std::size_t ofZone = places.empty() ? 0 : (most + places.size() - 1) / places.size();
    places.clear();
    // Those beyond their zone's number come last.
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&places, ofZone](const Relay &relay) { return places[relay.info.zone]++ < ofZone; });
    candidates.resize(std::min(candidates.size(), most));
    return candidates;
}

void MembershipView::chooseRelays(bool ownsQueues)
{
    std::vector<Relay> candidates{{m_self, ownsQueues}};
    for (const Member &member : m_live) {
        candidates.push_back({member.peer->info, member.ownsQueues});
    }
    double strongest = 0.0;
    for (const Relay &candidate : candidates) {
        strongest = std::max(strongest, candidate.info.strength);
    }
    std::erase_if(candidates,
                  [strongest](const Relay &candidate) { return candidate.info.strength < strongest * relayStrength; });
    m_relays = drawEvenly(std::move(candidates), relayKey, mostRelays);
    for (const Relay &relay : m_relays) {
        m_relayZones.insert(relay.info.zone);
        m_isRelay = m_isRelay || relay.info.instance == m_self.instance;
    }
}

/*
 * Answers bytes between zones, which grow with the fleet: a process gets its news from a relay of its own zone. The
 * second one is of another zone, so that the loss of a zone's relays leaves it connected.
 */
void MembershipView::choosePartners()
{
    std::vector<Relay> near;
    std::vector<Relay> far;
    for (const Relay &relay : m_relays) {
        if (relay.info.instance != m_self.instance) {
            (relay.info.zone == m_self.zone ? near : far).push_back(relay);
        }
    }
    if (!m_isRelay) {
        sortByPreference(near, m_self.instance.text());
        sortByPreference(far, m_self.instance.text());
        near.resize(std::min(near.size(), far.empty() ? relaysOfOne : 1));
        far.resize(std::min(far.size(), relaysOfOne - near.size()));
    }
    near.insert(near.end(), far.begin(), far.end());
    for (const Relay &relay : near) {
        m_partners.push_back(relay.info.instance);
    }
}

/*
 * Answers the calls to the platform, which would grow with the fleet, and the bytes between zones: each zone with
 * relays has its readers, and a process asks those of its zone first. Some 1,000 changes of a lost zone, told to 300
 * processes across zones, were the largest price of a fleet of that size.
 */
void MembershipView::chooseReaders()
{
    const std::size_t fleet = m_live.size() + 1;
    if (fleet < leastFollowedFleet) {
        return;
    }
    std::vector<Relay> readers = m_relays;
    std::erase_if(readers, [](const Relay &relay) { return !relay.ownsQueues; });
    readers = drawEvenly(std::move(readers), "reader", std::max(leastReaders, fleet / processesOfReader));
    if (std::ranges::any_of(readers, [this](const Relay &reader) { return reader.info.instance == m_self.instance; })) {
        return;
    }
    sortByPreference(readers, m_self.instance.text());
    std::stable_partition(readers.begin(), readers.end(),
                          [this](const Relay &reader) { return reader.info.zone == m_self.zone; });
    for (const Relay &reader : readers) {
        m_readers.push_back(reader.info.address);
    }
}

std::optional<PeerInfo> MembershipView::drawOwner(const PoolName &pool) const
{
    std::optional<PeerInfo> best;
    std::uint64_t bestScore = 0;
    for (const Relay &relay : m_relays) {
        const std::uint64_t score = rendezvousScore(pool.text(), relay.info.instance);
        if (relay.ownsQueues && score > bestScore) {
            bestScore = score;
            best = relay.info;
        }
    }
    return best && best->instance == m_self.instance ? std::nullopt : best;
}

std::uint32_t MembershipView::deal(const std::string &key, std::uint32_t units) const
{
    const auto processes = static_cast<std::uint32_t>(m_known.size() + 1);
    if (processes <= units) {
        return units / processes;
    }
    const std::uint64_t own = rendezvousScore(key, m_self.instance);
    std::uint32_t before = 0;
    for (const PeerState *peer : m_known) {
        before += rendezvousScore(key, peer->info.instance) > own ? 1 : 0;
        if (before >= units) {
            return 0;
        }
    }
    return 1;
}

} // namespace bergamottide::serving
