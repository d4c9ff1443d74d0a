#pragma once

#include "bergamottide/config/settings.h"
#include "bergamottide/telemetry/audittrail.h"
#include "bergamottide/telemetry/logline.h"
#include "bergamottide/telemetry/logsink.h"
#include "bergamottide/telemetry/metric.h"
#include "bergamottide/telemetry/metricsregistry.h"

#include <cstdint>
#include <string>

namespace bergamottide {

/*! @brief Log, audit trail and metrics of one process. */
class Telemetry
{
public:
    /**
     * @brief Opens the log.
     * @param settings Settings of the process.
     * @param clock Source of the wall time; outlives the object.
     */
    Telemetry(const Settings &settings, const Clock &clock);

    /**
     * @brief Writes a line to the log.
     * @param line Line to write.
     */
    void log(const LogLine &line);

    /**
     * @brief Adds a record to the audit trail and writes it to the log.
     * @param record Record to add.
     */
    void audit(const AuditRecord &record);

    /**
     * @brief Updates a metric.
     * @param observation Metric, labels and value.
     */
    void observe(const Observe &observation);

    /*! @brief Returns the metrics in the Prometheus text format. */
    [[nodiscard]] std::string metrics() const;

    /**
     * @brief Returns the audit records after a position as JSON lines.
     * @param after Position of the last known record; zero for all that are kept.
     */
    [[nodiscard]] std::string auditLines(std::uint64_t after) const;

private:
    LogSink m_log;
    AuditTrail m_trail;
    MetricsRegistry m_registry;
};

} // namespace bergamottide
