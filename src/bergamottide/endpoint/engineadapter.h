#pragma once

#include "bergamottide/endpoint/endpointadapter.h"
#include "bergamottide/endpoint/endpointwire.h"
#include "bergamottide/endpoint/sseparser.h"
#include "bergamottide/net/httpclient.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace bergamottide {

/**
 * @brief Model engine: HTTP with server-sent events.
 *
 * A stream that breaks off after the engine has begun is taken up again at the token
 * reached, on a new connection. The engine goes on with the run that it still holds; it
 * starts none, so this is safe for runs that must not be repeated.
 */
class EngineAdapter final : public EndpointAdapter
{
public:
    /**
     * @brief Creates an adapter.
     * @param loop Loop it runs on; outlives the adapter.
     * @param settings Address and limits.
     * @param hooks Called for each event.
     */
    EngineAdapter(Loop &loop, const EndpointSettings &settings, EndpointHooks hooks);

    void start(const EndpointStart &start) override;
    void cancel(const RunId &run) override;
    void order(const GiveOrder &order) override;
    void poll() override;

private:
    struct Run;

    void call(const std::shared_ptr<Run> &run);
    void took(const std::shared_ptr<Run> &run, std::string_view bytes);
    void takeEvent(Run &run, const ServerSentEvent &event);
    void takeTokens(Run &run, const EngineEvent &event);
    void ended(const std::shared_ptr<Run> &run);
    void broke(const std::shared_ptr<Run> &run, HttpFailure failure);
    void resumeOrFail(const std::shared_ptr<Run> &run, Reason reason);
    void finish(const RunId &run, EndpointResult result, Reason reason);

    EndpointSettings m_settings;
    EndpointHooks m_hooks;
    HttpClient m_client;
    HttpClient m_onceClient;
    HttpClient m_controlClient;
    HttpCallId m_poll{};
    std::unordered_map<RunId, std::shared_ptr<Run>> m_runs;
};

} // namespace bergamottide
