#pragma once

/**
 * @file
 * @brief Types of the module `engines`: what is known of the model engines, and which of them a generation goes to.
 */
namespace bergamottide::engines {

struct PromptPart;
struct ChainLink;
struct PlacedPrompt;
struct EngineWork;
struct EngineReport;
struct EngineListing;
struct EngineState;
struct SentGeneration;
struct EngineCandidate;
struct EngineChoice;
struct GenerationNeeds;

class KeptParts;
class PrefillBacklog;
class FirstEventModel;
class EngineTable;

} // namespace bergamottide::engines
