#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"
#include "bergamottide/net/http.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

/**
 * @file
 * @brief JSON format of the messages between serving processes.
 *
 * Points in time are sent relative to now, since the clocks of two processes are not comparable. Durations are in
 * microseconds.
 */
namespace bergamottide::peerwire {

[[nodiscard]] std::string encode(const serving::Heartbeat &heartbeat);
[[nodiscard]] absl::StatusOr<serving::Heartbeat> decodeHeartbeat(const std::string &text);

[[nodiscard]] std::string encode(const serving::StageTask &task, TimePoint now);

[[nodiscard]] absl::StatusOr<serving::StageTask> decodeTask(const std::string &text, TimePoint now);

[[nodiscard]] std::string encode(const std::vector<serving::StageOutcome> &outcomes);

/**
 * @brief Reads the outcomes of a delegated task.
 * @param text JSON text.
 * @param task Local identity of the task, which the message does not contain.
 */
[[nodiscard]] absl::StatusOr<std::vector<serving::StageOutcome>> decodeOutcomes(const std::string &text,
                                                                                serving::StageTaskId task);

/**
 * @brief Encodes a question about a stream.
 *
 * The query is the stream alone, which earlier releases understand; headers tell the rest.
 */
[[nodiscard]] HttpRequest encode(const serving::StreamQuery &query);
[[nodiscard]] absl::StatusOr<serving::StreamQuery> decodeStreamQuery(const HttpRequest &request);

[[nodiscard]] std::string encodeHandles(const std::vector<std::string> &handles);
[[nodiscard]] absl::StatusOr<std::vector<std::string>> decodeHandles(const std::string &text);

} // namespace bergamottide::peerwire
