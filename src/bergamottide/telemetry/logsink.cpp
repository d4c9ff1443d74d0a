#include "bergamottide/telemetry/logsink.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/layout.h>
#include <log4cplus/log4cplus.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <utility>

namespace bergamottide {

namespace {

log4cplus::LogLevel levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case Severity::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Severity::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

bool isPlain(const std::string &value)
{
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c == '\x7f') {
            return false;
        }
    }
    return !value.empty();
}

/*! @brief Writes a text as JSON; bytes that are not UTF-8 are replaced. */
std::string dump(const nlohmann::ordered_json &json)
{
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string textOf(const LogLine &line, const std::string &time)
{
    std::string out = time;
    out.append(" ").append(enumName(line.severity)).append(" ").append(enumName(line.part)).append(": ");
    out.append(isPlain(line.text) || line.text.find_first_of("\n\r") == std::string::npos ? line.text
                                                                                          : dump(line.text));
    for (const auto &[name, value] : line.fields) {
        out.append(" ").append(name).append("=").append(isPlain(value) ? value : dump(value));
    }
    return out;
}

std::string jsonOf(const LogLine &line, const std::string &time, const InstanceName &instance)
{
    nlohmann::ordered_json json;
    json["time"] = time;
    json["severity"] = enumName(line.severity);
    json["instance"] = instance.text();
    json["part"] = enumName(line.part);
    json["text"] = line.text;
    for (const auto &[name, value] : line.fields) {
        json["fields"][name] = value;
    }
    return dump(json);
}

} // namespace

std::string wallTimeText(WallTime time)
{
    const auto sinceEpoch = time.time_since_epoch();
    const auto whole = std::chrono::floor<std::chrono::seconds>(sinceEpoch);
    const std::time_t seconds = whole.count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buffer{};
    const std::size_t length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06ldZ", static_cast<long>((sinceEpoch - whole).count()));
    return std::string{buffer.data(), length}.append(fraction.data());
}

struct LogSink::State
{
    LogOptions options;
    const Clock &clock;
    log4cplus::Hierarchy hierarchy;
    log4cplus::Logger logger{hierarchy.getInstance(LOG4CPLUS_TEXT("bergamottide"))};
};

LogSink::LogSink(LogOptions options, const Clock &clock, log4cplus::SharedAppenderPtr appender)
    : m_state{new State{std::move(options), clock}}
{
    // Idempotent. The library is never closed by hand, as it cannot be opened a second time.
    log4cplus::initialize();
    if (!appender) {
        appender = log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{true, true}};
    }
    // The line is whole before it is handed over; the library decides where it goes.
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    m_state->logger.setLogLevel(levelOf(m_state->options.level));
    m_state->logger.addAppender(appender);
}

LogSink::~LogSink() = default;

void LogSink::write(const LogLine &line)
{
    const log4cplus::LogLevel level = levelOf(line.severity);
    if (!m_state->logger.isEnabledFor(level)) {
        return;
    }
    const std::string time = wallTimeText(m_state->clock.wallNow());
    const bool json = m_state->options.format == LogFormat::Json;
    m_state->logger.forcedLog(level, json ? jsonOf(line, time, m_state->options.instance) : textOf(line, time));
}

} // namespace bergamottide
