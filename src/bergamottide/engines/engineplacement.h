#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/enginetable.h"
#include "bergamottide/engines/promptchain.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bergamottide::engines {

/*! @brief Engine that accepts generations. */
struct EngineCandidate
{
    InstanceName engine;
    ZoneName zone;
    /*! @brief Number of runs in progress at the engine, as far as this process knows. */
    std::uint32_t running{};
    /*! @brief The engine must not be chosen because the request was sent to it before. */
    bool isExcluded{};
    /*! @brief Expected pace of the engine, relative to the mean of its pool. */
    double relativePace{1.0};
};

/*! @brief Generation to be placed. */
struct GenerationQuery
{
    PoolName pool;
    const PromptChain &chain;
    /*! @brief Id of the request's attempt; used to break ties differently for each request. */
    std::string_view attempt;
    /*! @brief Zone in which the inputs are stored; empty if none or unknown. */
    ZoneName inputZone;
    std::uint64_t inputBytes{};
    /*! @brief Rate at which engines transfer cached prompts to each other, in tokens per second; zero if they can't. */
    double fetchRate{};
};

/*! @brief Engine that was chosen for a generation. */
struct EngineChoice
{
    InstanceName engine;
    /*! @brief Engine from which cached parts of the prompt are fetched; empty if none are. */
    InstanceName fetchFrom;
    /*! @brief Tokens of the prompt that the engine has to prefill. */
    std::uint64_t prefillTokens{};
    /*! @brief Tokens that the engine has to prefill for earlier generations. */
    double queuedTokens{};
    /*! @brief Expected time to the first event of the generation. */
    Duration expectedFirstEvent{};
    /*! @brief Expected pace of the engine, relative to the mean of its pool. */
    double relativePace{1.0};
};

/**
 * @brief Chooses the engine with the lowest expected cost for a generation.
 *
 * The cost is the expected time to the first event plus the engine time that the prefill takes from other generations.
 * A prompt is thus sent to an engine that caches its prefix while the wait there is shorter than the prefill elsewhere,
 * and frequent prefixes spread over as many engines as their load requires.
 *
 * @param table State of the engines.
 * @param candidates Engines that accept generations.
 * @param query Generation to be placed.
 * @param now Current time.
 * @return The choice, or nothing if all candidates are excluded.
 */
[[nodiscard]] std::optional<EngineChoice> pickEngine(EngineTable &table, const std::vector<EngineCandidate> &candidates,
                                                     const GenerationQuery &query, TimePoint now);

} // namespace bergamottide::engines
