#include "standin/weightstandin.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>

namespace bergamottide::standin {

WeightStandIn::WeightStandIn(Loop &loop, double readsPerSecond)
    : m_loop{loop}
    , m_rate{readsPerSecond}
    , m_allowance{readsPerSecond}
    , m_last{loop.now()}
{
}

void WeightStandIn::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (request.path == "/control/reads") {
        answerJson(*responder, 200, absl::StrCat("{\"served\":", m_served, ",\"refused\":", m_refused, "}"));
        return;
    }
    const TimePoint now = m_loop.now();
    m_allowance += m_rate * std::chrono::duration<double>(now - m_last).count();
    m_allowance = std::min(m_allowance, m_rate);
    m_last = now;
    if (m_allowance < 1.0) {
        ++m_refused;
        responder->respond(HttpResponse{429, {{"retry-after", "1"}}, ""});
        return;
    }
    m_allowance -= 1.0;
    ++m_served;
    answerJson(*responder, 200, "{}");
}

} // namespace bergamottide::standin
