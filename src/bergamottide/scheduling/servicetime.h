#pragma once

#include "bergamottide/core/fwd.h"
#include "bergamottide/scheduling/robustline.h"

#include <cstddef>
#include <map>
#include <optional>
#include <tuple>

namespace bergamottide {

/*! @brief Work whose service times are alike but for its size. */
struct ServiceClass
{
    PipelineName pipeline;
    StageName stage;
    ModelName model;
    /*! @brief Empty for all kinds together. */
    KindName kind;

    [[nodiscard]] bool operator<(const ServiceClass &other) const
    {
        return std::tie(pipeline, stage, model, kind) < std::tie(other.pipeline, other.stage, other.model, other.kind);
    }
};

/**
 * @brief Service times of one endpoint, learned online for each class of work and size.
 *
 * Load it is made for: long and short work of several kinds at one endpoint, whose speed
 * may change at any time. Harm prevented: work started that cannot end in time, and queues
 * whose costs say nothing. Each class has a line over size; a class with too few samples
 * falls back to all kinds of the same stage together.
 */
class ServiceTimes
{
public:
    /**
     * @brief Learns how long a run took at the endpoint.
     * @param work Class of the run.
     * @param size Size in the stage's own unit; zero if unknown.
     * @param service Time at the endpoint.
     */
    void learn(const ServiceClass &work, double size, Duration service);

    /**
     * @brief Estimates how long a run takes at the endpoint.
     * @param work Class of the run.
     * @param size Size in the stage's own unit; zero if unknown.
     * @return Estimate, or nothing while too little is known.
     */
    [[nodiscard]] std::optional<Duration> estimate(const ServiceClass &work, double size) const;

    /*! @brief Returns the smoothed time at the endpoint of a run of any class; zero before the first. */
    [[nodiscard]] Duration mean() const noexcept;

    /*! @brief Returns the smoothed time for one unit of size, in microseconds; zero before the first. */
    [[nodiscard]] double perUnit() const noexcept;

private:
    void learnClass(const ServiceClass &work, double size, double micros);

    std::map<ServiceClass, RobustLine> m_lines;
    RobustLine m_all;
    RobustLine m_perUnit;
};

} // namespace bergamottide
