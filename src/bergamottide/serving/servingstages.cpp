#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace bergamottide::serving {

namespace {

/*! @brief Times that stages of a request are made again since an input was gone; each costs a whole chain of calls. */
constexpr std::uint32_t mostStageRestarts = 2;
/*! @brief Share, in percent, of the difference to the slowest stage beside it by which a faster stage starts later:
 * estimates err. */
constexpr int justInTimeShare = 80;
/*! @brief Bytes that a stage moves from which on a zone is preferred, where that costs no time: below, the price of
 * waiting is higher. */
constexpr std::uint64_t manyBytes = 200'000;
/*! @brief Differences below this are not worth a wakeup. */
constexpr Duration shortestDelay = std::chrono::milliseconds{20};

/*! @brief Share of a pool's memory for results above which room counts as scarce: a full call takes a third of it. */
constexpr double scarceRoom = 0.6;
/*! @brief Part of the time for which a result is kept that is not counted on: it began when the result was made, not
 * when it was heard of. */
constexpr Duration lapseMargin = std::chrono::milliseconds{300};

} // namespace

void ServingReducer::on(const StageCallEnded &event)
{
    m_stages.ended(event, m_now, m_effects);
    takeOutcomes();
}

void ServingReducer::advance(Request &request)
{
    while (request.level > 0) {
        const bool busy = std::any_of(request.stages.begin(), request.stages.end(),
                                      [](const StageProgress &stage) { return stage.task || stage.startAt; });
        if (busy) {
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
 * Stages start level by level, counted from the end: one whose result is needed late is made late. Large results then
 * stay in the scarce memory of their makers only while the last level is at work, not for the length of the chain.
 */
void ServingReducer::startLevel(Request &request)
{
    const StageForecast stageForecast = forecast(*request.catalog);
    std::map<std::uint32_t, Duration> expected;
    Duration longest{};
    for (std::uint32_t stage = 0; stage < request.stages.size(); ++stage) {
        const StageProgress &progress = request.stages[stage];
        if (request.route->stages[stage].level == request.level && !progress.isDone()) {
            expected[stage] =
                stageForecast.stage(request.route->stages[stage], progress.pieces, request.rank, Duration::zero())
                    .value_or(Duration::zero());
            longest = std::max(longest, expected[stage]);
        }
    }
    for (const auto &[stage, time] : expected) {
        const Duration delay = (longest - time) * justInTimeShare / 100;
        if (delay < shortestDelay) {
            submitStage(request, stage);
            continue;
        }
        // Results of the faster stage would only wait, in memory that others need, for those of the slower.
        request.stages[stage].startAt = m_now + delay;
        m_starts.emplace(m_now + delay, request.in->call, stage);
    }
}

void ServingReducer::startDelayed()
{
    while (!m_starts.empty() && std::get<TimePoint>(*m_starts.begin()) <= m_now) {
        const auto [due, call, stage] = *m_starts.begin();
        m_starts.erase(m_starts.begin());
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
    task.deadline = inputsLapse(request, spec.after);
    task.due = request.objective - request.runTime - shortestStageTime(request, spec.level + 1);
    task.attempt = request.in->attempt;
    task.stage = stage;
    task.pieces = progress.pieces;
    task.inputs = inputsOf(request, spec.after);
    task.key = task.inputs.empty() ? request.in->pieceKey : std::string{};
    task.resultBytes = spec.resultBytes;
    task.zone = zoneOf(request, stage);
    progress.pool = spec.pool;
    progress.task = task.id;
    progress.made = 0;
    progress.results.assign(progress.pieces, {});
    progress.isReleased = false;
    m_tasks.emplace(task.id, std::pair{request.in->call, stage});
    m_budget.sent(spec.pool, m_now);
    place(std::move(task));
}

std::vector<KeptResult> ServingReducer::inputsOf(const Request &request, const std::vector<std::uint32_t> &stages) const
{
    std::vector<KeptResult> inputs;
    for (const std::uint32_t stage : stages) {
        if (stage >= request.stages.size()) {
            continue;
        }
        for (const KeptResult &result : request.stages[stage].results) {
            inputs.push_back(result);
        }
    }
    return inputs;
}

/*
 * Each piece fetches all of its inputs, so a stage of many pieces moves its inputs many times over: of the bytes
 * between zones, most are inputs. The zone that spares most of them is preferred.
 */
ZoneName ServingReducer::zoneOf(const Request &request, std::uint32_t stage)
{
    const StageSpec &spec = request.route->stages[stage];
    const std::uint64_t pieces = request.stages[stage].pieces;
    std::map<ZoneName, std::uint64_t> bytes;
    for (const std::uint32_t before : spec.after) {
        if (before >= request.stages.size()) {
            continue;
        }
        for (const KeptResult &result : request.stages[before].results) {
            if (const Endpoint *maker = m_endpoints.find(result.endpoint); maker != nullptr) {
                bytes[maker->record.zone] += result.bytes * pieces;
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
    return most == bytes.end() || most->second < manyBytes ? ZoneName{} : most->first;
}

/*
 * A task that waits for longer than its inputs are kept fails at its turn, and its chain would have to be made again:
 * under saturation that multiplied the work. It is given up instead once its inputs are sure to lapse.
 */
TimePoint ServingReducer::inputsLapse(const Request &request, const std::vector<std::uint32_t> &stages) const
{
    TimePoint first = request.limit;
    for (const std::uint32_t stage : stages) {
        if (stage >= request.stages.size() || request.stages[stage].pieces == 0) {
            continue;
        }
        const Pool *pool = request.catalog->pool(request.route->stages[stage].pool);
        if (pool != nullptr && pool->batch && pool->batch->resultTtl > Duration::zero()) {
            first = std::min(first, m_now + pool->batch->resultTtl - lapseMargin);
        }
    }
    return first;
}

void ServingReducer::takeOutcomes()
{
    for (const StageOutcome &outcome : m_stages.takeOutcomes()) {
        take(outcome, m_incarnation);
    }
    m_stages.dispatch(*m_catalog, m_now, m_effects);
    giveUp(m_stages.takeUsedInputs());
}

void ServingReducer::take(const StageOutcome &outcome, std::uint64_t scheduler)
{
    if (m_peerTasks.contains(outcome.task)) {
        takeForPeer(outcome.task, outcome);
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
        stageFailed(*request, outcome.result.failure);
        return;
    }
    progress.results[outcome.piece] = {outcome.result.handle, outcome.endpoint, outcome.address,
                                       request->route->stages[stage].resultBytes, scheduler};
    if (++progress.made < progress.pieces) {
        return;
    }
    progress.task.reset();
    m_tasks.erase(found);
    for (const std::uint32_t before : request->route->stages[stage].after) {
        if (before < request->stages.size()) {
            // The scheduler that has had the results made of them has given them up.
            request->stages[before].isReleased = true;
        }
    }
    advance(*request);
}

void ServingReducer::stageFailed(Request &request, PieceFailure failure)
{
    log(request, "A stage has failed.",
        {{"reason", std::string{enumName(failure)}}, {"level", absl::StrCat(request.level)}}, Severity::Warning);
    const bool again =
        failure == PieceFailure::InputGone && mayRestartStages(request) && m_budget.take(request.pool, m_now);
    if (!again) {
        refuse(request, request.mayHaveRun ? AnswerKind::BadGateway : AnswerKind::Unavailable,
               absl::StrCat("stage failed: ", std::string{enumName(failure)}));
        return;
    }
    restartStages(request);
}

bool ServingReducer::mayRestartStages(const Request &request)
{
    return request.stageRestarts < mostStageRestarts;
}

void ServingReducer::restartStages(Request &request)
{
    ++request.stageRestarts;
    releaseAll(request);
    for (StageProgress &stage : request.stages) {
        stage.made = 0;
        stage.startAt.reset();
    }
    request.level = request.route->topLevel() + 1;
    advance(request);
}

void ServingReducer::release(StageProgress &stage)
{
    if (stage.isReleased) {
        return;
    }
    stage.isReleased = true;
    giveUp(stage.results);
}

bool ServingReducer::isShortOfRoom(const KeptResult &result)
{
    const Endpoint *endpoint = m_endpoints.find(result.endpoint);
    const auto found = endpoint == nullptr ? std::nullopt : outlook(endpoint->record.pool, 0);
    return found && found->roomTaken > scarceRoom;
}

/*! @brief Gives results up at their endpoints, and tells the peers that account for the room there. */
void ServingReducer::giveUp(const std::vector<KeptResult> &results)
{
    std::map<std::string, std::vector<std::string>> byAddress;
    std::map<InstanceName, TellReleased> byOwner;
    for (const KeptResult &result : results) {
        if (result.handle.empty()) {
            continue;
        }
        m_stages.released(result.handle);
        byAddress[result.address].push_back(result.handle);
        const Endpoint *endpoint = m_endpoints.find(result.endpoint);
        if (endpoint == nullptr) {
            continue;
        }
        if (const auto owner = m_peers.owner(endpoint->record.pool, m_now)) {
            TellReleased &tell = byOwner[owner->instance];
            tell.peer = *owner;
            tell.handles.push_back(result.handle);
        }
    }
    for (auto &[instance, tell] : byOwner) {
        m_effects.emplace_back(std::move(tell));
    }
    for (auto &[address, handles] : byAddress) {
        m_effects.emplace_back(FreeResults{address, std::move(handles)});
    }
}

void ServingReducer::releaseAll(Request &request)
{
    for (StageProgress &stage : request.stages) {
        if (stage.task) {
            if (m_handed.erase(*stage.task) != 0) {
                m_effects.emplace_back(RecallTask{*stage.task});
            } else if (m_heldBack.erase(*stage.task) == 0) {
                m_stages.cancel(*stage.task);
            }
            m_tasks.erase(*stage.task);
            stage.task.reset();
        }
        release(stage);
    }
}

} // namespace bergamottide::serving
