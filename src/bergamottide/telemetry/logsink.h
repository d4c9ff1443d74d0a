#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/telemetry/logformat.h"
#include "bergamottide/telemetry/logline.h"

#include <log4cplus/appender.h>

#include <memory>
#include <string>

namespace bergamottide {

/*! @brief Behaviour of a log. */
struct LogOptions
{
    LogFormat format{};
    /*! @brief Lowest severity that is written. */
    Severity level{Severity::Info};
    InstanceName instance;
};

/*! @brief Writes a wall time as `2026-01-31T23:59:59.123456Z`. */
[[nodiscard]] std::string wallTimeText(WallTime time);

/**
 * @brief Writes the log of one process through log4cplus.
 *
 * A line has a time, a severity, the prefix of its part, a short sentence and named values.
 * Values come from callers and endpoints as well; control characters in them are escaped, so
 * that none can forge a line.
 */
class LogSink
{
public:
    /**
     * @brief Opens the log.
     * @param options Behaviour of the log.
     * @param clock Source of the wall time; must outlive the log.
     * @param appender Where the lines go; the standard error stream if null.
     */
    LogSink(LogOptions options, const Clock &clock,
            log4cplus::SharedAppenderPtr appender = log4cplus::SharedAppenderPtr{});
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;
    ~LogSink();

    /**
     * @brief Writes one line.
     * @param line Effect of a reducer.
     */
    void write(const LogLine &line);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bergamottide
