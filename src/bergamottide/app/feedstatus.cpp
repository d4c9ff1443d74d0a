#include "bergamottide/app/feedstatus.h"

#include <absl/strings/str_cat.h>

namespace bergamottide {

namespace {

nlohmann::json countsJson(const LongPollCounts &counts)
{
    return {{"reads", counts.reads}, {"values", counts.values}, {"errors", counts.errors}, {"bytes", counts.bytes}};
}

} // namespace

nlohmann::json feedStatus(const PlatformFeed &feed)
{
    nlohmann::json status{{"config_version", feed.version()},
                          {"config_digest", absl::StrCat(absl::Hex(feed.digest(), absl::kZeroPad16))},
                          {"view_revision", feed.revision()},
                          {"config_reads", countsJson(feed.configCounts())},
                          {"instance_reads", countsJson(feed.instanceCounts())}};
    const auto age = feed.confirmedAge();
    if (age) {
        status["config_confirmed_ms_ago"] = std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
    }
    return status;
}

} // namespace bergamottide
