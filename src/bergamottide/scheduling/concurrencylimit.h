#pragma once

#include "bergamottide/core/time.h"

#include <cstdint>

namespace bergamottide {

/**
 * @brief Adaptive limit on the number of concurrent runs at one endpoint (AIMD).
 *
 * Starts at the concurrency of the pool, which it never exceeds. The limit decreases when
 * the endpoint rejects a run or fails it for overload, down to one. It also decreases when
 * a run takes longer than its concurrent runs would take one after the other, which
 * indicates thrashing; an endpoint that is slow for other reasons looks the same, so this
 * signal never lowers the limit below half of the maximum. Runs above the limit stay in
 * the fair queue, which orders them by deadline.
 */
class ConcurrencyLimit
{
public:
    /**
     * @brief Creates a limit that equals the maximum.
     * @param maximum Concurrency of the pool; above zero.
     */
    explicit ConcurrencyLimit(std::uint32_t maximum);

    /**
     * @brief Changes the maximum; a limit equal to the old maximum follows it.
     * @param maximum Concurrency of the pool; above zero.
     */
    void setMaximum(std::uint32_t maximum);

    /*! @brief Returns the number of runs that the endpoint may work on concurrently; at least one. */
    [[nodiscard]] std::uint32_t current() const noexcept;

    /**
     * @brief Records a completed run.
     * @param slowdown Service time divided by the service time without concurrent runs.
     * @param concurrent Runs at the endpoint when the run started, itself included.
     */
    void recordCompletion(double slowdown, std::uint32_t concurrent);

    /*! @brief Records a run that the endpoint rejected, or failed for overload. */
    void recordOverload();

private:
    void decrease(double floor);

    double m_maximum;
    double m_limit;
    double m_runsSinceDecrease{};
};

} // namespace bergamottide
