#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief One server-sent event. */
struct ServerSentEvent
{
    /*! @brief Type of the event; empty for an ordinary one. */
    std::string type;
    /*! @brief Its data lines, joined by line feeds. */
    std::string data;
};

/**
 * @brief Cuts a stream of bytes into server-sent events.
 *
 * A line or an event above its limit ends the stream: the sender is broken or hostile, and
 * what it sends must not grow without end in memory.
 */
class SseParser
{
public:
    using Hook = std::function<void(ServerSentEvent event)>;

    /**
     * @brief Creates a parser.
     * @param maxEventBytes Largest line and largest event in bytes.
     */
    explicit SseParser(std::size_t maxEventBytes);

    /**
     * @brief Takes the next bytes.
     * @param bytes Bytes as they come, cut anywhere.
     * @param hook Called for each event that is now whole.
     * @return False once a limit is exceeded; the rest of the stream is worthless then.
     */
    [[nodiscard]] bool feed(std::string_view bytes, const Hook &hook);

private:
    bool takeLine(std::string_view line, const Hook &hook);

    std::size_t m_maxEventBytes;
    std::string m_line;
    ServerSentEvent m_event;
    bool m_hasData{};
};

} // namespace bergamottide
