#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/promptchain.h"

#include <cstdint>
#include <vector>

namespace bergamottide::engines {

/*! @brief Prompt tokens that an engine has yet to read for the generations of one process. */
struct EngineWork
{
    InstanceName engine;
    std::uint64_t tokens{};
};

/*! @brief A prompt that one process has lately sent to an engine, which therefore keeps it. */
struct PlacedPrompt
{
    InstanceName engine;
    PromptChain chain;
    /*! @brief Time until the engine is expected to have read it, from the making of the report. */
    Duration readIn{};
};

/*! @brief What one process tells the others of its generations, so that they place theirs with regard to them. */
struct EngineReport
{
    /*! @brief Process that tells it; others may pass it on. */
    InstanceName origin;
    /*! @brief Sets one start of the process apart from the next, which counts its reports anew. */
    std::uint64_t incarnation{};
    /*! @brief Grows with each report of the process; the highest holds. */
    std::uint64_t sequence{};
    /*! @brief Engines that have something to read for the process; no others. */
    std::vector<EngineWork> work;
    std::vector<PlacedPrompt> placed;
};

} // namespace bergamottide::engines
