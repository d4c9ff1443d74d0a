#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/engines/promptchain.h"
#include "bergamottide/events/heartbeat.h"

#include <cstddef>
#include <map>
#include <optional>

namespace bergamottide::serving {

/*! @brief Number of endpoints of each software version of a pool. */
using VersionCounts = std::map<SoftwareVersion, std::size_t>;

/*!
 * @brief Returns whether the streams of a prompt are spread over the software versions of a pool, by attempt.
 *
 * All others stay where an endpoint has the last part of their prompt cached. If every session stayed, a version that
 * joins a busy pool would get none of the sessions in progress.
 *
 * @param lastPart Last part of the prompt, which belongs to a request or to its session.
 */
[[nodiscard]] bool isSpreadOverVersions(const engines::PromptPart &lastPart);

/**
 * @brief Returns the software version to which a stream is assigned, by weighted rendezvous hashing.
 *
 * Any process that knows the versions finds the same one. If their numbers of endpoints change, only a part of the
 * streams is assigned to another one.
 *
 * @param stream Stream.
 * @param lastPart Last part of its prompt.
 * @param versions Versions, weighted by their endpoints; those without endpoints do not count.
 * @return Version; nothing if there is none.
 */
[[nodiscard]] std::optional<SoftwareVersion> assignedVersion(StreamKey stream, const engines::PromptPart &lastPart,
                                                             const VersionCounts &versions);

} // namespace bergamottide::serving
