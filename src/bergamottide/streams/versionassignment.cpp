#include "bergamottide/streams/versionassignment.h"

#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <limits>

namespace bergamottide::serving {

namespace {

/*! @brief One of so many prompts is spread over the versions. */
constexpr std::uint64_t promptsForOneSpread = 4;

std::uint64_t keyOf(const engines::PromptPart &part)
{
    return XXH3_64bits(part.id.data(), part.id.size());
}

/*! @brief Returns a number between zero and one that depends on a key and a version. */
double drawnFraction(std::uint64_t key, const SoftwareVersion &version)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(version.text().data(), version.text().size(), key);
    return (static_cast<double>(hash) + 1.0) / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2.0);
}

} // namespace

bool isSpreadOverVersions(const engines::PromptPart &lastPart)
{
    return keyOf(lastPart) % promptsForOneSpread == 0;
}

std::optional<SoftwareVersion> assignedVersion(StreamKey stream, const engines::PromptPart &lastPart,
                                               const VersionCounts &versions)
{
    const std::uint64_t key = isSpreadOverVersions(lastPart) ? static_cast<std::uint64_t>(stream) : keyOf(lastPart);
    std::optional<SoftwareVersion> best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const auto &[version, endpoints] : versions) {
        if (endpoints == 0) {
            continue;
        }
        // The smallest of exponentially distributed numbers belongs to each version as often as its weight says.
        const double cost = -std::log(drawnFraction(key, version)) / static_cast<double>(endpoints);
        if (cost < bestCost) {
            best = version;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace bergamottide::serving
