#pragma once

#include "bergamottide/core/time.h"

#include <optional>

namespace bergamottide::serving {

/**
 * @brief Tells up to which time this process knows the platform's list of endpoints, and since when without a gap.
 *
 * A list says nothing of what has changed since it was last confirmed, however long it has been known. Whatever is
 * concluded from the absence of an endpoint has to hold for a period that the confirmations cover.
 */
class EndpointListAge
{
public:
    /*!
     * @brief Longest time between two confirmations after which the list counts as known without a gap.
     *
     * In a longer one an endpoint may have joined, worked and left unnoticed.
     */
    static constexpr Duration maxGap = std::chrono::seconds{5};

    /**
     * @brief Records a confirmation.
     * @param asOf Time up to which all changes of the list are known; an earlier one than known changes nothing.
     */
    void confirm(TimePoint asOf) noexcept;

    /*! @brief Returns whether all changes of the list up to a time are known. */
    [[nodiscard]] bool isConfirmedSince(TimePoint time) const noexcept;

    /*! @brief Returns whether all endpoints that were listed at any time of a period are known. */
    [[nodiscard]] bool covers(TimePoint from, TimePoint until) const noexcept;

    /*! @brief Returns the time since the last confirmation; nothing before the first one. */
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const noexcept;

private:
    /*! @brief Start of the time without a gap. */
    TimePoint m_knownSince{};
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace bergamottide::serving
