#include "bergamottide/serving/peers.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
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
/*! @brief Time after the first word of a peer in which a process does not know all others yet; fleets of hundreds that
 * start together meet in two seconds. */
constexpr Duration meetingTime = std::chrono::seconds{3};
/*! @brief Time without further peers after which a process that has just started takes its view for whole: a heartbeat
 * and its answer. */
constexpr Duration settlingTime = heartbeatPeriod + tolerance;
/*! @brief Time after its start in which a process without a whole view leaves queues alone at most: requests that wait
 * longer would be late anyway. */
constexpr Duration longestSettling = std::chrono::seconds{1};
/*! @brief Hubs at most: each exchanges heartbeats with all others, five times a second. */
constexpr std::size_t mostHubs = 16;
/*! @brief Hubs that a process exchanges heartbeats with: the second one is there when the first is lost. */
constexpr std::size_t hubsOfOne = 2;
/*! @brief Smallest fleet in which processes read the platform for others: below, reading oneself costs no more. */
constexpr std::size_t leastFollowedFleet = 9;
/*! @brief Processes that read the platform: enough that one is left after two losses at once, and one for so many
 * others, each of which asks twice a second. */
constexpr std::size_t leastReaders = 3;
constexpr std::size_t processesOfReader = 32;
/*! @brief Key by which rendezvous hashing draws the hubs. */
constexpr std::string_view hubKey = "hub";
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

/*! @brief Digest of a roster's entry. The digest of a roster is the sum of them, so that one can be taken out. */
std::uint64_t digestOf(const PeerInfo &peer, bool keepsQueues)
{
    const std::string text =
        absl::StrCat(peer.instance.text(), " ", peer.address, " ", peer.strength, " ", keepsQueues);
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
    if (m_metAt == TimePoint{}) {
        m_metAt = now;
    }
    const auto [found, isNew] = m_peers.try_emplace(heartbeat.from.instance);
    Peer &peer = found->second;
    m_grownAt = isNew ? now : m_grownAt;
    const bool isChanged = isNew || !isHeard(peer, now) || peer.info != heartbeat.from
        || peer.draining != heartbeat.draining || peer.keepsQueues != heartbeat.keepsQueues
        || peer.isHub != heartbeat.isHub || heartbeat.roster;
    if (isChanged) {
        m_survey.reset();
    }
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
        peer.toldAt = now;
        m_grownAt = isNew ? now : m_grownAt;
        // What a peer tells itself goes before what others tell of it, as long as it is heard.
        if (isNew || !isHeard(peer, now)) {
            peer.info = entry.peer;
        }
    }
}

void Peers::setKeepsQueues(bool keepsQueues) noexcept
{
    m_keepsQueues = keepsQueues;
    m_survey.reset();
}

void Peers::unreached(const InstanceName &peer, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.unreachedUntil = now + silence;
        m_survey.reset();
    }
}

/*
 * Answers the start of fleets of hundreds, in which many know only a peer that is no hub: whom that tells of is kept to
 * be asked. Forgotten at once, 172 of 300 processes never met the others.
 */
void Peers::forgetGone(TimePoint now)
{
    for (auto next = m_peers.begin(); next != m_peers.end();) {
        const auto present = next++;
        const Peer &peer = present->second;
        if (now - std::max(peer.heardAt, peer.toldAt) <= forgetting || isLive(present->first, now)) {
            continue;
        }
        if (!m_seeds.contains(peer.info.address)) {
            m_askedAt.erase(peer.info.address);
        }
        m_peers.erase(present);
        m_survey.reset();
    }
}

std::vector<std::string> Peers::due(TimePoint now)
{
    forgetGone(now);
    m_startedAt = m_startedAt == TimePoint{} ? now : m_startedAt;
    m_isSettled = isSettled(now);
    std::vector<std::string> addresses;
    for (const InstanceName &partner : survey(now).partners) {
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
    for (const std::string &address : trials(now)) {
        m_askedAt[address] = now;
        addresses.push_back(address);
    }
    return addresses;
}

/*
 * Returns addresses of peers that are not alive, to be asked whether they are: those that were not asked for longest,
 * and of these the likeliest hubs first, from which a process learns of all others. Asked in the order of their
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
        const Peer *peer = atAddress(address, now);
        if (peer == nullptr) {
            trials.push_back({askedAt, -std::numeric_limits<double>::max(), 0, address});
        } else if (!isLive(peer->info.instance, now)) {
            trials.push_back({askedAt, -peer->info.strength, ~score(hubKey, peer->info.instance), address});
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
    const Peer *receiver = atAddress(to, now);
    const Survey &known = survey(now);
    heartbeat.from = m_self;
    heartbeat.isHub = known.isHub;
    heartbeat.knownDigest = receiver == nullptr ? 0 : receiver->rosterDigest;
    tellRoster(heartbeat, receiver, now);
    if (!heartbeat.isHub) {
        // The second hub would count the same work once more.
        const bool isFirst =
            known.partners.empty() || receiver == nullptr || known.partners.front() == receiver->info.instance;
        if (!isFirst) {
            heartbeat.upcoming.clear();
        }
        return;
    }
    passOnWork(heartbeat, receiver, now);
    passOnEngines(heartbeat, receiver, now);
}

/*
 * Adds what others have told this hub of waits and of work on its way. Work is added up by pool and rank: told one by
 * one, a fleet of a hundred processes makes hundreds of entries of each heartbeat, for receivers with 0.09 cores.
 */
void Peers::passOnWork(Heartbeat &heartbeat, const Peer *receiver, TimePoint now) const
{
    const bool toHub = receiver != nullptr && receiver->isHub;
    std::map<std::pair<PoolName, int>, std::uint64_t> pieces;
    const auto add = [&pieces](const std::vector<PoolWork> &works) {
        for (const PoolWork &work : works) {
            pieces[{work.pool, work.rank}] += work.pieces;
        }
    };
    add(heartbeat.upcoming);
    for (const auto &[instance, peer] : m_peers) {
        if (!isHeard(peer, now) || &peer == receiver || (toHub && peer.isHub)) {
            continue;
        }
        add(peer.upcoming);
        if (peer.isHub) {
            heartbeat.waits.insert(heartbeat.waits.end(), peer.waits.begin(), peer.waits.end());
        }
    }
    heartbeat.upcoming.clear();
    for (const auto &[key, sum] : pieces) {
        heartbeat.upcoming.push_back({key.first, key.second, sum});
    }
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
void Peers::tellRoster(Heartbeat &heartbeat, const Peer *receiver, TimePoint now) const
{
    const Survey &known = survey(now);
    const bool toHub = receiver != nullptr && receiver->isHub && known.isHub;
    heartbeat.rosterDigest = toHub ? known.heardDigest : known.liveDigest;
    if (const auto place = known.places.find(receiver); place != known.places.end()) {
        const Standing &standing = known.live[place->second];
        heartbeat.rosterDigest -= toHub && !standing.isHeard ? 0 : standing.digest;
    }
    if (receiver != nullptr && receiver->knownDigest == heartbeat.rosterDigest) {
        return;
    }
    heartbeat.roster.emplace();
    for (const Standing &standing : known.live) {
        if (standing.peer != receiver && (standing.isHeard || !toHub)) {
            heartbeat.roster->push_back({standing.peer->info, standing.keepsQueues});
        }
    }
}

const Peers::Peer *Peers::atAddress(const std::string &address, TimePoint now) const
{
    const Survey &known = survey(now);
    const auto found = known.atAddress.find(address);
    if (found == known.atAddress.end()) {
        return nullptr;
    }
    const Peer *last = nullptr;
    for (const Peer *peer : found->second) {
        if (last == nullptr || peer->heardAt > last->heardAt) {
            last = peer;
        }
    }
    return last;
}

bool Peers::isHeard(const Peer &peer, TimePoint now)
{
    return now >= peer.unreachedUntil && peer.heardAt != TimePoint{} && now - peer.heardAt < silence;
}

/*! @brief Returns when a peer that tells nothing more counts differently; the far future if it does not. */
TimePoint Peers::changesAt(const Peer &peer, TimePoint now)
{
    if (now < peer.unreachedUntil) {
        return peer.unreachedUntil;
    }
    return isHeard(peer, now) ? peer.heardAt + silence : TimePoint::max();
}

/*
 * Answers fleets of hundreds, in which each request and each heartbeat asks several times who is alive and keeps a
 * queue. Worked out for each question it took a hub 0.77 of a core at 300 processes, against 0.004 where it is worked
 * out once for as long as nobody counts differently (benchmark `answerHeartbeats`).
 */
Peers::Survey &Peers::survey(TimePoint now) const
{
    if (m_survey && now < m_survey->until) {
        return *m_survey;
    }
    ++m_surveys;
    m_survey = std::make_unique<Survey>();
    Survey &fresh = *m_survey;
    surveyPeers(fresh, now);
    chooseHubs(fresh);
    chooseReaders(fresh);
    return fresh;
}

void Peers::surveyPeers(Survey &survey, TimePoint now) const
{
    const std::map<InstanceName, Hearsay> told = hearsay(now);
    survey.until = TimePoint::max();
    for (const auto &[instance, peer] : m_peers) {
        survey.until = std::min(survey.until, changesAt(peer, now));
        survey.atAddress[peer.info.address].push_back(&peer);
        const bool heard = isHeard(peer, now);
        const auto hearsay = told.find(instance);
        const bool isTold = hearsay != told.end() && hearsay->second.isTold;
        if (now < peer.unreachedUntil || (!heard && !isTold)) {
            continue;
        }
        if (heard && peer.draining) {
            survey.draining.insert(&peer);
            continue;
        }
        // What a peer tells itself while it is heard goes before what hubs tell of it.
        const bool keepsQueues = heard ? peer.keepsQueues : hearsay->second.keepsQueues;
        const std::uint64_t digest = digestOf(peer.info, keepsQueues);
        survey.places.emplace(&peer, survey.live.size());
        survey.live.push_back({&peer, heard, keepsQueues, digest});
        survey.liveDigest += digest;
        survey.heardDigest += heard ? digest : 0;
    }
}

/*! @brief Returns what the hubs that are heard tell of others. */
std::map<InstanceName, Peers::Hearsay> Peers::hearsay(TimePoint now) const
{
    std::map<InstanceName, Hearsay> out;
    for (const auto &[instance, teller] : m_peers) {
        if (!teller.isHub || !isHeard(teller, now)) {
            continue;
        }
        for (const auto &[told, keepsQueues] : teller.roster) {
            Hearsay &hearsay = out[told];
            hearsay.isTold = true;
            hearsay.keepsQueues = hearsay.keepsQueues || keepsQueues;
        }
    }
    return out;
}

void Peers::chooseHubs(Survey &survey) const
{
    double strongest = m_self.strength;
    for (const Standing &standing : survey.live) {
        strongest = std::max(strongest, standing.peer->info.strength);
    }
    if (m_self.strength >= strongest * hubStrength) {
        survey.hubs.push_back(m_self.instance);
    }
    for (const Standing &standing : survey.live) {
        if (standing.peer->info.strength >= strongest * hubStrength) {
            survey.hubs.push_back(standing.peer->info.instance);
        }
    }
    keepBest(survey.hubs, hubKey, mostHubs);
    survey.partners = survey.hubs;
    survey.isHub = std::erase(survey.partners, m_self.instance) != 0;
    if (!survey.isHub) {
        keepBest(survey.partners, m_self.instance.text(), hubsOfOne);
    }
}

/*! @brief Tells if a hub keeps queues: it knows what is served and by whom. */
bool Peers::keepsQueues(const InstanceName &hub, const Survey &survey) const
{
    return hub == m_self.instance ? m_keepsQueues : survey.live[survey.places.at(&m_peers.at(hub))].keepsQueues;
}

void Peers::chooseReaders(Survey &survey) const
{
    const std::size_t fleet = survey.live.size() + 1;
    if (fleet < leastFollowedFleet) {
        return;
    }
    std::vector<InstanceName> readers;
    std::ranges::copy_if(survey.hubs, std::back_inserter(readers),
                         [this, &survey](const InstanceName &hub) { return keepsQueues(hub, survey); });
    keepBest(readers, "reader", std::max(leastReaders, fleet / processesOfReader));
    if (std::ranges::find(readers, m_self.instance) != readers.end()) {
        return;
    }
    keepBest(readers, m_self.instance.text(), readers.size());
    for (const InstanceName &reader : readers) {
        survey.readers.push_back(m_peers.at(reader).info.address);
    }
}

std::vector<std::string> Peers::readers(TimePoint now) const
{
    return survey(now).readers;
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
    const Survey &known = survey(now);
    return known.places.contains(&found->second) || known.draining.contains(&found->second);
}

std::vector<PeerInfo> Peers::live(TimePoint now) const
{
    std::vector<PeerInfo> out;
    for (const Standing &standing : survey(now).live) {
        out.push_back(standing.peer->info);
    }
    return out;
}

std::size_t Peers::liveCount(TimePoint now) const
{
    return survey(now).live.size();
}

bool Peers::isHub(TimePoint now) const
{
    return survey(now).isHub;
}

std::optional<PeerInfo> Peers::keeper(const PoolName &pool, TimePoint now) const
{
    Survey &known = survey(now);
    const auto found = known.keepers.find(pool);
    if (found != known.keepers.end()) {
        return found->second;
    }
    return known.keepers.emplace(pool, drawKeeper(pool, known)).first->second;
}

std::optional<PeerInfo> Peers::drawKeeper(const PoolName &pool, const Survey &survey) const
{
    std::optional<PeerInfo> best;
    std::uint64_t bestScore = 0;
    for (const InstanceName &hub : survey.hubs) {
        const bool self = hub == m_self.instance;
        const std::uint64_t one = score(pool.text(), hub);
        if (keepsQueues(hub, survey) && one > bestScore) {
            bestScore = one;
            best = self ? std::nullopt : std::optional{m_peers.at(hub).info};
        }
    }
    return best;
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
    auto &shares = survey(now).shares;
    const auto [found, isNew] = shares.try_emplace({key, units});
    if (isNew) {
        found->second = deal(key, units);
    }
    return found->second;
}

std::uint32_t Peers::deal(const std::string &key, std::uint32_t units) const
{
    const auto processes = static_cast<std::uint32_t>(m_peers.size() + 1);
    if (processes <= units) {
        return units / processes;
    }
    const std::uint64_t own = score(key, m_self.instance);
    std::uint32_t before = 0;
    for (const auto &[instance, peer] : m_peers) {
        before += score(key, instance) > own ? 1 : 0;
        if (before >= units) {
            return 0;
        }
    }
    return 1;
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
    const bool isHubHere = survey(now).isHub;
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

std::size_t Peers::surveys() const noexcept
{
    return m_surveys;
}

} // namespace bergamottide::serving
