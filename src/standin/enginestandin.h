#pragma once

#include "bergamottide/net/loop.h"
#include "standin/executions.h"
#include "standin/servicetime.h"
#include "standin/standin.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamottide::standin {

/*! @brief Behaviour of a model engine. */
struct EngineOptions
{
    std::string name;
    ServiceTimeLaw law;
    /*! @brief Runs generated at once; more wait by priority, then in order. */
    std::uint32_t concurrency{16};
    /*! @brief Tokens in one event. */
    std::uint32_t tokensPerEvent{1};
    /*! @brief Tokens of a run that asks for none. */
    std::uint32_t defaultTokens{16};
    /*! @brief Refuse an order with a fencing number below the largest one seen. */
    bool honoursFencing{true};
    /*! @brief Time to carry out an order. */
    Duration loadTime{std::chrono::milliseconds{100}};
    /*! @brief Events after which a stream breaks off without an end; zero for never. */
    std::uint32_t breakAfterEvents{};
};

/**
 * @brief Model engine: generates tokens, keeps a run when its stream closes, and goes on with it at a token offset.
 *
 * Token 0 is the request's id, token N the word `wN`, so that a test can tell whether an
 * answer is whole and its own.
 */
class EngineStandIn final : public StandIn
{
public:
    /**
     * @brief Creates an engine.
     * @param loop Loop it runs on; outlives the engine.
     * @param options Behaviour.
     */
    EngineStandIn(Loop &loop, const EngineOptions &options);

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) override;

private:
    struct Run;

    void generate(const HttpRequest &request, std::shared_ptr<HttpResponder> responder);
    void attach(const std::shared_ptr<Run> &run, std::shared_ptr<HttpResponder> responder, std::uint32_t fromToken);
    void admitWaiting();
    void begin(const std::shared_ptr<Run> &run);
    void step(const std::shared_ptr<Run> &run);
    void sendFrom(Run &run, std::uint32_t first, std::uint32_t last);
    void end(const std::shared_ptr<Run> &run);
    void stop(const std::string &name);
    void order(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] std::string loadJson() const;
    [[nodiscard]] std::string ordersJson() const;

    Loop &m_loop;
    EngineOptions m_options;
    ServiceTime m_time;
    Executions m_executions;
    std::map<std::string, std::shared_ptr<Run>> m_runs;
    std::vector<std::shared_ptr<Run>> m_waiting;
    std::uint32_t m_running{};
    std::uint64_t m_fence{};
    std::set<std::string> m_models;
    std::vector<std::string> m_orders;
};

} // namespace bergamottide::standin
