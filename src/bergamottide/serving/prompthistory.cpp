#include "bergamottide/serving/prompthistory.h"

namespace bergamottide::serving {

namespace {

/*! @brief Time for which a part is remembered: some times the one after which an engine is likely to have dropped it.
 */
constexpr Duration memory = std::chrono::seconds{30};
constexpr Duration prunePeriod = std::chrono::seconds{5};
/*! @brief Share of requests whose part was seen before, above which the part is shared; retries alone stay below. */
constexpr double sharedShare = 0.06;
/*! @brief Requests of a route before its shares are trusted. */
constexpr double trustedCount = 16.0;
/*! @brief Requests after which the older half of the evidence counts half. */
constexpr double longestCount = 400.0;

} // namespace

std::string_view PromptHistory::note(const std::string &route, const std::vector<PromptPart> &prompt, TimePoint now)
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
        const auto [place, isNew] = m_parts.insert_or_assign(prompt[index].id, now);
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
    return prompt[chosen].id;
}

void PromptHistory::prune(TimePoint now)
{
    if (now - m_prunedAt < prunePeriod) {
        return;
    }
    m_prunedAt = now;
    absl::erase_if(m_parts, [now](const auto &entry) { return now - entry.second > memory; });
}

} // namespace bergamottide::serving
