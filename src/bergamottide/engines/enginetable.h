#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/enginereport.h"
#include "bergamottide/engines/firsteventmodel.h"
#include "bergamottide/engines/prefillbacklog.h"
#include "bergamottide/engines/prefixcachemodel.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace bergamottide::engines {

/*! @brief Engine in the instance list of the platform. */
struct EngineListing
{
    InstanceName engine;
    PoolName pool;
    /*! @brief Changes with each restart of the engine, which empties its cache. */
    std::uint64_t incarnation{};
    /*! @brief Capacity of the prefix cache in tokens; zero if unknown. */
    std::uint64_t capacity{};
};

/*! @brief Estimated state of an engine. */
struct EngineState
{
    EngineListing listing;
    PrefixCacheModel prefixCache;
    PrefillBacklog backlog;
    /*! @brief Moving average of measured over expected time to the first event; 1 is as expected. */
    double slowness{1.0};
    TimePoint slownessAt{};
};

/*! @brief Returns the slowness of an engine relative to its pool, decayed since its last measurement. */
[[nodiscard]] double currentSlowness(const EngineState &engine, TimePoint now);

/*! @brief Generation that is sent to an engine. */
struct SentGeneration
{
    GenerationNumber number{};
    InstanceName engine;
    PromptChain chain;
    /*! @brief Tokens of the prompt that the engine has to prefill. */
    std::uint64_t prefillTokens{};
    /*! @brief Tokens that the engine has to prefill for earlier generations. */
    double queuedTokens{};
    /*! @brief Expected time to the first event. */
    Duration expectedFirstEvent{};
    /*! @brief Pace by which that time was multiplied. Only the rest of the measured time counts as slowness. */
    double relativePace{1.0};
};

/**
 * @brief Estimated prefix caches and prefill backlogs of the model engines.
 *
 * Derived from the generations that this process and its peers have sent. With long prompts that share prefixes, the
 * time to the first event depends on the tokens to prefill and not on the number of requests.
 */
class EngineTable
{
public:
    /**
     * @brief Replaces the list of engines.
     *
     * The state of engines that are no longer listed or were restarted is discarded.
     * @param listings Engines of all pools.
     */
    void setEngines(const std::vector<EngineListing> &listings);

    /*! @brief Records a generation that is sent to an engine. */
    void recordSent(SentGeneration generation, TimePoint now);

    /*! @brief Records the first event of a generation, with which its prefill is complete. */
    void recordFirstEvent(GenerationNumber number, TimePoint now);

    /*! @brief Records the end of a generation, with or without a first event. */
    void recordEnd(GenerationNumber number, TimePoint now);

    /*! @brief Applies the report of a peer, received directly or forwarded by another one; ignores outdated reports. */
    void applyReport(const EngineReport &report, TimePoint now);

    /**
     * @brief Creates the next report of this process for its peers.
     * @param self This process.
     * @param incarnation Changes with each restart of this process.
     * @param now Current time.
     */
    [[nodiscard]] EngineReport nextReport(const InstanceName &self, std::uint64_t incarnation, TimePoint now);

    /*! @brief Returns the state of an engine, or null if it is not listed. */
    [[nodiscard]] const EngineState *find(const InstanceName &engine) const;

    /*! @brief Returns the model of the times to first events of a pool. */
    [[nodiscard]] const FirstEventModel &model(const PoolName &pool);

private:
    /*! @brief Generation without a first event. */
    struct PendingGeneration
    {
        SentGeneration generation;
        TimePoint at{};
    };

    /*! @brief Placement that is included in the next reports. */
    struct RecentPlacement
    {
        InstanceName engine;
        PromptChain chain;
        TimePoint readyAt{};
        TimePoint sentAt{};
    };

    void learnFirstEvent(const PendingGeneration &pending, EngineState &engine, TimePoint now);
    void applyPeerWork(const EngineReport &report, TimePoint now);

    std::map<InstanceName, EngineState> m_engines;
    std::map<PoolName, FirstEventModel> m_models;
    std::map<GenerationNumber, PendingGeneration> m_pending;
    std::deque<RecentPlacement> m_recentPlacements;
    /*! @brief Incarnation and sequence of the latest report of each peer. */
    std::map<InstanceName, std::pair<std::uint64_t, std::uint64_t>> m_lastPositions;
    /*! @brief Engines at which each peer has pending tokens. */
    std::map<InstanceName, std::set<InstanceName>> m_reportedEngines;
    std::uint64_t m_sequence{};
};

} // namespace bergamottide::engines
