#include "bergamottide/serving/servingsettings.h"

#include "bergamottide/overload/memoryaccount.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bergamottide::serving {

namespace {

constexpr YamlLimits settingsLimits{.bytes = 1U << 16U, .depth = 4, .nodes = 1000};
constexpr std::size_t maxSeeds = 16;
constexpr std::size_t maxZones = 200;
constexpr std::size_t maxReleasedRequests = 100;
constexpr Duration maxGracePeriod = std::chrono::minutes{10};
constexpr Duration maxRetryWindow = std::chrono::minutes{10};
constexpr double maxRetrySlack = 1e6;
constexpr double maxProcessorShare = 1024.0;
constexpr double maxLinkMbps = 1e6;
/*! @brief Has room for one request with a body of 4 MiB and its response of 8 MiB. */
constexpr std::uint32_t minCallersMemory = 64U << 20U;
constexpr std::uint32_t maxCallersMemory = 3U << 30U;
constexpr std::uint32_t maxCallersConnections = 100'000;
constexpr std::uint32_t maxCallersMinRate = 1U << 20U;
/*! @brief Bandwidth that one core of work needs: a queue owner sends some kilobytes for each millisecond of processor
 * time. */
constexpr double linkMbpsPerCore = 200.0;

/*! @brief Checks that the connections find room in the memory that is set aside for them. */
void checkConnections(const ServingSettings &settings, const LineIndex &lines, IssueList &issues)
{
    constexpr std::string_view field = "callersConnections";
    const std::size_t most = overload::MemoryAccount::mostHolders(settings.callersMemory);
    if (settings.callersMemory == 0 || settings.callersConnections <= most) {
        return;
    }
    issues.add(lineOf(lines, field), std::string{field}, IssueKind::Conflict,
               "callersMemory has room for " + std::to_string(most) + " connections at most.");
}

} // namespace

const FieldTable<ServingSettings> &servingSettingsFields()
{
    constexpr auto optional = Presence::Optional;
    constexpr auto required = Presence::Required;
    using S = ServingSettings;
    static const FieldTable<S> table{
        scalarField("instance", &S::instance, nameType<InstanceName>(), required, "Name of the instance."),
        scalarField("zone", &S::zone, nameType<ZoneName>(), required, "Availability zone of the instance."),
        scalarField("region", &S::region, nameType<RegionName>(), required, "Region of the instance."),
        mapField("zones", &S::zones, nameType<ZoneName>(), nameType<RegionName>(), maxZones,
                 "Region of each availability zone."),
        scalarField("callersAddress", &S::callersAddress, addressType(), required, "Where callers are listened for."),
        scalarField("readyAddress", &S::readyAddress, addressType(), required,
                    "Where the balancer asks for readiness."),
        scalarField("peersAddress", &S::peersAddress, addressType(), required,
                    "Where other processes of the system are listened for."),
        listField("seeds", &S::seeds, addressType(), maxSeeds,
                  "Addresses of some other processes; they may be out of date."),
        scalarField("storeAddress", &S::storeAddress, addressType(), required,
                    "Store in which the platform publishes what is served."),
        scalarField("metricsAddress", &S::metricsAddress, addressType(), optional, "Where metrics are served."),
        scalarField("gracePeriod", &S::gracePeriod, durationType(std::chrono::seconds{1}, maxGracePeriod), optional,
                    "Time between the request to stop and the kill."),
        scalarField("retryRatio", &S::retryRatio, numberType(0.0, 1.0), optional,
                    "Repeats for each request that all processes may send."),
        scalarField("retrySlack", &S::retrySlack, numberType(0.0, maxRetrySlack), optional,
                    "Repeats that all processes may send in any window."),
        scalarField("retryWindow", &S::retryWindow, durationType(std::chrono::seconds{1}, maxRetryWindow), optional,
                    "Window of the two bounds."),
        scalarField("processorShare", &S::processorShare, numberType(0.0, maxProcessorShare), optional,
                    "Share of a core that the instance has, in cores."),
        scalarField("linkMbps", &S::linkMbps, numberType(0.0, maxLinkMbps), optional,
                    "Bandwidth of the instance's link, in Mbit/s."),
        scalarField("callersMemory", &S::callersMemory, sizeType(minCallersMemory, maxCallersMemory), optional,
                    "Memory held for callers at most."),
        scalarField("callersConnections", &S::callersConnections, wholeType<std::uint32_t>(1, maxCallersConnections),
                    optional, "Connections of callers at a time."),
        scalarField("callersMinRate", &S::callersMinRate, sizeType(1, maxCallersMinRate), optional,
                    "Bytes a second below which a caller that sends a body or takes a response is too slow."),
        scalarField("forecastMargin", &S::forecastMargin, flagType(), optional,
                    "Whether admission allows for the measured error of forecasts."),
        scalarField("shareStagePools", &S::shareStagePools, flagType(), optional,
                    "Whether all scarce stage pools are shared among workspaces."),
        listField("releasedRequests", &S::releasedRequests, nameType<RequestFingerprint>(), maxReleasedRequests,
                  "Fingerprints of requests and prompt parts that are never quarantined."),
        scalarField("logLevel", &S::logLevel, choiceType<Severity>(), optional, "Lowest severity that is logged."),
    };
    return table;
}

double ServingSettings::capacity() const noexcept
{
    return std::min(processorShare, linkMbps / linkMbpsPerCore);
}

ServingSettingsResult parseServingSettings(std::string_view yaml)
{
    IssueList issues;
    const YamlNode root = readYaml(yaml, settingsLimits, issues);
    ServingSettings settings;
    if (issues.empty()) {
        readRecord(root, {}, servingSettingsFields(), settings, issues);
    }
    if (issues.empty()) {
        LineIndex lines;
        IssueList repeatedKeys;
        indexYaml(root, lines, repeatedKeys);
        checkConnections(settings, lines, issues);
    }
    ServingSettingsResult result;
    result.issues = issues.take();
    if (result.issues.empty()) {
        result.settings = std::move(settings);
    }
    return result;
}

} // namespace bergamottide::serving
