#pragma once

#include "bergamottide/endpoint/endpointadapter.h"
#include "bergamottide/net/httpclient.h"

#include <functional>
#include <unordered_map>

namespace bergamottide {

/**
 * @brief Adapter of endpoints that answer each run with one complete HTTP response.
 *
 * Used for stage endpoints (encoder, retriever, reranker) and plain services. Such an
 * endpoint accepts no orders and reports no load.
 */
class UnaryAdapter final : public EndpointAdapter
{
public:
    /*! @brief Creates the HTTP request of a run. */
    using MakeRequest = std::function<HttpRequest(const StartEndpointRun &start)>;

    /**
     * @brief Creates an adapter.
     * @param loop Event loop; must outlive the adapter.
     * @param settings Address and limits of the endpoint.
     * @param makeRequest Creates the requests in the wire format of the endpoint.
     * @param hooks Callbacks for the events of the endpoint.
     */
    UnaryAdapter(Loop &loop, const EndpointSettings &settings, MakeRequest makeRequest, EndpointHooks hooks);

    void start(const StartEndpointRun &start) override;
    void cancel(const RunId &run) override;
    void sendOrder(const SendOrder &order) override;
    void requestLoad() override;

private:
    struct Call
    {
        HttpClient *client{};
        HttpCallId id{};
    };

    void handleResponse(const RunId &run, HttpResponse answer);
    void finish(const RunId &run, EndpointResult result, Reason reason);

    Loop &m_loop;
    std::string m_address;
    MakeRequest m_makeRequest;
    EndpointHooks m_hooks;
    HttpClient m_client;
    HttpClient m_atMostOnceClient;
    std::unordered_map<RunId, Call> m_calls;
    /*! @brief Lets tasks posted to the loop detect that the adapter was destroyed. */
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

/**
 * @brief Returns the HTTP client options for repeatable runs.
 * @param settings Limits of the endpoint.
 */
[[nodiscard]] HttpClientOptions repeatableClientOptions(const EndpointSettings &settings);

/**
 * @brief Returns the HTTP client options for at-most-once runs.
 *
 * Connections are not reused: an endpoint may close an idle connection while the request is
 * written to it, and it would then be unknown whether the run has started.
 *
 * @param settings Limits of the endpoint.
 */
[[nodiscard]] HttpClientOptions atMostOnceClientOptions(const EndpointSettings &settings);

} // namespace bergamottide
