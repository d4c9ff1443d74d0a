#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace bergamottide::serving {

namespace {

/*! @brief Rank distance between adjacent workspace priorities; larger than any route priority. */
constexpr int workspaceRankStep = 100;
/*! @brief Retry delay suggested to a rejected caller, unless the forecast lateness is longer. */
constexpr Duration defaultRetryAfter = std::chrono::milliseconds{300};
constexpr Duration minRetryAfter = std::chrono::milliseconds{50};
/*! @brief Suggested retry delays are at most the remaining time divided by this; callers shorten longer ones anyway. */
constexpr int retryAfterDivisor = 3;
/*! @brief Deadline of a request that has none. */
constexpr Duration defaultDeadline = std::chrono::seconds{60};

/*! @brief Subtracted from the caller's deadline to allow for the network time of the response. */
constexpr Duration responseMargin = std::chrono::milliseconds{25};
/*!
 * @brief Time from the start of a drain during which new requests are still accepted.
 *
 * The load balancer takes two failed readiness checks, one a second, to divert callers. Requests accepted later might
 * not complete before the process is killed.
 */
constexpr Duration drainAcceptTime = std::chrono::milliseconds{2500};

/*! @brief Time between two events from which the process counts as having stood still; ticks are twice as frequent. */
constexpr Duration shortestPause = std::chrono::milliseconds{500};
/*! @brief Time from which what was known of the peers before is too old. */
constexpr Duration longestPause = std::chrono::seconds{10};

/*! @brief Period at which deferred tasks are checked while the view of the peers has not settled. */
constexpr Duration deferredTaskPeriod = std::chrono::milliseconds{20};

std::string milliseconds(Duration duration)
{
    return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/*! @brief Adds the margin of the request's forecast to the fields of a log line if it counted for the admission. */
std::vector<std::pair<std::string, std::string>> withMargin(const Request &request,
                                                            std::vector<std::pair<std::string, std::string>> fields)
{
    if (request.forecastMargin) {
        fields.emplace_back("margin_ms", milliseconds(*request.forecastMargin));
    }
    return fields;
}

} // namespace

ServingReducer::ServingReducer(const ServingOptions &options)
    : m_retryBudget{options.retries}
    , m_regions{options.regions}
    , m_peers{options.self, options.incarnation, options.seeds}
    , m_rateLimiter{[this](const InstanceName &endpoint, std::uint32_t requests, TimePoint now) {
        return m_peers.share(endpoint.text(), requests, now);
    }}
    , m_stageScheduler{m_endpoints, m_retryBudget, m_rateLimiter, m_paths,
                       [this](const StoredResult &result) {
                           return isResultMemoryScarce(result);
                       }}
    , m_heldReleases{m_endpoints}
    , m_usesForecastMargin{options.usesForecastMargin}
    , m_incarnation{options.incarnation}
    , m_gossipClock{options.incarnation}
    , m_notices{m_gossipClock, m_endpoints}
    , m_streamVersions{m_gossipClock, m_listAge}
    , m_quarantine{m_gossipClock}
    , m_crashDetector{m_endpoints}
{
    m_stageScheduler.setSharesAllPools(options.sharesAllStagePools);
    m_quarantine.setReleased(options.releasedRequests, {});
}

Effects ServingReducer::apply(const Event &event, TimePoint now)
{
    // Ticks come more often, so the process has stood still, and the heartbeats of its peers may not have been read.
    if (m_now != TimePoint{} && now - m_now >= shortestPause && now - m_now <= longestPause) {
        m_peers.recordPause(m_now, now);
    }
    m_now = now;
    std::visit([this](const auto &typedEvent) { on(typedEvent); }, event);
    enforceQuarantine();
    if (m_catalog) {
        m_stageScheduler.dispatch(*m_catalog, m_now, m_effects);
        processStageOutcomes();
    }
    m_heldReleases.hold(m_effects, m_now);
    if (m_draining && m_requests.empty()) {
        m_effects.emplace_back(Drained{});
    }
    return std::exchange(m_effects, {});
}

std::optional<TimePoint> ServingReducer::nextWakeup() const
{
    std::optional<TimePoint> next = m_stageScheduler.nextWakeup();
    if (!m_deadlines.empty()) {
        const TimePoint first = m_deadlines.begin()->first;
        next = next ? std::min(*next, first) : first;
    }
    if (!m_delayedStages.empty()) {
        const TimePoint first = std::get<TimePoint>(*m_delayedStages.begin());
        next = next ? std::min(*next, first) : first;
    }
    if (!m_inputReleases.empty()) {
        const TimePoint first = m_inputReleases.begin()->first;
        next = next ? std::min(*next, first) : first;
    }
    if (!m_delayedRuns.empty()) {
        const TimePoint first = m_delayedRuns.begin()->first;
        next = next ? std::min(*next, first) : first;
    }
    if (const auto due = m_heldReleases.nextWakeup()) {
        next = next ? std::min(*next, *due) : due;
    }
    if (const auto due = m_promptSearch.nextWakeup()) {
        next = next ? std::min(*next, *due) : due;
    }
    for (const std::vector<StreamQuestion> &questions :
         {std::cref(m_unconfirmedQuestions), std::cref(m_historyQuestions)}) {
        if (questions.empty()) {
            continue;
        }
        const TimePoint due = questions.front().askedAt + confirmationTimeout;
        next = next ? std::min(*next, due) : due;
    }
    if (!m_deferredTasks.empty() || !m_deferredLookups.empty()) {
        const TimePoint check = m_now + deferredTaskPeriod;
        next = next ? std::min(*next, check) : check;
    }
    return next ? std::min(*next, m_nextHeartbeatAt) : m_nextHeartbeatAt;
}

std::size_t ServingReducer::requestsInProgress() const noexcept
{
    return m_requests.size();
}

bool ServingReducer::canServe() const
{
    return !m_draining && m_catalog && m_endpoints.size() != 0;
}

void ServingReducer::on(const CatalogChanged &event)
{
    m_catalog = event.catalog;
    retainForecastErrors();
    m_stageScheduler.requestScans();
    updateEngines();
    m_peers.setCanOwnQueues(canServe());
    m_effects.emplace_back(Observe{Metric::ConfigurationsTotal, {}, 1.0});
    m_effects.emplace_back(Observe{Metric::ConfigVersion, {}, static_cast<double>(m_catalog->version)});
    m_effects.emplace_back(
        LogLine{Severity::Info,
                Part::Config,
                "Configuration is in effect.",
                {{"version", absl::StrCat(m_catalog->version)}, {"routes", absl::StrCat(m_catalog->routes.size())}}});
}

void ServingReducer::on(const EndpointsChanged &event)
{
    m_endpoints.update(*event.endpoints, m_now, m_effects);
    m_notices.updateEndpoints(m_now, m_effects);
    m_streamVersions.updateEndpoints(*event.endpoints, m_now);
    m_promptSearch.updateEndpoints(*event.endpoints);
    m_stageScheduler.requestScans();
    updateEngines();
    m_peers.setCanOwnQueues(canServe());
}

void ServingReducer::on(const EndpointsConfirmed &event)
{
    m_listAge.confirm(event.asOf);
    answerConfirmedQuestions();
}

void ServingReducer::on(const EndpointsUnconfirmed &)
{
    m_confirmationRequestedAt.reset();
    rejectQuestions(m_now);
}

void ServingReducer::on(const DrainRequested &event)
{
    m_draining = true;
    m_drainEndsAt = event.endsAt;
    for (auto &[call, request] : m_requests) {
        limitToDrain(request);
    }
    m_rejectingFrom = m_now + drainAcceptTime;
    m_peers.setCanOwnQueues(false);
    handOverQueues([this](const PoolName &pool) { return m_peers.queueOwner(pool, m_now).has_value(); });
    m_effects.emplace_back(
        LogLine{Severity::Info, Part::Entry, "Process is draining.", {{"requests", absl::StrCat(m_requests.size())}}});
}

void ServingReducer::on(const Tick &event)
{
    suspendVerdicts(event.lateness);
    expireRequests();
    rejectOutlastingRequests();
    startDelayedStages();
    startDelayedRuns();
    releaseFetchedInputs();
    m_heldReleases.sendDue(m_effects, m_now);
    checkStalledRuns();
    m_stageScheduler.handleTimeouts(m_now, m_effects);
    startDeferredLookups();
    rejectQuestions(m_now - confirmationTimeout);
    m_promptSearch.handleTimeouts(m_now);
    deliverSearchAnswers();
    submitDeferredTasks();
    reclaimTasksOfLostPeers();
    handOverFormerQueues();
    sendHeartbeats();
}

void ServingReducer::on(const RequestArrived &event)
{
    Request request;
    request.callerRequest = std::make_shared<const CallerRequest>(event.request);
    request.arrivedAt = m_now;
    request.deadline =
        m_now + std::max(event.request.deadline.value_or(defaultDeadline) - responseMargin, Duration::zero());
    request.catalog = m_catalog;
    admit(std::move(request));
}

void ServingReducer::admit(Request request)
{
    const CallId call = request.callerRequest->call;
    if (const auto error = checkAdmission(request)) {
        reject(request, *error, rejectionReason(request, *error));
        return;
    }
    const auto [entry, isNew] = m_requests.emplace(call, std::move(request));
    if (!isNew) {
        return;
    }
    Request &admitted = entry->second;
    m_deadlines.emplace(admitted.deadline, call);
    m_retryBudget.recordRequest(admitted.pool, m_now);
    log(admitted, "Request admitted.",
        withMargin(admitted,
                   {{"route", admitted.route->name},
                    {"workspace", admitted.workspace.name.text()},
                    {"rank", absl::StrCat(admitted.rank)},
                    {"expected_ms", milliseconds(admitted.expectedResponseAt - m_now)},
                    {"objective_ms", milliseconds(admitted.objective - m_now)},
                    {"limit_ms", milliseconds(admitted.deadline - m_now)}}));
    if (needsLookup(admitted)) {
        lookUpVersion(admitted);
    }
    // The lookup may have rejected the request.
    if (Request *present = find(call)) {
        advance(*present);
    }
}

std::string ServingReducer::rejectionReason(const Request &request, ErrorKind kind) const
{
    if (kind == ErrorKind::Quarantined) {
        return "endpoints crash when they run it";
    }
    if (kind != ErrorKind::Unavailable) {
        return "not allowed by the configuration";
    }
    if (!m_catalog) {
        return "no configuration loaded";
    }
    if (request.streamVersion && allowedEndpoints(request).empty()) {
        return "no endpoint of the stream's software version";
    }
    if (request.route != nullptr && needsLookup(request)) {
        return "software version of the resumed stream is unknown";
    }
    return m_draining ? "process is draining" : "no endpoint is expected to respond in time";
}

/*! @brief Resolves route, workspace, pool and times of a request; returns the error if it is not admitted. */
std::optional<ErrorKind> ServingReducer::checkAdmission(Request &request)
{
    if (!request.catalog || (m_draining && m_now >= m_rejectingFrom)) {
        return ErrorKind::Unavailable;
    }
    const Route *route = request.catalog->findRoute(request.callerRequest->host, request.callerRequest->path);
    if (route == nullptr) {
        return ErrorKind::NoRoute;
    }
    request.route = route;
    if (request.callerRequest->attempt.empty()) {
        return ErrorKind::BadRequest;
    }
    if (request.catalog->requiresApiKey && !route->isPublic) {
        const auto found = request.catalog->workspaceByApiKey.find(request.callerRequest->apiKey);
        if (found == request.catalog->workspaceByApiKey.end()) {
            return ErrorKind::UnknownKey;
        }
        request.workspace = found->second;
    }
    if (quarantineEnd(request)) {
        return ErrorKind::Quarantined;
    }
    request.rank = request.workspace.priority * workspaceRankStep + route->priority;
    if (route->timeout > Duration::zero()) {
        request.deadline = std::min(request.deadline, m_now + route->timeout);
    }
    if (m_drainEndsAt) {
        request.deadline = std::min(request.deadline, *m_drainEndsAt);
    }
    request.objective = m_now + route->objective;
    request.expectedResponseAt = m_now;
    request.pool = selectPool(*route, request.streamAttempt());
    resolveVersion(request);
    request.prompt = engines::chainOf(request.callerRequest->model, request.callerRequest->prompt);
    const bool isUnknown = needsLookup(request) && !canLookUp(request);
    if (isUnknown || allowedEndpoints(request).empty()) {
        return ErrorKind::Unavailable;
    }
    request.stages.resize(route->stages.size());
    for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
        request.stages[stage].pieces =
            stage < request.callerRequest->pieces.size() ? request.callerRequest->pieces[stage] : 0;
    }
    request.level = route->maxLevel() + 1;
    request.expectedRunTime = expectedRunTime(request);
    if (outlastsDrain(request)) {
        m_effects.emplace_back(Observe{Metric::DrainRejectionsTotal, {}});
        return ErrorKind::Unavailable;
    }
    if (!route->stages.empty() && wouldBeTooLate(request)) {
        return ErrorKind::Unavailable;
    }
    return tryTakeCapacity(request) ? std::nullopt : std::optional{ErrorKind::Unavailable};
}

/*
 * Returns whether the request's pool is expected to accept it when its stages are done, which matters only if all
 * endpoints of the pool are bounded. Otherwise its stages would run in vain.
 */
bool ServingReducer::tryTakeCapacity(Request &request)
{
    const TimePoint sendAt = std::max(m_now, request.expectedResponseAt - m_firstEventTimes.average(request.pool));
    const auto capacity = poolCapacity(request, sendAt);
    if (!capacity) {
        return true;
    }
    const auto unsent = static_cast<std::uint32_t>(std::ranges::count_if(m_requests, [&request](const auto &item) {
        return item.second.pool == request.pool && item.second.triedEndpoints.empty();
    }));
    const std::uint32_t freeRequests = capacity->freeRequests > unsent ? capacity->freeRequests - unsent : 0;
    if (m_fairAdmissions[request.pool].admit(request.workspace.name, freeRequests, m_now)) {
        return true;
    }
    request.retryAfter = capacity->nextAt ? std::optional{*capacity->nextAt - sendAt} : std::nullopt;
    return false;
}

/*
 * Forecasts the response and returns whether it would be too late. Rejecting on arrival keeps a burst from filling the
 * stage pools with requests that miss their objective and delay others.
 */
bool ServingReducer::wouldBeTooLate(Request &request)
{
    const auto responseAt = forecastResponse(request);
    if (!responseAt) {
        return true;
    }
    request.expectedResponseAt = *responseAt;
    request.forecastMargin = forecastMargin(request);
    const Duration allowed = request.forecastMargin ? Duration::zero() : maxAdmittedLateness;
    return *responseAt > request.deadline || request.lateness() > allowed;
}

/*! @brief Returns what the endpoints of the request's pool accept from this process; nothing if one is not bounded. */
std::optional<RateCapacity> ServingReducer::poolCapacity(const Request &request, TimePoint at)
{
    const Pool *pool = request.catalog->findPool(request.pool);
    if (pool == nullptr) {
        return std::nullopt;
    }
    return m_rateLimiter.capacity(*pool, allowedEndpoints(request), m_now, at);
}

/*
 * Estimates the time between sending a request to an endpoint and its first event. The longer it is, the earlier the
 * stages have to be complete to meet the objective.
 */
Duration ServingReducer::expectedRunTime(const Request &request)
{
    const auto choice = request.prompt.empty() ? std::nullopt : chooseEngine(request);
    return choice ? choice->expectedFirstEvent : m_firstEventTimes.average(request.pool);
}

/*! @brief Returns the shortest possible time of the stages below a level, one full call for each level. */
Duration ServingReducer::minimumStageTime(const Request &request, std::uint32_t belowLevel) const
{
    std::map<std::uint32_t, Duration> ofLevel;
    for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
        const StageSpec &spec = request.route->stages[stage];
        const Pool *pool = request.catalog->findPool(spec.pool);
        if (request.stages[stage].pieces == 0 || spec.level >= belowLevel || pool == nullptr || !pool->batch) {
            continue;
        }
        const auto items = static_cast<std::int64_t>(std::min(request.stages[stage].pieces, pool->batch->maxItems));
        ofLevel[spec.level] = std::max(ofLevel[spec.level], pool->batch->callTime + pool->batch->itemTime * items);
    }
    Duration sum{};
    for (const auto &[level, time] : ofLevel) {
        sum += time;
    }
    return sum;
}

/*! @brief Returns a forecast for the stages of a request; the request must outlive it. */
StageForecast ServingReducer::forecast(const Request &request)
{
    return StageForecast{*request.catalog, [this, &request](const PoolName &pool, int rank) {
                             return poolEstimate(pool, rank, request.workspace.name);
                         }};
}

/*! @brief Forecasts the response or first event of a request whose run has not started; empty if a stage has no
 * endpoint. */
std::optional<TimePoint> ServingReducer::forecastResponse(const Request &request)
{
    std::vector<std::uint32_t> pieces;
    for (const StageProgress &stage : request.stages) {
        pieces.push_back(stage.isDone() ? 0 : stage.pieces);
    }
    const auto stages = forecast(request).totalDuration(*request.route, pieces, request.rank);
    if (!stages) {
        return std::nullopt;
    }
    return m_now + *stages + m_firstEventTimes.average(request.pool);
}

/*! @brief Selects a pool by weight and by the hash of the attempt, so that a repeated attempt goes to the same pool. */
PoolName ServingReducer::selectPool(const Route &route, const std::string &attempt) const
{
    std::uint64_t sum = 0;
    for (const WeightedPool &pool : route.pools) {
        sum += pool.weight;
    }
    if (sum == 0) {
        return route.pools.empty() ? PoolName{} : route.pools.front().pool;
    }
    std::uint64_t point = XXH3_64bits(attempt.data(), attempt.size()) % sum;
    for (const WeightedPool &pool : route.pools) {
        if (point < pool.weight) {
            return pool.pool;
        }
        point -= pool.weight;
    }
    return route.pools.back().pool;
}

void ServingReducer::on(const CallerDisconnected &event)
{
    Request *request = find(event.call);
    if (request == nullptr) {
        return;
    }
    finish(*request, "caller_left");
}

void ServingReducer::reject(Request &request, ErrorKind kind, const std::string &reason)
{
    const CallId call = request.callerRequest->call;
    SendErrorResponse effect{call, kind, {}};
    if (kind == ErrorKind::Unavailable) {
        const Duration longest = std::max((request.deadline - m_now) / retryAfterDivisor, minRetryAfter);
        const Duration delay = request.retryAfter.value_or(std::max(defaultRetryAfter, request.lateness()));
        effect.retryAfter = std::clamp(delay, minRetryAfter, longest);
    }
    if (kind == ErrorKind::Quarantined) {
        effect.retryAfter = std::max(quarantineEnd(request).value_or(m_now) - m_now, minRetryAfter);
    }
    m_effects.emplace_back(effect);
    log(request, "Request rejected.",
        withMargin(request,
                   {{"answer", std::string{enumName(kind)}},
                    {"reason", reason},
                    {"route", request.route == nullptr ? "" : request.route->name},
                    {"expected_ms", milliseconds(request.expectedResponseAt - request.arrivedAt)},
                    {"objective_ms", milliseconds(request.objective - request.arrivedAt)}}),
        kind == ErrorKind::NoRoute || kind == ErrorKind::UnknownKey ? Severity::Info : Severity::Warning);
    finish(request, enumName(kind));
}

/*! @brief Ends a request whatever its state: records metrics, cancels its work and releases its results. */
void ServingReducer::finish(Request &request, std::string_view outcome)
{
    const CallId call = request.callerRequest->call;
    m_effects.emplace_back(Observe{
        Metric::RequestsTotal,
        {request.workspace.name.text(), request.route == nullptr ? "" : request.route->name, std::string{outcome}},
        1.0});
    if (request.route != nullptr) {
        recordMetrics(request, outcome);
    }
    if (request.run) {
        m_effects.emplace_back(CancelRun{*request.run});
        endRun(request, std::nullopt);
    }
    cancelStages(request);
    m_deadlines.erase({request.deadline, call});
    m_requests.erase(call);
}

void ServingReducer::recordMetrics(const Request &request, std::string_view outcome)
{
    const std::string &route = request.route->name;
    const Duration age = m_now - request.arrivedAt;
    m_effects.emplace_back(Observe{Metric::RequestSeconds, {route}, std::chrono::duration<double>(age).count()});
    if (outcome == "completed" && (request.firstEventAt.value_or(m_now) <= request.objective)) {
        m_effects.emplace_back(Observe{Metric::RequestsOnTimeTotal, {request.workspace.name.text(), route}, 1.0});
    }
}

void ServingReducer::expireRequests()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
        Request *request = find(m_deadlines.begin()->second);
        if (request == nullptr) {
            m_deadlines.erase(m_deadlines.begin());
            continue;
        }
        if (request->isStreamStarted) {
            m_effects.emplace_back(AbortStream{request->callerRequest->call});
            log(*request, "Stream aborted.", {{"reason", "deadline exceeded"}}, Severity::Warning);
            finish(*request, "timed_out");
            continue;
        }
        if (request->hasProvablyNotRun() && request->deadline == m_drainEndsAt) {
            rejectForDrain(*request);
            continue;
        }
        recordMissedForecast(*request);
        reject(*request, request->hasProvablyNotRun() ? ErrorKind::Unavailable : ErrorKind::TimedOut,
               "deadline exceeded");
    }
}

Request *ServingReducer::find(CallId call)
{
    const auto found = m_requests.find(call);
    return found == m_requests.end() ? nullptr : &found->second;
}

Request *ServingReducer::find(RunNumber run)
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : find(found->second);
}

void ServingReducer::log(const Request &request, std::string text,
                         std::vector<std::pair<std::string, std::string>> fields, Severity severity)
{
    fields.emplace_back("request", request.callerRequest->attempt);
    fields.emplace_back("age_ms", milliseconds(m_now - request.arrivedAt));
    fields.emplace_back("version", absl::StrCat(request.catalog ? request.catalog->version : 0));
    m_effects.emplace_back(LogLine{severity, Part::Entry, std::move(text), std::move(fields)});
}

} // namespace bergamottide::serving
