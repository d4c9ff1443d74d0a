#include "standin/watchedvalue.h"

#include "bergamottide/platform/valuedigest.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace bergamottide::standin {

namespace {

constexpr Duration slowness = std::chrono::seconds{5};

std::uint64_t numberOf(std::string_view query, std::string_view name)
{
    std::uint64_t number = 0;
    const std::string text = queryValue(query, name);
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

} // namespace

WatchedValue::WatchedValue(Loop &loop, std::string path, std::string contentType, Publish publish)
    : m_loop{loop}
    , m_path{std::move(path)}
    , m_contentType{std::move(contentType)}
    , m_publish{std::move(publish)}
{
}

void WatchedValue::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (request.method == "GET" && request.path == m_path) {
        read(request, responder);
        return;
    }
    if (request.method == "PUT" && request.path == "/control/value") {
        publish(std::move(request.body), *responder);
        return;
    }
    if (request.method == "PUT" && request.path == "/control/fault") {
        setFault(queryValue(request.query, "mode"), *responder);
        return;
    }
    if (request.method == "GET" && request.path == "/control/reads") {
        answerJson(*responder, 200, absl::StrCat("{\"reads\":", m_reads, "}"));
        return;
    }
    answerJson(*responder, 404, "{}");
}

void WatchedValue::read(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    ++m_reads;
    if (m_fault == ValueFault::Down) {
        answerJson(*responder, 503, "{}");
        return;
    }
    const std::uint64_t after = numberOf(request.query, "after");
    const Duration longest = std::chrono::milliseconds{numberOf(request.query, "wait_ms")};
    if (m_fault == ValueFault::Slow) {
        m_loop.at(m_loop.now() + slowness, [this, responder] { send(*responder); });
        return;
    }
    const bool lies = m_fault == ValueFault::Stale || m_fault == ValueFault::Flap;
    if (m_version > after || (lies && m_version > 0)) {
        send(*responder);
        return;
    }
    wait(after, longest, responder);
}

void WatchedValue::wait(std::uint64_t after, Duration longest, const std::shared_ptr<HttpResponder> &responder)
{
    auto waiter = std::make_shared<Waiter>();
    waiter->responder = responder;
    waiter->after = after;
    responder->onClosed([waiter] { waiter->gone = true; });
    waiter->timer = m_loop.at(m_loop.now() + longest, [this, waiter] {
        m_waiters.remove(waiter);
        if (!waiter->gone) {
            waiter->responder->respond(HttpResponse{304, {}, ""});
        }
    });
    m_waiters.push_back(std::move(waiter));
}

void WatchedValue::publish(std::string value, HttpResponder &responder)
{
    const std::uint64_t version = m_publish(value, m_version);
    if (version == 0) {
        answerJson(responder, 400, "{}");
        return;
    }
    m_version = version;
    m_value = std::move(value);
    if (m_firstValue.empty()) {
        m_firstValue = m_value;
    }
    answerJson(responder, 200, absl::StrCat("{\"version\":", m_version, "}"));
    for (const auto &waiter : std::exchange(m_waiters, {})) {
        m_loop.cancel(waiter->timer);
        if (!waiter->gone) {
            send(*waiter->responder);
        }
    }
}

void WatchedValue::setFault(std::string_view mode, HttpResponder &responder)
{
    const auto fault = enumFromName<ValueFault>(mode);
    if (!fault) {
        answerJson(responder, 400, "{}");
        return;
    }
    m_fault = *fault;
    answerJson(responder, 200, "{}");
}

void WatchedValue::send(HttpResponder &responder)
{
    const bool first = m_fault == ValueFault::Stale || (m_fault == ValueFault::Flap && m_reads % 2 == 0);
    std::string body = first ? m_firstValue : m_value;
    const std::string digest = valueDigest(body);
    if (m_fault == ValueFault::Truncate) {
        body.resize(body.size() / 2);
    }
    responder.respond(
        HttpResponse{200, {{"content-type", m_contentType}, {std::string{digestHeader}, digest}}, std::move(body)});
}

std::uint64_t publishDocument(std::string &value, std::uint64_t)
{
    constexpr std::string_view key = "version:";
    std::size_t line = 0;
    while (line != std::string::npos) {
        if (value.compare(line, key.size(), key) == 0) {
            const std::size_t start = line + key.size();
            const std::string text = value.substr(start, value.find('\n', start) - start);
            std::uint64_t version = 0;
            return absl::SimpleAtoi(text, &version) ? version : 0;
        }
        line = value.find('\n', line);
        line = line == std::string::npos ? line : line + 1;
    }
    return 0;
}

std::uint64_t publishInstances(std::string &value, std::uint64_t last)
{
    const auto list = nlohmann::json::parse(value, nullptr, false);
    if (!list.is_array()) {
        return 0;
    }
    value = nlohmann::json{{"revision", last + 1}, {"instances", list}}.dump();
    return last + 1;
}

} // namespace bergamottide::standin
