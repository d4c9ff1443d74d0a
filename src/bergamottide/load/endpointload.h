#pragma once

#include <cstdint>
#include <optional>

namespace bergamottide::load {

/*! @brief Load that an endpoint reports in a response. */
struct EndpointLoad
{
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
    /*! @brief How long work takes on its machine at this moment, relative to the usual time; empty if not reported. */
    std::optional<double> pace;
};

} // namespace bergamottide::load
