#pragma once

#include "bergamottide/core/fwd.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace bergamottide {

/**
 * @brief Remembers which attempts at a stage have been seen, so that a late or repeated start does nothing.
 *
 * Only repeatable runs depend on it; runs that must not be repeated have the ledger. An
 * attempt passes once: neither it nor a lower one passes again while it is remembered,
 * that is until its deadline and the retention of results have passed. Memory is bounded:
 * beyond the limit the one that expires first is forgotten, which at worst repeats a run
 * that may be repeated.
 */
class AttemptFence
{
public:
    /**
     * @brief Creates an empty fence.
     * @param limit Stages of requests remembered at most.
     */
    explicit AttemptFence(std::size_t limit);

    /**
     * @brief Lets an attempt pass, or fences it.
     * @param run Attempt.
     * @param until Time until which it is remembered at least.
     * @return True the first time, if no higher attempt is remembered.
     */
    [[nodiscard]] bool pass(const RunId &run, TimePoint until);

    /*! @brief Forgets what has expired. */
    void expire(TimePoint now);

    /*! @brief Returns the number of stages remembered. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    using StageKey = std::pair<RequestId, std::uint32_t>;

    struct Mark
    {
        std::uint32_t highest{};
        TimePoint until;
    };

    void forgetEarliest();

    std::size_t m_limit;
    std::map<StageKey, Mark> m_marks;
    std::set<std::pair<TimePoint, StageKey>> m_expiries;
};

} // namespace bergamottide
