#include "bergamottide/ctl/offline.h"

#include "bergamottide/config/parser.h"
#include "bergamottide/config/reference.h"
#include "bergamottide/config/section.h"
#include "bergamottide/config/settings.h"
#include "bergamottide/config/snapshot.h"
#include "bergamottide/telemetry/metricinfo.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamottide {

namespace {

using Json = nlohmann::ordered_json;

std::string digestText(std::uint64_t digest)
{
    return RequestId{0, digest}.text().substr(16);
}

std::optional<std::string> readFile(const CommandContext &context, const std::string &path)
{
    auto text = context.readFile(path);
    if (!text) {
        context.err << path << ": The file cannot be read.\n";
    }
    return text;
}

void writeJson(const CommandContext &context, const Json &json)
{
    context.out << json.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
}

Json issuesJson(const std::vector<ConfigIssue> &issues)
{
    Json list = Json::array();
    for (const ConfigIssue &issue : issues) {
        list.push_back(
            {{"line", issue.line}, {"path", issue.path}, {"kind", enumName(issue.kind)}, {"reason", issue.reason}});
    }
    return list;
}

/*! @brief Writes the issues of a file, or a success message if there are none. */
ExitCode writeIssues(const CommandContext &context, const std::string &path, const std::vector<ConfigIssue> &issues,
                     const std::string &success)
{
    if (context.options.output == OutputFormat::Json) {
        writeJson(context, {{"valid", issues.empty()}, {"issues", issuesJson(issues)}});
        return issues.empty() ? ExitCode::Ok : ExitCode::No;
    }
    for (const ConfigIssue &issue : issues) {
        context.out << path << ": " << issueText(issue) << '\n';
    }
    if (issues.empty()) {
        context.out << path << ": " << success << '\n';
        return ExitCode::Ok;
    }
    return ExitCode::No;
}

/*! @brief Reads a valid document; otherwise reports the issues and sets the exit code. */
std::optional<Document> readDocument(const CommandContext &context, const std::string &path, ExitCode &failure)
{
    const auto text = readFile(context, path);
    if (!text) {
        failure = ExitCode::Failed;
        return std::nullopt;
    }
    ParseResult result = parseDocument(*text);
    if (!result.document) {
        failure = writeIssues(context, path, result.issues, {});
    }
    return std::move(result.document);
}

const std::string *sectionText(const Sections &sections, const std::string &name)
{
    const auto found = sections.find(name);
    return found == sections.end() ? nullptr : &found->second;
}

} // namespace

ExitCode validateDocument(const CommandContext &context, const std::vector<std::string> &arguments)
{
    const auto text = readFile(context, arguments[0]);
    if (!text) {
        return ExitCode::Failed;
    }
    const ParseResult result = parseDocument(*text);
    const std::string version = result.document ? std::to_string(result.document->version) : std::string{};
    return writeIssues(context, arguments[0], result.issues,
                       "valid, version " + version + ", digest " + digestText(result.digest));
}

ExitCode validateSettings(const CommandContext &context, const std::vector<std::string> &arguments)
{
    const auto text = readFile(context, arguments[0]);
    if (!text) {
        return ExitCode::Failed;
    }
    return writeIssues(context, arguments[0], parseSettings(*text).issues, "valid");
}

ExitCode diffDocuments(const CommandContext &context, const std::vector<std::string> &arguments)
{
    ExitCode failure{};
    auto older = readDocument(context, arguments[0], failure);
    auto newer = older ? readDocument(context, arguments[1], failure) : std::nullopt;
    if (!older || !newer) {
        return failure;
    }
    const SnapshotPointer from = makeSnapshot(*std::move(older));
    const SnapshotPointer to = makeSnapshot(*std::move(newer));
    Json json{{"from", from->version()}, {"to", to->version()}, {"sections", Json::array()}};
    for (const std::string &name : changedSections(from, *to)) {
        const std::string *before = sectionText(from->sections, name);
        const std::string *after = sectionText(to->sections, name);
        json["sections"].push_back({{"name", name},
                                    {"before", before == nullptr ? Json{} : Json(*before)},
                                    {"after", after == nullptr ? Json{} : Json(*after)}});
        if (context.options.output == OutputFormat::Text) {
            context.out << name << '\n';
            context.out << (before == nullptr ? std::string{} : "  - " + *before + '\n');
            context.out << (after == nullptr ? std::string{} : "  + " + *after + '\n');
        }
    }
    if (context.options.output == OutputFormat::Json) {
        writeJson(context, json);
    } else {
        context.out << "version " << from->version() << " to " << to->version() << ", " << json["sections"].size()
                    << " sections differ\n";
    }
    if (to->version() <= from->version() && to->digest != from->digest) {
        context.err << "The new document needs a higher version to become active.\n";
    }
    return json["sections"].empty() ? ExitCode::Ok : ExitCode::No;
}

ExitCode showDocument(const CommandContext &context, const std::vector<std::string> &arguments)
{
    ExitCode failure{};
    const auto document = readDocument(context, arguments[0], failure);
    if (!document) {
        return failure;
    }
    const std::string digest = digestText(documentDigest(*document));
    if (context.options.output == OutputFormat::Text) {
        context.out << "# digest " << digest << '\n' << writeDocument(*document);
        return ExitCode::Ok;
    }
    Json json{{"version", document->version}, {"digest", digest}, {"sections", Json::object()}};
    for (const auto &[name, text] : sectionsOf(*document)) {
        json["sections"][name] = text;
    }
    writeJson(context, json);
    return ExitCode::Ok;
}

ExitCode showReference(const CommandContext &context, const std::vector<std::string> &arguments)
{
    if (arguments[0] == "document") {
        context.out << documentReference();
        return ExitCode::Ok;
    }
    if (arguments[0] == "settings") {
        context.out << settingsReference();
        return ExitCode::Ok;
    }
    if (arguments[0] == "metrics") {
        context.out << metricReference();
        return ExitCode::Ok;
    }
    context.err << "Unknown reference '" << arguments[0] << "'.\n";
    return ExitCode::Usage;
}

} // namespace bergamottide
