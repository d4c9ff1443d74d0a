#include "bergamottide/serving/eventsplitter.h"

#include <charconv>

namespace bergamottide::serving {

namespace {

/*! @brief Returns the position behind the first blank line, or nothing. */
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

std::optional<std::uint64_t> numberOf(std::string_view event)
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
        std::uint64_t number = 0;
        const auto result = std::from_chars(line.data(), line.data() + line.size(), number);
        if (result.ec == std::errc{}) {
            return number;
        }
    }
    return std::nullopt;
}

} // namespace

EventSplitter::EventSplitter(std::optional<std::uint64_t> after)
    : m_last{after}
{
}

std::string EventSplitter::take(std::string_view bytes)
{
    m_rest.append(bytes);
    std::string out;
    std::size_t begin = 0;
    const std::string_view all{m_rest};
    while (!m_broken) {
        const std::size_t end = endOfEvent(all.substr(begin));
        if (end == std::string_view::npos) {
            break;
        }
        takeEvent(all.substr(begin, end), out);
        begin += end;
    }
    m_rest.erase(0, begin);
    return out;
}

bool EventSplitter::inEvent() const noexcept
{
    return !m_rest.empty();
}

bool EventSplitter::isBroken() const noexcept
{
    return m_broken;
}

std::optional<std::uint64_t> EventSplitter::last() const noexcept
{
    return m_last;
}

void EventSplitter::takeEvent(std::string_view event, std::string &out)
{
    const auto number = numberOf(event);
    if (!number) {
        out.append(event);
        return;
    }
    if (m_last && *number <= *m_last) {
        return;
    }
    if (m_last && *number != *m_last + 1) {
        m_broken = true;
        return;
    }
    m_last = number;
    out.append(event);
}

} // namespace bergamottide::serving
