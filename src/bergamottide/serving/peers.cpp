#include "bergamottide/serving/peers.h"

#include <xxhash.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Silence after which a peer counts as gone; its work is done again elsewhere, so not much longer than a stage
 * call. */
constexpr Duration silence = std::chrono::milliseconds{900};
/*! @brief Period in which peers that are gone, and seeds that never answered, are asked again. */
constexpr Duration seedPeriod = std::chrono::milliseconds{500};
/*! @brief Ticks come a little early or late; a heartbeat due within this time goes with the present one. */
constexpr Duration tolerance = std::chrono::milliseconds{20};
/*! @brief Silence after which a peer is forgotten altogether. */
constexpr Duration forgetting = std::chrono::seconds{60};

std::uint64_t score(const PoolName &pool, const InstanceName &instance)
{
    const std::string &key = pool.text();
    return XXH3_64bits_withSeed(instance.text().data(), instance.text().size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace

Peers::Peers(PeerInfo self, const std::vector<std::string> &seeds)
    : m_self{std::move(self)}
{
    for (const std::string &seed : seeds) {
        if (seed != m_self.address) {
            m_seeds.insert(seed);
            m_askedAt.emplace(seed, TimePoint{});
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
    peer.isUnreached = false;
    peer.waits = heartbeat.waits;
    peer.upcoming = heartbeat.upcoming;
    m_askedAt.try_emplace(heartbeat.from.address, TimePoint{});
    for (const PeerInfo &other : heartbeat.peers) {
        if (other.instance != m_self.instance) {
            m_askedAt.try_emplace(other.address, TimePoint{});
        }
    }
}

void Peers::setKeepsQueues(bool keepsQueues) noexcept
{
    m_keepsQueues = keepsQueues;
}

void Peers::unreached(const InstanceName &peer)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end()) {
        found->second.isUnreached = true;
    }
}

void Peers::forgetGone(TimePoint now)
{
    for (auto next = m_peers.begin(); next != m_peers.end();) {
        const Peer &peer = next->second;
        if (now - peer.heardAt <= forgetting) {
            ++next;
            continue;
        }
        if (!m_seeds.contains(peer.info.address)) {
            m_askedAt.erase(peer.info.address);
        }
        next = m_peers.erase(next);
    }
}

std::vector<std::string> Peers::due(TimePoint now)
{
    forgetGone(now);
    std::map<std::string, bool> lively;
    for (const auto &[instance, peer] : m_peers) {
        lively[peer.info.address] = now - peer.heardAt < silence;
    }
    std::vector<std::string> addresses;
    for (auto &[address, askedAt] : m_askedAt) {
        const auto found = lively.find(address);
        const Duration pause = found != lively.end() && found->second ? heartbeatPeriod - tolerance : seedPeriod;
        if (askedAt == TimePoint{} || now - askedAt >= pause) {
            askedAt = now;
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<PeerInfo> Peers::live(TimePoint now) const
{
    std::vector<PeerInfo> out;
    for (const auto &[instance, peer] : m_peers) {
        if (isLive(instance, now) && !peer.draining) {
            out.push_back(peer.info);
        }
    }
    return out;
}

std::optional<PeerInfo> Peers::keeper(const PoolName &pool, TimePoint now) const
{
    std::optional<PeerInfo> best;
    std::uint64_t bestScore = m_keepsQueues ? score(pool, m_self.instance) : 0;
    for (const auto &[instance, peer] : m_peers) {
        if (!peer.keepsQueues || peer.draining || !isLive(instance, now)) {
            continue;
        }
        const std::uint64_t one = score(pool, instance);
        if (one > bestScore) {
            best = peer.info;
            bestScore = one;
        }
    }
    return best;
}

std::uint64_t Peers::incarnationOf(const InstanceName &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? 0 : found->second.incarnation;
}

bool Peers::isLive(const InstanceName &peer, TimePoint now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && !found->second.isUnreached && now - found->second.heardAt < silence;
}

std::optional<PoolWait> Peers::toldWait(const InstanceName &peer, const PoolName &pool, int rank) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return std::nullopt;
    }
    std::optional<PoolWait> longest;
    for (const PoolWait &wait : found->second.waits) {
        if (wait.pool == pool && wait.rank <= rank && (!longest || wait.wait > longest->wait)) {
            longest = wait;
        }
    }
    return longest;
}

std::uint64_t Peers::upcoming(const PoolName &pool, int rank, TimePoint now) const
{
    std::uint64_t sum = 0;
    for (const auto &[instance, peer] : m_peers) {
        if (!isLive(instance, now)) {
            continue;
        }
        for (const PoolWork &work : peer.upcoming) {
            sum += work.pool == pool && work.rank <= rank ? work.pieces : 0;
        }
    }
    return sum;
}

const PeerInfo &Peers::self() const noexcept
{
    return m_self;
}

} // namespace bergamottide::serving
