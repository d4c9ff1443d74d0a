#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/placement/endpointtable.h"

#include <string>
#include <vector>

namespace bergamottide {

/*! @brief Endpoint that was ejected or returned to service. */
struct EjectionChange
{
    InstanceName endpoint;
    PoolName pool;
    bool ejected{};
    /*! @brief Reason, for logs. */
    std::string cause;
};

/**
 * @brief Outlier detection: ejects endpoints that are much slower than the others of their pool, or fail often.
 *
 * An overload or a fault that affects the whole pool must not eject its endpoints. Slowness
 * is therefore compared with the median of the pool instead of a fixed bound, failures are
 * ignored while the median failure share is high, and at most a share of `ejectionCap` of a pool is ejected at a time.
 * After `ejectionTime` an ejected endpoint becomes half-open and gets one trial run, as with a circuit breaker; each
 * failed trial doubles the time, up to a limit.
 */
class OutlierEjector
{
public:
    /*! @brief Creates an ejector for the endpoints of a table, which must outlive it. */
    explicit OutlierEjector(EndpointTable &table);

    /**
     * @brief Records a completed run.
     * @param cost Estimated service time.
     * @param service Measured service time.
     */
    void recordCompletion(EndpointNumber number, Duration cost, Duration service);

    /*! @brief Records a run that failed or was not answered. */
    void recordFailure(EndpointNumber number);

    /**
     * @brief Records a run that was cancelled while the endpoint worked on it.
     * @param cost Estimated service time.
     * @param elapsed Time since the run started; a lower bound of its service time.
     */
    void recordCancellation(EndpointNumber number, Duration cost, Duration elapsed);

    /*! @brief Makes an endpoint half-open again after a trial run that ended without a result. */
    void releaseTrial(EndpointNumber number);

    /**
     * @brief Compares all endpoints with their peers; to be called once per `reportPeriod`.
     * @param policy Current limits.
     * @param now Current time.
     * @return Changes since the last call, including the results of trial runs.
     */
    [[nodiscard]] std::vector<EjectionChange> review(const Policy &policy, TimePoint now);

private:
    struct Performance
    {
        double slowness{};
        double failureShare{};
    };

    [[nodiscard]] Performance performanceOf(const Endpoint &endpoint, double medianServicePerUnit) const;
    void reviewPool(const PoolEndpoints &pool, const Policy &policy, TimePoint now);
    void eject(EndpointNumber number, const Policy &policy, TimePoint now, const char *cause);
    void finishTrial(EndpointNumber number, bool succeeded);

    EndpointTable &m_table;
    std::vector<EjectionChange> m_changes;
};

} // namespace bergamottide
