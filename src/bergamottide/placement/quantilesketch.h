#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace bergamottide {

/**
 * @brief Quantiles of a ratio around 1, of the recent past, in constant memory.
 *
 * Counts in buckets whose bounds grow by a fixed factor; when the counts have grown large
 * all are halved, so that the last few hundred values decide.
 */
class QuantileSketch
{
public:
    /*! @brief Values from which on a quantile is told: fewer say nothing about the tail. */
    static constexpr std::uint32_t enough = 50;

    /*! @brief Adds a value; zero and less count as the smallest. */
    void add(double value) noexcept
    {
        ++m_counts[bucketOf(value)];
        if (++m_total >= forgetAt) {
            halve();
        }
    }

    /**
     * @brief Returns the value below which a share of the values lies.
     * @param share From 0 to 1.
     * @return The upper bound of its bucket, or nothing before there are `enough` values.
     */
    [[nodiscard]] std::optional<double> quantile(double share) const noexcept
    {
        if (m_total < enough) {
            return std::nullopt;
        }
        const double wanted = share * m_total;
        double seen = 0;
        for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
            seen += m_counts[bucket];
            if (seen >= wanted) {
                return std::exp2((static_cast<double>(bucket) + 1.0 - zeroBucket) / bucketsPerDoubling);
            }
        }
        return std::nullopt;
    }

private:
    static constexpr std::size_t bucketCount = 96;
    static constexpr double bucketsPerDoubling = 6.0;
    /*! @brief Bucket of the value 1: the range reaches from a 1/64 up to 1000. */
    static constexpr double zeroBucket = 36.0;
    static constexpr std::uint32_t forgetAt = 1000;

    [[nodiscard]] static std::size_t bucketOf(double value) noexcept
    {
        const double bucket = std::floor(std::log2(std::max(value, 1e-9)) * bucketsPerDoubling) + zeroBucket;
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
