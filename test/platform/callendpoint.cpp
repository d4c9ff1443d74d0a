#include "callendpoint.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace bergamottide::test {

namespace {

using nlohmann::json;

constexpr int statusUnavailable = 503;
/*! @brief One of so many stage calls is refused, where the endpoint refuses some. */
constexpr std::size_t refusalPeriod = 3;
/*! @brief One of so many answers is repeated. */
constexpr std::size_t repetitionPeriod = 4;
constexpr const char *stageCallPath = "/bergamottide/stage-run";

} // namespace

CallEndpoint::CallEndpoint(Repetition repetition, RepeatedPaths paths, Identities identities, bool refusesStageCalls)
    : m_identities{identities}
    , m_refusesStageCalls{refusesStageCalls}
    , m_server{repetition, repetitionPeriod, paths == RepeatedPaths::StageCalls ? stageCallPath : "",
               [this](const HttpRequest &request) {
                   return answer(request);
               }}
{
}

const RepeatingServer &CallEndpoint::server() const noexcept
{
    return m_server;
}

std::map<std::string, std::vector<std::string>> CallEndpoint::runs()
{
    const std::lock_guard lock{m_mutex};
    return m_runs;
}

bool CallEndpoint::isOwnInput(const std::string &attempt, const std::string &inputs)
{
    return inputs.empty() || absl::StrContains(inputs, absl::StrCat("/", attempt, "."));
}

HttpResponse CallEndpoint::answer(const HttpRequest &request)
{
    const std::string identity{headerValue(request.headers, "attempt-id")};
    if (request.path.starts_with("/bergamottide/")) {
        HttpResponse response = answerCall(request);
        if (m_identities == Identities::Repeated && !identity.empty()) {
            response.headers.emplace_back("attempt-id", identity);
        }
        return response;
    }
    const std::lock_guard lock{m_mutex};
    m_runs[identity].emplace_back(headerValue(request.headers, "inputs"));
    return {200, {{"attempt-id", identity}, {"response-seal", "seal"}}, "done"};
}

HttpResponse CallEndpoint::answerCall(const HttpRequest &request)
{
    if (request.path != stageCallPath) {
        return {200, {}, "{}"};
    }
    if (m_refusesStageCalls && ++m_calls % refusalPeriod == 0) {
        return {statusUnavailable, {{"not-executed", "1"}}, {}};
    }
    json items = json::array();
    const json call = json::parse(request.body);
    for (const json &item : call.at("items")) {
        items.push_back({{"handle", absl::StrCat("127.0.0.1:1/", item.at("id").get<std::string>(), ".", ++m_results)}});
    }
    return {200, {}, json{{"items", std::move(items)}}.dump()};
}

void publishStagedAndPlainShop(FakeStore &store, const std::string &stageService)
{
    const json stages{{{"service", stageService}, {"bytes", 1000}}};
    const json staged{{"name", "order"},   {"host", "shop"},     {"pathPrefix", "/order/"},
                      {"kind", "unsafe"},  {"timeoutMs", 20000}, {"targetLatencyMs", 20000},
                      {"service", "desk"}, {"maxAttempts", 1},   {"stages", stages}};
    const json plain{{"name", "plain"},   {"host", "shop"},    {"pathPrefix", "/plain/"}, {"kind", "unsafe"},
                     {"timeoutMs", 4000}, {"service", "desk"}, {"maxAttempts", 1}};
    const json pieces{{"slots", 4},  {"batch", 1},          {"callMs", 10},
                      {"itemMs", 1}, {"headroomMb", 100.0}, {"handleS", 4.0}};
    json services{{{"name", stageService}, {"pieces", pieces}}};
    if (stageService != "desk") {
        services.push_back({{"name", "desk"}});
    }
    const json configuration{{"version", 3},
                             {"routes", {staged, plain}},
                             {"services", std::move(services)},
                             {"tenants", {{{"name", "north"}, {"apiKeys", {"key"}}}}}};
    store.publish("op/config", configuration.dump());
}

void publishStageEndpoint(FakeStore &store, const std::string &address)
{
    const json entry{{"service", "cut"}, {"address", address}, {"zone", "a"}, {"slots", 1}, {"state", "ready"}};
    store.publish("servers/cut-1", entry.dump());
}

HttpRequest plainShopRequest(std::uint64_t attempt)
{
    HttpRequest request = shopRequest(attempt, "x");
    request.path = "/plain/7";
    return request;
}

} // namespace bergamottide::test
