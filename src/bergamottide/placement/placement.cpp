#include "bergamottide/placement/placement.h"

#include "bergamottide/placement/loadestimate.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief Minimum number of candidates per estimate; higher than for placements, since requests are refused by it. */
constexpr std::uint32_t minEstimateChoices = 4;
/*! @brief Weight of the occupancy in the score, relative to the run's cost; orders endpoints without a queue. */
constexpr double occupancyWeight = 0.25;
/*! @brief Weight of the failure share in the score, relative to the run's cost; a failed run has to be repeated. */
constexpr double failureWeight = 4.0;
/*! @brief Failure penalty that is independent of the cost, for short stages. */
constexpr Duration minFailurePenalty = std::chrono::milliseconds{50};
/*! @brief Share of a run's cost that a cached prefix is assumed to save; offsets the affinity endpoint's score. */
constexpr double prefixCacheSaving = 0.5;
/*! @brief Loads of endpoints are in thousandths of their concurrency. */
constexpr double loadScale = 1000.0;

bool contains(absl::Span<const InstanceName> names, const InstanceName &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

Placement::Placement(EndpointTable &table, std::uint64_t seed)
    : m_table{table}
    , m_random{seed}
{
}

Placement::CandidateGroups Placement::groupsFor(const PlacementQuery &query) const
{
    const PoolEndpoints *pool = m_table.pool(query.pool);
    if (!pool) {
        return {};
    }
    const auto byModel = pool->byModel.find(query.model);
    if (query.model.empty() || byModel == pool->byModel.end() || byModel->second.empty()) {
        // Without a requested model all endpoints are considered. If no endpoint has the model loaded, those that serve
        // any model are preferred; else all are considered, since they may load it on demand.
        const bool any = query.model.empty() || pool->unspecified.empty();
        return {any ? &pool->all : &pool->unspecified, nullptr};
    }
    return {&byModel->second, pool->unspecified.empty() ? nullptr : &pool->unspecified};
}

Placement::Search Placement::startSearch(const PlacementQuery &query, const Policy &policy, TimePoint now)
{
    return Search{query, policy, now, m_table.workspaceNumber(query.workspace), groupsFor(query), {}};
}

std::optional<PlacementResult> Placement::choose(const PlacementQuery &query, const Policy &policy, TimePoint now)
{
    Search search = startSearch(query, policy, now);
    if (!search.groups.first) {
        return std::nullopt;
    }
    searchTiers(search, std::max(1U, policy.placementChoices));
    if (!search.best.number) {
        return std::nullopt;
    }
    if (!search.best.trial) {
        considerAffinity(search);
    }
    const EndpointNumber number = *search.best.number;
    if (search.best.trial) {
        m_table.setEjection(number, EjectionState::Trial, m_table.endpoint(number).ejectedUntil);
    }
    return PlacementResult{number, search.best.wait, search.best.trial};
}

std::optional<Duration> Placement::estimateWait(const PlacementQuery &query, const Policy &policy, TimePoint now)
{
    Search search = startSearch(query, policy, now);
    if (!search.groups.first) {
        return std::nullopt;
    }
    searchTiers(search, std::max(minEstimateChoices, policy.placementChoices));
    return search.best.number ? std::optional{search.best.wait} : std::nullopt;
}

// Samples the tiers in order of distance. A farther tier gets at least one candidate, more if the nearer ones had too
// few. Other regions are only sampled if the best score so far exceeds the distance to them.
void Placement::searchTiers(Search &search, std::uint32_t choices)
{
    std::uint32_t found = sampleTier(search, Tier::OwnZone, choices);
    found += sampleTier(search, Tier::OwnRegion, std::max(1U, choices - found));
    if (found > 0 && search.best.score <= search.policy.regionDistance) {
        return;
    }
    static_cast<void>(sampleTier(search, Tier::OtherRegion, std::max(1U, choices - std::min(found, choices))));
}

std::uint32_t Placement::sampleTier(Search &search, Tier tier, std::uint32_t choices)
{
    const EndpointSet &first = search.groups.first->at(tier);
    const EndpointSet *second = search.groups.second ? &search.groups.second->at(tier) : nullptr;
    const std::size_t size = first.size() + (second ? second->size() : 0);
    const auto draws = static_cast<std::uint32_t>(std::min<std::size_t>(choices, size));
    std::uint32_t found = 0;
    for (std::uint32_t draw = 0; draw < draws; ++draw) {
        found += sampleOne(search, first, second) ? 1 : 0;
    }
    return found;
}

// Continues with the next endpoint if the sampled one is to be avoided, so that a small set always yields a candidate.
bool Placement::sampleOne(Search &search, const EndpointSet &first, const EndpointSet *second)
{
    const std::size_t size = first.size() + (second ? second->size() : 0);
    const std::size_t start = m_random.below(static_cast<std::uint32_t>(size));
    const std::size_t steps = std::min(size, search.query.avoided.size() + 2);
    for (std::size_t step = 0; step < steps; ++step) {
        const std::size_t position = (start + step) % size;
        const EndpointNumber number = position < first.size() ? first[position] : (*second)[position - first.size()];
        const Endpoint &endpoint = m_table.endpoint(number);
        const bool isBest = search.best.number == number && size > 1;
        if (isBest || contains(search.query.avoided, endpoint.name)) {
            continue;
        }
        if (endpoint.ejection == EjectionState::HalfOpen && !search.query.allowsTrial) {
            continue;
        }
        consider(search, number);
        return true;
    }
    return false;
}

void Placement::consider(Search &search, EndpointNumber number)
{
    ++m_examined;
    const Endpoint &endpoint = m_table.endpoint(number);
    const Duration wait = waitWithDistance(search, endpoint);
    const Duration score = scoreOf(search, endpoint, wait);
    const bool trial = endpoint.ejection == EjectionState::HalfOpen;
    if (search.best.number && !trial && (search.best.trial || search.best.score <= score)) {
        return;
    }
    search.best = {number, score, wait, trial};
}

void Placement::considerAffinity(Search &search)
{
    if (search.query.prefix == 0) {
        return;
    }
    const auto number = search.groups.first->affinity.find(search.query.prefix);
    if (!number || search.best.number == number) {
        return;
    }
    ++m_examined;
    const Endpoint &endpoint = m_table.endpoint(*number);
    if (endpoint.ejection != EjectionState::InService || contains(search.query.avoided, endpoint.name)) {
        return;
    }
    // One slot is added to the bound, since under low load a single run exceeds any multiple of the average.
    const auto average = static_cast<double>(search.groups.first->at(Tier::OwnZone).averageLoad());
    const double slot = loadScale / static_cast<double>(std::max(1U, endpoint.reported.concurrency));
    if (static_cast<double>(endpoint.load) > search.policy.affinityBound * average + slot) {
        return;
    }
    const Duration wait = waitWithDistance(search, endpoint);
    const Duration score = scoreOf(search, endpoint, wait);
    if (score > search.best.score + scaled(search.query.cost, prefixCacheSaving)) {
        return;
    }
    search.best = {*number, score, wait, false};
}

Duration Placement::waitWithDistance(const Search &search, const Endpoint &endpoint) const
{
    Duration wait = estimatedWait(endpoint, search.workspace, search.policy, search.now);
    if (endpoint.tier == Tier::OwnRegion) {
        wait += search.policy.zoneDistance;
    }
    if (endpoint.tier == Tier::OtherRegion) {
        wait += search.policy.regionDistance;
    }
    return wait;
}

Duration Placement::scoreOf(const Search &search, const Endpoint &endpoint, Duration wait) const
{
    const Duration cost = search.query.cost;
    const double occupancy = static_cast<double>(endpoint.load) / loadScale;
    const double slower = std::max(0.0, endpoint.observed.slowness - 1.0);
    const double failing = std::max(endpoint.observed.failureShare, endpoint.reported.failureShare);
    return wait + scaled(cost, slower + occupancyWeight * std::min(1.0, occupancy))
        + scaled(scaled(cost, failureWeight) + minFailurePenalty, failing);
}

std::uint64_t Placement::examined() const noexcept
{
    return m_examined;
}

} // namespace bergamottide
