#pragma once

#include "bergamottide/protocol/messages.h"

#include <peer.pb.h>

#include <optional>

namespace bergamottide {

/**
 * @brief Writes a message as a frame.
 * @param message Message to write.
 * @return The frame.
 */
[[nodiscard]] wire::Frame toFrame(const Message &message);

/**
 * @brief Reads a frame.
 * @param frame Frame from another process; its byte strings are moved from.
 * @return The message, or nothing for a frame of a kind or with a value that this version does not know.
 */
[[nodiscard]] std::optional<Message> fromFrame(wire::Frame &frame);

} // namespace bergamottide
