#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief One server-sent event. */
struct ServerSentEvent
{
    /*! @brief Event type; empty if the event has no `event` field. */
    std::string type;
    /*! @brief Values of its `data` fields, joined by line feeds. */
    std::string data;
};

/**
 * @brief Incremental parser of server-sent events.
 *
 * It fails on a line or an event above the size limit, so that a broken or hostile sender
 * cannot exhaust memory.
 */
class SseParser
{
public:
    using EventHook = std::function<void(ServerSentEvent event)>;

    /**
     * @brief Creates a parser.
     * @param maxEventBytes Maximum size of a line and of the data of an event in bytes.
     */
    explicit SseParser(std::size_t maxEventBytes);

    /**
     * @brief Parses the next bytes of the stream.
     * @param bytes Bytes, split at any position.
     * @param onEvent Called for each complete event.
     * @return False if a limit is exceeded; the parser must not be used afterwards.
     */
    [[nodiscard]] bool feed(std::string_view bytes, const EventHook &onEvent);

private:
    bool handleLine(std::string_view line, const EventHook &onEvent);

    std::size_t m_maxEventBytes;
    std::string m_line;
    ServerSentEvent m_event;
    bool m_hasData{};
};

} // namespace bergamottide
