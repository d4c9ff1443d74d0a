#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/serving/events.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

/**
 * @file
 * @brief Messages between processes that serve callers, as JSON.
 *
 * Points in time are sent as the time left, since clocks of two processes have nothing in common. Durations are in
 * microseconds.
 */
namespace bergamottide::peerwire {

[[nodiscard]] std::string write(const serving::Heartbeat &heartbeat);
[[nodiscard]] absl::StatusOr<serving::Heartbeat> readHeartbeat(const std::string &text);

[[nodiscard]] std::string write(const serving::StageTask &task, TimePoint now);

[[nodiscard]] absl::StatusOr<serving::StageTask> readTask(const std::string &text, TimePoint now);

[[nodiscard]] std::string write(const std::vector<serving::StageOutcome> &outcomes);

/**
 * @brief Reads the outcomes of a task.
 * @param text Text to read.
 * @param task Identity of the task here.
 */
[[nodiscard]] absl::StatusOr<std::vector<serving::StageOutcome>> readOutcomes(const std::string &text,
                                                                              serving::StageTaskId task);

[[nodiscard]] std::string writeHandles(const std::vector<std::string> &handles);
[[nodiscard]] absl::StatusOr<std::vector<std::string>> readHandles(const std::string &text);

} // namespace bergamottide::peerwire
