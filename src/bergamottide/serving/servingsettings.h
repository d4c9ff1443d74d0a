#pragma once

#include "bergamottide/config/fieldtable.h"
#include "bergamottide/config/issue.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/telemetry/logline.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::serving {

/*! @brief Settings of a process that serves callers and calls endpoints itself; addresses are IP numbers with ports. */
struct ServingSettings
{
    InstanceName instance;
    ZoneName zone;
    RegionName region;
    /*! @brief Region of each availability zone; binds requests that may run in some regions only. */
    std::map<ZoneName, RegionName> zones;
    std::string callersAddress;
    /*! @brief Where the balancer asks whether new connections may come. */
    std::string readyAddress;
    /*! @brief Where other processes of the system are listened for. */
    std::string peersAddress;
    /*! @brief Peers addresses of some processes, which may be out of date. */
    std::vector<std::string> seeds;
    /*! @brief Store in which the platform publishes configuration and endpoints. */
    std::string storeAddress;
    /*! @brief Where metrics are served; empty for none. */
    std::string metricsAddress;
    /*! @brief Time between the request to stop and the kill. */
    Duration gracePeriod{std::chrono::seconds{8}};
    /*! @brief Repeats allowed for each request, over all processes, in `retryWindow`. */
    double retryRatio{0.2};
    double retrySlack{50.0};
    Duration retryWindow{std::chrono::seconds{10}};
    /*! @brief Share of a core that the instance has. */
    double processorShare{1.0};
    /*! @brief Bandwidth of the instance's link, in Mbit/s. */
    double linkMbps{1000.0};
    Severity logLevel{Severity::Info};

    /*! @brief Returns what the instance can carry, in cores: its share, or what its link allows if that is less. */
    [[nodiscard]] double strength() const noexcept;
};

/*! @brief Outcome of reading settings: the settings, or every error. */
struct ServingSettingsResult
{
    std::optional<ServingSettings> settings;
    std::vector<ConfigIssue> issues;
};

/*! @brief Fields of the settings, in the order of the reference page. */
[[nodiscard]] const FieldTable<ServingSettings> &servingSettingsFields();

/**
 * @brief Reads and validates settings.
 * @param yaml Text of the file.
 * @return The settings, or every issue.
 */
[[nodiscard]] ServingSettingsResult parseServingSettings(std::string_view yaml);

} // namespace bergamottide::serving
