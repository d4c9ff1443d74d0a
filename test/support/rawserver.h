#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace bergamottide::test {

/*! @brief How a server ends a connection. */
enum class ConnectionEnd : std::uint8_t
{
    Orderly,
    Reset
};

/*! @brief How much of a request a server reads before it closes the connection. */
enum class Upload : std::uint8_t
{
    /*! @brief One piece, which resets the connection if more has arrived. */
    IsReadInPart,
    /*! @brief One piece; the server sends its end of the connection first, and closes it later. */
    IsUnread
};

/*! @brief What a hostile server sends, whatever it was asked. */
struct RawScript
{
    /*! @brief Sent first. */
    std::string head;
    /*! @brief Sent again and again until the other end closes or the count is reached. */
    std::string repeated;
    std::size_t times{};
    /*! @brief Sent in answer to a first request on the connection, before all else; nothing if empty. */
    std::string first{};
    ConnectionEnd end{ConnectionEnd::Orderly};
    Upload upload{Upload::IsReadInPart};
};

/*! @brief TCP server that answers each connection with the bytes of a script and closes it. */
class RawServer
{
public:
    /**
     * @brief Listens on the loopback address, on a port that the kernel chooses.
     * @param script What to send.
     */
    explicit RawServer(RawScript script);

    /**
     * @brief Listens on the loopback address, and answers each connection with a script of its own.
     * @param nextScript Returns what to send on the next connection; called on the server's thread.
     */
    explicit RawServer(std::function<RawScript()> nextScript);
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;
    ~RawServer();

    /*! @brief Returns the address listened on. */
    [[nodiscard]] std::string address() const;

    /*! @brief Returns the number of bytes that were sent. */
    [[nodiscard]] std::size_t sent() const noexcept;

private:
    void serve();
    void serveOne(int connection, const RawScript &script);

    std::function<RawScript()> m_nextScript;
    int m_listener{-1};
    std::atomic<bool> m_stopped{};
    std::atomic<std::size_t> m_sent{};
    std::thread m_thread;
};

} // namespace bergamottide::test
