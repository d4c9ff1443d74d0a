#pragma once

#include "bergamottide/entry/documentindex.h"
#include "bergamottide/entry/entryevents.h"

#include <absl/status/statusor.h>

namespace bergamottide {

/*! @brief A submission that the document allows; points into the document. */
struct CheckedRequest
{
    const Workspace *workspace{};
    const Pipeline *pipeline{};
    const Binding *binding{};
    Kind kind;
    Duration deadline{};
    /*! @brief The last stage has an effect that must not happen twice. */
    bool atMostOnce{};
    /*! @brief The request is opened at a home before anything is started. */
    bool opened{};
};

/**
 * @brief Finds the workspace of a caller.
 * @param index Document in force.
 * @param keyDigest Digest of the bearer key; empty if the caller sent none.
 * @return The workspace, or `MissingKey` or `WrongKey` for field `authorization`.
 */
[[nodiscard]] absl::StatusOr<const Workspace *> checkKey(const DocumentIndex &index, std::string_view keyDigest);

/**
 * @brief Checks a ticket against the workspace that shows it.
 * @return Ok, or `UnknownTicket` for field `ticket`: another workspace's ticket is treated as an unknown one.
 */
[[nodiscard]] absl::Status checkTicket(const Workspace &workspace, const Ticket &ticket);

/**
 * @brief Checks a submission against the document, before anything is dispatched.
 * @param index Document in force.
 * @param submitted Submission whose form was checked.
 * @return What the document says about it, or a typed error that names the field at fault.
 */
[[nodiscard]] absl::StatusOr<CheckedRequest> checkRequest(const DocumentIndex &index, const CallerSubmitted &submitted);

} // namespace bergamottide
