#pragma once

#include "bergamottide/side/sideevents.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace bergamottide {

/*! @brief Identity of a sidecar process. */
struct SideIdentity
{
    InstanceName instance;
    RegionName region;
    ZoneName zone;
    PoolName pool;
    Incarnation incarnation{};
    /*! @brief Seed of the jitter of engine orders. */
    std::uint64_t seed{};
};

/**
 * @brief State machine of a sidecar: maps each event to effects.
 *
 * It performs no I/O and reads no clock; the time is passed in with every event.
 */
class SideReducer
{
public:
    /**
     * @brief Creates a sidecar that refuses every run until it has received a document.
     * @param identity Identity of the sidecar.
     */
    explicit SideReducer(SideIdentity identity);
    SideReducer(const SideReducer &) = delete;
    SideReducer &operator=(const SideReducer &) = delete;
    ~SideReducer();

    /**
     * @brief Applies one event.
     * @param event Event.
     * @param now Current time; never earlier than in a previous call.
     * @return Effects in order of execution.
     */
    [[nodiscard]] SideEffects apply(const SideEvent &event, TimePoint now);

    /*! @brief Returns the time of the next `Tick`; absent before the first event. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /*! @brief Returns the number of runs that are queued or at the endpoint. */
    [[nodiscard]] std::size_t inProgress() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bergamottide
