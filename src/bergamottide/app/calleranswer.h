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
 * @brief Answers to callers written as HTTP; docs/callers.md describes the interface.
 */

/**
 * @brief Returns the HTTP status of an answer.
 *
 * `completed` is 200. Of the others the reason decides: bad input 400, 401, 404, 409 or 413;
 * too much 429; a deadline that has passed 504; anything else 503. The outcome tells whether
 * anything was done, the status does not.
 *
 * @param outcome Outcome of the request.
 * @param reason Why it did not complete.
 */
[[nodiscard]] int answerStatus(Outcome outcome, Reason reason);

/**
 * @brief Writes the body of an answer.
 * @param answer Answer.
 * @param ticket Text of its ticket; empty without one.
 * @param withResult The result is part of the body; left out where it was sent piece by piece.
 * @return JSON text.
 */
[[nodiscard]] std::string answerBody(const CallerAnswer &answer, const std::string &ticket, bool withResult);

/**
 * @brief Writes a whole answer.
 * @param answer Answer.
 * @param ticket Text of its ticket; empty without one.
 */
[[nodiscard]] HttpAnswer wholeAnswer(const CallerAnswer &answer, const std::string &ticket);

/**
 * @brief Writes the refusal of a request that is not in good form.
 * @param call Connection of the caller.
 * @param error Error with reason and field.
 * @return Answer with the outcome `not_run`.
 */
[[nodiscard]] CallerAnswer refusal(CallId call, const absl::Status &error);

/**
 * @brief Writes one server-sent event.
 * @param type Type of the event.
 * @param data JSON text without line feeds.
 */
[[nodiscard]] std::string serverSentEvent(std::string_view type, std::string_view data);

/**
 * @brief Writes the data of a `piece` event.
 * @param offset Position of the piece within the whole result, in bytes.
 * @param piece Bytes of the result.
 * @return `{"offset":N,"text":…}`, with `base64` in place of `text` for bytes that are not UTF-8.
 */
[[nodiscard]] std::string pieceData(std::uint64_t offset, const std::string &piece);

} // namespace bergamottide
