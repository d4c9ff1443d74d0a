#include "bergamottide/gossip/roster.h"

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Position of the bits of a version that tell its kind. */
constexpr unsigned kindShift = 62;
/*! @brief Removed peers that are kept for each live one. */
constexpr std::size_t maxRemovalsPerLivePeer = 2;
constexpr std::uint64_t counterMask = (1ULL << kindShift) - 1;

std::uint64_t kindBits(RosterKind kind)
{
    return static_cast<std::uint64_t>(kind) << kindShift;
}

} // namespace

Roster::Roster(std::uint64_t incarnation)
    // Zero means that nothing has been received.
    : m_firstVersion{std::max<std::uint64_t>(incarnation & counterMask, 1)}
    , m_version{m_firstVersion}
    , m_discardedVersion{m_firstVersion}
{
}

void Roster::update(const std::vector<LivePeer> &live)
{
    auto known = m_entries.begin();
    for (const LivePeer &peer : live) {
        for (; known != m_entries.end() && known->first < peer.info->instance; ++known) {
            remove(known->second);
        }
        put(peer);
        if (known != m_entries.end() && known->first == peer.info->instance) {
            ++known;
        }
    }
    for (; known != m_entries.end(); ++known) {
        remove(known->second);
    }
    discardOldRemovals();
}

void Roster::put(const LivePeer &peer)
{
    const auto [found, isNew] = m_entries.try_emplace(peer.info->instance);
    Entry &entry = found->second;
    const bool isSame = !isNew && !entry.entry.isRemoved && entry.isDirect == peer.isDirect
        && entry.entry.canOwnQueues == peer.canOwnQueues && entry.entry.peer == *peer.info;
    if (isSame) {
        return;
    }
    m_removedCount -= entry.entry.isRemoved ? 1 : 0;
    entry = {{*peer.info, peer.canOwnQueues, false}, peer.isDirect, ++m_version};
}

void Roster::remove(Entry &entry)
{
    if (entry.entry.isRemoved) {
        return;
    }
    entry.entry.isRemoved = true;
    entry.version = ++m_version;
    ++m_removedCount;
}

/*!
 * @brief Discards the removals once they far outnumber the live peers, so that replaced instances do not accumulate.
 *
 * Those of a sudden loss of half of the fleet are kept: it would be the worst time to send complete rosters.
 */
void Roster::discardOldRemovals()
{
    const std::size_t liveCount = m_entries.size() - m_removedCount;
    if (m_removedCount <= liveCount * maxRemovalsPerLivePeer) {
        return;
    }
    std::erase_if(m_entries, [this](const auto &item) {
        if (item.second.entry.isRemoved) {
            m_discardedVersion = std::max(m_discardedVersion, item.second.version);
        }
        return item.second.entry.isRemoved;
    });
    m_removedCount = 0;
}

std::uint64_t Roster::version(RosterKind kind) const noexcept
{
    return kindBits(kind) | m_version;
}

std::uint64_t Roster::sendSince(RosterKind kind, std::uint64_t acknowledged) const noexcept
{
    const std::uint64_t counter = acknowledged & counterMask;
    const bool isOwn = acknowledged == (kindBits(kind) | counter);
    return isOwn && counter >= m_discardedVersion && counter <= m_version ? acknowledged : 0;
}

std::vector<RosterEntry> Roster::changesSince(RosterKind kind, std::uint64_t since) const
{
    const std::uint64_t counter = since & counterMask;
    std::vector<RosterEntry> out;
    for (const auto &[instance, entry] : m_entries) {
        const bool isListed = !entry.entry.isRemoved && (entry.isDirect || kind != RosterKind::Direct);
        if (entry.version <= counter || (since == 0 && !isListed)) {
            continue;
        }
        out.push_back(entry.entry);
        out.back().isRemoved = !isListed;
    }
    return out;
}

} // namespace bergamottide::serving
