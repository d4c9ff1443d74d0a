#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/catalog.h"
#include "bergamottide/serving/endpointboard.h"

#include <cstdint>
#include <functional>

namespace bergamottide::serving {

/**
 * @brief Bounds the requests that a cold endpoint gets from the whole fleet.
 *
 * Made for endpoints that have just started, which placement prefers since they are idle: sent there by every process
 * at once, a burst crashes them again. The requests that a cold endpoint bears in a window are dealt among the
 * processes, and each process keeps to its share; processes that hold no share of an endpoint send it nothing until it
 * is warm.
 */
class WarmupLimiter
{
public:
    /**
     * @brief Deals the requests of a window among the processes, and returns the share of this one.
     *
     * Arguments are the endpoint, the number of requests and the present time.
     */
    using ShareOf = std::function<std::uint32_t(const InstanceName &endpoint, std::uint32_t requests, TimePoint now)>;

    /**
     * @brief Creates a limiter.
     * @param shareOf Share of this process in an endpoint's requests.
     */
    explicit WarmupLimiter(ShareOf shareOf);

    /**
     * @brief Tells if an endpoint may be sent one more request now.
     * @param pool Its pool.
     * @param endpoint Endpoint.
     * @param now Present time.
     */
    [[nodiscard]] bool admits(const Pool &pool, const Endpoint &endpoint, TimePoint now) const;

    /**
     * @brief Notes a request that is sent to an endpoint, cold or not: one that turns cold has already got it.
     * @param pool Its pool.
     * @param endpoint Endpoint.
     * @param now Present time.
     */
    static void noteSent(const Pool &pool, Endpoint &endpoint, TimePoint now);

    /*! @brief Tells if an endpoint is cold, or has to be taken for cold. */
    [[nodiscard]] static bool isCold(const WarmupSpec &warmup, const Endpoint &endpoint, TimePoint now);

private:
    ShareOf m_shareOf;
};

} // namespace bergamottide::serving
