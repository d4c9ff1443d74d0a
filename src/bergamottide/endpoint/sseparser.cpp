#include "bergamottide/endpoint/sseparser.h"

#include <utility>

namespace bergamottide {

SseParser::SseParser(std::size_t maxEventBytes)
    : m_maxEventBytes{maxEventBytes}
{
}

bool SseParser::feed(std::string_view bytes, const EventHook &onEvent)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        const std::string_view part = bytes.substr(0, end);
        if (m_line.size() + part.size() > m_maxEventBytes) {
            return false;
        }
        m_line.append(part);
        if (end == std::string_view::npos) {
            return true;
        }
        bytes.remove_prefix(end + 1);
        const std::string line = std::exchange(m_line, {});
        if (!handleLine(line, onEvent)) {
            return false;
        }
    }
    return true;
}

bool SseParser::handleLine(std::string_view line, const EventHook &onEvent)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (m_hasData) {
            onEvent(std::exchange(m_event, {}));
        }
        m_event = {};
        m_hasData = false;
        return true;
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (field == "event") {
        m_event.type = value;
        return true;
    }
    if (field != "data") {
        return true;
    }
    if (m_event.data.size() + value.size() + 1 > m_maxEventBytes) {
        return false;
    }
    if (m_hasData) {
        m_event.data.push_back('\n');
    }
    m_event.data.append(value);
    m_hasData = true;
    return true;
}

} // namespace bergamottide
