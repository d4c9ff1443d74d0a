#include "fakes.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamottide::test {

namespace {

using nlohmann::json;

HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.listen = "127.0.0.1:0";
    return options;
}

constexpr int statusUnavailable = 503;
constexpr int statusGone = 410;
constexpr int statusMisdirected = 421;

/*! @brief Stands for a lone surrogate in a document until that is written; no test has it in a key. */
constexpr char surrogateMark = '\x01';

std::string jsonKey(const std::string &key)
{
    return absl::StrReplaceAll(key, {{loneSurrogate(), std::string{surrogateMark}}});
}

std::string dumped(const json &document)
{
    return absl::StrReplaceAll(document.dump(), {{"\\u0001", "\\udcff"}});
}

/*! @brief Decodes a part of a query as servers do that take a plus for a blank. */
std::string formDecoded(absl::string_view text)
{
    std::string out;
    while (!text.empty()) {
        const bool isEncoded =
            text.size() > 2 && text[0] == '%' && absl::ascii_isxdigit(text[1]) && absl::ascii_isxdigit(text[2]);
        if (isEncoded) {
            out += absl::HexStringToBytes(text.substr(1, 2));
        } else {
            out += text[0] == '+' ? ' ' : text[0];
        }
        text.remove_prefix(isEncoded ? 3 : 1);
    }
    return out;
}

/*! @brief Returns the last value of a name in a query, whose fragment is cut off; empty if it is missing. */
std::string formValue(const std::string &query, const std::string &name)
{
    std::string out;
    for (const absl::string_view pair : absl::StrSplit(query.substr(0, query.find('#')), '&')) {
        const std::pair<absl::string_view, absl::string_view> parts = absl::StrSplit(pair, absl::MaxSplits('=', 1));
        if (formDecoded(parts.first) == name) {
            out = formDecoded(parts.second);
        }
    }
    return out;
}

} // namespace

std::string loneSurrogate()
{
    return "\xed\xb3\xbf";
}

FakeStore::FakeStore(Loop &loop)
    : m_loop{loop}
    , m_server{loop, serverOptions(),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   handle(request, responder);
               }}
{
    static_cast<void>(m_server.listen());
}

std::string FakeStore::address() const
{
    return m_server.address();
}

void FakeStore::publish(const std::string &key, const std::string &value)
{
    if (m_keepsHistory && m_items.contains(key)) {
        m_history.emplace_back(key, m_items[key]);
    }
    m_items[key] = {value, ++m_revision};
    answerWaitingWatches(200);
}

void FakeStore::remove(const std::string &key)
{
    if (m_keepsHistory && m_items.contains(key)) {
        m_history.emplace_back(key, m_items[key]);
    }
    m_items[key] = {{}, ++m_revision, true};
    answerWaitingWatches(200);
}

void FakeStore::setUnavailable(bool isUnavailable)
{
    m_isUnavailable = isUnavailable;
    answerWaitingWatches(isUnavailable ? statusUnavailable : 200);
}

void FakeStore::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
    if (!isSilent) {
        m_unanswered.clear();
        return;
    }
    for (const Watch &watch : std::exchange(m_watches, {})) {
        m_unanswered.push_back(watch.responder);
    }
}

void FakeStore::answerWaitingWatches(int status)
{
    for (const Watch &watch : std::exchange(m_watches, {})) {
        watch.responder->respond({status, {}, page("events", watch.after)});
    }
}

void FakeStore::freezeStaleList()
{
    m_staleItems = m_items;
    m_staleRevision = m_revision;
}

void FakeStore::splitStaleListAfter(const std::string &key)
{
    m_splitAfter = key;
}

void FakeStore::discardHistory()
{
    m_discardedRevision = m_revision;
}

void FakeStore::keepHistory()
{
    m_keepsHistory = true;
}

void FakeStore::cutWatches()
{
    m_discardedRevision = ++m_revision;
    for (const Watch &watch : std::exchange(m_watches, {})) {
        watch.responder->abort();
    }
}

void FakeStore::setPageSize(std::size_t items)
{
    m_pageSize = items;
}

void FakeStore::setListReply(std::function<std::string(const std::string &after)> reply)
{
    m_listReply = std::move(reply);
}

void FakeStore::setWatchReply(std::string body)
{
    m_watchReply = std::move(body);
    for (const Watch &watch : std::exchange(m_watches, {})) {
        watch.responder->respond({200, {}, m_watchReply});
    }
}

std::size_t FakeStore::requestCount() const noexcept
{
    return m_requestCount;
}

std::size_t FakeStore::listCount() const noexcept
{
    return m_listCount;
}

void FakeStore::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    ++m_requestCount;
    if (m_isSilent) {
        m_unanswered.push_back(responder);
        return;
    }
    if (m_isUnavailable) {
        responder->respond({statusUnavailable, {}, {}});
        return;
    }
    if (request.path == "/bergamottide/kv-range") {
        ++m_listCount;
        responder->respond({200, {}, listReply(request)});
        return;
    }
    if (!m_watchReply.empty()) {
        responder->respond({200, {}, m_watchReply});
        return;
    }
    const std::uint64_t after = std::stoull(std::string{queryValue(request.query, "after")});
    if (after < m_discardedRevision) {
        responder->respond({statusGone, {}, {}});
        return;
    }
    if (after < m_revision) {
        responder->respond({200, {}, page("events", after)});
        return;
    }
    m_watches.push_back({responder, after});
    const std::chrono::milliseconds wait{std::stoll(std::string{queryValue(request.query, "waitMs")})};
    m_loop.at(m_loop.now() + wait, [this, responder, alive = std::weak_ptr<int>{m_life}] {
        if (!alive.expired()) {
            expireWatch(responder);
        }
    });
}

std::string FakeStore::listReply(const HttpRequest &request) const
{
    const std::string after = formValue(request.query, "after");
    if (m_listReply) {
        return m_listReply(after);
    }
    if (m_pageSize != 0) {
        return listPage(after, formValue(request.query, "pathPrefix"));
    }
    const bool isStale = formValue(request.query, "allowStale") == "1" && !m_staleItems.empty();
    return isStale ? stalePage(after) : page("items", 0);
}

/*! @brief Returns the page of a list after a key. */
std::string FakeStore::listPage(const std::string &after, const std::string &prefix) const
{
    json items = json::array();
    bool hasMore = false;
    for (const auto &[key, item] : m_items) {
        if (item.isRemoved || key <= after || !key.starts_with(prefix)) {
            continue;
        }
        hasMore = items.size() == m_pageSize;
        if (hasMore) {
            break;
        }
        items.push_back(
            {{"key", jsonKey(key)}, {"value", absl::Base64Escape(item.value)}, {"revision", item.revision}});
    }
    return dumped({{"items", std::move(items)}, {"hasMore", hasMore}, {"storeRevision", m_revision}});
}

/*! @brief Answers a watch without events if it is still waiting. */
void FakeStore::expireWatch(const std::shared_ptr<HttpResponder> &responder)
{
    const auto found = std::ranges::find(m_watches, responder, &Watch::responder);
    if (found != m_watches.end()) {
        m_watches.erase(found);
        responder->respond({200, {}, page("events", m_revision)});
    }
}

std::string FakeStore::page(const std::string &field, std::uint64_t after) const
{
    const bool isList = field == "items";
    json items = json::array();
    for (const auto &[key, item] : m_history) {
        if (!isList && item.revision > after) {
            items.push_back({{"key", key}, {"revision", item.revision}, {"value", absl::Base64Escape(item.value)}});
        }
    }
    for (const auto &[key, item] : m_items) {
        if (item.revision <= after || (item.isRemoved && isList)) {
            continue;
        }
        items.push_back({{"key", jsonKey(key)}, {"revision", item.revision}});
        if (item.isRemoved) {
            items.back()["tombstone"] = true;
        } else {
            items.back()["value"] = absl::Base64Escape(item.value);
        }
    }
    return dumped({{field, std::move(items)}, {"storeRevision", m_revision}});
}

/*! @brief Returns the page after a key of a list with `allowStale`. */
std::string FakeStore::stalePage(std::string_view after) const
{
    const bool isFirstOfTwo = !m_splitAfter.empty() && after.empty();
    json items = json::array();
    for (const auto &[key, item] : isFirstOfTwo ? m_items : m_staleItems) {
        if (key > after && (!isFirstOfTwo || key <= m_splitAfter)) {
            items.push_back({{"key", key}, {"value", absl::Base64Escape(item.value)}, {"revision", item.revision}});
        }
    }
    return json{{"items", std::move(items)},
                {"hasMore", isFirstOfTwo},
                {"storeRevision", isFirstOfTwo ? m_revision : m_staleRevision}}
        .dump();
}

HttpRequest listRequest()
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/bergamottide/kv-range";
    request.query = "pathPrefix=";
    return request;
}

FakePlatformEndpoint::FakePlatformEndpoint(Loop &loop, std::string instance)
    : m_instance{std::move(instance)}
    , m_server{loop, serverOptions(),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   handle(request, responder);
               }}
{
    static_cast<void>(m_server.listen());
}

std::string FakePlatformEndpoint::address() const
{
    return m_server.address();
}

void FakePlatformEndpoint::setBehaviour(EndpointBehaviour behaviour)
{
    m_behaviour = behaviour;
}

void FakePlatformEndpoint::setHeaders(const std::string &path, HttpHeaders headers)
{
    m_addedHeaders[path] = std::move(headers);
}

HttpHeaders FakePlatformEndpoint::withAddedHeaders(const HttpRequest &request, HttpHeaders headers) const
{
    const auto found = m_addedHeaders.find(request.path.starts_with("/bergamottide/") ? request.path : std::string{});
    if (found != m_addedHeaders.end()) {
        headers.insert(headers.end(), found->second.begin(), found->second.end());
    }
    return headers;
}

const std::vector<HttpRequest> &FakePlatformEndpoint::runs() const noexcept
{
    return m_runs;
}

const std::vector<std::string> &FakePlatformEndpoint::releasedHandles() const noexcept
{
    return m_releasedHandles;
}

void FakePlatformEndpoint::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path == "/bergamottide/stage-free") {
        const json body = json::parse(request.body);
        for (const json &handle : body.at("handles")) {
            m_releasedHandles.push_back(handle.get<std::string>());
        }
        responder->respond({200, withAddedHeaders(request, {}), {}});
        return;
    }
    if (headerValue(request.headers, "expect-instance") != m_instance) {
        responder->respond({statusMisdirected, {}, {}});
        return;
    }
    if (m_behaviour == EndpointBehaviour::NotExecuted) {
        responder->respond({statusUnavailable, withAddedHeaders(request, {{"not-executed", "1"}}), {}});
        return;
    }
    if (request.path == "/bergamottide/stage-run") {
        runStage(request, *responder);
        return;
    }
    run(request, *responder);
}

void FakePlatformEndpoint::runStage(const HttpRequest &request, HttpResponder &responder)
{
    json items = json::array();
    for (std::size_t item = 0; item < json::parse(request.body).at("items").size(); ++item) {
        items.push_back({{"handle", absl::StrCat(address(), "/piece-", ++m_pieceCount)}});
    }
    responder.respond({200, withAddedHeaders(request, {}), json{{"items", std::move(items)}}.dump()});
}

void FakePlatformEndpoint::run(const HttpRequest &request, HttpResponder &responder)
{
    m_runs.push_back(request);
    if (m_behaviour == EndpointBehaviour::Crash) {
        m_server.shutdown();
        responder.abort();
        return;
    }
    const std::string attempt{headerValue(request.headers, "attempt-id")};
    HttpHeaders headers{{"attempt-id", m_behaviour == EndpointBehaviour::WrongAttempt ? "another" : attempt}};
    if (m_behaviour != EndpointBehaviour::Unsigned) {
        headers.emplace_back("response-seal", "seal");
    }
    headers = withAddedHeaders(request, std::move(headers));
    if (headerValue(request.headers, "model").empty()) {
        responder.respond({200, headers, "the endpoint's bytes"});
        return;
    }
    headers.emplace_back("content-type", "text/event-stream");
    responder.begin(200, headers);
    responder.send("id: 0\ndata: a\n\n");
    responder.send("id: 1\ndata: b\n\n");
    responder.finish();
}

void publishShop(FakeStore &store, const std::string &endpoint, const std::string &kind, std::size_t maxBodyBytes,
                 Duration timeout)
{
    const json route{{"name", "order"},
                     {"host", "shop"},
                     {"pathPrefix", "/order/"},
                     {"kind", kind},
                     {"timeoutMs", timeout / std::chrono::milliseconds{1}},
                     {"service", "desk"},
                     {"maxAttempts", 1}};
    const json configuration{{"version", 3},
                             {"routes", {route}},
                             {"services", {{{"name", "desk"}}}},
                             {"tenants", {{{"name", "north"}, {"apiKeys", {"key"}}}}},
                             {"limits",
                              {{"maxHeaderBytes", 8000},
                               {"maxBodyBytes", maxBodyBytes},
                               {"headerTimeoutMs", 5000},
                               {"idleTimeoutMs", 10'000}}}};
    store.publish("op/config", configuration.dump());
    publishShopEndpoint(store, "desk-1", endpoint);
}

void publishShopEndpoint(FakeStore &store, const std::string &instance, const std::string &endpoint)
{
    const json entry{{"service", "desk"}, {"address", endpoint}, {"zone", "a"}, {"slots", 1000}, {"state", "ready"}};
    store.publish("servers/" + instance, entry.dump());
}

void publishStagedShop(FakeStore &store, const std::vector<std::string> &stages)
{
    const json route{{"name", "order"},     {"host", "shop"},      {"pathPrefix", "/order/"},
                     {"kind", "streaming"}, {"timeoutMs", 20'000}, {"targetLatencyMs", 20'000},
                     {"service", "desk"},   {"maxAttempts", 1},    {"stages", {{{"service", "cut"}, {"bytes", 1000}}}}};
    const json pieces{{"slots", 1},  {"batch", 1},          {"callMs", 10},
                      {"itemMs", 1}, {"headroomMb", 100.0}, {"handleS", 4.0}};
    const json configuration{{"version", 3},
                             {"routes", {route}},
                             {"services", {{{"name", "desk"}}, {{"name", "cut"}, {"pieces", pieces}}}},
                             {"tenants", {{{"name", "north"}, {"apiKeys", {"key"}}}}}};
    store.publish("op/config", configuration.dump());
    publishShopEndpoint(store, "desk-1", "127.0.0.1:1");
    for (std::size_t number = 0; number < stages.size(); ++number) {
        const json entry{
            {"service", "cut"}, {"address", stages[number]}, {"zone", "a"}, {"slots", 1}, {"state", "ready"}};
        store.publish(absl::StrCat("servers/cut-", number), entry.dump());
    }
}

HttpRequest stagedShopRequest(std::uint64_t attempt)
{
    HttpRequest request = shopRequest(attempt, {});
    request.headers[1].second = "20000";
    request.headers.emplace_back("pieces", "1");
    request.headers.emplace_back("piece-key", "input");
    request.headers.emplace_back("model", "m");
    return request;
}

HttpRequest shopRequest(std::uint64_t attempt, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.authority = "shop";
    request.path = "/order/7";
    request.headers = {
        {"attempt-id", absl::StrCat("attempt-", attempt)}, {"deadline-ms", "4000"}, {"x-api-key", "key"}};
    request.body = std::move(body);
    return request;
}

std::string rawShopFields(std::uint64_t attempt)
{
    return absl::StrCat("Attempt-Id: attempt-", attempt, "\r\nResponse-Seal: seal\r\n");
}

std::string rawShopAnswer(const std::string &transferCoding)
{
    return "HTTP/1.1 200 OK\r\n" + rawShopFields(1) + "Transfer-Encoding: " + transferCoding
        + "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
}

} // namespace bergamottide::test
