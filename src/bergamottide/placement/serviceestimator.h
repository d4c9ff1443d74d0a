#pragma once

#include "bergamottide/core/fwd.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace bergamottide {

/*! @brief What a service time depends on. */
struct ServiceKey
{
    const PipelineName &pipeline;
    const StageName &stage;
    const KindName &kind;
    /*! @brief Size of the work in the stage's own unit; not negative. */
    double size{};
};

/**
 * @brief Running estimate that an outlier moves only a little.
 *
 * Works on the logarithm, with each step clipped, so that it settles near the median of
 * what it is told: a value a thousand times too large counts like one that is twice as
 * large. The first samples move it fast, later ones by a fixed share, so that it follows
 * a change of level within about twenty samples.
 */
class RobustMean
{
public:
    /**
     * @brief Adds a sample.
     * @param value Above zero.
     */
    void add(double value);

    /*! @brief Returns the estimate; requires one sample. */
    [[nodiscard]] double value() const;

    /*! @brief Returns the number of samples, up to a thousand. */
    [[nodiscard]] std::uint32_t samples() const noexcept;

private:
    double m_log{};
    std::uint32_t m_samples{};
};

/**
 * @brief Learns service times by stage, request kind and size.
 *
 * Load: short and long work mixed in one stage, with a few runs that take far longer than
 * their like. Harm prevented: admission and placement that believe in an average nobody
 * has, or in one outlier. A size falls into a class of its power of two; a class with few
 * samples leans on its stage and kind, that on its stage, and that on the document's
 * prior, each counting as much as a handful of samples.
 */
class ServiceEstimator
{
public:
    /**
     * @brief Estimates a service time.
     * @param key Stage, kind and size.
     * @param prior Service time the document expects.
     * @return The estimate, above zero.
     */
    [[nodiscard]] Duration estimate(const ServiceKey &key, Duration prior) const;

    /**
     * @brief Learns from a run that has ended.
     * @param key Stage, kind and size.
     * @param service Time at the endpoint; zero and less are ignored.
     */
    void learn(const ServiceKey &key, Duration service);

    /*! @brief Returns the number of classes kept. */
    [[nodiscard]] std::size_t classes() const noexcept;

private:
    using StageKey = std::pair<std::string, std::string>;
    using ClassKey = std::tuple<std::string, std::string, std::string, int>;

    absl::flat_hash_map<StageKey, RobustMean> m_stages;
    absl::flat_hash_map<ClassKey, RobustMean> m_classes;
};

} // namespace bergamottide
