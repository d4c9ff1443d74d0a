#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/serving/events.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief Learns which part of a route's prompts requests share, so that those that share it meet at one engine.
 *
 * The last part may belong to a session, which comes again, or to one request alone. Placing by a part that never comes
 * again scatters the shared ones over all engines; placing by the first part alone sends all requests to a few. So the
 * deepest part that is seen to come again decides, unless it comes more often than one engine can take.
 */
class PromptHistory
{
public:
    /**
     * @brief Notes a request, and returns the part of its prompt to place it by.
     * @param route Name of the route.
     * @param prompt Parts of the prompt.
     * @param mostPerSecond Requests a second here with one part, above which they are too many for one engine.
     * @param now Present time.
     * @return Identity of the part; empty without a prompt.
     */
    [[nodiscard]] std::string_view note(const std::string &route, const std::vector<PromptPart> &prompt,
                                        double mostPerSecond, TimePoint now);

private:
    struct Depth
    {
        double seen{};
        double repeated{};
    };

    /*! @brief When a part came last, and how often it comes. */
    struct Part
    {
        double perSecond{};
        TimePoint at{};
    };

    [[nodiscard]] static double rateOf(const Part &part, TimePoint now);
    void prune(TimePoint now);

    absl::flat_hash_map<std::string, std::vector<Depth>> m_depths;
    absl::flat_hash_map<std::string, Part> m_parts;
    TimePoint m_prunedAt{};
};

} // namespace bergamottide::serving
