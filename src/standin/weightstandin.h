#pragma once

#include "bergamottide/net/loop.h"
#include "standin/standin.h"

#include <cstdint>

namespace bergamottide::standin {

/*! @brief Weight store: `GET /v1/weights/MODEL`, at most so many reads each second; more are answered 429. */
class WeightStandIn final : public StandIn
{
public:
    /**
     * @brief Creates a store.
     * @param loop Source of time; outlives the store.
     * @param readsPerSecond Reads allowed each second.
     */
    WeightStandIn(Loop &loop, double readsPerSecond);

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

private:
    Loop &m_loop;
    double m_rate;
    double m_allowance;
    TimePoint m_last;
    std::uint64_t m_served{};
    std::uint64_t m_refused{};
};

} // namespace bergamottide::standin
