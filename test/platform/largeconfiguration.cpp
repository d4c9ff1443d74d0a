#include "platform/largeconfiguration.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bergamottide::test {

using nlohmann::json;

std::string largeConfiguration(std::uint64_t version, std::size_t bytes)
{
    json routes = json::array();
    json workspaces = json::array();
    std::size_t written = 0;
    for (std::size_t number = 0; written < bytes; ++number) {
        const std::string name = absl::StrCat("name-", number);
        routes.push_back({{"name", name},
                          {"host", absl::StrCat(name, ".example")},
                          {"pathPrefix", absl::StrCat("/", name, "/")},
                          {"kind", "safe"},
                          {"timeoutMs", 2000},
                          {"service", "desk"},
                          {"maxAttempts", 2}});
        workspaces.push_back({{"name", name}, {"apiKeys", {absl::StrCat("key-", number)}}});
        written += routes.back().dump().size() + workspaces.back().dump().size();
    }
    return json{{"version", version}, {"routes", routes}, {"services", {{{"name", "desk"}}}}, {"tenants", workspaces}}
        .dump();
}

std::string configurationChanges(std::size_t versions, std::size_t bytes)
{
    json events = json::array();
    for (std::size_t version = 1; version <= versions; ++version) {
        events.push_back({{"key", "op/config"},
                          {"value", absl::Base64Escape(largeConfiguration(version, bytes))},
                          {"revision", version}});
    }
    return json{{"events", events}, {"storeRevision", versions}}.dump();
}

} // namespace bergamottide::test
