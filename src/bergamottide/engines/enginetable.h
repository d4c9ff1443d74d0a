#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/enginereport.h"
#include "bergamottide/engines/firsteventmodel.h"
#include "bergamottide/engines/keptparts.h"
#include "bergamottide/engines/prefillbacklog.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace bergamottide::engines {

/*! @brief An engine as the platform lists it. */
struct EngineListing
{
    InstanceName engine;
    PoolName pool;
    /*! @brief Sets one start of the engine apart from the next. */
    std::uint64_t incarnation{};
    /*! @brief Memory for prompts, in tokens; zero if not known. */
    std::uint64_t capacity{};
};

/*! @brief What this process believes of one engine. */
struct EngineState
{
    EngineListing listing;
    KeptParts kept;
    PrefillBacklog backlog;
    /*! @brief Measured over expected time to first events, as a moving average; 1 is as expected. */
    double slowness{1.0};
    TimePoint slownessAt{};
};

/*! @brief Returns how much slower than the others of its pool an engine is at present; what was measured fades. */
[[nodiscard]] double presentSlowness(const EngineState &engine, TimePoint now);

/*! @brief A generation that is sent to an engine. */
struct SentGeneration
{
    GenerationNumber number{};
    InstanceName engine;
    PromptChain chain;
    /*! @brief Tokens that the engine reads for it, and tokens that it had to read before. */
    std::uint64_t toRead{};
    double ahead{};
    /*! @brief Expected time to its first event. */
    Duration expected{};
};

/**
 * @brief What the model engines keep and have yet to read, from the generations that this process and its peers have
 * sent.
 *
 * Made for loads in which prompts are long and share parts: the time to the first event is then decided by what the
 * engine has to read, which no count of requests tells.
 */
class EngineTable
{
public:
    /**
     * @brief Takes over the list of engines.
     *
     * One that is no longer listed is forgotten; one that has started anew keeps nothing of what it had read.
     * @param list All engines of all pools.
     */
    void setEngines(const std::vector<EngineListing> &list);

    /*! @brief Notes a generation that goes to an engine. */
    void sent(SentGeneration generation, TimePoint now);

    /*! @brief Notes the first event of a generation: its prompt has been read. */
    void began(GenerationNumber number, TimePoint now);

    /*! @brief Notes that a generation has ended, with or without a first event. */
    void ended(GenerationNumber number, TimePoint now);

    /*! @brief Takes what a peer tells, also by way of others. */
    void told(const EngineReport &report, TimePoint now);

    /**
     * @brief Returns what this process tells its peers.
     * @param self This process.
     * @param incarnation Sets this start of it apart.
     * @param now Present time.
     */
    [[nodiscard]] EngineReport report(const InstanceName &self, std::uint64_t incarnation, TimePoint now);

    /*! @brief Returns what is believed of an engine, or null if nothing is known. */
    [[nodiscard]] const EngineState *find(const InstanceName &engine) const;

    /*! @brief Returns the times to first events of a pool. */
    [[nodiscard]] const FirstEventModel &model(const PoolName &pool);

private:
    /*! @brief A generation without a first event. */
    struct Waiting
    {
        SentGeneration generation;
        TimePoint at{};
    };

    /*! @brief A prompt that peers are to be told of. */
    struct News
    {
        InstanceName engine;
        PromptChain chain;
        TimePoint readAt{};
        TimePoint sentAt{};
    };

    void learn(const Waiting &waiting, EngineState &engine, TimePoint now);
    void takeWork(const EngineReport &report, TimePoint now);

    std::map<InstanceName, EngineState> m_engines;
    std::map<PoolName, FirstEventModel> m_models;
    std::map<GenerationNumber, Waiting> m_waiting;
    std::deque<News> m_news;
    /*! @brief Incarnation and highest sequence heard of each process, and the engines that it has work at. */
    std::map<InstanceName, std::pair<std::uint64_t, std::uint64_t>> m_heard;
    std::map<InstanceName, std::set<InstanceName>> m_workOf;
    std::uint64_t m_sequence{};
};

} // namespace bergamottide::engines
