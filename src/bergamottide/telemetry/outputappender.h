#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace bergamottide {

/**
 * @brief Writes log lines to a descriptor and never waits for its reader: a line that does not fit is lost and counted.
 *
 * A pipe that takes anything takes the 4,096 bytes that POSIX calls atomic; longer lines are cut to that.
 */
class OutputAppender final : public log4cplus::Appender
{
public:
    /**
     * @brief Creates an appender.
     * @param descriptor Descriptor to write to; stays open.
     */
    explicit OutputAppender(int descriptor);
    ~OutputAppender() override;

    void close() override;

    /*! @brief Returns the number of lines lost so far. */
    [[nodiscard]] std::uint64_t lost() const noexcept;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    int m_descriptor;
    std::uint64_t m_lost{};
};

} // namespace bergamottide
