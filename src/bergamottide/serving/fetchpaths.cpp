#include "bergamottide/serving/fetchpaths.h"

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Failures in a row after which a path counts as broken: single results are gone for other reasons. */
constexpr std::uint32_t mostFailures = 3;
/*! @brief Time after a failure in which a broken path is not used. Each trial costs a call of its requests. */
constexpr Duration pause = std::chrono::milliseconds{1500};

} // namespace

void FetchPaths::note(const std::set<ZoneName> &makers, const ZoneName &taker, bool isFetched, TimePoint now)
{
    for (const ZoneName &maker : makers) {
        if (maker == taker) {
            continue;
        }
        if (isFetched) {
            m_paths.erase({maker, taker});
            continue;
        }
        Path &path = m_paths[{maker, taker}];
        if (++path.failures >= mostFailures) {
            path.brokenUntil = now + pause;
        }
    }
}

bool FetchPaths::isBroken(const std::set<ZoneName> &makers, const ZoneName &taker, TimePoint now) const
{
    return std::ranges::any_of(makers, [this, &taker, now](const ZoneName &maker) {
        const auto found = m_paths.find({maker, taker});
        return found != m_paths.end() && now < found->second.brokenUntil;
    });
}

bool FetchPaths::hasFailures() const noexcept
{
    return !m_paths.empty();
}

} // namespace bergamottide::serving
