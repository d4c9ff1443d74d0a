#include "standins.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
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

constexpr int statusBusy = 503;
constexpr int statusGone = 410;
constexpr int statusOtherInstance = 421;

} // namespace

StoreStandIn::StoreStandIn(Loop &loop)
    : m_loop{loop}
    , m_server{loop, serverOptions(),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   handle(request, responder);
               }}
{
    static_cast<void>(m_server.listen());
}

std::string StoreStandIn::address() const
{
    return m_server.address();
}

void StoreStandIn::publish(const std::string &key, const std::string &value)
{
    m_items[key] = {value, ++m_revision};
    answerWatches(200);
}

void StoreStandIn::remove(const std::string &key)
{
    m_items[key] = {{}, ++m_revision, true};
    answerWatches(200);
}

void StoreStandIn::setDown(bool down)
{
    m_down = down;
    answerWatches(down ? statusBusy : 200);
}

void StoreStandIn::answerWatches(int status)
{
    for (const Watch &watch : std::exchange(m_watches, {})) {
        watch.responder->answer({status, {}, page("events", watch.after)});
    }
}

void StoreStandIn::keepOldList()
{
    m_oldItems = m_items;
    m_oldRevision = m_revision;
}

void StoreStandIn::serveOldPagesAfter(const std::string &key)
{
    m_splitAfter = key;
}

void StoreStandIn::forgetHistory()
{
    m_historyBegin = m_revision;
}

std::size_t StoreStandIn::calls() const noexcept
{
    return m_calls;
}

void StoreStandIn::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    ++m_calls;
    if (m_down) {
        responder->answer({statusBusy, {}, {}});
        return;
    }
    if (request.path == "/bergamottide/kv-range") {
        const bool isOld = queryValue(request.query, "allowStale") == "1" && !m_oldItems.empty();
        responder->answer({200, {}, isOld ? oldPage(queryValue(request.query, "after")) : page("items", 0)});
        return;
    }
    const std::uint64_t after = std::stoull(std::string{queryValue(request.query, "after")});
    if (after < m_historyBegin) {
        responder->answer({statusGone, {}, {}});
        return;
    }
    if (after < m_revision) {
        responder->answer({200, {}, page("events", after)});
        return;
    }
    m_watches.push_back({responder, after});
    const std::chrono::milliseconds wait{std::stoll(std::string{queryValue(request.query, "waitMs")})};
    m_loop.at(m_loop.now() + wait, [this, responder] { expire(responder); });
}

/*! @brief Answers a watch without events if it still waits. */
void StoreStandIn::expire(const std::shared_ptr<HttpResponder> &responder)
{
    const auto found = std::ranges::find(m_watches, responder, &Watch::responder);
    if (found != m_watches.end()) {
        m_watches.erase(found);
        responder->answer({200, {}, page("events", m_revision)});
    }
}

std::string StoreStandIn::page(const std::string &field, std::uint64_t after) const
{
    json items = json::array();
    for (const auto &[key, item] : m_items) {
        if (item.revision <= after || (item.isRemoved && after == 0)) {
            continue;
        }
        items.push_back({{"key", key}, {"revision", item.revision}});
        if (item.isRemoved) {
            items.back()["tombstone"] = true;
        } else {
            items.back()["value"] = absl::Base64Escape(item.value);
        }
    }
    return json{{field, std::move(items)}, {"storeRevision", m_revision}}.dump();
}

/*! @brief Returns a page of a list that may be old, behind a key. */
std::string StoreStandIn::oldPage(std::string_view after) const
{
    const bool isFirstOfTwo = !m_splitAfter.empty() && after.empty();
    json items = json::array();
    for (const auto &[key, item] : isFirstOfTwo ? m_items : m_oldItems) {
        if (key > after && (!isFirstOfTwo || key <= m_splitAfter)) {
            items.push_back({{"key", key}, {"value", absl::Base64Escape(item.value)}, {"revision", item.revision}});
        }
    }
    return json{{"items", std::move(items)},
                {"hasMore", isFirstOfTwo},
                {"storeRevision", isFirstOfTwo ? m_revision : m_oldRevision}}
        .dump();
}

EndpointStandIn::EndpointStandIn(Loop &loop, std::string instance)
    : m_instance{std::move(instance)}
    , m_server{loop, serverOptions(),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   handle(request, responder);
               }}
{
    static_cast<void>(m_server.listen());
}

std::string EndpointStandIn::address() const
{
    return m_server.address();
}

void EndpointStandIn::setMood(EndpointMood mood)
{
    m_mood = mood;
}

const std::vector<HttpRequest> &EndpointStandIn::runs() const noexcept
{
    return m_runs;
}

const std::vector<std::string> &EndpointStandIn::freed() const noexcept
{
    return m_freed;
}

void EndpointStandIn::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path == "/bergamottide/stage-free") {
        const json body = json::parse(request.body);
        for (const json &handle : body.at("handles")) {
            m_freed.push_back(handle.get<std::string>());
        }
        responder->answer({200, {}, {}});
        return;
    }
    if (headerValue(request.headers, "expect-instance") != m_instance) {
        responder->answer({statusOtherInstance, {}, {}});
        return;
    }
    if (m_mood == EndpointMood::Full) {
        responder->answer({statusBusy, {{"not-executed", "1"}}, {}});
        return;
    }
    if (request.path == "/bergamottide/stage-run") {
        makePieces(request, *responder);
        return;
    }
    run(request, *responder);
}

void EndpointStandIn::makePieces(const HttpRequest &request, HttpResponder &responder)
{
    json items = json::array();
    for (std::size_t item = 0; item < json::parse(request.body).at("items").size(); ++item) {
        items.push_back({{"handle", absl::StrCat(address(), "/piece-", ++m_pieces)}});
    }
    responder.answer({200, {}, json{{"items", std::move(items)}}.dump()});
}

void EndpointStandIn::run(const HttpRequest &request, HttpResponder &responder)
{
    m_runs.push_back(request);
    const std::string attempt{headerValue(request.headers, "attempt-id")};
    HttpHeaders headers{{"attempt-id", m_mood == EndpointMood::Foreign ? "another" : attempt}};
    if (m_mood != EndpointMood::Unsigned) {
        headers.emplace_back("response-seal", "seal");
    }
    if (headerValue(request.headers, "model").empty()) {
        responder.answer({200, headers, "the endpoint's bytes"});
        return;
    }
    headers.emplace_back("content-type", "text/event-stream");
    responder.begin(200, headers);
    responder.send("id: 0\ndata: a\n\n");
    responder.send("id: 1\ndata: b\n\n");
    responder.finish();
}

} // namespace bergamottide::test
