#pragma once

#include "bergamottide/entry/entryevents.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bergamottide {

/*! @brief Event: the endpoint has sent a piece of a result. */
struct EndpointResultPiece
{
    RunId run;
    std::string piece;
    std::uint32_t tokens{};
};

/*! @brief How a run at the endpoint has ended. */
enum class EndpointResult : std::uint8_t
{
    Completed,
    /*! @brief The endpoint refused the run before it started. */
    Refused,
    /*! @brief The run failed, and it may have started. */
    Failed
};

template <>
struct EnumNames<EndpointResult>
{
    static constexpr std::array<std::string_view, 3> names{"completed", "refused", "failed"};
};

/*! @brief Event: a run at the endpoint has ended. */
struct EndpointRunEnded
{
    RunId run;
    EndpointResult result{};
    Reason reason{};
};

/*! @brief Event: the endpoint has reported its load, which may be out of date. */
struct EndpointLoadReport
{
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::vector<ModelName> models;
    /*! @brief Highest fencing token that the engine has seen; zero if it reports none. */
    std::uint64_t highestFencingToken{};
};

/*! @brief Kind of an order to an engine. */
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

/*! @brief Effect: send an order to the engine of this sidecar. */
struct SendOrder
{
    std::uint64_t fencingToken{};
    OrderKind kind{};
    ModelName model;
    AdapterName adapter;
    std::string version;
};

/*! @brief Event: the engine has answered an order. */
struct OrderAnswered
{
    std::uint64_t fencingToken{};
    bool accepted{};
};

/*! @brief Any event of a sidecar. */
using SidecarEvent = std::variant<PeerMessage, PeerUp, PeerDown, EndpointResultPiece, EndpointRunEnded,
                                  EndpointLoadReport, OrderAnswered, ConfigChanged, ViewChanged, DrainRequested, Tick>;

/*! @brief Effect: start a run at the endpoint. */
struct StartEndpointRun
{
    StartRun spec;
    Pool pool;
    /*! @brief Number of tokens already received; the engine resumes after them. */
    std::uint32_t receivedTokens{};
};

/*! @brief Effect: cancel a run at the endpoint; no further events of it are expected. */
struct CancelEndpointRun
{
    RunId run;
};

/*! @brief Any effect of a sidecar. */
using SidecarEffect = std::variant<SendMessage, StartEndpointRun, CancelEndpointRun, SendOrder, DrainComplete, LogLine,
                                   AuditRecord, Observe>;

/*! @brief Effects of one event, in order of execution. */
using SidecarEffects = std::vector<SidecarEffect>;

} // namespace bergamottide
