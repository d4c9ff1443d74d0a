#pragma once

#include "bergamottide/config/settings.h"
#include "bergamottide/telemetry/logline.h"
#include "bergamottide/telemetry/metric.h"

#include <string>

namespace bergamottide {

/*! @brief Log, audit trail and metrics of one process. */
class Telemetry
{
public:
    /**
     * @brief Opens the log.
     * @param settings Settings of the process.
     */
    explicit Telemetry(const Settings &settings);

    /**
     * @brief Writes a line to the log.
     * @param line Line to write.
     */
    void log(const LogLine &line);

    /**
     * @brief Adds a record to the audit trail.
     * @param record Record to add.
     */
    void audit(const AuditRecord &record);

    /**
     * @brief Changes a metric.
     * @param observation Metric, labels and value.
     */
    void observe(const Observe &observation);

    /*! @brief Returns the metrics in the text format of Prometheus. */
    [[nodiscard]] std::string metrics() const;

    /*! @brief Returns the audit trail as JSON. */
    [[nodiscard]] std::string auditTrail() const;

private:
    Severity m_level;
};

} // namespace bergamottide
