#include "bergamottide/endpoint/endpointwire.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <limits>
#include <utility>

namespace bergamottide {

namespace {

using Json = nlohmann::json;

constexpr int firstSuccessStatus = 200;
constexpr int firstRedirectStatus = 300;
constexpr int tooManyRequestsStatus = 429;
constexpr int serviceUnavailableStatus = 503;
/*! @brief Header with which an endpoint confirms that the run has not started. */
constexpr std::string_view notStartedHeader = "x-not-started";
/*! @brief Maximum number of models read from one report; further ones are ignored. */
constexpr std::size_t maxModels = 256;

std::string dump(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string toJsonValue(const std::string &text)
{
    if (text.empty()) {
        return "null";
    }
    return Json::accept(text) ? text : dump(Json(text));
}

HttpHeaders runHeaders(const StartRun &run)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(run.remaining);
    return {{"content-type", "application/json"},
            {"x-request-id", run.run.request.text()},
            {"x-run", runName(run.run)},
            {"x-stage", run.stage.text()},
            {"x-workspace", run.workspace.text()},
            {"x-priority", absl::StrCat(run.priority)},
            {"x-deadline", absl::StrCat(remaining.count(), "ms")}};
}

std::uint32_t uint32Field(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return 0;
    }
    const auto value = found->get<std::uint64_t>();
    return value > std::numeric_limits<std::uint32_t>::max() ? 0 : static_cast<std::uint32_t>(value);
}

std::vector<ModelName> parseModels(const Json &object)
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

HttpRequest stageRequest(const StartEndpointRun &start)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/run";
    request.headers = runHeaders(start.spec);
    request.body = absl::StrCat("{\"request\":", toJsonValue(start.spec.body),
                                ",\"previous\":", toJsonValue(start.spec.previousResult), "}");
    return request;
}

HttpRequest serviceRequest(const StartEndpointRun &start)
{
    HttpRequest request;
    request.method = start.pool.method;
    request.path = start.pool.path;
    request.headers = runHeaders(start.spec);
    request.body = start.spec.body;
    return request;
}

HttpRequest generateRequest(const StartEndpointRun &start, std::uint32_t fromToken, bool resume)
{
    const StartRun &run = start.spec;
    const Json engine{{"run", runName(run.run)},       {"model", run.model.text()},
                      {"adapter", run.adapter.text()}, {"version", run.modelVersion},
                      {"max_tokens", run.maxTokens},   {"priority", run.priority},
                      {"from_token", fromToken},       {"resume", resume}};
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/generate";
    request.headers = runHeaders(run);
    request.headers.emplace_back("accept", "text/event-stream");
    request.body = absl::StrCat("{\"engine\":", dump(engine), ",\"request\":", toJsonValue(run.body),
                                ",\"previous\":", toJsonValue(run.previousResult), "}");
    return request;
}

HttpRequest cancelRequest(const RunId &run)
{
    HttpRequest request;
    request.method = "DELETE";
    request.path = absl::StrCat("/v1/generate/", runName(run));
    return request;
}

HttpRequest orderRequest(const SendOrder &order)
{
    const Json body{{"fence", order.fencingToken},
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

std::optional<EndpointLoadReport> parseLoadReport(std::string_view body)
{
    const Json object = Json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    EndpointLoadReport report;
    report.running = uint32Field(object, "running");
    report.waiting = uint32Field(object, "waiting");
    report.models = parseModels(object);
    const auto fence = object.find("fence");
    if (fence != object.end() && fence->is_number_unsigned()) {
        report.highestFencingToken = fence->get<std::uint64_t>();
    }
    return report;
}

std::optional<TokenEvent> parseTokenEvent(std::string_view data)
{
    const Json object = Json::parse(data, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto text = object.find("text");
    if (text == object.end() || !text->is_string()) {
        return std::nullopt;
    }
    return TokenEvent{uint32Field(object, "offset"), uint32Field(object, "tokens"), text->get<std::string>()};
}

CallOutcome classifyResponse(int status, const HttpHeaders &headers)
{
    if (status >= firstSuccessStatus && status < firstRedirectStatus) {
        return {EndpointResult::Completed, Reason::None};
    }
    const bool isRefusalStatus = status == tooManyRequestsStatus || status == serviceUnavailableStatus;
    if (isRefusalStatus && headerValue(headers, notStartedHeader) == "1") {
        return {EndpointResult::Refused, Reason::Overloaded};
    }
    return {EndpointResult::Failed, Reason::EndpointFailed};
}

CallOutcome classifyFailure(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::Connect:
    case HttpFailure::ConnectTimeout:
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
