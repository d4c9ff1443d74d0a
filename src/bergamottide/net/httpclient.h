#pragma once

#include "bergamottide/core/enumnames.h"
#include "bergamottide/net/http.h"
#include "bergamottide/net/loop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief Identity of a call in progress; zero is none. */
enum class HttpCallId : std::uint64_t
{
};

/*! @brief Settings of a client. */
struct HttpClientOptions
{
    /*! @brief Silence after which a call is given up. */
    Duration ioTimeout{std::chrono::seconds{30}};
    /*! @brief Longest wait for a new connection; zero for that of `ioTimeout`. */
    Duration connectTimeout{};
    /*! @brief Time after which a connection whose bytes are not acknowledged is broken; zero for the kernel's own. */
    Duration unacknowledgedTimeout{};
    /*! @brief Largest body of an answer read, in bytes. */
    std::size_t maxBodyBytes{8u << 20};
    /*! @brief Largest body of an answer that is collected for `HttpCallHooks::done`, in bytes, if below `maxBodyBytes`.
     */
    std::size_t maxCollectedBytes{std::numeric_limits<std::size_t>::max()};
    /*! @brief Largest sum of what is collected for all calls in progress, in bytes; a call beyond it fails. */
    std::size_t maxCollectedSum{std::numeric_limits<std::size_t>::max()};
    /*! @brief Largest sum of header bytes read. */
    std::size_t maxHeadBytes{32u << 10};
    /*! @brief Idle connections kept for each address. */
    std::size_t idleConnections{64};
    /*! @brief Verify the server by these certificates; empty for plain text. */
    std::string authority;
    /*! @brief Optional: told of the bytes of requests and answers. */
    TrafficHook onTraffic;
};

/*! @brief Which connection a call uses. */
enum class Connection : std::uint8_t
{
    /*! @brief A kept one if there is one; it may turn out to be dead. */
    Pooled,
    /*! @brief A new one, for a call that must not be sent in vain. */
    Fresh
};

template <>
struct EnumNames<Connection>
{
    static constexpr std::array<std::string_view, 2> names{"kept", "fresh"};
};

/*! @brief Why a call failed before its answer was whole. */
enum class HttpFailure : std::uint8_t
{
    /*! @brief The connection was refused or could not be made: nothing was sent. */
    Connect,
    /*! @brief No connection in time: nothing was sent. */
    ConnectTimeout,
    /*! @brief The connection broke or fell silent after the request may have been sent. */
    Broken,
    /*! @brief The answer exceeds a limit. */
    TooLarge,
    /*! @brief The answer is not HTTP. */
    Malformed
};

template <>
struct EnumNames<HttpFailure>
{
    static constexpr std::array<std::string_view, 5> names{"connect", "connect_timeout", "broken", "too_large",
                                                           "malformed"};
};

/*! @brief Hooks of one call; exactly one of `done` and `failed` is called, last, unless the call is cancelled. */
struct HttpCallHooks
{
    /*! @brief Optional: status and headers have come. */
    std::function<void(int status, const HttpHeaders &headers)> head;
    /*! @brief Optional: a piece of the body has come; without it the body is collected. */
    std::function<void(std::string_view piece)> piece;
    /*! @brief The answer is whole; its body is empty if `piece` is set. */
    std::function<void(HttpResponse answer)> done;
    std::function<void(HttpFailure failure)> failed;
};

/*! @brief HTTP/1.1 client on h2o with kept connections. */
class HttpClient
{
public:
    /**
     * @brief Creates a client.
     * @param loop Loop it runs on; outlives the client.
     * @param options Settings.
     */
    HttpClient(Loop &loop, HttpClientOptions options);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /**
     * @brief Starts a call.
     * @param address IP number and port, `ip:port`.
     * @param request Request to send; `query` is appended to `path`.
     * @param hooks Called on the loop's thread, never from within `call`.
     * @param connection Which connection to use.
     * @return Identity for `cancel`.
     */
    HttpCallId call(const std::string &address, HttpRequest request, HttpCallHooks hooks,
                    Connection connection = Connection::Pooled);

    /**
     * @brief Closes the connection of a call; none of its hooks is called afterwards.
     * @param call Identity from `call`; one that has ended is ignored.
     */
    void cancel(HttpCallId call);

    /*! @brief Returns the number of calls in progress. */
    [[nodiscard]] std::size_t inProgress() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bergamottide
