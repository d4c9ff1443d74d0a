#pragma once

#include "bergamottide/core/fwd.h"
#include "bergamottide/scheduling/robustregression.h"

#include <cstddef>
#include <map>
#include <optional>
#include <tuple>

namespace bergamottide {

/*! @brief Class of runs whose service times depend on their size only. */
struct ServiceClass
{
    PipelineName pipeline;
    StageName stage;
    ModelName model;
    /*! @brief Empty for the class of all kinds. */
    KindName kind;

    [[nodiscard]] bool operator<(const ServiceClass &other) const
    {
        return std::tie(pipeline, stage, model, kind) < std::tie(other.pipeline, other.stage, other.model, other.kind);
    }
};

/**
 * @brief Service times of one endpoint, learned online.
 *
 * Each class has a linear regression over size. A class with too few samples falls back to
 * the class of all kinds of the same stage.
 */
class ServiceTimes
{
public:
    /**
     * @brief Adds the service time of a completed run.
     * @param serviceClass Class of the run.
     * @param size Size in the stage's own unit; zero if unknown.
     * @param service Time that the run took at the endpoint.
     */
    void learn(const ServiceClass &serviceClass, double size, Duration service);

    /**
     * @brief Estimates the service time of a run.
     * @param serviceClass Class of the run.
     * @param size Size in the stage's own unit; zero if unknown.
     * @return Estimate, or nothing while there are too few samples.
     */
    [[nodiscard]] std::optional<Duration> estimate(const ServiceClass &serviceClass, double size) const;

    /*! @brief Returns the moving average of the service time over all classes; zero before the first run. */
    [[nodiscard]] Duration mean() const noexcept;

    /*! @brief Returns the moving average of microseconds per unit of size; zero before the first run. */
    [[nodiscard]] double perUnit() const noexcept;

private:
    void learnClass(const ServiceClass &serviceClass, double size, double microseconds);

    std::map<ServiceClass, RobustRegression> m_regressions;
    RobustRegression m_overall;
    RobustRegression m_perUnit;
};

} // namespace bergamottide
