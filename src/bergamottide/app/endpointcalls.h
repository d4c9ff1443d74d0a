#pragma once

#include "bergamottide/core/enumnames.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/telemetry/logline.h"
#include "bergamottide/telemetry/metric.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief What the headers of an answer say of the call that it belongs to. */
enum class AnswerIdentity : std::uint8_t
{
    /*! @brief It repeats the identity of the call. */
    Same,
    Missing,
    /*! @brief It has the identity of another call or request. */
    Other
};

template <>
struct EnumNames<AnswerIdentity>
{
    static constexpr std::array<std::string_view, 3> names{"same", "missing", "other"};
};

/*! @brief Formats and sinks of `EndpointCalls`. */
struct EndpointCallsHooks
{
    /*! @brief Adds an identity to a request. */
    std::function<void(HttpRequest &request, const std::string &identity)> addIdentity;
    std::function<AnswerIdentity(const std::string &identity, const HttpHeaders &headers)> checkIdentity;
    std::function<void(const LogLine &line)> log;
    std::function<void(const Observe &observation)> observe;
};

/**
 * @brief Calls of this process to endpoints, as opposed to requests of callers.
 *
 * An endpoint may send an answer a second time, when the next one is expected on the connection. Each call therefore
 * has an identity. An endpoint that repeats it in its answers is called on kept connections, and answers without it end
 * the call as broken. Any other endpoint gets a new connection for each call, on which no other answer can arrive.
 */
class EndpointCalls
{
public:
    /**
     * @brief Creates an instance without calls.
     * @param client Client of the calls; must outlive this object.
     * @param incarnation Number that identifies this start of the process.
     * @param hooks All are required.
     */
    EndpointCalls(HttpClient &client, Incarnation incarnation, EndpointCallsHooks hooks);

    /**
     * @brief Starts a call.
     * @param instance Endpoint.
     * @param address Its IP address and port.
     * @param request Request without an identity.
     * @param hooks Called as those of `HttpClient::call`; none is called for an answer to another call.
     * @return Identity for `HttpClient::cancel`.
     */
    HttpCallId call(const InstanceName &instance, const std::string &address, HttpRequest request, HttpCallHooks hooks);

private:
    /*! @brief Whether an endpoint repeats identities. */
    enum class Practice : std::uint8_t
    {
        Repeats,
        Omits
    };

    [[nodiscard]] bool acceptsAnswer(const InstanceName &instance, AnswerIdentity identity, Connection connection);
    void recordForeignAnswer(const InstanceName &instance, AnswerIdentity identity);

    HttpClient &m_client;
    EndpointCallsHooks m_hooks;
    std::uint64_t m_nextIdentity;
    std::map<InstanceName, Practice> m_practices;
};

} // namespace bergamottide
