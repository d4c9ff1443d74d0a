#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace bergamottide::serving {

/**
 * @brief Known endpoints, maintained from a list that may be temporarily unavailable.
 *
 * An endpoint whose entry disappears during an outage of the list, or just after it, may only have been unable to renew
 * the entry. It is kept for a grace period; otherwise an outage of the list would empty every pool. A draining endpoint
 * gets no grace period, and it stays draining until it restarts.
 */
class EndpointDirectory
{
public:
    /*! @brief Replaces the contents by the complete list. */
    void replace(const EndpointList &list, TimePoint now);

    /*! @brief Adds or updates an endpoint. A new incarnation does not inherit the draining state. */
    void put(const EndpointRecord &record, TimePoint now);

    /*! @brief Removes an endpoint, after the grace period if there is one. */
    void remove(const InstanceName &instance, TimePoint now);

    /*! @brief Removes an endpoint without a grace period, because its entry is not a valid endpoint any more. */
    void removeAtOnce(const InstanceName &instance);

    /**
     * @brief Sets the evacuated zones, whose endpoints get no new work.
     *
     * Also applies while the list is unavailable, and to endpoints that are added later.
     */
    void setEvacuatedZones(std::set<ZoneName> zones);

    /*! @brief Returns the evacuated zones. */
    [[nodiscard]] const std::set<ZoneName> &evacuatedZones() const noexcept;

    /*! @brief Starts an outage: the list cannot be read. */
    void beginListOutage(TimePoint now);

    /*! @brief Ends an outage: the list can be read again. */
    void endListOutage(TimePoint now);

    /*! @brief Returns when the first missing endpoint is removed, if there is one. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /**
     * @brief Removes expired endpoints and returns the list.
     * @param now Current time.
     * @return The list, or null if nothing has changed since the last call.
     */
    [[nodiscard]] std::shared_ptr<const EndpointList> takeChangedList(TimePoint now);

private:
    [[nodiscard]] bool isInGracePeriod(TimePoint now) const;

    std::map<InstanceName, EndpointRecord> m_endpoints;
    std::set<ZoneName> m_evacuated;
    /*! @brief Endpoints whose entry is missing, and when each is removed. */
    std::map<InstanceName, TimePoint> m_missing;
    bool m_isListUnavailable{};
    TimePoint m_unavailableSince{};
    std::optional<TimePoint> m_graceUntil;
    bool m_changed{};
};

} // namespace bergamottide::serving
