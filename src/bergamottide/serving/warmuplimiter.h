#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/catalog.h"
#include "bergamottide/serving/endpointregistry.h"

#include <cstdint>
#include <functional>

namespace bergamottide::serving {

/**
 * @brief Limits the rate of requests that all processes together send to a cold endpoint.
 *
 * Placement prefers idle endpoints, so a burst from all processes at once would crash an endpoint that has just
 * started. The requests that a cold endpoint can take are divided among the processes; a process with a quota of zero
 * sends it nothing until it is warm.
 */
class WarmupLimiter
{
public:
    /**
     * @brief Returns the quota of this process.
     *
     * Arguments are the endpoint, the number of requests that all processes may send to it, and the current time.
     */
    using QuotaFunction =
        std::function<std::uint32_t(const InstanceName &endpoint, std::uint32_t requests, TimePoint now)>;

    /**
     * @brief Creates a limiter.
     * @param quotaOf Returns how many of an endpoint's requests this process may send.
     */
    explicit WarmupLimiter(QuotaFunction quotaOf);

    /**
     * @brief Tells whether one more request may be sent to an endpoint.
     * @param pool Pool of the endpoint.
     * @param endpoint Endpoint.
     * @param now Current time.
     */
    [[nodiscard]] bool admits(const Pool &pool, const Endpoint &endpoint, TimePoint now) const;

    /**
     * @brief Records a request sent to an endpoint; warm endpoints count too, as they may turn out to be cold.
     * @param pool Pool of the endpoint.
     * @param endpoint Endpoint.
     * @param now Current time.
     */
    static void recordSent(const Pool &pool, Endpoint &endpoint, TimePoint now);

    /*! @brief Tells whether an endpoint is cold or may have restarted recently. */
    [[nodiscard]] static bool isCold(const WarmupSpec &warmup, const Endpoint &endpoint, TimePoint now);

private:
    QuotaFunction m_quotaOf;
};

} // namespace bergamottide::serving
