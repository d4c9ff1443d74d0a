#include "bergamottide/engines/engineplacement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace bergamottide::engines {

namespace {

/*! @brief Weight of the engine time that the prefill takes from other generations, relative to the generation's own
 * wait. */
constexpr double prefillWeight = 1.0;
/*! @brief The same for tokens fetched from another engine, as a share of their prefill time. */
constexpr double fetchWeight = 0.25;
/*! @brief Minimum number of tokens to fetch; the prefill of fewer takes less time than setting up a transfer. */
constexpr std::uint64_t minFetchTokens = 512;
/*! @brief Cost reduction of the engine preferred by rendezvous hashing for a prefix that no engine is known to cache,
 * as a share of the prefill time. Processes that don't know each other's latest generations thereby choose the
 * same engine. */
constexpr double preferredEngineShare = 0.5;
/*! @brief Cost of transferring inputs from another zone, in seconds per byte. */
constexpr double crossZoneSecondsPerByte = 8e-9;
/*! @brief Cost of each run in progress at the engine, in seconds; concurrent runs slow each other down. */
constexpr double secondsPerRun = 0.002;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::uint64_t rendezvousScore(std::uint64_t key, const InstanceName &engine)
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

/*! @brief Parts of a prompt that the engines have cached. */
struct CacheCoverage
{
    /*! @brief Number of leading links that each candidate caches or will have cached. */
    std::vector<std::size_t> links;
    /*! @brief Largest number of leading links that an engine has cached already, and that engine. */
    std::size_t maxReadyLinks{};
    InstanceName fetchSource;
    /*! @brief An engine caches all parts but the last, which is assumed to be specific to the request. */
    bool isSharedPrefixCached{};
};

CacheCoverage cacheCoverageOf(const EngineTable &table, const std::vector<EngineCandidate> &candidates,
                              const PromptChain &chain, TimePoint now)
{
    CacheCoverage coverage;
    coverage.links.reserve(candidates.size());
    for (const EngineCandidate &candidate : candidates) {
        const EngineState *state = table.find(candidate.engine);
        coverage.links.push_back(state == nullptr ? 0 : state->prefixCache.cachedLinks(chain));
        coverage.isSharedPrefixCached = coverage.isSharedPrefixCached || coverage.links.back() + 1 >= chain.size();
        const std::size_t ready = state == nullptr ? 0 : state->prefixCache.readyLinks(chain, now);
        if (ready > coverage.maxReadyLinks) {
            coverage.maxReadyLinks = ready;
            coverage.fetchSource = candidate.engine;
        }
    }
    return coverage;
}

/*! @brief Returns the engine that rendezvous hashing prefers for the shared parts of a prompt. */
InstanceName preferredEngineOf(const std::vector<EngineCandidate> &candidates, const PromptChain &chain)
{
    if (chain.empty()) {
        return {};
    }
    // The last part is assumed to be specific to the request, unless it is the only one.
    const std::uint64_t key = chain[chain.size() > 1 ? chain.size() - 2 : 0].digest;
    const auto best = std::ranges::max_element(
        candidates, {}, [key](const EngineCandidate &candidate) { return rendezvousScore(key, candidate.engine); });
    return best == candidates.end() ? InstanceName{} : best->engine;
}

/*! @brief Engine choice and its estimated cost in seconds. */
struct PricedChoice
{
    EngineChoice choice;
    double cost{};
};

/*! @brief Estimates the costs of the engines for one generation. */
class CostModel
{
public:
    CostModel(EngineTable &table, const std::vector<EngineCandidate> &candidates, const GenerationQuery &query,
              TimePoint now)
        : m_table{table}
        , m_query{query}
        , m_now{now}
        , m_firstEventModel{table.model(query.pool)}
        , m_prefillRate{m_firstEventModel.tokensPerSecond()}
        , m_coverage{cacheCoverageOf(table, candidates, query.chain, now)}
        , m_preferredEngine{m_coverage.isSharedPrefixCached ? InstanceName{}
                                                            : preferredEngineOf(candidates, query.chain)}
    {
    }

    /*! @brief Estimates the cost of the candidate at an index. */
    [[nodiscard]] PricedChoice evaluate(const EngineCandidate &candidate, std::size_t index) const
    {
        const EngineState *state = m_table.find(candidate.engine);
        const double slowness = (state == nullptr ? 1.0 : currentSlowness(*state, m_now)) * candidate.relativePace;
        const std::size_t links = m_coverage.links[index];
        PricedChoice out;
        EngineChoice &choice = out.choice;
        choice.engine = candidate.engine;
        choice.relativePace = candidate.relativePace;
        choice.queuedTokens = state == nullptr ? 0.0 : state->backlog.totalTokens(m_prefillRate, m_now);
        choice.prefillTokens = tokensBetween(m_query.chain, links, m_query.chain.size());
        out.cost += fetch(choice, tokensBetween(m_query.chain, links, m_coverage.maxReadyLinks));
        const double prefillTokens = static_cast<double>(choice.prefillTokens);
        choice.expectedFirstEvent = std::chrono::duration_cast<Duration>(
            m_firstEventModel.expected(choice.queuedTokens + prefillTokens) * slowness);
        out.cost += seconds(choice.expectedFirstEvent) + prefillWeight * slowness * prefillTokens / m_prefillRate;
        out.cost += secondsPerRun * candidate.running;
        if (candidate.engine == m_preferredEngine) {
            out.cost -= preferredEngineShare * prefillTokens / m_prefillRate;
        }
        if (!m_query.inputZone.empty() && candidate.zone != m_query.inputZone) {
            out.cost += crossZoneSecondsPerByte * static_cast<double>(m_query.inputBytes);
        }
        return out;
    }

private:
    /*! @brief Lets the engine fetch the tokens instead of prefilling them, if possible; returns the cost in seconds. */
    [[nodiscard]] double fetch(EngineChoice &choice, std::uint64_t tokens) const
    {
        if (m_query.fetchRate <= 0.0 || tokens < minFetchTokens) {
            return 0.0;
        }
        choice.fetchFrom = m_coverage.fetchSource;
        choice.prefillTokens -= tokens;
        return static_cast<double>(tokens) * (1.0 / m_query.fetchRate + fetchWeight / m_prefillRate);
    }

    const EngineTable &m_table;
    const GenerationQuery &m_query;
    TimePoint m_now;
    const FirstEventModel &m_firstEventModel;
    double m_prefillRate;
    CacheCoverage m_coverage;
    InstanceName m_preferredEngine;
};

} // namespace

// Compares tokens instead of requests, since prompts differ widely in length: counted by requests, an engine with three
// long prompts looks as free as one with three short ones, and a request waited 1.5 s there while others were idle.
std::optional<EngineChoice> pickEngine(EngineTable &table, const std::vector<EngineCandidate> &candidates,
                                       const GenerationQuery &query, TimePoint now)
{
    const CostModel costModel{table, candidates, query, now};
    const std::uint64_t tieKey = XXH3_64bits(query.attempt.data(), query.attempt.size());
    std::optional<EngineChoice> best;
    std::pair<double, std::uint64_t> bestKey;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const EngineCandidate &candidate = candidates[index];
        if (candidate.isExcluded) {
            continue;
        }
        const PricedChoice candidateChoice = costModel.evaluate(candidate, index);
        const std::pair key{candidateChoice.cost, rendezvousScore(tieKey, candidate.engine)};
        if (!best || key < bestKey) {
            best = candidateChoice.choice;
            bestKey = key;
        }
    }
    return best;
}

} // namespace bergamottide::engines
