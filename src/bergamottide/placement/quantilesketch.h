#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace bergamottide {

/**
 * @brief Streaming quantile estimate over recent ratios, in constant memory.
 *
 * Histogram with logarithmic buckets from 1/64 to 1024. All counts are halved when their
 * sum reaches a threshold, so that the last few hundred values dominate.
 */
class QuantileSketch
{
public:
    /*! @brief Number of values below which no quantile is returned. */
    static constexpr std::uint32_t minSamples = 50;

    /*! @brief Adds a value; values out of range are counted in the first or last bucket. */
    void add(double value) noexcept
    {
        ++m_counts[bucketOf(value)];
        if (++m_total >= halvingThreshold) {
            halve();
        }
    }

    /**
     * @brief Returns a quantile.
     * @param share From 0 to 1.
     * @return Upper bound of its bucket, or nothing if there are fewer than `minSamples` values.
     */
    [[nodiscard]] std::optional<double> quantile(double share) const noexcept
    {
        if (m_total < minSamples) {
            return std::nullopt;
        }
        const double rank = share * m_total;
        double cumulative = 0;
        for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
            cumulative += m_counts[bucket];
            if (cumulative >= rank) {
                return std::exp2((static_cast<double>(bucket) + 1.0 - unitBucket) / bucketsPerDoubling);
            }
        }
        return std::nullopt;
    }

private:
    static constexpr std::size_t bucketCount = 96;
    static constexpr double bucketsPerDoubling = 6.0;
    /*! @brief Bucket of the value 1. */
    static constexpr double unitBucket = 36.0;
    static constexpr std::uint32_t halvingThreshold = 1000;

    [[nodiscard]] static std::size_t bucketOf(double value) noexcept
    {
        const double bucket = std::floor(std::log2(std::max(value, 1e-9)) * bucketsPerDoubling) + unitBucket;
        return static_cast<std::size_t>(std::clamp(bucket, 0.0, static_cast<double>(bucketCount - 1)));
    }

    void halve() noexcept
    {
        m_total = 0;
        for (std::uint32_t &count : m_counts) {
            count /= 2;
            m_total += count;
        }
    }

    std::array<std::uint32_t, bucketCount> m_counts{};
    std::uint32_t m_total{};
};

} // namespace bergamottide
