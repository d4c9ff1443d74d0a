#pragma once

#include "bergamottide/core/enumnames.h"
#include "bergamottide/core/time.h"
#include "bergamottide/overload/loadmeter.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

namespace bergamottide {

namespace overload {

/*! @brief What becomes of a new connection of which nothing has been read. */
enum class ConnectionDecision : std::uint8_t
{
    Serve,
    /*! @brief Ask again soon. */
    Wait,
    /*! @brief Close it unread, so that its caller knows that nothing was run and turns to another process. */
    Close
};

} // namespace overload

template <>
struct EnumNames<overload::ConnectionDecision>
{
    static constexpr std::array<std::string_view, 3> names{"served", "waiting", "closed"};
};

namespace overload {

/*! @brief A new connection of which nothing has been read. */
struct WaitingConnection
{
    Duration waited{};
    /*! @brief Connections that wait and came before it. */
    std::size_t ahead{};
};

/**
 * @brief Bounds the new connections that a process serves by what its processor and link can carry.
 *
 * A load balancer may hand most connections of a fleet to one process. What that process reads beyond its capacity
 * delays all else that it does. The rate begins at what a request has taken so far, rises while capacity is left and
 * falls while events wait. Requests on open connections are always read, and count; whatever they take, a new
 * connection is served from time to time.
 */
class ConnectionGate
{
public:
    /**
     * @brief Creates a gate that serves all connections until the meter shows load.
     * @param meter Measurements of the process; outlives the gate.
     */
    explicit ConnectionGate(const LoadMeter &meter) noexcept;

    /**
     * @brief Decides on a connection; one to be served is counted.
     * @param connection Connection.
     * @param now Current time, not before that of the last call.
     */
    [[nodiscard]] ConnectionDecision decide(const WaitingConnection &connection, TimePoint now);

    /*! @brief Counts a request that has been read, on a new or an open connection. */
    void recordRequest(TimePoint now);

private:
    void followRound(TimePoint now);
    void refill(TimePoint now);
    void adjust(TimePoint now);
    void take(double cost);
    void forgetUnused(TimePoint now);
    [[nodiscard]] bool hasRoom(TimePoint now) const;
    [[nodiscard]] bool isOverdue(TimePoint now) const;
    /*! @brief Returns the load, with the present round of the event loop. */
    [[nodiscard]] double load(TimePoint now) const;
    /*! @brief Returns how long events wait, with the present round of the event loop. */
    [[nodiscard]] Duration lateness(TimePoint now) const;

    const LoadMeter &m_meter;
    /*! @brief Capacity that new requests may take, in seconds of the scarcer of processor and link. */
    double m_budget;
    /*! @brief Capacity that a request takes, in seconds; learned while no connection is closed, since that has its
     * price too. */
    double m_cost{};
    /*! @brief Allowed rate relative to that which follows from the cost. */
    double m_throttle{1.0};
    TimePoint m_closedAt{};
    TimePoint m_servedAt{};
    /*! @brief When connections were served whose first request has not been read, within the last second. */
    std::deque<TimePoint> m_unread;
    TimePoint m_refilledAt{};
    TimePoint m_adjustedAt{};
    TimePoint m_recordedUntil{};
    /*! @brief First call since the event loop has been measured. */
    TimePoint m_roundBeganAt{};
};

} // namespace overload

} // namespace bergamottide
