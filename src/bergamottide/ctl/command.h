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
    /*! @brief Done; the answer is yes. */
    Ok,
    /*! @brief Done; the answer is no: the document is not valid, the documents differ, a request did not complete. */
    No,
    /*! @brief The command line is wrong. */
    Usage,
    /*! @brief A file cannot be read, or a process does not answer or refuses the key. */
    Failed
};

template <>
struct EnumNames<ExitCode>
{
    static constexpr std::array<std::string_view, 4> names{"ok", "no", "usage", "failed"};
};

/*! @brief How a command writes its answer. */
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

/*! @brief Options of all commands; each command uses some. */
struct ControlOptions
{
    OutputFormat output{};
    /*! @brief Bearer key of the admin port or of a workspace; read from a file, never from the command line. */
    std::string key;
    /*! @brief Admin ports of sides from which `load` reads the cost by stage, and their key. */
    std::vector<std::string> admins;
    std::string adminKey;
    std::string kind;
    /*! @brief Deadline of a request with its unit; empty for that of its kind. */
    std::string deadline;
    /*! @brief Requests per second of `load`. */
    double rate{10.0};
    /*! @brief Time during which `load` sends. */
    Duration time{std::chrono::seconds{10}};
    /*! @brief Silence after which a process counts as not answering. */
    Duration timeout{std::chrono::seconds{5}};
};

/*! @brief What a command works with. */
struct CommandContext
{
    ControlOptions options;
    /*! @brief Takes the answer. */
    std::ostream &out;
    /*! @brief Takes progress and errors. */
    std::ostream &err;
    /*! @brief Reads a whole file; nothing if it cannot be read. */
    std::function<std::optional<std::string>(const std::string &path)> readFile;
};

/*! @brief One subcommand. */
struct Command
{
    std::string_view name;
    /*! @brief Arguments as the help shows them. */
    std::string_view arguments;
    /*! @brief One sentence. */
    std::string_view doc;
    /*! @brief Further lines of its own help; may be empty. */
    std::string_view details;
    std::size_t leastArguments{};
    std::size_t mostArguments{};
    std::function<ExitCode(const CommandContext &context, const std::vector<std::string> &arguments)> run;
};

/*! @brief Returns every subcommand, in the order of the help. */
[[nodiscard]] const std::vector<Command> &commands();

/*! @brief Writes the help of the client. */
[[nodiscard]] std::string helpText();

/*! @brief Writes the help of one subcommand; nothing if there is none of that name. */
[[nodiscard]] std::optional<std::string> helpText(std::string_view name);

/**
 * @brief Runs a subcommand.
 * @param context What it works with.
 * @param arguments Name of the subcommand and its arguments.
 */
[[nodiscard]] ExitCode runCommand(const CommandContext &context, const std::vector<std::string> &arguments);

} // namespace bergamottide
