#include "bergamottide/ctl/command.h"

#include "bergamottide/ctl/explain.h"
#include "bergamottide/ctl/load.h"
#include "bergamottide/ctl/offline.h"
#include "bergamottide/ctl/remote.h"

#include <algorithm>

namespace bergamottide {

namespace {

constexpr std::size_t any = 1000;

const Command *find(std::string_view name)
{
    const auto &all = commands();
    const auto found = std::find_if(all.begin(), all.end(), [name](const Command &one) { return one.name == name; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> table{
        {"validate", "DOCUMENT", "Checks a configuration document and reports every mistake.",
         "Exit code 1 if the document is not valid.", 1, 1, validateDocument},
        {"settings", "SETTINGS", "Checks the settings of a process and reports every mistake.",
         "Exit code 1 if the settings are not valid.", 1, 1, validateSettings},
        {"diff", "OLD NEW", "Shows the sections that differ between two documents.",
         "Exit code 1 if the documents differ.", 2, 2, diffDocuments},
        {"show", "DOCUMENT", "Shows a document in its canonical form, with version and digest.", "", 1, 1,
         showDocument},
        {"reference", "document|settings|metrics", "Writes the reference of the fields or metrics as Markdown.", "", 1,
         1, showReference},
        {"explain", "REQUEST LOG...", "Tells the story of one request from the logs of several processes.",
         "Exit code 1 if no line names the request.", 2, any, explainRequest},
        {"status", "ADMIN...", "Shows the state of processes by their admin ports, ip:port.", "Needs --key_file.", 1,
         any, showStatus},
        {"audit", "ADMIN...", "Merges the audit trails of processes in the order of time.", "Needs --key_file.", 1, any,
         showAudit},
        {"drain", "ADMIN", "Tells a process to finish what is in progress and leave.", "Needs --key_file.", 1, 1,
         drainProcess},
        {"submit", "ENTRY PIPELINE BODY", "Submits one request, its body from a file, and shows the answer.",
         "Needs --key_file with the key of a workspace; --kind and --deadline are optional.\n"
         "Exit code 1 if the request did not complete.",
         3, 3, submitRequest},
        {"load", "ENTRY PIPELINE BODY",
         "Submits requests at a steady rate, whether or not earlier ones have ended, and sums up.",
         "Needs --key_file with the key of a workspace; --rate, --time, --kind and --deadline are optional.\n"
         "--admins with --admin_key_file adds the cost by stage, read from the metrics of sides.\n"
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
           "  --output=text|json   how the answer is written\n"
           "  --key_file=FILE      file with the bearer key of the admin port or of a workspace\n"
           "  --admins=A,B         admin ports of sides, for the cost by stage of load\n"
           "  --admin_key_file=F   file with their key\n"
           "  --kind=NAME          kind of the requests\n"
           "  --deadline=9s        deadline of each request\n"
           "  --rate=10            requests per second of load\n"
           "  --time=10s           time during which load sends\n"
           "  --timeout=5s         silence after which a process counts as not answering\n"
           "\nExit codes: 0 yes, 1 no (not valid, different, not completed), 2 wrong command line,\n"
           "3 a file cannot be read or a process does not answer or refuses the key.\n"
           "bergamottidectl help COMMAND shows more.\n";
    return out;
}

std::optional<std::string> helpText(std::string_view name)
{
    const Command *command = find(name);
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
        (help ? context.out : context.err) << help.value_or("There is no such command.\n");
        return help ? ExitCode::Ok : ExitCode::Usage;
    }
    const Command *command = find(arguments.front());
    if (command == nullptr) {
        context.err << "There is no command '" << arguments.front() << "'.\n" << helpText();
        return ExitCode::Usage;
    }
    const std::vector<std::string> rest{arguments.begin() + 1, arguments.end()};
    if (rest.size() < command->leastArguments || rest.size() > command->mostArguments) {
        context.err << helpText(command->name).value_or("");
        return ExitCode::Usage;
    }
    return command->run(context, rest);
}

} // namespace bergamottide
