#pragma once

#include "bergamottide/entry/entryevents.h"
#include "bergamottide/net/http.h"

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <string_view>

namespace bergamottide {

/**
 * @file
 * @brief HTTP responses to callers; docs/callers.md describes the interface.
 */

/**
 * @brief Returns the HTTP status for an outcome.
 *
 * `completed` is 200. Otherwise the reason decides: invalid requests 400, 401, 404, 409 or 413; load shedding and
 * rate limits 429; an exceeded deadline 504; anything else 503. Only the outcome tells whether the request was run.
 *
 * @param outcome Outcome of the request.
 * @param reason Why it did not complete.
 */
[[nodiscard]] int httpStatus(Outcome outcome, Reason reason);

/**
 * @brief Writes the JSON body of an answer.
 * @param answer Answer.
 * @param ticket Encoded ticket; empty if there is none.
 * @param includeResult Whether the result is included; not if it was streamed before.
 * @return JSON text.
 */
[[nodiscard]] std::string answerBody(const SendAnswer &answer, const std::string &ticket, bool includeResult);

/**
 * @brief Writes an answer as one HTTP response with status, headers and body.
 * @param answer Answer.
 * @param ticket Encoded ticket; empty if there is none.
 */
[[nodiscard]] HttpResponse httpAnswer(const SendAnswer &answer, const std::string &ticket);

/**
 * @brief Creates the answer to a malformed request.
 * @param call Connection of the caller.
 * @param error Error that carries the reason and the field.
 * @return Answer with the outcome `not_run`.
 */
[[nodiscard]] SendAnswer notRunAnswer(CallId call, const absl::Status &error);

/**
 * @brief Formats one server-sent event.
 * @param type Type of the event.
 * @param data JSON text without line feeds.
 */
[[nodiscard]] std::string serverSentEvent(std::string_view type, std::string_view data);

/**
 * @brief Formats the data of a `piece` event.
 * @param offset Offset of the piece within the result, in bytes.
 * @param piece Bytes of the result.
 * @return `{"offset":N,"text":…}`, with `base64` instead of `text` if the bytes are not UTF-8.
 */
[[nodiscard]] std::string pieceEventData(std::uint64_t offset, const std::string &piece);

} // namespace bergamottide
