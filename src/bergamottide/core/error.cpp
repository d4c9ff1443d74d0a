#include "bergamottide/core/error.h"

#include <absl/strings/cord.h>

namespace bergamottide {

namespace {

constexpr std::string_view reasonPayload = "bergamottide/reason";
constexpr std::string_view fieldPayload = "bergamottide/field";

absl::StatusCode codeOf(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return absl::StatusCode::kOk;
    case Reason::MissingKey:
    case Reason::WrongKey:
        return absl::StatusCode::kUnauthenticated;
    case Reason::UnknownPipeline:
    case Reason::UnknownKind:
    case Reason::UnknownTicket:
        return absl::StatusCode::kNotFound;
    case Reason::DuplicateRequest:
        return absl::StatusCode::kAlreadyExists;
    case Reason::RateLimited:
    case Reason::Overloaded:
    case Reason::QueueFull:
    case Reason::LedgerFull:
        return absl::StatusCode::kResourceExhausted;
    case Reason::DeadlineUnreachable:
    case Reason::DeadlineExceeded:
        return absl::StatusCode::kDeadlineExceeded;
    case Reason::MalformedBody:
    case Reason::MalformedHeader:
    case Reason::BodyTooLarge:
    case Reason::InvalidDeadline:
        return absl::StatusCode::kInvalidArgument;
    case Reason::Internal:
        return absl::StatusCode::kInternal;
    default:
        return absl::StatusCode::kUnavailable;
    }
}

} // namespace

absl::Status makeError(Reason reason, std::string_view field, std::string_view detail)
{
    absl::Status status{codeOf(reason), absl::string_view{detail.data(), detail.size()}};
    status.SetPayload(absl::string_view{reasonPayload.data(), reasonPayload.size()},
                      absl::Cord{std::string{enumName(reason)}});
    status.SetPayload(absl::string_view{fieldPayload.data(), fieldPayload.size()}, absl::Cord{std::string{field}});
    return status;
}

Reason errorReason(const absl::Status &status)
{
    if (status.ok()) {
        return Reason::None;
    }
    const auto payload = status.GetPayload(absl::string_view{reasonPayload.data(), reasonPayload.size()});
    if (!payload) {
        return Reason::Internal;
    }
    return enumFromName<Reason>(std::string{*payload}).value_or(Reason::Internal);
}

std::string errorField(const absl::Status &status)
{
    const auto payload = status.GetPayload(absl::string_view{fieldPayload.data(), fieldPayload.size()});
    return payload ? std::string{*payload} : std::string{};
}

} // namespace bergamottide
