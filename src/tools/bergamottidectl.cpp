#include "bergamottide/config/units.h"
#include "bergamottide/ctl/command.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(output, "text", "output format: text or json");
DEFINE_string(key_file, "", "file with the bearer key of the admin port or of a workspace");
DEFINE_string(admins, "", "admin ports of sidecars, separated by commas, for the cost by stage of load");
DEFINE_string(admin_key_file, "", "file with the key of these admin ports");
DEFINE_string(kind, "", "kind of the requests");
DEFINE_string(deadline, "", "deadline of each request, with its unit");
DEFINE_double(rate, 10.0, "requests per second of load");
DEFINE_string(time, "10s", "duration of load");
DEFINE_string(timeout, "5s", "time without data after which a call to a process has failed");

using namespace bergamottide;

namespace {

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    std::ostringstream text;
    text << file.rdbuf();
    return file ? std::optional{text.str()} : std::nullopt;
}

/*! @brief Reads a key from a file; does nothing without a path. Returns false if the file cannot be read. */
bool readKey(const std::string &path, std::string &key)
{
    if (path.empty()) {
        return true;
    }
    const auto text = readFile(path);
    if (!text) {
        std::cerr << path << ": The file cannot be read.\n";
        return false;
    }
    key = text->substr(0, text->find_last_not_of("\r\n") + 1);
    return true;
}

/*! @brief Reads the options from the flags; prints an error if one is not valid. */
std::optional<ControlOptions> readOptions()
{
    ControlOptions options;
    const auto output = enumFromName<OutputFormat>(FLAGS_output);
    const auto time = parseDuration(FLAGS_time);
    const auto timeout = parseDuration(FLAGS_timeout);
    if (!output || !time || !timeout || FLAGS_rate <= 0.0) {
        std::cerr << "One of --output, --time, --timeout and --rate is not valid.\n";
        return std::nullopt;
    }
    options.output = *output;
    options.time = *time;
    options.timeout = *timeout;
    options.rate = FLAGS_rate;
    options.kind = FLAGS_kind;
    options.deadline = FLAGS_deadline;
    std::istringstream admins{FLAGS_admins};
    for (std::string address; std::getline(admins, address, ',');) {
        options.admins.push_back(address);
    }
    if (!readKey(FLAGS_key_file, options.key) || !readKey(FLAGS_admin_key_file, options.adminKey)) {
        return std::nullopt;
    }
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> arguments{argv + 1, argv + argc};
    const auto help = std::find(arguments.begin(), arguments.end(), "--help");
    if (help != arguments.end()) {
        // The help of gflags would also list the flags of all libraries.
        arguments.erase(help);
        const auto command = arguments.empty() ? std::nullopt : helpText(arguments.front());
        std::cout << command.value_or(helpText());
        return 0;
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto options = readOptions();
    if (!options) {
        return static_cast<int>(ExitCode::Usage);
    }
    const CommandContext context{*options, std::cout, std::cerr, readFile};
    return static_cast<int>(runCommand(context, {argv + 1, argv + argc}));
}
