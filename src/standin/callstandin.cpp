#include "standin/callstandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamottide::standin {

struct CallStandIn::Run
{
    std::string request;
    std::string stage;
    std::shared_ptr<HttpResponder> responder;
    TimerId timer{};
    bool running{};
    bool gone{};
};

CallStandIn::CallStandIn(Loop &loop, const CallOptions &options)
    : m_loop{loop}
    , m_options{options}
    , m_time{options.law}
    , m_random{options.law.seed + 1}
{
}

void CallStandIn::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (request.path == "/v1/executions") {
        answerJson(*responder, 200, m_executions.json());
        return;
    }
    if (draw(m_options.refuseShare)) {
        responder->respond(HttpResponse{503, {{"x-not-started", "1"}}, ""});
        return;
    }
    auto run = std::make_shared<Run>();
    run->request = headerValue(request.headers, "x-request-id");
    run->stage = headerValue(request.headers, "x-stage");
    run->responder = std::move(responder);
    run->responder->onClosed([this, run] { leave(run); });
    admit(run);
}

void CallStandIn::admit(const std::shared_ptr<Run> &run)
{
    if (m_running >= m_options.concurrency) {
        m_waiting.push_back(run);
        return;
    }
    begin(run);
}

void CallStandIn::begin(const std::shared_ptr<Run> &run)
{
    ++m_running;
    run->running = true;
    m_executions.start(run->request, run->stage);
    run->timer = m_loop.at(m_loop.now() + m_time.base(), [this, run] { end(run); });
}

void CallStandIn::end(const std::shared_ptr<Run> &run)
{
    run->gone = true;
    --m_running;
    if (draw(m_options.failShare)) {
        answerJson(*run->responder, 500, "{}");
    } else {
        m_executions.complete(run->request, run->stage);
        const nlohmann::json body{{"endpoint", m_options.name}, {"stage", run->stage}, {"request", run->request}};
        answerJson(*run->responder, 200, body.dump());
    }
    if (!m_waiting.empty()) {
        const auto next = m_waiting.front();
        m_waiting.pop_front();
        begin(next);
    }
}

void CallStandIn::leave(const std::shared_ptr<Run> &run)
{
    if (run->gone) {
        return;
    }
    run->gone = true;
    if (!run->running) {
        std::erase(m_waiting, run);
        return;
    }
    m_loop.cancel(run->timer);
    --m_running;
    if (!m_waiting.empty()) {
        const auto next = m_waiting.front();
        m_waiting.pop_front();
        begin(next);
    }
}

bool CallStandIn::draw(double share)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(m_random) < share;
}

} // namespace bergamottide::standin
