#include "bergamottide/side/rundelivery.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Bytes in one message at most; a message stays well below the size that streams between processes allow. */
constexpr std::size_t maxPiece = 256U << 10U;
/*! @brief Bytes of bodies and results held at most: half of a daemon's 128 MB, the rest is the process itself. */
constexpr std::size_t maxHeldBytes = 64U << 20U;
/*! @brief Bytes beyond which nothing is opened: a request refused now has cost nothing, one refused later has. */
constexpr std::size_t crowdedBytes = maxHeldBytes / 4 * 3;
/*! @brief Longest backoff between two repetitions of an end, in sign-of-life periods. */
constexpr int maxBackoffPeriods = 8;

std::size_t bytesOf(const Run &run)
{
    return run.order.body.size() + run.order.previous.size() + run.result.size();
}

void release(std::string &text)
{
    std::string{}.swap(text);
}

} // namespace

RunDelivery::RunDelivery(SideContext &context, RunTable &runs)
    : m_context{context}
    , m_runs{runs}
{
}

void RunDelivery::follow(Run &run, const InstanceName &peer, std::uint64_t offset)
{
    const auto found = std::find_if(run.followers.begin(), run.followers.end(),
                                    [&peer](const RunFollower &follower) { return follower.peer == peer; });
    if (found == run.followers.end()) {
        run.followers.push_back({peer});
    } else {
        found->acknowledged = false;
    }
    run.abandonedAt.reset();
    sendFrom(run, peer, offset);
    if (run.inProgress()) {
        sendSign(run, peer);
        return;
    }
    sendEnd(run, peer);
    run.backoff = signPeriod();
    m_runs.schedule(run, std::min(m_context.now + run.backoff, run.ended + m_context.policy.resultRetention));
}

void RunDelivery::append(Run &run, const std::string &piece, std::uint32_t tokens)
{
    const std::uint64_t offset = run.result.size();
    run.result += piece;
    run.tokens += tokens;
    m_heldBytes += piece.size();
    for (const RunFollower &follower : run.followers) {
        if (!m_context.peers.connected(follower.peer)) {
            continue;
        }
        m_context.out.send(follower.peer, RunProgress{run.order.run, run.state, offset, piece, tokens});
    }
    m_runs.schedule(run, m_context.now + signPeriod());
}

void RunDelivery::finish(Run &run, const RunEnd &end)
{
    run.state = end.state;
    run.reason = end.reason;
    run.retryAfter = end.retryAfter;
    run.ended = m_context.now;
    run.digest = XXH3_64bits(run.result.data(), run.result.size());
    m_heldBytes -= run.order.body.size() + run.order.previous.size();
    release(run.order.body);
    release(run.order.previous);
    for (const RunFollower &follower : run.followers) {
        sendEnd(run, follower.peer);
    }
    run.backoff = signPeriod();
    m_runs.schedule(run, m_context.now + run.backoff);
}

void RunDelivery::acknowledge(const RunId &id, const InstanceName &peer)
{
    Run *run = m_runs.find(id);
    if (run == nullptr || run->inProgress()) {
        return;
    }
    for (RunFollower &follower : run->followers) {
        follower.acknowledged = follower.acknowledged || follower.peer == peer;
    }
    if (!run->acknowledged()) {
        return;
    }
    if (run->once()) {
        // Kept for a caller whose entry dies after this, and for the repeated start of a driver that took over.
        m_runs.schedule(*run, run->ended + m_context.policy.resultRetention);
        return;
    }
    forget(id);
}

void RunDelivery::signOfLife(Run &run)
{
    for (const RunFollower &follower : run.followers) {
        if (!m_context.peers.connected(follower.peer)) {
            continue;
        }
        sendSign(run, follower.peer);
    }
    m_runs.schedule(run, m_context.now + signPeriod());
}

void RunDelivery::repeatOrExpire(Run &run)
{
    const TimePoint expiry = run.ended + m_context.policy.resultRetention;
    if (m_context.now >= expiry) {
        forget(run.order.run);
        return;
    }
    for (const RunFollower &follower : run.followers) {
        if (follower.acknowledged || !m_context.peers.connected(follower.peer)) {
            continue;
        }
        sendEnd(run, follower.peer);
    }
    run.backoff = std::min(run.backoff * 2, signPeriod() * maxBackoffPeriods);
    m_runs.schedule(run, run.acknowledged() ? expiry : std::min(m_context.now + run.backoff, expiry));
}

void RunDelivery::sendEnd(const Run &run, const InstanceName &peer)
{
    RunFinished finished;
    finished.run = run.order.run;
    finished.state = run.state;
    finished.reason = run.reason;
    finished.length = run.result.size();
    finished.digest = run.digest;
    const TimePoint started = run.started.value_or(run.ended);
    finished.service = run.ended - started;
    finished.waited = started - run.arrived;
    finished.tokens = run.tokens;
    finished.retryAfter = run.retryAfter;
    m_context.out.send(peer, finished);
}

TimePoint RunDelivery::keptUntil() const
{
    return m_context.now + m_context.policy.resultRetention;
}

std::size_t RunDelivery::heldBytes() const noexcept
{
    return m_heldBytes;
}

bool RunDelivery::crowded() const noexcept
{
    return m_heldBytes > crowdedBytes;
}

bool RunDelivery::full() const noexcept
{
    return m_heldBytes > maxHeldBytes;
}

void RunDelivery::hold(const Run &run)
{
    m_heldBytes += bytesOf(run);
}

void RunDelivery::forget(const RunId &id)
{
    const Run *run = m_runs.find(id);
    if (run == nullptr) {
        return;
    }
    m_heldBytes -= bytesOf(*run);
    m_runs.erase(id);
}

void RunDelivery::sendFrom(const Run &run, const InstanceName &peer, std::uint64_t offset)
{
    for (std::size_t position = offset; position < run.result.size(); position += maxPiece) {
        m_context.out.send(peer,
                           RunProgress{run.order.run, run.state, position, run.result.substr(position, maxPiece)});
    }
}

void RunDelivery::sendSign(const Run &run, const InstanceName &peer)
{
    m_context.out.send(peer, RunProgress{run.order.run, run.state, run.result.size()});
}

Duration RunDelivery::signPeriod() const
{
    return std::max(m_context.policy.progressTimeout / 2, Duration{1});
}

} // namespace bergamottide
