#pragma once

#include "bergamottide/telemetry/metric.h"

#include <span>
#include <string_view>
#include <vector>

namespace bergamottide {

/*! @brief What the exposition and the reference page say about a metric. */
struct MetricInfo
{
    Metric metric{};
    MetricType type{};
    std::string_view help;
    /*! @brief Names of the labels in the order of `Observe::labels`. */
    std::vector<std::string_view> labels;
    /*! @brief Upper bounds of the buckets of a histogram, ascending. */
    std::vector<double> buckets;
};

/*! @brief Describes every metric, in the order of the enumerators. */
[[nodiscard]] std::span<const MetricInfo> metricInfos();

/*! @brief Writes the reference of the metrics as Markdown. */
[[nodiscard]] std::string metricReference();

} // namespace bergamottide
