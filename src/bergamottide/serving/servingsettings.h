#pragma once

#include "bergamottide/config/fieldtable.h"
#include "bergamottide/config/issue.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/requestfingerprint.h"
#include "bergamottide/telemetry/logline.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::serving {

/*! @brief Settings of a serving process, as read from its YAML file; addresses are IP addresses with port. */
struct ServingSettings
{
    InstanceName instance;
    ZoneName zone;
    RegionName region;
    /*! @brief Region of each availability zone; needed for requests that are restricted to regions. */
    std::map<ZoneName, RegionName> zones;
    /*! @brief Listening address for callers. */
    std::string callersAddress;
    /*! @brief Listening address for readiness checks of the load balancer. */
    std::string readyAddress;
    /*! @brief Listening address for peers. */
    std::string peersAddress;
    /*! @brief Peer addresses of some other processes to contact first; may be out of date. */
    std::vector<std::string> seeds;
    /*! @brief Address of the store in which the platform publishes the configuration and the endpoints. */
    std::string storeAddress;
    /*! @brief Listening address for metrics; empty to disable. */
    std::string metricsAddress;
    /*! @brief Time between the stop signal and the kill. */
    Duration gracePeriod{std::chrono::seconds{8}};
    /*! @brief Retries allowed for each request within `retryWindow`, over all processes. */
    double retryRatio{0.2};
    /*! @brief Retries allowed within `retryWindow` whatever the number of requests, over all processes. */
    double retrySlack{50.0};
    Duration retryWindow{std::chrono::seconds{10}};
    /*! @brief Processor time available to the instance, in cores. */
    double processorShare{1.0};
    /*! @brief Network bandwidth of the instance, in Mbit/s. */
    double linkMbps{1000.0};
    /*! @brief Memory held for callers at most, in bytes; zero for the default of `defaultMemoryLimit`. */
    std::uint32_t callersMemory{};
    /*! @brief Connections of callers at a time; zero for the default of `defaultMaxConnections`. */
    std::uint32_t callersConnections{};
    /*! @brief Bytes a second below which a caller that sends a body or takes a response is too slow. */
    std::uint32_t callersMinRate{1024};
    Severity logLevel{Severity::Info};
    /*! @brief Admission allows for the measured error of forecasts. */
    bool forecastMargin{};
    /*! @brief Scarce stage pools are shared among workspaces also if their endpoints report no pace. */
    bool shareStagePools{};
    /*! @brief Requests that are never quarantined. */
    std::vector<RequestFingerprint> releasedRequests;

    /*! @brief Returns the capacity of the instance in cores, limited by its processor share or its network bandwidth.
     */
    [[nodiscard]] double capacity() const noexcept;
};

/*! @brief Parsed settings, or all issues found. */
struct ServingSettingsResult
{
    std::optional<ServingSettings> settings;
    std::vector<ConfigIssue> issues;
};

/*! @brief Returns the table of fields, in the order of the reference page. */
[[nodiscard]] const FieldTable<ServingSettings> &servingSettingsFields();

/**
 * @brief Parses and validates settings.
 * @param yaml Content of the settings file.
 * @return The settings, or all issues found.
 */
[[nodiscard]] ServingSettingsResult parseServingSettings(std::string_view yaml);

} // namespace bergamottide::serving
