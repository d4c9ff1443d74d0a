#include "bergamottide/serving/prompthistory.h"

#include <cmath>

namespace bergamottide::serving {

namespace {

/*! @brief Time for which a part is remembered: some times the one after which an engine is likely to have dropped it.
 */
constexpr Duration memory = std::chrono::seconds{30};
/*! @brief Time constant of the rates at which parts come: some times the distance of two requests of one process. */
constexpr double rateMemorySeconds = 4.0;
constexpr Duration prunePeriod = std::chrono::seconds{5};
/*! @brief Share of requests whose part was seen before, above which the part is shared; retries alone stay below. */
constexpr double sharedShare = 0.06;
/*! @brief Requests of a route before its shares are trusted. */
constexpr double trustedCount = 16.0;
/*! @brief Requests after which the older half of the evidence counts half. */
constexpr double longestCount = 400.0;

} // namespace

std::string_view PromptHistory::note(const std::string &route, const std::vector<PromptPart> &prompt,
                                     double mostPerSecond, TimePoint now)
{
    if (prompt.empty()) {
        return {};
    }
    prune(now);
    std::vector<Depth> &depths = m_depths[route];
    if (depths.size() < prompt.size()) {
        depths.resize(prompt.size());
    }
    // Until something is known, the last part is taken for the request's own, unless it is the only one.
    std::size_t chosen = prompt.size() > 1 ? prompt.size() - 2 : 0;
    for (std::size_t index = 0; index < prompt.size(); ++index) {
        Depth &depth = depths[index];
        const auto [place, isNew] = m_parts.try_emplace(prompt[index].id);
        place->second = {rateOf(place->second, now) + 1.0 / rateMemorySeconds, now};
        depth.seen += 1.0;
        depth.repeated += isNew ? 0.0 : 1.0;
        if (depth.seen > longestCount) {
            depth.seen /= 2.0;
            depth.repeated /= 2.0;
        }
        if (depth.seen >= trustedCount && depth.repeated > sharedShare * depth.seen) {
            chosen = index;
        }
    }
    // A process of a large fleet sees few requests, and rarely two that share a deep part. The shallow ones come often
    // enough then to be in every engine's cache, and too often for one engine to run all their requests.
    while (chosen + 1 < prompt.size() && rateOf(m_parts.at(prompt[chosen].id), now) > mostPerSecond) {
        ++chosen;
    }
    return prompt[chosen].id;
}

double PromptHistory::rateOf(const Part &part, TimePoint now)
{
    return part.perSecond * std::exp(-std::chrono::duration<double>(now - part.at).count() / rateMemorySeconds);
}

void PromptHistory::prune(TimePoint now)
{
    if (now - m_prunedAt < prunePeriod) {
        return;
    }
    m_prunedAt = now;
    absl::erase_if(m_parts, [now](const auto &entry) { return now - entry.second.at > memory; });
}

} // namespace bergamottide::serving
