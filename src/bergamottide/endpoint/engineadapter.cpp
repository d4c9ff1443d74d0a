#include "bergamottide/endpoint/engineadapter.h"

#include "bergamottide/endpoint/unaryadapter.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Maximum number of resumptions of one run; if its stream breaks again, the run fails. */
constexpr int maxResumptions = 2;
/*! @brief Maximum size of one server-sent event in bytes. */
constexpr std::size_t maxEventBytes = 64u << 10;
/*! @brief Maximum ratio of stream bytes to result bytes; small tokens have a large framing overhead. */
constexpr std::size_t framingFactor = 64;
/*! @brief Maximum response size of orders, cancellations and load requests in bytes. */
constexpr std::size_t maxControlBytes = 64u << 10;
/*! @brief I/O timeout of orders, cancellations and load requests. */
constexpr Duration controlTimeout = std::chrono::seconds{5};

HttpClientOptions streamClientOptions(HttpClientOptions options)
{
    options.maxBodyBytes *= framingFactor;
    return options;
}

HttpClientOptions controlClientOptions()
{
    HttpClientOptions options;
    options.ioTimeout = controlTimeout;
    options.maxBodyBytes = maxControlBytes;
    return options;
}

} // namespace

struct EngineAdapter::Run
{
    explicit Run(StartEndpointRun origin)
        : start{std::move(origin)}
        , tokens{start.receivedTokens}
    {
    }

    StartEndpointRun start;
    /*! @brief Number of tokens received so far, over all connections. */
    std::uint32_t tokens;
    std::size_t resultBytes{};
    SseParser parser{maxEventBytes};
    HttpClient *client{};
    HttpCallId call{};
    /*! @brief Outcome according to the response head; `Completed` until a head has been received. */
    CallOutcome responseOutcome;
    bool headReceived{};
    /*! @brief The engine has sent its `done` event. */
    bool endReceived{};
    /*! @brief Set when the stream exceeds a limit, is malformed or reports an error. */
    Reason fault{Reason::None};
    int resumptions{};
};

EngineAdapter::EngineAdapter(Loop &loop, const EndpointSettings &settings, EndpointHooks hooks)
    : m_settings{settings}
    , m_hooks{std::move(hooks)}
    , m_client{loop, streamClientOptions(repeatableClientOptions(settings))}
    , m_atMostOnceClient{loop, streamClientOptions(atMostOnceClientOptions(settings))}
    , m_controlClient{loop, controlClientOptions()}
{
}

void EngineAdapter::start(const StartEndpointRun &start)
{
    auto run = std::make_shared<Run>(start);
    run->client = start.spec.serial == noSerial ? &m_client : &m_atMostOnceClient;
    m_runs[start.spec.run] = run;
    sendRequest(run);
}

void EngineAdapter::sendRequest(const std::shared_ptr<Run> &run)
{
    run->headReceived = false;
    run->responseOutcome = {};
    run->parser = SseParser{maxEventBytes};
    HttpCallHooks hooks;
    hooks.head = [run](int status, const HttpHeaders &headers) {
        run->headReceived = true;
        run->responseOutcome = classifyResponse(status, headers);
    };
    hooks.piece = [this, run](std::string_view bytes) {
        handleBytes(run, bytes);
    };
    hooks.done = [this, run](const HttpResponse &) {
        handleResponseEnd(run);
    };
    hooks.failed = [this, run](HttpFailure failure) {
        handleFailure(run, failure);
    };
    const bool resume = run->resumptions > 0;
    run->call =
        run->client->call(m_settings.address, generateRequest(run->start, run->tokens, resume), std::move(hooks));
}

void EngineAdapter::cancel(const RunId &run)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    found->second->client->cancel(found->second->call);
    m_runs.erase(found);
    HttpCallHooks ignored;
    ignored.done = [](const HttpResponse &) {
    };
    ignored.failed = [](HttpFailure) {
    };
    m_controlClient.call(m_settings.address, cancelRequest(run), std::move(ignored));
}

void EngineAdapter::sendOrder(const SendOrder &order)
{
    const std::uint64_t fence = order.fencingToken;
    HttpCallHooks hooks;
    hooks.done = [this, fence](const HttpResponse &answer) {
        const CallOutcome outcome = classifyResponse(answer.status, answer.headers);
        m_hooks.orderAnswered(OrderAnswered{fence, outcome.result == EndpointResult::Completed});
    };
    hooks.failed = [this, fence](HttpFailure) {
        m_hooks.orderAnswered(OrderAnswered{fence, false});
    };
    m_controlClient.call(m_settings.address, orderRequest(order), std::move(hooks));
}

void EngineAdapter::requestLoad()
{
    if (m_loadCall != HttpCallId{}) {
        return;
    }
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/load";
    HttpCallHooks hooks;
    hooks.done = [this](const HttpResponse &answer) {
        m_loadCall = {};
        auto report = parseLoadReport(answer.body);
        if (report && classifyResponse(answer.status, answer.headers).result == EndpointResult::Completed) {
            m_hooks.loadReported(std::move(*report));
        }
    };
    hooks.failed = [this](HttpFailure) {
        m_loadCall = {};
    };
    m_loadCall = m_controlClient.call(m_settings.address, std::move(request), std::move(hooks));
}

void EngineAdapter::handleBytes(const std::shared_ptr<Run> &run, std::string_view bytes)
{
    if (run->fault != Reason::None || run->responseOutcome.result != EndpointResult::Completed) {
        return;
    }
    const RunId id = run->start.spec.run;
    const bool isWithinLimits =
        run->parser.feed(bytes, [this, &run](const ServerSentEvent &event) { handleEvent(*run, event); });
    if (!isWithinLimits && run->fault == Reason::None) {
        run->fault = Reason::AnswerTooLarge;
    }
    if (run->fault == Reason::None || !m_runs.contains(id)) {
        return;
    }
    const Reason fault = run->fault;
    cancel(id);
    m_hooks.finished(EndpointRunEnded{id, EndpointResult::Failed, fault});
}

void EngineAdapter::handleEvent(Run &run, const ServerSentEvent &event)
{
    const auto found = m_runs.find(run.start.spec.run);
    if (found == m_runs.end() || run.endReceived || run.fault != Reason::None) {
        return;
    }
    if (event.type == "done") {
        run.endReceived = true;
        return;
    }
    if (event.type == "error") {
        run.fault = Reason::EndpointFailed;
        return;
    }
    if (event.type != "token") {
        return;
    }
    const auto tokens = parseTokenEvent(event.data);
    if (!tokens) {
        run.fault = Reason::EndpointFailed;
        return;
    }
    handleTokens(run, *tokens);
}

void EngineAdapter::handleTokens(Run &run, const TokenEvent &event)
{
    if (event.offset + event.tokens <= run.tokens && event.tokens > 0) {
        // Already received on an earlier connection.
        return;
    }
    if (event.offset != run.tokens) {
        // Tokens are missing, or the event contains received tokens as well as new ones.
        run.fault = Reason::EndpointFailed;
        return;
    }
    run.resultBytes += event.text.size();
    if (run.resultBytes > m_settings.maxResultBytes) {
        run.fault = Reason::AnswerTooLarge;
        return;
    }
    run.tokens += event.tokens;
    m_hooks.piece(EndpointResultPiece{run.start.spec.run, event.text, event.tokens});
}

void EngineAdapter::handleResponseEnd(const std::shared_ptr<Run> &run)
{
    const RunId id = run->start.spec.run;
    if (run->responseOutcome.result != EndpointResult::Completed) {
        // A refused resumption says nothing about the run itself, which has started.
        const bool refused = run->responseOutcome.result == EndpointResult::Refused && run->resumptions == 0;
        finish(id, refused ? EndpointResult::Refused : EndpointResult::Failed, run->responseOutcome.reason);
        return;
    }
    if (run->endReceived) {
        finish(id, EndpointResult::Completed, Reason::None);
        return;
    }
    resumeOrFail(run, Reason::EndpointFailed);
}

void EngineAdapter::handleFailure(const std::shared_ptr<Run> &run, HttpFailure failure)
{
    const CallOutcome outcome = classifyFailure(failure);
    const RunId id = run->start.spec.run;
    if (outcome.result == EndpointResult::Refused && run->resumptions == 0) {
        finish(id, EndpointResult::Refused, outcome.reason);
        return;
    }
    if (run->endReceived) {
        finish(id, EndpointResult::Completed, Reason::None);
        return;
    }
    if (failure == HttpFailure::Broken) {
        resumeOrFail(run, outcome.reason);
        return;
    }
    finish(id, EndpointResult::Failed, outcome.reason);
}

void EngineAdapter::resumeOrFail(const std::shared_ptr<Run> &run, Reason reason)
{
    if (!run->headReceived || run->resumptions == maxResumptions) {
        finish(run->start.spec.run, EndpointResult::Failed, reason);
        return;
    }
    ++run->resumptions;
    sendRequest(run);
}

void EngineAdapter::finish(const RunId &run, EndpointResult result, Reason reason)
{
    m_runs.erase(run);
    m_hooks.finished(EndpointRunEnded{run, result, reason});
}

} // namespace bergamottide
