#pragma once

#include "bergamottide/net/callerrefusal.h"
#include "bergamottide/overload/memoryaccount.h"
#include "bergamottide/telemetry/logline.h"
#include "bergamottide/telemetry/metric.h"

#include <cstddef>
#include <functional>
#include <map>

namespace bergamottide {

/*! @brief Where the reports of a `CallerReport` go. */
struct CallerReportHooks
{
    std::function<void(const Observe &observation)> observe;
    std::function<void(const LogLine &line)> log;
};

/**
 * @brief Tells operators what callers hold, and which of them were rejected or cut off.
 *
 * Refusals are counted at once, and logged in one line a report, so that a crowd does not fill the log.
 */
class CallerReport
{
public:
    /**
     * @brief Creates a report.
     * @param memory Account of the callers; outlives the report.
     * @param hooks Where the reports go.
     */
    CallerReport(const overload::MemoryAccount &memory, CallerReportHooks hooks);

    /*! @brief Counts a caller that was rejected or cut off. */
    void recordRefusal(CallerRefusal refusal);

    /*!
     * @brief Reports what is held and what has been refused since the last report; called about once a second.
     *
     * Returns freed memory to the system when memory is no longer scarce.
     */
    void report();

private:
    void reportScarcity();

    const overload::MemoryAccount &m_memory;
    CallerReportHooks m_hooks;
    std::map<CallerRefusal, std::size_t> m_refusals;
    bool m_isScarce{};
};

} // namespace bergamottide
