#pragma once

#include "bergamottide/side/sideevents.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace bergamottide {

/*! @brief Who a side is. */
struct SideIdentity
{
    InstanceName instance;
    RegionName region;
    ZoneName zone;
    PoolName pool;
    Incarnation incarnation{};
    std::uint64_t seed{};
};

/**
 * @brief All decisions of a side: one function from events to effects.
 *
 * Knows no socket and no clock; time is passed in with every event.
 */
class SideReducer
{
public:
    /**
     * @brief Creates a side that refuses every run until it has a document.
     * @param identity Who the side is.
     */
    explicit SideReducer(SideIdentity identity);
    SideReducer(const SideReducer &) = delete;
    SideReducer &operator=(const SideReducer &) = delete;
    ~SideReducer();

    /**
     * @brief Applies one event.
     * @param event What has happened.
     * @param now Time at which it is handled, never before that of an earlier call.
     * @return What is to be done, in order.
     */
    [[nodiscard]] SideEffects apply(const SideEvent &event, TimePoint now);

    /*! @brief Returns the time at which a `Tick` is due, if any. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /*! @brief Returns the number of runs queued or at the endpoint. */
    [[nodiscard]] std::size_t inProgress() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bergamottide
