#include "bergamottide/endpoint/unaryadapter.h"

#include "bergamottide/endpoint/endpointwire.h"

#include <utility>

namespace bergamottide {

HttpClientOptions repeatableClientOptions(const EndpointSettings &settings)
{
    HttpClientOptions options;
    options.ioTimeout = settings.ioTimeout;
    options.maxBodyBytes = settings.maxResultBytes;
    return options;
}

HttpClientOptions atMostOnceClientOptions(const EndpointSettings &settings)
{
    HttpClientOptions options = repeatableClientOptions(settings);
    options.idleConnections = 0;
    return options;
}

UnaryAdapter::UnaryAdapter(Loop &loop, const EndpointSettings &settings, MakeRequest makeRequest, EndpointHooks hooks)
    : m_loop{loop}
    , m_address{settings.address}
    , m_makeRequest{std::move(makeRequest)}
    , m_hooks{std::move(hooks)}
    , m_client{loop, repeatableClientOptions(settings)}
    , m_atMostOnceClient{loop, atMostOnceClientOptions(settings)}
{
}

void UnaryAdapter::start(const StartEndpointRun &start)
{
    const RunId run = start.spec.run;
    HttpClient &client = start.spec.serial == noSerial ? m_client : m_atMostOnceClient;
    HttpCallHooks hooks;
    hooks.done = [this, run](HttpResponse answer) {
        handleResponse(run, std::move(answer));
    };
    hooks.failed = [this, run](HttpFailure failure) {
        const CallOutcome outcome = classifyFailure(failure);
        finish(run, outcome.result, outcome.reason);
    };
    m_calls[run] = Call{&client, client.call(m_address, m_makeRequest(start), std::move(hooks))};
}

void UnaryAdapter::cancel(const RunId &run)
{
    const auto found = m_calls.find(run);
    if (found == m_calls.end()) {
        return;
    }
    found->second.client->cancel(found->second.id);
    m_calls.erase(found);
}

void UnaryAdapter::sendOrder(const SendOrder &order)
{
    const std::weak_ptr<bool> alive = m_alive;
    m_loop.post([this, alive, fence = order.fencingToken] {
        if (!alive.expired()) {
            m_hooks.orderAnswered(OrderAnswered{fence, false});
        }
    });
}

void UnaryAdapter::requestLoad()
{
}

void UnaryAdapter::handleResponse(const RunId &run, HttpResponse answer)
{
    const CallOutcome outcome = classifyResponse(answer.status, answer.headers);
    if (outcome.result == EndpointResult::Completed && !answer.body.empty()) {
        m_hooks.piece(EndpointResultPiece{run, std::move(answer.body), 0});
    }
    finish(run, outcome.result, outcome.reason);
}

void UnaryAdapter::finish(const RunId &run, EndpointResult result, Reason reason)
{
    m_calls.erase(run);
    m_hooks.finished(EndpointRunEnded{run, result, reason});
}

} // namespace bergamottide
