#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Distance between the ranks of two workspaces' priorities: above any priority of a route. */
constexpr int rankOfWorkspace = 100;
/*! @brief Wait of a caller before it comes back when nothing is known that ends sooner. */
constexpr Duration standardRetryAfter = std::chrono::milliseconds{300};
/*! @brief Lateness that a request may be expected to have and be admitted still: forecasts err by about that. */
constexpr Duration mostLateness = std::chrono::milliseconds{300};
constexpr Duration shortestRetryAfter = std::chrono::milliseconds{50};
/*! @brief Callers wait for up to a third of their time; a longer wait would be cut to that anyway. */
constexpr int retryAfterShare = 3;
/*! @brief Time after the objective or arrival within which no request is known to be decided; bounds a request without
 * any limit. */
constexpr Duration longestRequest = std::chrono::seconds{60};

/*! @brief Part of the caller's time that its request and the answer spend on the way; an answer after it reaches
 * nobody. */
constexpr Duration answerMargin = std::chrono::milliseconds{25};
/*!
 * @brief Time of a drain in which new requests are still taken.
 *
 * The balancer needs two misses, one a second, to send callers elsewhere; what is taken later may not end before the
 * process does. A caller that is refused then comes back at another process.
 */
constexpr Duration drainIntake = std::chrono::milliseconds{2500};

/*! @brief Period in which tasks that wait for the process to meet its peers are reviewed: a tenth of the time that this
 * takes. */
constexpr Duration heldBackReview = std::chrono::milliseconds{20};

std::string milliseconds(Duration duration)
{
    return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

ServingReducer::ServingReducer(const ServingOptions &options)
    : m_budget{options.retries}
    , m_regions{options.regions}
    , m_peers{options.self, options.seeds}
    , m_warmup{[this](const InstanceName &endpoint, std::uint32_t requests, TimePoint now) {
        return m_peers.share(endpoint.text(), requests, now);
    }}
    , m_stages{m_endpoints, m_budget, m_warmup, m_paths,
               [this](const KeptResult &result) {
                   return isShortOfRoom(result);
               }}
    , m_incarnation{options.incarnation}
{
}

Effects ServingReducer::apply(const Event &event, TimePoint now)
{
    m_now = now;
    std::visit([this](const auto &one) { on(one); }, event);
    if (m_catalog) {
        m_stages.dispatch(*m_catalog, m_now, m_effects);
        takeOutcomes();
    }
    if (m_draining && m_requests.empty()) {
        m_effects.emplace_back(Drained{});
    }
    return std::exchange(m_effects, {});
}

std::optional<TimePoint> ServingReducer::nextWakeup() const
{
    std::optional<TimePoint> next = m_stages.nextWakeup();
    if (!m_limits.empty()) {
        const TimePoint first = m_limits.begin()->first;
        next = next ? std::min(*next, first) : first;
    }
    if (!m_starts.empty()) {
        const TimePoint first = std::get<TimePoint>(*m_starts.begin());
        next = next ? std::min(*next, first) : first;
    }
    if (!m_fetches.empty()) {
        const TimePoint first = m_fetches.begin()->first;
        next = next ? std::min(*next, first) : first;
    }
    if (!m_heldBack.empty()) {
        const TimePoint review = m_now + heldBackReview;
        next = next ? std::min(*next, review) : review;
    }
    return next ? std::min(*next, m_heartbeatAt) : m_heartbeatAt;
}

std::size_t ServingReducer::inProgress() const noexcept
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
    m_stages.reviewAll();
    listEngines();
    m_peers.setOwnsQueues(canServe());
    m_effects.emplace_back(Observe{Metric::ConfigurationsTotal, {}, 1.0});
    m_effects.emplace_back(Observe{Metric::ConfigVersion, {}, static_cast<double>(m_catalog->version)});
    m_effects.emplace_back(
        LogLine{Severity::Info,
                Part::Config,
                "A configuration is in force.",
                {{"version", absl::StrCat(m_catalog->version)}, {"routes", absl::StrCat(m_catalog->routes.size())}}});
}

void ServingReducer::on(const EndpointsChanged &event)
{
    m_endpoints.update(*event.endpoints, m_now, m_effects);
    m_stages.reviewAll();
    listEngines();
    m_peers.setOwnsQueues(canServe());
}

void ServingReducer::on(const DrainRequested &)
{
    m_draining = true;
    m_refusingFrom = m_now + drainIntake;
    m_peers.setOwnsQueues(false);
    handOverQueues([this](const PoolName &pool) { return m_peers.owner(pool, m_now).has_value(); });
    m_effects.emplace_back(
        LogLine{Severity::Info, Part::Entry, "The process drains.", {{"requests", absl::StrCat(m_requests.size())}}});
}

void ServingReducer::on(const Tick &)
{
    expire();
    startDelayed();
    giveUpFetchedInputs();
    reviewSilentRuns();
    m_stages.expire(m_now, m_effects);
    placeHeldBack();
    reclaimTasks();
    handOverLostQueues();
    sendHeartbeats();
}

void ServingReducer::on(const RequestArrived &event)
{
    Request request;
    request.in = std::make_shared<const CallerRequest>(event.request);
    request.arrived = m_now;
    request.limit = m_now + std::max(event.request.deadline.value_or(longestRequest) - answerMargin, Duration::zero());
    request.catalog = m_catalog;
    admit(std::move(request));
}

void ServingReducer::admit(Request request)
{
    const CallId call = request.in->call;
    if (const auto refusal = whyRefused(request)) {
        refuse(request, *refusal, admissionReason(*refusal));
        return;
    }
    const auto [place, isNew] = m_requests.emplace(call, std::move(request));
    if (!isNew) {
        return;
    }
    Request &admitted = place->second;
    m_limits.emplace(admitted.limit, call);
    m_budget.sent(admitted.pool, m_now);
    log(admitted, "A request is admitted.",
        {{"route", admitted.route->name},
         {"workspace", admitted.workspace.name.text()},
         {"rank", absl::StrCat(admitted.rank)},
         {"expected_ms", milliseconds(admitted.expected - m_now)},
         {"objective_ms", milliseconds(admitted.objective - m_now)},
         {"limit_ms", milliseconds(admitted.limit - m_now)}});
    advance(admitted);
}

std::string ServingReducer::admissionReason(AnswerKind kind) const
{
    if (kind != AnswerKind::Unavailable) {
        return "not allowed by the configuration";
    }
    if (!m_catalog) {
        return "no configuration is known";
    }
    return m_draining ? "the process drains" : "no endpoint is expected to serve it in time";
}

std::optional<AnswerKind> ServingReducer::whyRefused(Request &request)
{
    if (!request.catalog || (m_draining && m_now >= m_refusingFrom)) {
        return AnswerKind::Unavailable;
    }
    const Route *route = request.catalog->find(request.in->host, request.in->path);
    if (route == nullptr) {
        return AnswerKind::NoRoute;
    }
    request.route = route;
    if (request.in->attempt.empty()) {
        return AnswerKind::BadRequest;
    }
    if (request.catalog->needsKeys && !route->isPublic) {
        const auto found = request.catalog->workspaceOfKey.find(request.in->key);
        if (found == request.catalog->workspaceOfKey.end()) {
            return AnswerKind::UnknownKey;
        }
        request.workspace = found->second;
    }
    request.rank = request.workspace.priority * rankOfWorkspace + route->priority;
    if (route->timeout > Duration::zero()) {
        request.limit = std::min(request.limit, m_now + route->timeout);
    }
    request.objective = m_now + route->objective;
    request.expected = m_now;
    request.pool = drawPool(*route, request.in->attempt);
    request.prompt = engines::chainOf(request.in->model, request.in->prompt);
    if (!isServed(request)) {
        return AnswerKind::Unavailable;
    }
    request.stages.resize(route->stages.size());
    for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
        request.stages[stage].pieces = stage < request.in->pieces.size() ? request.in->pieces[stage] : 0;
    }
    request.level = route->topLevel() + 1;
    request.runTime = expectedRunTime(request);
    if (!route->stages.empty() && isHopeless(request)) {
        return AnswerKind::Unavailable;
    }
    return std::nullopt;
}

/*
 * Answers a burst that fills the stage pools: who is admitted although it will be late takes room and calls from those
 * that could be on time, and is held for nothing if it is given up halfway. It is told at once when to come back.
 */
bool ServingReducer::isHopeless(Request &request)
{
    const auto answer = expectedAnswer(request);
    if (!answer) {
        return true;
    }
    request.expected = *answer;
    return *answer > request.limit || request.lateness() > mostLateness;
}

/*
 * Answers prompts of very different lengths behind the same stages: one that takes the engine a second has to leave the
 * stages earlier than one that takes it a tenth of that.
 */
Duration ServingReducer::expectedRunTime(const Request &request)
{
    const auto choice = request.prompt.empty() ? std::nullopt : chooseEngine(request);
    return choice ? choice->expected : m_firstEvents.typical(request.pool);
}

Duration ServingReducer::shortestStageTime(const Request &request, std::uint32_t belowLevel) const
{
    std::map<std::uint32_t, Duration> ofLevel;
    for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
        const StageSpec &spec = request.route->stages[stage];
        const Pool *pool = request.catalog->pool(spec.pool);
        if (request.stages[stage].pieces == 0 || spec.level >= belowLevel || pool == nullptr || !pool->batch) {
            continue;
        }
        const auto items = static_cast<std::int64_t>(std::min(request.stages[stage].pieces, pool->batch->batch));
        ofLevel[spec.level] = std::max(ofLevel[spec.level], pool->batch->callTime + pool->batch->itemTime * items);
    }
    Duration sum{};
    for (const auto &[level, time] : ofLevel) {
        sum += time;
    }
    return sum;
}

StageForecast ServingReducer::forecast(const Catalog &catalog)
{
    return StageForecast{catalog, [this](const PoolName &pool, int rank) {
                             return outlook(pool, rank);
                         }};
}

/*! @brief Forecasts the answer, or its first event, of a request whose stages have not begun. */
std::optional<TimePoint> ServingReducer::expectedAnswer(const Request &request)
{
    std::vector<std::uint32_t> pieces;
    for (const StageProgress &stage : request.stages) {
        pieces.push_back(stage.pieces);
    }
    const auto stages = forecast(*request.catalog).allStages(*request.route, pieces, request.rank);
    if (!stages) {
        return std::nullopt;
    }
    return m_now + *stages + m_firstEvents.typical(request.pool);
}

PoolName ServingReducer::drawPool(const Route &route, const std::string &attempt) const
{
    std::uint64_t sum = 0;
    for (const WeightedPool &pool : route.pools) {
        sum += pool.weight;
    }
    if (sum == 0) {
        return route.pools.empty() ? PoolName{} : route.pools.front().pool;
    }
    std::uint64_t drawn = XXH3_64bits(attempt.data(), attempt.size()) % sum;
    for (const WeightedPool &pool : route.pools) {
        if (drawn < pool.weight) {
            return pool.pool;
        }
        drawn -= pool.weight;
    }
    return route.pools.back().pool;
}

void ServingReducer::on(const CallerLeft &event)
{
    Request *request = find(event.call);
    if (request == nullptr) {
        return;
    }
    finish(*request, "caller_left");
}

void ServingReducer::refuse(Request &request, AnswerKind kind, const std::string &reason)
{
    const CallId call = request.in->call;
    RefuseCaller effect{call, kind, {}};
    if (kind == AnswerKind::Unavailable) {
        const Duration most = std::max((request.limit - m_now) / retryAfterShare, shortestRetryAfter);
        effect.retryAfter = std::min(std::max(standardRetryAfter, request.lateness()), most);
    }
    m_effects.emplace_back(effect);
    log(request, "A request is refused.",
        {{"answer", std::string{enumName(kind)}},
         {"reason", reason},
         {"route", request.route == nullptr ? "" : request.route->name},
         {"expected_ms", milliseconds(request.expected - request.arrived)},
         {"objective_ms", milliseconds(request.objective - request.arrived)}},
        kind == AnswerKind::NoRoute || kind == AnswerKind::UnknownKey ? Severity::Info : Severity::Warning);
    finish(request, enumName(kind));
}

void ServingReducer::finish(Request &request, std::string_view outcome)
{
    const CallId call = request.in->call;
    m_effects.emplace_back(Observe{
        Metric::RequestsTotal,
        {request.workspace.name.text(), request.route == nullptr ? "" : request.route->name, std::string{outcome}},
        1.0});
    if (request.route != nullptr) {
        observeEnd(request, outcome);
    }
    if (request.run) {
        m_effects.emplace_back(CancelRun{*request.run});
        endRun(request, std::nullopt);
    }
    releaseAll(request);
    m_limits.erase({request.limit, call});
    m_requests.erase(call);
}

void ServingReducer::observeEnd(const Request &request, std::string_view outcome)
{
    const std::string &kind = request.route->name;
    const Duration age = m_now - request.arrived;
    m_effects.emplace_back(Observe{Metric::RequestSeconds, {kind}, std::chrono::duration<double>(age).count()});
    if (outcome == "completed" && (request.firstEventAt.value_or(m_now) <= request.objective)) {
        m_effects.emplace_back(Observe{Metric::RequestsOnTimeTotal, {request.workspace.name.text(), kind}, 1.0});
    }
}

void ServingReducer::expire()
{
    while (!m_limits.empty() && m_limits.begin()->first <= m_now) {
        Request *request = find(m_limits.begin()->second);
        if (request == nullptr) {
            m_limits.erase(m_limits.begin());
            continue;
        }
        if (request->begun) {
            m_effects.emplace_back(AbortStream{request->in->call});
            log(*request, "A stream is broken off.", {{"reason", "its time is over"}}, Severity::Warning);
            finish(*request, "timed_out");
            continue;
        }
        refuse(*request, request->provablyNotRun() ? AnswerKind::Unavailable : AnswerKind::TimedOut,
               "its time is over");
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
    fields.emplace_back("request", request.in->attempt);
    fields.emplace_back("age_ms", milliseconds(m_now - request.arrived));
    fields.emplace_back("version", absl::StrCat(request.catalog ? request.catalog->version : 0));
    m_effects.emplace_back(LogLine{severity, Part::Entry, std::move(text), std::move(fields)});
}

} // namespace bergamottide::serving
