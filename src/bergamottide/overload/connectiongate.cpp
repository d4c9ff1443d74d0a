#include "bergamottide/overload/connectiongate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bergamottide::overload {

namespace {

/*! @brief Part of the capacity that new requests may take. */
constexpr double targetLoad = 0.85;
/*! @brief Load above which the rate falls. */
constexpr double fullLoad = 0.95;
/*! @brief Load below which connections are served whatever a request seems to cost. */
constexpr double lowLoad = 0.5;
/*! @brief Largest budget, and largest debt, in seconds. */
constexpr double maxBudget = 0.25;
/*! @brief Bounds the learned cost: connections a second that it allows before the rate falls. */
constexpr double minRate = 4.0;
/*! @brief Mean lateness of timers above which the rate falls. */
constexpr Duration maxLateness = std::chrono::milliseconds{100};
constexpr Duration adjustmentPeriod = std::chrono::milliseconds{100};
constexpr double decrease = 0.8;
constexpr double maxIncrease = 1.5;
/*! @brief Bounds the division by the load. */
constexpr double minLoad = 0.01;
constexpr double minThrottle = 0.1;
constexpr double maxThrottle = 10.0;
/*! @brief Time after which the measurements hold no closed connection. */
constexpr Duration learningDelay = std::chrono::seconds{1};
/*! @brief Time after which a connection is served whatever open connections take. */
constexpr Duration maxPause = std::chrono::seconds{1};
/*! @brief Time in which a served connection is expected to bring its first request. */
constexpr Duration firstRequestTime = std::chrono::seconds{1};
/*! @brief Longest wait of a connection; well below the patience of callers with short deadlines. */
constexpr Duration maxWait = std::chrono::milliseconds{150};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ConnectionGate::ConnectionGate(const LoadMeter &meter) noexcept
    : m_meter{meter}
    , m_budget{maxBudget}
{
}

ConnectionDecision ConnectionGate::decide(const WaitingConnection &connection, TimePoint now)
{
    refill(now);
    if (connection.ahead == 0 && (hasRoom(now) || isOverdue(now))) {
        take(m_cost);
        m_servedAt = now;
        forgetUnused(now);
        m_unread.push_back(now);
        return ConnectionDecision::Serve;
    }
    const double missing = m_cost * static_cast<double>(connection.ahead + 1) - m_budget;
    const double expectedWait = missing / (targetLoad * m_throttle);
    if (seconds(connection.waited) + expectedWait <= seconds(maxWait)) {
        return ConnectionDecision::Wait;
    }
    m_closedAt = now;
    return ConnectionDecision::Close;
}

void ConnectionGate::recordRequest(TimePoint now)
{
    refill(now);
    forgetUnused(now);
    if (!m_unread.empty()) {
        m_unread.pop_front();
        return;
    }
    take(m_cost);
}

/*! @brief What a connection has paid is spent if it brings no request soon, so that it pays for no other connection's.
 */
void ConnectionGate::forgetUnused(TimePoint now)
{
    while (!m_unread.empty() && now - m_unread.front() > firstRequestTime) {
        m_unread.pop_front();
    }
}

/*! @brief Notes when a round of the event loop began; nothing is recorded of it before its end. */
void ConnectionGate::followRound(TimePoint now)
{
    if (m_roundBeganAt == TimePoint{} || m_recordedUntil != m_meter.recordedUntil()) {
        m_recordedUntil = m_meter.recordedUntil();
        m_roundBeganAt = now;
    }
}

void ConnectionGate::refill(TimePoint now)
{
    followRound(now);
    const double elapsed = m_refilledAt == TimePoint{} ? 0.0 : seconds(now - m_refilledAt);
    m_refilledAt = now;
    m_budget = std::min(maxBudget, m_budget + elapsed * targetLoad * m_throttle);
    if (now - m_adjustedAt >= adjustmentPeriod) {
        m_adjustedAt = now;
        adjust(now);
    }
}

void ConnectionGate::adjust(TimePoint now)
{
    const double used = load(now);
    if (lateness(now) > maxLateness || used > fullLoad) {
        m_throttle = std::max(minThrottle, m_throttle * decrease);
    } else if (used < targetLoad) {
        const double room = std::sqrt(targetLoad / std::max(used, minLoad));
        m_throttle = std::min(maxThrottle, m_throttle * std::min(room, maxIncrease));
    }
    if (now - m_closedAt < learningDelay) {
        return;
    }
    m_cost = std::min(m_meter.secondsPerRequest(now, now - m_roundBeganAt), targetLoad / minRate);
    m_throttle = std::min(m_throttle, 1.0);
}

void ConnectionGate::take(double cost)
{
    m_budget = std::max(m_budget - cost, -maxBudget);
}

bool ConnectionGate::hasRoom(TimePoint now) const
{
    if (m_budget >= m_cost) {
        return true;
    }
    return m_budget > -maxBudget && load(now) < lowLoad && lateness(now) <= maxLateness;
}

double ConnectionGate::load(TimePoint now) const
{
    return m_meter.recent(now, now - m_roundBeganAt).highest();
}

Duration ConnectionGate::lateness(TimePoint now) const
{
    return std::max(m_meter.recentLateness(now), now - m_roundBeganAt);
}

bool ConnectionGate::isOverdue(TimePoint now) const
{
    return now - m_servedAt >= maxPause;
}

} // namespace bergamottide::overload
