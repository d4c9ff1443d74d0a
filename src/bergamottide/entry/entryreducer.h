#pragma once

#include "bergamottide/entry/entryevents.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace bergamottide {

/*! @brief Who an entry is and how it behaves where that varies. */
struct EntryIdentity
{
    InstanceName instance;
    RegionName region;
    ZoneName zone;
    Incarnation incarnation{};
    /*! @brief Seed of the random choices of placement. */
    std::uint64_t seed{};
};

/**
 * @brief All decisions of an entry: one function from events to effects.
 *
 * Knows no socket and no clock; time is passed in with every event. Events that arrive
 * late, twice or out of order are expected.
 */
class EntryReducer
{
public:
    /**
     * @brief Creates an entry that refuses every request until it has a document and a view.
     * @param identity Who the entry is.
     */
    explicit EntryReducer(EntryIdentity identity);
    EntryReducer(const EntryReducer &) = delete;
    EntryReducer &operator=(const EntryReducer &) = delete;
    ~EntryReducer();

    /**
     * @brief Applies one event.
     * @param event What has happened.
     * @param now Time at which it is handled, never before that of an earlier call.
     * @return What is to be done, in order.
     */
    [[nodiscard]] EntryEffects apply(const EntryEvent &event, TimePoint now);

    /*! @brief Returns the time at which a `Tick` is due, if any. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

    /*! @brief Returns the number of requests in progress. */
    [[nodiscard]] std::size_t inProgress() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bergamottide
