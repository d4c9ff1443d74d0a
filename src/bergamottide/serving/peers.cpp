#include "bergamottide/serving/peers.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Silence after which a peer counts as gone; its work is done again elsewhere, so not much longer than a stage
 * call. */
constexpr Duration silence = std::chrono::milliseconds{900};
/*! @brief Period in which peers that are gone, and seeds that never answered, are asked again. */
constexpr Duration seedPeriod = std::chrono::milliseconds{500};
/*! @brief Addresses that are tried at once in that period: enough to meet again soon, few at any size of the fleet. */
constexpr std::size_t mostTrials = 4;
/*! @brief Ticks come a little early or late; a heartbeat due within this time goes with the present one. */
constexpr Duration tolerance = std::chrono::milliseconds{20};
/*! @brief Silence after which a peer is forgotten altogether. */
constexpr Duration forgetting = std::chrono::seconds{60};
/*! @brief Hubs at most: each exchanges heartbeats with all others, five times a second. */
constexpr std::size_t mostHubs = 16;
/*! @brief Hubs that a process exchanges heartbeats with: the second one is there when the first is lost. */
constexpr std::size_t hubsOfOne = 2;
/*! @brief Share of the strongest process's strength that a hub has at least: it keeps queues for the whole fleet. */
constexpr double hubStrength = 0.5;

/*! @brief Age up to which a hub passes on what a process told of its generations: two heartbeats. */
constexpr Duration reportTime = std::chrono::milliseconds{450};
/*! @brief Reports and prompts of others in one heartbeat at most. In a larger fleet each process knows a part of the
 * others' generations only; prompts then meet at their home engine. */
constexpr std::size_t mostReports = 32;
constexpr std::size_t mostPrompts = 128;

std::uint64_t score(std::string_view key, const InstanceName &instance)
{
    return XXH3_64bits_withSeed(instance.text().data(), instance.text().size(), XXH3_64bits(key.data(), key.size()));
}

/*! @brief Keeps the names that rendezvous hashing prefers for a key, the best first. */
void keepBest(std::vector<InstanceName> &names, std::string_view key, std::size_t most)
{
    std::sort(names.begin(), names.end(), [key](const InstanceName &left, const InstanceName &right) {
        return score(key, left) > score(key, right);
    });
    names.resize(std::min(names.size(), most));
}

/*! @brief Returns a report as it reads some time after it was made. */
engines::EngineReport agedReport(engines::EngineReport report, Duration age)
{
    for (engines::PlacedPrompt &placed : report.placed) {
        placed.readIn = std::max(placed.readIn - age, Duration::zero());
    }
    return report;
}

std::uint64_t digestOf(const std::vector<RosterEntry> &roster)
{
    std::string text;
    for (const RosterEntry &entry : roster) {
        absl::StrAppend(&text, entry.peer.instance.text(), " ", entry.peer.address, " ", entry.peer.strength, " ",
                        entry.keepsQueues ? 1 : 0, "\n");
    }
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

Peers::Peers(PeerInfo self, const std::vector<std::string> &seeds)
    : m_self{std::move(self)}
{
    addSeeds(seeds);
}

void Peers::addSeeds(const std::vector<std::string> &seeds)
{
    for (const std::string &seed : seeds) {
        if (seed != m_self.address) {
            m_seeds.insert(seed);
            m_askedAt.try_emplace(seed, TimePoint{});
        }
    }
}

void Peers::heard(const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.from.instance == m_self.instance) {
        return;
    }
    Peer &peer = m_peers[heartbeat.from.instance];
    peer.info = heartbeat.from;
    peer.incarnation = heartbeat.incarnation;
    peer.heardAt = now;
    peer.draining = heartbeat.draining;
    peer.keepsQueues = heartbeat.keepsQueues;
    peer.isHub = heartbeat.isHub;
    peer.unreachedUntil = {};
    peer.knownDigest = heartbeat.knownDigest;
    peer.waits = heartbeat.waits;
    peer.upcoming = heartbeat.upcoming;
    peer.engines.reset();
    for (const engines::EngineReport &report : heartbeat.engines) {
        if (report.origin == heartbeat.from.instance) {
            peer.engines = report;
        }
    }
    m_askedAt.try_emplace(heartbeat.from.address, TimePoint{});
    if (heartbeat.roster) {
        takeRoster(heartbeat, peer, now);
    }
}

void Peers::takeRoster(const Heartbeat &heartbeat, Peer &teller, TimePoint now)
{
    teller.roster.clear();
    teller.rosterDigest = heartbeat.rosterDigest;
    for (const RosterEntry &entry : *heartbeat.roster) {
        if (entry.peer.instance == m_self.instance) {
            continue;
        }
        teller.roster[entry.peer.instance] = entry.keepsQueues;
        m_askedAt.try_emplace(entry.peer.address, TimePoint{});
        const auto [found, isNew] = m_peers.try_emplace(entry.peer.instance);
        Peer &peer = found->second;
        // What a peer tells itself goes before what others tell of it, as long as it is heard.
        if (isNew || !isHeard(peer, now)) {
            peer.info = entry.peer;
        }
    }
}

void Peers::setKeepsQueues(bool keepsQueues) noexcept
{
    m_keepsQueues = keepsQueues;
}

void Peers::unreached(const InstanceName &peer, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.unreachedUntil = now + silence;
    }
}

void Peers::forgetGone(TimePoint now)
{
    for (auto next = m_peers.begin(); next != m_peers.end();) {
        const auto present = next++;
        const Peer &peer = present->second;
        if (now - peer.heardAt <= forgetting || isLive(present->first, now)) {
            continue;
        }
        if (!m_seeds.contains(peer.info.address)) {
            m_askedAt.erase(peer.info.address);
        }
        m_peers.erase(present);
    }
}

std::vector<std::string> Peers::due(TimePoint now)
{
    forgetGone(now);
    std::vector<std::string> addresses;
    for (const InstanceName &partner : partners(now)) {
        const std::string &address = m_peers.at(partner).info.address;
        TimePoint &askedAt = m_askedAt[address];
        if (askedAt == TimePoint{} || now - askedAt >= heartbeatPeriod - tolerance) {
            askedAt = now;
            addresses.push_back(address);
        }
    }
    if (m_triedAt != TimePoint{} && now - m_triedAt < seedPeriod) {
        return addresses;
    }
    m_triedAt = now;
    std::vector<std::pair<TimePoint, std::string>> trials;
    for (const auto &[address, askedAt] : m_askedAt) {
        const Peer *peer = atAddress(address);
        if (peer == nullptr || !isLive(peer->info.instance, now)) {
            trials.emplace_back(askedAt, address);
        }
    }
    std::sort(trials.begin(), trials.end());
    trials.resize(std::min(trials.size(), mostTrials));
    for (const auto &[askedAt, address] : trials) {
        m_askedAt[address] = now;
        addresses.push_back(address);
    }
    return addresses;
}

void Peers::complete(Heartbeat &heartbeat, const std::string &to, TimePoint now) const
{
    const Peer *receiver = atAddress(to);
    const std::vector<RosterEntry> roster = rosterFor(receiver, now);
    heartbeat.from = m_self;
    heartbeat.isHub = isHub(now);
    heartbeat.rosterDigest = digestOf(roster);
    heartbeat.knownDigest = receiver == nullptr ? 0 : receiver->rosterDigest;
    if (receiver == nullptr || receiver->knownDigest != heartbeat.rosterDigest) {
        heartbeat.roster = roster;
    }
    if (!heartbeat.isHub) {
        // The second hub would count the same work once more.
        const std::vector<InstanceName> hubsOfThis = partners(now);
        if (receiver != nullptr && !hubsOfThis.empty() && hubsOfThis.front() != receiver->info.instance) {
            heartbeat.upcoming.clear();
        }
        return;
    }
    const bool toHub = receiver != nullptr && receiver->isHub;
    for (const auto &[instance, peer] : m_peers) {
        if (!isHeard(peer, now) || &peer == receiver || (toHub && peer.isHub)) {
            continue;
        }
        heartbeat.upcoming.insert(heartbeat.upcoming.end(), peer.upcoming.begin(), peer.upcoming.end());
        if (peer.isHub) {
            heartbeat.waits.insert(heartbeat.waits.end(), peer.waits.begin(), peer.waits.end());
        }
    }
    passOnEngines(heartbeat, receiver, now);
}

/*
 * Adds what others have told this hub of their generations; what they told long ago is left out. A heartbeat to a fleet
 * of up to 32 processes carries all of it, some 14 KB at most; to larger ones less in proportion, so that what a
 * process hears does not grow with the fleet. Who is told of changes with each heartbeat then.
 */
void Peers::passOnEngines(Heartbeat &heartbeat, const Peer *receiver, TimePoint now) const
{
    const bool toHub = receiver != nullptr && receiver->isHub;
    std::vector<const Peer *> tellers;
    for (const auto &[instance, peer] : m_peers) {
        const bool isNews = peer.engines && now - peer.heardAt < reportTime && isHeard(peer, now);
        if (isNews && &peer != receiver && !(toHub && peer.isHub)) {
            tellers.push_back(&peer);
        }
    }
    if (tellers.empty()) {
        return;
    }
    const std::size_t fleet = std::max(m_peers.size() + 1, mostReports);
    const std::size_t reports = std::max<std::size_t>(mostReports * mostReports / fleet, 1);
    const std::size_t prompts = mostPrompts * mostReports / fleet;
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / heartbeatPeriod);
    std::size_t told = 0;
    for (std::size_t index = 0; index < std::min(reports, tellers.size()) && told < prompts; ++index) {
        const Peer &peer = *tellers[(turn * reports + index) % tellers.size()];
        heartbeat.engines.push_back(agedReport(*peer.engines, now - peer.heardAt));
        told += peer.engines->placed.size();
    }
}

/*! @brief Hubs tell each other only of processes that they hear themselves: none lives on in what others tell. */
std::vector<RosterEntry> Peers::rosterFor(const Peer *receiver, TimePoint now) const
{
    const bool toHub = receiver != nullptr && receiver->isHub && isHub(now);
    std::vector<RosterEntry> roster;
    for (const auto &[instance, peer] : m_peers) {
        const bool isTold = toHub ? isHeard(peer, now) : isLive(instance, now);
        if (isTold && !isDraining(peer, now) && &peer != receiver) {
            roster.push_back({peer.info, keepsQueues(instance, now)});
        }
    }
    return roster;
}

const Peers::Peer *Peers::atAddress(const std::string &address) const
{
    const Peer *last = nullptr;
    for (const auto &[instance, peer] : m_peers) {
        if (peer.info.address == address && (last == nullptr || peer.heardAt > last->heardAt)) {
            last = &peer;
        }
    }
    return last;
}

bool Peers::isHeard(const Peer &peer, TimePoint now) const
{
    return now >= peer.unreachedUntil && peer.heardAt != TimePoint{} && now - peer.heardAt < silence;
}

/*
 * Answers rolling restarts: what a process said before it stopped says nothing of its next start, of which others tell.
 * Taken for draining on, it keeps a queue for some and not for others, and the two collide at the endpoints: on three
 * large fleets 280 to 480 calls a day found an endpoint full, 5,000 to 13,000 pieces their inputs gone.
 */
bool Peers::isDraining(const Peer &peer, TimePoint now) const
{
    return peer.draining && isHeard(peer, now);
}

/*! @brief Tells if a peer keeps queues: what it tells itself while it is heard, or else what hubs tell of it. */
bool Peers::keepsQueues(const InstanceName &instance, TimePoint now) const
{
    const Peer &peer = m_peers.at(instance);
    if (isHeard(peer, now)) {
        return peer.keepsQueues;
    }
    return std::any_of(m_peers.begin(), m_peers.end(), [&instance, now, this](const auto &entry) {
        const auto told = entry.second.roster.find(instance);
        return entry.second.isHub && isHeard(entry.second, now) && told != entry.second.roster.end() && told->second;
    });
}

bool Peers::isLive(const InstanceName &peer, TimePoint now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || now < found->second.unreachedUntil) {
        return false;
    }
    if (isHeard(found->second, now)) {
        return true;
    }
    return std::any_of(m_peers.begin(), m_peers.end(), [&peer, now, this](const auto &entry) {
        return entry.second.isHub && isHeard(entry.second, now) && entry.second.roster.contains(peer);
    });
}

std::vector<PeerInfo> Peers::live(TimePoint now) const
{
    std::vector<PeerInfo> out;
    for (const auto &[instance, peer] : m_peers) {
        if (isLive(instance, now) && !isDraining(peer, now)) {
            out.push_back(peer.info);
        }
    }
    return out;
}

std::vector<InstanceName> Peers::hubs(TimePoint now) const
{
    const std::vector<PeerInfo> others = live(now);
    double strongest = m_self.strength;
    for (const PeerInfo &peer : others) {
        strongest = std::max(strongest, peer.strength);
    }
    std::vector<InstanceName> out;
    if (m_self.strength >= strongest * hubStrength) {
        out.push_back(m_self.instance);
    }
    for (const PeerInfo &peer : others) {
        if (peer.strength >= strongest * hubStrength) {
            out.push_back(peer.instance);
        }
    }
    keepBest(out, "hub", mostHubs);
    return out;
}

bool Peers::isHub(TimePoint now) const
{
    const std::vector<InstanceName> all = hubs(now);
    return std::find(all.begin(), all.end(), m_self.instance) != all.end();
}

/*! @brief Returns the peers that this process exchanges heartbeats with on its own account. */
std::vector<InstanceName> Peers::partners(TimePoint now) const
{
    std::vector<InstanceName> out = hubs(now);
    const auto self = std::find(out.begin(), out.end(), m_self.instance);
    if (self != out.end()) {
        out.erase(self);
        return out;
    }
    keepBest(out, m_self.instance.text(), hubsOfOne);
    return out;
}

std::optional<PeerInfo> Peers::keeper(const PoolName &pool, TimePoint now) const
{
    std::optional<PeerInfo> best;
    std::uint64_t bestScore = 0;
    for (const InstanceName &hub : hubs(now)) {
        const bool self = hub == m_self.instance;
        const std::uint64_t one = score(pool.text(), hub);
        if ((self ? m_keepsQueues : keepsQueues(hub, now)) && one > bestScore) {
            bestScore = one;
            best = self ? std::nullopt : std::optional{m_peers.at(hub).info};
        }
    }
    return best;
}

std::uint64_t Peers::incarnationOf(const InstanceName &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? 0 : found->second.incarnation;
}

std::optional<PoolWait> Peers::toldWait(const InstanceName &peer, const PoolName &pool, int rank, TimePoint now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return std::nullopt;
    }
    std::optional<PoolWait> longest;
    const auto look = [&longest, &pool, rank](const Peer &teller) {
        for (const PoolWait &wait : teller.waits) {
            if (wait.pool == pool && wait.rank <= rank && (!longest || wait.wait > longest->wait)) {
                longest = wait;
            }
        }
    };
    if (isHeard(found->second, now)) {
        look(found->second);
        return longest;
    }
    for (const auto &[instance, teller] : m_peers) {
        if (teller.isHub && isHeard(teller, now)) {
            look(teller);
        }
    }
    return longest;
}

std::uint64_t Peers::upcoming(const PoolName &pool, int rank, std::uint64_t own, TimePoint now) const
{
    const bool isHubHere = isHub(now);
    std::uint64_t sum = own;
    for (const auto &[instance, peer] : m_peers) {
        if (!isHeard(peer, now)) {
            continue;
        }
        std::uint64_t told = 0;
        for (const PoolWork &work : peer.upcoming) {
            told += work.pool == pool && work.rank <= rank ? work.pieces : 0;
        }
        // A hub tells the others of the whole fleet, so that what two hubs tell must not be added.
        sum = isHubHere ? sum + told : std::max(sum, told);
    }
    return sum;
}

const PeerInfo &Peers::self() const noexcept
{
    return m_self;
}

} // namespace bergamottide::serving
