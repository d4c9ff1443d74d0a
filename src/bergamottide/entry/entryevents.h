#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/core/fwd.h"
#include "bergamottide/membership/instanceview.h"
#include "bergamottide/protocol/messages.h"
#include "bergamottide/protocol/ticket.h"
#include "bergamottide/telemetry/logline.h"
#include "bergamottide/telemetry/metric.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamottide {

/*! @brief Event: a caller has submitted a request; its form was checked, its key and pipeline were not. */
struct CallerSubmitted
{
    CallId call{};
    /*! @brief Drawn by the network layer, or derived from workspace and idempotency key. */
    RequestId request;
    /*! @brief The identity was derived from an idempotency key. */
    bool keyed{};
    /*! @brief Lower case hexadecimal SHA-256 digest of the bearer key. */
    std::string keyDigest;
    PipelineName pipeline;
    /*! @brief Empty for the ordinary kind (value 1, idempotent by the pipeline alone). */
    KindName kind;
    /*! @brief Absent: the kind's default. */
    std::optional<Duration> deadline;
    /*! @brief The caller marks the request as not to be repeated. */
    bool nonIdempotent{};
    /*! @brief The caller wants a ticket even for a request that may be repeated. */
    bool wantsTicket{};
    bool streaming{};
    /*! @brief Tokens the caller wants at most; zero for the stage's own limit. */
    std::uint32_t maxTokens{};
    std::uint64_t prefix{};
    std::string body;
    /*! @brief Ticket of an earlier submission of the same request; absent for a new one. */
    std::optional<Ticket> ticket;
};

/*! @brief Event: a caller wants the answer to the request of a ticket. */
struct CallerFetched
{
    CallId call{};
    std::string keyDigest;
    Ticket ticket;
    /*! @brief Byte of the result from which to send. */
    std::uint64_t offset{};
    bool streaming{};
    /*! @brief How long the caller is ready to wait. */
    Duration deadline{};
};

/*! @brief Event: a caller wants its request to stop. */
struct CallerCanceled
{
    CallId call{};
    std::string keyDigest;
    Ticket ticket;
};

/*! @brief Event: a caller's connection has closed before its answer was whole. */
struct CallerGone
{
    CallId call{};
};

/*! @brief Event: a message has come from another process. */
struct PeerMessage
{
    InstanceName from;
    Message message;
};

/*! @brief Event: a stream to another process has opened. */
struct PeerUp
{
    InstanceName peer;
};

/*! @brief Event: a stream to another process has closed or could not be opened. */
struct PeerDown
{
    InstanceName peer;
};

/*! @brief Event: a validated document is in force from now on. */
struct ConfigChanged
{
    std::shared_ptr<const Document> document;
    std::uint64_t digest{};
};

/*! @brief Event: the instance list has changed. */
struct ViewChanged
{
    std::shared_ptr<const InstanceView> view;
};

/*! @brief Event: the process shall finish what is in progress and leave. */
struct DrainRequested
{
    std::string cause;
};

/*! @brief Event: the time asked for by `nextWakeup` has come, or a periodic tick. */
struct Tick
{
};

/*! @brief Any event of an entry. */
using EntryEvent = std::variant<CallerSubmitted, CallerFetched, CallerCanceled, CallerGone, PeerMessage, PeerUp,
                                PeerDown, ConfigChanged, ViewChanged, DrainRequested, Tick>;

/*! @brief Effect: a message goes to another process. */
struct SendMessage
{
    InstanceName to;
    Message message;
};

/*! @brief Effect: replace the stream to a peer by a new one; the present one has gone silent. */
struct ReopenStream
{
    InstanceName peer;
};

/*! @brief Effect: tell the caller its ticket, before anything that must not be repeated is started. */
struct CallerTicket
{
    CallId call{};
    Ticket ticket;
};

/*! @brief Effect: a piece of the answer goes to a caller that wants it piece by piece. */
struct CallerPiece
{
    CallId call{};
    std::string piece;
};

/*! @brief Effect: the final answer; the last effect for its call. */
struct CallerAnswer
{
    CallId call{};
    RequestId request;
    Outcome outcome{};
    Reason reason{};
    /*! @brief Field or header at fault, for bad input. */
    std::string field;
    /*! @brief Time after which another try makes sense; zero for none. */
    Duration retryAfter{};
    /*! @brief The whole result when not streaming, otherwise what is left of it. */
    std::string body;
    std::uint32_t tokens{};
    std::optional<Ticket> ticket;
};

/*! @brief Effect: the drain is over, the process may exit. */
struct DrainComplete
{
};

/*! @brief Any effect of an entry. */
using EntryEffect = std::variant<SendMessage, ReopenStream, CallerTicket, CallerPiece, CallerAnswer, DrainComplete,
                                 LogLine, AuditRecord, Observe>;

/*! @brief Effects of one event, in the order in which they are carried out. */
using EntryEffects = std::vector<EntryEffect>;

} // namespace bergamottide
