#pragma once

#include "bergamottide/serving/servingreducer.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide::test {

/*! @brief A reducer with a virtual clock, and routes to a plain pool, a model pool and two stage pools. */
class ServingFixture
{
public:
    explicit ServingFixture(std::shared_ptr<const serving::EndpointList> list = endpoints(),
                            std::vector<std::string> seeds = {})
        : m_reducer{options(std::move(seeds))}
    {
        apply(serving::CatalogChanged{catalog()});
        apply(serving::EndpointsChanged{std::move(list)});
        apply(serving::EndpointsConfirmed{m_now});
    }

    [[nodiscard]] static std::shared_ptr<const serving::Catalog> catalog()
    {
        using namespace serving;
        auto out = std::make_shared<Catalog>();
        out->version = 1;
        out->requiresApiKey = true;
        out->workspaceByApiKey["key"] = Workspace{WorkspaceName{"north"}, 0};
        out->routes.push_back(route("order", "/order/", RouteKind::NonIdempotent, "desk"));
        out->routes.push_back(route("lookup", "/lookup/", RouteKind::Idempotent, "desk"));
        out->routes.back().maxAttempts = 2;
        out->routes.push_back(route("chat", "/chat/", RouteKind::Streaming, "engines"));
        out->routes.push_back(route("summary", "/summary/", RouteKind::Streaming, "engines"));
        out->routes.back().isResumable = true;
        out->routes.back().maxAttempts = 2;
        out->routes.push_back(route("draft", "/draft/", RouteKind::Streaming, "engines"));
        out->routes.back().stages.push_back({PoolName{"encoders"}, {}, 1000});
        out->routes.push_back(route("report", "/report/", RouteKind::Streaming, "engines"));
        out->routes.back().isResumable = true;
        out->routes.back().maxAttempts = 2;
        out->routes.back().stages.push_back({PoolName{"encoders"}, {}, 1000});
        out->routes.back().stages.push_back({PoolName{"rerankers"}, {0}, 100});
        out->pools["desk"] = Pool{PoolName{"desk"}, 100, {}, {}};
        out->pools["engines"] = Pool{PoolName{"engines"}, 100, {}, EngineSpec{8, 100'000}};
        out->pools["encoders"] = Pool{PoolName{"encoders"}, 100, batch(), {}};
        out->pools["rerankers"] = Pool{PoolName{"rerankers"}, 100, batch(), {}};
        out->buildIndex();
        return out;
    }

    [[nodiscard]] static serving::BatchSpec batch()
    {
        return {1, 8, std::chrono::milliseconds{150}, std::chrono::milliseconds{10}, 20'000, std::chrono::seconds{4}};
    }

    [[nodiscard]] static std::shared_ptr<const serving::EndpointList> endpoints()
    {
        auto list = std::make_shared<serving::EndpointList>();
        for (const auto &[name, pool] : std::vector<std::pair<std::string, std::string>>{{"desk-1", "desk"},
                                                                                         {"desk-2", "desk"},
                                                                                         {"engine-1", "engines"},
                                                                                         {"engine-2", "engines"},
                                                                                         {"encoder-1", "encoders"},
                                                                                         {"reranker-1", "rerankers"}}) {
            list->push_back({InstanceName{name}, PoolName{pool}, "10.0.0.1:1", ZoneName{"a"}, 4, false});
        }
        return list;
    }

    [[nodiscard]] serving::RequestArrived arrival(const std::string &path, std::uint64_t call = 1) const
    {
        serving::CallerRequest request;
        request.call = CallId{call};
        request.attempt = "attempt-" + std::to_string(call);
        request.method = "POST";
        request.host = "example";
        request.path = path;
        request.target = path;
        request.apiKey = "key";
        request.deadline = std::chrono::seconds{4};
        return {request};
    }

    /*! @brief Applies an event; keeps its effects except log lines, metrics and heartbeats. */
    void apply(const serving::Event &event)
    {
        m_effects.clear();
        collectEffects(event);
    }

    /*! @brief Sets whether the platform confirms the list of endpoints, regularly and on request. */
    void setListConfirmed(bool isListConfirmed)
    {
        m_isListConfirmed = isListConfirmed;
    }

    /*! @brief Sets what the history of the list tells. */
    void setHistory(serving::FormerEndpointsRead history)
    {
        m_history = std::move(history);
    }

    /*! @brief Sets whether the history of the list is read as soon as it is asked for. */
    void setHistoryRead(bool isHistoryRead)
    {
        m_isHistoryRead = isHistoryRead;
    }

    /*! @brief Advances the clock and applies a tick, which is late by a time. */
    void advanceClock(Duration time, Duration lateness = {})
    {
        m_effects.clear();
        for (const TimePoint end = m_now + time; m_now < end;) {
            m_now = std::min(m_now + confirmationPeriod, end);
            if (m_isListConfirmed) {
                collectEffects(serving::EndpointsConfirmed{m_now});
            }
        }
        collectEffects(serving::Tick{lateness});
    }

    /*! @brief Advances the clock without a tick. */
    void passTime(Duration time)
    {
        m_now += time;
    }

    /*! @brief Returns the first effect of a type that the last event caused, or null. */
    template <typename Wanted>
    [[nodiscard]] const Wanted *effect() const
    {
        for (const serving::Effect &effect : m_effects) {
            if (const auto *found = std::get_if<Wanted>(&effect)) {
                return found;
            }
        }
        return nullptr;
    }

    [[nodiscard]] const serving::Effects &effects() const noexcept
    {
        return m_effects;
    }

    [[nodiscard]] serving::ServingReducer &reducer() noexcept
    {
        return m_reducer;
    }

    [[nodiscard]] TimePoint now() const noexcept
    {
        return m_now;
    }

    [[nodiscard]] static serving::EndpointResponseHead responseHead(int status = 200)
    {
        serving::EndpointResponseHead out;
        out.status = status;
        out.isSigned = true;
        return out;
    }

private:
    static constexpr Duration confirmationPeriod = std::chrono::seconds{1};

    void collectEffects(const serving::Event &event)
    {
        for (serving::Effect &effect : m_reducer.apply(event, m_now)) {
            if (m_isListConfirmed && std::holds_alternative<serving::ConfirmEndpoints>(effect)) {
                collectEffects(serving::EndpointsConfirmed{m_now});
                continue;
            }
            if (m_isHistoryRead && std::holds_alternative<serving::ReadFormerEndpoints>(effect)) {
                collectEffects(m_history);
                continue;
            }
            if (!std::holds_alternative<LogLine>(effect) && !std::holds_alternative<Observe>(effect)
                && !std::holds_alternative<serving::SendHeartbeat>(effect)) {
                m_effects.push_back(std::move(effect));
            }
        }
    }

    [[nodiscard]] static serving::Route route(const std::string &name, const std::string &prefix,
                                              serving::RouteKind kind, const std::string &pool)
    {
        serving::Route out;
        out.name = name;
        out.host = "example";
        out.pathPrefix = prefix;
        out.kind = kind;
        out.timeout = std::chrono::seconds{3};
        out.objective = std::chrono::seconds{1};
        out.pools = {{PoolName{pool}, 1}};
        return out;
    }

    [[nodiscard]] static serving::ServingOptions options(std::vector<std::string> seeds)
    {
        serving::ServingOptions out;
        out.seeds = std::move(seeds);
        out.self = {InstanceName{"entry-1"}, "10.0.0.9:1"};
        return out;
    }

    TimePoint m_now{std::chrono::seconds{100}};
    serving::ServingReducer m_reducer;
    serving::Effects m_effects;
    bool m_isListConfirmed{true};
    bool m_isHistoryRead{true};
    serving::FormerEndpointsRead m_history{serving::EndpointList{}, false};
};

} // namespace bergamottide::test
