#include "bergamottide/entry/requestcheck.h"

#include "bergamottide/core/error.h"

namespace bergamottide {

namespace {

absl::Status checkBody(const Policy &policy, const CallerSubmitted &submitted)
{
    if (submitted.body.size() > policy.maxBodyBytes) {
        return makeError(Reason::BodyTooLarge, "body", "The body exceeds the size limit.");
    }
    return absl::OkStatus();
}

absl::Status checkPipeline(const DocumentIndex &index, const CallerSubmitted &submitted, CheckedRequest &checked)
{
    const auto pipeline = index.document().pipelines.find(submitted.pipeline);
    checked.binding = index.binding(checked.workspace->name, submitted.pipeline);
    // An unbound pipeline is reported as unknown, so that its name is not revealed to other workspaces.
    if (pipeline == index.document().pipelines.end() || pipeline->second.stages.empty() || !checked.binding) {
        return makeError(Reason::UnknownPipeline, "pipeline", "The workspace has no pipeline of this name.");
    }
    checked.pipeline = &pipeline->second;
    return absl::OkStatus();
}

absl::Status checkKind(const Document &document, const CallerSubmitted &submitted, CheckedRequest &checked)
{
    if (submitted.kind.empty()) {
        return absl::OkStatus();
    }
    const auto kind = document.kinds.find(submitted.kind);
    if (kind == document.kinds.end()) {
        return makeError(Reason::UnknownKind, "kind", "The request kind does not exist.");
    }
    checked.kind = kind->second;
    return absl::OkStatus();
}

absl::Status checkDeadline(const Policy &policy, const CallerSubmitted &submitted, CheckedRequest &checked)
{
    checked.deadline = submitted.deadline.value_or(checked.kind.deadline);
    if (checked.deadline <= Duration::zero() || checked.deadline > policy.maxDeadline) {
        return makeError(Reason::InvalidDeadline, "deadline", "The deadline is not positive or exceeds the limit.");
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<const Workspace *> checkKey(const DocumentIndex &index, std::string_view keyDigest)
{
    if (keyDigest.empty()) {
        return makeError(Reason::MissingKey, "authorization", "The request has no bearer key.");
    }
    const Workspace *workspace = index.workspaceOf(keyDigest);
    if (!workspace) {
        return makeError(Reason::WrongKey, "authorization", "The bearer key belongs to no workspace.");
    }
    return workspace;
}

absl::Status checkTicket(const Workspace &workspace, const Ticket &ticket)
{
    if (ticket.workspace != workspace.name) {
        return makeError(Reason::UnknownTicket, "ticket", "The ticket is unknown in this workspace.");
    }
    return absl::OkStatus();
}

absl::StatusOr<CheckedRequest> checkRequest(const DocumentIndex &index, const CallerSubmitted &submitted)
{
    const Document &document = index.document();
    CheckedRequest checked;
    const auto workspace = checkKey(index, submitted.keyDigest);
    if (!workspace.ok()) {
        return workspace.status();
    }
    checked.workspace = *workspace;
    if (submitted.ticket) {
        if (const auto status = checkTicket(*checked.workspace, *submitted.ticket); !status.ok()) {
            return status;
        }
    }
    if (const auto status = checkPipeline(index, submitted, checked); !status.ok()) {
        return status;
    }
    if (const auto status = checkKind(document, submitted, checked); !status.ok()) {
        return status;
    }
    if (const auto status = checkDeadline(document.policy, submitted, checked); !status.ok()) {
        return status;
    }
    if (const auto status = checkBody(document.policy, submitted); !status.ok()) {
        return status;
    }
    const bool repeatable = checked.pipeline->stages.back().repeatable == Repeatable::Yes;
    checked.atMostOnce = !repeatable || !checked.kind.idempotent || submitted.nonIdempotent;
    checked.needsHome = checked.atMostOnce || submitted.wantsTicket || submitted.ticket.has_value();
    return checked;
}

} // namespace bergamottide
