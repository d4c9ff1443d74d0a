#pragma once

#include "bergamottide/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bergamottide::load {

/*! @brief Endpoint to which a call can be sent, with its expected load. */
struct LoadCandidate
{
    InstanceName instance;
    /*! @brief Requests of this process in progress there. */
    std::uint32_t own{};
    /*! @brief Expected requests of other processes. */
    double others{};
    std::uint32_t slots{};
    /*! @brief Expected duration of work there, relative to the usual time. */
    double pace{1.0};
};

/**
 * @brief Chooses the less loaded of two endpoints that are drawn by the hash of the attempt.
 *
 * Reports are out of date when they are used. If each process took the endpoint with the least reported load, processes
 * with similar reports would send their requests to the same endpoint until the next report.
 *
 * @param candidates Endpoints that accept the call.
 * @param attempt Identity of the request.
 * @return Index of the candidate; nothing if there are none.
 */
[[nodiscard]] std::optional<std::size_t> pickOfTwo(const std::vector<LoadCandidate> &candidates,
                                                   std::string_view attempt);

/*! @brief Returns the expected time of a call at an endpoint, relative to an unloaded one of one slot and usual pace.
 */
[[nodiscard]] double relativeCost(const LoadCandidate &candidate);

} // namespace bergamottide::load
