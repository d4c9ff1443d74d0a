#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace bergamottide::serving {

namespace {

/*! @brief Maximum restarts of a request's stages after the loss of an input; each repeats the whole chain of calls. */
constexpr std::uint32_t maxStageRestarts = 2;
/*! @brief Delay of a faster stage, in percent of its lead over the slowest stage of the level; below 100 to allow for
 * forecast errors. */
constexpr int startDelayPercent = 80;
/*! @brief Traffic between zones, in bytes, from which a stage prefers a zone; below, waiting for the zone costs more
 * than it saves. */
constexpr std::uint64_t minBytesForZonePreference = 200'000;
/*! @brief A stage is started at once if its delay would be shorter. */
constexpr Duration minStartDelay = std::chrono::milliseconds{20};

/*! @brief Used share of a pool's result memory above which it counts as scarce. */
constexpr double scarceMemoryShare = 0.6;
/*! @brief Subtracted from `resultTtl`, which starts at the endpoint before this process learns of the result. */
constexpr Duration resultTtlMargin = std::chrono::milliseconds{300};

} // namespace

void ServingReducer::on(const StageCallEnded &event)
{
    recordStageCall(event);
    m_stageScheduler.handleCallEnded(event, m_now, m_effects);
    processStageOutcomes();
}

/*! @brief Starts the next level of stages once the current one is done, or the run after the last level. */
void ServingReducer::advance(Request &request)
{
    while (request.level > 0) {
        const bool isBusy = std::any_of(request.stages.begin(), request.stages.end(),
                                        [](const StageProgress &stage) { return stage.task || stage.startAt; });
        if (isBusy) {
            return;
        }
        --request.level;
        if (request.level > 0) {
            startLevel(request);
        }
    }
    if (!request.run) {
        startRun(request);
    }
}

/*
 * Starts the stages of the current level. Levels count from the end of the route, so that a stage runs as late as its
 * result is needed and large results occupy endpoint memory only briefly.
 */
void ServingReducer::startLevel(Request &request)
{
    const StageForecast stageForecast = forecast(request);
    std::map<std::uint32_t, Duration> expected;
    Duration longest{};
    for (std::uint32_t stage = 0; stage < request.stages.size(); ++stage) {
        const StageProgress &progress = request.stages[stage];
        if (request.route->stages[stage].level == request.level && !progress.isDone()) {
            expected[stage] =
                stageForecast
                    .stageDuration(request.route->stages[stage], progress.pieces, request.rank, Duration::zero())
                    .value_or(Duration::zero());
            longest = std::max(longest, expected[stage]);
        }
    }
    for (const auto &[stage, time] : expected) {
        const Duration delay = (longest - time) * startDelayPercent / 100;
        if (delay < minStartDelay) {
            submitStage(request, stage);
            continue;
        }
        // An earlier result would only occupy memory until the slowest stage is done.
        request.stages[stage].startAt = m_now + delay;
        m_delayedStages.emplace(m_now + delay, request.callerRequest->call, stage);
    }
}

void ServingReducer::startDelayedStages()
{
    while (!m_delayedStages.empty() && std::get<TimePoint>(*m_delayedStages.begin()) <= m_now) {
        const auto [due, call, stage] = *m_delayedStages.begin();
        m_delayedStages.erase(m_delayedStages.begin());
        Request *request = find(call);
        if (request != nullptr && request->stages[stage].startAt == due) {
            request->stages[stage].startAt.reset();
            submitStage(*request, stage);
        }
    }
}

void ServingReducer::submitStage(Request &request, std::uint32_t stage)
{
    const StageSpec &spec = request.route->stages[stage];
    StageProgress &progress = request.stages[stage];
    StageTask task;
    task.id = StageTaskId{m_nextTask++};
    task.pool = spec.pool;
    task.rank = request.rank;
    task.deadline = inputExpiry(request, spec.dependencies);
    task.latestStart = request.objective - request.expectedRunTime - minimumStageTime(request, spec.level + 1);
    task.objective = request.route->objective;
    task.workspace = request.workspace.name;
    task.attempt = request.callerRequest->attempt;
    task.fingerprint = stageFingerprint(request.fingerprint(), stage);
    task.stage = stage;
    task.pieces = progress.pieces;
    task.inputs = inputsOf(request, spec.dependencies);
    task.inputKey = task.inputs.empty() ? request.callerRequest->pieceKey : std::string{};
    task.resultBytes = spec.resultBytes;
    task.preferredZone = preferredZone(request, stage);
    progress.pool = spec.pool;
    progress.task = task.id;
    progress.completedPieces = 0;
    progress.results.assign(progress.pieces, {});
    progress.isReleased = false;
    m_tasks.emplace(task.id, std::pair{request.callerRequest->call, stage});
    submitTask(std::move(task));
}

std::vector<StoredResult> ServingReducer::inputsOf(const Request &request,
                                                   const std::vector<std::uint32_t> &stages) const
{
    std::vector<StoredResult> inputs;
    for (const std::uint32_t stage : stages) {
        if (stage >= request.stages.size()) {
            continue;
        }
        for (const StoredResult &result : request.stages[stage].results) {
            inputs.push_back(result);
        }
    }
    return inputs;
}

/*
 * Returns the zone in which running a stage saves most traffic between zones; empty if it saves little. Every piece
 * fetches all inputs, so inputs make up most of the traffic.
 */
ZoneName ServingReducer::preferredZone(const Request &request, std::uint32_t stage)
{
    const StageSpec &spec = request.route->stages[stage];
    const std::uint64_t pieces = request.stages[stage].pieces;
    std::map<ZoneName, std::uint64_t> bytes;
    for (const std::uint32_t before : spec.dependencies) {
        if (before >= request.stages.size()) {
            continue;
        }
        for (const StoredResult &result : request.stages[before].results) {
            if (const Endpoint *source = m_endpoints.find(result.endpoint); source != nullptr) {
                bytes[source->record.zone] += result.bytes * pieces;
            }
        }
    }
    if (spec.isLeaf) {
        const auto choice = chooseEngine(request);
        const Endpoint *engine = choice ? m_endpoints.find(choice->engine) : nullptr;
        bytes[engine == nullptr ? ZoneName{} : engine->record.zone] += spec.resultBytes * pieces;
    }
    const auto most = std::max_element(bytes.begin(), bytes.end(),
                                       [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == bytes.end() || most->second < minBytesForZonePreference ? ZoneName{} : most->first;
}

/*
 * Returns when the first input of a task may expire, at most the deadline. A task that is still queued then is dropped,
 * because its call would fail and the whole chain of stages would have to be repeated.
 */
TimePoint ServingReducer::inputExpiry(const Request &request, const std::vector<std::uint32_t> &stages) const
{
    TimePoint first = request.deadline;
    for (const std::uint32_t stage : stages) {
        if (stage >= request.stages.size() || request.stages[stage].pieces == 0) {
            continue;
        }
        const Pool *pool = request.catalog->findPool(request.route->stages[stage].pool);
        if (pool != nullptr && pool->batch && pool->batch->resultTtl > Duration::zero()) {
            first = std::min(first, m_now + pool->batch->resultTtl - resultTtlMargin);
        }
    }
    return first;
}

void ServingReducer::processStageOutcomes()
{
    for (const StageOutcome &outcome : m_stageScheduler.takeOutcomes()) {
        handleStageOutcome(outcome, m_incarnation);
    }
    m_stageScheduler.dispatch(*m_catalog, m_now, m_effects);
    freeResults(m_stageScheduler.takeReleasableInputs());
}

void ServingReducer::handleStageOutcome(const StageOutcome &outcome, std::uint64_t scheduler)
{
    if (m_peerTasks.contains(outcome.task)) {
        handlePeerTaskOutcome(outcome.task, outcome);
        return;
    }
    const auto found = m_tasks.find(outcome.task);
    if (found == m_tasks.end()) {
        return;
    }
    const auto [call, stage] = found->second;
    Request *request = find(call);
    if (request == nullptr) {
        m_tasks.erase(found);
        return;
    }
    StageProgress &progress = request->stages[stage];
    if (outcome.result.handle.empty()) {
        progress.task.reset();
        m_tasks.erase(found);
        handleStageFailure(*request, outcome.result.failure);
        return;
    }
    progress.results[outcome.piece] = {outcome.result.handle, outcome.endpoint, outcome.address,
                                       request->route->stages[stage].resultBytes, scheduler};
    if (++progress.completedPieces < progress.pieces) {
        return;
    }
    progress.task.reset();
    m_tasks.erase(found);
    for (const std::uint32_t before : request->route->stages[stage].dependencies) {
        if (before < request->stages.size()) {
            // The scheduler of the finished task has already released its inputs.
            request->stages[before].isReleased = true;
        }
    }
    advance(*request);
}

void ServingReducer::handleStageFailure(Request &request, PieceFailure failure)
{
    log(request, "Stage failed.", {{"reason", std::string{enumName(failure)}}, {"level", absl::StrCat(request.level)}},
        Severity::Warning);
    const bool again = failure == PieceFailure::InputMissing && mayRestartStages(request) && takeRetry(request);
    if (!again) {
        if (failure == PieceFailure::Late) {
            recordMissedForecast(request);
        }
        reject(request, request.mayHaveRun ? ErrorKind::BadGateway : ErrorKind::Unavailable,
               absl::StrCat("stage failed: ", std::string{enumName(failure)}));
        return;
    }
    restartStages(request);
}

bool ServingReducer::mayRestartStages(const Request &request)
{
    return request.stageRestarts < maxStageRestarts;
}

void ServingReducer::restartStages(Request &request)
{
    ++request.stageRestarts;
    cancelStages(request);
    for (StageProgress &stage : request.stages) {
        stage.completedPieces = 0;
        stage.startAt.reset();
    }
    request.level = request.route->maxLevel() + 1;
    advance(request);
}

void ServingReducer::releaseResults(StageProgress &stage)
{
    if (stage.isReleased) {
        return;
    }
    stage.isReleased = true;
    freeResults(stage.results);
}

/*! @brief Returns whether the pool that stores a result is short of memory for further results. */
bool ServingReducer::isResultMemoryScarce(const StoredResult &result)
{
    const Endpoint *endpoint = m_endpoints.find(result.endpoint);
    const auto found = endpoint == nullptr ? std::nullopt : poolEstimate(endpoint->record.pool, 0, {});
    return found && found->usedMemoryShare > scarceMemoryShare;
}

/*! @brief Releases results at their endpoints, and notifies the peers that account for the memory there. */
void ServingReducer::freeResults(const std::vector<StoredResult> &results)
{
    std::map<InstanceName, ReleaseResults> byEndpoint;
    std::map<InstanceName, NotifyReleasedResults> byOwner;
    for (const StoredResult &result : results) {
        if (result.handle.empty()) {
            continue;
        }
        m_stageScheduler.handleReleased(result.handle);
        ReleaseResults &release = byEndpoint[result.endpoint];
        release.instance = result.endpoint;
        release.address = result.address;
        release.handles.push_back(result.handle);
        const Endpoint *endpoint = m_endpoints.find(result.endpoint);
        if (endpoint == nullptr) {
            continue;
        }
        if (const auto owner = m_peers.queueOwner(endpoint->record.pool, m_now)) {
            NotifyReleasedResults &tell = byOwner[owner->instance];
            tell.peer = *owner;
            tell.handles.push_back(result.handle);
        }
    }
    for (auto &[instance, tell] : byOwner) {
        m_effects.emplace_back(std::move(tell));
    }
    for (auto &[instance, release] : byEndpoint) {
        m_effects.emplace_back(std::move(release));
    }
}

/*! @brief Cancels the tasks of a request and releases its results. */
void ServingReducer::cancelStages(Request &request)
{
    for (StageProgress &stage : request.stages) {
        if (stage.task) {
            if (m_delegatedTasks.erase(*stage.task) != 0) {
                m_effects.emplace_back(CancelDelegatedTask{*stage.task});
            } else if (m_deferredTasks.erase(*stage.task) == 0) {
                m_stageScheduler.cancel(*stage.task);
            }
            m_tasks.erase(*stage.task);
            stage.task.reset();
        }
        releaseResults(stage);
    }
}

} // namespace bergamottide::serving
