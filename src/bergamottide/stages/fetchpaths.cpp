#include "bergamottide/stages/fetchpaths.h"

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Consecutive failures after which a path is broken; single results may be missing for other reasons. */
constexpr std::uint32_t failuresUntilBroken = 3;
/*! @brief Time for which a broken path is not used after a failure; every retry may waste a call. */
constexpr Duration brokenPathPause = std::chrono::milliseconds{1500};

} // namespace

void FetchPaths::record(const std::set<ZoneName> &sources, const ZoneName &destination, bool isFetched, TimePoint now)
{
    for (const ZoneName &source : sources) {
        if (source == destination) {
            continue;
        }
        if (isFetched) {
            m_paths.erase({source, destination});
            continue;
        }
        Path &path = m_paths[{source, destination}];
        if (++path.failures >= failuresUntilBroken) {
            path.brokenUntil = now + brokenPathPause;
        }
    }
}

bool FetchPaths::isBroken(const std::set<ZoneName> &sources, const ZoneName &destination, TimePoint now) const
{
    return std::ranges::any_of(sources, [this, &destination, now](const ZoneName &source) {
        const auto found = m_paths.find({source, destination});
        return found != m_paths.end() && now < found->second.brokenUntil;
    });
}

bool FetchPaths::hasFailures() const noexcept
{
    return !m_paths.empty();
}

} // namespace bergamottide::serving
