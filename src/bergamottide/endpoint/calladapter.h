#pragma once

#include "bergamottide/endpoint/endpointadapter.h"
#include "bergamottide/net/httpclient.h"

#include <functional>
#include <unordered_map>

namespace bergamottide {

/**
 * @brief Endpoint that answers each run with one whole HTTP answer: stage endpoints and plain services.
 *
 * It takes no orders and reports no load; its side judges it by the runs alone.
 */
class CallAdapter final : public EndpointAdapter
{
public:
    /*! @brief Makes the HTTP request of a run. */
    using MakeRequest = std::function<HttpRequest(const EndpointStart &start)>;

    /**
     * @brief Creates an adapter.
     * @param loop Loop it runs on; outlives the adapter.
     * @param settings Address and limits.
     * @param makeRequest Wire format of this kind of endpoint.
     * @param hooks Called for each event.
     */
    CallAdapter(Loop &loop, const EndpointSettings &settings, MakeRequest makeRequest, EndpointHooks hooks);

    void start(const EndpointStart &start) override;
    void cancel(const RunId &run) override;
    void order(const GiveOrder &order) override;
    void poll() override;

private:
    struct Call
    {
        HttpClient *client{};
        HttpCallId id{};
    };

    void answered(const RunId &run, HttpAnswer answer);
    void finish(const RunId &run, EndpointResult result, Reason reason);

    Loop &m_loop;
    std::string m_address;
    MakeRequest m_makeRequest;
    EndpointHooks m_hooks;
    HttpClient m_client;
    HttpClient m_onceClient;
    std::unordered_map<RunId, Call> m_calls;
    /*! @brief Tells tasks handed to the loop that the adapter still lives. */
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

/**
 * @brief Returns the options of the client for runs that may be repeated.
 * @param settings Limits of the endpoint.
 */
[[nodiscard]] HttpClientOptions repeatableClientOptions(const EndpointSettings &settings);

/**
 * @brief Returns the options of the client for runs that must not be repeated.
 *
 * Such a run always gets a new connection. An endpoint may close a kept connection just as
 * the run is written to it; nobody could then tell whether it began, and the caller would
 * be told `unknown` for a run that never happened.
 *
 * @param settings Limits of the endpoint.
 */
[[nodiscard]] HttpClientOptions onceClientOptions(const EndpointSettings &settings);

} // namespace bergamottide
