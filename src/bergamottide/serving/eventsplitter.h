#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamottide::serving {

/**
 * @brief Cuts the bytes of an event stream at the ends of events, without changing them.
 *
 * An endpoint may stop in the middle of an event; only whole events may go to a caller, since a later endpoint goes on
 * behind the last whole one.
 */
class EventSplitter
{
public:
    /**
     * @brief Creates a splitter.
     * @param after Number of the last event already passed on; events up to it are dropped.
     */
    explicit EventSplitter(std::optional<std::uint64_t> after = std::nullopt);

    /**
     * @brief Takes bytes.
     * @param bytes Next bytes of the stream.
     * @return The whole events that they complete, to be passed on; empty if there are none.
     */
    [[nodiscard]] std::string take(std::string_view bytes);

    /*! @brief Tells if the bytes end in the middle of an event. */
    [[nodiscard]] bool inEvent() const noexcept;

    /*! @brief Tells if an event was left out or came out of order. */
    [[nodiscard]] bool isBroken() const noexcept;

    /*! @brief Returns the number of the last event passed on, if events are numbered. */
    [[nodiscard]] std::optional<std::uint64_t> last() const noexcept;

private:
    void takeEvent(std::string_view event, std::string &out);

    std::string m_rest;
    std::optional<std::uint64_t> m_last;
    bool m_broken{};
};

} // namespace bergamottide::serving
