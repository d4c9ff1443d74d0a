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
 * @brief HTTP requests of callers read into events; docs/callers.md describes the interface.
 */

/*! @brief What the reader of callers' requests depends on. */
struct CallerContext
{
    /*! @brief Document in force; null before the first. */
    std::shared_ptr<const Document> document;
    const TicketCodec *tickets{};
    /*! @brief Draws the identity of a request that brings none. */
    std::function<RequestId()> drawRequest;
};

/*! @brief How a caller wants its answer. */
struct AnswerForm
{
    /*! @brief Server-sent events. */
    bool streaming{};
    /*! @brief Answered at once with the ticket; the result is fetched by it. */
    bool detached{};
};

/*! @brief One caller's request, in good form. */
struct CallerRequest
{
    std::variant<CallerSubmitted, CallerFetched, CallerCanceled> event;
    AnswerForm form;
};

/**
 * @brief Reads a caller's request.
 *
 * Checks the form alone; whether the key, the pipeline and the deadline are acceptable is
 * the entry's decision. The first fault found is reported, and nothing is dispatched.
 *
 * @param call Connection of the caller.
 * @param request HTTP request.
 * @param context What reading depends on.
 * @return The event, or an error whose field names the header or part at fault.
 */
[[nodiscard]] absl::StatusOr<CallerRequest> readCallerRequest(CallId call, const HttpRequest &request,
                                                              const CallerContext &context);

/**
 * @brief Returns the digest of a bearer key.
 * @param key Key as the caller sent it.
 * @return Lower case hexadecimal SHA-256.
 */
[[nodiscard]] std::string keyDigest(std::string_view key);

} // namespace bergamottide
