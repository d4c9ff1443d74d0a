#include "bergamottide/streams/eventsplitter.h"

#include <charconv>

namespace bergamottide::serving {

namespace {

/*! @brief Returns the position after the first blank line, or `npos`. */
std::size_t endOfEvent(std::string_view bytes)
{
    for (auto line = bytes.find('\n'); line != std::string_view::npos; line = bytes.find('\n', line + 1)) {
        std::size_t next = line + 1;
        if (next < bytes.size() && bytes[next] == '\r') {
            ++next;
        }
        if (next < bytes.size() && bytes[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

/*! @brief Returns the value of the first numeric `id` field of an event. */
std::optional<std::uint64_t> eventIdOf(std::string_view event)
{
    std::size_t start = 0;
    while (start < event.size()) {
        auto end = event.find('\n', start);
        end = end == std::string_view::npos ? event.size() : end;
        std::string_view line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
        if (result.ec == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

EventSplitter::EventSplitter(std::optional<std::uint64_t> after)
    : m_lastEventId{after}
{
}

std::string EventSplitter::append(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::string out;
    std::size_t begin = 0;
    const std::string_view all{m_buffer};
    while (!m_hasGap) {
        const std::size_t end = endOfEvent(all.substr(begin));
        if (end == std::string_view::npos) {
            break;
        }
        appendEvent(all.substr(begin, end), out);
        begin += end;
    }
    if (begin != 0) {
        // A copy, since the buffer would keep the room of all that it has held.
        m_buffer = m_buffer.substr(begin);
    }
    return out;
}

bool EventSplitter::hasPartialEvent() const noexcept
{
    return !m_buffer.empty();
}

bool EventSplitter::hasGap() const noexcept
{
    return m_hasGap;
}

std::optional<std::uint64_t> EventSplitter::lastEventId() const noexcept
{
    return m_lastEventId;
}

void EventSplitter::appendEvent(std::string_view event, std::string &out)
{
    const auto id = eventIdOf(event);
    if (!id) {
        out.append(event);
        return;
    }
    if (m_lastEventId && *id <= *m_lastEventId) {
        return;
    }
    if (m_lastEventId && *id != *m_lastEventId + 1) {
        m_hasGap = true;
        return;
    }
    m_lastEventId = id;
    out.append(event);
}

} // namespace bergamottide::serving
