#include "bergamottide/engines/engineplacement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace bergamottide::engines {

namespace {

/*! @brief Weight of the time that reading a prompt takes from other generations, against one's own wait. */
constexpr double readWeight = 1.0;
/*! @brief The same for what is fetched from another engine. Moving a token costs about a quarter of reading it. */
constexpr double fetchWeight = 0.25;
/*! @brief Setting up a fetch takes some milliseconds, hence only what takes longer to read is fetched, in tokens. */
constexpr std::uint64_t leastFetch = 512;
/*! @brief Share of the reading time by which the home of a part that nobody is known to keep is preferred: processes
 * that have not heard of each other's sends of the last moments then meet there. */
constexpr double homeShare = 0.5;
/*! @brief Cost of inputs that lie in another zone, in seconds a byte: moving a megabyte costs as much as reading some
 * 400 tokens. */
constexpr double zoneSecondsPerByte = 8e-9;
/*! @brief Cost of a run that is in progress at the engine, in seconds: each slows the steps of the others a little. */
constexpr double runSeconds = 0.002;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::uint64_t score(std::uint64_t key, const InstanceName &engine)
{
    return XXH3_64bits_withSeed(engine.text().data(), engine.text().size(), key);
}

std::uint64_t tokensBetween(const PromptChain &chain, std::size_t first, std::size_t end)
{
    std::uint64_t sum = 0;
    for (std::size_t index = first; index < end; ++index) {
        sum += chain[index].tokens;
    }
    return sum;
}

/*! @brief What the engines keep of one prompt. */
struct Kept
{
    /*! @brief Links that each candidate keeps. */
    std::vector<std::size_t> links;
    /*! @brief Most links that some engine has read, and that engine. */
    std::size_t mostRead{};
    InstanceName reader;
    /*! @brief Some engine keeps all parts but the last, which is taken for the request's own. */
    bool isSharedKept{};
};

Kept keptOf(const EngineTable &table, const std::vector<EngineCandidate> &candidates, const PromptChain &chain,
            TimePoint now)
{
    Kept kept;
    kept.links.reserve(candidates.size());
    for (const EngineCandidate &candidate : candidates) {
        const EngineState *state = table.find(candidate.engine);
        kept.links.push_back(state == nullptr ? 0 : state->kept.keptLinks(chain));
        kept.isSharedKept = kept.isSharedKept || kept.links.back() + 1 >= chain.size();
        const std::size_t read = state == nullptr ? 0 : state->kept.readLinks(chain, now);
        if (read > kept.mostRead) {
            kept.mostRead = read;
            kept.reader = candidate.engine;
        }
    }
    return kept;
}

/*! @brief Returns the engine that rendezvous hashing prefers for the shared parts of a prompt. */
InstanceName homeOf(const std::vector<EngineCandidate> &candidates, const PromptChain &chain)
{
    if (chain.empty()) {
        return {};
    }
    // The last part is taken for the request's own, unless it is the only one.
    const std::uint64_t key = chain[chain.size() > 1 ? chain.size() - 2 : 0].digest;
    const auto best = std::ranges::max_element(
        candidates, {}, [key](const EngineCandidate &candidate) { return score(key, candidate.engine); });
    return best == candidates.end() ? InstanceName{} : best->engine;
}

/*! @brief A choice and what it costs, in seconds. */
struct PricedChoice
{
    EngineChoice choice;
    double cost{};
};

/*! @brief Prices the engines for one generation. */
class Pricing
{
public:
    Pricing(EngineTable &table, const std::vector<EngineCandidate> &candidates, const GenerationNeeds &needs,
            TimePoint now)
        : m_table{table}
        , m_needs{needs}
        , m_now{now}
        , m_times{table.model(needs.pool)}
        , m_speed{m_times.tokensPerSecond()}
        , m_kept{keptOf(table, candidates, needs.chain, now)}
        , m_home{m_kept.isSharedKept ? InstanceName{} : homeOf(candidates, needs.chain)}
    {
    }

    /*! @brief Prices one engine that keeps the given number of links. */
    [[nodiscard]] PricedChoice at(const EngineCandidate &candidate, std::size_t index) const
    {
        const EngineState *state = m_table.find(candidate.engine);
        const double slowness = state == nullptr ? 1.0 : presentSlowness(*state, m_now);
        const std::size_t links = m_kept.links[index];
        PricedChoice out;
        EngineChoice &choice = out.choice;
        choice.engine = candidate.engine;
        choice.ahead = state == nullptr ? 0.0 : state->backlog.all(m_speed, m_now);
        choice.toRead = tokensBetween(m_needs.chain, links, m_needs.chain.size());
        out.cost += fetch(choice, tokensBetween(m_needs.chain, links, m_kept.mostRead));
        const double toRead = static_cast<double>(choice.toRead);
        choice.expected = std::chrono::duration_cast<Duration>(m_times.expected(choice.ahead + toRead) * slowness);
        out.cost += seconds(choice.expected) + readWeight * slowness * toRead / m_speed;
        out.cost += runSeconds * candidate.running;
        if (candidate.engine == m_home) {
            out.cost -= homeShare * toRead / m_speed;
        }
        if (!m_needs.inputZone.empty() && candidate.zone != m_needs.inputZone) {
            out.cost += zoneSecondsPerByte * static_cast<double>(m_needs.inputBytes);
        }
        return out;
    }

private:
    /*! @brief Has the tokens fetched if that is worth it, and returns its cost. */
    [[nodiscard]] double fetch(EngineChoice &choice, std::uint64_t tokens) const
    {
        if (m_needs.fetchRate <= 0.0 || tokens < leastFetch) {
            return 0.0;
        }
        choice.fetchFrom = m_kept.reader;
        choice.toRead -= tokens;
        return static_cast<double>(tokens) * (1.0 / m_needs.fetchRate + fetchWeight / m_speed);
    }

    const EngineTable &m_table;
    const GenerationNeeds &m_needs;
    TimePoint m_now;
    const FirstEventModel &m_times;
    double m_speed;
    Kept m_kept;
    InstanceName m_home;
};

} // namespace

/*
 * Answers prompts of very different lengths that share long parts, in bursts: counted by requests, an engine with three
 * long prompts looks as free as one with three short ones, and a request waited 1.5 s there while others were idle.
 */
std::optional<EngineChoice> pickEngine(EngineTable &table, const std::vector<EngineCandidate> &candidates,
                                       const GenerationNeeds &needs, TimePoint now)
{
    const Pricing pricing{table, candidates, needs, now};
    const std::uint64_t tieKey = XXH3_64bits(needs.attempt.data(), needs.attempt.size());
    std::optional<EngineChoice> best;
    std::pair<double, std::uint64_t> bestKey;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const EngineCandidate &candidate = candidates[index];
        if (candidate.isExcluded) {
            continue;
        }
        const PricedChoice priced = pricing.at(candidate, index);
        const std::pair key{priced.cost, score(tieKey, candidate.engine)};
        if (!best || key < bestKey) {
            best = priced.choice;
            bestKey = key;
        }
    }
    return best;
}

} // namespace bergamottide::engines
