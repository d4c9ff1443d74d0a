#include "bergamottide/app/adminport.h"

#include "bergamottide/app/callerrequest.h"
#include "bergamottide/config/parser.h"
#include "bergamottide/console/console.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <utility>

namespace bergamottide {

namespace {

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusUnprocessable = 422;
constexpr int statusUnavailable = 503;
constexpr std::string_view bearerPrefix = "Bearer ";

void sendJson(HttpResponder &responder, int status, std::string body)
{
    responder.respond(HttpResponse{status, {{"content-type", "application/json"}}, std::move(body)});
}

std::string validationJson(const ParseResult &result)
{
    nlohmann::json issues = nlohmann::json::array();
    for (const ConfigIssue &issue : result.issues) {
        issues.push_back({{"line", issue.line},
                          {"path", issue.path},
                          {"kind", std::string{enumName(issue.kind)}},
                          {"reason", issue.reason}});
    }
    const nlohmann::json body{{"valid", result.document.has_value()},
                              {"version", result.document ? result.document->version : 0},
                              {"issues", std::move(issues)}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

AdminPort::AdminPort(std::string keyDigest, AdminHooks hooks)
    : m_keyDigest{std::move(keyDigest)}
    , m_hooks{std::move(hooks)}
{
}

void AdminPort::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path == "/live") {
        sendJson(responder, statusOk, "{}");
        return;
    }
    if (request.path == "/ready") {
        sendJson(responder, m_hooks.ready() ? statusOk : statusUnavailable, "{}");
        return;
    }
    if (request.path == "/console") {
        // The page itself holds no data; the requests that it sends need the key.
        responder.respond(
            HttpResponse{statusOk, {{"content-type", "text/html; charset=utf-8"}}, std::string{consolePage()}});
        return;
    }
    if (!isAuthorized(request)) {
        sendJson(responder, statusUnauthorized, R"({"reason":"wrong_key","field":"authorization"})");
        return;
    }
    route(request, responder);
}

bool AdminPort::isAuthorized(const HttpRequest &request) const
{
    const std::string_view value = headerValue(request.headers, "authorization");
    if (!value.starts_with(bearerPrefix)) {
        return false;
    }
    const std::string digest = keyDigest(value.substr(bearerPrefix.size()));
    return digest.size() == m_keyDigest.size() && CRYPTO_memcmp(digest.data(), m_keyDigest.data(), digest.size()) == 0;
}

void AdminPort::route(const HttpRequest &request, HttpResponder &responder)
{
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    if (get && request.path == "/status") {
        sendJson(responder, statusOk, m_hooks.status());
        return;
    }
    if (get && request.path == "/metrics") {
        responder.respond(HttpResponse{statusOk, {{"content-type", "text/plain; version=0.0.4"}}, m_hooks.metrics()});
        return;
    }
    if (get && request.path == "/audit") {
        std::uint64_t after = 0;
        const std::string text = queryValue(request.query, "after");
        if (!text.empty() && !absl::SimpleAtoi(text, &after)) {
            sendJson(responder, statusBadRequest, R"({"reason":"malformed_header","field":"after"})");
            return;
        }
        responder.respond(HttpResponse{statusOk, {{"content-type", "application/x-ndjson"}}, m_hooks.audit(after)});
        return;
    }
    if (post && request.path == "/drain") {
        m_hooks.drain("admin port");
        sendJson(responder, statusAccepted, "{}");
        return;
    }
    if (get && request.path == "/v1/schema") {
        sendJson(responder, statusOk, schemaJson());
        return;
    }
    if (post && request.path == "/v1/read") {
        sendJson(responder, statusOk, readJson(request.body));
        return;
    }
    if (post && request.path == "/v1/validate") {
        const ParseResult result = parseDocument(request.body);
        sendJson(responder, result.document ? statusOk : statusUnprocessable, validationJson(result));
        return;
    }
    sendJson(responder, statusNotFound, "{}");
}

} // namespace bergamottide
