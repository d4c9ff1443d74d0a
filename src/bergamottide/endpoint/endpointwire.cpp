#include "bergamottide/endpoint/endpointwire.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <limits>
#include <utility>

namespace bergamottide {

namespace {

using Json = nlohmann::json;

constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;
/*! @brief Header by which an endpoint says that it has not begun. */
constexpr std::string_view notStartedHeader = "x-not-started";
/*! @brief Models read from one report; a longer list is cut, it only steers placement. */
constexpr std::size_t maxModels = 256;

std::string dump(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string jsonOf(const std::string &text)
{
    if (text.empty()) {
        return "null";
    }
    return Json::accept(text) ? text : dump(Json(text));
}

HttpHeaders runHeaders(const StartRun &run)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(run.remaining);
    return {{"content-type", "application/json"},
            {"x-request-id", run.run.request.text()},
            {"x-run", runName(run.run)},
            {"x-stage", run.stage.text()},
            {"x-workspace", run.workspace.text()},
            {"x-priority", absl::StrCat(run.priority)},
            {"x-deadline", absl::StrCat(left.count(), "ms")}};
}

std::uint32_t smallNumber(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return 0;
    }
    const auto value = found->get<std::uint64_t>();
    return value > std::numeric_limits<std::uint32_t>::max() ? 0 : static_cast<std::uint32_t>(value);
}

std::vector<ModelName> modelsOf(const Json &object)
{
    std::vector<ModelName> models;
    const auto found = object.find("models");
    if (found == object.end() || !found->is_array()) {
        return models;
    }
    for (const Json &model : *found) {
        if (!model.is_string() || models.size() == maxModels) {
            continue;
        }
        models.emplace_back(model.get<std::string>());
    }
    return models;
}

} // namespace

std::string runName(const RunId &run)
{
    return absl::StrCat(run.request.text(), "-", run.stage, "-", run.attempt);
}

HttpRequest stageRequest(const EndpointStart &start)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/run";
    request.headers = runHeaders(start.run);
    request.body =
        absl::StrCat("{\"request\":", jsonOf(start.run.body), ",\"previous\":", jsonOf(start.run.previous), "}");
    return request;
}

HttpRequest serviceRequest(const EndpointStart &start)
{
    HttpRequest request;
    request.method = start.pool.method;
    request.path = start.pool.path;
    request.headers = runHeaders(start.run);
    request.body = start.run.body;
    return request;
}

HttpRequest generateRequest(const EndpointStart &start, std::uint32_t fromToken, bool resume)
{
    const StartRun &run = start.run;
    const Json engine{{"run", runName(run.run)},       {"model", run.model.text()},
                      {"adapter", run.adapter.text()}, {"version", run.modelVersion},
                      {"max_tokens", run.maxTokens},   {"priority", run.priority},
                      {"from_token", fromToken},       {"resume", resume}};
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/generate";
    request.headers = runHeaders(run);
    request.headers.emplace_back("accept", "text/event-stream");
    request.body = absl::StrCat("{\"engine\":", dump(engine), ",\"request\":", jsonOf(run.body),
                                ",\"previous\":", jsonOf(run.previous), "}");
    return request;
}

HttpRequest stopRequest(const RunId &run)
{
    HttpRequest request;
    request.method = "DELETE";
    request.path = absl::StrCat("/v1/generate/", runName(run));
    return request;
}

HttpRequest orderRequest(const GiveOrder &order)
{
    const Json body{{"fence", order.fence},
                    {"kind", std::string{enumName(order.kind)}},
                    {"model", order.model.text()},
                    {"adapter", order.adapter.text()},
                    {"version", order.version}};
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/orders";
    request.headers = {{"content-type", "application/json"}};
    request.body = dump(body);
    return request;
}

std::optional<EndpointReport> readReport(std::string_view body)
{
    const Json object = Json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    EndpointReport report;
    report.running = smallNumber(object, "running");
    report.waiting = smallNumber(object, "waiting");
    report.models = modelsOf(object);
    const auto fence = object.find("fence");
    if (fence != object.end() && fence->is_number_unsigned()) {
        report.fence = fence->get<std::uint64_t>();
    }
    return report;
}

std::optional<EngineEvent> readEngineEvent(std::string_view data)
{
    const Json object = Json::parse(data, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto text = object.find("text");
    if (text == object.end() || !text->is_string()) {
        return std::nullopt;
    }
    return EngineEvent{smallNumber(object, "offset"), smallNumber(object, "tokens"), text->get<std::string>()};
}

CallEnd judgeAnswer(int status, const HttpHeaders &headers)
{
    if (status >= firstSuccess && status < firstRedirect) {
        return {EndpointResult::Completed, Reason::None};
    }
    const bool mayRefuse = status == tooManyRequests || status == serviceUnavailable;
    if (mayRefuse && headerValue(headers, notStartedHeader) == "1") {
        return {EndpointResult::Refused, Reason::Overloaded};
    }
    return {EndpointResult::Failed, Reason::EndpointFailed};
}

CallEnd judgeFailure(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::Connect:
        return {EndpointResult::Refused, Reason::EndpointFailed};
    case HttpFailure::TooLarge:
        return {EndpointResult::Failed, Reason::AnswerTooLarge};
    case HttpFailure::Broken:
        return {EndpointResult::Failed, Reason::EndpointSilent};
    case HttpFailure::Malformed:
        break;
    }
    return {EndpointResult::Failed, Reason::EndpointFailed};
}

} // namespace bergamottide
