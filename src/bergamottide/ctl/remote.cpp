#include "bergamottide/ctl/remote.h"

#include "bergamottide/config/units.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/telemetry/metric.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace bergamottide {

namespace {

using Json = nlohmann::ordered_json;

constexpr int minErrorStatus = 400;
constexpr Duration pollTimeout = std::chrono::milliseconds{50};

HttpRequest adminRequest(const std::string &key, std::string method, std::string path)
{
    HttpRequest request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.headers = {{"authorization", "Bearer " + key}};
    return request;
}

/*! @brief Answer of one process, or the failure of the call. */
struct Exchange
{
    std::string address;
    std::optional<HttpResponse> answer;
    std::string failure;
};

/*! @brief Sends a request to all addresses concurrently and waits for every answer. */
std::vector<Exchange> sendToAll(const ControlOptions &options, const std::vector<std::string> &addresses,
                                const HttpRequest &request)
{
    const SystemClock clock;
    Loop loop{clock};
    HttpClient client{loop, HttpClientOptions{.ioTimeout = options.timeout}};
    std::vector<Exchange> exchanges(addresses.size());
    std::size_t pending = addresses.size();
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        Exchange &exchange = exchanges[index];
        exchange.address = addresses[index];
        HttpCallHooks hooks;
        hooks.done = [&exchange, &pending](HttpResponse answer) {
            exchange.answer = std::move(answer);
            --pending;
        };
        hooks.failed = [&exchange, &pending](HttpFailure failure) {
            exchange.failure = enumName(failure);
            --pending;
        };
        (void)client.call(exchange.address, request, std::move(hooks));
    }
    while (pending > 0) {
        loop.runOnce(pollTimeout);
    }
    return exchanges;
}

/*! @brief Returns whether the call succeeded; prints an error otherwise. */
bool checkAnswer(const CommandContext &context, const Exchange &exchange)
{
    if (!exchange.answer) {
        context.err << exchange.address << ": The process did not answer (" << exchange.failure << ").\n";
        return false;
    }
    if (exchange.answer->status >= minErrorStatus) {
        context.err << exchange.address << ": The process answered with status " << exchange.answer->status << ": "
                    << exchange.answer->body << '\n';
        return false;
    }
    return true;
}

} // namespace

ExitCode showStatus(const CommandContext &context, const std::vector<std::string> &arguments)
{
    bool allSucceeded = true;
    Json all = Json::array();
    for (const Exchange &exchange :
         sendToAll(context.options, arguments, adminRequest(context.options.key, "GET", "/status"))) {
        if (!checkAnswer(context, exchange)) {
            allSucceeded = false;
            continue;
        }
        const Json state = Json::parse(exchange.answer->body, nullptr, false);
        all.push_back({{"address", exchange.address}, {"status", state.is_discarded() ? Json{} : state}});
        if (context.options.output == OutputFormat::Text) {
            context.out << exchange.address << ' ' << exchange.answer->body << '\n';
        }
    }
    if (context.options.output == OutputFormat::Json) {
        context.out << all.dump(2) << '\n';
    }
    return allSucceeded ? ExitCode::Ok : ExitCode::Failed;
}

ExitCode showAudit(const CommandContext &context, const std::vector<std::string> &arguments)
{
    bool allSucceeded = true;
    std::vector<std::string> trails;
    for (Exchange &exchange :
         sendToAll(context.options, arguments, adminRequest(context.options.key, "GET", "/audit"))) {
        if (!checkAnswer(context, exchange)) {
            allSucceeded = false;
            continue;
        }
        trails.push_back(std::move(exchange.answer->body));
    }
    for (const std::string &line : mergeAuditTrails(trails)) {
        if (context.options.output == OutputFormat::Json) {
            context.out << line << '\n';
            continue;
        }
        const Json entry = Json::parse(line);
        for (const char *const field : {"time", "instance", "kind", "subject", "cause", "detail"}) {
            context.out << entry.value(field, "") << ' ';
        }
        context.out << '\n';
    }
    return allSucceeded ? ExitCode::Ok : ExitCode::Failed;
}

ExitCode drainProcess(const CommandContext &context, const std::vector<std::string> &arguments)
{
    const auto exchanges = sendToAll(context.options, arguments, adminRequest(context.options.key, "POST", "/drain"));
    if (!checkAnswer(context, exchanges.front())) {
        return ExitCode::Failed;
    }
    if (context.options.output == OutputFormat::Json) {
        context.out << Json{{"address", exchanges.front().address}, {"draining", true}}.dump() << '\n';
    } else {
        context.out << exchanges.front().address << ": The process is draining.\n";
    }
    return ExitCode::Ok;
}

ExitCode submitRequest(const CommandContext &context, const std::vector<std::string> &arguments)
{
    const auto body = context.readFile(arguments[2]);
    if (!body) {
        context.err << arguments[2] << ": The file cannot be read.\n";
        return ExitCode::Failed;
    }
    ControlOptions options = context.options;
    // The answer may take as long as the deadline of the request, which the entry enforces.
    options.timeout = std::max<Duration>(options.timeout, std::chrono::minutes{11});
    const auto exchanges = sendToAll(options, {arguments[0]}, makeSubmission(options, arguments[1], *body));
    if (!exchanges.front().answer) {
        (void)checkAnswer(context, exchanges.front());
        return ExitCode::Failed;
    }
    const HttpResponse &answer = *exchanges.front().answer;
    context.out << answer.body << '\n';
    return answer.status < minErrorStatus ? ExitCode::Ok : ExitCode::No;
}

std::vector<std::string> mergeAuditTrails(const std::vector<std::string> &trails)
{
    std::vector<std::pair<std::string, std::string>> linesByTime;
    for (const std::string &trail : trails) {
        std::istringstream lines{trail};
        for (std::string line; std::getline(lines, line);) {
            const Json entry = Json::parse(line, nullptr, false);
            if (!entry.is_object() || !entry.contains("time") || !entry["time"].is_string()) {
                continue;
            }
            linesByTime.emplace_back(entry["time"].get<std::string>(), line);
        }
    }
    // Times sort as text; a stable sort keeps the order of equal times.
    std::stable_sort(linesByTime.begin(), linesByTime.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<std::string> merged;
    merged.reserve(linesByTime.size());
    for (auto &[time, line] : linesByTime) {
        merged.push_back(std::move(line));
    }
    return merged;
}

void addStageCosts(const std::string &metrics, StageCosts &costs)
{
    constexpr std::string_view label = "stage=\"";
    std::istringstream lines{metrics};
    for (std::string line; std::getline(lines, line);) {
        const bool useful = line.starts_with(enumName(Metric::StageUsefulSecondsTotal));
        const bool wasted = line.starts_with(enumName(Metric::StageWastedSecondsTotal));
        const auto start = line.find(label);
        const auto space = line.rfind(' ');
        if ((!useful && !wasted) || start == std::string::npos || space == std::string::npos) {
            continue;
        }
        const auto end = line.find('"', start + label.size());
        StageCost &cost = costs[line.substr(start + label.size(), end - start - label.size())];
        const double seconds = parseNumber(std::string_view{line}.substr(space + 1)).value_or(0.0);
        (useful ? cost.usefulSeconds : cost.wastedSeconds) += seconds;
    }
}

StageCosts readStageCosts(const CommandContext &context)
{
    StageCosts costs;
    const ControlOptions &options = context.options;
    for (const Exchange &exchange :
         sendToAll(options, options.admins, adminRequest(options.adminKey, "GET", "/metrics"))) {
        if (checkAnswer(context, exchange)) {
            addStageCosts(exchange.answer->body, costs);
        }
    }
    return costs;
}

HttpRequest makeSubmission(const ControlOptions &options, const std::string &pipeline, const std::string &body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/pipelines/" + pipeline;
    request.headers = {{"authorization", "Bearer " + options.key}, {"content-type", "application/json"}};
    if (!options.kind.empty()) {
        request.headers.emplace_back("x-kind", options.kind);
    }
    if (!options.deadline.empty()) {
        request.headers.emplace_back("x-deadline", options.deadline);
    }
    request.body = body;
    return request;
}

} // namespace bergamottide
