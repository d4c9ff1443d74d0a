#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/entry/entryevents.h"
#include "bergamottide/net/http.h"
#include "bergamottide/protocol/ticket.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bergamottide {

/**
 * @file
 * @brief Parses callers' HTTP requests into events; docs/callers.md describes the interface.
 */

/*! @brief Dependencies of the request parser. */
struct CallerContext
{
    /*! @brief Active configuration document; null until the first one arrives. */
    std::shared_ptr<const Document> document;
    const TicketCodec *tickets{};
    /*! @brief Generates an identity for a request that has none. */
    std::function<RequestId()> generateRequestId;
};

/*! @brief How the answer to a request is delivered. */
struct AnswerMode
{
    /*! @brief As server-sent events. */
    bool streaming{};
    /*! @brief The response holds only the ticket; the caller fetches the result with it later. */
    bool isAsynchronous{};
};

/*! @brief A parsed request. */
struct CallerRequest
{
    std::variant<CallerSubmitted, FetchRequested, CancelRequested> event;
    AnswerMode mode;
};

/**
 * @brief Parses a caller's request.
 *
 * Checks the syntax only; the entry checks the key, the pipeline and the deadline. Reports the first error found.
 *
 * @param call Connection of the caller.
 * @param request HTTP request.
 * @param context Dependencies of the parser.
 * @return The event, or an error whose field names the invalid header or part.
 */
[[nodiscard]] absl::StatusOr<CallerRequest> parseCallerRequest(CallId call, const HttpRequest &request,
                                                               const CallerContext &context);

/**
 * @brief Returns the digest under which a bearer key is configured.
 * @param key Key as the caller sent it.
 * @return SHA-256 digest in lower case hexadecimal.
 */
[[nodiscard]] std::string keyDigest(std::string_view key);

} // namespace bergamottide
