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
constexpr std::string_view bearer = "Bearer ";
/*! @brief Longest idempotency key; a key is a name, a longer one is a mistake. */
constexpr std::size_t maxIdempotencyKey = 256;
/*!
 * @brief Bytes at the start of a body that decide which endpoint's cache is likely warm.
 *
 * Long enough for requests with different system prompts to differ, short enough for
 * requests that differ in their last question to agree.
 */
constexpr std::size_t prefixBytes = 256;
/*! @brief Time a caller that fetches waits when it names none. */
constexpr Duration defaultFetchTime = std::chrono::seconds{30};

using Sha256 = std::array<unsigned char, 32>;

Sha256 sha256(std::string_view text)
{
    Sha256 digest{};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

absl::Status headerError(std::string_view name)
{
    return makeError(Reason::MalformedHeader, name, "The header has no valid value");
}

absl::StatusOr<bool> readFlag(const HttpHeaders &headers, std::string_view name)
{
    const std::string_view value = headerValue(headers, name);
    if (value.empty() || value == "0" || value == "false") {
        return false;
    }
    if (value == "1" || value == "true") {
        return true;
    }
    return headerError(name);
}

absl::StatusOr<std::uint32_t> readTokens(const HttpHeaders &headers)
{
    constexpr std::string_view name = "x-max-tokens";
    const std::string value{headerValue(headers, name)};
    std::uint32_t tokens = 0;
    if (!value.empty() && (!absl::SimpleAtoi(value, &tokens) || tokens == 0)) {
        return headerError(name);
    }
    return tokens;
}

absl::StatusOr<std::string> readKey(const HttpHeaders &headers)
{
    const std::string_view value = headerValue(headers, "authorization");
    if (value.size() <= bearer.size() || !value.starts_with(bearer)) {
        return makeError(Reason::MissingKey, "authorization", "A bearer key is required");
    }
    return keyDigest(value.substr(bearer.size()));
}

absl::StatusOr<std::optional<Duration>> readDeadline(const HttpHeaders &headers)
{
    constexpr std::string_view name = "x-deadline";
    const std::string_view value = headerValue(headers, name);
    if (value.empty()) {
        return std::optional<Duration>{};
    }
    const auto deadline = parseDuration(value);
    if (!deadline || deadline->count() <= 0) {
        return makeError(Reason::InvalidDeadline, name, "A deadline is a duration above zero, such as 9s or 1500ms");
    }
    return deadline;
}

absl::Status checkBody(const HttpRequest &request, const CallerContext &context)
{
    if (context.document && request.body.size() > context.document->policy.maxBodyBytes) {
        return makeError(Reason::BodyTooLarge, "body", "The body is larger than the policy allows");
    }
    if (!nlohmann::json::accept(request.body)) {
        return makeError(Reason::MalformedBody, "body", "The body is not JSON");
    }
    return absl::OkStatus();
}

/*! @brief Finds who owns a key, so that both keys of a workspace derive the same identities. */
std::string ownerOf(const std::string &digest, const CallerContext &context)
{
    if (!context.document) {
        return digest;
    }
    for (const auto &[name, workspace] : context.document->workspaces) {
        for (const std::string &known : workspace.keyDigests) {
            if (known == digest) {
                return name.text();
            }
        }
    }
    return digest;
}

RequestId deriveRequest(const std::string &owner, std::string_view key)
{
    const std::string text = absl::StrCat(owner, std::string(1, '\0'), std::string{key});
    const Sha256 digest = sha256(text);
    RequestId request;
    std::memcpy(&request.high, digest.data(), sizeof(request.high));
    std::memcpy(&request.low, digest.data() + sizeof(request.high), sizeof(request.low));
    return request;
}

absl::Status readIdentity(const HttpRequest &request, const CallerContext &context, CallerSubmitted &submitted)
{
    const std::string_view id = headerValue(request.headers, "x-request-id");
    const std::string_view key = headerValue(request.headers, "idempotency-key");
    if (!id.empty() && !key.empty()) {
        return makeError(Reason::MalformedHeader, "idempotency-key", "A request has an id or an idempotency key");
    }
    if (key.size() > maxIdempotencyKey) {
        return headerError("idempotency-key");
    }
    if (!key.empty()) {
        submitted.keyed = true;
        submitted.request = deriveRequest(ownerOf(submitted.keyDigest, context), key);
        return absl::OkStatus();
    }
    if (id.empty()) {
        submitted.request = context.drawRequest();
        return absl::OkStatus();
    }
    const auto parsed = RequestId::parse(id);
    if (!parsed) {
        return headerError("x-request-id");
    }
    submitted.request = *parsed;
    return absl::OkStatus();
}

absl::Status readTicket(const HttpRequest &request, const CallerContext &context, CallerSubmitted &submitted)
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
    submitted.keyed = false;
    submitted.ticket = *ticket;
    return absl::OkStatus();
}

std::uint64_t prefixOf(const std::string &body)
{
    const std::size_t length = std::min(prefixBytes, body.size());
    return XXH3_64bits(body.data(), length);
}

bool wantsEvents(const HttpHeaders &headers)
{
    return headerValue(headers, "accept").find("text/event-stream") != std::string_view::npos;
}

/*! @brief Reads the headers that hold one value each. */
absl::Status readOptions(const HttpRequest &request, CallerSubmitted &submitted)
{
    const auto deadline = readDeadline(request.headers);
    if (!deadline.ok()) {
        return deadline.status();
    }
    const auto nonIdempotent = readFlag(request.headers, "x-non-idempotent");
    if (!nonIdempotent.ok()) {
        return nonIdempotent.status();
    }
    const auto wantsTicket = readFlag(request.headers, "x-want-ticket");
    if (!wantsTicket.ok()) {
        return wantsTicket.status();
    }
    const auto tokens = readTokens(request.headers);
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

absl::StatusOr<CallerRequest> readSubmission(CallId call, const HttpRequest &request, const CallerContext &context)
{
    CallerSubmitted submitted;
    submitted.call = call;
    submitted.pipeline = PipelineName{request.path.substr(pipelinePath.size())};
    auto key = readKey(request.headers);
    if (!key.ok()) {
        return key.status();
    }
    submitted.keyDigest = *std::move(key);
    const std::array checks{readOptions(request, submitted), readIdentity(request, context, submitted),
                            readTicket(request, context, submitted), checkBody(request, context)};
    for (const absl::Status &check : checks) {
        if (!check.ok()) {
            return check;
        }
    }
    AnswerForm form;
    form.streaming = wantsEvents(request.headers);
    form.detached = headerValue(request.headers, "prefer") == "respond-async";
    submitted.streaming = form.streaming;
    submitted.wantsTicket = submitted.wantsTicket || form.detached;
    submitted.prefix = prefixOf(request.body);
    submitted.body = request.body;
    return CallerRequest{std::move(submitted), form};
}

absl::StatusOr<std::uint64_t> readOffset(const HttpRequest &request)
{
    const std::string text{queryValue(request.query, "offset")};
    std::uint64_t offset = 0;
    if (!text.empty() && !absl::SimpleAtoi(text, &offset)) {
        return makeError(Reason::MalformedHeader, "offset", "An offset is a number of bytes");
    }
    return offset;
}

absl::StatusOr<CallerRequest> readTicketCall(CallId call, const HttpRequest &request, const CallerContext &context)
{
    auto key = readKey(request.headers);
    if (!key.ok()) {
        return key.status();
    }
    const auto ticket = context.tickets->read(std::string_view{request.path}.substr(requestPath.size()));
    if (!ticket.ok()) {
        return makeError(Reason::UnknownTicket, "ticket", "The ticket is not valid");
    }
    if (request.method == "DELETE") {
        return CallerRequest{CallerCanceled{call, *std::move(key), *ticket}, {}};
    }
    const auto offset = readOffset(request);
    if (!offset.ok()) {
        return offset.status();
    }
    const auto deadline = readDeadline(request.headers);
    if (!deadline.ok()) {
        return deadline.status();
    }
    const AnswerForm form{wantsEvents(request.headers), false};
    return CallerRequest{
        CallerFetched{call, *std::move(key), *ticket, *offset, form.streaming, deadline->value_or(defaultFetchTime)},
        form};
}

} // namespace

absl::StatusOr<CallerRequest> readCallerRequest(CallId call, const HttpRequest &request, const CallerContext &context)
{
    const bool submits = request.method == "POST" && request.path.starts_with(pipelinePath);
    if (submits) {
        return readSubmission(call, request, context);
    }
    const bool known = request.method == "GET" || request.method == "DELETE";
    if (known && request.path.starts_with(requestPath)) {
        return readTicketCall(call, request, context);
    }
    return makeError(Reason::UnknownPipeline, "path", "There is nothing at this method and path");
}

std::string keyDigest(std::string_view key)
{
    const Sha256 digest = sha256(key);
    return absl::BytesToHexString(absl::string_view{reinterpret_cast<const char *>(digest.data()), digest.size()});
}

} // namespace bergamottide
