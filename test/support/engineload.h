#pragma once

#include "bergamottide/engines/engineplacement.h"
#include "bergamottide/engines/enginetable.h"
#include "bergamottide/load/loadtable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace bergamottide::test {

/*! @brief Kind of requests; each prompt consists of a shared part and a part specific to the request. */
struct PromptKind
{
    std::string name;
    double requestsPerSecond{};
    /*! @brief Number of different shared parts, and tokens of each. */
    std::uint32_t sharedParts{1};
    std::uint64_t sharedTokens{};
    std::uint64_t ownTokens{};
    Duration objective{};
};

/*! @brief Simulated engines, the processes that send generations to them, and the load. */
struct EngineLoadOptions
{
    std::uint32_t engines{18};
    std::uint32_t processes{4};
    std::uint32_t zones{4};
    /*! @brief Prefill rate of an engine of normal speed, in tokens per second. */
    double prefillRate{38'000.0};
    /*! @brief Time from the end of the prefill to the first event. */
    Duration firstEventDelay{std::chrono::milliseconds{90}};
    std::uint64_t capacity{700'000};
    /*! @brief Every third engine is slower by this factor. */
    double slowness{1.3};
    /*! @brief Time after which other engines are slow in turn; zero if it is always the same ones. */
    Duration slownessPeriod{};
    /*! @brief Engines report their pace with the first event of a generation, and it is used. */
    bool reportsPace{};
    /*! @brief Rate at which engines fetch cached tokens from each other, in tokens per second; zero if they can't. */
    double fetchRate{2e6};
    /*! @brief Processes exchange reports on their generations. */
    bool exchangesReports{true};
    Duration length{std::chrono::seconds{30}};
    std::vector<PromptKind> kinds;
};

/*! @brief Results of one kind. */
struct KindOutcome
{
    std::uint32_t requests{};
    std::uint32_t onTime{};
    double totalSeconds{};

    [[nodiscard]] double onTimeShare() const noexcept
    {
        return requests == 0 ? 0.0 : static_cast<double>(onTime) / requests;
    }
};

/*! @brief Results of a simulation. */
struct EngineLoadOutcome
{
    std::map<std::string, KindOutcome> kinds;
    std::uint64_t prefilledTokens{};
    /*! @brief Prefilled tokens that were cached by some engine. */
    std::uint64_t recomputedTokens{};
    std::uint64_t fetchedTokens{};

    /*! @brief Returns the share of requests whose first event met the objective. */
    [[nodiscard]] double onTimeShare() const;
};

/**
 * @brief Simulates continuously batching engines with a virtual clock, and several processes with real engine tables.
 *
 * An engine prefills one prompt after the other at a constant rate, caches it, and sends the first event a constant
 * time after the prefill. The generation of tokens is not simulated.
 */
class EngineLoad
{
public:
    /*! @brief Chooses an engine for a generation, with the table of the process that sends it. */
    using Policy = std::function<std::optional<engines::EngineChoice>(
        engines::EngineTable &table, const std::vector<engines::EngineCandidate> &candidates,
        const engines::GenerationQuery &needs, TimePoint now)>;

    /**
     * @brief Creates idle engines.
     * @param options Engines, processes and load.
     * @param policy Placement.
     * @param seed Seed of the arrivals.
     */
    EngineLoad(EngineLoadOptions options, Policy policy, std::uint64_t seed);

    /*! @brief Runs the simulation. */
    [[nodiscard]] EngineLoadOutcome simulate();

private:
    struct Engine
    {
        InstanceName name;
        ZoneName zone;
        std::uint32_t index{};
        engines::PrefixCacheModel prefixCache;
        TimePoint busyUntil{};
        std::uint32_t running{};
    };

    struct FirstEvent
    {
        TimePoint at{};
        std::size_t process{};
        engines::GenerationNumber number{};
        InstanceName engine;

        [[nodiscard]] bool operator>(const FirstEvent &other) const noexcept
        {
            return at > other.at;
        }
    };

    void arrive(const PromptKind &kind);
    void startGeneration(const PromptKind &kind, const engines::PromptChain &chain, std::size_t process,
                         const engines::EngineChoice &choice);
    [[nodiscard]] double paceOf(const Engine &engine, TimePoint at) const;
    void exchangeReports();
    void deliverFirstEvents();
    [[nodiscard]] double uniform();
    [[nodiscard]] Engine &engineOf(const InstanceName &name);

    EngineLoadOptions m_options;
    Policy m_policy;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<engines::EngineTable> m_tables;
    /*! @brief Paces as known to each process. */
    std::vector<load::LoadTable> m_loads;
    std::priority_queue<FirstEvent, std::vector<FirstEvent>, std::greater<>> m_events;
    EngineLoadOutcome m_outcome;
    TimePoint m_now{std::chrono::seconds{100}};
    std::uint64_t m_next{1};
};

/**
 * @brief Baseline placement by number of requests: chooses the first engine in the rendezvous order of the shared part
 * whose requests don't exceed a bound relative to the mean.
 */
[[nodiscard]] std::optional<engines::EngineChoice>
pickByRequestCount(engines::EngineTable &table, const std::vector<engines::EngineCandidate> &candidates,
                   const engines::GenerationQuery &needs, TimePoint now);

/*! @brief Returns a load of long and short prompts with shared parts. */
[[nodiscard]] EngineLoadOptions designStudioLoad();

} // namespace bergamottide::test
