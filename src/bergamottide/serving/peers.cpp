#include "bergamottide/serving/peers.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Period in which peers that are gone, and seeds that never answered, are asked again. */
constexpr Duration seedPeriod = std::chrono::milliseconds{500};
/*! @brief Addresses that are tried at once in that period: enough to meet again soon, few at any size of the fleet. */
constexpr std::size_t mostTrials = 4;
/*! @brief Ticks come a little early or late; a heartbeat due within this time goes with the present one. */
constexpr Duration tolerance = std::chrono::milliseconds{20};
/*! @brief Silence after which a peer is forgotten altogether. */
constexpr Duration forgetting = std::chrono::seconds{60};
/*! @brief Time after the first word of a peer in which a process does not know all others yet; fleets of hundreds that
 * start together meet in two seconds. */
constexpr Duration meetingTime = std::chrono::seconds{3};
/*! @brief Time without further peers after which a process that has just started takes its view for whole: a heartbeat
 * and its answer. */
constexpr Duration settlingTime = heartbeatPeriod + tolerance;
/*! @brief Time after its start in which a process without a whole view leaves queues alone at most: requests that wait
 * longer would be late anyway. */
constexpr Duration longestSettling = std::chrono::seconds{1};
/*! @brief Age up to which a relay passes on what a process told of its generations: two heartbeats. */
constexpr Duration reportTime = std::chrono::milliseconds{450};
/*! @brief Reports and prompts of others in one heartbeat at most. In a larger fleet each process knows a part of the
 * others' generations only; prompts then meet at their home engine. */
constexpr std::size_t mostReports = 32;
constexpr std::size_t mostPrompts = 128;

/*! @brief Returns a report as it reads some time after it was made. */
engines::EngineReport agedReport(engines::EngineReport report, Duration age)
{
    for (engines::PlacedPrompt &placed : report.placed) {
        placed.readIn = std::max(placed.readIn - age, Duration::zero());
    }
    return report;
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
    if (m_metAt == TimePoint{}) {
        m_metAt = now;
    }
    const auto [found, isNew] = m_peers.try_emplace(heartbeat.from.instance);
    PeerState &peer = found->second;
    m_grownAt = isNew ? now : m_grownAt;
    const bool isChanged = isNew || !peer.isHeard(now) || peer.info != heartbeat.from
        || peer.draining != heartbeat.draining || peer.ownsQueues != heartbeat.ownsQueues
        || peer.isRelay != heartbeat.isRelay || heartbeat.roster;
    if (isChanged) {
        m_view.reset();
    }
    peer.info = heartbeat.from;
    peer.incarnation = heartbeat.incarnation;
    peer.heardAt = now;
    peer.draining = heartbeat.draining;
    peer.ownsQueues = heartbeat.ownsQueues;
    peer.isRelay = heartbeat.isRelay;
    peer.unreachedUntil = {};
    peer.knownDigest = heartbeat.knownDigest;
    peer.waits = heartbeat.waits;
    peer.upcoming = heartbeat.upcoming;
    takeReports(heartbeat, now);
    m_askedAt.try_emplace(heartbeat.from.address, TimePoint{});
    if (heartbeat.roster) {
        takeRoster(heartbeat, peer, now);
    }
}

void Peers::takeReports(const Heartbeat &heartbeat, TimePoint now)
{
    for (const engines::EngineReport &report : heartbeat.engines) {
        if (report.origin == m_self.instance) {
            continue;
        }
        const bool isDirect = report.origin == heartbeat.from.instance;
        const auto [found, isNew] = m_reports.try_emplace(report.origin);
        ToldReport &known = found->second;
        const bool isNewer = report.incarnation == known.report.incarnation && report.sequence > known.report.sequence;
        // What another relay passes on of a former start of the process must not replace what itself tells.
        if (isNew || isDirect || isNewer || now - known.heardAt >= reportTime) {
            known = {report, now, isDirect};
        }
    }
}

void Peers::takeRoster(const Heartbeat &heartbeat, PeerState &teller, TimePoint now)
{
    teller.roster.clear();
    teller.rosterDigest = heartbeat.rosterDigest;
    for (const RosterEntry &entry : *heartbeat.roster) {
        if (entry.peer.instance == m_self.instance) {
            continue;
        }
        teller.roster[entry.peer.instance] = entry.ownsQueues;
        m_askedAt.try_emplace(entry.peer.address, TimePoint{});
        const auto [found, isNew] = m_peers.try_emplace(entry.peer.instance);
        PeerState &peer = found->second;
        peer.toldAt = now;
        m_grownAt = isNew ? now : m_grownAt;
        // What a peer tells itself goes before what others tell of it, as long as it is heard.
        if (isNew || !peer.isHeard(now)) {
            peer.info = entry.peer;
        }
    }
}

void Peers::setOwnsQueues(bool ownsQueues) noexcept
{
    m_ownsQueues = ownsQueues;
    m_view.reset();
}

void Peers::unreached(const InstanceName &peer, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.unreachedUntil = now + peerSilence;
        m_view.reset();
    }
}

/*
 * Answers the start of fleets of hundreds, in which many know only a peer that is no relay: whom that tells of is kept
 * to be asked. Forgotten at once, 172 of 300 processes never met the others.
 */
void Peers::forgetGone(TimePoint now)
{
    for (auto next = m_peers.begin(); next != m_peers.end();) {
        const auto present = next++;
        const PeerState &peer = present->second;
        if (now - std::max(peer.heardAt, peer.toldAt) <= forgetting || isLive(present->first, now)) {
            continue;
        }
        if (!m_seeds.contains(peer.info.address)) {
            m_askedAt.erase(peer.info.address);
        }
        m_peers.erase(present);
        m_view.reset();
    }
}

std::vector<std::string> Peers::due(TimePoint now)
{
    forgetGone(now);
    std::erase_if(m_reports, [now](const auto &told) { return now - told.second.heardAt >= reportTime; });
    m_startedAt = m_startedAt == TimePoint{} ? now : m_startedAt;
    m_isSettled = isSettled(now);
    std::vector<std::string> addresses;
    const MembershipView &known = view(now);
    for (const InstanceName &partner : known.partners()) {
        const std::string &address = m_peers.at(partner).info.address;
        TimePoint &askedAt = m_askedAt[address];
        // The second relay of a process tells it nothing but that it is there.
        const bool isSecond = !known.isRelay() && partner != known.partners().front();
        const Duration period = isSecond ? heartbeatPeriod * 2 : heartbeatPeriod;
        if (askedAt == TimePoint{} || now - askedAt >= period - tolerance) {
            askedAt = now;
            addresses.push_back(address);
        }
    }
    if (m_triedAt != TimePoint{} && now - m_triedAt < seedPeriod) {
        return addresses;
    }
    m_triedAt = now;
    for (const std::string &address : trials(now)) {
        m_askedAt[address] = now;
        addresses.push_back(address);
    }
    return addresses;
}

/*
 * Returns addresses of peers that are not alive, to be asked whether they are: those that were not asked for longest,
 * and of these the likeliest relays first, from which a process learns of all others. Asked in the order of their
 * addresses, 300 processes that start together took 5 s to meet, against 2 s so.
 */
std::vector<std::string> Peers::trials(TimePoint now) const
{
    struct Trial
    {
        TimePoint askedAt;
        double weakness;
        std::uint64_t order;
        std::string address;
    };
    std::vector<Trial> trials;
    for (const auto &[address, askedAt] : m_askedAt) {
        const PeerState *peer = view(now).atAddress(address);
        if (peer == nullptr) {
            trials.push_back({askedAt, -std::numeric_limits<double>::max(), 0, address});
        } else if (!isLive(peer->info.instance, now)) {
            trials.push_back({askedAt, -peer->info.strength, ~rendezvousScore(relayKey, peer->info.instance), address});
        }
    }
    std::ranges::sort(trials, {}, [](const Trial &trial) {
        return std::tie(trial.askedAt, trial.weakness, trial.order, trial.address);
    });
    std::vector<std::string> out;
    for (const Trial &trial : trials) {
        if (out.size() == mostTrials) {
            break;
        }
        out.push_back(trial.address);
    }
    return out;
}

void Peers::complete(Heartbeat &heartbeat, const std::string &to, TimePoint now) const
{
    const MembershipView &known = view(now);
    const PeerState *receiver = known.atAddress(to);
    heartbeat.from = m_self;
    heartbeat.isRelay = known.isRelay();
    heartbeat.knownDigest = receiver == nullptr ? 0 : receiver->rosterDigest;
    tellRoster(heartbeat, receiver, now);
    if (!heartbeat.isRelay) {
        // The second relay would count the same work once more.
        const bool isFirst =
            known.partners().empty() || receiver == nullptr || known.partners().front() == receiver->info.instance;
        if (!isFirst) {
            heartbeat.upcoming.clear();
        }
        return;
    }
    if (receiver != nullptr && !receiver->isRelay && known.isToldByAnother(receiver->info)) {
        heartbeat.upcoming.clear();
        heartbeat.engines.clear();
        return;
    }
    passOnWork(heartbeat, receiver, now);
    passOnEngines(heartbeat, receiver, now);
}

/*
 * Adds what others have told this relay of waits and of work on its way. Work is added up by pool and rank: told one by
 * one, a fleet of a hundred processes makes hundreds of entries of each heartbeat, for receivers with 0.09 cores.
 */
void Peers::passOnWork(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const
{
    const bool toRelay = receiver != nullptr && receiver->isRelay;
    std::map<std::pair<PoolName, int>, std::uint64_t> pieces;
    const auto add = [&pieces](const std::vector<PoolWork> &works) {
        for (const PoolWork &work : works) {
            pieces[{work.pool, work.rank}] += work.pieces;
        }
    };
    add(heartbeat.upcoming);
    for (const auto &[instance, peer] : m_peers) {
        if (!peer.isHeard(now) || &peer == receiver || (toRelay && peer.isRelay)) {
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
 * Adds what others have told this relay of their generations; what they told long ago is left out. A heartbeat to a
 * fleet of up to 32 processes carries all of it, some 14 KB at most; to larger ones less in proportion, so that what a
 * process hears does not grow with the fleet. Who is told of changes with each heartbeat then.
 */
void Peers::passOnEngines(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const
{
    const bool toRelay = receiver != nullptr && receiver->isRelay;
    std::vector<const ToldReport *> news;
    for (const auto &[origin, told] : m_reports) {
        // Relays tell each other themselves of their own, and of processes that they hear.
        const auto teller = m_peers.find(origin);
        const bool isRelays = teller != m_peers.end() && teller->second.isRelay;
        const bool isKnownThere = receiver != nullptr && origin == receiver->info.instance;
        if (now - told.heardAt < reportTime && !isKnownThere && !(toRelay && (isRelays || !told.isDirect))) {
            news.push_back(&told);
        }
    }
    if (news.empty()) {
        return;
    }
    const std::size_t fleet = std::max(m_peers.size() + 1, mostReports);
    const std::size_t reports = std::max<std::size_t>(mostReports * mostReports / fleet, 1);
    const std::size_t prompts = mostPrompts * mostReports / fleet;
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / heartbeatPeriod);
    std::size_t passedOn = 0;
    for (std::size_t index = 0; index < std::min(reports, news.size()) && passedOn < prompts; ++index) {
        const ToldReport &told = *news[(turn * reports + index) % news.size()];
        heartbeat.engines.push_back(agedReport(told.report, now - told.heardAt));
        passedOn += told.report.placed.size();
    }
}

/*! @brief Relays tell each other only of processes that they hear themselves: none lives on in what others tell. */
void Peers::tellRoster(Heartbeat &heartbeat, const PeerState *receiver, TimePoint now) const
{
    const MembershipView &known = view(now);
    const bool toRelay = receiver != nullptr && receiver->isRelay && known.isRelay();
    heartbeat.rosterDigest = known.digest(toRelay);
    if (const Member *member = known.find(receiver); member != nullptr) {
        heartbeat.rosterDigest -= toRelay && !member->isHeard ? 0 : member->digest;
    }
    if (receiver != nullptr && receiver->knownDigest == heartbeat.rosterDigest) {
        return;
    }
    heartbeat.roster.emplace();
    for (const Member &member : known.live()) {
        if (member.peer != receiver && (member.isHeard || !toRelay)) {
            heartbeat.roster->push_back({member.peer->info, member.ownsQueues});
        }
    }
}

/*
 * Answers fleets of hundreds, in which each request and each heartbeat asks several times who is alive and keeps a
 * queue. Worked out for each question it took a relay 0.77 of a core at 300 processes, against 0.004 where it is worked
 * out once for as long as nobody counts differently (benchmark `answerHeartbeats`).
 */
const MembershipView &Peers::view(TimePoint now) const
{
    if (!m_view || !m_view->holds(now)) {
        ++m_viewsBuilt;
        m_view = std::make_unique<MembershipView>(m_self, m_ownsQueues, m_peers, now);
    }
    return *m_view;
}

std::vector<std::string> Peers::readers(TimePoint now) const
{
    return view(now).readers();
}

/*
 * Answers rolling restarts: what a process said before it stopped says nothing of its next start, of which others tell.
 * Taken for draining on, it keeps a queue for some and not for others, and the two collide at the endpoints: on three
 * large fleets 280 to 480 calls a day found an endpoint full, 5,000 to 13,000 pieces their inputs gone. So a peer that
 * drains is left out only while it is heard, and alive all the same.
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

bool Peers::isRelay(TimePoint now) const
{
    return view(now).isRelay();
}

std::optional<PeerInfo> Peers::owner(const PoolName &pool, TimePoint now) const
{
    return view(now).owner(pool);
}

bool Peers::isSettled(TimePoint now) const
{
    if (m_isSettled || m_seeds.empty()) {
        return true;
    }
    if (m_startedAt == TimePoint{}) {
        return false;
    }
    const bool hasMet = m_metAt != TimePoint{} && now - m_grownAt >= settlingTime;
    return hasMet || now - m_startedAt >= longestSettling;
}

std::uint32_t Peers::share(const std::string &key, std::uint32_t units, TimePoint now) const
{
    if (m_metAt == TimePoint{} && m_seeds.empty()) {
        return units;
    }
    if (m_metAt == TimePoint{} || now - m_metAt < meetingTime) {
        return 0;
    }
    return view(now).share(key, units);
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
    const auto look = [&longest, &pool, rank](const PeerState &teller) {
        for (const PoolWait &wait : teller.waits) {
            if (wait.pool == pool && wait.rank <= rank && (!longest || wait.wait > longest->wait)) {
                longest = wait;
            }
        }
    };
    if (found->second.isHeard(now)) {
        look(found->second);
        return longest;
    }
    for (const auto &[instance, teller] : m_peers) {
        if (teller.isRelay && teller.isHeard(now)) {
            look(teller);
        }
    }
    return longest;
}

std::uint64_t Peers::upcoming(const PoolName &pool, int rank, std::uint64_t own, TimePoint now) const
{
    const bool isRelayHere = view(now).isRelay();
    std::uint64_t sum = own;
    for (const auto &[instance, peer] : m_peers) {
        if (!peer.isHeard(now)) {
            continue;
        }
        std::uint64_t told = 0;
        for (const PoolWork &work : peer.upcoming) {
            told += work.pool == pool && work.rank <= rank ? work.pieces : 0;
        }
        // A relay tells the others of the whole fleet, so that what two relays tell must not be added.
        sum = isRelayHere ? sum + told : std::max(sum, told);
    }
    return sum;
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
