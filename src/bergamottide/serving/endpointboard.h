#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/events.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamottide::serving {

/*! @brief What one finished piece of work says of its endpoint. */
enum class EndpointSign : std::uint8_t
{
    /*! @brief It answered as it should. */
    Good,
    /*! @brief It took no work: full or leaving. */
    Rejected,
    /*! @brief It answered with a failure of its own or broke off. */
    Failed,
    /*! @brief No connection came about. */
    Unreached
};

/*! @brief An endpoint and what this process believes of it. */
struct Endpoint
{
    EndpointRecord record;
    /*! @brief No longer listed; kept while work is in progress there. */
    bool gone{};
    /*! @brief Runs and stage calls in progress from this process. */
    std::uint32_t inFlight{};
    /*! @brief Load it told last, and when. */
    EndpointLoad load;
    TimePoint loadAt{};
    /*! @brief When it last answered anything. */
    TimePoint answeredAt{};
    /*! @brief Share of recent work that failed, as a moving average from 0 to 1. */
    double failureShare{};
    /*! @brief Pieces of work behind the share, up to the number at which it is trusted. */
    std::uint32_t samples{};
    /*! @brief Not used before this time unless all others are out as well. */
    TimePoint ejectedUntil{};
    /*! @brief Times it was ejected without a good sign in between. */
    std::uint32_t ejections{};
    /*! @brief Measured over expected time of stage calls, as a moving average; 1 is as expected. */
    double slowness{1.0};
    TimePoint slownessAt{};
    /*! @brief When a stage call ended there and it told no work of others; the epoch if it told some. */
    TimePoint aloneAt{};
    /*! @brief Gets no stage call before this time. */
    TimePoint pausedUntil{};
    /*! @brief When it is warm, as far as the platform or itself told. */
    TimePoint coldUntil{};
    /*! @brief Latest time at which it may have started anew without telling: its zone was restored, or no connection to
     * it came about; the epoch if there is none. */
    TimePoint mayHaveStartedAt{};
    /*! @brief When it was sent its last requests, as far as they count for the bound on cold endpoints. */
    std::vector<TimePoint> sentAt;
    /*! @brief Bytes of results that are in its memory or being made, as far as they were asked for here. */
    std::uint64_t resultBytes{};
    /*! @brief Bytes of results there that another scheduler has had made. */
    std::uint64_t otherBytes{};

    /*! @brief Returns the bytes of results that are in its memory or being made. */
    [[nodiscard]] std::uint64_t takenBytes() const noexcept
    {
        return resultBytes + otherBytes;
    }

    [[nodiscard]] bool takesWork() const noexcept
    {
        return !gone && record.takesWork();
    }
};

/**
 * @brief Endpoints of all pools, what they told of their load, and which of them are left out for a while.
 *
 * Made for endpoints that fail part of their work while they look healthy, that crash, or that are cut off: work goes
 * elsewhere after few failures, and a trial follows after a pause that grows. An endpoint is ejected only in comparison
 * with its pool, so that a failure of all of them ejects none.
 */
class EndpointBoard
{
public:
    /**
     * @brief Takes over the platform's list.
     * @param list All endpoints listed.
     * @param now Present time.
     * @param effects Receives a log line for each change.
     */
    void update(const EndpointList &list, TimePoint now, Effects &effects);

    /*! @brief Returns an endpoint, or null. */
    [[nodiscard]] Endpoint *find(const InstanceName &instance);

    /**
     * @brief Returns the endpoints of a pool that take work and are not ejected; the ejected ones if all are.
     * @param pool Pool.
     * @param now Present time.
     */
    [[nodiscard]] std::vector<Endpoint *> usable(const PoolName &pool, TimePoint now) const;

    /*! @brief Tells if any endpoint of a pool takes work. */
    [[nodiscard]] bool serves(const PoolName &pool) const;

    /**
     * @brief Notes work that begins at an endpoint.
     * @param instance Endpoint.
     */
    void started(const InstanceName &instance);

    /**
     * @brief Notes work that has ended at an endpoint.
     * @param instance Endpoint.
     * @param sign What the end says of it; nothing if the work was cancelled.
     * @param now Present time.
     * @param effects Receives a log line for an ejection or a return.
     */
    void ended(const InstanceName &instance, std::optional<EndpointSign> sign, TimePoint now, Effects &effects);

    /*! @brief Notes that an endpoint has begun to answer something. */
    void answered(const InstanceName &instance, TimePoint now);

    /**
     * @brief Notes work that an endpoint has not begun to answer for much longer than is typical.
     * @param instance Endpoint.
     * @param since When the work was sent; an endpoint that has answered nothing since is taken as silent altogether.
     * @param now Present time.
     * @param effects Receives a log line for an ejection.
     */
    void suspect(const InstanceName &instance, TimePoint since, TimePoint now, Effects &effects);

    /*! @brief Notes that an endpoint told that it stays cold for a while. */
    void toldCold(const InstanceName &instance, Duration left, TimePoint now);

    /*! @brief Notes the load that an endpoint told. */
    void told(const InstanceName &instance, const EndpointLoad &load, TimePoint now);

    /*! @brief Returns the endpoints that are listed. */
    [[nodiscard]] std::vector<EndpointRecord> records() const;

    /*! @brief Returns the number of endpoints listed. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    static void restart(Endpoint &endpoint, TimePoint now, Effects &effects);
    static void takeRecord(Endpoint &endpoint, const EndpointRecord &record, TimePoint now, Effects &effects);
    void judge(Endpoint &endpoint, TimePoint now, Effects &effects);
    void forgetIfIdle(const InstanceName &instance);
    void indexPools();
    [[nodiscard]] const std::vector<Endpoint *> &ofPool(const PoolName &pool) const;
    [[nodiscard]] double failureShareOfOthers(const Endpoint &endpoint) const;

    std::map<InstanceName, Endpoint> m_endpoints;
    /*! @brief Endpoints of each pool, by name: a decision on one pool does not look at those of the others. */
    std::map<PoolName, std::vector<Endpoint *>> m_pools;
};

} // namespace bergamottide::serving
