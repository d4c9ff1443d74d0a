#pragma once

#include "bergamottide/entry/entryevents.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace bergamottide {

/*! @brief Identity of an entry and the seed of its random choices. */
struct EntryIdentity
{
    InstanceName instance;
    RegionName region;
    ZoneName zone;
    Incarnation incarnation{};
    /*! @brief Seed of the random choices that placement makes. */
    std::uint64_t seed{};
};

/**
 * @brief Decision logic of an entry, the process that accepts callers' requests: maps events to effects.
 *
 * Deterministic and free of I/O: time is passed in with every event. Events may arrive
 * late, repeatedly or out of order.
 */
class EntryReducer
{
public:
    /**
     * @brief Creates an entry that refuses requests until it has a configuration document and an instance view.
     */
    explicit EntryReducer(EntryIdentity identity);
    EntryReducer(const EntryReducer &) = delete;
    EntryReducer &operator=(const EntryReducer &) = delete;
    ~EntryReducer();

    /**
     * @brief Applies one event.
     * @param event Event to apply.
     * @param now Current time; must not decrease between calls.
     * @return Effects to execute, in order.
     */
    [[nodiscard]] EntryEffects apply(const EntryEvent &event, TimePoint now);

    /*! @brief Returns the time at which a `Tick` event is due, if any. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /*! @brief Returns the number of requests, fetches and cancellations in progress. */
    [[nodiscard]] std::size_t inProgress() const noexcept;

    /*! @brief Returns whether a sidecar of each pool that pipelines use has reported that it takes runs. */
    [[nodiscard]] bool hasEndpointsForAllPipelines() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bergamottide
