#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/placement/endpointtable.h"

#include <string>
#include <vector>

namespace bergamottide {

/*! @brief An endpoint was taken out of service, or came back. */
struct EjectionChange
{
    InstanceName endpoint;
    PoolName pool;
    bool ejected{};
    /*! @brief The rule behind it. */
    std::string cause;
};

/**
 * @brief Takes endpoints out of service that are worse than their peers.
 *
 * Load: one endpoint ten times slower, one that answers errors fast and so looks idle, one
 * that flaps. Harm prevented: a share of all requests that ends late or fails while good
 * endpoints stand by. Endpoints are compared with their peers and not with a fixed bound,
 * since an overload or a fault behind all of them makes all slow, and ejecting then only
 * adds to it. At most `ejectionCap` of a pool is out at once, for the same reason. An
 * ejected endpoint gets one trial run after `ejectionTime`; a bad trial doubles the time,
 * so that a flapping one costs less and less.
 */
class Ejector
{
public:
    /*! @brief Creates an ejector over a table, which must outlive it. */
    explicit Ejector(EndpointTable &table);

    /**
     * @brief Learns from a run that the endpoint completed.
     * @param cost Service time that was estimated.
     * @param service Service time that was measured.
     */
    void completed(EndpointNumber number, Duration cost, Duration service);

    /*! @brief Learns from a run that the endpoint failed or left unanswered. */
    void failed(EndpointNumber number);

    /**
     * @brief Learns from a run that was given up while the endpoint worked on it.
     * @param elapsed Time since it began; a lower bound of its service time.
     */
    void abandoned(EndpointNumber number, Duration cost, Duration elapsed);

    /*! @brief Notes that the trial run of an endpoint ended without saying anything about it. */
    void trialUndecided(EndpointNumber number);

    /**
     * @brief Compares all endpoints with their peers; to be called once per `reportPeriod`.
     * @param policy Limits in force.
     * @param now Present time.
     * @return What has changed since the last call, with the verdicts of trials in between.
     */
    [[nodiscard]] std::vector<EjectionChange> review(const Policy &policy, TimePoint now);

private:
    struct Standing
    {
        double slowness{};
        double failureShare{};
    };

    [[nodiscard]] Standing standingOf(const Endpoint &endpoint, double peersPerUnit) const;
    void reviewPool(const PoolEndpoints &pool, const Policy &policy, TimePoint now);
    void eject(EndpointNumber number, const Policy &policy, TimePoint now, const char *cause);
    void decideTrial(EndpointNumber number, bool good);

    EndpointTable &m_table;
    std::vector<EjectionChange> m_changes;
};

} // namespace bergamottide
