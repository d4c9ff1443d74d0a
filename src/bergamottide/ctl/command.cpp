#include "bergamottide/ctl/command.h"

#include "bergamottide/ctl/explain.h"
#include "bergamottide/ctl/load.h"
#include "bergamottide/ctl/offline.h"
#include "bergamottide/ctl/remote.h"

#include <algorithm>

namespace bergamottide {

namespace {

constexpr std::size_t unlimited = 1000;

const Command *findCommand(std::string_view name)
{
    const auto &all = commands();
    const auto found =
        std::find_if(all.begin(), all.end(), [name](const Command &command) { return command.name == name; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> table{
        {"validate", "DOCUMENT", "Checks a configuration document and reports every error.",
         "Exit code 1 if the document is not valid.", 1, 1, validateDocument},
        {"settings", "SETTINGS", "Checks the settings of a process and reports every error.",
         "Exit code 1 if the settings are not valid.", 1, 1, validateSettings},
        {"diff", "OLD NEW", "Shows the sections that differ between two documents.",
         "Exit code 1 if the documents differ.", 2, 2, diffDocuments},
        {"show", "DOCUMENT", "Shows a document in its canonical form, with version and digest.", "", 1, 1,
         showDocument},
        {"reference", "document|settings|metrics", "Writes the reference of the fields or metrics as Markdown.", "", 1,
         1, showReference},
        {"explain", "REQUEST LOG...", "Shows the timeline of one request from the logs of several processes.",
         "Exit code 1 if no line names the request.", 2, unlimited, explainRequest},
        {"status", "ADMIN...", "Shows the state of processes, given the ip:port of their admin ports.",
         "Needs --key_file.", 1, unlimited, showStatus},
        {"audit", "ADMIN...", "Merges the audit trails of processes in time order.", "Needs --key_file.", 1, unlimited,
         showAudit},
        {"drain", "ADMIN", "Starts a graceful shutdown: the process finishes requests in progress and exits.",
         "Needs --key_file.", 1, 1, drainProcess},
        {"submit", "ENTRY PIPELINE BODY", "Submits one request with the body from a file and shows the answer.",
         "Needs --key_file with the key of a workspace; --kind and --deadline are optional.\n"
         "Exit code 1 if the request did not complete.",
         3, 3, submitRequest},
        {"load", "ENTRY PIPELINE BODY",
         "Submits requests at a constant rate, regardless of earlier answers, and prints a summary.",
         "Needs --key_file with the key of a workspace; --rate, --time, --kind and --deadline are optional.\n"
         "--admins with --admin_key_file adds the cost by stage, read from the metrics of sidecars.\n"
         "Exit code 1 if a request did not complete on time.",
         3, 3, runLoad},
    };
    return table;
}

std::string helpText()
{
    std::string out = "bergamottidectl [OPTIONS] COMMAND ARGUMENTS\n\nCommands:\n";
    for (const Command &command : commands()) {
        out.append("  ").append(command.name).append(" ").append(command.arguments).append("\n      ");
        out.append(command.doc).append("\n");
    }
    out += "\nOptions:\n"
           "  --output=text|json   output format\n"
           "  --key_file=FILE      file with the bearer key of the admin port or of a workspace\n"
           "  --admins=A,B         admin ports of sidecars, for the cost by stage of load\n"
           "  --admin_key_file=F   file with the key of those admin ports\n"
           "  --kind=NAME          kind of the requests\n"
           "  --deadline=9s        deadline of each request\n"
           "  --rate=10            requests per second of load\n"
           "  --time=10s           duration of load\n"
           "  --timeout=5s         time without data after which a call to a process has failed\n"
           "\nExit codes: 0 success, 1 negative result (not valid, different, not completed), 2 usage error,\n"
           "3 a file cannot be read, or a process does not answer or rejects the key.\n"
           "Run bergamottidectl help COMMAND for details.\n";
    return out;
}

std::optional<std::string> helpText(std::string_view name)
{
    const Command *command = findCommand(name);
    if (command == nullptr) {
        return std::nullopt;
    }
    std::string out = "bergamottidectl ";
    out.append(command->name).append(" ").append(command->arguments).append("\n").append(command->doc).append("\n");
    return command->details.empty() ? out : out.append(command->details).append("\n");
}

ExitCode runCommand(const CommandContext &context, const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        context.err << helpText();
        return ExitCode::Usage;
    }
    if (arguments.front() == "help") {
        const auto help = arguments.size() < 2 ? std::optional{helpText()} : helpText(arguments[1]);
        (help ? context.out : context.err) << help.value_or("Unknown command.\n");
        return help ? ExitCode::Ok : ExitCode::Usage;
    }
    const Command *command = findCommand(arguments.front());
    if (command == nullptr) {
        context.err << "Unknown command '" << arguments.front() << "'.\n" << helpText();
        return ExitCode::Usage;
    }
    const std::vector<std::string> rest{arguments.begin() + 1, arguments.end()};
    if (rest.size() < command->minArguments || rest.size() > command->maxArguments) {
        context.err << helpText(command->name).value_or("");
        return ExitCode::Usage;
    }
    return command->run(context, rest);
}

} // namespace bergamottide
