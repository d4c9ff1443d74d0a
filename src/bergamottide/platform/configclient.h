#pragma once

#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/loop.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <string>

namespace bergamottide {

/*! @brief Callbacks of the configuration client; exactly one of them is called for each read. */
struct ConfigClientHooks
{
    /*! @brief The service has a newer document; its text is not validated yet. */
    std::function<void(std::string text)> document;
    /*! @brief The service has no newer document. */
    std::function<void()> unchanged;
    /*! @brief The read failed, or the document does not match its digest. */
    std::function<void(const absl::Status &error)> failed;
};

/*! @brief Counters of a client since its start. */
struct ConfigClientCounts
{
    std::uint64_t reads{};
    std::uint64_t documents{};
    std::uint64_t errors{};
    std::uint64_t bytes{};
};

/**
 * @brief Client of the configuration service: `GET /v1/config?after=VERSION&wait_ms=0`.
 *
 * The service responds with 200, the YAML text and its digest in `X-Digest`, or with 304.
 * `ConfigDistribution` decides when to read and whether a document is applied.
 */
class ConfigClient
{
public:
    /**
     * @brief Creates a client.
     * @param loop Event loop; must outlive the client.
     * @param address IP address and port of the service, `ip:port`.
     * @param hooks Callbacks.
     */
    ConfigClient(Loop &loop, std::string address, ConfigClientHooks hooks);
    ConfigClient(const ConfigClient &) = delete;
    ConfigClient &operator=(const ConfigClient &) = delete;
    ~ConfigClient();

    /**
     * @brief Starts one read; cancels a read in progress without calling the hooks for it.
     * @param after Current version; only a newer document is returned.
     */
    void read(std::uint64_t after);

    /*! @brief Returns the counters since the start. */
    [[nodiscard]] const ConfigClientCounts &counts() const noexcept;

private:
    void handleResponse(HttpResponse answer);
    void handleFailure(const absl::Status &error);

    std::string m_address;
    ConfigClientHooks m_hooks;
    HttpClient m_client;
    HttpCallId m_call{};
    ConfigClientCounts m_counts;
};

} // namespace bergamottide
