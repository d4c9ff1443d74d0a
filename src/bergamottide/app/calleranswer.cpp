#include "bergamottide/app/calleranswer.h"

#include "bergamottide/core/error.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace bergamottide {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

int statusOfReason(Reason reason)
{
    switch (reason) {
    case Reason::MalformedBody:
    case Reason::MalformedHeader:
    case Reason::InvalidDeadline:
    case Reason::UnknownKind:
        return 400;
    case Reason::MissingKey:
    case Reason::WrongKey:
        return 401;
    case Reason::UnknownPipeline:
    case Reason::UnknownTicket:
        return 404;
    case Reason::DuplicateRequest:
    case Reason::Canceled:
    case Reason::Sealed:
    case Reason::Fenced:
        return 409;
    case Reason::BodyTooLarge:
        return 413;
    case Reason::RateLimited:
    case Reason::Overloaded:
    case Reason::QueueFull:
    case Reason::LedgerFull:
    case Reason::DeadlineUnreachable:
        return 429;
    case Reason::DeadlineExceeded:
        return 504;
    default:
        return statusUnavailable;
    }
}

/*! @brief Writes a result as JSON, else as a string if it is UTF-8, else as base64. */
std::string resultField(const std::string &result)
{
    if (Json::accept(result)) {
        return absl::StrCat("\"result\":", result);
    }
    try {
        return absl::StrCat("\"result\":", Json(result).dump());
    } catch (const Json::exception &) {
        return absl::StrCat("\"result_base64\":\"", absl::Base64Escape(result), "\"");
    }
}

/*! @brief Field of an event and the HTTP header that sets it. */
struct FieldHeader
{
    std::string_view field;
    std::string_view header;
};

constexpr std::array fieldHeaders{FieldHeader{"deadline", "x-deadline"}, FieldHeader{"kind", "x-kind"}};

/*! @brief Replaces the name of an event field by that of the header that set it. */
std::string callerFieldName(const std::string &field)
{
    for (const FieldHeader &known : fieldHeaders) {
        if (known.field == field) {
            return std::string{known.header};
        }
    }
    return field;
}

std::int64_t ceilMilliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

std::int64_t ceilSeconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

} // namespace

int httpStatus(Outcome outcome, Reason reason)
{
    return outcome == Outcome::Completed ? statusOk : statusOfReason(reason);
}

std::string answerBody(const SendAnswer &answer, const std::string &ticket, bool includeResult)
{
    const Json fields{{"request_id", answer.request.text()},
                      {"outcome", std::string{enumName(answer.outcome)}},
                      {"reason", std::string{enumName(answer.reason)}},
                      {"field", callerFieldName(answer.field)},
                      {"ticket", ticket},
                      {"retry_after_ms", ceilMilliseconds(answer.retryAfter)},
                      {"tokens", answer.tokens}};
    std::string text = fields.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (includeResult && answer.outcome == Outcome::Completed) {
        text.pop_back();
        absl::StrAppend(&text, ",", resultField(answer.body), "}");
    }
    return text;
}

HttpResponse httpAnswer(const SendAnswer &answer, const std::string &ticket)
{
    HttpResponse http;
    http.status = httpStatus(answer.outcome, answer.reason);
    http.headers = {{"content-type", "application/json"},
                    {"x-outcome", std::string{enumName(answer.outcome)}},
                    {"x-request-id", answer.request.text()}};
    if (!ticket.empty()) {
        http.headers.emplace_back("x-ticket", ticket);
    }
    if (answer.retryAfter.count() > 0) {
        http.headers.emplace_back("retry-after", absl::StrCat(ceilSeconds(answer.retryAfter)));
    }
    http.body = answerBody(answer, ticket, true);
    return http;
}

SendAnswer notRunAnswer(CallId call, const absl::Status &error)
{
    SendAnswer answer;
    answer.call = call;
    answer.outcome = Outcome::NotRun;
    answer.reason = errorReason(error);
    answer.field = errorField(error);
    return answer;
}

std::string serverSentEvent(std::string_view type, std::string_view data)
{
    return absl::StrCat("event: ", std::string{type}, "\ndata: ", std::string{data}, "\n\n");
}

std::string pieceEventData(std::uint64_t offset, const std::string &piece)
{
    try {
        return absl::StrCat("{\"offset\":", offset, ",\"text\":", Json(piece).dump(), "}");
    } catch (const Json::exception &) {
        return absl::StrCat("{\"offset\":", offset, ",\"base64\":\"", absl::Base64Escape(piece), "\"}");
    }
}

} // namespace bergamottide
