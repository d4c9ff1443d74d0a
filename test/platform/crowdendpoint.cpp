#include "crowdendpoint.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string_view>

namespace bergamottide::test {

namespace {

using nlohmann::json;

constexpr std::size_t eventBytes = 64U << 10U;
constexpr std::size_t eventCount = 64;
constexpr Duration lateAnswer = std::chrono::seconds{3};

HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.listen = "127.0.0.1:0";
    return options;
}

} // namespace

CrowdEndpoint::CrowdEndpoint(Loop &loop)
    : m_loop{loop}
    , m_server{loop, serverOptions(),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   handle(request, responder);
               }}
{
    static_cast<void>(m_server.listen());
}

std::string CrowdEndpoint::address() const
{
    return m_server.address();
}

void CrowdEndpoint::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    HttpHeaders headers{{"attempt-id", std::string{headerValue(request.headers, "attempt-id")}},
                        {"response-seal", "seal"}};
    if (request.path.starts_with("/events/")) {
        headers.emplace_back("content-type", "text/event-stream");
        responder->begin(200, headers);
        for (std::size_t event = 0; event < eventCount; ++event) {
            responder->send(absl::StrCat("id: ", event, "\ndata: ", std::string(eventBytes, 'x'), "\n\n"));
        }
        responder->finish();
        return;
    }
    if (request.path == "/order/late") {
        m_loop.at(m_loop.now() + lateAnswer, [responder, headers] { responder->respond({200, headers, "late"}); });
        return;
    }
    responder->respond(
        {200, headers, request.path == "/order/large" ? std::string(largeBytes, 'x') : std::string{"answer"}});
}

void publishCrowdRoutes(FakeStore &store, const std::string &endpoint, std::size_t maxBodyBytes)
{
    const auto route = [](const std::string &name, const std::string &kind) {
        return json{{"name", name},    {"host", "shop"},     {"pathPrefix", "/" + name + "/"},
                    {"kind", kind},    {"timeoutMs", 20000}, {"service", "desk"},
                    {"maxAttempts", 1}};
    };
    const json configuration{{"version", 3},
                             {"routes", {route("order", "safe"), route("events", "streaming")}},
                             {"services", {{{"name", "desk"}}}},
                             {"tenants", {{{"name", "north"}, {"apiKeys", {"key"}}}}},
                             {"limits",
                              {{"maxHeaderBytes", 16384},
                               {"maxBodyBytes", maxBodyBytes},
                               {"headerTimeoutMs", 3000},
                               {"idleTimeoutMs", 15000}}}};
    const json instance{{"service", "desk"}, {"address", endpoint}, {"zone", "a"}, {"slots", 1000}, {"state", "ready"}};
    store.publish("op/config", configuration.dump());
    store.publish("servers/desk-1", instance.dump());
}

HttpHeaders crowdFields(std::size_t number)
{
    return {{"attempt-id", absl::StrCat("crowd-", number)}, {"deadline-ms", "60000"}, {"x-api-key", "key"}};
}

std::string crowdHead(const std::string &method, const std::string &path, std::size_t number, const std::string &lines)
{
    std::string head = absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: shop\r\n");
    for (const auto &[name, value] : crowdFields(number)) {
        absl::StrAppend(&head, name, ": ", value, "\r\n");
    }
    return absl::StrCat(head, lines, "\r\n");
}

} // namespace bergamottide::test
