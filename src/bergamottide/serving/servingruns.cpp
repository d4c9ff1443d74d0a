#include "bergamottide/pools/leastloaded.h"
#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>

namespace bergamottide::serving {

namespace {

constexpr int firstFailureStatus = 500;
/*! @brief Lowest priority that an engine accepts; zero is the highest. */
constexpr int leastUrgentRank = 9;

/*! @brief A run counts as stalled if it has no response headers after this multiple of the pool's average time, and not
 * before `minStallTime`. */
constexpr int stallFactor = 6;
constexpr Duration minStallTime = std::chrono::milliseconds{1000};
/*! @brief Lateness of a tick from which it counts. */
constexpr Duration minLateness = std::chrono::milliseconds{20};

engines::GenerationNumber generationOf(RunNumber run)
{
    return engines::GenerationNumber{static_cast<std::uint64_t>(run)};
}

/*! @brief Returns whether callers take a status to say that the request has not run. */
bool impliesNotExecuted(int status)
{
    constexpr std::array statuses{408, 421, 429, 503};
    return std::ranges::find(statuses, status) != statuses.end();
}

bool isSuccess(int status)
{
    constexpr int firstSuccess = 200;
    constexpr int firstBeyond = 300;
    return status >= firstSuccess && status < firstBeyond;
}

/*! @brief Returns the identities of the parts of a prompt, for log lines. */
std::string joinedParts(const std::vector<PromptPart> &prompt)
{
    return absl::StrJoin(prompt, ",", [](std::string *out, const PromptPart &part) { absl::StrAppend(out, part.id); });
}

} // namespace

/*! @brief Returns whether the request may run in the endpoint's region and at its software version. */
bool ServingReducer::isAllowed(const Request &request, const Endpoint &endpoint) const
{
    // What endpoints of two versions write does not fit together in one stream, and endpoints do not check it.
    const bool isVersionAllowed = !request.streamVersion || *request.streamVersion == endpoint.record.softwareVersion;
    return isVersionAllowed && m_regions.allows(*request.route, request.workspace, endpoint.record.zone);
}

/*! @brief Returns the usable endpoints of the request's pool at which it may run. */
std::vector<Endpoint *> ServingReducer::allowedEndpoints(const Request &request) const
{
    return m_endpoints.usable(request.pool, m_now,
                              [this, &request](const Endpoint &endpoint) { return isAllowed(request, endpoint); });
}

/*! @brief Returns the endpoints to which the request may be sent now. */
std::vector<Endpoint *> ServingReducer::candidateEndpoints(const Request &request)
{
    std::vector<Endpoint *> out = allowedEndpoints(request);
    const Pool *pool = request.catalog->findPool(request.pool);
    if (m_paths.hasFailures()) {
        removeUnreachable(out, inputZones(request));
    }
    std::erase_if(out, [this, pool](const Endpoint *endpoint) {
        return pool != nullptr && !m_rateLimiter.admits(*pool, *endpoint, m_now);
    });
    return out;
}

/*! @brief Removes endpoints that cannot fetch the inputs, unless none can: a path may have recovered. */
void ServingReducer::removeUnreachable(std::vector<Endpoint *> &endpoints, const std::set<ZoneName> &inputs) const
{
    const auto isUnreached = [this, &inputs](const Endpoint *endpoint) {
        return m_paths.isBroken(inputs, endpoint->record.zone, m_now);
    };
    if (!std::ranges::all_of(endpoints, isUnreached)) {
        std::erase_if(endpoints, isUnreached);
    }
}

/*! @brief Returns the zones in which the inputs of the request's run are stored. */
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
    if (request.pendingLookups > 0) {
        request.awaitsVersion = true;
        return;
    }
    if (outlastsDrain(request)) {
        rejectForDrain(request);
        return;
    }
    const bool isGeneration = request.route->kind == RouteKind::Streaming;
    const auto choice = isGeneration ? chooseEngine(request) : std::nullopt;
    Endpoint *endpoint = nullptr;
    if (choice) {
        endpoint = m_endpoints.find(choice->engine);
    } else if (!isGeneration) {
        const std::string &attempt = request.callerRequest->attempt;
        endpoint = m_endpoints.reportsPace(request.pool)
            ? pickLessLoadedOfTwo(candidateEndpoints(request), request.triedEndpoints, attempt, m_endpoints.loads(),
                                  m_now)
            : pickLeastLoaded(candidateEndpoints(request), request.triedEndpoints, attempt);
    }
    if (endpoint == nullptr && request.isStreamStarted) {
        abortStream(request, "no endpoint available to continue it");
        return;
    }
    if (endpoint == nullptr) {
        const auto capacity = poolCapacity(request, m_now);
        const auto nextAt = capacity ? capacity->nextAt : std::nullopt;
        if (nextAt && delayRun(request, *nextAt)) {
            return;
        }
        request.retryAfter = nextAt ? std::optional{*nextAt - m_now} : std::nullopt;
        reject(request, request.mayHaveRun ? ErrorKind::BadGateway : ErrorKind::Unavailable, "no endpoint available");
        return;
    }
    StartRun start;
    start.run = RunNumber{m_nextRun++};
    start.instance = endpoint->record.instance;
    start.address = endpoint->record.address;
    start.deadline = request.deadline - m_now;
    start.workspace = request.workspace.name;
    start.urgency = isGeneration ? std::clamp(request.route->priority, 0, leastUrgentRank) : -1;
    std::vector<std::uint32_t> leaves;
    for (std::uint32_t stage = 0; stage < request.stages.size(); ++stage) {
        if (request.route->stages[stage].isLeaf) {
            leaves.push_back(stage);
        }
    }
    for (const StoredResult &input : inputsOf(request, leaves)) {
        start.inputs.push_back(input.handle);
    }
    if (const auto last = request.eventSplitter.lastEventId(); last && request.isStreamStarted) {
        start.lastEventId = absl::StrCat(*last);
    } else {
        start.lastEventId = request.callerRequest->lastEventId;
    }
    if (choice) {
        if (const Endpoint *source = m_endpoints.find(choice->fetchFrom); source != nullptr) {
            start.fetchFrom = source->record.address;
        }
        m_engineTable.recordSent({generationOf(start.run), choice->engine, request.prompt, choice->prefillTokens,
                                  choice->queuedTokens, choice->expectedFirstEvent, choice->relativePace},
                                 m_now);
        scheduleInputRelease(request, *choice);
    }
    start.mayRunTwice = request.route->mayRunTwice();
    start.request = request.callerRequest;
    request.run = start.run;
    request.runStartedAt = m_now;
    request.runUnobserved = Duration::zero();
    request.isStallDetected = false;
    request.endpoint = start.instance;
    request.endpointIncarnation = endpoint->record.incarnation;
    request.endpointVersion = endpoint->record.softwareVersion;
    recordVersion(request, request.endpointVersion);
    request.triedEndpoints.push_back(start.instance);
    request.head.reset();
    request.body.clear();
    m_runs.emplace(start.run, request.callerRequest->call);
    m_endpoints.recordStart(start.instance);
    RateLimiter::recordSent(*endpoint, m_now);
    log(request, "Request sent to endpoint.",
        {{"route", request.route->name},
         {"endpoint", start.instance.text()},
         {"address", start.address},
         {"in_flight", absl::StrCat(endpoint->inFlight)},
         {"to_read", absl::StrCat(choice ? choice->prefillTokens : 0)},
         {"ahead", absl::StrCat(choice ? static_cast<std::uint64_t>(choice->queuedTokens) : 0)},
         {"expected_ms", absl::StrCat(choice ? choice->expectedFirstEvent.count() / 1000 : 0)},
         {"fetch_from", start.fetchFrom},
         {"software", endpoint->record.softwareVersion.text()},
         {"after_event", start.lastEventId},
         {"resumes", request.callerRequest->resumedAttempt},
         {"prompt", joinedParts(request.callerRequest->prompt)},
         {"pace", absl::StrCat(m_endpoints.loads().expectedPace(request.pool, start.instance, m_now))},
         {"sends", absl::StrCat(request.triedEndpoints.size())}});
    m_effects.emplace_back(std::move(start));
}

/*! @brief Delays a run until an endpoint of its pool accepts it, and returns whether that is in time. */
bool ServingReducer::delayRun(Request &request, TimePoint until)
{
    const TimePoint responseAt = until + m_firstEventTimes.average(request.pool);
    if (until <= m_now || responseAt > request.deadline || responseAt > request.objective + maxAdmittedLateness) {
        return false;
    }
    request.runAt = until;
    m_delayedRuns.emplace(until, request.callerRequest->call);
    return true;
}

void ServingReducer::startDelayedRuns()
{
    while (!m_delayedRuns.empty() && m_delayedRuns.begin()->first <= m_now) {
        const auto [due, call] = *m_delayedRuns.begin();
        m_delayedRuns.erase(m_delayedRuns.begin());
        Request *request = find(call);
        if (request != nullptr && request->runAt == due) {
            request->runAt.reset();
            startRun(*request);
        }
    }
}

/*! @brief Records whether the request's engine could fetch its inputs. */
void ServingReducer::recordFetch(const Request &request, bool isFetched)
{
    const bool hasChanged = !isFetched || m_paths.hasFailures();
    const Endpoint *engine = hasChanged ? m_endpoints.find(request.endpoint) : nullptr;
    if (engine != nullptr) {
        m_paths.record(inputZones(request), engine->record.zone, isFetched, m_now);
    }
}

/*! @brief Returns whether the request's engine cannot fetch inputs across zones, while engines in other zones may. */
bool ServingReducer::areInputsUnreachable(const Request &request)
{
    const Endpoint *engine = m_endpoints.find(request.endpoint);
    return engine != nullptr && m_paths.isBroken(inputZones(request), engine->record.zone, m_now);
}

void ServingReducer::on(const EndpointResponded &event)
{
    m_notices.record(event.instance, event.notice, m_now, m_effects);
}

void ServingReducer::on(const RunHeadReceived &event)
{
    Request *request = find(event.run);
    if (request == nullptr) {
        return;
    }
    if (m_endpoints.isCurrent(request->endpoint, request->endpointIncarnation)) {
        m_endpoints.recordAnswer(request->endpoint, m_now);
    }
    m_firstEventTimes.record(request->pool, m_now - request->runStartedAt);
    if (event.head.isForOtherRequest || (isSuccess(event.head.status) && !event.head.isSigned)) {
        m_effects.emplace_back(CancelRun{event.run});
        failRun(*request,
                event.head.isForOtherRequest ? "response belongs to another request"
                                             : "successful response is not signed");
        return;
    }
    request->head = event.head;
    if (event.head.notExecuted) {
        m_effects.emplace_back(CancelRun{event.run});
        endRun(*request, EndpointOutcome::Rejected);
        if (event.head.areInputsMissing) {
            recordFetch(*request, false);
        }
        if (event.head.areInputsMissing && !areInputsUnreachable(*request)) {
            for (StageProgress &stage : request->stages) {
                releaseResults(stage);
            }
        }
        retryOrFail(*request, false, ErrorKind::Unavailable);
        return;
    }
    request->mayHaveRun = true;
    if (request->route->kind != RouteKind::Streaming || !isSuccess(event.head.status)) {
        return;
    }
    recordFetch(*request, true);
    m_engineTable.recordFirstEvent(generationOf(event.run), m_now);
    if (!request->isStreamStarted) {
        m_effects.emplace_back(Observe{Metric::FirstEventSeconds,
                                       {request->pool.text()},
                                       std::chrono::duration<double>(m_now - request->runStartedAt).count()});
        log(*request, "Stream started.",
            {{"endpoint", request->endpoint.text()},
             {"wait_ms",
              absl::StrCat(
                  std::chrono::duration_cast<std::chrono::milliseconds>(m_now - request->runStartedAt).count())}});
        request->isStreamStarted = true;
        request->firstEventAt = m_now;
        recordForecast(*request, m_now);
        m_effects.emplace_back(BeginStream{request->callerRequest->call, event.head.status, event.head.headers});
        return;
    }
    // A resumed stream continues the response already started; the new endpoint repeats an incomplete event.
    request->eventSplitter = EventSplitter{request->eventSplitter.lastEventId()};
}

void ServingReducer::on(const RunBodyReceived &event)
{
    Request *request = find(event.run);
    if (request == nullptr || !request->head) {
        return;
    }
    if (!request->isStreamStarted || !isSuccess(request->head->status)) {
        request->body += event.bytes;
        return;
    }
    std::string events = request->eventSplitter.append(event.bytes);
    if (!events.empty()) {
        request->streamVersion = request->endpointVersion;
        // The engine has fetched its inputs by the first event. Releasing them now relieves the stage pools; a stream
        // that fails later has to repeat its stages.
        for (StageProgress &stage : request->stages) {
            releaseResults(stage);
        }
        m_effects.emplace_back(SendStreamEvents{request->callerRequest->call, std::move(events)});
    }
    if (request->eventSplitter.hasGap()) {
        m_effects.emplace_back(CancelRun{event.run});
        failRun(*request, "event ID skipped");
    }
}

void ServingReducer::on(const RunCompleted &event)
{
    Request *request = find(event.run);
    if (request == nullptr) {
        return;
    }
    if (!request->head || (request->isStreamStarted && request->eventSplitter.hasPartialEvent())) {
        recordBroken({request->pool, request->endpoint, request->runStartedAt, suspectsOf(*request),
                      request->endpointIncarnation});
        failRun(*request, request->head ? "stream ends within an event" : "response without headers");
        return;
    }
    const int status = request->head->status;
    if (isSuccess(status)) {
        recordSuccess(*request);
        m_runTimes.record(request->pool, m_now - request->runStartedAt);
    }
    if (status >= firstFailureStatus) {
        endRun(*request, EndpointOutcome::Failed);
        const bool again = request->route->mayRunTwice() && request->triedEndpoints.size() < request->route->maxAttempts
            && takeRetry(*request);
        if (again) {
            startRun(*request);
            return;
        }
        forwardResponse(*request);
        return;
    }
    endRun(*request, EndpointOutcome::Succeeded);
    forwardResponse(*request);
}

void ServingReducer::forwardResponse(Request &request)
{
    const CallId call = request.callerRequest->call;
    const int status = request.head->status;
    // The endpoint has not stated that it did not execute the request, and the caller would send it again.
    if (!request.isStreamStarted && !request.route->mayRunTwice() && impliesNotExecuted(status)) {
        reject(request, ErrorKind::BadGateway, absl::StrCat("endpoint answered ", status, " and may have executed it"));
        return;
    }
    if (!request.isStreamStarted && isSuccess(status)) {
        recordForecast(request, m_now);
    }
    if (request.isStreamStarted && isSuccess(status)) {
        m_effects.emplace_back(FinishStream{call});
    } else if (request.isStreamStarted) {
        m_effects.emplace_back(AbortStream{call});
    } else {
        m_effects.emplace_back(SendResponse{call, status, request.head->headers, std::move(request.body)});
    }
    log(request, "Response forwarded.", {{"status", absl::StrCat(status)}, {"endpoint", request.endpoint.text()}});
    finish(request, isSuccess(status) ? "completed" : "endpoint_failed");
}

void ServingReducer::on(const RunFailed &event)
{
    Request *request = find(event.run);
    if (request == nullptr) {
        return;
    }
    if (event.failure == RunFailure::ConnectFailed) {
        endRun(*request, EndpointOutcome::ConnectFailed);
        // Nothing was sent, so the retry is safe for any route.
        retryOrFail(*request, false, ErrorKind::Unavailable);
        return;
    }
    recordBroken(
        {request->pool, request->endpoint, request->runStartedAt, suspectsOf(*request), request->endpointIncarnation});
    failRun(*request, "connection lost or response incomplete");
}

void ServingReducer::failRun(Request &request, const std::string &reason)
{
    log(request, "Run failed.",
        {{"reason", reason},
         {"endpoint", request.endpoint.text()},
         {"status", absl::StrCat(request.head ? request.head->status : 0)},
         {"run_ms",
          absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(m_now - request.runStartedAt).count())}},
        Severity::Warning);
    request.mayHaveRun = true;
    ++request.executions;
    endRun(request, EndpointOutcome::Failed);
    retryOrFail(request, true, ErrorKind::BadGateway);
}

void ServingReducer::retryOrFail(Request &request, bool mayHaveRun, ErrorKind otherwise)
{
    // A request that was not executed may be sent to one more endpoint than `maxAttempts`.
    const std::size_t sends = request.route->maxAttempts + (mayHaveRun ? 0 : 1);
    const bool allowed = (!mayHaveRun || request.route->mayRunTwice()) && !quarantineEnd(request);
    const bool hasEndpoint = !request.streamVersion || !allowedEndpoints(request).empty();
    if (allowed && hasEndpoint && request.triedEndpoints.size() < sends
        && request.executions < request.route->maxAttempts && takeRetry(request)) {
        log(request, "Retrying request.",
            {{"may_have_run", mayHaveRun ? "yes" : "no"}, {"endpoint", request.endpoint.text()}}, Severity::Warning);
        if (!request.hasReleasedInputs()) {
            startRun(request);
            return;
        }
        if (mayRestartStages(request)) {
            restartStages(request);
            return;
        }
    }
    if (request.isStreamStarted) {
        abortStream(request, hasEndpoint ? "endpoint failed" : "no endpoint of the stream's software version");
        return;
    }
    reject(request, request.mayHaveRun ? ErrorKind::BadGateway : otherwise,
           mayHaveRun ? "endpoint failed" : "no endpoint accepted the request");
}

/*! @brief Takes a retry from the budget of the request's pool, and logs the state of the budget. */
bool ServingReducer::takeRetry(const Request &request)
{
    const bool isTaken = m_retryBudget.tryTakeRetry(request.pool, m_now);
    const RetryUsage usage = m_retryBudget.usage(request.pool, m_now);
    log(request, isTaken ? "Retry taken from the budget." : "Request not retried: retry budget exhausted.",
        {{"pool", request.pool.text()},
         {"retries", absl::StrCat(usage.taken)},
         {"allowed", absl::StrCat(usage.allowed)},
         {"processes", absl::StrCat(usage.processes)}});
    return isTaken;
}

/*! @brief Closes a stream whose response has started, so that its caller may resume it. */
void ServingReducer::abortStream(Request &request, const std::string &reason)
{
    m_effects.emplace_back(AbortStream{request.callerRequest->call});
    log(request, "Stream aborted.", {{"reason", reason}, {"endpoint", request.endpoint.text()}}, Severity::Warning);
    finish(request, "broken_off");
}

bool ServingReducer::isStalled(const Request &request) const
{
    const Duration longest = std::max(m_firstEventTimes.average(request.pool) * stallFactor, minStallTime);
    return request.run && !request.head && m_now - request.runStartedAt - request.runUnobserved > longest;
}

/*! @brief Does not hold a time in which this process was late against the endpoints that it waits for. */
void ServingReducer::suspendVerdicts(Duration lateness)
{
    if (lateness < minLateness) {
        return;
    }
    m_stageScheduler.extendTimeouts(lateness, m_now);
    for (auto &[call, request] : m_requests) {
        if (!request.run || request.head) {
            continue;
        }
        request.runUnobserved += std::min(lateness, m_now - request.runStartedAt - request.runUnobserved);
    }
}

/*
 * Detects endpoints that accept requests but never respond. Without this check they would keep receiving requests until
 * the first of them reach their deadline.
 */
void ServingReducer::checkStalledRuns()
{
    std::vector<CallId> stalled;
    for (const auto &[call, request] : m_requests) {
        if (!request.isStallDetected && isStalled(request)) {
            stalled.push_back(call);
        }
    }
    for (const CallId call : stalled) {
        Request &request = *find(call);
        request.isStallDetected = true;
        log(request, "Endpoint does not respond.",
            {{"endpoint", request.endpoint.text()}, {"pool", request.pool.text()}}, Severity::Warning);
        if (m_endpoints.isCurrent(request.endpoint, request.endpointIncarnation)) {
            m_endpoints.recordTimeout(request.endpoint, request.runStartedAt, m_now, m_effects);
        }
        const bool mayRepeat =
            request.route->mayRunTwice() && request.triedEndpoints.size() < request.route->maxAttempts;
        const bool hasOther = std::ranges::any_of(candidateEndpoints(request), [&request](const Endpoint *endpoint) {
            return endpoint->record.instance != request.endpoint;
        });
        if (mayRepeat && hasOther) {
            m_effects.emplace_back(CancelRun{*request.run});
            failRun(request, "endpoint does not respond");
        }
    }
}

void ServingReducer::endRun(Request &request, std::optional<EndpointOutcome> sign)
{
    if (!request.run) {
        return;
    }
    m_runs.erase(*request.run);
    m_engineTable.recordEnd(generationOf(*request.run), m_now);
    request.run.reset();
    const bool isCurrent = m_endpoints.isCurrent(request.endpoint, request.endpointIncarnation);
    m_endpoints.recordEnd(request.endpoint, isCurrent ? sign : std::nullopt, m_now, m_effects);
}

} // namespace bergamottide::serving
