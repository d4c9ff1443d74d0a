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

/*! @brief One line of a log. */
struct Entry
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

/*! @brief Reads a line; whatever stands before its JSON is passed over. */
std::optional<Entry> readEntry(const std::string &line)
{
    const auto brace = line.find('{');
    if (brace == std::string::npos) {
        return std::nullopt;
    }
    const Json json = Json::parse(line.substr(brace), nullptr, false);
    if (!json.is_object() || !json.contains("time") || !json.contains("text")) {
        return std::nullopt;
    }
    Entry entry;
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

bool names(const Entry &entry, const std::string &request)
{
    if (entry.field("request") == request) {
        return true;
    }
    const std::vector<std::string> list = absl::StrSplit(entry.field("requests"), ',');
    return std::find(list.begin(), list.end(), request) != list.end();
}

/*! @brief Tells if a line tells what a process believes, not what it does with a request. */
bool isBelief(const Entry &entry)
{
    return entry.field("request").empty() && entry.field("requests").empty();
}

std::string textOf(const Entry &entry, bool isStory)
{
    std::string out = absl::StrCat(entry.time, " ", entry.instance, isStory ? "  " : "    (meanwhile) ", entry.text);
    for (const auto &[name, value] : entry.fields) {
        if (name != "request" && name != "requests") {
            absl::StrAppend(&out, " ", name, "=", value);
        }
    }
    return out;
}

/*! @brief The lines that tell of one request. */
struct Story
{
    std::set<std::string> instances;
    std::set<std::string> endpoints;
    std::string from;
    std::string to;
};

Story storyOf(const std::vector<Entry> &entries, const std::string &request)
{
    Story story;
    for (const Entry &entry : entries) {
        if (!names(entry, request)) {
            continue;
        }
        story.instances.insert(entry.instance);
        story.endpoints.insert(entry.field("endpoint"));
        story.from = story.from.empty() ? entry.time : story.from;
        story.to = entry.time;
    }
    story.endpoints.erase("");
    return story;
}

/*! @brief Tells if a belief bears on the story: held by one of its processes, and on its endpoints if on any. */
bool bearsOn(const Entry &entry, const Story &story)
{
    const std::string endpoint = entry.field("endpoint");
    return isBelief(entry) && story.instances.contains(entry.instance) && entry.time >= story.from
        && entry.time <= story.to && (endpoint.empty() || story.endpoints.contains(endpoint));
}

} // namespace

ExitCode explainRequest(const CommandContext &context, const std::vector<std::string> &arguments)
{
    std::vector<Entry> entries;
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        const auto text = context.readFile(arguments[index]);
        if (!text) {
            context.err << arguments[index] << ": cannot be read\n";
            return ExitCode::Failed;
        }
        std::istringstream lines{*text};
        for (std::string line; std::getline(lines, line);) {
            if (auto entry = readEntry(line)) {
                entries.push_back(*std::move(entry));
            }
        }
    }
    // Times are written so that their order is that of the text; lines of one process keep their order.
    std::stable_sort(entries.begin(), entries.end(),
                     [](const Entry &left, const Entry &right) { return left.time < right.time; });
    const std::string &request = arguments[0];
    const Story story = storyOf(entries, request);
    std::size_t told = 0;
    for (const Entry &entry : entries) {
        const bool isStory = names(entry, request);
        if (isStory || bearsOn(entry, story)) {
            context.out << textOf(entry, isStory) << "\n";
            told += isStory ? 1 : 0;
        }
    }
    if (told == 0) {
        context.err << "No line names the request: its process may have followed fewer requests at the time.\n";
        return ExitCode::No;
    }
    return ExitCode::Ok;
}

} // namespace bergamottide
