#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamottide::serving {

/**
 * @brief Splits a stream of server-sent events into complete events, byte for byte as received.
 *
 * Only complete events may reach the caller: if an endpoint fails in the middle of one, another endpoint resumes the
 * stream after the last complete event.
 */
class EventSplitter
{
public:
    /**
     * @brief Creates a splitter.
     * @param after ID of the last event already forwarded; events up to it are dropped.
     */
    explicit EventSplitter(std::optional<std::uint64_t> after = std::nullopt);

    /**
     * @brief Appends received bytes.
     * @param bytes Next bytes of the stream.
     * @return The events that are now complete and to be forwarded; empty if none.
     */
    [[nodiscard]] std::string append(std::string_view bytes);

    /*! @brief Returns whether the bytes so far end in the middle of an event. */
    [[nodiscard]] bool hasPartialEvent() const noexcept;

    /*! @brief Returns whether an event ID was skipped. */
    [[nodiscard]] bool hasGap() const noexcept;

    /*! @brief Returns the ID of the last forwarded event, if events have numeric IDs. */
    [[nodiscard]] std::optional<std::uint64_t> lastEventId() const noexcept;

private:
    void appendEvent(std::string_view event, std::string &out);

    std::string m_buffer;
    std::optional<std::uint64_t> m_lastEventId;
    bool m_hasGap{};
};

} // namespace bergamottide::serving
