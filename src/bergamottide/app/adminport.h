#pragma once

#include "bergamottide/net/httpserver.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamottide {

/*! @brief Callbacks through which the admin port reaches its process. */
struct AdminHooks
{
    /*! @brief Returns whether the process accepts work, for the readiness probe. */
    std::function<bool()> ready;
    /*! @brief Returns the state of the process as JSON. */
    std::function<std::string()> status;
    /*! @brief Returns the metrics in the Prometheus text format. */
    std::function<std::string()> metrics;
    /*! @brief Returns the audit records after a position as JSON lines. */
    std::function<std::string(std::uint64_t after)> audit;
    /*! @brief Starts a graceful shutdown. */
    std::function<void(std::string cause)> drain;
};

/**
 * @brief Operators' HTTP interface: health, metrics, status, audit trail, drain, validation and the console.
 *
 * The health endpoints and the console page need no key; everything else needs the admin key.
 */
class AdminPort
{
public:
    /**
     * @brief Creates a port.
     * @param keyDigest SHA-256 digest of the admin key in lower case hexadecimal.
     * @param hooks Callbacks into the process.
     */
    AdminPort(std::string keyDigest, AdminHooks hooks);

    /**
     * @brief Handles one HTTP request.
     * @param request Request.
     * @param responder Sends the response.
     */
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    [[nodiscard]] bool isAuthorized(const HttpRequest &request) const;
    void route(const HttpRequest &request, HttpResponder &responder);

    std::string m_keyDigest;
    AdminHooks m_hooks;
};

} // namespace bergamottide
