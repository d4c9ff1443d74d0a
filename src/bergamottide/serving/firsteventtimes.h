#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <map>

namespace bergamottide::serving {

/*! @brief Time from the sending of a generation to its first event, as a moving average for each pool. */
class FirstEventTimes
{
public:
    /*! @brief Notes one generation. */
    void note(const PoolName &pool, Duration time)
    {
        const auto [found, isNew] = m_times.try_emplace(pool, time);
        if (!isNew) {
            found->second += (time - found->second) / weight;
        }
    }

    /*! @brief Returns the typical time; a first guess before anything is known. */
    [[nodiscard]] Duration typical(const PoolName &pool) const
    {
        const auto found = m_times.find(pool);
        return found == m_times.end() ? firstGuess : found->second;
    }

private:
    /*! @brief The newest counts one part in this many. */
    static constexpr int weight = 16;
    /*! @brief A prompt of some thousand tokens takes an engine about this long. */
    static constexpr Duration firstGuess = std::chrono::milliseconds{100};

    std::map<PoolName, Duration> m_times;
};

} // namespace bergamottide::serving
