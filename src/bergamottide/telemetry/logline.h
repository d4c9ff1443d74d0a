#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief Severity of a log line. */
enum class Severity : std::uint8_t
{
    Debug,
    Info,
    Warning,
    Error
};

template <>
struct EnumNames<Severity>
{
    static constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
};

/*! @brief Part of the system a log line comes from; its name is the line's prefix. */
enum class Part : std::uint8_t
{
    Entry,
    Sidecar,
    Config,
    Membership,
    Ledger,
    Orders,
    Net,
    Admin,
    Tool
};

template <>
struct EnumNames<Part>
{
    static constexpr std::array<std::string_view, 9> names{"entry",  "side", "config", "membership", "ledger",
                                                           "orders", "net",  "admin",  "tool"};
};

/*! @brief Effect: a line goes to the log. */
struct LogLine
{
    Severity severity{};
    Part part{};
    /*! @brief One short sentence. */
    std::string text;
    /*! @brief Named values that belong to it. */
    std::vector<std::pair<std::string, std::string>> fields;
};

/*! @brief Kind of change recorded in the audit trail. */
enum class AuditKind : std::uint8_t
{
    ConfigAccepted,
    ConfigRefused,
    DrainStarted,
    DrainFinished,
    Order,
    Ejection,
    Return,
    ViewChange,
    Start
};

template <>
struct EnumNames<AuditKind>
{
    static constexpr std::array<std::string_view, 9> names{"config_accepted", "config_refused", "drain_started",
                                                           "drain_finished",  "order",          "ejection",
                                                           "return",          "view_change",    "start"};
};

/*! @brief Effect: a change goes to the audit trail. */
struct AuditRecord
{
    AuditKind kind{};
    /*! @brief What was changed: a document version, an instance, a model. */
    std::string subject;
    /*! @brief Why: the event or rule behind the change. */
    std::string cause;
    std::string detail;
};

} // namespace bergamottide
