#include "bergamottide/entry/recovery.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Maximum number of times that the interval between queries to a sidecar is doubled. */
constexpr std::uint32_t maxBackoffDoublings = 3;
/*! @brief Consecutive timeouts after which a repeatable run is moved; a query on a new stream has failed by then. */
constexpr std::uint32_t silentChecksBeforeMove = 2;
/*! @brief Consecutive timeouts after which a run that cannot be moved is given up, if its sidecar is disconnected. */
constexpr std::uint32_t silentChecksBeforeGivingUp = 5;

bool hasRunAt(const Request &request, const InstanceName &sidecar)
{
    const auto isThere = [&sidecar](const StageRun &run) {
        return run.sidecar == sidecar;
    };
    return std::any_of(request.runs.begin(), request.runs.end(), isThere);
}

} // namespace

Recovery::Recovery(EntryContext &context, RunTracker &runs, StageDriver &driver, HomeClient &homeClient,
                   Fetches &fetches)
    : m_context{context}
    , m_runs{runs}
    , m_driver{driver}
    , m_homeClient{homeClient}
    , m_fetches{fetches}
{
}

std::vector<RequestId> Recovery::requestsAt(const InstanceName &sidecar)
{
    std::vector<RequestId> found;
    for (const RequestId &id : m_context.requests.ids()) {
        const Request &request = *m_context.requests.find(id);
        if (hasRunAt(request, sidecar) || (request.home && request.home->sidecar == sidecar)) {
            found.push_back(id);
        }
    }
    return found;
}

void Recovery::checkProgress(const Timer &timer)
{
    Request *request = m_context.requests.find(timer.request);
    if (!request) {
        return;
    }
    const RunId id{timer.request, timer.stage, static_cast<std::uint32_t>(timer.number)};
    const auto isRun = [&id](const StageRun &run) {
        return run.id == id;
    };
    const auto found = std::find_if(request->runs.begin(), request->runs.end(), isRun);
    if (found == request->runs.end()) {
        return;
    }
    StageRun &run = *found;
    const Duration timeout = m_context.policy().progressTimeout;
    const TimePoint silentAt = run.lastMessageAt + timeout;
    const bool silent = m_context.now >= silentAt;
    m_context.timers.set(
        {silent ? m_context.now + timeout : silentAt, TimerKind::Progress, id.request, id.stage, timer.number});
    if (!silent) {
        return;
    }
    ++run.progressTimeouts;
    const InstanceName sidecar = run.sidecar;
    if (run.progressTimeouts >= silentChecksBeforeMove) {
        m_context.ejector.recordFailure(run.endpoint);
        if (m_driver.moveElsewhere(*request, run)) {
            return;
        }
    }
    if (run.progressTimeouts >= silentChecksBeforeGivingUp && !m_context.peers.connected(sidecar)) {
        m_driver.runLost(*request, run, Reason::ConnectionLost, m_context.policy().ejectionTime);
        return;
    }
    reconcile(sidecar);
}

void Recovery::messageReceived(const InstanceName &from)
{
    PeerState &peer = m_context.peers.at(from);
    peer.lastMessageAt = m_context.now;
    peer.unansweredQueries = 0;
    peer.nextQueryAt = {};
    if (peer.confirmedSuspension == m_suspensionCount) {
        m_context.table.setSilent(from, false);
    }
}

void Recovery::reconcile(const InstanceName &sidecar)
{
    PeerState &peer = m_context.peers.at(sidecar);
    if (m_context.now < peer.nextQueryAt) {
        return;
    }
    const Duration timeout = m_context.policy().progressTimeout;
    peer.nextQueryAt = m_context.now + timeout * (1U << std::min(peer.unansweredQueries, maxBackoffDoublings));
    ++peer.unansweredQueries;
    m_context.observe(Metric::ReconciliationsTotal, {});
    m_context.log(Severity::Warning, "No progress from sidecar; querying the state of its runs.",
                  {{"side", sidecar.text()}});
    if (m_context.now - peer.lastMessageAt >= timeout) {
        // Nothing was received on the stream at all: the connection may be dead without either end noticing.
        m_context.table.setSilent(sidecar, true);
        peer.reopening = true;
        m_context.effects.emplace_back(ReopenStream{sidecar});
    }
    queryRuns(sidecar);
}

void Recovery::queryRuns(const InstanceName &sidecar)
{
    QueryRuns query;
    for (const RequestId &id : requestsAt(sidecar)) {
        Request &request = *m_context.requests.find(id);
        if (request.home && request.home->sidecar == sidecar) {
            m_homeClient.handleReconnect(request);
        }
        for (const StageRun &run : request.runs) {
            if (run.sidecar == sidecar && run.serial == noSerial) {
                query.items.push_back({run.id, run.result.contiguousBytes()});
            }
        }
    }
    if (!query.items.empty()) {
        m_context.send(sidecar, std::move(query));
    }
}

void Recovery::handleRunStates(const InstanceName &from, const RunStates &message)
{
    for (const RunStates::Item &item : message.items) {
        StageRun *run = m_runs.findRun(from, item.run);
        if (!run || run->serial != noSerial) {
            continue;
        }
        run->lastMessageAt = m_context.now;
        run->progressTimeouts = 0;
        if (item.state != RunState::Absent) {
            continue;
        }
        // Fences the run: a start message that is delayed in the network must not start it later.
        m_context.send(from, CancelRun{item.run, noSerial});
        m_driver.runLost(*m_context.requests.find(item.run.request), *run, Reason::ConnectionLost,
                         m_context.policy().progressTimeout);
    }
}

void Recovery::handlePeerUp(const InstanceName &name)
{
    PeerState &peer = m_context.peers.at(name);
    peer.connected = true;
    peer.reopening = false;
    ++peer.streamEpoch;
    m_context.table.setConnected(name, true);
    const std::uint64_t version = m_context.index ? m_context.index->document().version : 0;
    m_context.send(name, Hello{m_context.identity.instance, m_context.identity.incarnation, version});
    confirm(name);
    messageReceived(name);
    queryRuns(name);
    m_fetches.handleReconnect(name);
}

void Recovery::handlePeerDown(const InstanceName &name)
{
    PeerState &peer = m_context.peers.at(name);
    peer.connected = false;
    ++peer.streamEpoch;
    m_context.table.setConnected(name, false);
    if (std::exchange(peer.reopening, false)) {
        return;
    }
    for (const RequestId &id : requestsAt(name)) {
        Request &request = *m_context.requests.find(id);
        if (request.home && request.home->sidecar == name && request.home->serial == noSerial && !request.keyed) {
            m_homeClient.handleTimeout(request, request.home->timer);
            continue;
        }
        const auto isThere = [&name](const StageRun &run) {
            return run.sidecar == name;
        };
        const auto run = std::find_if(request.runs.begin(), request.runs.end(), isThere);
        if (run != request.runs.end()) {
            // A run that cannot be moved waits for its sidecar to reconnect.
            static_cast<void>(m_driver.moveElsewhere(request, *run));
        }
    }
}

void Recovery::handleResumed()
{
    ++m_suspensionCount;
    m_context.paused = true;
    m_context.log(Severity::Warning, "Process was suspended; no run is started until a sidecar answers.", {});
    for (auto &[name, peer] : m_context.peers.all()) {
        if (peer.connected) {
            m_context.table.setSilent(name, true);
            m_context.send(name, Ping{m_suspensionCount});
            peer.nextQueryAt = m_context.now + m_context.policy().progressTimeout;
        }
    }
}

void Recovery::handlePong(const InstanceName &from, const Pong &message)
{
    if (message.sequence == m_suspensionCount) {
        confirm(from);
    }
}

void Recovery::confirm(const InstanceName &sidecar)
{
    m_context.peers.at(sidecar).confirmedSuspension = m_suspensionCount;
    m_context.table.setSilent(sidecar, false);
    if (!std::exchange(m_context.paused, false)) {
        return;
    }
    m_context.log(Severity::Info, "Sidecar answered after the suspension; runs are started again.",
                  {{"side", sidecar.text()}});
    m_driver.startDeferred();
}

void Recovery::reopenUnconfirmedStreams()
{
    for (auto &[name, peer] : m_context.peers.all()) {
        if (!peer.connected || peer.confirmedSuspension == m_suspensionCount || m_context.now < peer.nextQueryAt) {
            continue;
        }
        peer.nextQueryAt = m_context.now
            + m_context.policy().progressTimeout * (1U << std::min(peer.unansweredQueries, maxBackoffDoublings));
        ++peer.unansweredQueries;
        peer.reopening = true;
        m_context.effects.emplace_back(ReopenStream{name});
    }
}

} // namespace bergamottide
