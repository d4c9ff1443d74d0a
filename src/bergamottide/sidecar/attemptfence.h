#pragma once

#include "bergamottide/core/fwd.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace bergamottide {

/**
 * @brief Rejects duplicate and outdated attempts at a stage of a request.
 *
 * Used for repeatable runs only; at-most-once runs rely on the ledger. For each stage the
 * highest attempt is stored until it expires. Above the size limit the record that expires
 * first is evicted; the worst case is a second execution of a repeatable run.
 */
class AttemptFence
{
public:
    /**
     * @brief Creates an empty fence.
     * @param limit Maximum number of stages stored; zero counts as one.
     */
    explicit AttemptFence(std::size_t limit);

    /**
     * @brief Admits an attempt if it is higher than the highest one stored for its stage.
     * @param run Attempt.
     * @param expiry Earliest time at which the record may expire.
     * @return True if the attempt is admitted; false if this or a higher attempt is stored.
     */
    [[nodiscard]] bool admit(const RunId &run, TimePoint expiry);

    /*! @brief Removes the expired records. */
    void expire(TimePoint now);

    /*! @brief Returns the number of stages stored. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    using StageKey = std::pair<RequestId, std::uint32_t>;

    struct Record
    {
        std::uint32_t highestAttempt{};
        TimePoint expiry;
    };

    void evictEarliest();

    std::size_t m_limit;
    std::map<StageKey, Record> m_records;
    std::set<std::pair<TimePoint, StageKey>> m_expiries;
};

} // namespace bergamottide
