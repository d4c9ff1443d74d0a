#include "bergamottide/engines/enginetable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamottide::engines {

namespace {

/*! @brief Time for which a placed prompt is told: two heartbeats, so that a lost one does no harm. */
constexpr Duration newsTime = std::chrono::milliseconds{450};
/*! @brief Prompts told at once at most, a few KB: the newest ones, since a burst of the same parts is what counts. */
constexpr std::size_t mostNews = 64;
/*! @brief Weight of the newest first event in an engine's slowness: its queue is known only roughly, so that single
 * ones say little. */
constexpr double slownessWeight = 0.2;
/*! @brief Ratios of measured to expected time that count: beyond these the queue was not as it was believed to be. */
constexpr double leastRatio = 0.5;
constexpr double mostRatio = 6.0;
/*! @brief Time constant with which slowness is forgotten, so that a slow engine is tried again every few seconds. */
constexpr double slownessMemorySeconds = 5.0;

} // namespace

void EngineTable::setEngines(const std::vector<EngineListing> &list)
{
    std::map<InstanceName, EngineState> known = std::exchange(m_engines, {});
    for (const EngineListing &listing : list) {
        auto node = known.extract(listing.engine);
        if (!node.empty() && node.mapped().listing.incarnation == listing.incarnation) {
            node.mapped().listing = listing;
            m_engines.insert(std::move(node));
            continue;
        }
        m_engines[listing.engine].listing = listing;
    }
}

void EngineTable::sent(SentGeneration generation, TimePoint now)
{
    const auto engine = m_engines.find(generation.engine);
    if (engine == m_engines.end()) {
        return;
    }
    EngineState &state = engine->second;
    state.kept.note(generation.chain, state.listing.capacity, now + generation.expected);
    state.backlog.sent(generation.number, generation.toRead, now);
    m_news.push_back({generation.engine, generation.chain, now + generation.expected, now});
    const GenerationNumber number = generation.number;
    m_waiting.insert_or_assign(number, Waiting{std::move(generation), now});
}

void EngineTable::began(GenerationNumber number, TimePoint now)
{
    const auto found = m_waiting.find(number);
    if (found == m_waiting.end()) {
        return;
    }
    const SentGeneration &generation = found->second.generation;
    if (const auto engine = m_engines.find(generation.engine); engine != m_engines.end()) {
        learn(found->second, engine->second, now);
        engine->second.kept.note(generation.chain, engine->second.listing.capacity, now);
    }
    ended(number, now);
}

void EngineTable::ended(GenerationNumber number, TimePoint now)
{
    const auto node = m_waiting.extract(number);
    if (node.empty()) {
        return;
    }
    if (const auto engine = m_engines.find(node.mapped().generation.engine); engine != m_engines.end()) {
        engine->second.backlog.read(number, now);
    }
}

void EngineTable::learn(const Waiting &waiting, EngineState &engine, TimePoint now)
{
    const SentGeneration &generation = waiting.generation;
    const Duration time = now - waiting.at;
    FirstEventModel &times = m_models[engine.listing.pool];
    const double known = presentSlowness(engine, now);
    const double tokens = static_cast<double>(generation.toRead) + generation.ahead;
    const Duration expected = times.expected(tokens);
    times.learn(tokens, time, known);
    if (expected <= Duration::zero()) {
        return;
    }
    const double ratio =
        std::clamp(static_cast<double>(time.count()) / static_cast<double>(expected.count()), leastRatio, mostRatio);
    engine.slowness = known + slownessWeight * (ratio - known);
    engine.slownessAt = now;
}

void EngineTable::told(const EngineReport &report, TimePoint now)
{
    const std::pair position{report.incarnation, report.sequence};
    const auto [heard, isNew] = m_heard.try_emplace(report.origin, position);
    const auto &[incarnation, sequence] = heard->second;
    if (!isNew && incarnation == report.incarnation && sequence >= report.sequence) {
        return;
    }
    heard->second = position;
    takeWork(report, now);
    for (const PlacedPrompt &placed : report.placed) {
        if (const auto engine = m_engines.find(placed.engine); engine != m_engines.end()) {
            engine->second.kept.note(placed.chain, engine->second.listing.capacity, now + placed.readIn);
        }
    }
}

void EngineTable::takeWork(const EngineReport &report, TimePoint now)
{
    std::set<InstanceName> before = std::exchange(m_workOf[report.origin], {});
    for (const EngineWork &work : report.work) {
        before.erase(work.engine);
        const auto engine = m_engines.find(work.engine);
        if (engine == m_engines.end()) {
            continue;
        }
        engine->second.backlog.told(report.origin, work.tokens, now);
        m_workOf[report.origin].insert(work.engine);
    }
    for (const InstanceName &engine : before) {
        if (const auto found = m_engines.find(engine); found != m_engines.end()) {
            found->second.backlog.told(report.origin, 0, now);
        }
    }
}

EngineReport EngineTable::report(const InstanceName &self, std::uint64_t incarnation, TimePoint now)
{
    while (!m_news.empty() && (now - m_news.front().sentAt > newsTime || m_news.size() > mostNews)) {
        m_news.pop_front();
    }
    EngineReport out;
    out.origin = self;
    out.incarnation = incarnation;
    out.sequence = ++m_sequence;
    for (const auto &[name, engine] : m_engines) {
        const double tokens = engine.backlog.own(model(engine.listing.pool).tokensPerSecond(), now);
        if (tokens >= 1.0) {
            out.work.push_back({name, static_cast<std::uint64_t>(tokens)});
        }
    }
    for (const News &news : m_news) {
        out.placed.push_back({news.engine, news.chain, std::max(news.readAt - now, Duration::zero())});
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

double presentSlowness(const EngineState &engine, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - engine.slownessAt).count();
    return 1.0 + (engine.slowness - 1.0) * std::exp(-age / slownessMemorySeconds);
}

} // namespace bergamottide::engines
