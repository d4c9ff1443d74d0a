#include "support/exploration.h"

#include <gflags/gflags.h>

#include <iostream>
#include <map>

DEFINE_uint64(from, 1, "First seed.");
DEFINE_uint64(to, 0, "Last seed; zero for none.");
DEFINE_bool(trace, false, "Print the trace of every seed.");
DEFINE_int32(faults, -1, "Explore the smallest case with up to so many faults; -1 for not at all.");
DEFINE_string(after_loss, "resubmit",
              "What the caller of the smallest case does when its entry dies: fetch, resubmit.");
DEFINE_uint64(shard, 0, "Part of the exploration to run.");
DEFINE_uint64(shards, 1, "Number of parts.");
DEFINE_string(replay, "", "Replay the smallest case with these choices.");

namespace {

using namespace bergamottide;
using namespace bergamottide::test;

void print(const CaseResult &result)
{
    for (const auto &line : result.trace) {
        std::cout << line << "\n";
    }
    for (const auto &violation : result.violations) {
        std::cout << "violation: " << violation << "\n";
    }
}

std::string outcomeText(const std::map<Outcome, std::uint64_t> &outcomes)
{
    std::string text;
    for (const auto &[outcome, count] : outcomes) {
        text += " " + std::string{enumName(outcome)} + " " + std::to_string(count);
    }
    return text;
}

Case smallest()
{
    return smallestCase(FLAGS_after_loss == "fetch" ? AfterLoss::Fetch : AfterLoss::Resubmit);
}

std::uint64_t exploreSeeds()
{
    std::map<Outcome, std::uint64_t> outcomes;
    std::uint64_t faults = 0;
    std::uint64_t failed = 0;
    for (auto seed = FLAGS_from; seed <= FLAGS_to; ++seed) {
        const CaseResult result = runSeed(seed, FLAGS_trace);
        faults += result.faults;
        for (const auto &[outcome, count] : result.outcomes) {
            outcomes[outcome] += count;
        }
        if (FLAGS_trace) {
            print(result);
        }
        if (result.violations.empty()) {
            continue;
        }
        ++failed;
        std::cout << "seed " << seed << " fails: " << result.violations.front() << "\n"
                  << "  replay: scripts/explore.sh --seeds " << seed << ":" << seed << " --trace\n";
        if (failed == 1 && !FLAGS_trace) {
            print(runSeed(seed, true));
        }
    }
    std::cout << "seeds " << FLAGS_from << " to " << FLAGS_to << ": " << failed << " failed, " << faults
              << " faults, answers:" << outcomeText(outcomes) << std::endl;
    return failed;
}

std::uint64_t exploreSmallest()
{
    const auto faults = static_cast<std::uint32_t>(FLAGS_faults);
    const ExhaustiveResult result = exploreAll(smallest(), faults, FLAGS_shard, FLAGS_shards);
    if (result.failed > 0) {
        std::cout << "choices " << result.failing << " fail: " << result.failure.violations.front() << "\n"
                  << "  replay: scripts/explore.sh --after_loss " << FLAGS_after_loss << " --replay " << result.failing
                  << "\n";
        print(replay(smallest(), result.failing));
    }
    std::cout << "part " << FLAGS_shard << " of " << FLAGS_shards << ", up to " << faults << " faults, "
              << FLAGS_after_loss << ": " << result.failed << " failed, " << result.runs << " runs, " << result.points
              << " choices, " << result.states << " states, answers:" << outcomeText(result.outcomes) << std::endl;
    return result.failed;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Looks for runs of the reducers that break a promise; see docs/exploration.md.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::uint64_t failed = 0;
    if (!FLAGS_replay.empty()) {
        const CaseResult result = replay(smallest(), FLAGS_replay);
        print(result);
        failed += result.violations.size();
    } else if (FLAGS_faults >= 0) {
        failed += exploreSmallest();
    }
    if (FLAGS_to > 0) {
        failed += exploreSeeds();
    }
    return failed == 0 ? 0 : 1;
}
