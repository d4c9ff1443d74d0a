#pragma once

#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace bergamottide::test {

/*! @brief Fake endpoint that takes a time for each request, for some at once; others wait in their order. */
class SlowEndpoint
{
public:
    /**
     * @brief Starts to listen.
     * @param loop Event loop; must outlive the endpoint.
     * @param work Time that a request takes.
     * @param slots Requests that run at once.
     */
    SlowEndpoint(Loop &loop, Duration work, std::size_t slots);

    [[nodiscard]] std::string address() const;

    /*! @brief Returns when the last request arrived. */
    [[nodiscard]] TimePoint lastArrivalAt() const noexcept;

private:
    struct Work
    {
        std::string attempt;
        std::shared_ptr<HttpResponder> responder;
    };

    void startWaiting();

    Loop &m_loop;
    Duration m_work;
    std::size_t m_slots;
    std::size_t m_running{};
    std::deque<Work> m_waiting;
    TimePoint m_lastArrivalAt{};
    HttpServer m_server;
};

} // namespace bergamottide::test
