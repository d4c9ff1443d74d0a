#include "bergamottide/serving/stagescheduler.h"

#include "bergamottide/serving/endpointspeed.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamottide::serving {

namespace {

/*! @brief Failures of one task, not counting rejections, after which its request is given up. */
constexpr std::uint32_t mostFailures = 3;
/*! @brief A call is given up after this many times its expected time, plus the allowance for the network. */
constexpr int expiryFactor = 3;
constexpr Duration expiryAllowance = std::chrono::milliseconds{200};
/*! @brief Time by which a task may be expected to miss its due before it is taken as late: estimates are no better than
 * that. */
constexpr Duration lateTolerance = std::chrono::milliseconds{50};
/*! @brief Longest wait of a late task behind all others: its result is worth little, and its caller may come back
 * sooner. */
constexpr Duration longestLateWait = std::chrono::milliseconds{700};
/*! @brief Inputs count as fetched after this many times the time that the links need, plus the allowance: a call
 * carries some tasks, both ends share their links, and the request is on its way for some milliseconds. */
constexpr int fetchTimeFactor = 6;
constexpr Duration fetchAllowance = std::chrono::milliseconds{60};
/*! @brief Time for which an endpoint that told no work of others is taken to have none: some calls. Where another
 * scheduler's call is in progress, one's own is fetched for only after it. */
constexpr Duration aloneMemory = std::chrono::seconds{2};
/*! @brief Share of a pool that more urgent work is taken to fill at most, in the forecast of a wait behind it. */
constexpr double mostUrgentShare = 0.8;
/*!
 * @brief Time for which a task waits for an endpoint of its zone while others are free.
 *
 * A stage whose pieces each fetch all inputs moves several megabytes; a call takes 150 ms and more, so that an endpoint
 * of the zone is likely to become free meanwhile.
 */
constexpr Duration zonePatience = std::chrono::milliseconds{200};
/*! @brief A task with less time than this to its latest start does not wait for its zone. */
constexpr Duration zoneUrgency = std::chrono::milliseconds{200};
/*! @brief Time for which an endpoint that had no room for a result gets none: results of others lapse or are given up
 * by then. */
constexpr Duration noRoomPause = std::chrono::milliseconds{250};
/*! @brief Time after which a queue is reviewed though nothing of it has changed: endpoints that were left out return,
 * and tasks become late. A fifteenth of the shortest calls. */
constexpr Duration reviewPeriod = std::chrono::milliseconds{10};
/*! @brief Time for which an endpoint that rejected a call gets none: another process works with it, or it leaves. */
constexpr Duration rejectionPause = std::chrono::milliseconds{60};

/*! @brief Time in which an endpoint fetches the inputs of all pieces of a task; each piece fetches them all. */
Duration fetchTime(const BatchSpec &spec, const StageTask &task)
{
    double bytes = 0.0;
    for (const KeptResult &input : task.inputs) {
        bytes += static_cast<double>(input.bytes) * task.pieces;
    }
    const double seconds = spec.fetchRate > 0.0 ? bytes / spec.fetchRate : 0.0;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::vector<std::string> handlesOf(const std::vector<KeptResult> &results)
{
    std::vector<std::string> handles;
    handles.reserve(results.size());
    for (const KeptResult &result : results) {
        handles.push_back(result.handle);
    }
    return handles;
}

Duration expectedTime(const BatchSpec &spec, std::size_t items)
{
    return spec.callTime + spec.itemTime * static_cast<std::int64_t>(items);
}

/*! @brief Returns the share of the endpoints' memory for results that is taken. */
double roomTaken(const BatchSpec &spec, const std::vector<Endpoint *> &endpoints)
{
    const double room = static_cast<double>(spec.resultRoom) * static_cast<double>(endpoints.size());
    double taken = 0.0;
    for (const Endpoint *endpoint : endpoints) {
        taken += static_cast<double>(endpoint->takenBytes());
    }
    return room > 0.0 ? taken / room : 0.0;
}

/*! @brief Returns the identities of the requests in a call, each once, separated by commas. */
std::string requestsOf(const StartStageCall &call)
{
    std::string out;
    std::string_view last;
    for (const StageItem &item : call.items) {
        if (item.attempt == last) {
            continue;
        }
        last = item.attempt;
        absl::StrAppend(&out, out.empty() ? "" : ",", item.attempt);
    }
    return out;
}

} // namespace

StageScheduler::StageScheduler(EndpointBoard &endpoints, RetryBudget &budget, const WarmupLimiter &warmup,
                               FetchPaths &paths, ShortOfRoom shortOfRoom)
    : m_endpoints{endpoints}
    , m_budget{budget}
    , m_paths{paths}
    , m_shortOfRoom{std::move(shortOfRoom)}
    , m_room{endpoints}
    , m_planner{endpoints, m_tasks, warmup, paths}
{
}

void StageScheduler::submit(StageTask task, TimePoint now)
{
    const StageTaskId id = task.id;
    PendingTask pending;
    for (std::uint32_t piece = 0; piece < task.pieces; ++piece) {
        pending.waiting.push_back(piece);
    }
    pending.open = task.pieces;
    for (const KeptResult &input : task.inputs) {
        if (const Endpoint *maker = m_endpoints.find(input.endpoint); maker != nullptr) {
            pending.inputZones.insert(maker->record.zone);
        }
    }
    pending.patientUntil = task.zone.empty() ? now : std::min(now + zonePatience, task.due - zoneUrgency);
    pending.task = std::move(task);
    m_queues[pending.task.pool].insert(orderOf(pending));
    m_room.noteHeld(pending.task, now);
    m_loads[pending.task.pool].recordArrival(pending.task.rank, pending.task.pieces, now);
    m_reviews[pending.task.pool].isDue = true;
    m_tasks.emplace(id, std::move(pending));
}

void StageScheduler::cancel(StageTaskId task)
{
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end()) {
        return;
    }
    m_queues[found->second.task.pool].erase(orderOf(found->second));
    m_tasks.erase(found);
}

std::vector<StageTask> StageScheduler::handOver(const std::function<bool(const PoolName &pool)> &isTakenOver)
{
    std::vector<StageTask> out;
    for (const auto &[id, pending] : m_tasks) {
        if (pending.waiting.size() == pending.task.pieces && isTakenOver(pending.task.pool)) {
            out.push_back(pending.task);
        }
    }
    for (const StageTask &task : out) {
        cancel(task.id);
    }
    return out;
}

void StageScheduler::dispatch(const Catalog &catalog, TimePoint now, Effects &effects)
{
    for (auto &[name, queue] : m_queues) {
        const Pool *pool = catalog.pool(name);
        if (queue.empty() || pool == nullptr || !pool->batch) {
            continue;
        }
        Review &review = m_reviews[name];
        if (!isDue(review, now)) {
            continue;
        }
        dispatchPool(*pool, queue, now, effects);
        review = {false, now, patienceEnd(queue, now)};
        ++m_reviewCount;
    }
}

/*
 * Answers a process that keeps a queue beside its callers' streams: most of its events, each token that is passed on
 * among them, change nothing of the queue. With 41 endpoints and 560 tasks a second, reviews at each event and a drain
 * rate worked out for each task took 0.46 of a core, against 0.04 so (benchmark `keepQueue`).
 */
bool StageScheduler::isDue(const Review &review, TimePoint now)
{
    return review.isDue || now - review.at >= reviewPeriod || (review.patienceEnds && *review.patienceEnds <= now);
}

void StageScheduler::reviewAll()
{
    for (auto &[pool, review] : m_reviews) {
        review.isDue = true;
    }
}

std::optional<TimePoint> StageScheduler::patienceEnd(const StageQueue &queue, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const StageOrder &order : queue) {
        const TimePoint until = m_tasks.at(std::get<StageTaskId>(order)).patientUntil;
        if (until > now && (!first || until < *first)) {
            first = until;
        }
    }
    return first;
}

/*
 * Answers a backlog in which the oldest can no longer be on time: served first, they would make the next ones late as
 * well. Whoever cannot be on time behind those that go before it is marked at once, and goes behind all that can.
 */
void StageScheduler::markLate(const Pool &pool, StageQueue &queue, TimePoint now)
{
    const DrainRate rate = drainRate(pool, m_endpoints.usable(pool.name, now), now);
    std::size_t ahead = 0;
    std::vector<StageTaskId> late;
    for (const StageOrder &order : queue) {
        if (std::get<bool>(order)) {
            break;
        }
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(order));
        if (now + rate.waitBehind(ahead) > pending.task.due + lateTolerance) {
            late.push_back(pending.task.id);
            continue;
        }
        ahead += pending.waiting.size();
    }
    for (const StageTaskId task : late) {
        PendingTask &pending = m_tasks.at(task);
        queue.erase(orderOf(pending));
        pending.isLate = true;
        pending.lateSince = now;
        queue.insert(orderOf(pending));
    }
    shedLate(pool, queue, rate, ahead, now);
}

/*
 * Answers saturation that outlasts the backlog: late tasks are served from what the others leave. Those that would wait
 * longer than their bound are given up at once, so that their callers are not held for nothing and can come back.
 */
void StageScheduler::shedLate(const Pool &pool, const StageQueue &queue, const DrainRate &rate, std::size_t ahead,
                              TimePoint now)
{
    std::vector<StageTaskId> hopeless;
    for (const StageOrder &order : queue) {
        if (!std::get<bool>(order)) {
            continue;
        }
        const PendingTask &pending = m_tasks.at(std::get<StageTaskId>(order));
        const Duration wait = std::max(rate.waitBehind(ahead), now - pending.lateSince);
        const bool inCall = pending.waiting.size() < pending.open;
        if (!inCall && (wait > longestLateWait || now + wait + expectedTime(*pool.batch, 1) > pending.task.deadline)) {
            hopeless.push_back(pending.task.id);
            continue;
        }
        ahead += pending.waiting.size();
    }
    for (const StageTaskId task : hopeless) {
        fail(m_tasks.at(task), PieceFailure::Late);
    }
}

Duration StageScheduler::remainingTime(const PoolName &pool, TimePoint now) const
{
    Duration remaining{};
    for (const auto &[number, call] : m_calls) {
        if (call.pool == pool) {
            remaining += std::max(Duration::zero(), call.started + call.expected - now);
        }
    }
    return remaining;
}

DrainRate StageScheduler::drainRate(const Pool &pool, const std::vector<Endpoint *> &usable, TimePoint now)
{
    return {*pool.batch, usable, remainingTime(pool.name, now), m_loads[pool.name].backlogItemsPerCall(*pool.batch),
            now};
}

void StageScheduler::dispatchPool(const Pool &pool, StageQueue &queue, TimePoint now, Effects &effects)
{
    markLate(pool, queue, now);
    while (!queue.empty()) {
        auto planned = m_planner.next(pool, queue, now);
        if (!planned) {
            return;
        }
        m_loads[pool.name].recordCall(*pool.batch, planned->items.size(), waitingPieces(queue, m_tasks));
        send(pool, *planned->endpoint, std::move(planned->items), queue, now, effects);
    }
}

void StageScheduler::send(const Pool &pool, Endpoint &endpoint, std::vector<CallItem> items, StageQueue &queue,
                          TimePoint now, Effects &effects)
{
    StartStageCall start;
    start.call = StageCallNumber{m_nextCall++};
    start.instance = endpoint.record.instance;
    start.address = endpoint.record.address;
    for (const CallItem &item : items) {
        PendingTask &pending = m_tasks.at(item.task);
        const StageTask &task = pending.task;
        const Duration left = task.deadline - now;
        start.items.push_back({task.attempt, task.stage, item.piece, left, task.key, handlesOf(task.inputs)});
        start.deadline = std::max(start.deadline, left);
        std::erase(pending.waiting, item.piece);
        if (pending.waiting.empty()) {
            queue.erase(orderOf(pending));
            if (now - endpoint.exclusiveAt < aloneMemory) {
                pending.fetchedAt = now + fetchTime(*pool.batch, task) * fetchTimeFactor + fetchAllowance;
                m_fetches.emplace(*pending.fetchedAt, task.id);
            }
        }
        endpoint.resultBytes += item.bytes;
    }
    Call call;
    call.pool = pool.name;
    call.endpoint = start.instance;
    call.incarnation = endpoint.record.incarnation;
    call.address = start.address;
    call.started = now;
    call.expected = expectedTime(*pool.batch, items.size());
    call.resultTtl = pool.batch->resultTtl;
    call.expiry = now + call.expected * expiryFactor + expiryAllowance;
    call.items = std::move(items);
    effects.emplace_back(LogLine{Severity::Info,
                                 Part::Entry,
                                 "A stage call is sent.",
                                 {{"call", absl::StrCat(static_cast<std::uint64_t>(start.call))},
                                  {"pool", pool.name.text()},
                                  {"endpoint", call.endpoint.text()},
                                  {"items", absl::StrCat(call.items.size())},
                                  {"requests", requestsOf(start)},
                                  {"waiting_tasks", absl::StrCat(queue.size())},
                                  {"result_bytes", absl::StrCat(endpoint.resultBytes)},
                                  {"slowness", absl::StrCat(currentSlowness(endpoint, now))}}});
    effects.emplace_back(Observe{Metric::StageCallItems, {pool.name.text()}, static_cast<double>(call.items.size())});
    m_endpoints.started(call.endpoint);
    WarmupLimiter::noteSent(pool, endpoint, now);
    m_expiries.emplace(call.expiry, start.call);
    m_calls.emplace(start.call, std::move(call));
    effects.emplace_back(std::move(start));
}

void StageScheduler::ended(const StageCallEnded &event, TimePoint now, Effects &effects)
{
    const auto node = m_calls.extract(event.call);
    if (node.empty()) {
        return;
    }
    const Call &call = node.mapped();
    m_expiries.erase({call.expiry, event.call});
    m_reviews[call.pool].isDue = true;
    if (event.end == StageCallEnd::Answered || event.end == StageCallEnd::Rejected) {
        m_endpoints.answered(call.endpoint, now);
    }
    if (event.end != StageCallEnd::Answered || event.results.size() != call.items.size()) {
        const bool rejected = event.end == StageCallEnd::Rejected;
        m_endpoints.ended(call.endpoint,
                          rejected                                   ? EndpointSign::Rejected
                              : event.end == StageCallEnd::Unreached ? EndpointSign::Unreached
                                                                     : EndpointSign::Failed,
                          now, effects);
        if (Endpoint *endpoint = m_endpoints.find(call.endpoint); endpoint != nullptr && rejected) {
            endpoint->pausedUntil = now + rejectionPause;
        }
        giveBack(call, !rejected, now, effects);
        return;
    }
    noteSpeed(call, now);
    m_endpoints.ended(call.endpoint, EndpointSign::Good, now, effects);
    noteCompany(call, event.load, now);
    std::vector<std::string> orphans;
    std::map<StageTaskId, std::vector<CallItem>> unreached;
    logFailures(event, call, effects);
    notePaths(event, call, now);
    for (std::size_t index = 0; index < call.items.size(); ++index) {
        const CallItem &item = call.items[index];
        const PieceResult &result = event.results[index];
        const auto found = m_tasks.find(item.task);
        if (found == m_tasks.end()) {
            m_room.giveBack(shareOf(call, item));
            if (!result.handle.empty()) {
                orphans.push_back(result.handle);
            }
            continue;
        }
        if (result.handle.empty()) {
            m_room.giveBack(shareOf(call, item));
            if (result.failure == PieceFailure::InputGone && isOutOfReach(found->second, call, now)) {
                unreached[item.task].push_back(item);
            } else if (result.failure == PieceFailure::Late || result.failure == PieceFailure::InputGone) {
                fail(found->second, result.failure);
            } else {
                if (Endpoint *endpoint = m_endpoints.find(call.endpoint);
                    endpoint != nullptr && result.failure == PieceFailure::NoRoom) {
                    endpoint->pausedUntil = now + noRoomPause;
                }
                requeue(item, result.failure != PieceFailure::NoRoom);
            }
            continue;
        }
        m_room.keep(result.handle, shareOf(call, item), now + call.resultTtl);
        m_outcomes.push_back({item.task, item.piece, result, call.endpoint, call.address});
        if (--found->second.open == 0) {
            giveUpInputs(found->second);
            m_tasks.erase(found);
        }
    }
    tryElsewhere(unreached, call, now);
    if (!orphans.empty()) {
        effects.emplace_back(FreeResults{call.address, std::move(orphans)});
    }
}

/*! @brief Notes between which zones inputs were fetched, and between which they were not. */
void StageScheduler::notePaths(const StageCallEnded &event, const Call &call, TimePoint now)
{
    const Endpoint *endpoint = m_endpoints.find(call.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    for (std::size_t index = 0; index < call.items.size(); ++index) {
        const auto found = m_tasks.find(call.items[index].task);
        const PieceResult &result = event.results[index];
        const bool isFetched = !result.handle.empty();
        if (found != m_tasks.end() && (isFetched || result.failure == PieceFailure::InputGone)) {
            m_paths.note(found->second.inputZones, endpoint->record.zone, isFetched, now);
        }
    }
}

/*
 * Answers partitions between zones: inputs that one endpoint reports as gone are still there for the endpoints of other
 * zones. In a day with two one-way cuts 3,303 pieces had their chains of stages made again, 128 s of endpoints' time.
 */
bool StageScheduler::isOutOfReach(const PendingTask &pending, const Call &call, TimePoint now)
{
    const Endpoint *endpoint = m_endpoints.find(call.endpoint);
    return endpoint != nullptr && !pending.isFetched
        && m_paths.isBroken(pending.inputZones, endpoint->record.zone, now);
}

/*! @brief Queues pieces again whose endpoint could not reach their inputs, as far as the budget allows. */
void StageScheduler::tryElsewhere(const std::map<StageTaskId, std::vector<CallItem>> &unreached, const Call &call,
                                  TimePoint now)
{
    for (const auto &[task, items] : unreached) {
        const auto found = m_tasks.find(task);
        if (found == m_tasks.end()) {
            continue;
        }
        if (!m_budget.take(call.pool, now)) {
            fail(found->second, PieceFailure::InputGone);
            continue;
        }
        for (const CallItem &item : items) {
            requeue(item, true);
        }
    }
}

/*! @brief Notes whether only this scheduler has calls at an endpoint, from the load that it told when a call ended. */
void StageScheduler::noteCompany(const Call &call, const std::optional<EndpointLoad> &load, TimePoint now)
{
    Endpoint *endpoint = m_endpoints.find(call.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    const bool isShared = load && load->running + load->waiting > endpoint->inFlight;
    endpoint->exclusiveAt = isShared ? TimePoint{} : now;
}

RoomShare StageScheduler::shareOf(const Call &call, const CallItem &item)
{
    return {call.endpoint, call.incarnation, item.bytes};
}

void StageScheduler::logFailures(const StageCallEnded &event, const Call &call, Effects &effects)
{
    std::map<PieceFailure, std::size_t> failures;
    for (const PieceResult &result : event.results) {
        if (result.handle.empty()) {
            ++failures[result.failure];
        }
    }
    for (const auto &[failure, pieces] : failures) {
        effects.emplace_back(LogLine{Severity::Warning,
                                     Part::Entry,
                                     "Pieces of a stage call were not made.",
                                     {{"call", absl::StrCat(static_cast<std::uint64_t>(event.call))},
                                      {"endpoint", call.endpoint.text()},
                                      {"pool", call.pool.text()},
                                      {"reason", std::string{enumName(failure)}},
                                      {"pieces", absl::StrCat(pieces)}}});
    }
}

void StageScheduler::giveBack(const Call &call, bool failed, TimePoint now, Effects &effects)
{
    std::set<StageTaskId> refused;
    std::set<StageTaskId> seen;
    for (const CallItem &item : call.items) {
        if (failed) {
            m_room.keepLost(shareOf(call, item), now + call.resultTtl);
        } else {
            m_room.giveBack(shareOf(call, item));
        }
        if (!m_tasks.contains(item.task)) {
            continue;
        }
        if (seen.insert(item.task).second && !m_budget.take(call.pool, now)) {
            refused.insert(item.task);
        }
        if (!refused.contains(item.task)) {
            requeue(item, failed);
        }
    }
    for (const StageTaskId task : refused) {
        const auto found = m_tasks.find(task);
        if (found == m_tasks.end()) {
            continue;
        }
        effects.emplace_back(LogLine{Severity::Info,
                                     Part::Entry,
                                     "A stage is not repeated: the budget is spent.",
                                     {{"request", found->second.task.attempt}, {"pool", call.pool.text()}}});
        fail(found->second, PieceFailure::Error);
    }
}

void StageScheduler::requeue(const CallItem &item, bool failed)
{
    const auto found = m_tasks.find(item.task);
    if (found == m_tasks.end()) {
        return;
    }
    PendingTask &pending = found->second;
    pending.failures += failed ? 1 : 0;
    if (pending.failures > mostFailures * pending.task.pieces) {
        fail(pending, PieceFailure::Error);
        return;
    }
    if (pending.isFetched && !pending.task.inputs.empty()) {
        fail(pending, PieceFailure::InputGone);
        return;
    }
    pending.fetchedAt.reset();
    pending.waiting.push_back(item.piece);
    m_queues[pending.task.pool].insert(orderOf(pending));
    m_reviews[pending.task.pool].isDue = true;
}

void StageScheduler::fail(PendingTask &pending, PieceFailure failure)
{
    const StageTaskId id = pending.task.id;
    m_queues[pending.task.pool].erase(orderOf(pending));
    m_outcomes.push_back({id, 0, PieceResult{{}, failure}, {}, {}});
    m_tasks.erase(id);
}

/*
 * Answers a chain of stages whose first ones have little room for results: inputs that stay until the call that takes
 * them has ended are there for a quarter of a second longer than they are of use. A call that fails after its inputs
 * are given up costs its request a new start of the chain, which is rare.
 */
void StageScheduler::giveUpFetched(TimePoint now)
{
    while (!m_fetches.empty() && m_fetches.begin()->first <= now) {
        const auto [due, task] = *m_fetches.begin();
        m_fetches.erase(m_fetches.begin());
        const auto found = m_tasks.find(task);
        if (found == m_tasks.end() || found->second.fetchedAt != due) {
            continue;
        }
        found->second.fetchedAt.reset();
        if (isWorthGivingUp(found->second)) {
            giveUpInputs(found->second);
        }
    }
}

bool StageScheduler::isWorthGivingUp(const PendingTask &pending) const
{
    const std::vector<KeptResult> &inputs = pending.task.inputs;
    return std::any_of(inputs.begin(), inputs.end(), m_shortOfRoom);
}

void StageScheduler::giveUpInputs(PendingTask &pending)
{
    if (std::exchange(pending.isFetched, true)) {
        return;
    }
    const std::vector<KeptResult> &inputs = pending.task.inputs;
    m_usedInputs.insert(m_usedInputs.end(), inputs.begin(), inputs.end());
}

std::vector<KeptResult> StageScheduler::takeUsedInputs()
{
    return std::exchange(m_usedInputs, {});
}

void StageScheduler::expire(TimePoint now, Effects &effects)
{
    m_room.expire(now);
    giveUpFetched(now);
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const StageCallNumber number = m_expiries.begin()->second;
        m_expiries.erase(m_expiries.begin());
        const Call call = std::move(m_calls.extract(number).mapped());
        effects.emplace_back(CancelStageCall{number});
        effects.emplace_back(LogLine{Severity::Warning,
                                     Part::Entry,
                                     "A stage call is given up: it takes much longer than expected.",
                                     {{"endpoint", call.endpoint.text()},
                                      {"pool", call.pool.text()},
                                      {"expected_ms", absl::StrCat(call.expected.count() / 1000)},
                                      {"items", absl::StrCat(call.items.size())}}});
        noteSpeed(call, now);
        // One that has answered nothing for so long is out of reach, or nearly so; each further call would wait as
        // long.
        m_endpoints.suspect(call.endpoint, call.started, now, effects);
        m_endpoints.ended(call.endpoint, std::nullopt, now, effects);
        giveBack(call, true, now, effects);
    }
}

std::vector<StageOutcome> StageScheduler::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

void StageScheduler::released(const std::string &handle)
{
    m_room.release(handle);
    reviewAll();
}

std::vector<PoolWait> StageScheduler::waits(const Catalog &catalog, TimePoint now)
{
    std::vector<PoolWait> out;
    for (const auto &[pool, queue] : m_queues) {
        std::set<int> ranks{0};
        for (const StageOrder &order : queue) {
            ranks.insert(std::get<int>(order));
        }
        const std::vector<PoolWait> ofPool = expectedWaits(pool, {ranks.begin(), ranks.end()}, catalog, now);
        out.insert(out.end(), ofPool.begin(), ofPool.end());
    }
    return out;
}

std::optional<PoolWait> StageScheduler::expectedWait(const PoolName &pool, int rank, const Catalog &catalog,
                                                     TimePoint now)
{
    const std::vector<PoolWait> one = expectedWaits(pool, {rank}, catalog, now);
    return one.empty() ? std::nullopt : std::optional{one.front()};
}

std::vector<PoolWait> StageScheduler::expectedWaits(const PoolName &pool, const std::vector<int> &ranks,
                                                    const Catalog &catalog, TimePoint now)
{
    const Pool *spec = catalog.pool(pool);
    const std::vector<Endpoint *> usable = m_endpoints.usable(pool, now);
    if (spec == nullptr || !spec->batch || usable.empty()) {
        return {};
    }
    const DrainRate rate = drainRate(*spec, usable, now);
    const double taken = roomTaken(*spec->batch, usable);
    const std::map<int, std::size_t> pieces = waitingByRank(pool);
    const PoolLoad &load = m_loads[pool];
    std::vector<PoolWait> out;
    for (const int rank : ranks) {
        std::size_t ahead = 0;
        for (const auto &[other, waiting] : pieces) {
            ahead += other <= rank ? waiting : 0;
        }
        // More urgent work that arrives meanwhile goes first as well.
        const double urgent =
            load.moreUrgentArrivalRate(rank, now) * std::chrono::duration<double>(rate.timePerPiece()).count();
        const Duration wait = scaled(rate.waitBehind(ahead), 1.0 / (1.0 - std::min(urgent, mostUrgentShare)));
        out.push_back({pool, rank, wait, rate.timePerPiece(), load.itemsPerCall(), taken});
    }
    return out;
}

/*! @brief Returns the pieces that wait for a call and can be on time, by rank. */
std::map<int, std::size_t> StageScheduler::waitingByRank(const PoolName &pool) const
{
    std::map<int, std::size_t> out;
    const auto queue = m_queues.find(pool);
    if (queue == m_queues.end()) {
        return out;
    }
    for (const StageOrder &order : queue->second) {
        if (std::get<bool>(order)) {
            break;
        }
        out[std::get<int>(order)] += m_tasks.at(std::get<StageTaskId>(order)).waiting.size();
    }
    return out;
}

std::vector<PoolName> StageScheduler::pools() const
{
    std::vector<PoolName> out;
    for (const auto &[pool, queue] : m_queues) {
        if (!queue.empty()) {
            out.push_back(pool);
        }
    }
    return out;
}

std::optional<TimePoint> StageScheduler::nextWakeup() const
{
    std::optional<TimePoint> first;
    const auto wake = [&first](TimePoint due) {
        first = first ? std::min(*first, due) : due;
    };
    if (!m_expiries.empty()) {
        wake(m_expiries.begin()->first);
    }
    if (!m_fetches.empty()) {
        wake(m_fetches.begin()->first);
    }
    for (const auto &[pool, review] : m_reviews) {
        if (review.patienceEnds && !m_queues.at(pool).empty()) {
            wake(*review.patienceEnds);
        }
    }
    return first;
}

std::size_t StageScheduler::reviews() const noexcept
{
    return m_reviewCount;
}

void StageScheduler::noteSpeed(const Call &call, TimePoint now)
{
    Endpoint *endpoint = m_endpoints.find(call.endpoint);
    if (endpoint == nullptr || call.expected <= Duration::zero()) {
        return;
    }
    const double ratio = static_cast<double>((now - call.started).count()) / static_cast<double>(call.expected.count());
    serving::updateSlowness(*endpoint, ratio, now);
}

} // namespace bergamottide::serving
