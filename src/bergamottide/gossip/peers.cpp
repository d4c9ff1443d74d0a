#include "bergamottide/gossip/peers.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Interval at which addresses without a live peer are probed. */
constexpr Duration probePeriod = std::chrono::milliseconds{500};
/*! @brief Addresses probed in one interval; bounds the probes at any size of the fleet. */
constexpr std::size_t maxProbes = 4;
/*! @brief Timer jitter: a heartbeat that is due within this time is sent now. */
constexpr Duration tickTolerance = std::chrono::milliseconds{20};
/*! @brief Silence after which a dead peer is removed. */
constexpr Duration peerExpiry = std::chrono::seconds{60};
/*! @brief Time from the first heartbeat until a process claims shares: by then it knows the other processes. */
constexpr Duration shareDelay = std::chrono::seconds{3};
/*! @brief First interval of probes during initial discovery, doubled with each probe: when a whole fleet starts, its
 * seeds may be up only some milliseconds after the process that asks them. */
constexpr Duration firstProbePeriod = std::chrono::milliseconds{50};
/*! @brief Interval of heartbeats during initial discovery, for each known peer; bounds the heartbeats that the seeds of
 * a large fleet get at its start. */
constexpr Duration discoveryPeriodPerPeer = std::chrono::milliseconds{2};
constexpr Duration minDiscoveryPeriod = std::chrono::milliseconds{50};
/*! @brief Upper bound of initial discovery; tasks that are deferred longer would miss their deadline. */
constexpr Duration maxDiscoveryTime = std::chrono::seconds{1};
/*! @brief Age up to which a relay forwards an engine report: two heartbeats. */
constexpr Duration maxReportAge = std::chrono::milliseconds{450};
/*! @brief Maximum number of forwarded engine reports in a heartbeat; scaled down in fleets with more processes. */
constexpr std::size_t maxReports = 32;
/*! @brief Maximum number of forwarded prompts in a heartbeat; scaled down like maxReports. */
constexpr std::size_t maxPrompts = 128;

RosterKind rosterKind(bool fromRelay, bool toRelay)
{
    if (!fromRelay) {
        return RosterKind::Introduction;
    }
    return toRelay ? RosterKind::Direct : RosterKind::Complete;
}

/*! @brief Returns a report with its remaining times reduced by its age. */
engines::EngineReport ageReport(engines::EngineReport report, Duration age)
{
    for (engines::PlacedPrompt &placed : report.placed) {
        placed.timeUntilCached = std::max(placed.timeUntilCached - age, Duration::zero());
    }
    return report;
}

} // namespace

Peers::Peers(PeerInfo self, std::uint64_t incarnation, const std::vector<std::string> &seeds)
    : m_self{std::move(self)}
    , m_roster{incarnation}
{
    addSeeds(seeds);
}

void Peers::addSeeds(const std::vector<std::string> &seeds)
{
    for (const std::string &seed : seeds) {
        if (seed != m_self.address) {
            m_seeds.insert(seed);
            m_lastSentAt.try_emplace(seed, TimePoint{});
        }
    }
}

std::size_t Peers::otherSeeds() const noexcept
{
    return m_seeds.size();
}

void Peers::handleHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.from.instance == m_self.instance) {
        return;
    }
    if (m_firstHeardAt == TimePoint{}) {
        m_firstHeardAt = now;
    }
    const auto [found, isNew] = m_peers.try_emplace(heartbeat.from.instance);
    PeerState &peer = found->second;
    m_lastDiscoveredAt = isNew ? now : m_lastDiscoveredAt;
    const bool isChanged = isNew || !peer.hasRecentHeartbeat(now) || peer.info != heartbeat.from
        || peer.draining != heartbeat.draining || peer.canOwnQueues != heartbeat.canOwnQueues
        || peer.isRelay != heartbeat.isRelay;
    if (isChanged) {
        m_view.reset();
    }
    peer.info = heartbeat.from;
    peer.incarnation = heartbeat.incarnation;
    peer.lastHeartbeatAt = now;
    peer.isMovedOverPause = false;
    peer.draining = heartbeat.draining;
    peer.canOwnQueues = heartbeat.canOwnQueues;
    peer.isRelay = heartbeat.isRelay;
    peer.unreachableUntil = {};
    peer.acknowledgedRoster = heartbeat.acknowledgedRoster;
    peer.wantsRoster = heartbeat.wantsRoster;
    // After a restart, the first changes may follow on what the predecessor of this process had received.
    if (heartbeat.gossipSince <= peer.gossipVersion) {
        peer.gossipVersion = heartbeat.gossipVersion;
    }
    peer.acknowledgedGossip = heartbeat.acknowledgedGossip;
    peer.waits = heartbeat.waits;
    peer.upcoming = heartbeat.upcoming;
    mergeReports(heartbeat, now);
    m_lastSentAt.try_emplace(heartbeat.from.address, TimePoint{});
    const bool isOutdated = heartbeat.rosterVersion == 0 && !peer.roster.empty();
    if (isOutdated) {
        peer.roster.clear();
        peer.rosterVersion = 0;
    }
    if (isOutdated || (heartbeat.roster && mergeRoster(heartbeat, peer, now))) {
        m_view.reset();
    }
}

void Peers::mergeReports(const Heartbeat &heartbeat, TimePoint now)
{
    for (const engines::EngineReport &report : heartbeat.engines) {
        if (report.origin == m_self.instance) {
            continue;
        }
        const bool isDirect = report.origin == heartbeat.from.instance;
        const auto [found, isNew] = m_reports.try_emplace(report.origin);
        ReceivedReport &latest = found->second;
        const bool isNewer =
            report.incarnation == latest.report.incarnation && report.sequence > latest.report.sequence;
        // A forwarded report of an earlier incarnation must not replace the one from the process itself.
        if (isNew || isDirect || isNewer || now - latest.receivedAt >= maxReportAge) {
            latest = {report, now, isDirect};
        }
    }
}

/*! @brief Applies a roster, and returns whether it may have changed the membership. */
bool Peers::mergeRoster(const Heartbeat &heartbeat, PeerState &reporter, TimePoint now)
{
    const bool isComplete = heartbeat.rosterSince == 0;
    // Changes that are older than what has been received, or that leave a gap, are not applied.
    const bool isNext =
        heartbeat.rosterSince <= reporter.rosterVersion && reporter.rosterVersion < heartbeat.rosterVersion;
    if (!isComplete && !isNext) {
        return false;
    }
    reporter.rosterVersion = heartbeat.rosterVersion;
    if (isComplete) {
        reporter.roster.clear();
    }
    for (const RosterEntry &entry : *heartbeat.roster) {
        if (entry.peer.instance == m_self.instance) {
            continue;
        }
        if (entry.isRemoved) {
            reporter.roster.erase(entry.peer.instance);
            continue;
        }
        reporter.roster[entry.peer.instance] = entry.canOwnQueues;
        m_lastSentAt.try_emplace(entry.peer.address, TimePoint{});
        const auto [found, isNew] = m_peers.try_emplace(entry.peer.instance);
        PeerState &peer = found->second;
        peer.lastKnownAt = now;
        m_lastDiscoveredAt = isNew ? now : m_lastDiscoveredAt;
        // A peer's own heartbeats take precedence over rosters.
        if (isNew || !peer.hasRecentHeartbeat(now)) {
            peer.info = entry.peer;
        }
    }
    return isComplete || !heartbeat.roster->empty();
}

void Peers::setCanOwnQueues(bool canOwnQueues) noexcept
{
    m_canOwnQueues = canOwnQueues;
    m_view.reset();
}

void Peers::markUnreachable(const InstanceName &peer, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.unreachableUntil = now + peerTimeout;
        m_view.reset();
    }
}

/*
 * Peers known only from a roster are kept for the same time: at the start of a large fleet a process may know only
 * peers that are not relays, and has to probe those that they report; when these were dropped at once, 172 of 300
 * processes never met the others. If all relays of a process die at once, it still knows the other processes.
 */
void Peers::removeExpiredPeers(TimePoint now)
{
    const MembershipView *membership = &view(now);
    for (auto next = m_peers.begin(); next != m_peers.end();) {
        const auto present = next++;
        PeerState &peer = present->second;
        if (membership->isAlive(&peer)) {
            peer.lastKnownAt = now;
            continue;
        }
        if (now - std::max(peer.lastHeartbeatAt, peer.lastKnownAt) <= peerExpiry) {
            continue;
        }
        if (!m_seeds.contains(peer.info.address)) {
            m_lastSentAt.erase(peer.info.address);
        }
        m_peers.erase(present);
        m_view.reset();
        membership = &view(now);
    }
}

void Peers::recordPause(TimePoint from, TimePoint until)
{
    for (auto &[name, peer] : m_peers) {
        if (!peer.hasRecentHeartbeat(from) || peer.isMovedOverPause) {
            continue;
        }
        peer.lastHeartbeatAt += until - from;
        peer.isMovedOverPause = true;
    }
    m_view.reset();
}

void Peers::expediteHeartbeats(TimePoint now)
{
    for (const InstanceName &partner : view(now).partners()) {
        m_lastSentAt[m_peers.at(partner).info.address] = TimePoint{};
    }
}

std::vector<std::string> Peers::takeDueAddresses(TimePoint now)
{
    removeExpiredPeers(now);
    std::erase_if(m_reports, [now](const auto &entry) { return now - entry.second.receivedAt >= maxReportAge; });
    m_startedAt = m_startedAt == TimePoint{} ? now : m_startedAt;
    m_isDiscoveryFinished = isDiscoveryFinished(now);
    std::vector<std::string> addresses;
    const MembershipView &membership = view(now);
    for (const InstanceName &partner : membership.partners()) {
        const std::string &address = m_peers.at(partner).info.address;
        TimePoint &sentAt = m_lastSentAt[address];
        // The second relay is a standby, so half the rate is enough.
        const bool isSecond = !membership.isRelay() && partner != membership.partners().front();
        const Duration period = isSecond ? heartbeatInterval() * 2 : heartbeatInterval();
        if (sentAt == TimePoint{} || now - sentAt >= period - tickTolerance) {
            sentAt = now;
            addresses.push_back(address);
        }
    }
    // Relays probe lost peers for all; otherwise each lost peer would be probed by the whole fleet.
    const bool isProbing = membership.isRelay() || !membership.hearsRelay();
    if (!isProbing || (m_lastProbedAt != TimePoint{} && now - m_lastProbedAt < m_probeInterval)) {
        return addresses;
    }
    m_probeInterval = m_lastProbedAt == TimePoint{} ? firstProbePeriod : std::min(m_probeInterval * 2, probePeriod);
    m_lastProbedAt = now;
    for (const std::string &address : probeTargets(now)) {
        m_lastSentAt[address] = now;
        addresses.push_back(address);
    }
    return addresses;
}

/*
 * Returns addresses without a live peer, least recently contacted first. Among equals, addresses of unknown peers come
 * first, then the likeliest relays: a relay knows all other peers, which shortens discovery. In the order of addresses,
 * 300 processes that start together took 5 s to meet instead of 2 s.
 */
std::vector<std::string> Peers::probeTargets(TimePoint now) const
{
    struct Target
    {
        TimePoint sentAt;
        double negatedCapacity;
        std::uint64_t negatedScore;
        std::string address;
    };
    std::vector<Target> targets;
    for (const auto &[address, sentAt] : m_lastSentAt) {
        const PeerState *peer = view(now).findByAddress(address);
        if (peer == nullptr) {
            targets.push_back({sentAt, -std::numeric_limits<double>::max(), 0, address});
        } else if (!isLive(peer->info.instance, now)) {
            targets.push_back({sentAt, -peer->info.capacity, ~rendezvousScore(relayKey, peer->info.instance), address});
        }
    }
    std::ranges::sort(targets, {}, [](const Target &target) {
        return std::tie(target.sentAt, target.negatedCapacity, target.negatedScore, target.address);
    });
    std::vector<std::string> out;
    for (const Target &target : targets) {
        if (out.size() == maxProbes) {
            break;
        }
        out.push_back(target.address);
    }
    return out;
}

void Peers::fillHeartbeat(Heartbeat &heartbeat, const std::string &to, TimePoint now) const
{
    const MembershipView &membership = view(now);
    const PeerState *receiver = membership.findByAddress(to);
    heartbeat.from = m_self;
    heartbeat.isRelay = membership.isRelay();
    heartbeat.acknowledgedRoster = receiver == nullptr ? 0 : receiver->rosterVersion;
    heartbeat.wantsRoster = membership.isPartner(receiver) || !membership.hearsRelay();
    heartbeat.acknowledgedGossip = receiver == nullptr ? 0 : receiver->gossipVersion;
    addRoster(heartbeat, receiver, now);
    if (receiver != nullptr && !receiver->isRelay) {
        // It asks the relays.
        heartbeat.streams.clear();
    }
    if (!heartbeat.isRelay) {
        // Reported to both relays, the work would be counted twice.
        const bool isFirst = membership.partners().empty() || receiver == nullptr
            || membership.partners().front() == receiver->info.instance;
        if (!isFirst) {
            heartbeat.upcoming.clear();
        }
        return;
    }
    if (receiver != nullptr && !receiver->isRelay && membership.isServedByOtherRelay(receiver->info)) {
        heartbeat.upcoming.clear();
        heartbeat.engines.clear();
        return;
    }
    addRelayedWork(heartbeat, receiver, now);
    addRelayedReports(heartbeat, receiver, now);
}

/*
 * Adds the waits and the upcoming work that peers have reported to this relay. The work is aggregated by pool and rank,
 * so that the heartbeat does not grow with the fleet: listed one by one, a hundred processes fill it with hundreds of
 * entries, for receivers with 0.09 cores.
 */
void Peers::addRelayedWork(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const
{
    const bool toRelay = receiver != nullptr && receiver->isRelay;
    std::map<std::pair<PoolName, int>, std::uint64_t> pieces;
    const auto add = [&pieces](const std::vector<UpcomingWork> &works) {
        for (const UpcomingWork &work : works) {
            pieces[{work.pool, work.rank}] += work.pieces;
        }
    };
    add(heartbeat.upcoming);
    for (const auto &[instance, peer] : m_peers) {
        if (!peer.hasRecentHeartbeat(now) || &peer == receiver || (toRelay && peer.isRelay)) {
            continue;
        }
        add(peer.upcoming);
        if (peer.isRelay) {
            heartbeat.waits.insert(heartbeat.waits.end(), peer.waits.begin(), peer.waits.end());
        }
    }
    heartbeat.upcoming.clear();
    for (const auto &[key, sum] : pieces) {
        heartbeat.upcoming.push_back({key.first, key.second, sum});
    }
}

/*
 * Adds the recent engine reports of other processes. In a fleet of up to maxReports processes a heartbeat contains all
 * of them, some 14 KB at most. In a larger one it contains a part, in rotation, so that the bytes that a process
 * receives do not grow with the fleet.
 */
void Peers::addRelayedReports(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const
{
    const bool toRelay = receiver != nullptr && receiver->isRelay;
    std::vector<const ReceivedReport *> recent;
    for (const auto &[origin, entry] : m_reports) {
        // Each relay sends the others its own report and those that it received directly.
        const auto process = m_peers.find(origin);
        const bool isFromRelay = process != m_peers.end() && process->second.isRelay;
        const bool isFromReceiver = receiver != nullptr && origin == receiver->info.instance;
        if (now - entry.receivedAt < maxReportAge && !isFromReceiver
            && !(toRelay && (isFromRelay || !entry.isDirect))) {
            recent.push_back(&entry);
        }
    }
    if (recent.empty()) {
        return;
    }
    const std::size_t fleet = std::max(m_peers.size() + 1, maxReports);
    const std::size_t reports = std::max<std::size_t>(maxReports * maxReports / fleet, 1);
    const std::size_t prompts = maxPrompts * maxReports / fleet;
    const auto rotation = static_cast<std::size_t>(now.time_since_epoch() / heartbeatPeriod);
    std::size_t promptCount = 0;
    for (std::size_t index = 0; index < std::min(reports, recent.size()) && promptCount < prompts; ++index) {
        const ReceivedReport &entry = *recent[(rotation * reports + index) % recent.size()];
        heartbeat.engines.push_back(ageReport(entry.report, now - entry.receivedAt));
        promptCount += entry.report.placed.size();
    }
}

/*
 * A process that restarts is probed by others before it has learnt of them; the probes carry no roster, so that they
 * do not overload it.
 */
void Peers::addRoster(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const
{
    const MembershipView &membership = view(now);
    const bool isProbe = receiver == nullptr || !receiver->hasRecentHeartbeat(now);
    const bool isIntroduced = !membership.isRelay() && membership.isPartner(receiver);
    if (isProbe || (!receiver->wantsRoster && !isIntroduced)) {
        return;
    }
    const RosterKind kind = rosterKind(membership.isRelay(), receiver->isRelay);
    heartbeat.rosterVersion = m_roster.version(kind);
    heartbeat.rosterSince = m_roster.sendSince(kind, receiver->acknowledgedRoster);
    if (heartbeat.rosterSince == heartbeat.rosterVersion) {
        return;
    }
    heartbeat.roster = m_roster.changesSince(kind, heartbeat.rosterSince);
    if (kind == RosterKind::Introduction) {
        std::erase_if(*heartbeat.roster, [receiver](const RosterEntry &entry) {
            return entry.isRemoved || receiver->roster.contains(entry.peer.instance);
        });
    }
}

/*
 * Each request and each heartbeat queries the membership several times, and building it is linear in the size of the
 * fleet, so it is cached until it changes (benchmark `answerHeartbeats`): built for each query it took a relay 0.77 of
 * a core at 300 processes, cached 0.004.
 */
const MembershipView &Peers::view(TimePoint now) const
{
    if (!m_view || !m_view->isValid(now)) {
        ++m_viewsBuilt;
        m_view = std::make_unique<MembershipView>(m_self, m_canOwnQueues, m_peers, now);
        updateRoster();
    }
    return *m_view;
}

void Peers::updateRoster() const
{
    std::vector<Roster::LivePeer> live;
    live.reserve(m_view->live().size());
    for (const Member &member : m_view->live()) {
        live.push_back({&member.peer->info, member.canOwnQueues, member.isDirect});
    }
    m_roster.update(live);
}

std::vector<std::string> Peers::storeReaders(TimePoint now) const
{
    return view(now).storeReaders();
}

/*
 * The draining flag of a peer is ignored once its heartbeats stop. Otherwise a peer that restarts, and that rosters
 * report as alive again, would still count as draining here, and processes would disagree on queue owners: in large
 * fleets, 280 to 480 calls a day then found an endpoint full, and 5,000 to 13,000 pieces their inputs gone.
 */
bool Peers::isLive(const InstanceName &peer, TimePoint now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return false;
    }
    return view(now).isAlive(&found->second);
}

std::vector<PeerInfo> Peers::live(TimePoint now) const
{
    std::vector<PeerInfo> out;
    for (const Member &member : view(now).live()) {
        out.push_back(member.peer->info);
    }
    return out;
}

std::size_t Peers::liveCount(TimePoint now) const
{
    return view(now).live().size();
}

std::vector<PeerInfo> Peers::relays(TimePoint now) const
{
    return view(now).otherRelays();
}

bool Peers::isRelay(TimePoint now) const
{
    return view(now).isRelay();
}

std::optional<PeerInfo> Peers::queueOwner(const PoolName &pool, TimePoint now) const
{
    return view(now).queueOwner(pool);
}

Duration Peers::heartbeatInterval() const
{
    if (m_isDiscoveryFinished || m_seeds.empty()) {
        return heartbeatPeriod;
    }
    const Duration interval = discoveryPeriodPerPeer * static_cast<std::int64_t>(m_peers.size());
    return std::clamp(interval, minDiscoveryPeriod, heartbeatPeriod);
}

bool Peers::isDiscoveryFinished(TimePoint now) const
{
    if (m_isDiscoveryFinished || m_seeds.empty()) {
        return true;
    }
    if (m_startedAt == TimePoint{}) {
        return false;
    }
    // Two heartbeats and their responses, but no more than one of normal operation.
    const Duration quietTime = std::min(heartbeatInterval() * 2, heartbeatPeriod + tickTolerance);
    const bool hasMet = m_firstHeardAt != TimePoint{} && now - m_lastDiscoveredAt >= quietTime;
    return hasMet || now - m_startedAt >= maxDiscoveryTime;
}

std::uint32_t Peers::share(const std::string &key, std::uint32_t units, TimePoint now) const
{
    if (m_firstHeardAt == TimePoint{} && m_seeds.empty()) {
        return units;
    }
    if (m_firstHeardAt == TimePoint{} || now - m_firstHeardAt < shareDelay) {
        return 0;
    }
    return view(now).share(key, units);
}

std::uint64_t Peers::incarnationOf(const InstanceName &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? 0 : found->second.incarnation;
}

std::optional<PoolWait> Peers::reportedWait(const InstanceName &peer, const PoolName &pool, int rank,
                                            const WorkspaceName &workspace, TimePoint now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return std::nullopt;
    }
    std::optional<PoolWait> longest;
    const auto findLongest = [&longest, &pool, rank, &workspace](const PeerState &source) {
        for (const PoolWait &wait : source.waits) {
            if (wait.pool != pool || wait.rank > rank) {
                continue;
            }
            const bool isAboveShare = std::ranges::find(wait.aboveShare, workspace) != wait.aboveShare.end();
            const Duration ofWorkspace = isAboveShare ? std::max(wait.wait, wait.aboveShareWait) : wait.wait;
            if (!longest || ofWorkspace > longest->wait) {
                longest = wait;
                longest->wait = ofWorkspace;
            }
        }
    };
    if (found->second.hasRecentHeartbeat(now)) {
        findLongest(found->second);
        return longest;
    }
    for (const auto &[instance, source] : m_peers) {
        if (source.isRelay && source.hasRecentHeartbeat(now)) {
            findLongest(source);
        }
    }
    return longest;
}

std::uint64_t Peers::upcomingPieces(const PoolName &pool, int rank, std::uint64_t own, TimePoint now) const
{
    const bool isSelfRelay = view(now).isRelay();
    std::uint64_t sum = own;
    for (const auto &[instance, peer] : m_peers) {
        if (!peer.hasRecentHeartbeat(now)) {
            continue;
        }
        std::uint64_t reported = 0;
        for (const UpcomingWork &work : peer.upcoming) {
            reported += work.pool == pool && work.rank <= rank ? work.pieces : 0;
        }
        // Each relay reports the sum for the whole fleet, so that reports of two relays must not be added.
        sum = isSelfRelay ? sum + reported : std::max(sum, reported);
    }
    return sum;
}

std::uint64_t Peers::acknowledgedGossip(const std::string &address, TimePoint now) const
{
    const PeerState *peer = view(now).findByAddress(address);
    return peer == nullptr ? 0 : peer->acknowledgedGossip;
}

const PeerInfo &Peers::self() const noexcept
{
    return m_self;
}

std::size_t Peers::viewsBuilt() const noexcept
{
    return m_viewsBuilt;
}

} // namespace bergamottide::serving
