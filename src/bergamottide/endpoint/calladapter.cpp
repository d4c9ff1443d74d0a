#include "bergamottide/endpoint/calladapter.h"

#include "bergamottide/endpoint/endpointwire.h"

#include <utility>

namespace bergamottide {

HttpClientOptions repeatableClientOptions(const EndpointSettings &settings)
{
    HttpClientOptions options;
    options.ioTimeout = settings.silence;
    options.maxBodyBytes = settings.maxResultBytes;
    return options;
}

HttpClientOptions onceClientOptions(const EndpointSettings &settings)
{
    HttpClientOptions options = repeatableClientOptions(settings);
    options.idleConnections = 0;
    return options;
}

CallAdapter::CallAdapter(Loop &loop, const EndpointSettings &settings, MakeRequest makeRequest, EndpointHooks hooks)
    : m_loop{loop}
    , m_address{settings.address}
    , m_makeRequest{std::move(makeRequest)}
    , m_hooks{std::move(hooks)}
    , m_client{loop, repeatableClientOptions(settings)}
    , m_onceClient{loop, onceClientOptions(settings)}
{
}

void CallAdapter::start(const EndpointStart &start)
{
    const RunId run = start.run.run;
    HttpClient &client = start.run.serial == noSerial ? m_client : m_onceClient;
    HttpCallHooks hooks;
    hooks.done = [this, run](HttpAnswer answer) {
        answered(run, std::move(answer));
    };
    hooks.failed = [this, run](HttpFailure failure) {
        const CallEnd end = judgeFailure(failure);
        finish(run, end.result, end.reason);
    };
    m_calls[run] = Call{&client, client.call(m_address, m_makeRequest(start), std::move(hooks))};
}

void CallAdapter::cancel(const RunId &run)
{
    const auto found = m_calls.find(run);
    if (found == m_calls.end()) {
        return;
    }
    found->second.client->cancel(found->second.id);
    m_calls.erase(found);
}

void CallAdapter::order(const GiveOrder &order)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_loop.post([this, alive, fence = order.fence] {
        if (!alive.expired()) {
            m_hooks.ordered(OrderAnswered{fence, false});
        }
    });
}

void CallAdapter::poll()
{
}

void CallAdapter::answered(const RunId &run, HttpAnswer answer)
{
    const CallEnd end = judgeAnswer(answer.status, answer.headers);
    if (end.result == EndpointResult::Completed && !answer.body.empty()) {
        m_hooks.piece(EndpointPiece{run, std::move(answer.body), 0});
    }
    finish(run, end.result, end.reason);
}

void CallAdapter::finish(const RunId &run, EndpointResult result, Reason reason)
{
    m_calls.erase(run);
    m_hooks.finished(EndpointFinished{run, result, reason});
}

} // namespace bergamottide
