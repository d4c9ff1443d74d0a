#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/promptchain.h"

#include <cstdint>
#include <vector>

namespace bergamottide::engines {

/*! @brief Pending prompt tokens at an engine for the generations of one process. */
struct PendingPrefill
{
    InstanceName engine;
    std::uint64_t tokens{};
};

/*! @brief Prompt that a process has recently sent to an engine, which therefore caches it. */
struct PlacedPrompt
{
    InstanceName engine;
    PromptChain chain;
    /*! @brief Expected time from the creation of the report until the prompt is cached. */
    Duration timeUntilCached{};
};

/*! @brief Report of a process on its generations, which its peers take into account when placing theirs. */
struct EngineReport
{
    /*! @brief Process that created the report; others may forward it. */
    InstanceName origin;
    /*! @brief Changes with each restart of the process, which resets `sequence`. */
    std::uint64_t incarnation{};
    /*! @brief Increases with each report of the process; older reports are ignored. */
    std::uint64_t sequence{};
    /*! @brief Engines with pending prompt tokens of the process; all others have none. */
    std::vector<PendingPrefill> pendingPrefills;
    std::vector<PlacedPrompt> placed;
};

} // namespace bergamottide::engines
