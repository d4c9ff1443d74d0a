#pragma once

#include "bergamottide/core/time.h"

#include <cstdint>

namespace bergamottide {

/**
 * @brief Number of runs that an endpoint is given at once, adapted to how it copes.
 *
 * It starts at the pool's concurrency, which it never exceeds, since engines batch what
 * they are given together: sending less wastes them. It shrinks (additive increase,
 * multiplicative decrease) on two signs. An endpoint that refuses a run, or fails one for
 * overload, says itself that it has too many. And a run that takes longer than the runs
 * started together would take one after the other shows that the endpoint thrashes; since
 * an endpoint that is slow for any other reason looks the same, this sign alone never
 * takes more than half of the pool's concurrency. Harm prevented: time wasted at an
 * endpoint beyond its capacity while the queue, which is fair and knows deadlines, is
 * bypassed.
 */
class ConcurrencyLimit
{
public:
    /**
     * @brief Starts at the maximum.
     * @param maximum Concurrency of the pool; above zero.
     */
    explicit ConcurrencyLimit(std::uint32_t maximum);

    /**
     * @brief Changes the maximum; a limit that stood at the old one moves with it.
     * @param maximum Concurrency of the pool; above zero.
     */
    void setMaximum(std::uint32_t maximum);

    /*! @brief Returns the number of runs that the endpoint may have at once; at least one. */
    [[nodiscard]] std::uint32_t current() const noexcept;

    /**
     * @brief Learns that a run has completed.
     * @param stretch Its service time relative to what it would take alone.
     * @param together Runs at the endpoint when it started, itself included.
     */
    void completed(double stretch, std::uint32_t together);

    /*! @brief Learns that the endpoint refused a run or failed it for overload. */
    void overloaded();

private:
    void shrink(double floor);

    double m_maximum;
    double m_limit;
    double m_sinceShrink{};
};

} // namespace bergamottide
