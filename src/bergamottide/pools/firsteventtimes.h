#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <map>

namespace bergamottide::serving {

/*! @brief Moving average, for each pool, of the time between sending a request and the response headers. */
class FirstEventTimes
{
public:
    /*! @brief Adds a measured time. */
    void record(const PoolName &pool, Duration sample)
    {
        const auto [found, isNew] = m_averages.try_emplace(pool, sample);
        if (!isNew) {
            found->second += (sample - found->second) / smoothing;
        }
    }

    /*! @brief Returns the average; an initial estimate before the first measurement. */
    [[nodiscard]] Duration average(const PoolName &pool) const
    {
        const auto found = m_averages.find(pool);
        return found == m_averages.end() ? initialEstimate : found->second;
    }

private:
    /*! @brief A new sample has a weight of one over this. */
    static constexpr int smoothing = 16;
    /*! @brief Typical time to read a prompt of some thousand tokens. */
    static constexpr Duration initialEstimate = std::chrono::milliseconds{100};

    std::map<PoolName, Duration> m_averages;
};

} // namespace bergamottide::serving
