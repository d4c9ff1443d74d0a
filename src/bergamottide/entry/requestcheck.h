#pragma once

#include "bergamottide/entry/documentindex.h"
#include "bergamottide/entry/entryevents.h"

#include <absl/status/statusor.h>

namespace bergamottide {

/*! @brief A submission that passed the checks; refers to the configuration document. */
struct CheckedRequest
{
    const Workspace *workspace{};
    const Pipeline *pipeline{};
    const Binding *binding{};
    Kind kind;
    Duration deadline{};
    /*! @brief The last stage must run at most once. */
    bool atMostOnce{};
    /*! @brief The request must be opened at a home before its first stage starts. */
    bool needsHome{};
};

/**
 * @brief Finds the workspace of a caller.
 * @param index Current document.
 * @param keyDigest Digest of the bearer key; empty if there is none.
 * @return The workspace, or `MissingKey` or `WrongKey` for field `authorization`.
 */
[[nodiscard]] absl::StatusOr<const Workspace *> checkKey(const DocumentIndex &index, std::string_view keyDigest);

/**
 * @brief Checks that a ticket belongs to the workspace of its caller.
 * @return Ok, or `UnknownTicket` for field `ticket`, which does not reveal that the ticket exists.
 */
[[nodiscard]] absl::Status checkTicket(const Workspace &workspace, const Ticket &ticket);

/**
 * @brief Checks a submission against the configuration document.
 * @param index Current document.
 * @param submitted Submission with valid syntax.
 * @return The checked request, or an error that names the invalid field.
 */
[[nodiscard]] absl::StatusOr<CheckedRequest> checkRequest(const DocumentIndex &index, const CallerSubmitted &submitted);

} // namespace bergamottide
