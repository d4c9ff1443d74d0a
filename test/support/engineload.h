#pragma once

#include "bergamottide/engines/engineplacement.h"
#include "bergamottide/engines/enginetable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace bergamottide::test {

/*! @brief Requests of one kind, all with one part that they share with some others, and a part of their own. */
struct PromptKind
{
    std::string name;
    double perSecond{};
    /*! @brief Parts that the requests share, and tokens of each. */
    std::uint32_t sharedParts{1};
    std::uint64_t sharedTokens{};
    std::uint64_t ownTokens{};
    Duration objective{};
};

/*! @brief A fleet of engines and of processes that send generations to them. */
struct EngineLoadOptions
{
    std::uint32_t engines{18};
    std::uint32_t processes{4};
    std::uint32_t zones{4};
    /*! @brief Tokens that an engine of common speed reads in a second, beside the tokens that it generates. */
    double readSpeed{38'000.0};
    /*! @brief Time from the end of the reading to the first event. */
    Duration firstEvent{std::chrono::milliseconds{90}};
    std::uint64_t capacity{700'000};
    /*! @brief Every third engine is slower by this factor. */
    double slowness{1.3};
    /*! @brief Speed at which engines fetch from each other, in tokens a second; zero if they cannot. */
    double fetchRate{2e6};
    /*! @brief Processes tell each other of their generations. */
    bool isTold{true};
    Duration length{std::chrono::seconds{30}};
    std::vector<PromptKind> kinds;
};

/*! @brief What callers saw of one kind. */
struct KindOutcome
{
    std::uint32_t requests{};
    std::uint32_t onTime{};
    double seconds{};

    [[nodiscard]] double onTimeShare() const noexcept
    {
        return requests == 0 ? 0.0 : static_cast<double>(onTime) / requests;
    }
};

/*! @brief What came of a load. */
struct EngineLoadOutcome
{
    std::map<std::string, KindOutcome> kinds;
    std::uint64_t read{};
    /*! @brief Tokens of shared parts that were read although some engine kept them. */
    std::uint64_t readAgain{};
    std::uint64_t fetched{};

    /*! @brief Returns the share of all requests whose first event was on time. */
    [[nodiscard]] double onTimeShare() const;
};

/**
 * @brief Model of continuously batching engines under a virtual clock, driven through the real tables of several
 * processes.
 *
 * An engine reads one prompt after the other at a constant speed, keeps what it has read until its memory is full, and
 * answers a moment after a prompt is read. Generated tokens take no part: engines that read for a quarter of the time
 * are not slowed by them.
 */
class EngineLoad
{
public:
    /*! @brief Chooses an engine for a generation in the name of one process. */
    using Policy = std::function<std::optional<engines::EngineChoice>(
        engines::EngineTable &table, const std::vector<engines::EngineCandidate> &candidates,
        const engines::GenerationNeeds &needs, TimePoint now)>;

    /**
     * @brief Creates an idle fleet.
     * @param options The fleet and its load.
     * @param policy Placement.
     * @param seed Seed of the arrivals.
     */
    EngineLoad(EngineLoadOptions options, Policy policy, std::uint64_t seed);

    /*! @brief Plays the load to its end. */
    [[nodiscard]] EngineLoadOutcome play();

private:
    struct Engine
    {
        InstanceName name;
        ZoneName zone;
        double slowness{1.0};
        engines::KeptParts kept;
        TimePoint busyUntil{};
        std::uint32_t running{};
    };

    struct FirstEvent
    {
        TimePoint at{};
        std::size_t process{};
        engines::GenerationNumber number{};

        [[nodiscard]] bool operator>(const FirstEvent &other) const noexcept
        {
            return at > other.at;
        }
    };

    void arrive(const PromptKind &kind);
    void run(const PromptKind &kind, const engines::PromptChain &chain, std::size_t process,
             const engines::EngineChoice &choice);
    void exchange();
    void deliver();
    [[nodiscard]] double uniform();
    [[nodiscard]] Engine &engineOf(const InstanceName &name);

    EngineLoadOptions m_options;
    Policy m_policy;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<engines::EngineTable> m_tables;
    std::priority_queue<FirstEvent, std::vector<FirstEvent>, std::greater<>> m_events;
    EngineLoadOutcome m_outcome;
    TimePoint m_now{std::chrono::seconds{100}};
    std::uint64_t m_next{1};
};

/**
 * @brief Placement that knows nothing of prompts' lengths: the engine that rendezvous hashing prefers for the shared
 * parts, unless it runs well above the mean number of requests.
 */
[[nodiscard]] std::optional<engines::EngineChoice> placeByCount(engines::EngineTable &table,
                                                                const std::vector<engines::EngineCandidate> &candidates,
                                                                const engines::GenerationNeeds &needs, TimePoint now);

/*! @brief Whole-page drafts, revisions and captions: long shared prompts beside short ones, as at a design studio. */
[[nodiscard]] EngineLoadOptions designStudioLoad();

} // namespace bergamottide::test
