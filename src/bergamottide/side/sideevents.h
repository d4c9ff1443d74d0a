#pragma once

#include "bergamottide/entry/entryevents.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bergamottide {

/*! @brief Event: a piece of a result has come from the endpoint. */
struct EndpointPiece
{
    RunId run;
    std::string piece;
    std::uint32_t tokens{};
};

/*! @brief How a call to the endpoint ended. */
enum class EndpointResult : std::uint8_t
{
    Completed,
    /*! @brief The endpoint refused before it started; the run did nothing. */
    Refused,
    /*! @brief The endpoint started and failed, or may have. */
    Failed
};

template <>
struct EnumNames<EndpointResult>
{
    static constexpr std::array<std::string_view, 3> names{"completed", "refused", "failed"};
};

/*! @brief Event: a call to the endpoint has ended. */
struct EndpointFinished
{
    RunId run;
    EndpointResult result{};
    Reason reason{};
};

/*! @brief Event: the endpoint has reported its own load; it lags. */
struct EndpointReport
{
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::vector<ModelName> models;
    /*! @brief Largest fencing number the engine has seen; zero if it does not tell. */
    std::uint64_t fence{};
};

/*! @brief What an order asks of an engine. */
enum class OrderKind : std::uint8_t
{
    LoadModel,
    UnloadModel,
    LoadAdapter,
    SetVersion,
    SetRole
};

template <>
struct EnumNames<OrderKind>
{
    static constexpr std::array<std::string_view, 5> names{"load_model", "unload_model", "load_adapter", "set_version",
                                                           "set_role"};
};

/*! @brief Effect: give an order to the engine beside this side. */
struct GiveOrder
{
    std::uint64_t fence{};
    OrderKind kind{};
    ModelName model;
    AdapterName adapter;
    std::string version;
};

/*! @brief Event: the engine has answered an order. */
struct OrderAnswered
{
    std::uint64_t fence{};
    bool accepted{};
};

/*! @brief Any event of a side. */
using SideEvent = std::variant<PeerMessage, PeerUp, PeerDown, EndpointPiece, EndpointFinished, EndpointReport,
                               OrderAnswered, ConfigChanged, ViewChanged, DrainRequested, Tick>;

/*! @brief Effect: start a call to the endpoint. */
struct EndpointStart
{
    StartRun run;
    Pool pool;
    /*! @brief Pieces of the result already held, for an engine that resumes; in tokens. */
    std::uint32_t resumeTokens{};
};

/*! @brief Effect: cancel a call to the endpoint; no further event of it is wanted. */
struct EndpointCancel
{
    RunId run;
};

/*! @brief Any effect of a side. */
using SideEffect =
    std::variant<SendMessage, EndpointStart, EndpointCancel, GiveOrder, DrainComplete, LogLine, AuditRecord, Observe>;

/*! @brief Effects of one event, in the order in which they are carried out. */
using SideEffects = std::vector<SideEffect>;

} // namespace bergamottide
