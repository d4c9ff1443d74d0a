#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/events.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace bergamottide::serving {

/**
 * @brief What is known of the endpoints, from a list that can be lost for a while.
 *
 * An endpoint that disappears while the list is lost, or just after its return, may only have been unable to renew its
 * entry. It is kept until the entry has had time to come back; otherwise an outage of the list would empty every pool.
 * That an endpoint drains binds at once and for good.
 */
class EndpointDirectory
{
public:
    /*! @brief Takes the whole list as of now. */
    void replace(const EndpointList &list, TimePoint now);

    /*! @brief Takes the new state of one endpoint. One that has started anew under its name no longer drains. */
    void put(const EndpointRecord &record, TimePoint now);

    /*! @brief Takes the removal of one endpoint. */
    void remove(const InstanceName &instance, TimePoint now);

    /*! @brief Takes out an endpoint whose entry does not name one any more: it has not merely lapsed. */
    void discard(const InstanceName &instance);

    /**
     * @brief Sets the zones that are evacuated: none of their endpoints takes new work until the zone is restored.
     *
     * Holds also while the list cannot be read, and for endpoints that are listed later.
     */
    void setEvacuated(std::set<ZoneName> zones);

    /*! @brief Returns the zones that are evacuated. */
    [[nodiscard]] const std::set<ZoneName> &evacuated() const noexcept;

    /*! @brief Notes that the list cannot be read any more. */
    void lost(TimePoint now);

    /*! @brief Notes that the list can be read again. */
    void regained(TimePoint now);

    /*! @brief Returns when kept endpoints are taken as gone, if there are any. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /**
     * @brief Returns the list if it has changed since the last call.
     * @param now Present time.
     */
    [[nodiscard]] std::shared_ptr<const EndpointList> takeChange(TimePoint now);

private:
    [[nodiscard]] bool isForgiving(TimePoint now) const;

    std::map<InstanceName, EndpointRecord> m_endpoints;
    std::set<ZoneName> m_evacuated;
    /*! @brief Endpoints whose entry is missing, and when they are taken as gone. */
    std::map<InstanceName, TimePoint> m_missing;
    bool m_isLost{};
    TimePoint m_lostAt{};
    std::optional<TimePoint> m_forgivingUntil;
    bool m_changed{};
};

} // namespace bergamottide::serving
