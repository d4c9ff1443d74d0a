#include "bergamottide/entry/recovery.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Doublings of the time between two questions to a side at most. */
constexpr std::uint32_t maxDoublings = 3;
/*! @brief Silent checks after which a repeatable run is moved: the question on a new stream was not answered either. */
constexpr std::uint32_t checksBeforeMove = 2;
/*! @brief Silent checks after which a run that cannot be moved is given up if its side has no stream. */
constexpr std::uint32_t checksBeforeGivingUp = 5;

bool runsAt(const Request &request, const InstanceName &side)
{
    const auto isThere = [&side](const Run &run) {
        return run.side == side;
    };
    return std::any_of(request.runs.begin(), request.runs.end(), isThere);
}

} // namespace

Recovery::Recovery(EntryContext &context, RunTracker &runs, StageDriver &driver, Homes &homes, Fetches &fetches)
    : m_context{context}
    , m_runs{runs}
    , m_driver{driver}
    , m_homes{homes}
    , m_fetches{fetches}
{
}

std::vector<RequestId> Recovery::requestsAt(const InstanceName &side)
{
    std::vector<RequestId> found;
    for (const RequestId &id : m_context.requests.ids()) {
        const Request &request = *m_context.requests.find(id);
        if (runsAt(request, side) || (request.home && request.home->side == side)) {
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
    const auto isRun = [&id](const Run &run) {
        return run.id == id;
    };
    const auto found = std::find_if(request->runs.begin(), request->runs.end(), isRun);
    if (found == request->runs.end()) {
        return;
    }
    Run &run = *found;
    const Duration timeout = m_context.policy().progressTimeout;
    const TimePoint silentAt = run.heard + timeout;
    const bool silent = m_context.now >= silentAt;
    m_context.timers.set(
        {silent ? m_context.now + timeout : silentAt, TimerKind::Progress, id.request, id.stage, timer.number});
    if (!silent) {
        return;
    }
    ++run.asked;
    const InstanceName side = run.side;
    if (run.asked >= checksBeforeMove) {
        m_context.ejector.failed(run.number);
        if (m_driver.moveElsewhere(*request, run)) {
            return;
        }
    }
    if (run.asked >= checksBeforeGivingUp && !m_context.peers.connected(side)) {
        m_driver.runLost(*request, run, Reason::ConnectionLost, m_context.policy().ejectionTime);
        return;
    }
    reconcile(side);
}

void Recovery::heard(const InstanceName &from)
{
    Peer &peer = m_context.peers.at(from);
    peer.heard = m_context.now;
    peer.asked = 0;
    peer.nextQuestion = {};
    if (peer.confirmedWake == m_wake) {
        m_context.table.setSilent(from, false);
    }
}

void Recovery::reconcile(const InstanceName &side)
{
    Peer &peer = m_context.peers.at(side);
    if (m_context.now < peer.nextQuestion) {
        return;
    }
    const Duration timeout = m_context.policy().progressTimeout;
    peer.nextQuestion = m_context.now + timeout * (1U << std::min(peer.asked, maxDoublings));
    ++peer.asked;
    m_context.observe(Metric::ReconciliationsTotal, {});
    m_context.log(Severity::Warning, "Side has gone silent; asking for its runs.", {{"side", side.text()}});
    if (m_context.now - peer.heard >= timeout) {
        // Nothing at all came over the stream: something between the two ends may have lost track of it.
        m_context.table.setSilent(side, true);
        peer.reopening = true;
        m_context.effects.emplace_back(ReopenStream{side});
    }
    askAbout(side);
}

void Recovery::askAbout(const InstanceName &side)
{
    QueryRuns query;
    for (const RequestId &id : requestsAt(side)) {
        Request &request = *m_context.requests.find(id);
        if (request.home && request.home->side == side) {
            m_homes.reconnected(request);
        }
        for (const Run &run : request.runs) {
            if (run.side == side && run.serial == noSerial) {
                query.items.push_back({run.id, run.result.contiguous()});
            }
        }
    }
    if (!query.items.empty()) {
        m_context.send(side, std::move(query));
    }
}

void Recovery::states(const InstanceName &from, const RunStates &message)
{
    for (const RunStates::Item &item : message.items) {
        Run *run = m_runs.findRun(from, item.run);
        if (!run || run->serial != noSerial) {
            continue;
        }
        run->heard = m_context.now;
        run->asked = 0;
        if (item.state != RunState::Absent) {
            continue;
        }
        // Fences a start that is still on its way, so that the stage does not run here as well.
        m_context.send(from, CancelRun{item.run, noSerial});
        m_driver.runLost(*m_context.requests.find(item.run.request), *run, Reason::ConnectionLost,
                         m_context.policy().progressTimeout);
    }
}

void Recovery::peerUp(const InstanceName &name)
{
    Peer &peer = m_context.peers.at(name);
    peer.connected = true;
    peer.reopening = false;
    ++peer.epoch;
    m_context.table.setConnected(name, true);
    const std::uint64_t version = m_context.index ? m_context.index->document().version : 0;
    m_context.send(name, Hello{m_context.identity.instance, m_context.identity.incarnation, version});
    confirm(name);
    heard(name);
    askAbout(name);
    m_fetches.reconnected(name);
}

void Recovery::peerDown(const InstanceName &name)
{
    Peer &peer = m_context.peers.at(name);
    peer.connected = false;
    ++peer.epoch;
    m_context.table.setConnected(name, false);
    if (std::exchange(peer.reopening, false)) {
        return;
    }
    for (const RequestId &id : requestsAt(name)) {
        Request &request = *m_context.requests.find(id);
        if (request.home && request.home->side == name && request.home->serial == noSerial && !request.keyed) {
            m_homes.timedOut(request, request.home->timer);
            continue;
        }
        const auto isThere = [&name](const Run &run) {
            return run.side == name;
        };
        const auto run = std::find_if(request.runs.begin(), request.runs.end(), isThere);
        if (run != request.runs.end()) {
            // A run that cannot be moved waits for its side to come back.
            static_cast<void>(m_driver.moveElsewhere(request, *run));
        }
    }
}

void Recovery::wokenUp()
{
    ++m_wake;
    m_context.paused = true;
    m_context.log(Severity::Warning, "The process was paused; it starts nothing until a side has answered.", {});
    for (auto &[name, peer] : m_context.peers.all()) {
        if (peer.connected) {
            m_context.table.setSilent(name, true);
            m_context.send(name, Ping{m_wake});
            peer.nextQuestion = m_context.now + m_context.policy().progressTimeout;
        }
    }
}

void Recovery::pong(const InstanceName &from, const Pong &message)
{
    if (message.sequence == m_wake) {
        confirm(from);
    }
}

void Recovery::confirm(const InstanceName &side)
{
    m_context.peers.at(side).confirmedWake = m_wake;
    m_context.table.setSilent(side, false);
    if (!std::exchange(m_context.paused, false)) {
        return;
    }
    m_context.log(Severity::Info, "A side has answered; work starts again.", {{"side", side.text()}});
    m_driver.releaseHeld();
}

void Recovery::review()
{
    for (auto &[name, peer] : m_context.peers.all()) {
        if (!peer.connected || peer.confirmedWake == m_wake || m_context.now < peer.nextQuestion) {
            continue;
        }
        peer.nextQuestion =
            m_context.now + m_context.policy().progressTimeout * (1U << std::min(peer.asked, maxDoublings));
        ++peer.asked;
        peer.reopening = true;
        m_context.effects.emplace_back(ReopenStream{name});
    }
}

} // namespace bergamottide
