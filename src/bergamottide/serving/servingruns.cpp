#include "bergamottide/serving/plainplacement.h"
#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

constexpr int firstFailureStatus = 500;
/*! @brief Most urgent and least urgent rank that an engine knows. */
constexpr int leastUrgent = 9;

/*! @brief An endpoint is silent after this many times the typical time to an answer's begin, but not before some time.
 */
constexpr int silenceFactor = 6;
constexpr Duration shortestSilence = std::chrono::milliseconds{1000};

engines::GenerationNumber generationOf(RunNumber run)
{
    return engines::GenerationNumber{static_cast<std::uint64_t>(run)};
}

bool isSuccess(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int firstBeyond = 300;
    return status >= firstSuccess && status < firstBeyond;
}

} // namespace

/*! @brief Tells if an endpoint lies where the request may run. */
bool ServingReducer::mayRunAt(const Request &request, const Endpoint &endpoint) const
{
    return m_regions.allows(*request.route, request.workspace, endpoint.record.zone);
}

/*! @brief Tells if any endpoint of the request's pool takes its work. */
bool ServingReducer::isServed(const Request &request) const
{
    return std::ranges::any_of(m_endpoints.usable(request.pool, m_now),
                               [this, &request](const Endpoint *endpoint) { return mayRunAt(request, *endpoint); });
}

/*! @brief Returns the endpoints to which a request may be sent now. */
std::vector<Endpoint *> ServingReducer::candidates(const Request &request)
{
    std::vector<Endpoint *> out = m_endpoints.usable(request.pool, m_now);
    const Pool *pool = request.catalog->pool(request.pool);
    if (m_paths.hasFailures()) {
        eraseUnreached(out, inputZones(request));
    }
    std::erase_if(out, [this, &request, pool](const Endpoint *endpoint) {
        return !mayRunAt(request, *endpoint) || (pool != nullptr && !m_warmup.admits(*pool, *endpoint, m_now));
    });
    return out;
}

/*! @brief Leaves out endpoints that cannot fetch inputs; where none can, one is tried all the same: the paths may be
 * whole again. */
void ServingReducer::eraseUnreached(std::vector<Endpoint *> &endpoints, const std::set<ZoneName> &inputs) const
{
    const auto isUnreached = [this, &inputs](const Endpoint *endpoint) {
        return m_paths.isBroken(inputs, endpoint->record.zone, m_now);
    };
    if (!std::ranges::all_of(endpoints, isUnreached)) {
        std::erase_if(endpoints, isUnreached);
    }
}

/*! @brief Returns the zones in which the inputs of a request's run lie. */
std::set<ZoneName> ServingReducer::inputZones(const Request &request)
{
    std::set<ZoneName> zones;
    for (const auto &[zone, bytes] : inputBytesByZone(request)) {
        zones.insert(zone);
    }
    return zones;
}

void ServingReducer::startRun(Request &request)
{
    const bool isGeneration = request.route->kind == RouteKind::Streaming;
    const auto choice = isGeneration ? chooseEngine(request) : std::nullopt;
    Endpoint *endpoint = nullptr;
    if (choice) {
        endpoint = m_endpoints.find(choice->engine);
    } else if (!isGeneration) {
        endpoint = pickLeastLoaded(candidates(request), request.tried, request.in->attempt);
    }
    if (endpoint == nullptr) {
        refuse(request, request.mayHaveRun ? AnswerKind::BadGateway : AnswerKind::Unavailable, "no endpoint is left");
        return;
    }
    StartRun start;
    start.run = RunNumber{m_nextRun++};
    start.instance = endpoint->record.instance;
    start.address = endpoint->record.address;
    start.deadline = request.limit - m_now;
    start.workspace = request.workspace.name;
    start.urgency = isGeneration ? std::clamp(request.route->priority, 0, leastUrgent) : -1;
    std::vector<std::uint32_t> leaves;
    for (std::uint32_t stage = 0; stage < request.stages.size(); ++stage) {
        if (request.route->stages[stage].isLeaf) {
            leaves.push_back(stage);
        }
    }
    for (const KeptResult &input : inputsOf(request, leaves)) {
        start.inputs.push_back(input.handle);
    }
    if (const auto last = request.events.last(); last && request.begun) {
        start.lastEvent = absl::StrCat(*last);
    } else {
        start.lastEvent = request.in->lastEvent;
    }
    if (choice) {
        if (const Endpoint *source = m_endpoints.find(choice->fetchFrom); source != nullptr) {
            start.fetchFrom = source->record.address;
        }
        m_engines.sent(
            {generationOf(start.run), choice->engine, request.prompt, choice->toRead, choice->ahead, choice->expected},
            m_now);
        awaitFetch(request, *choice);
    }
    start.mayRunTwice = request.route->mayRunTwice();
    start.request = request.in;
    request.run = start.run;
    request.runStarted = m_now;
    request.isSuspected = false;
    request.endpoint = start.instance;
    request.tried.push_back(start.instance);
    request.head.reset();
    request.body.clear();
    m_runs.emplace(start.run, request.in->call);
    m_endpoints.started(start.instance);
    if (const Pool *pool = request.catalog->pool(request.pool); pool != nullptr) {
        WarmupLimiter::noteSent(*pool, *endpoint, m_now);
    }
    log(request, "A request is sent to an endpoint.",
        {{"route", request.route->name},
         {"endpoint", start.instance.text()},
         {"address", start.address},
         {"in_flight", absl::StrCat(endpoint->inFlight)},
         {"to_read", absl::StrCat(choice ? choice->toRead : 0)},
         {"ahead", absl::StrCat(choice ? static_cast<std::uint64_t>(choice->ahead) : 0)},
         {"expected_ms", absl::StrCat(choice ? choice->expected.count() / 1000 : 0)},
         {"fetch_from", start.fetchFrom},
         {"sends", absl::StrCat(request.tried.size())}});
    m_effects.emplace_back(std::move(start));
}

/*! @brief Notes whether the engine of a request has got its inputs. */
void ServingReducer::noteFetch(const Request &request, bool isFetched)
{
    const bool isNews = !isFetched || m_paths.hasFailures();
    const Endpoint *engine = isNews ? m_endpoints.find(request.endpoint) : nullptr;
    if (engine != nullptr) {
        m_paths.note(inputZones(request), engine->record.zone, isFetched, m_now);
    }
}

/*! @brief Tells if the engine of a request cannot reach its inputs, so that engines of other zones may. */
bool ServingReducer::isOutOfReach(const Request &request)
{
    const Endpoint *engine = m_endpoints.find(request.endpoint);
    return engine != nullptr && m_paths.isBroken(inputZones(request), engine->record.zone, m_now);
}

void ServingReducer::on(const RunAnswered &event)
{
    Request *request = find(event.run);
    if (request == nullptr) {
        return;
    }
    m_endpoints.answered(request->endpoint, m_now);
    m_firstEvents.note(request->pool, m_now - request->runStarted);
    if (event.head.load) {
        m_endpoints.told(request->endpoint, *event.head.load, m_now);
    }
    if (event.head.coldLeft > Duration::zero()) {
        m_endpoints.toldCold(request->endpoint, event.head.coldLeft, m_now);
    }
    if (event.head.foreign || (isSuccess(event.head.status) && !event.head.sealed)) {
        m_effects.emplace_back(CancelRun{event.run});
        runBroke(*request, event.head.foreign ? "the answer names another request" : "the success is not signed");
        return;
    }
    request->head = event.head;
    if (event.head.notExecuted) {
        m_effects.emplace_back(CancelRun{event.run});
        endRun(*request, EndpointSign::Rejected);
        if (event.head.inputsGone) {
            noteFetch(*request, false);
        }
        if (event.head.inputsGone && !isOutOfReach(*request)) {
            for (StageProgress &stage : request->stages) {
                release(stage);
            }
        }
        retryOrGiveUp(*request, false, AnswerKind::Unavailable);
        return;
    }
    request->mayHaveRun = true;
    if (request->route->kind != RouteKind::Streaming || !isSuccess(event.head.status)) {
        return;
    }
    noteFetch(*request, true);
    m_engines.began(generationOf(event.run), m_now);
    if (!request->begun) {
        m_effects.emplace_back(Observe{Metric::FirstEventSeconds,
                                       {request->pool.text()},
                                       std::chrono::duration<double>(m_now - request->runStarted).count()});
        log(*request, "A stream begins.",
            {{"endpoint", request->endpoint.text()},
             {"wait_ms",
              absl::StrCat(
                  std::chrono::duration_cast<std::chrono::milliseconds>(m_now - request->runStarted).count())}});
        request->begun = true;
        request->firstEventAt = m_now;
        m_effects.emplace_back(BeginStream{request->in->call, event.head.status, event.head.headers});
        return;
    }
    // A resumed stream goes on inside the answer begun before; what had not come whole is sent again.
    request->events = EventSplitter{request->events.last()};
}

void ServingReducer::on(const RunReceived &event)
{
    Request *request = find(event.run);
    if (request == nullptr || !request->head) {
        return;
    }
    if (!request->begun || !isSuccess(request->head->status)) {
        request->body += event.bytes;
        return;
    }
    std::string events = request->events.take(event.bytes);
    if (!events.empty()) {
        // The engine has fetched its inputs by now. A stream that breaks off later has them made again: that is rare,
        // while the room of the pools is what binds under a burst.
        for (StageProgress &stage : request->stages) {
            release(stage);
        }
        m_effects.emplace_back(StreamEvents{request->in->call, std::move(events)});
    }
    if (request->events.isBroken()) {
        m_effects.emplace_back(CancelRun{event.run});
        runBroke(*request, "an event is missing");
    }
}

void ServingReducer::on(const RunEnded &event)
{
    Request *request = find(event.run);
    if (request == nullptr) {
        return;
    }
    if (!request->head || (request->begun && request->events.inEvent())) {
        runBroke(*request, request->head ? "the stream ends in an event" : "an answer without a head");
        return;
    }
    const int status = request->head->status;
    if (status >= firstFailureStatus) {
        endRun(*request, EndpointSign::Failed);
        const bool again = request->route->mayRunTwice() && request->tried.size() < request->route->maxAttempts
            && m_budget.take(request->pool, m_now);
        if (again) {
            startRun(*request);
            return;
        }
        passOn(*request);
        return;
    }
    endRun(*request, EndpointSign::Good);
    passOn(*request);
}

void ServingReducer::passOn(Request &request)
{
    const CallId call = request.in->call;
    const int status = request.head->status;
    if (request.begun && isSuccess(status)) {
        m_effects.emplace_back(FinishStream{call});
    } else if (request.begun) {
        m_effects.emplace_back(AbortStream{call});
    } else {
        m_effects.emplace_back(AnswerCaller{call, status, request.head->headers, std::move(request.body)});
    }
    log(request, "A request is answered.", {{"status", absl::StrCat(status)}, {"endpoint", request.endpoint.text()}});
    finish(request, isSuccess(status) ? "completed" : "endpoint_failed");
}

void ServingReducer::on(const RunFailed &event)
{
    Request *request = find(event.run);
    if (request == nullptr) {
        return;
    }
    if (event.failure == RunFailure::Unreached) {
        endRun(*request, EndpointSign::Unreached);
        // Nothing was sent, so this does not count as a send to an endpoint.
        retryOrGiveUp(*request, false, AnswerKind::Unavailable);
        return;
    }
    runBroke(*request, "the connection broke or the answer is not whole");
}

void ServingReducer::runBroke(Request &request, const std::string &reason)
{
    log(request, "A run has failed.",
        {{"reason", reason},
         {"endpoint", request.endpoint.text()},
         {"status", absl::StrCat(request.head ? request.head->status : 0)},
         {"run_ms",
          absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(m_now - request.runStarted).count())}},
        Severity::Warning);
    request.mayHaveRun = true;
    ++request.executions;
    endRun(request, EndpointSign::Failed);
    retryOrGiveUp(request, true, AnswerKind::BadGateway);
}

void ServingReducer::retryOrGiveUp(Request &request, bool mayHaveRun, AnswerKind otherwise)
{
    // A rejection is not a run, so one more endpoint than runs are allowed may be asked after it.
    const std::size_t sends = request.route->maxAttempts + (mayHaveRun ? 0 : 1);
    const bool allowed = !mayHaveRun || request.route->mayRunTwice();
    if (allowed && request.tried.size() < sends && request.executions < request.route->maxAttempts
        && m_budget.take(request.pool, m_now)) {
        log(request, "A request is sent again.",
            {{"may_have_run", mayHaveRun ? "yes" : "no"}, {"endpoint", request.endpoint.text()}}, Severity::Warning);
        if (!request.lacksResults()) {
            startRun(request);
            return;
        }
        if (mayRestartStages(request)) {
            restartStages(request);
            return;
        }
    }
    if (request.begun) {
        m_effects.emplace_back(AbortStream{request.in->call});
        log(request, "A stream is broken off.",
            {{"reason", "its endpoint failed"}, {"endpoint", request.endpoint.text()}}, Severity::Warning);
        finish(request, "broken_off");
        return;
    }
    refuse(request, request.mayHaveRun ? AnswerKind::BadGateway : otherwise,
           mayHaveRun ? "its endpoint failed" : "no endpoint takes it");
}

bool ServingReducer::isSilent(const Request &request) const
{
    const Duration longest = std::max(m_firstEvents.typical(request.pool) * silenceFactor, shortestSilence);
    return request.run && !request.head && m_now - request.runStarted > longest;
}

/*
 * Answers endpoints that take work and answer nothing: a failure that shows only by its absence, so that without this
 * review they would go on to get their share until each of its requests had run out of time.
 */
void ServingReducer::reviewSilentRuns()
{
    std::vector<CallId> silent;
    for (const auto &[call, request] : m_requests) {
        if (!request.isSuspected && isSilent(request)) {
            silent.push_back(call);
        }
    }
    for (const CallId call : silent) {
        Request &request = *find(call);
        request.isSuspected = true;
        log(request, "An endpoint is silent.", {{"endpoint", request.endpoint.text()}, {"pool", request.pool.text()}},
            Severity::Warning);
        m_endpoints.suspect(request.endpoint, request.runStarted, m_now, m_effects);
        const bool mayRepeat = request.route->mayRunTwice() && request.tried.size() < request.route->maxAttempts;
        const std::vector<Endpoint *> usable = m_endpoints.usable(request.pool, m_now);
        const bool hasOther = std::any_of(usable.begin(), usable.end(), [&request](const Endpoint *endpoint) {
            return endpoint->record.instance != request.endpoint;
        });
        if (mayRepeat && hasOther) {
            m_effects.emplace_back(CancelRun{*request.run});
            runBroke(request, "the endpoint is silent");
        }
    }
}

void ServingReducer::endRun(Request &request, std::optional<EndpointSign> sign)
{
    if (!request.run) {
        return;
    }
    m_runs.erase(*request.run);
    m_engines.ended(generationOf(*request.run), m_now);
    request.run.reset();
    m_endpoints.ended(request.endpoint, sign, m_now, m_effects);
}

} // namespace bergamottide::serving
