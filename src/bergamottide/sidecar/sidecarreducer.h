#pragma once

#include "bergamottide/sidecar/sidecarevents.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace bergamottide {

/*! @brief Identity of a sidecar process. */
struct SidecarIdentity
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
class SidecarReducer
{
public:
    /**
     * @brief Creates a sidecar that refuses every run until it has received a document.
     * @param identity Identity of the sidecar.
     */
    explicit SidecarReducer(SidecarIdentity identity);
    SidecarReducer(const SidecarReducer &) = delete;
    SidecarReducer &operator=(const SidecarReducer &) = delete;
    ~SidecarReducer();

    /**
     * @brief Applies one event.
     * @param event Event.
     * @param now Current time; never earlier than in a previous call.
     * @return Effects in order of execution.
     */
    [[nodiscard]] SidecarEffects apply(const SidecarEvent &event, TimePoint now);

    /*! @brief Returns the time of the next `Tick`; absent before the first event. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /*! @brief Returns the number of runs that are queued or at the endpoint. */
    [[nodiscard]] std::size_t inProgress() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bergamottide
