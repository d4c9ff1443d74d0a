#pragma once

/**
 * @file
 * @brief Forward declarations of the module `engines`, which places generations on model engines.
 */
namespace bergamottide::engines {

struct PromptPart;
struct ChainLink;
struct PlacedPrompt;
struct PendingPrefill;
struct EngineReport;
struct EngineListing;
struct EngineState;
struct SentGeneration;
struct EngineCandidate;
struct EngineChoice;
struct GenerationQuery;

class PrefixCacheModel;
class PrefillBacklog;
class FirstEventModel;
class EngineTable;

} // namespace bergamottide::engines
