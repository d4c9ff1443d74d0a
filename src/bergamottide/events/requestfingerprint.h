#pragma once

#include "bergamottide/core/ids.h"

#include <cstdint>
#include <set>
#include <string>

namespace bergamottide::serving {

struct CallerRequest;

/**
 * @brief Digest of what a request asks for, or of a part of its prompt: 32 hexadecimal digits.
 *
 * Repeated requests have the same fingerprint, while each has an attempt identity of its own.
 */
using RequestFingerprint = Name<struct RequestFingerprintTag>;

/**
 * @brief Returns the fingerprint of a request.
 *
 * It covers the workspace, so that no workspace can send a request with the fingerprint of another one's. The digest is
 * linear in the size of the body.
 * @param workspace Workspace of the caller; empty if the route is public.
 * @param request Request.
 */
[[nodiscard]] RequestFingerprint fingerprintOf(const WorkspaceName &workspace, const CallerRequest &request);

/*! @brief Returns the fingerprint of one stage of a request, which may crash endpoints that the request does not. */
[[nodiscard]] RequestFingerprint stageFingerprint(const RequestFingerprint &request, std::uint32_t stage);

/**
 * @brief Returns the fingerprints of the prompt parts that a request may share with others of its workspace.
 *
 * The last part belongs to the request or its session and is left out, and so are parts beyond the 64th. The model is
 * not covered.
 * @param workspace Workspace of the caller; empty if the route is public.
 * @param request Request.
 */
[[nodiscard]] std::set<RequestFingerprint> partFingerprintsOf(const WorkspaceName &workspace,
                                                              const CallerRequest &request);

/*! @brief Returns fingerprints separated by commas, for log lines. */
[[nodiscard]] std::string joinedFingerprints(const std::set<RequestFingerprint> &fingerprints);

} // namespace bergamottide::serving
