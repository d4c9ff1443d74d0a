#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/telemetry/logline.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bergamottide {

/*! @brief Bounds on the volume of a log. */
struct LogGateOptions
{
    /*! @brief Ordinary lines about requests in a second, above which fewer requests are followed. */
    std::uint32_t ordinaryLines{200};
    /*! @brief Lines of all kinds in a second; what exceeds it is dropped and counted. */
    std::uint32_t allLines{500};
};

/**
 * @brief Decides which lines are written, so that the volume stays bounded under any load.
 *
 * Ordinary lines about requests are sampled by the request's identity: every process follows the same requests, and
 * where two follow differently many, one set contains the other. Warnings and changes of belief are all written, up to
 * the bound of all lines.
 */
class LogGate
{
public:
    explicit LogGate(LogGateOptions options = {});

    /**
     * @brief Decides on one line.
     * @param line Line; its fields `request` and `requests` name the requests that it is about.
     * @param now Present time.
     * @return Whether to write it.
     */
    [[nodiscard]] bool admits(const LogLine &line, TimePoint now);

    /**
     * @brief Returns a line that counts what was dropped in the last second, once a second if anything was.
     * @param now Present time.
     */
    [[nodiscard]] std::optional<LogLine> summary(TimePoint now);

    /*! @brief Returns the number of lines dropped so far. */
    [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
    void turn(TimePoint now);
    [[nodiscard]] bool follows(std::string_view requests) const;

    LogGateOptions m_options;
    /*! @brief One request in two to the power of this is followed. */
    unsigned m_level{};
    TimePoint m_second{};
    std::uint32_t m_offered{};
    std::uint32_t m_written{};
    std::uint64_t m_dropped{};
    std::uint64_t m_reported{};
};

} // namespace bergamottide
