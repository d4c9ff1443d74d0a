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

/*! @brief An engine that takes work. */
struct EngineCandidate
{
    InstanceName engine;
    ZoneName zone;
    /*! @brief Runs there, as far as is known. */
    std::uint32_t running{};
    /*! @brief The request has been sent to it before. */
    bool isExcluded{};
};

/*! @brief What decides where a generation goes, apart from the engines. */
struct GenerationNeeds
{
    PoolName pool;
    const PromptChain &chain;
    /*! @brief Identity of the request; breaks ties differently for each request. */
    std::string_view attempt;
    /*! @brief Zone in which its inputs lie, and their bytes. */
    ZoneName inputZone;
    std::uint64_t inputBytes{};
    /*! @brief Speed at which engines fetch prompts from each other, in tokens a second; zero if they cannot. */
    double fetchRate{};
};

/*! @brief Engine that a generation goes to. */
struct EngineChoice
{
    InstanceName engine;
    /*! @brief Engine from which it fetches what that keeps of the prompt; empty if it reads all that it lacks. */
    InstanceName fetchFrom;
    /*! @brief Tokens that the engine reads, and that it has to read before. */
    std::uint64_t toRead{};
    double ahead{};
    /*! @brief Expected time to the first event. */
    Duration expected{};
};

/**
 * @brief Picks the engine with the least expected cost for a generation.
 *
 * The cost is the expected time to the first event, and the time that the engine is taken from others by what it has to
 * read. So a prompt goes to an engine that keeps its parts as long as the wait there is shorter than reading them again
 * elsewhere; parts that come often spread by themselves over as many engines as their load needs.
 *
 * @param table What is known of the engines.
 * @param candidates Engines that take work.
 * @param needs The generation.
 * @param now Present time.
 * @return The choice; nothing if no engine is left.
 */
[[nodiscard]] std::optional<EngineChoice> pickEngine(EngineTable &table, const std::vector<EngineCandidate> &candidates,
                                                     const GenerationNeeds &needs, TimePoint now);

} // namespace bergamottide::engines
