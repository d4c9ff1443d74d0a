#include "bergamottide/engines/enginetable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamottide::engines {

namespace {

/*! @brief Time for which a placement is included in reports; covers two heartbeats, in case one is lost. */
constexpr Duration placementReportTime = std::chrono::milliseconds{450};
/*! @brief Maximum number of placements in a report, the latest ones; limits its size to a few KB. */
constexpr std::size_t maxReportedPlacements = 64;
/*! @brief Weight of a new sample in the moving average of an engine's slowness. */
constexpr double slownessWeight = 0.2;
/*! @brief Range of slowness samples; values beyond it are caused by a wrong estimate of the queue. */
constexpr double minSlownessRatio = 0.5;
constexpr double maxSlownessRatio = 6.0;
/*! @brief Time constant of the decay of slowness; lets slow engines be tried again after a few seconds. */
constexpr double slownessDecaySeconds = 5.0;

} // namespace

void EngineTable::setEngines(const std::vector<EngineListing> &listings)
{
    std::map<InstanceName, EngineState> knownEngines = std::exchange(m_engines, {});
    for (const EngineListing &listing : listings) {
        auto node = knownEngines.extract(listing.engine);
        if (!node.empty() && node.mapped().listing.incarnation == listing.incarnation) {
            node.mapped().listing = listing;
            m_engines.insert(std::move(node));
            continue;
        }
        m_engines[listing.engine].listing = listing;
        // What the former process would have cached is told neither to this table nor to the peers.
        std::erase_if(m_pending,
                      [&listing](const auto &entry) { return entry.second.generation.engine == listing.engine; });
        std::erase_if(m_recentPlacements,
                      [&listing](const RecentPlacement &placement) { return placement.engine == listing.engine; });
    }
}

void EngineTable::recordSent(SentGeneration generation, TimePoint now)
{
    const auto engine = m_engines.find(generation.engine);
    if (engine == m_engines.end()) {
        return;
    }
    EngineState &state = engine->second;
    state.prefixCache.insert(generation.chain, state.listing.capacity, now + generation.expectedFirstEvent);
    state.backlog.add(generation.number, generation.prefillTokens, now);
    m_recentPlacements.push_back({generation.engine, generation.chain, now + generation.expectedFirstEvent, now});
    const GenerationNumber number = generation.number;
    m_pending.insert_or_assign(number, PendingGeneration{std::move(generation), now});
}

void EngineTable::recordFirstEvent(GenerationNumber number, TimePoint now)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        return;
    }
    const SentGeneration &generation = found->second.generation;
    if (const auto engine = m_engines.find(generation.engine); engine != m_engines.end()) {
        learnFirstEvent(found->second, engine->second, now);
        engine->second.prefixCache.insert(generation.chain, engine->second.listing.capacity, now);
    }
    recordEnd(number, now);
}

void EngineTable::recordEnd(GenerationNumber number, TimePoint now)
{
    const auto node = m_pending.extract(number);
    if (node.empty()) {
        return;
    }
    if (const auto engine = m_engines.find(node.mapped().generation.engine); engine != m_engines.end()) {
        engine->second.backlog.remove(number, now);
    }
}

void EngineTable::learnFirstEvent(const PendingGeneration &pending, EngineState &engine, TimePoint now)
{
    const SentGeneration &generation = pending.generation;
    const Duration time = scaled(now - pending.at, 1.0 / generation.relativePace);
    FirstEventModel &firstEvents = m_models[engine.listing.pool];
    const double previous = currentSlowness(engine, now);
    const double tokens = static_cast<double>(generation.prefillTokens) + generation.queuedTokens;
    const Duration expected = firstEvents.expected(tokens);
    firstEvents.learn(tokens, time, previous);
    if (expected <= Duration::zero()) {
        return;
    }
    const double ratio = std::clamp(static_cast<double>(time.count()) / static_cast<double>(expected.count()),
                                    minSlownessRatio, maxSlownessRatio);
    engine.slowness = previous + slownessWeight * (ratio - previous);
    engine.slownessAt = now;
}

void EngineTable::applyReport(const EngineReport &report, TimePoint now)
{
    const std::pair position{report.incarnation, report.sequence};
    const auto [last, isNew] = m_lastPositions.try_emplace(report.origin, position);
    const auto &[incarnation, sequence] = last->second;
    if (!isNew && incarnation == report.incarnation && sequence >= report.sequence) {
        return;
    }
    last->second = position;
    applyPeerWork(report, now);
    for (const PlacedPrompt &placed : report.placed) {
        if (const auto engine = m_engines.find(placed.engine); engine != m_engines.end()) {
            engine->second.prefixCache.insert(placed.chain, engine->second.listing.capacity,
                                              now + placed.timeUntilCached);
        }
    }
}

void EngineTable::applyPeerWork(const EngineReport &report, TimePoint now)
{
    std::set<InstanceName> previous = std::exchange(m_reportedEngines[report.origin], {});
    for (const PendingPrefill &work : report.pendingPrefills) {
        previous.erase(work.engine);
        const auto engine = m_engines.find(work.engine);
        if (engine == m_engines.end()) {
            continue;
        }
        engine->second.backlog.setPeerTokens(report.origin, work.tokens, now);
        m_reportedEngines[report.origin].insert(work.engine);
    }
    for (const InstanceName &engine : previous) {
        if (const auto found = m_engines.find(engine); found != m_engines.end()) {
            found->second.backlog.setPeerTokens(report.origin, 0, now);
        }
    }
}

EngineReport EngineTable::nextReport(const InstanceName &self, std::uint64_t incarnation, TimePoint now)
{
    while (!m_recentPlacements.empty()
           && (now - m_recentPlacements.front().sentAt > placementReportTime
               || m_recentPlacements.size() > maxReportedPlacements)) {
        m_recentPlacements.pop_front();
    }
    EngineReport out;
    out.origin = self;
    out.incarnation = incarnation;
    out.sequence = ++m_sequence;
    // A process has few generations in progress, whatever the number of engines.
    std::set<InstanceName> engines;
    for (const auto &[number, pending] : m_pending) {
        engines.insert(pending.generation.engine);
    }
    for (const InstanceName &name : engines) {
        const EngineState *engine = find(name);
        if (engine == nullptr) {
            continue;
        }
        const double tokens = engine->backlog.ownTokens(model(engine->listing.pool).tokensPerSecond(), now);
        if (tokens >= 1.0) {
            out.pendingPrefills.push_back({name, static_cast<std::uint64_t>(tokens)});
        }
    }
    for (const RecentPlacement &placement : m_recentPlacements) {
        out.placed.push_back({placement.engine, placement.chain, std::max(placement.readyAt - now, Duration::zero())});
    }
    return out;
}

const EngineState *EngineTable::find(const InstanceName &engine) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second;
}

const FirstEventModel &EngineTable::model(const PoolName &pool)
{
    return m_models[pool];
}

double currentSlowness(const EngineState &engine, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - engine.slownessAt).count();
    return 1.0 + (engine.slowness - 1.0) * std::exp(-age / slownessDecaySeconds);
}

} // namespace bergamottide::engines
