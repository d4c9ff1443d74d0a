#include "streamengine.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace bergamottide::test {

namespace {

using nlohmann::json;

constexpr Duration eventPeriod = std::chrono::milliseconds{100};
constexpr int tokensOfPart = 100;

HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.listen = "127.0.0.1:0";
    return options;
}

} // namespace

StreamEngine::StreamEngine(Loop &loop, std::string version)
    : m_loop{loop}
    , m_version{std::move(version)}
    , m_server{loop, serverOptions(),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   handle(request, responder);
               }}
{
    static_cast<void>(m_server.listen());
}

std::string StreamEngine::entry(const std::string &state) const
{
    return json{{"service", "pool"}, {"address", m_server.address()}, {"zone", "a"},
                {"slots", 64},       {"version", m_version},          {"state", state}}
        .dump();
}

void StreamEngine::setOtherRuns(std::size_t runs)
{
    m_otherRuns = runs;
}

void StreamEngine::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path == "/bergamottide/kv-list") {
        json parts = json::array();
        for (const std::string &part : m_parts) {
            parts.push_back({"", part, tokensOfPart, "m"});
        }
        responder->respond({200, {}, json{{"held", std::move(parts)}}.dump()});
        return;
    }
    const std::string prompt{headerValue(request.headers, "prompt-prefix")};
    const std::size_t last = prompt.rfind(',') + 1;
    m_parts.insert(prompt.substr(last, prompt.rfind(':') - last));
    ++m_running;
    responder->begin(200,
                     {{"attempt-id", std::string{headerValue(request.headers, "attempt-id")}},
                      {"response-seal", "seal"},
                      {"server-load", absl::StrCat(m_running + m_otherRuns, ",0,64")},
                      {"content-type", "text/event-stream"}});
    const std::string after{headerValue(request.headers, "last-event-id")};
    const auto isClosed = std::make_shared<bool>(false);
    responder->onClosed([this, isClosed] {
        *isClosed = true;
        --m_running;
    });
    sendEvent(responder, isClosed, after.empty() ? 0 : std::stoi(after) + 1);
}

void StreamEngine::sendEvent(const std::shared_ptr<HttpResponder> &responder, const std::shared_ptr<bool> &isClosed,
                             int number)
{
    if (*isClosed) {
        return;
    }
    responder->send(absl::StrCat("id: ", number, "\ndata: ", m_version, "\n\n"));
    m_loop.at(m_loop.now() + eventPeriod,
              [this, responder, isClosed, number] { sendEvent(responder, isClosed, number + 1); });
}

void publishChat(FakeStore &store, std::chrono::milliseconds limit)
{
    const json route{{"name", "chat"},
                     {"host", "chat"},
                     {"pathPrefix", "/chat/"},
                     {"kind", "streaming"},
                     {"timeoutMs", limit.count()},
                     {"service", "pool"},
                     {"maxAttempts", 2},
                     {"sticky", true},
                     {"resumable", true},
                     {"gapAimMs", 1000},
                     {"targetLatencyMs", 2000}};
    const json configuration{
        {"version", 3},
        {"routes", {route}},
        {"services",
         {{{"name", "pool"},
           {"maxConnections", 300},
           {"engine", {{"slots", 64}, {"kvCapacityTokens", 300'000}, {"models", {{{"name", "m"}}}}}}}}},
        {"tenants", {{{"name", "north"}, {"apiKeys", {"key"}}}}},
        {"limits",
         {{"maxHeaderBytes", 8000}, {"maxBodyBytes", 100'000}, {"headerTimeoutMs", 5000}, {"idleTimeoutMs", 10'000}}}};
    store.publish("op/config", configuration.dump());
}

HttpRequest chatRequest(const std::string &attempt, const std::string &prompt, std::chrono::milliseconds deadline)
{
    HttpRequest request;
    request.method = "POST";
    request.authority = "chat";
    request.path = "/chat/1";
    request.headers = {{"attempt-id", attempt},    {"deadline-ms", absl::StrCat(deadline.count())},
                       {"x-api-key", "key"},       {"model", "m"},
                       {"token-counts", "200,50"}, {"prompt-prefix", prompt}};
    return request;
}

void resumeAfter(HttpRequest &request, const std::string &firstAttempt, std::size_t event)
{
    request.headers.emplace_back("resumes", firstAttempt);
    request.headers.emplace_back("last-event-id", absl::StrCat(event));
}

} // namespace bergamottide::test
