#pragma once

#include "support/checker.h"
#include "support/harness.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>
#include <vector>

namespace bergamottide::test {

/*! @brief What a caller does when the entry that served it has died. */
enum class AfterLoss : std::uint8_t
{
    GiveUp,
    Fetch,
    Resubmit
};

/*! @brief One caller of a case. */
struct CallerPlan
{
    std::uint64_t request{};
    std::size_t entry{};
    /*! @brief Time after the start of the case. */
    Duration at{};
    PipelineName pipeline;
    bool nonIdempotent{};
    bool keyed{};
    bool wantsTicket{};
    bool streaming{};
    AfterLoss afterLoss{};
    /*! @brief Time after submitting at which the caller cancels; zero for never. */
    Duration cancelAfter{};
    /*! @brief Time after submitting at which the caller hangs up; zero for never. */
    Duration goneAfter{};
    /*! @brief Time after submitting at which the same keyed request is sent to the other entry; zero for never. */
    Duration repeatAfter{};
};

/*! @brief One small case: two entries, two sides, a few requests, and faults at the points that are asked for. */
struct Case
{
    std::uint64_t seed{1};
    /*! @brief Time at which callers begin; the processes are up from the beginning. */
    Duration start{std::chrono::milliseconds{1500}};
    std::vector<CallerPlan> callers;
    /*! @brief Also loss and delay of load reports, cuts, silent streams and endpoint crashes. */
    bool everyFault{};
    /*! @brief Lag of the views of the first entry; the others hear within 50 ms. */
    Duration viewLag{};
    /*! @brief How the first side's instance leaves, if it does. */
    enum class Leaving : std::uint8_t
    {
        None,
        /*! @brief The list alone says so. */
        Listed,
        /*! @brief Its process is told, and the list says so a second later. */
        Signaled
    } leaving{};
};

/*! @brief Picks one of so many alternatives; zero is always the run without a fault. */
using Chooser = std::function<std::size_t(std::size_t)>;

/*! @brief What became of a case. */
struct CaseResult
{
    std::vector<std::string> violations;
    std::vector<std::string> trace;
    std::map<Outcome, std::uint32_t> outcomes;
    std::uint32_t faults{};
    std::uint64_t points{};
};

/**
 * @brief Runs a case.
 * @param one The case.
 * @param choose Source of the choices.
 * @param traced Keep the trace.
 * @param states Takes a hash of each state at which a choice was made; may be null.
 * @return Broken promises and counts.
 */
[[nodiscard]] CaseResult runCase(const Case &one, const Chooser &choose, bool traced,
                                 std::unordered_set<std::uint64_t> *states = nullptr);

/*! @brief Draws a case from a seed alone. */
[[nodiscard]] Case caseOfSeed(std::uint64_t seed);

/*! @brief Runs the case of a seed with the faults of that seed. */
[[nodiscard]] CaseResult runSeed(std::uint64_t seed, bool traced);

/*! @brief Returns the smallest case: one request that must run at most once. */
[[nodiscard]] Case smallestCase(AfterLoss afterLoss);

/*! @brief Counts of a systematic exploration. */
struct ExhaustiveResult
{
    std::uint64_t runs{};
    std::uint64_t points{};
    std::uint64_t states{};
    std::map<Outcome, std::uint64_t> outcomes;
    /*! @brief Choices of the first failing run, as text for a replay; empty if none failed. */
    std::string failing;
    CaseResult failure;
    std::uint64_t failed{};
};

/**
 * @brief Tries every way to place up to so many faults.
 * @param one The case.
 * @param faults Faults per run at most.
 * @param shard Part to run, of `shards`, split by the place of the first fault.
 * @param shards Number of parts.
 */
[[nodiscard]] ExhaustiveResult exploreAll(const Case &one, std::uint32_t faults, std::size_t shard = 0,
                                          std::size_t shards = 1);

/*! @brief Runs a case with choices written by `exploreAll`: `place:alternative,…`. */
[[nodiscard]] CaseResult replay(const Case &one, const std::string &choices);

} // namespace bergamottide::test
