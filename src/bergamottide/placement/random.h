#pragma once

#include <cstdint>

namespace bergamottide {

/*! @brief SplitMix64 pseudorandom number generator; deterministic for a given seed. */
class Random
{
public:
    explicit Random(std::uint64_t seed) noexcept
        : m_state{seed}
    {
    }

    /*! @brief Returns the next 64 random bits. */
    [[nodiscard]] std::uint64_t next() noexcept
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        return mix(m_state);
    }

    /**
     * @brief Returns a uniformly distributed number below `bound`.
     * @param bound Above zero.
     */
    [[nodiscard]] std::uint32_t below(std::uint32_t bound) noexcept
    {
        return static_cast<std::uint32_t>(((next() >> 32U) * bound) >> 32U);
    }

    /*! @brief Finalizer of SplitMix64: each bit of the result depends on all bits of the value. */
    [[nodiscard]] static std::uint64_t mix(std::uint64_t value) noexcept
    {
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

private:
    std::uint64_t m_state;
};

} // namespace bergamottide
