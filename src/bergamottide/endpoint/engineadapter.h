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
 * @brief Adapter of model engines, which stream tokens as server-sent events over HTTP.
 *
 * A stream that breaks after the response has begun is resumed at the next missing token on
 * a new connection. A resumption never starts a new run, so it is safe for at-most-once
 * runs.
 */
class EngineAdapter final : public EndpointAdapter
{
public:
    /**
     * @brief Creates an adapter.
     * @param loop Event loop; must outlive the adapter.
     * @param settings Address and limits of the endpoint.
     * @param hooks Callbacks for the events of the endpoint.
     */
    EngineAdapter(Loop &loop, const EndpointSettings &settings, EndpointHooks hooks);

    void start(const StartEndpointRun &start) override;
    void cancel(const RunId &run) override;
    void sendOrder(const SendOrder &order) override;
    void requestLoad() override;

private:
    struct Run;

    void sendRequest(const std::shared_ptr<Run> &run);
    void handleBytes(const std::shared_ptr<Run> &run, std::string_view bytes);
    void handleEvent(Run &run, const ServerSentEvent &event);
    void handleTokens(Run &run, const TokenEvent &event);
    void handleResponseEnd(const std::shared_ptr<Run> &run);
    void handleFailure(const std::shared_ptr<Run> &run, HttpFailure failure);
    void resumeOrFail(const std::shared_ptr<Run> &run, Reason reason);
    void finish(const RunId &run, EndpointResult result, Reason reason);

    EndpointSettings m_settings;
    EndpointHooks m_hooks;
    HttpClient m_client;
    HttpClient m_atMostOnceClient;
    HttpClient m_controlClient;
    /*! @brief Pending load request; empty if there is none. */
    HttpCallId m_loadCall{};
    std::unordered_map<RunId, std::shared_ptr<Run>> m_runs;
};

} // namespace bergamottide
