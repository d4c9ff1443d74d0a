#include "bergamottide/sidecar/resultdelivery.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Largest piece of a result in one message; keeps messages below the size limit of peer streams. */
constexpr std::size_t maxPieceBytes = 256U << 10U;
/*! @brief Bytes of stored bodies and results above which no run is queued; half of the memory limit of a daemon. */
constexpr std::size_t maxHeldBytes = 64U << 20U;
/*! @brief Bytes of stored bodies and results above which no request is opened. */
constexpr std::size_t lowMemoryBytes = maxHeldBytes / 4 * 3;
/*! @brief Longest interval between two resends of `RunFinished`, in keep-alive periods. */
constexpr int maxBackoffPeriods = 8;

std::size_t sizeInBytes(const RunRecord &run)
{
    return run.spec.body.size() + run.spec.previousResult.size() + run.result.size();
}

void freeMemory(std::string &text)
{
    std::string{}.swap(text);
}

} // namespace

ResultDelivery::ResultDelivery(SidecarContext &context, RunTable &runs)
    : m_context{context}
    , m_runs{runs}
{
}

void ResultDelivery::subscribe(RunRecord &run, const InstanceName &peer, std::uint64_t offset)
{
    const auto found = std::find_if(run.subscribers.begin(), run.subscribers.end(),
                                    [&peer](const RunSubscriber &subscriber) { return subscriber.peer == peer; });
    if (found == run.subscribers.end()) {
        run.subscribers.push_back({peer});
    } else {
        found->acknowledged = false;
    }
    run.abandonedAt.reset();
    sendResultFrom(run, peer, offset);
    if (run.isInProgress()) {
        sendKeepAlive(run, peer);
        return;
    }
    sendEnd(run, peer);
    run.backoff = keepAlivePeriod();
    m_runs.schedule(run, std::min(m_context.now + run.backoff, run.ended + m_context.policy.resultRetention));
}

void ResultDelivery::append(RunRecord &run, const std::string &piece, std::uint32_t tokens)
{
    const std::uint64_t offset = run.result.size();
    run.result += piece;
    run.tokens += tokens;
    m_heldBytes += piece.size();
    for (const RunSubscriber &subscriber : run.subscribers) {
        if (!m_context.peers.isConnected(subscriber.peer)) {
            continue;
        }
        m_context.effects.send(subscriber.peer, RunProgress{run.spec.run, run.state, offset, piece, tokens});
    }
    m_runs.schedule(run, m_context.now + keepAlivePeriod());
}

void ResultDelivery::finish(RunRecord &run, const RunOutcome &outcome)
{
    run.state = outcome.state;
    run.reason = outcome.reason;
    run.retryAfter = outcome.retryAfter;
    run.ended = m_context.now;
    run.digest = XXH3_64bits(run.result.data(), run.result.size());
    m_heldBytes -= run.spec.body.size() + run.spec.previousResult.size();
    freeMemory(run.spec.body);
    freeMemory(run.spec.previousResult);
    for (const RunSubscriber &subscriber : run.subscribers) {
        sendEnd(run, subscriber.peer);
    }
    run.backoff = keepAlivePeriod();
    m_runs.schedule(run, m_context.now + run.backoff);
}

void ResultDelivery::acknowledge(const RunId &id, const InstanceName &peer)
{
    RunRecord *run = m_runs.find(id);
    if (run == nullptr || run->isInProgress()) {
        return;
    }
    for (RunSubscriber &subscriber : run->subscribers) {
        subscriber.acknowledged = subscriber.acknowledged || subscriber.peer == peer;
    }
    if (!run->isAcknowledged()) {
        return;
    }
    if (run->isAtMostOnce()) {
        // Retained for callers that reconnect through another entry, and for a repeated start by another driver.
        m_runs.schedule(*run, run->ended + m_context.policy.resultRetention);
        return;
    }
    forget(id);
}

void ResultDelivery::sendKeepAlives(RunRecord &run)
{
    for (const RunSubscriber &subscriber : run.subscribers) {
        if (!m_context.peers.isConnected(subscriber.peer)) {
            continue;
        }
        sendKeepAlive(run, subscriber.peer);
    }
    m_runs.schedule(run, m_context.now + keepAlivePeriod());
}

void ResultDelivery::repeatOrExpire(RunRecord &run)
{
    const TimePoint expiry = run.ended + m_context.policy.resultRetention;
    if (m_context.now >= expiry) {
        forget(run.spec.run);
        return;
    }
    for (const RunSubscriber &subscriber : run.subscribers) {
        if (subscriber.acknowledged || !m_context.peers.isConnected(subscriber.peer)) {
            continue;
        }
        sendEnd(run, subscriber.peer);
    }
    run.backoff = std::min(run.backoff * 2, keepAlivePeriod() * maxBackoffPeriods);
    m_runs.schedule(run, run.isAcknowledged() ? expiry : std::min(m_context.now + run.backoff, expiry));
}

void ResultDelivery::sendEnd(const RunRecord &run, const InstanceName &peer)
{
    RunFinished finished;
    finished.run = run.spec.run;
    finished.state = run.state;
    finished.reason = run.reason;
    finished.length = run.result.size();
    finished.digest = run.digest;
    const TimePoint started = run.started.value_or(run.ended);
    finished.serviceTime = run.ended - started;
    finished.queueTime = started - run.arrived;
    finished.tokens = run.tokens;
    finished.retryAfter = run.retryAfter;
    m_context.effects.send(peer, finished);
}

TimePoint ResultDelivery::retentionEnd() const
{
    return m_context.now + m_context.policy.resultRetention;
}

std::size_t ResultDelivery::heldBytes() const noexcept
{
    return m_heldBytes;
}

bool ResultDelivery::isMemoryLow() const noexcept
{
    return m_heldBytes > lowMemoryBytes;
}

bool ResultDelivery::isMemoryFull() const noexcept
{
    return m_heldBytes > maxHeldBytes;
}

void ResultDelivery::addHeldBytes(const RunRecord &run)
{
    m_heldBytes += sizeInBytes(run);
}

void ResultDelivery::forget(const RunId &id)
{
    const RunRecord *run = m_runs.find(id);
    if (run == nullptr) {
        return;
    }
    m_heldBytes -= sizeInBytes(*run);
    m_runs.erase(id);
}

void ResultDelivery::sendResultFrom(const RunRecord &run, const InstanceName &peer, std::uint64_t offset)
{
    for (std::size_t position = offset; position < run.result.size(); position += maxPieceBytes) {
        m_context.effects.send(
            peer, RunProgress{run.spec.run, run.state, position, run.result.substr(position, maxPieceBytes)});
    }
}

void ResultDelivery::sendKeepAlive(const RunRecord &run, const InstanceName &peer)
{
    m_context.effects.send(peer, RunProgress{run.spec.run, run.state, run.result.size()});
}

Duration ResultDelivery::keepAlivePeriod() const
{
    return std::max(m_context.policy.progressTimeout / 2, Duration{1});
}

} // namespace bergamottide
