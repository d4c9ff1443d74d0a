#pragma once

#include "bergamottide/net/http.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace bergamottide::test {

/*! @brief When a server sends an answer once more. */
enum class Repetition : std::uint8_t
{
    Never,
    /*! @brief Some time after it, as a rule while the connection is idle. */
    WhileIdle,
    /*! @brief Once the next request on the connection has come, before its answer. */
    BeforeNext,
    TwiceBeforeNext,
    /*! @brief A part of it, which is cut in the body. */
    CutBeforeNext
};

/*! @brief TCP server that answers requests in turn on each connection, and sends some answers more than once. */
class RepeatingServer
{
public:
    /*! @brief Returns the answer to a request; called on the server's thread. */
    using Handler = std::function<HttpResponse(const HttpRequest &request)>;

    /**
     * @brief Listens on the loopback address, on a port that the kernel chooses.
     * @param repetition When answers are repeated.
     * @param period One of so many answers is repeated.
     * @param path Prefix of the paths of the requests that are meant: whose answers are repeated, and before whose
     * answers.
     * @param handler Answers requests.
     */
    RepeatingServer(Repetition repetition, std::size_t period, std::string path, Handler handler);
    RepeatingServer(const RepeatingServer &) = delete;
    RepeatingServer &operator=(const RepeatingServer &) = delete;
    ~RepeatingServer();

    /*! @brief Returns the address listened on. */
    [[nodiscard]] std::string address() const;

    /*! @brief Returns the number of answers that were sent once more. */
    [[nodiscard]] std::size_t repeated() const noexcept;

    /*! @brief Returns the number of connections accepted. */
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct Connection
    {
        int descriptor{-1};
        std::string received;
        /*! @brief Bytes to send before the next answer. */
        std::string late;
        /*! @brief Bytes to send at a time, whatever comes. */
        std::string due;
        std::chrono::steady_clock::time_point dueAt{};
    };

    void serve();
    [[nodiscard]] bool receive(Connection &connection);
    [[nodiscard]] bool answerRequests(Connection &connection);
    void scheduleRepetition(Connection &connection, const std::string &answer);

    Repetition m_repetition;
    std::size_t m_period;
    std::string m_path;
    Handler m_handler;
    int m_listener{-1};
    std::vector<Connection> m_connections;
    std::size_t m_answers{};
    std::atomic<bool> m_stopped{};
    std::atomic<std::size_t> m_repeated{};
    std::atomic<std::size_t> m_accepted{};
    std::thread m_thread;
};

} // namespace bergamottide::test
