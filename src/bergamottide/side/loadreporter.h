#pragma once

#include "bergamottide/side/runscheduler.h"

#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Tells every connected process the load of this side, periodically.
 *
 * The period is that of the document while the availability zone is small. An entry hears
 * every side of its zone; so that it spends at most a few kilobytes a second on that, the
 * period grows with the number of sides there. A drain is told at once.
 */
class LoadReporter
{
public:
    /**
     * @brief Takes what it works on.
     * @param context Shared parts of the side.
     * @param scheduler Scheduler of the runs.
     */
    LoadReporter(SideContext &context, const RunScheduler &scheduler);

    /*! @brief Takes over what the endpoint says about itself. */
    void onReport(const EndpointReport &event);
    /*! @brief Reports to one process at once. */
    void reportTo(const InstanceName &peer);
    /*! @brief Reports to every connected process at once. */
    void reportToAll();
    /*! @brief Reports if the period is over, or if a drain has begun or ended. */
    void onTick();
    /*! @brief Returns the time of the next report. */
    [[nodiscard]] TimePoint next() const noexcept;

private:
    [[nodiscard]] LoadReport report() const;
    [[nodiscard]] Duration period() const;

    SideContext &m_context;
    const RunScheduler &m_scheduler;
    std::vector<ModelName> m_models;
    TimePoint m_next;
    bool m_reportedDraining{};
};

} // namespace bergamottide
