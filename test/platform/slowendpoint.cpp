#include "slowendpoint.h"

namespace bergamottide::test {

namespace {

HttpServerOptions serverOptions()
{
    HttpServerOptions options;
    options.listen = "127.0.0.1:0";
    return options;
}

} // namespace

SlowEndpoint::SlowEndpoint(Loop &loop, Duration work, std::size_t slots)
    : m_loop{loop}
    , m_work{work}
    , m_slots{slots}
    , m_server{loop, serverOptions(),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   m_lastArrivalAt = m_loop.now();
                   m_waiting.push_back({std::string{headerValue(request.headers, "attempt-id")}, responder});
                   startWaiting();
               }}
{
    static_cast<void>(m_server.listen());
}

std::string SlowEndpoint::address() const
{
    return m_server.address();
}

TimePoint SlowEndpoint::lastArrivalAt() const noexcept
{
    return m_lastArrivalAt;
}

void SlowEndpoint::startWaiting()
{
    while (m_running < m_slots && !m_waiting.empty()) {
        ++m_running;
        m_loop.at(m_loop.now() + m_work, [this, work = m_waiting.front()] {
            --m_running;
            work.responder->respond({200, {{"attempt-id", work.attempt}, {"response-seal", "seal"}}, "done"});
            startWaiting();
        });
        m_waiting.pop_front();
    }
}

} // namespace bergamottide::test
