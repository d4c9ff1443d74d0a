#pragma once

#include "bergamottide/core/enumnames.h"

#include <cstdint>

namespace bergamottide {

/*! @brief What became of a request, as told to its caller. */
enum class Outcome : std::uint8_t
{
    /*! @brief Every stage ran and the answer is whole. */
    Completed,
    /*! @brief Nothing was dispatched to any endpoint, or every dispatched run was confirmed never started. */
    NotRun,
    /*! @brief Some stages ran, but no effect took place. */
    Incomplete,
    /*! @brief A non-idempotent stage may have run. */
    Unknown
};

template <>
struct EnumNames<Outcome>
{
    static constexpr std::array<std::string_view, 4> names{"completed", "not_run", "incomplete", "unknown"};
};

/*! @brief Why a request or a run was refused or failed; every failure has one of these types. */
enum class Reason : std::uint8_t
{
    None,
    MalformedBody,
    MalformedHeader,
    BodyTooLarge,
    MissingKey,
    WrongKey,
    UnknownPipeline,
    UnknownKind,
    UnknownTicket,
    InvalidDeadline,
    DuplicateRequest,
    RateLimited,
    Overloaded,
    DeadlineUnreachable,
    DeadlineExceeded,
    NoEndpoint,
    QueueFull,
    LedgerFull,
    Draining,
    Warming,
    StaleView,
    Paused,
    WrongIncarnation,
    Sealed,
    Fenced,
    Canceled,
    CallerGone,
    EndpointFailed,
    EndpointSilent,
    AnswerTooLarge,
    ConnectionLost,
    Internal
};

template <>
struct EnumNames<Reason>
{
    static constexpr std::array<std::string_view, 32> names{"none",
                                                            "malformed_body",
                                                            "malformed_header",
                                                            "body_too_large",
                                                            "missing_key",
                                                            "wrong_key",
                                                            "unknown_pipeline",
                                                            "unknown_kind",
                                                            "unknown_ticket",
                                                            "invalid_deadline",
                                                            "duplicate_request",
                                                            "rate_limited",
                                                            "overloaded",
                                                            "deadline_unreachable",
                                                            "deadline_exceeded",
                                                            "no_endpoint",
                                                            "queue_full",
                                                            "ledger_full",
                                                            "draining",
                                                            "warming",
                                                            "stale_view",
                                                            "paused",
                                                            "wrong_incarnation",
                                                            "sealed",
                                                            "fenced",
                                                            "canceled",
                                                            "caller_gone",
                                                            "endpoint_failed",
                                                            "endpoint_silent",
                                                            "answer_too_large",
                                                            "connection_lost",
                                                            "internal"};
};

} // namespace bergamottide
