#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace bergamottide::serving {

/**
 * @brief Tracks between which zones endpoints fail to fetch results from each other.
 *
 * An endpoint that is partitioned from another zone reports inputs stored there as missing, although endpoints of other
 * zones can still fetch them. Detecting that avoids repeating all earlier stages of the request.
 */
class FetchPaths
{
public:
    /**
     * @brief Records whether an endpoint could fetch results.
     * @param sources Zones in which the results are stored; the destination itself is ignored.
     * @param destination Zone of the endpoint that fetched.
     * @param isFetched Whether the fetch succeeded.
     * @param now Current time.
     */
    void record(const std::set<ZoneName> &sources, const ZoneName &destination, bool isFetched, TimePoint now);

    /*! @brief Tells whether the path from any of the source zones to the destination is broken. */
    [[nodiscard]] bool isBroken(const std::set<ZoneName> &sources, const ZoneName &destination, TimePoint now) const;

    /*! @brief Tells whether there is a path whose last fetch failed. */
    [[nodiscard]] bool hasFailures() const noexcept;

private:
    struct Path
    {
        /*! @brief Number of consecutive failures. */
        std::uint32_t failures{};
        TimePoint brokenUntil{};
    };

    /*! @brief Paths whose last fetch failed, by source and destination zone. */
    std::map<std::pair<ZoneName, ZoneName>, Path> m_paths;
};

} // namespace bergamottide::serving
