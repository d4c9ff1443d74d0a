#include "bergamottide/placement/placement.h"

#include "bergamottide/placement/loadestimate.h"

#include <algorithm>

namespace bergamottide {

namespace {

/*! @brief Candidates of an estimate for admission: refusing is worse than placing badly, so it looks at more. */
constexpr std::uint32_t estimateChoices = 4;
/*! @brief Share of a run's cost that a full endpoint adds to the score: orders endpoints that nobody waits for. */
constexpr double occupancyWeight = 0.25;
/*! @brief Costs that a certain failure adds to the score: a failed run is repeated and its time is lost. */
constexpr double failureWeight = 4.0;
/*! @brief Least penalty of a certain failure, for stages so short that their cost would not deter. */
constexpr Duration failurePenalty = std::chrono::milliseconds{50};
/*! @brief Share of a run's cost that a warm prefix cache saves, up to which the affine endpoint may score worse. */
constexpr double affinityGain = 0.5;
constexpr double loadUnit = 1000.0;

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

Placement::Source Placement::sourceOf(const PlacementQuery &query) const
{
    const PoolEndpoints *pool = m_table.pool(query.pool);
    if (!pool) {
        return {};
    }
    const auto byModel = pool->byModel.find(query.model);
    if (query.model.empty() || byModel == pool->byModel.end() || byModel->second.empty()) {
        // Nobody holds the model, or none is asked for: an engine that takes any model first, then all of them, since
        // a model may be loaded on demand.
        const bool any = query.model.empty() || pool->unspecified.empty();
        return {any ? &pool->all : &pool->unspecified, nullptr};
    }
    return {&byModel->second, pool->unspecified.empty() ? nullptr : &pool->unspecified};
}

Placement::Search Placement::startSearch(const PlacementQuery &query, const Policy &policy, TimePoint now)
{
    return Search{query, policy, now, m_table.workspaceNumber(query.workspace), sourceOf(query), {}};
}

std::optional<Placed> Placement::choose(const PlacementQuery &query, const Policy &policy, TimePoint now)
{
    Search search = startSearch(query, policy, now);
    if (!search.source.first) {
        return std::nullopt;
    }
    searchTiers(search, std::max(1U, policy.placementChoices));
    if (!search.best.number) {
        return std::nullopt;
    }
    if (!search.best.trial) {
        considerAffine(search);
    }
    const EndpointNumber number = *search.best.number;
    if (search.best.trial) {
        m_table.setEjection(number, EjectionState::Trial, m_table.endpoint(number).ejectedUntil);
    }
    return Placed{number, search.best.wait, search.best.trial};
}

std::optional<Duration> Placement::estimateWait(const PlacementQuery &query, const Policy &policy, TimePoint now)
{
    Search search = startSearch(query, policy, now);
    if (!search.source.first) {
        return std::nullopt;
    }
    searchTiers(search, std::max(estimateChoices, policy.placementChoices));
    return search.best.number ? std::optional{search.best.wait} : std::nullopt;
}

// Tiers in order of distance. A farther tier is asked once more if the nearer ones gave too few candidates, else with
// one candidate that keeps an eye on it; another region is only asked when the best so far is worse than the distance.
void Placement::searchTiers(Search &search, std::uint32_t choices)
{
    std::uint32_t found = drawFrom(search, Tier::OwnZone, choices);
    found += drawFrom(search, Tier::OwnRegion, std::max(1U, choices - found));
    if (found > 0 && search.best.score <= search.policy.regionDistance) {
        return;
    }
    static_cast<void>(drawFrom(search, Tier::Elsewhere, std::max(1U, choices - std::min(found, choices))));
}

std::uint32_t Placement::drawFrom(Search &search, Tier tier, std::uint32_t choices)
{
    const EndpointSet &first = search.source.first->at(tier);
    const EndpointSet *second = search.source.second ? &search.source.second->at(tier) : nullptr;
    const std::size_t size = first.size() + (second ? second->size() : 0);
    const auto draws = static_cast<std::uint32_t>(std::min<std::size_t>(choices, size));
    std::uint32_t found = 0;
    for (std::uint32_t draw = 0; draw < draws; ++draw) {
        found += drawOne(search, first, second) ? 1 : 0;
    }
    return found;
}

// A draw that hits an avoided endpoint moves on to the next one, so that a small set always yields one that is left.
bool Placement::drawOne(Search &search, const EndpointSet &first, const EndpointSet *second)
{
    const std::size_t size = first.size() + (second ? second->size() : 0);
    const std::size_t start = m_random.below(static_cast<std::uint32_t>(size));
    const std::size_t steps = std::min(size, search.query.avoided.size() + 2);
    for (std::size_t step = 0; step < steps; ++step) {
        const std::size_t position = (start + step) % size;
        const EndpointNumber number = position < first.size() ? first[position] : (*second)[position - first.size()];
        const Endpoint &endpoint = m_table.endpoint(number);
        const bool known = search.best.number == number && size > 1;
        if (known || contains(search.query.avoided, endpoint.name)) {
            continue;
        }
        if (endpoint.ejection == EjectionState::HalfOpen && !search.query.mayTry) {
            continue;
        }
        consider(search, number);
        return true;
    }
    return false;
}

void Placement::consider(Search &search, EndpointNumber number)
{
    ++m_looked;
    const Endpoint &endpoint = m_table.endpoint(number);
    const Duration wait = waitAt(search, endpoint);
    const Duration score = scoreOf(search, endpoint, wait);
    const bool trial = endpoint.ejection == EjectionState::HalfOpen;
    if (search.best.number && !trial && (search.best.trial || search.best.score <= score)) {
        return;
    }
    search.best = {number, score, wait, trial};
}

void Placement::considerAffine(Search &search)
{
    if (search.query.prefix == 0) {
        return;
    }
    const auto number = search.source.first->affine.find(search.query.prefix);
    if (!number || search.best.number == number) {
        return;
    }
    ++m_looked;
    const Endpoint &endpoint = m_table.endpoint(*number);
    if (endpoint.ejection != EjectionState::InService || contains(search.query.avoided, endpoint.name)) {
        return;
    }
    // One slot on top of the bound: with little load every run would be above a multiple of the average.
    const auto average = static_cast<double>(search.source.first->at(Tier::OwnZone).averageLoad());
    const double slot = loadUnit / static_cast<double>(std::max(1U, endpoint.reported.concurrency));
    if (static_cast<double>(endpoint.load) > search.policy.affinityBound * average + slot) {
        return;
    }
    const Duration wait = waitAt(search, endpoint);
    const Duration score = scoreOf(search, endpoint, wait);
    if (score > search.best.score + scaled(search.query.cost, affinityGain)) {
        return;
    }
    search.best = {*number, score, wait, false};
}

Duration Placement::waitAt(const Search &search, const Endpoint &endpoint) const
{
    Duration wait = estimatedWait(endpoint, search.workspace, search.policy, search.now);
    if (endpoint.tier == Tier::OwnRegion) {
        wait += search.policy.zoneDistance;
    }
    if (endpoint.tier == Tier::Elsewhere) {
        wait += search.policy.regionDistance;
    }
    return wait;
}

Duration Placement::scoreOf(const Search &search, const Endpoint &endpoint, Duration wait) const
{
    const Duration cost = search.query.cost;
    const double occupancy = static_cast<double>(endpoint.load) / loadUnit;
    const double slower = std::max(0.0, endpoint.observed.slowness - 1.0);
    const double failing = std::max(endpoint.observed.failureShare, endpoint.reported.failureShare);
    return wait + scaled(cost, slower + occupancyWeight * std::min(1.0, occupancy))
        + scaled(scaled(cost, failureWeight) + failurePenalty, failing);
}

std::uint64_t Placement::looked() const noexcept
{
    return m_looked;
}

} // namespace bergamottide
