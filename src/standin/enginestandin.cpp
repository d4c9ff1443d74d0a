#include "standin/enginestandin.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamottide::standin {

namespace {

using Json = nlohmann::json;

constexpr std::string_view generatePath = "/v1/generate";
/*! @brief Time a finished run is kept for a stream that comes back. */
constexpr Duration keepTime = std::chrono::seconds{10};

} // namespace

struct EngineStandIn::Run
{
    std::string name;
    std::string request;
    std::string stage;
    int priority{};
    std::uint32_t wanted{};
    std::uint32_t made{};
    std::uint32_t events{};
    bool running{};
    bool finished{};
    bool stopped{};
    TimerId timer{};
    std::shared_ptr<HttpResponder> responder;

    [[nodiscard]] std::string text(std::uint32_t token) const
    {
        return token == 0 ? request : absl::StrCat(" w", token);
    }
};

EngineStandIn::EngineStandIn(Loop &loop, const EngineOptions &options)
    : m_loop{loop}
    , m_options{options}
    , m_time{options.law}
{
}

void EngineStandIn::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (request.path == "/v1/executions") {
        answerJson(*responder, 200, m_executions.json());
        return;
    }
    if (request.path == "/v1/load") {
        answerJson(*responder, 200, loadJson());
        return;
    }
    if (request.path == "/v1/orders" && request.method == "GET") {
        answerJson(*responder, 200, ordersJson());
        return;
    }
    if (request.path == "/v1/orders") {
        order(request, *responder);
        return;
    }
    if (request.method == "DELETE" && request.path.starts_with(generatePath)) {
        stop(request.path.substr(generatePath.size() + 1));
        answerJson(*responder, 200, "{}");
        return;
    }
    if (request.path == generatePath) {
        generate(request, std::move(responder));
        return;
    }
    answerJson(*responder, 404, "{}");
}

void EngineStandIn::generate(const HttpRequest &request, std::shared_ptr<HttpResponder> responder)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("engine")) {
        answerJson(*responder, 400, "{}");
        return;
    }
    const Json &engine = body["engine"];
    const auto name = engine.value("run", std::string{});
    const auto fromToken = engine.value("from_token", 0U);
    const auto found = m_runs.find(name);
    if (engine.value("resume", false)) {
        if (found == m_runs.end()) {
            answerJson(*responder, 404, "{}");
            return;
        }
        attach(found->second, std::move(responder), fromToken);
        return;
    }
    auto run = std::make_shared<Run>();
    run->name = name;
    run->request = headerValue(request.headers, "x-request-id");
    run->stage = headerValue(request.headers, "x-stage");
    run->priority = engine.value("priority", 0);
    const auto wanted = engine.value("max_tokens", 0U);
    run->wanted = wanted == 0 ? m_options.defaultTokens : wanted;
    m_runs[name] = run;
    attach(run, std::move(responder), fromToken);
    m_waiting.push_back(run);
    admitWaiting();
}

void EngineStandIn::attach(const std::shared_ptr<Run> &run, std::shared_ptr<HttpResponder> responder,
                           std::uint32_t fromToken)
{
    run->responder = std::move(responder);
    run->responder->begin(200, {{"content-type", "text/event-stream"}});
    const HttpResponder *own = run->responder.get();
    run->responder->onClosed([run, own] {
        if (run->responder.get() == own) {
            run->responder.reset();
        }
    });
    if (fromToken < run->made) {
        sendFrom(*run, fromToken, run->made);
    }
    if (run->finished) {
        run->responder->send("event: done\ndata: {}\n\n");
        run->responder->finish();
    }
}

void EngineStandIn::admitWaiting()
{
    while (m_running < m_options.concurrency && !m_waiting.empty()) {
        const auto best = std::max_element(m_waiting.begin(), m_waiting.end(), [](const auto &left, const auto &right) {
            return left->priority < right->priority;
        });
        const auto run = *best;
        m_waiting.erase(best);
        begin(run);
    }
}

void EngineStandIn::begin(const std::shared_ptr<Run> &run)
{
    ++m_running;
    run->running = true;
    m_executions.start(run->request, run->stage);
    run->timer = m_loop.at(m_loop.now() + m_time.base(), [this, run] { step(run); });
}

void EngineStandIn::step(const std::shared_ptr<Run> &run)
{
    const std::uint32_t first = run->made;
    run->made = std::min(run->wanted, first + m_options.tokensPerEvent);
    sendFrom(*run, first, run->made);
    if (run->made == run->wanted) {
        end(run);
        return;
    }
    run->timer = m_loop.at(m_loop.now() + m_time.token() * m_options.tokensPerEvent, [this, run] { step(run); });
}

void EngineStandIn::sendFrom(Run &run, std::uint32_t first, std::uint32_t last)
{
    if (!run.responder) {
        return;
    }
    std::string text;
    for (std::uint32_t token = first; token < last; ++token) {
        text += run.text(token);
    }
    const Json data{{"offset", first}, {"tokens", last - first}, {"text", text}};
    run.responder->send(absl::StrCat("event: token\ndata: ", data.dump(), "\n\n"));
    ++run.events;
    if (m_options.breakAfterEvents != 0 && run.events == m_options.breakAfterEvents) {
        run.responder->finish();
        run.responder.reset();
    }
}

void EngineStandIn::end(const std::shared_ptr<Run> &run)
{
    run->finished = true;
    run->running = false;
    --m_running;
    m_executions.complete(run->request, run->stage);
    if (run->responder) {
        run->responder->send("event: done\ndata: {}\n\n");
        run->responder->finish();
        run->responder.reset();
    }
    m_loop.at(m_loop.now() + keepTime, [this, run] {
        const auto found = m_runs.find(run->name);
        if (found != m_runs.end() && found->second == run) {
            m_runs.erase(found);
        }
    });
    admitWaiting();
}

void EngineStandIn::stop(const std::string &name)
{
    const auto found = m_runs.find(name);
    if (found == m_runs.end()) {
        return;
    }
    const auto run = found->second;
    m_runs.erase(found);
    std::erase(m_waiting, run);
    m_loop.cancel(run->timer);
    run->responder.reset();
    if (run->running) {
        run->running = false;
        --m_running;
    }
    admitWaiting();
}

void EngineStandIn::order(const HttpRequest &request, HttpResponder &responder)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answerJson(responder, 400, "{}");
        return;
    }
    const auto fence = body.value("fence", std::uint64_t{0});
    if (m_options.honoursFencing && fence < m_fence) {
        answerJson(responder, 409, "{}");
        return;
    }
    m_fence = std::max(m_fence, fence);
    m_orders.push_back(body.dump());
    const auto kind = body.value("kind", std::string{});
    const auto model = body.value("model", std::string{});
    m_loop.at(m_loop.now() + m_options.loadTime, [this, kind, model] {
        if (kind == "load_model") {
            m_models.insert(model);
        }
        if (kind == "unload_model") {
            m_models.erase(model);
        }
    });
    answerJson(responder, 200, "{}");
}

std::string EngineStandIn::loadJson() const
{
    const Json load{{"running", m_running},
                    {"waiting", m_waiting.size()},
                    {"models", m_models},
                    {"fence", m_options.honoursFencing ? m_fence : 0}};
    return load.dump();
}

std::string EngineStandIn::ordersJson() const
{
    Json list = Json::array();
    for (const std::string &order : m_orders) {
        list.push_back(Json::parse(order));
    }
    return Json{{"orders", std::move(list)}}.dump();
}

} // namespace bergamottide::standin
