#include "bergamottide/ctl/explain.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace bergamottide {

namespace {

using Json = nlohmann::ordered_json;

/*! @brief A parsed log line. */
struct LogEntry
{
    std::string time;
    std::string instance;
    std::string severity;
    std::string text;
    std::vector<std::pair<std::string, std::string>> fields;

    [[nodiscard]] std::string field(std::string_view name) const
    {
        for (const auto &[key, value] : fields) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }
};

/*! @brief Parses a line; skips any prefix before the JSON object. */
std::optional<LogEntry> parseLogEntry(const std::string &line)
{
    const auto brace = line.find('{');
    if (brace == std::string::npos) {
        return std::nullopt;
    }
    const Json json = Json::parse(line.substr(brace), nullptr, false);
    if (!json.is_object() || !json.contains("time") || !json.contains("text")) {
        return std::nullopt;
    }
    LogEntry entry;
    entry.time = json.value("time", "");
    entry.instance = json.value("instance", "");
    entry.severity = json.value("severity", "");
    entry.text = json.value("text", "");
    const auto fields = json.find("fields");
    if (fields == json.end() || !fields->is_object()) {
        return entry;
    }
    for (const auto &[name, value] : fields->items()) {
        entry.fields.emplace_back(name, value.is_string() ? value.get<std::string>() : value.dump());
    }
    return entry;
}

bool mentionsRequest(const LogEntry &entry, const std::string &request)
{
    if (entry.field("request") == request) {
        return true;
    }
    const std::vector<std::string> list = absl::StrSplit(entry.field("requests"), ',');
    return std::find(list.begin(), list.end(), request) != list.end();
}

/*! @brief Returns whether a line is about the state of the process, an endpoint or a peer, not about a request. */
bool isStateChange(const LogEntry &entry)
{
    return entry.field("request").empty() && entry.field("requests").empty();
}

std::string formatEntry(const LogEntry &entry, bool isAboutRequest)
{
    std::string out =
        absl::StrCat(entry.time, " ", entry.instance, isAboutRequest ? "  " : "    (meanwhile) ", entry.text);
    for (const auto &[name, value] : entry.fields) {
        if (name != "request" && name != "requests") {
            absl::StrAppend(&out, " ", name, "=", value);
        }
    }
    return out;
}

/*! @brief Processes, endpoints and time span of the lines about one request. */
struct RequestTrace
{
    std::set<std::string> instances;
    std::set<std::string> endpoints;
    std::string begin;
    std::string end;
};

RequestTrace traceRequest(const std::vector<LogEntry> &entries, const std::string &request)
{
    RequestTrace trace;
    for (const LogEntry &entry : entries) {
        if (!mentionsRequest(entry, request)) {
            continue;
        }
        trace.instances.insert(entry.instance);
        trace.endpoints.insert(entry.field("endpoint"));
        trace.begin = trace.begin.empty() ? entry.time : trace.begin;
        trace.end = entry.time;
    }
    trace.endpoints.erase("");
    return trace;
}

/*! @brief Returns whether an entry is a state change in a trace's processes and time span; other endpoints excluded. */
bool isRelevant(const LogEntry &entry, const RequestTrace &trace)
{
    const std::string endpoint = entry.field("endpoint");
    return isStateChange(entry) && trace.instances.contains(entry.instance) && entry.time >= trace.begin
        && entry.time <= trace.end && (endpoint.empty() || trace.endpoints.contains(endpoint));
}

} // namespace

ExitCode explainRequest(const CommandContext &context, const std::vector<std::string> &arguments)
{
    std::vector<LogEntry> entries;
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        const auto text = context.readFile(arguments[index]);
        if (!text) {
            context.err << arguments[index] << ": The file cannot be read.\n";
            return ExitCode::Failed;
        }
        std::istringstream lines{*text};
        for (std::string line; std::getline(lines, line);) {
            if (auto entry = parseLogEntry(line)) {
                entries.push_back(*std::move(entry));
            }
        }
    }
    // Times sort as text; a stable sort keeps the order of lines of one process.
    std::stable_sort(entries.begin(), entries.end(),
                     [](const LogEntry &left, const LogEntry &right) { return left.time < right.time; });
    const std::string &request = arguments[0];
    const RequestTrace trace = traceRequest(entries, request);
    std::size_t shown = 0;
    for (const LogEntry &entry : entries) {
        const bool isAboutRequest = mentionsRequest(entry, request);
        if (isAboutRequest || isRelevant(entry, trace)) {
            context.out << formatEntry(entry, isAboutRequest) << "\n";
            shown += isAboutRequest ? 1 : 0;
        }
    }
    if (shown == 0) {
        context.err << "No line names the request; the processes may not have logged it, since lines about requests "
                       "are sampled.\n";
        return ExitCode::No;
    }
    return ExitCode::Ok;
}

} // namespace bergamottide
