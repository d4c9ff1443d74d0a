#pragma once

#include "bergamottide/core/enumnames.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide {

/*! @brief Exit codes of the command line client. */
enum class ExitCode : std::uint8_t
{
    /*! @brief Success. */
    Ok,
    /*! @brief Negative result: the document is not valid, the documents differ, a request did not complete. */
    No,
    /*! @brief Wrong command line. */
    Usage,
    /*! @brief A file cannot be read, or a process does not answer or rejects the key. */
    Failed
};

template <>
struct EnumNames<ExitCode>
{
    static constexpr std::array<std::string_view, 4> names{"ok", "no", "usage", "failed"};
};

enum class OutputFormat : std::uint8_t
{
    Text,
    Json
};

template <>
struct EnumNames<OutputFormat>
{
    static constexpr std::array<std::string_view, 2> names{"text", "json"};
};

/*! @brief Command line options; each command uses some of them. */
struct ControlOptions
{
    OutputFormat output{};
    /*! @brief Bearer key of the admin port or of a workspace; read from a file to keep it out of process lists. */
    std::string key;
    /*! @brief Admin ports of sidecars from which `load` reads the cost by stage, and their key. */
    std::vector<std::string> admins;
    std::string adminKey;
    std::string kind;
    /*! @brief Deadline of a request with its unit; empty for the default of its kind. */
    std::string deadline;
    /*! @brief Requests per second of `load`. */
    double rate{10.0};
    /*! @brief Duration of `load`. */
    Duration time{std::chrono::seconds{10}};
    /*! @brief Time without data after which a call to a process has failed. */
    Duration timeout{std::chrono::seconds{5}};
};

/*! @brief Options and streams of a command. */
struct CommandContext
{
    ControlOptions options;
    /*! @brief Output of the command. */
    std::ostream &out;
    /*! @brief Progress and errors. */
    std::ostream &err;
    /*! @brief Returns the content of a file; nothing if it cannot be read. */
    std::function<std::optional<std::string>(const std::string &path)> readFile;
};

/*! @brief One subcommand. */
struct Command
{
    std::string_view name;
    /*! @brief Names of the arguments, for the help. */
    std::string_view arguments;
    /*! @brief Description in one sentence. */
    std::string_view doc;
    /*! @brief Further lines for the help of this subcommand; may be empty. */
    std::string_view details;
    std::size_t minArguments{};
    std::size_t maxArguments{};
    std::function<ExitCode(const CommandContext &context, const std::vector<std::string> &arguments)> run;
};

/*! @brief Returns every subcommand, in the order of the help. */
[[nodiscard]] const std::vector<Command> &commands();

/*! @brief Returns the general help. */
[[nodiscard]] std::string helpText();

/*! @brief Returns the help of a subcommand; nothing if there is no subcommand of that name. */
[[nodiscard]] std::optional<std::string> helpText(std::string_view name);

/**
 * @brief Runs a subcommand.
 * @param context Options and streams.
 * @param arguments Name of the subcommand and its arguments.
 */
[[nodiscard]] ExitCode runCommand(const CommandContext &context, const std::vector<std::string> &arguments);

} // namespace bergamottide
