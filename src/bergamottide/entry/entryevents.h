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

/*! @brief Event: a caller has submitted a request. Its syntax is valid; key and pipeline are not checked yet. */
struct CallerSubmitted
{
    CallId call{};
    /*! @brief Random, or derived from workspace and idempotency key. */
    RequestId request;
    /*! @brief The identity was derived from an idempotency key. */
    bool hasIdempotencyKey{};
    /*! @brief Lower case hexadecimal SHA-256 digest of the bearer key. */
    std::string keyDigest;
    PipelineName pipeline;
    /*! @brief Empty for the default kind: value 1, repeatable if the pipeline is. */
    KindName kind;
    /*! @brief Absent for the default of the kind. */
    std::optional<Duration> deadline;
    /*! @brief The caller marks the request as not idempotent. */
    bool nonIdempotent{};
    /*! @brief The caller requests a ticket even if the request is idempotent. */
    bool wantsTicket{};
    bool streaming{};
    /*! @brief Maximum number of tokens to generate; zero for the limit of the stage. */
    std::uint32_t maxTokens{};
    /*! @brief Hash of the prompt's prefix; zero if unknown. */
    std::uint64_t prefix{};
    std::string body;
    /*! @brief Ticket of an earlier submission of the same request; absent for a new one. */
    std::optional<Ticket> ticket;
};

/*! @brief Event: a caller requests the result of the request that a ticket identifies. */
struct FetchRequested
{
    CallId call{};
    std::string keyDigest;
    Ticket ticket;
    /*! @brief Offset in bytes from which the result is sent. */
    std::uint64_t offset{};
    bool streaming{};
    /*! @brief Time for which the caller waits. */
    Duration deadline{};
};

/*! @brief Event: a caller cancels the request that a ticket identifies. */
struct CancelRequested
{
    CallId call{};
    std::string keyDigest;
    Ticket ticket;
};

/*! @brief Event: a caller has disconnected before its answer was complete. */
struct CallerGone
{
    CallId call{};
};

/*! @brief Event: a message from another process was received. */
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

/*! @brief Event: a validated configuration document takes effect. */
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

/*! @brief Event: the process should finish the requests in progress and exit. */
struct DrainRequested
{
    /*! @brief Cause for the audit trail. */
    std::string cause;
};

/*! @brief Event: the time returned by `nextWakeup` has been reached; may also be sent earlier. */
struct Tick
{
};

/*! @brief Event handled by an entry. */
using EntryEvent = std::variant<CallerSubmitted, FetchRequested, CancelRequested, CallerGone, PeerMessage, PeerUp,
                                PeerDown, ConfigChanged, ViewChanged, DrainRequested, Tick>;

/*! @brief Effect: send a message to another process. */
struct SendMessage
{
    InstanceName to;
    Message message;
};

/*! @brief Effect: replace the stream to a peer, which has gone silent, by a new one. */
struct ReopenStream
{
    InstanceName peer;
};

/*! @brief Effect: send the caller its ticket, before a stage that must not be repeated is started. */
struct SendTicket
{
    CallId call{};
    Ticket ticket;
};

/*! @brief Effect: send part of the result to a caller that streams it. */
struct SendResultPiece
{
    CallId call{};
    std::string piece;
};

/*! @brief Effect: send the final answer; the last effect for its call. */
struct SendAnswer
{
    CallId call{};
    RequestId request;
    Outcome outcome{};
    Reason reason{};
    /*! @brief Name of the invalid field; empty unless the input was invalid. */
    std::string field;
    /*! @brief Time after which the caller may retry; zero if unknown or if retrying is pointless. */
    Duration retryAfter{};
    /*! @brief The result; when streaming, the part that was not sent yet. */
    std::string body;
    std::uint32_t tokens{};
    std::optional<Ticket> ticket;
};

/*! @brief Effect: the drain is complete and the process may exit. */
struct DrainComplete
{
};

/*! @brief Effect produced by an entry. */
using EntryEffect = std::variant<SendMessage, ReopenStream, SendTicket, SendResultPiece, SendAnswer, DrainComplete,
                                 LogLine, AuditRecord, Observe>;

/*! @brief Effects of an event, in the order of their execution. */
using EntryEffects = std::vector<EntryEffect>;

} // namespace bergamottide
