#include "bergamottide/streams/streamversions.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Maximum number of own streams, and of those of peers; further ones stay unknown. */
constexpr std::size_t maxStreams = 100'000;

} // namespace

StreamVersions::StreamVersions(GossipClock &clock, const EndpointListAge &listAge)
    : m_own{clock}
    , m_listAge{listAge}
{
}

StreamKey StreamVersions::keyOf(const WorkspaceName &workspace, const std::string &attempt)
{
    const std::uint64_t seed = XXH3_64bits(workspace.text().data(), workspace.text().size());
    return StreamKey{XXH3_64bits_withSeed(attempt.data(), attempt.size(), seed)};
}

void StreamVersions::updateEndpoints(const EndpointList &endpoints, TimePoint now)
{
    for (auto &[pool, versions] : m_pools) {
        std::erase_if(versions, [now](const auto &entry) {
            return entry.second.goneAt && now - *entry.second.goneAt >= maxLifetime + outOfStepTime;
        });
        for (auto &[version, presence] : versions) {
            presence.goneAt = presence.goneAt.value_or(now);
            presence.listed = 0;
            presence.serving = 0;
        }
    }
    std::erase_if(m_pools, [](const auto &entry) { return entry.second.empty(); });
    for (const EndpointRecord &record : endpoints) {
        Presence &presence = m_pools[record.pool][record.softwareVersion];
        presence.goneAt.reset();
        ++presence.listed;
        presence.serving += record.acceptsWork() ? 1 : 0;
        presence.mostListed = std::max(presence.mostListed, presence.listed);
    }
}

void StreamVersions::recordFormer(const EndpointList &endpoints, bool hasUnknown, TimePoint now)
{
    std::map<std::pair<PoolName, SoftwareVersion>, std::size_t> counts;
    for (const EndpointRecord &record : endpoints) {
        ++counts[{record.pool, record.softwareVersion}];
    }
    for (const auto &[key, count] : counts) {
        Presence &presence = m_pools[key.first][key.second];
        presence.mostListed = std::max(presence.mostListed, count);
        if (presence.listed == 0) {
            presence.goneAt = now;
        }
    }
    if (hasUnknown) {
        m_unknownFormerAt = now;
    }
}

bool StreamVersions::hasUnknownFormer(TimePoint now) const noexcept
{
    return m_unknownFormerAt && now - *m_unknownFormerAt < maxLifetime;
}

VersionCounts StreamVersions::servingVersions(const PoolName &pool) const
{
    VersionCounts out;
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return out;
    }
    for (const auto &[version, presence] : found->second) {
        if (presence.serving == 0) {
            continue;
        }
        out[version] = presence.serving;
    }
    return out;
}

VersionCounts StreamVersions::knownVersions(const PoolName &pool) const
{
    VersionCounts out;
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return out;
    }
    for (const auto &[version, presence] : found->second) {
        out[version] = presence.listed == 0 ? presence.mostListed : presence.listed;
    }
    return out;
}

bool StreamVersions::record(StreamKey stream, const SoftwareVersion &version, TimePoint expiresAt, TimePoint now)
{
    expiresAt = std::min(expiresAt, now + maxLifetime);
    const auto known = m_own.entries().find(stream);
    if (known == m_own.entries().end() && m_own.entries().size() >= maxStreams) {
        return false;
    }
    if (known != m_own.entries().end() && known->second.record.version == version) {
        known->second.record.expiresAt = std::max(known->second.record.expiresAt, expiresAt);
        return false;
    }
    const bool isReplaced = known != m_own.entries().end();
    m_own.change(stream) = {version, expiresAt};
    return isReplaced;
}

std::optional<SoftwareVersion> StreamVersions::find(StreamKey stream) const
{
    if (const auto own = m_own.entries().find(stream); own != m_own.entries().end()) {
        return own->second.record.version;
    }
    const auto reported = m_reported.find(stream);
    return reported == m_reported.end() ? std::nullopt : std::optional{reported->second.version};
}

std::optional<SoftwareVersion> StreamVersions::onlyVersion(const PoolName &pool, Duration lifetime,
                                                           TimePoint resumedAt) const
{
    const TimePoint earliestBegin = resumedAt - std::min(lifetime, maxLifetime);
    return m_listAge.covers(earliestBegin, resumedAt) ? singleVersion(pool, earliestBegin) : std::nullopt;
}

bool StreamVersions::hasSingleVersion(const PoolName &pool, Duration lifetime, TimePoint now) const
{
    return singleVersion(pool, now - std::min(lifetime, maxLifetime)).has_value();
}

/*! @brief Returns the only version of a pool at which any process can have begun a stream since a time. */
std::optional<SoftwareVersion> StreamVersions::singleVersion(const PoolName &pool, TimePoint since) const
{
    const auto versions = m_pools.find(pool);
    if (versions == m_pools.end()) {
        return std::nullopt;
    }
    const SoftwareVersion *only = nullptr;
    for (const auto &[version, presence] : versions->second) {
        if (presence.goneAt && *presence.goneAt + outOfStepTime <= since) {
            continue;
        }
        if (only != nullptr) {
            return std::nullopt;
        }
        only = &version;
    }
    return only == nullptr ? std::nullopt : std::optional{*only};
}

void StreamVersions::merge(const std::vector<StreamReport> &reports, TimePoint now)
{
    for (const StreamReport &report : reports) {
        if (m_reported.size() >= maxStreams && !m_reported.contains(report.stream)) {
            continue;
        }
        m_reported[report.stream] = {report.version, now + std::min(report.timeLeft, maxLifetime)};
    }
}

std::vector<StreamReport> StreamVersions::reportsSince(std::uint64_t since, TimePoint now) const
{
    std::vector<StreamReport> out;
    for (const auto &[stream, entry] : m_own.entries()) {
        if (entry.version > since && entry.record.expiresAt > now) {
            out.push_back({stream, entry.record.version, entry.record.expiresAt - now});
        }
    }
    return out;
}

void StreamVersions::removeExpired(TimePoint now)
{
    auto &own = m_own.entries();
    for (auto next = own.begin(); next != own.end();) {
        next = next->second.record.expiresAt <= now ? m_own.erase(next) : std::next(next);
    }
    std::erase_if(m_reported, [now](const auto &entry) { return entry.second.expiresAt <= now; });
}

} // namespace bergamottide::serving
