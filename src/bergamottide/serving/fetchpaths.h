#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace bergamottide::serving {

/**
 * @brief Between which zones endpoints cannot fetch results from each other at present, learnt from their failures.
 *
 * Made for partitions between zones: an endpoint reports inputs that it cannot reach as gone. Taken at its word, each
 * of its requests has its whole chain of stages made again, often for the same end.
 */
class FetchPaths
{
public:
    /**
     * @brief Notes that an endpoint has fetched results, or could not.
     * @param makers Zones in which the results lie; those of its own zone do not count.
     * @param taker Zone of the endpoint.
     * @param isFetched Whether it has got them.
     * @param now Present time.
     */
    void note(const std::set<ZoneName> &makers, const ZoneName &taker, bool isFetched, TimePoint now);

    /*! @brief Tells if results of some of the zones cannot be fetched from another one. */
    [[nodiscard]] bool isBroken(const std::set<ZoneName> &makers, const ZoneName &taker, TimePoint now) const;

    /*! @brief Tells if any fetch has failed and none on the same path has succeeded since. */
    [[nodiscard]] bool hasFailures() const noexcept;

private:
    struct Path
    {
        /*! @brief Failures in a row. */
        std::uint32_t failures{};
        TimePoint brokenUntil{};
    };

    /*! @brief Paths with failures, by the zones of maker and taker. */
    std::map<std::pair<ZoneName, ZoneName>, Path> m_paths;
};

} // namespace bergamottide::serving
