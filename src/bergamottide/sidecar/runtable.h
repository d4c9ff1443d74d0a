#pragma once

#include "bergamottide/sidecar/sidecarevents.h"

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

/*! @brief A process that receives the result of a run. */
struct RunSubscriber
{
    InstanceName peer;
    /*! @brief It has acknowledged the whole result. */
    bool acknowledged{};
};

/*! @brief One run at a sidecar, from its arrival until its result is acknowledged or has expired. */
struct RunRecord
{
    /*! @brief Message that started it; the bodies are released when it ends. */
    StartRun spec;
    RunState state{RunState::Queued};
    Reason reason{};
    Duration retryAfter{};
    TimePoint arrived;
    TimePoint deadline;
    /*! @brief Time of the start at the endpoint, if it was started. */
    std::optional<TimePoint> started;
    TimePoint ended;
    /*! @brief Result received so far. */
    std::string result;
    std::uint32_t tokens{};
    /*! @brief XXH3 digest (64 bits) of the result; set when the run ends. */
    std::uint64_t digest{};
    std::vector<RunSubscriber> subscribers;
    /*! @brief Time since which no subscriber has been connected; absent while one is. */
    std::optional<TimePoint> abandonedAt;
    /*! @brief Time of the next keep-alive, resend or removal. */
    TimePoint due;
    /*! @brief Interval before the next resend of `RunFinished`. */
    Duration backoff{};

    /*! @brief Returns whether the run must not be repeated. */
    [[nodiscard]] bool isAtMostOnce() const noexcept
    {
        return spec.serial != noSerial;
    }

    /*! @brief Returns whether the run is queued or at the endpoint. */
    [[nodiscard]] bool isInProgress() const noexcept
    {
        return state == RunState::Queued || state == RunState::Running;
    }

    /*! @brief Returns whether every subscriber has acknowledged the result. */
    [[nodiscard]] bool isAcknowledged() const;
};

/*! @brief All runs of a sidecar, ordered by identity and by due time. */
class RunTable
{
public:
    /*! @brief Returns a run, or null if it is not in the table. */
    [[nodiscard]] RunRecord *find(const RunId &run);

    /**
     * @brief Adds a run.
     * @param run Run whose identity is not in the table.
     * @return The run in the table; the reference stays valid until the run is removed.
     */
    RunRecord &insert(RunRecord run);

    /*! @brief Removes a run; a run that is not in the table is ignored. */
    void erase(const RunId &run);

    /**
     * @brief Sets the due time of a run.
     * @param run Run of this table.
     * @param due Time of its next keep-alive, resend or removal.
     */
    void schedule(RunRecord &run, TimePoint due);

    /**
     * @brief Returns the runs that are due, earliest first.
     * @param now Current time.
     */
    [[nodiscard]] std::vector<RunId> dueRuns(TimePoint now) const;

    /*! @brief Returns the earliest due time, if there are runs. */
    [[nodiscard]] std::optional<TimePoint> nextDue() const;

    /**
     * @brief Returns the lower attempts at the same stage of the same request that are in progress.
     * @param run Attempt to compare with.
     */
    [[nodiscard]] std::vector<RunId> lowerAttemptsInProgress(const RunId &run) const;

    /*! @brief Calls a function for every run, ordered by identity. */
    void forEach(const std::function<void(RunRecord &)> &visit);

    /*! @brief Returns the number of runs. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    std::map<RunId, RunRecord> m_runs;
    std::set<std::pair<TimePoint, RunId>> m_due;
};

} // namespace bergamottide
