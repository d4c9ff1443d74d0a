#pragma once

#include "bergamottide/core/fwd.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace bergamottide {

/*! @brief Attributes of a run that determine its expected service time. */
struct ServiceTimeKey
{
    const PipelineName &pipeline;
    const StageName &stage;
    const KindName &kind;
    /*! @brief Size of the run in the stage's unit; not negative. */
    double size{};
};

/**
 * @brief Moving average that is robust to outliers.
 *
 * Averages logarithms and clamps each sample to a factor of two around the mean, so that
 * the result is close to the median. The weight of a sample decreases to a constant, with
 * which a change of level is followed within a few dozen samples.
 */
class RobustMean
{
public:
    /**
     * @brief Adds a sample.
     * @param value Sample, above zero.
     */
    void add(double value);

    /*! @brief Returns the average; requires at least one sample. */
    [[nodiscard]] double value() const;

    /*! @brief Returns the number of samples, up to an upper bound. */
    [[nodiscard]] std::uint32_t samples() const noexcept;

private:
    double m_logMean{};
    std::uint32_t m_samples{};
};

/**
 * @brief Learns service times by stage, request kind and size.
 *
 * Sizes are grouped into classes by powers of two. The estimate of a class with few samples
 * is blended with that of its stage and kind, which is blended with that of its stage, and
 * that with the configured prior.
 */
class ServiceTimeEstimator
{
public:
    /**
     * @brief Estimates a service time.
     * @param key Stage, kind and size.
     * @param prior Service time from the configuration.
     * @return Estimate, above zero.
     */
    [[nodiscard]] Duration estimate(const ServiceTimeKey &key, Duration prior) const;

    /**
     * @brief Adds the service time of a completed run.
     * @param key Stage, kind and size.
     * @param service Time that the run took at the endpoint; ignored unless above zero.
     */
    void learn(const ServiceTimeKey &key, Duration service);

    /*! @brief Returns the number of classes by stage, kind and size. */
    [[nodiscard]] std::size_t classCount() const noexcept;

private:
    using StageKey = std::pair<std::string, std::string>;
    using ClassKey = std::tuple<std::string, std::string, std::string, int>;

    absl::flat_hash_map<StageKey, RobustMean> m_stages;
    absl::flat_hash_map<ClassKey, RobustMean> m_classes;
};

} // namespace bergamottide
