#pragma once

#include "bergamottide/core/time.h"

#include <cstdint>
#include <random>

namespace bergamottide::standin {

/*! @brief Law of the service time of a stand-in. */
struct ServiceTimeLaw
{
    /*! @brief Time before the answer, or before the first token. */
    Duration base{std::chrono::milliseconds{5}};
    /*! @brief Time for each token. */
    Duration perToken{std::chrono::milliseconds{1}};
    /*! @brief Half width of the uniform jitter around both, from 0 to 1. */
    double jitter{};
    std::uint64_t seed{1};
};

/*! @brief Draws service times. */
class ServiceTime
{
public:
    /**
     * @brief Creates a source of service times.
     * @param law Law to draw from.
     */
    explicit ServiceTime(const ServiceTimeLaw &law)
        : m_law{law}
        , m_random{law.seed}
    {
    }

    /*! @brief Draws the time before the answer. */
    [[nodiscard]] Duration base()
    {
        return spread(m_law.base);
    }

    /*! @brief Draws the time of one token. */
    [[nodiscard]] Duration token()
    {
        return spread(m_law.perToken);
    }

private:
    Duration spread(Duration mean)
    {
        std::uniform_real_distribution<double> factor{1.0 - m_law.jitter, 1.0 + m_law.jitter};
        return std::chrono::duration_cast<Duration>(mean * factor(m_random));
    }

    ServiceTimeLaw m_law;
    std::mt19937_64 m_random;
};

} // namespace bergamottide::standin
