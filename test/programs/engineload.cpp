#include "support/engineload.h"

#include <gflags/gflags.h>

#include <iomanip>
#include <iostream>

DEFINE_string(policy, "cost", "Placement: `cost` (expected cost) or `count` (requests in progress).");
DEFINE_bool(told, true, "Processes exchange reports on their generations.");
DEFINE_bool(fetch, true, "Engines can fetch cached parts of prompts from each other.");
DEFINE_double(draft_factor, 1.0, "Factor of the request rate of the longest prompts.");
DEFINE_double(slowness, 1.3, "Factor by which every third engine is slower.");
DEFINE_uint32(processes, 4, "Number of processes that send generations.");
DEFINE_uint32(engines, 18, "Number of engines.");
DEFINE_uint64(seeds, 5, "Number of seeds to simulate, starting with 1.");

using namespace bergamottide;

/*! @brief Simulates a load of long shared prompts with a placement policy; prints the results by seed and kind. */
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    test::EngineLoadOptions options = test::designStudioLoad();
    options.exchangesReports = FLAGS_told;
    options.fetchRate = FLAGS_fetch ? options.fetchRate : 0.0;
    options.kinds.front().requestsPerSecond *= FLAGS_draft_factor;
    options.slowness = FLAGS_slowness;
    options.processes = FLAGS_processes;
    options.engines = FLAGS_engines;
    const test::EngineLoad::Policy policy = FLAGS_policy == "count" ? test::pickByRequestCount : engines::pickEngine;
    std::cout << "seed kind         requests  on time  mean ms      read  read again   fetched\n" << std::fixed;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        const test::EngineLoadOutcome outcome = test::EngineLoad{options, policy, seed}.simulate();
        for (const auto &[name, kind] : outcome.kinds) {
            std::cout << std::setw(4) << seed << ' ' << std::left << std::setw(12) << name << std::right << std::setw(9)
                      << kind.requests << std::setw(9) << std::setprecision(3) << kind.onTimeShare() << std::setw(9)
                      << std::setprecision(0) << kind.totalSeconds * 1000.0 / std::max(kind.requests, 1U)
                      << std::setw(10) << outcome.prefilledTokens << std::setw(12) << outcome.recomputedTokens
                      << std::setw(10) << outcome.fetchedTokens << '\n';
        }
    }
    return 0;
}
