#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamottide {

/*! @brief Role of an instance that the system talks to. */
enum class Role : std::uint8_t
{
    Entry,
    Side
};

template <>
struct EnumNames<Role>
{
    static constexpr std::array<std::string_view, 2> names{"entry", "side"};
};

/*! @brief One line of the platform's instance list. */
struct Instance
{
    InstanceName name;
    Role role{};
    RegionName region;
    ZoneName zone;
    /*! @brief IP number and port of the process of the system, `ip:port`. */
    std::string address;
    /*! @brief Pool of the endpoint beside a side; empty for an entry. */
    PoolName pool;
    /*! @brief The platform has announced that the instance leaves. */
    bool leaving{};

    [[nodiscard]] bool operator==(const Instance &) const = default;
};

/*! @brief The instance list as last heard; it lags behind the truth. */
struct InstanceView
{
    /*! @brief Revision of the list; grows with every change. */
    std::uint64_t revision{};
    std::map<InstanceName, Instance> instances;
};

} // namespace bergamottide
