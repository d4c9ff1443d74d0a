#pragma once

#include "bergamottide/net/loop.h"
#include "standin/executions.h"
#include "standin/servicetime.h"
#include "standin/standin.h"

#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace bergamottide::standin {

/*! @brief Behaviour of a stage endpoint or of a plain service. */
struct CallOptions
{
    std::string name;
    ServiceTimeLaw law;
    /*! @brief Runs worked on at once; more wait in order. */
    std::uint32_t concurrency{64};
    /*! @brief Share of runs that begin and are answered 500. */
    double failShare{};
    /*! @brief Share of runs refused before they begin. */
    double refuseShare{};
};

/*!
 * @brief Stage endpoint or plain service: waits for its service time and answers with its name and the request's id.
 */
class CallStandIn final : public StandIn
{
public:
    /**
     * @brief Creates a stand-in.
     * @param loop Loop it runs on; outlives the stand-in.
     * @param options Behaviour.
     */
    CallStandIn(Loop &loop, const CallOptions &options);

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

private:
    struct Run;

    void admit(const std::shared_ptr<Run> &run);
    void begin(const std::shared_ptr<Run> &run);
    void end(const std::shared_ptr<Run> &run);
    void leave(const std::shared_ptr<Run> &run);
    bool draw(double share);

    Loop &m_loop;
    CallOptions m_options;
    ServiceTime m_time;
    std::mt19937_64 m_random;
    Executions m_executions;
    std::deque<std::shared_ptr<Run>> m_waiting;
    std::uint32_t m_running{};
};

} // namespace bergamottide::standin
