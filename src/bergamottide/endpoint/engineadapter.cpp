#include "bergamottide/endpoint/engineadapter.h"

#include "bergamottide/endpoint/calladapter.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*!
 * @brief Times one run is taken up again after its stream broke.
 *
 * Two cover a connection lost and its successor; an engine that breaks more often is
 * failing, and the time left is better spent on another engine.
 */
constexpr int maxResumes = 2;
/*! @brief Largest event of a stream: a token batch of an engine is a few hundred bytes. */
constexpr std::size_t maxEventBytes = 64u << 10;
/*! @brief Bytes of a stream for each byte of result allowed, for the frames around small tokens. */
constexpr std::size_t framingFactor = 64;
/*! @brief Largest answer to an order or a question for the load. */
constexpr std::size_t maxControlBytes = 64u << 10;
/*! @brief Silence after which an order or a question for the load is given up. */
constexpr Duration controlTimeout = std::chrono::seconds{5};

HttpClientOptions streamOptions(HttpClientOptions options)
{
    options.maxBodyBytes *= framingFactor;
    return options;
}

HttpClientOptions controlOptions()
{
    HttpClientOptions options;
    options.ioTimeout = controlTimeout;
    options.maxBodyBytes = maxControlBytes;
    return options;
}

} // namespace

struct EngineAdapter::Run
{
    explicit Run(EndpointStart origin)
        : start{std::move(origin)}
        , tokens{start.resumeTokens}
    {
    }

    EndpointStart start;
    /*! @brief Tokens held so far, with those of an earlier connection. */
    std::uint32_t tokens;
    std::size_t bytes{};
    SseParser parser{maxEventBytes};
    HttpClient *client{};
    HttpCallId call{};
    /*! @brief Judgement of the head; completed while no head has come. */
    CallEnd head;
    bool headSeen{};
    /*! @brief The engine has sent its closing event. */
    bool done{};
    /*! @brief Set when the stream breaks a limit or its own order. */
    Reason fault{Reason::None};
    int resumes{};
};

EngineAdapter::EngineAdapter(Loop &loop, const EndpointSettings &settings, EndpointHooks hooks)
    : m_settings{settings}
    , m_hooks{std::move(hooks)}
    , m_client{loop, streamOptions(repeatableClientOptions(settings))}
    , m_onceClient{loop, streamOptions(onceClientOptions(settings))}
    , m_controlClient{loop, controlOptions()}
{
}

void EngineAdapter::start(const EndpointStart &start)
{
    auto run = std::make_shared<Run>(start);
    run->client = start.run.serial == noSerial ? &m_client : &m_onceClient;
    m_runs[start.run.run] = run;
    call(run);
}

void EngineAdapter::call(const std::shared_ptr<Run> &run)
{
    run->headSeen = false;
    run->head = {};
    run->parser = SseParser{maxEventBytes};
    HttpCallHooks hooks;
    hooks.head = [run](int status, const HttpHeaders &headers) {
        run->headSeen = true;
        run->head = judgeAnswer(status, headers);
    };
    hooks.piece = [this, run](std::string_view bytes) {
        took(run, bytes);
    };
    hooks.done = [this, run](const HttpAnswer &) {
        ended(run);
    };
    hooks.failed = [this, run](HttpFailure failure) {
        broke(run, failure);
    };
    const bool resume = run->resumes > 0;
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
    ignored.done = [](const HttpAnswer &) {
    };
    ignored.failed = [](HttpFailure) {
    };
    m_controlClient.call(m_settings.address, stopRequest(run), std::move(ignored));
}

void EngineAdapter::order(const GiveOrder &order)
{
    const std::uint64_t fence = order.fence;
    HttpCallHooks hooks;
    hooks.done = [this, fence](const HttpAnswer &answer) {
        const CallEnd end = judgeAnswer(answer.status, answer.headers);
        m_hooks.ordered(OrderAnswered{fence, end.result == EndpointResult::Completed});
    };
    hooks.failed = [this, fence](HttpFailure) {
        m_hooks.ordered(OrderAnswered{fence, false});
    };
    m_controlClient.call(m_settings.address, orderRequest(order), std::move(hooks));
}

void EngineAdapter::poll()
{
    if (m_poll != HttpCallId{}) {
        return;
    }
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/load";
    HttpCallHooks hooks;
    hooks.done = [this](const HttpAnswer &answer) {
        m_poll = {};
        auto report = readReport(answer.body);
        if (report && judgeAnswer(answer.status, answer.headers).result == EndpointResult::Completed) {
            m_hooks.reported(std::move(*report));
        }
    };
    hooks.failed = [this](HttpFailure) {
        m_poll = {};
    };
    m_poll = m_controlClient.call(m_settings.address, std::move(request), std::move(hooks));
}

void EngineAdapter::took(const std::shared_ptr<Run> &run, std::string_view bytes)
{
    if (run->fault != Reason::None || run->head.result != EndpointResult::Completed) {
        return;
    }
    const RunId id = run->start.run.run;
    const bool within = run->parser.feed(bytes, [this, &run](const ServerSentEvent &event) { takeEvent(*run, event); });
    if (!within && run->fault == Reason::None) {
        run->fault = Reason::AnswerTooLarge;
    }
    if (run->fault == Reason::None || !m_runs.contains(id)) {
        return;
    }
    const Reason fault = run->fault;
    cancel(id);
    m_hooks.finished(EndpointFinished{id, EndpointResult::Failed, fault});
}

void EngineAdapter::takeEvent(Run &run, const ServerSentEvent &event)
{
    const auto found = m_runs.find(run.start.run.run);
    if (found == m_runs.end() || run.done || run.fault != Reason::None) {
        return;
    }
    if (event.type == "done") {
        run.done = true;
        return;
    }
    if (event.type == "error") {
        run.fault = Reason::EndpointFailed;
        return;
    }
    if (event.type != "token") {
        return;
    }
    const auto tokens = readEngineEvent(event.data);
    if (!tokens) {
        run.fault = Reason::EndpointFailed;
        return;
    }
    takeTokens(run, *tokens);
}

void EngineAdapter::takeTokens(Run &run, const EngineEvent &event)
{
    if (event.offset + event.tokens <= run.tokens && event.tokens > 0) {
        // Already held from an earlier connection.
        return;
    }
    if (event.offset != run.tokens) {
        // Tokens are missing, or a batch reaches back over the point of resumption.
        run.fault = Reason::EndpointFailed;
        return;
    }
    run.bytes += event.text.size();
    if (run.bytes > m_settings.maxResultBytes) {
        run.fault = Reason::AnswerTooLarge;
        return;
    }
    run.tokens += event.tokens;
    m_hooks.piece(EndpointPiece{run.start.run.run, event.text, event.tokens});
}

void EngineAdapter::ended(const std::shared_ptr<Run> &run)
{
    const RunId id = run->start.run.run;
    if (run->head.result != EndpointResult::Completed) {
        // A refusal to resume tells nothing about the run that broke off.
        const bool refused = run->head.result == EndpointResult::Refused && run->resumes == 0;
        finish(id, refused ? EndpointResult::Refused : EndpointResult::Failed, run->head.reason);
        return;
    }
    if (run->done) {
        finish(id, EndpointResult::Completed, Reason::None);
        return;
    }
    resumeOrFail(run, Reason::EndpointFailed);
}

void EngineAdapter::broke(const std::shared_ptr<Run> &run, HttpFailure failure)
{
    const CallEnd end = judgeFailure(failure);
    const RunId id = run->start.run.run;
    if (end.result == EndpointResult::Refused && run->resumes == 0) {
        finish(id, EndpointResult::Refused, end.reason);
        return;
    }
    if (run->done) {
        finish(id, EndpointResult::Completed, Reason::None);
        return;
    }
    if (failure == HttpFailure::Broken) {
        resumeOrFail(run, end.reason);
        return;
    }
    finish(id, EndpointResult::Failed, end.reason);
}

void EngineAdapter::resumeOrFail(const std::shared_ptr<Run> &run, Reason reason)
{
    if (!run->headSeen || run->resumes == maxResumes) {
        finish(run->start.run.run, EndpointResult::Failed, reason);
        return;
    }
    ++run->resumes;
    call(run);
}

void EngineAdapter::finish(const RunId &run, EndpointResult result, Reason reason)
{
    m_runs.erase(run);
    m_hooks.finished(EndpointFinished{run, result, reason});
}

} // namespace bergamottide
