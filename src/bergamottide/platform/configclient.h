#pragma once

#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/loop.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <string>

namespace bergamottide {

/*! @brief Hooks of the configuration client; exactly one of them is called for each read. */
struct ConfigClientHooks
{
    /*! @brief The service has a newer document; its text is not judged yet. */
    std::function<void(std::string text)> document;
    /*! @brief The service has nothing newer. */
    std::function<void()> unchanged;
    /*! @brief The read has failed, or its value does not match its digest. */
    std::function<void(const absl::Status &error)> failed;
};

/*! @brief Counts of a client since its start, against the budget of the service. */
struct ConfigClientCounts
{
    std::uint64_t reads{};
    std::uint64_t documents{};
    std::uint64_t errors{};
    std::uint64_t bytes{};
};

/**
 * @brief Reads the configuration service: `GET /v1/config?after=VERSION&wait_ms=0`.
 *
 * The service answers 200 with the YAML text and its digest in `X-Digest`, or 304. This class
 * alone knows that format. When to read is decided by `ConfigDistribution`, and whether a
 * document is put in force as well.
 */
class ConfigClient
{
public:
    /**
     * @brief Creates a client.
     * @param loop Loop it runs on; outlives the client.
     * @param address IP number and port of the service, `ip:port`.
     * @param hooks Called for each read.
     */
    ConfigClient(Loop &loop, std::string address, ConfigClientHooks hooks);
    ConfigClient(const ConfigClient &) = delete;
    ConfigClient &operator=(const ConfigClient &) = delete;
    ~ConfigClient();

    /**
     * @brief Reads once; a read in progress is given up without a call of its hooks.
     * @param after Version in force; only a newer document is wanted.
     */
    void read(std::uint64_t after);

    /*! @brief Returns the counts since the start. */
    [[nodiscard]] const ConfigClientCounts &counts() const noexcept;

private:
    void answered(HttpAnswer answer);
    void failed(const absl::Status &error);

    std::string m_address;
    ConfigClientHooks m_hooks;
    HttpClient m_client;
    HttpCallId m_call{};
    ConfigClientCounts m_counts;
};

} // namespace bergamottide
