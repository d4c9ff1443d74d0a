#include "bergamottide/app/callerrequest.h"

#include "bergamottide/config/units.h"
#include "bergamottide/core/error.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace bergamottide {

namespace {

constexpr std::string_view pipelinePath = "/v1/pipelines/";
constexpr std::string_view requestPath = "/v1/requests/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::size_t maxIdempotencyKeyBytes = 256;
/*!
 * @brief Bytes at the start of a body that are hashed for cache affinity.
 *
 * Covers the part that tells system prompts apart, but not the last question of a conversation.
 */
constexpr std::size_t hashedPrefixBytes = 256;
/*! @brief Longest wait of a fetch by ticket without an `x-deadline` header. */
constexpr Duration defaultFetchTimeout = std::chrono::seconds{30};

using Sha256 = std::array<unsigned char, 32>;

Sha256 sha256(std::string_view text)
{
    Sha256 digest{};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

absl::Status invalidHeader(std::string_view name)
{
    return makeError(Reason::MalformedHeader, name, "The value of the header is not valid");
}

absl::StatusOr<bool> parseFlag(const HttpHeaders &headers, std::string_view name)
{
    const std::string_view value = headerValue(headers, name);
    if (value.empty() || value == "0" || value == "false") {
        return false;
    }
    if (value == "1" || value == "true") {
        return true;
    }
    return invalidHeader(name);
}

absl::StatusOr<std::uint32_t> parseMaxTokens(const HttpHeaders &headers)
{
    constexpr std::string_view name = "x-max-tokens";
    const std::string value{headerValue(headers, name)};
    std::uint32_t tokens = 0;
    if (!value.empty() && (!absl::SimpleAtoi(value, &tokens) || tokens == 0)) {
        return invalidHeader(name);
    }
    return tokens;
}

absl::StatusOr<std::string> parseKeyDigest(const HttpHeaders &headers)
{
    const std::string_view value = headerValue(headers, "authorization");
    if (value.size() <= bearerPrefix.size() || !value.starts_with(bearerPrefix)) {
        return makeError(Reason::MissingKey, "authorization", "The header must hold a bearer key");
    }
    return keyDigest(value.substr(bearerPrefix.size()));
}

absl::StatusOr<std::optional<Duration>> parseDeadline(const HttpHeaders &headers)
{
    constexpr std::string_view name = "x-deadline";
    const std::string_view value = headerValue(headers, name);
    if (value.empty()) {
        return std::optional<Duration>{};
    }
    const auto deadline = parseDuration(value);
    if (!deadline || deadline->count() <= 0) {
        return makeError(Reason::InvalidDeadline, name,
                         "The deadline must be a duration greater than zero, such as 9s or 1500ms");
    }
    return deadline;
}

absl::Status checkBody(const HttpRequest &request, const CallerContext &context)
{
    if (context.document && request.body.size() > context.document->policy.maxBodyBytes) {
        return makeError(Reason::BodyTooLarge, "body", "The body exceeds the size limit of the policy");
    }
    if (!nlohmann::json::accept(request.body)) {
        return makeError(Reason::MalformedBody, "body", "The body is not valid JSON");
    }
    return absl::OkStatus();
}

/*! @brief Returns the workspace of a key, or the digest if none is known; keys of one workspace share identities. */
std::string findKeyOwner(const std::string &digest, const CallerContext &context)
{
    if (!context.document) {
        return digest;
    }
    for (const auto &[name, workspace] : context.document->workspaces) {
        for (const std::string &knownDigest : workspace.keyDigests) {
            if (knownDigest == digest) {
                return name.text();
            }
        }
    }
    return digest;
}

RequestId deriveRequestId(const std::string &owner, std::string_view key)
{
    const std::string text = absl::StrCat(owner, std::string(1, '\0'), std::string{key});
    const Sha256 digest = sha256(text);
    RequestId request;
    std::memcpy(&request.high, digest.data(), sizeof(request.high));
    std::memcpy(&request.low, digest.data() + sizeof(request.high), sizeof(request.low));
    return request;
}

absl::Status parseRequestId(const HttpRequest &request, const CallerContext &context, CallerSubmitted &submitted)
{
    const std::string_view id = headerValue(request.headers, "x-request-id");
    const std::string_view key = headerValue(request.headers, "idempotency-key");
    if (!id.empty() && !key.empty()) {
        return makeError(Reason::MalformedHeader, "idempotency-key",
                         "x-request-id and idempotency-key must not be combined");
    }
    if (key.size() > maxIdempotencyKeyBytes) {
        return invalidHeader("idempotency-key");
    }
    if (!key.empty()) {
        submitted.hasIdempotencyKey = true;
        submitted.request = deriveRequestId(findKeyOwner(submitted.keyDigest, context), key);
        return absl::OkStatus();
    }
    if (id.empty()) {
        submitted.request = context.generateRequestId();
        return absl::OkStatus();
    }
    const auto parsed = RequestId::parse(id);
    if (!parsed) {
        return invalidHeader("x-request-id");
    }
    submitted.request = *parsed;
    return absl::OkStatus();
}

absl::Status parseTicket(const HttpRequest &request, const CallerContext &context, CallerSubmitted &submitted)
{
    const std::string_view text = headerValue(request.headers, "x-ticket");
    if (text.empty()) {
        return absl::OkStatus();
    }
    const auto ticket = context.tickets->read(text);
    if (!ticket.ok()) {
        return makeError(Reason::UnknownTicket, "x-ticket", "The ticket is not valid");
    }
    submitted.request = ticket->request;
    submitted.hasIdempotencyKey = false;
    submitted.ticket = *ticket;
    return absl::OkStatus();
}

std::uint64_t hashBodyPrefix(const std::string &body)
{
    const std::size_t length = std::min(hashedPrefixBytes, body.size());
    return XXH3_64bits(body.data(), length);
}

bool acceptsEventStream(const HttpHeaders &headers)
{
    return headerValue(headers, "accept").find("text/event-stream") != std::string_view::npos;
}

/*! @brief Parses the optional headers. */
absl::Status parseOptions(const HttpRequest &request, CallerSubmitted &submitted)
{
    const auto deadline = parseDeadline(request.headers);
    if (!deadline.ok()) {
        return deadline.status();
    }
    const auto nonIdempotent = parseFlag(request.headers, "x-non-idempotent");
    if (!nonIdempotent.ok()) {
        return nonIdempotent.status();
    }
    const auto wantsTicket = parseFlag(request.headers, "x-want-ticket");
    if (!wantsTicket.ok()) {
        return wantsTicket.status();
    }
    const auto tokens = parseMaxTokens(request.headers);
    if (!tokens.ok()) {
        return tokens.status();
    }
    submitted.kind = KindName{std::string{headerValue(request.headers, "x-kind")}};
    submitted.deadline = *deadline;
    submitted.nonIdempotent = *nonIdempotent;
    submitted.wantsTicket = *wantsTicket;
    submitted.maxTokens = *tokens;
    return absl::OkStatus();
}

absl::StatusOr<CallerRequest> parseSubmission(CallId call, const HttpRequest &request, const CallerContext &context)
{
    CallerSubmitted submitted;
    submitted.call = call;
    submitted.pipeline = PipelineName{request.path.substr(pipelinePath.size())};
    auto key = parseKeyDigest(request.headers);
    if (!key.ok()) {
        return key.status();
    }
    submitted.keyDigest = *std::move(key);
    const std::array checks{parseOptions(request, submitted), parseRequestId(request, context, submitted),
                            parseTicket(request, context, submitted), checkBody(request, context)};
    for (const absl::Status &check : checks) {
        if (!check.ok()) {
            return check;
        }
    }
    AnswerMode mode;
    mode.streaming = acceptsEventStream(request.headers);
    mode.isAsynchronous = headerValue(request.headers, "prefer") == "respond-async";
    submitted.streaming = mode.streaming;
    submitted.wantsTicket = submitted.wantsTicket || mode.isAsynchronous;
    submitted.prefix = hashBodyPrefix(request.body);
    submitted.body = request.body;
    return CallerRequest{std::move(submitted), mode};
}

absl::StatusOr<std::uint64_t> parseOffset(const HttpRequest &request)
{
    const std::string text = queryValue(request.query, "offset");
    std::uint64_t offset = 0;
    if (!text.empty() && !absl::SimpleAtoi(text, &offset)) {
        return makeError(Reason::MalformedHeader, "offset", "The offset must be a number of bytes");
    }
    return offset;
}

absl::StatusOr<CallerRequest> parseTicketRequest(CallId call, const HttpRequest &request, const CallerContext &context)
{
    auto key = parseKeyDigest(request.headers);
    if (!key.ok()) {
        return key.status();
    }
    const auto ticket = context.tickets->read(std::string_view{request.path}.substr(requestPath.size()));
    if (!ticket.ok()) {
        return makeError(Reason::UnknownTicket, "ticket", "The ticket is not valid");
    }
    if (request.method == "DELETE") {
        return CallerRequest{CancelRequested{call, *std::move(key), *ticket}, {}};
    }
    const auto offset = parseOffset(request);
    if (!offset.ok()) {
        return offset.status();
    }
    const auto deadline = parseDeadline(request.headers);
    if (!deadline.ok()) {
        return deadline.status();
    }
    const AnswerMode mode{acceptsEventStream(request.headers), false};
    return CallerRequest{FetchRequested{call, *std::move(key), *ticket, *offset, mode.streaming,
                                        deadline->value_or(defaultFetchTimeout)},
                         mode};
}

} // namespace

absl::StatusOr<CallerRequest> parseCallerRequest(CallId call, const HttpRequest &request, const CallerContext &context)
{
    const bool isSubmission = request.method == "POST" && request.path.starts_with(pipelinePath);
    if (isSubmission) {
        return parseSubmission(call, request, context);
    }
    const bool isTicketMethod = request.method == "GET" || request.method == "DELETE";
    if (isTicketMethod && request.path.starts_with(requestPath)) {
        return parseTicketRequest(call, request, context);
    }
    return makeError(Reason::UnknownPipeline, "path", "No resource exists for this method and path");
}

std::string keyDigest(std::string_view key)
{
    const Sha256 digest = sha256(key);
    return absl::BytesToHexString(absl::string_view{reinterpret_cast<const char *>(digest.data()), digest.size()});
}

} // namespace bergamottide
