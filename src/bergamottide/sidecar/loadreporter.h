#pragma once

#include "bergamottide/sidecar/runscheduler.h"

#include <optional>
#include <vector>

namespace bergamottide {

/**
 * @brief Sends periodic load reports of this sidecar to every connected process.
 *
 * The period is the report period of the document. In availability zones with many sidecars
 * it grows with their number, which bounds the report traffic at each entry. That new runs are
 * refused, or no longer, is reported at once.
 */
class LoadReporter
{
public:
    /**
     * @brief Creates a reporter.
     * @param context Shared state of the sidecar.
     * @param scheduler Source of queue and concurrency figures.
     */
    LoadReporter(SidecarContext &context, const RunScheduler &scheduler);

    /*! @brief Stores the loaded models of a report from the endpoint. */
    void onReport(const EndpointLoadReport &event);
    /*! @brief Sends a report to one process at once. */
    void reportTo(const InstanceName &peer);
    /*! @brief Sends a report to every connected process at once. */
    void reportToAll();
    /*! @brief Sends reports if they are due, or if new runs are refused and were not before, or the other way round. */
    void onTick();
    /*! @brief Returns the time of the next periodic report. */
    [[nodiscard]] TimePoint nextReportAt() const noexcept;

private:
    [[nodiscard]] bool refusesRuns() const;
    [[nodiscard]] LoadReport report() const;
    [[nodiscard]] Duration period() const;

    SidecarContext &m_context;
    const RunScheduler &m_scheduler;
    std::vector<ModelName> m_models;
    TimePoint m_nextReportAt;
    bool m_reportedRefusal{};
};

} // namespace bergamottide
