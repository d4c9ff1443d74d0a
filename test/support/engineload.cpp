#include "support/engineload.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamottide::test {

using namespace engines;

namespace {

constexpr Duration reportPeriod = std::chrono::milliseconds{200};

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>{seconds});
}

} // namespace

double EngineLoadOutcome::onTimeShare() const
{
    KindOutcome all;
    for (const auto &[name, kind] : kinds) {
        all.requests += kind.requests;
        all.onTime += kind.onTime;
    }
    return all.onTimeShare();
}

EngineLoad::EngineLoad(EngineLoadOptions options, Policy policy, std::uint64_t seed)
    : m_options{std::move(options)}
    , m_policy{std::move(policy)}
    , m_random{seed}
    , m_tables(m_options.processes)
    , m_loads(m_options.processes)
{
    std::vector<EngineListing> listings;
    for (std::uint32_t index = 0; index < m_options.engines; ++index) {
        Engine engine;
        engine.name = InstanceName{"engine-" + std::to_string(index)};
        engine.zone = ZoneName{"zone-" + std::to_string(index % m_options.zones)};
        engine.index = index;
        listings.push_back({engine.name, PoolName{"engines"}, 1, m_options.capacity});
        m_engines.push_back(std::move(engine));
    }
    for (EngineTable &table : m_tables) {
        table.setEngines(listings);
    }
}

EngineLoadOutcome EngineLoad::simulate()
{
    double total = 0.0;
    for (const PromptKind &kind : m_options.kinds) {
        total += kind.requestsPerSecond;
    }
    const TimePoint end = m_now + m_options.length;
    TimePoint reportAt = m_now;
    while (m_now < end) {
        const TimePoint arrival = m_now + fromSeconds(-std::log(1.0 - uniform()) / total);
        for (; reportAt <= arrival; reportAt += reportPeriod) {
            m_now = reportAt;
            deliverFirstEvents();
            exchangeReports();
        }
        m_now = arrival;
        deliverFirstEvents();
        double drawn = uniform() * total;
        const PromptKind *chosen = &m_options.kinds.back();
        for (const PromptKind &kind : m_options.kinds) {
            if (drawn < kind.requestsPerSecond) {
                chosen = &kind;
                break;
            }
            drawn -= kind.requestsPerSecond;
        }
        arrive(*chosen);
    }
    return m_outcome;
}

void EngineLoad::arrive(const PromptKind &kind)
{
    const auto part = static_cast<std::uint32_t>(uniform() * kind.sharedParts);
    // The part specific to the request is between half and twice as long as `ownTokens`.
    const double length = std::exp2(2.0 * uniform() - 1.0);
    const std::string shared = kind.name + std::to_string(part);
    const std::vector<PromptPart> prompt{
        {shared, kind.sharedTokens},
        {shared + "/" + std::to_string(m_next), static_cast<std::uint64_t>(length * double(kind.ownTokens))}};
    const PromptChain chain = chainOf("model", prompt);
    const std::size_t process = static_cast<std::size_t>(uniform() * m_options.processes);
    std::vector<EngineCandidate> candidates;
    const load::LoadTable &loads = m_loads[process];
    const PoolName pool{"engines"};
    for (const Engine &engine : m_engines) {
        const double relativePace =
            loads.expectedPace(pool, engine.name, m_now + m_options.firstEventDelay) / loads.meanPace(pool);
        candidates.push_back({engine.name, engine.zone, 0, false, relativePace});
    }
    const std::string attempt = std::to_string(m_next);
    const GenerationQuery query{pool, chain, attempt, {}, 0, m_options.fetchRate};
    if (const auto choice = m_policy(m_tables[process], candidates, query, m_now)) {
        startGeneration(kind, chain, process, *choice);
    }
}

void EngineLoad::startGeneration(const PromptKind &kind, const PromptChain &chain, std::size_t process,
                                 const EngineChoice &choice)
{
    const GenerationNumber number{m_next++};
    m_tables[process].recordSent({number, choice.engine, chain, choice.prefillTokens, choice.queuedTokens,
                                  choice.expectedFirstEvent, choice.relativePace},
                                 m_now);
    Engine &engine = engineOf(choice.engine);
    const TimePoint start = std::max(m_now, engine.busyUntil);
    std::size_t cachedLinks = engine.prefixCache.cachedLinks(chain);
    double transfer = 0.0;
    if (!choice.fetchFrom.empty()) {
        const std::size_t readyAtSource = engineOf(choice.fetchFrom).prefixCache.readyLinks(chain, start);
        for (; cachedLinks < readyAtSource; ++cachedLinks) {
            m_outcome.fetchedTokens += chain[cachedLinks].tokens;
            transfer += static_cast<double>(chain[cachedLinks].tokens) / m_options.fetchRate;
        }
    }
    std::uint64_t prefillTokens = 0;
    for (std::size_t index = cachedLinks; index < chain.size(); ++index) {
        prefillTokens += chain[index].tokens;
        const bool isCachedAnywhere = std::ranges::any_of(m_engines, [&chain, index, start](const Engine &other) {
            return other.prefixCache.readyLinks(chain, start) > index;
        });
        m_outcome.recomputedTokens += isCachedAnywhere ? chain[index].tokens : 0;
    }
    m_outcome.prefilledTokens += prefillTokens;
    engine.busyUntil = start
        + fromSeconds(transfer + paceOf(engine, start) * static_cast<double>(prefillTokens) / m_options.prefillRate);
    engine.prefixCache.insert(chain, m_options.capacity, engine.busyUntil);
    const TimePoint first = engine.busyUntil + m_options.firstEventDelay;
    m_events.push({first, process, number, choice.engine});
    KindOutcome &outcome = m_outcome.kinds[kind.name];
    ++outcome.requests;
    outcome.onTime += first - m_now <= kind.objective ? 1 : 0;
    outcome.totalSeconds += std::chrono::duration<double>(first - m_now).count();
}

/*! @brief Returns how long work takes at an engine at a time, relative to the usual time. */
double EngineLoad::paceOf(const Engine &engine, TimePoint at) const
{
    const auto turn =
        m_options.slownessPeriod > Duration::zero() ? at.time_since_epoch() / m_options.slownessPeriod : 0;
    return (engine.index + turn) % 3 == 2 ? m_options.slowness : 1.0;
}

void EngineLoad::exchangeReports()
{
    if (!m_options.exchangesReports) {
        return;
    }
    for (std::size_t from = 0; from < m_tables.size(); ++from) {
        const EngineReport report =
            m_tables[from].nextReport(InstanceName{"process-" + std::to_string(from)}, 1, m_now);
        for (std::size_t to = 0; to < m_tables.size(); ++to) {
            if (to != from) {
                m_tables[to].applyReport(report, m_now);
            }
        }
    }
}

void EngineLoad::deliverFirstEvents()
{
    while (!m_events.empty() && m_events.top().at <= m_now) {
        const FirstEvent event = m_events.top();
        m_events.pop();
        m_tables[event.process].recordFirstEvent(event.number, event.at);
        if (m_options.reportsPace) {
            const load::EndpointLoad load{0, 0, 1, paceOf(engineOf(event.engine), event.at)};
            m_loads[event.process].record(PoolName{"engines"}, event.engine, 1, load, 0, event.at);
        }
    }
}

double EngineLoad::uniform()
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(m_random() >> 11U) * scale;
}

EngineLoad::Engine &EngineLoad::engineOf(const InstanceName &name)
{
    return *std::ranges::find(m_engines, name, &Engine::name);
}

std::optional<EngineChoice> pickByRequestCount(EngineTable &table, const std::vector<EngineCandidate> &candidates,
                                               const GenerationQuery &query, TimePoint /*now*/)
{
    constexpr double factor = 1.5;
    constexpr double allowance = 4.0;
    std::vector<std::pair<std::uint64_t, InstanceName>> ranked;
    double sum = 0.0;
    for (const EngineCandidate &candidate : candidates) {
        const std::string &name = candidate.engine.text();
        ranked.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), query.chain.front().digest),
                            candidate.engine);
        sum += static_cast<double>(table.find(candidate.engine)->backlog.size());
    }
    std::ranges::sort(ranked, std::greater<>{});
    const double bound = factor * sum / static_cast<double>(candidates.size()) + allowance;
    for (const auto &[rank, engine] : ranked) {
        if (static_cast<double>(table.find(engine)->backlog.size()) <= bound) {
            return EngineChoice{engine, {}, 0, 0.0, {}};
        }
    }
    return EngineChoice{ranked.front().second, {}, 0, 0.0, {}};
}

EngineLoadOptions designStudioLoad()
{
    using std::chrono::milliseconds;
    EngineLoadOptions options;
    options.kinds = {{"draft", 13.2, 234, 13'300, 3'720, milliseconds{800}},
                     {"revision", 9.8, 174, 6'300, 2'890, milliseconds{800}},
                     {"caption", 16.8, 198, 350, 1'110, milliseconds{600}}};
    return options;
}

} // namespace bergamottide::test
