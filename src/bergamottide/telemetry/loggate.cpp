#include "bergamottide/telemetry/loggate.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace bergamottide {

namespace {

constexpr Duration period = std::chrono::seconds{1};
/*! @brief Coarsest sampling: one request in 1,024. */
constexpr unsigned coarsest = 10;

std::string_view field(const LogLine &line, std::string_view name)
{
    for (const auto &[key, value] : line.fields) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

} // namespace

LogGate::LogGate(LogGateOptions options)
    : m_options{options}
{
}

bool LogGate::admits(const LogLine &line, TimePoint now)
{
    turn(now);
    std::string_view requests = field(line, "request");
    requests = requests.empty() ? field(line, "requests") : requests;
    const bool isOrdinary = line.severity < Severity::Warning && !requests.empty();
    m_offered += isOrdinary ? 1 : 0;
    if (m_written >= m_options.allLines || (isOrdinary && !follows(requests))) {
        ++m_dropped;
        return false;
    }
    ++m_written;
    return true;
}

std::optional<LogLine> LogGate::summary(TimePoint now)
{
    if (now - m_second < period || m_dropped == m_reported) {
        return std::nullopt;
    }
    const std::uint64_t count = m_dropped - m_reported;
    m_reported = m_dropped;
    return LogLine{Severity::Warning,
                   Part::Net,
                   "Log lines were left out.",
                   {{"lines", std::to_string(count)}, {"followed", "1 in " + std::to_string(1U << m_level)}}};
}

std::uint64_t LogGate::dropped() const noexcept
{
    return m_dropped;
}

void LogGate::turn(TimePoint now)
{
    if (now - m_second < period) {
        return;
    }
    if (m_offered > (m_options.ordinaryLines << m_level)) {
        m_level = std::min(m_level + 1, coarsest);
    } else if (m_level > 0 && m_offered < (m_options.ordinaryLines << (m_level - 1)) / 2) {
        --m_level;
    }
    m_second = now;
    m_offered = 0;
    m_written = 0;
}

bool LogGate::follows(std::string_view requests) const
{
    const std::uint64_t mask = (std::uint64_t{1} << m_level) - 1;
    while (!requests.empty()) {
        const auto comma = requests.find(',');
        const std::string_view one = requests.substr(0, comma);
        if ((XXH3_64bits(one.data(), one.size()) & mask) == 0) {
            return true;
        }
        requests.remove_prefix(comma == std::string_view::npos ? requests.size() : comma + 1);
    }
    return false;
}

} // namespace bergamottide
