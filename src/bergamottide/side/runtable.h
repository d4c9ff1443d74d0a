#pragma once

#include "bergamottide/side/sideevents.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief A process that follows a run and gets its result. */
struct RunFollower
{
    InstanceName peer;
    /*! @brief It has confirmed that the result arrived whole. */
    bool acknowledged{};
};

/*! @brief One run at a side, from its arrival until its result is fetched or has expired. */
struct Run
{
    StartRun order;
    RunState state{RunState::Queued};
    Reason reason{};
    Duration retryAfter{};
    TimePoint arrived;
    TimePoint deadline;
    /*! @brief Time at which it was handed to the endpoint, if it was. */
    std::optional<TimePoint> started;
    TimePoint ended;
    /*! @brief Result as far as it has come. */
    std::string result;
    std::uint32_t tokens{};
    /*! @brief Digest of the result, once the run has ended. */
    std::uint64_t digest{};
    std::vector<RunFollower> followers;
    /*! @brief Since when no follower has been connected, if so. */
    std::optional<TimePoint> abandonedAt;
    /*! @brief Time of the next sign of life, repetition or removal. */
    TimePoint due;
    /*! @brief Time between the last two repetitions of the end. */
    Duration backoff{};

    /*! @brief Tells if the run must not be repeated. */
    [[nodiscard]] bool once() const noexcept
    {
        return order.serial != noSerial;
    }

    /*! @brief Tells if the run is queued or at the endpoint. */
    [[nodiscard]] bool inProgress() const noexcept
    {
        return state == RunState::Queued || state == RunState::Running;
    }

    /*! @brief Tells if every follower has the whole result. */
    [[nodiscard]] bool acknowledged() const;
};

/*! @brief All runs of a side, with the time at which each needs care next. */
class RunTable
{
public:
    /*! @brief Returns a run, or null. */
    [[nodiscard]] Run *find(const RunId &run);

    /**
     * @brief Adds a run.
     * @param run Run whose identity is not in the table.
     * @return The run in the table; it stays where it is until it is removed.
     */
    Run &insert(Run run);

    /*! @brief Removes a run; nothing happens if it is not in the table. */
    void erase(const RunId &run);

    /**
     * @brief Sets the time at which a run needs care next.
     * @param run Run of this table.
     * @param due Time.
     */
    void schedule(Run &run, TimePoint due);

    /**
     * @brief Returns the runs whose time has come, earliest first.
     * @param now Present time.
     */
    [[nodiscard]] std::vector<RunId> due(TimePoint now) const;

    /*! @brief Returns the earliest time at which a run needs care. */
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    /**
     * @brief Returns the attempts at a stage of a request that are in progress and lower than a given one.
     * @param run Attempt that fences the lower ones.
     */
    [[nodiscard]] std::vector<RunId> lowerInProgress(const RunId &run) const;

    /*! @brief Calls a function for every run, in the order of their identities. */
    void forEach(const std::function<void(Run &)> &visit);

    /*! @brief Returns the number of runs. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    std::map<RunId, Run> m_runs;
    std::set<std::pair<TimePoint, RunId>> m_due;
};

} // namespace bergamottide
