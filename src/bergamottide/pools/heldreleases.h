#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"
#include "bergamottide/pools/endpointregistry.h"

#include <map>
#include <optional>

namespace bergamottide::serving {

/*!
 * @brief Holds releases of results back while their endpoint wants no requests.
 *
 * Other pauses do not hold them: an endpoint that is short of memory needs them.
 */
class HeldReleases
{
public:
    /*! @brief Creates an empty set; the endpoints must outlive it. */
    explicit HeldReleases(const EndpointRegistry &endpoints);

    /*! @brief Moves the releases at endpoints that asked for a pause out of the effects. */
    void hold(Effects &effects, TimePoint now);

    /*! @brief Adds the releases whose pause is over to the effects, one for each endpoint. */
    void sendDue(Effects &effects, TimePoint now);

    /*! @brief Returns when `sendDue` has to be called next; nothing if no release is held. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

private:
    const EndpointRegistry &m_endpoints;
    std::map<InstanceName, ReleaseResults> m_releases;
};

} // namespace bergamottide::serving
