#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <chrono>
#include <map>
#include <optional>

namespace bergamottide::serving {

/*! @brief Moving average and deviation, for each pool, of the time from sending a request to its whole response. */
class RunTimes
{
public:
    /*! @brief Adds a measured time. */
    void record(const PoolName &pool, Duration sample)
    {
        const auto [found, isNew] = m_times.try_emplace(pool, Time{sample, Duration::zero()});
        if (isNew) {
            return;
        }
        Time &time = found->second;
        const Duration error = sample - time.average;
        time.average += error / smoothing;
        time.deviation += (std::chrono::abs(error) - time.deviation) / smoothing;
    }

    /*! @brief Returns a time within which most runs end; nothing before the first measurement. */
    [[nodiscard]] std::optional<Duration> upperBound(const PoolName &pool) const
    {
        const auto found = m_times.find(pool);
        if (found == m_times.end()) {
            return std::nullopt;
        }
        return found->second.average + deviations * found->second.deviation;
    }

private:
    struct Time
    {
        Duration average{};
        Duration deviation{};
    };

    /*! @brief A new sample has a weight of one over this. */
    static constexpr int smoothing = 16;
    static constexpr int deviations = 2;

    std::map<PoolName, Time> m_times;
};

} // namespace bergamottide::serving
