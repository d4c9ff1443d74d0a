#include "bergamottide/load/pickoftwo.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace bergamottide::load {

double relativeCost(const LoadCandidate &candidate)
{
    return (candidate.own + candidate.others + 1.0) / std::max<double>(1.0, candidate.slots) * candidate.pace;
}

std::optional<std::size_t> pickOfTwo(const std::vector<LoadCandidate> &candidates, std::string_view attempt)
{
    const std::uint64_t seed = XXH3_64bits(attempt.data(), attempt.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> draws;
    draws.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::string &instance = candidates[index].instance.text();
        draws.emplace_back(XXH3_64bits_withSeed(instance.data(), instance.size(), seed), index);
    }
    constexpr std::size_t drawn = 2;
    const std::size_t count = std::min(draws.size(), drawn);
    std::ranges::partial_sort(draws, draws.begin() + static_cast<std::ptrdiff_t>(count));
    draws.resize(count);
    const auto best = std::ranges::min_element(
        draws, {}, [&candidates](const auto &draw) { return relativeCost(candidates[draw.second]); });
    return best == draws.end() ? std::nullopt : std::optional{best->second};
}

} // namespace bergamottide::load
