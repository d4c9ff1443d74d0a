#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamottide {

/*! @brief Role of a process of the system on its instance. */
enum class Role : std::uint8_t
{
    /*! @brief Accepts requests from callers. */
    Entry,
    /*! @brief Runs beside an endpoint and forwards requests to it. */
    Sidecar
};

template <>
struct EnumNames<Role>
{
    static constexpr std::array<std::string_view, 2> names{"entry", "side"};
};

/*! @brief Entry of the platform's instance list. */
struct Instance
{
    InstanceName name;
    Role role{};
    RegionName region;
    ZoneName zone;
    /*! @brief Address of the process of the system, `ip:port`. */
    std::string address;
    /*! @brief Pool of the endpoint on the instance; empty for an entry. */
    PoolName pool;
    /*! @brief The platform has announced the removal of the instance. */
    bool leaving{};

    [[nodiscard]] bool operator==(const Instance &) const = default;
};

/*! @brief Last received instance list; it may be stale. */
struct InstanceView
{
    /*! @brief Revision of the list; increases with every change. */
    std::uint64_t revision{};
    std::map<InstanceName, Instance> instances;
};

} // namespace bergamottide
