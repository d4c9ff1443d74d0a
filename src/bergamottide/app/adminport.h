#pragma once

#include "bergamottide/net/httpserver.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamottide {

/*! @brief What the admin port asks of its process. */
struct AdminHooks
{
    /*! @brief Tells if callers or peers may be sent here. */
    std::function<bool()> ready;
    /*! @brief Writes the state of the process as JSON. */
    std::function<std::string()> status;
    /*! @brief Writes the metrics in the text format of Prometheus. */
    std::function<std::string()> metrics;
    /*! @brief Writes the audit trail after a position as lines of JSON. */
    std::function<std::string(std::uint64_t after)> audit;
    /*! @brief Starts a graceful shutdown. */
    std::function<void(std::string cause)> drain;
};

/**
 * @brief Port of the operators: health, metrics, status, audit trail, drain, validation and the console.
 *
 * Health is open to the platform's balancer, everything else asks for the port's own key.
 */
class AdminPort
{
public:
    /**
     * @brief Creates a port.
     * @param keyDigest Lower case hexadecimal SHA-256 digest of the port's key.
     * @param hooks What the port asks of its process.
     */
    AdminPort(std::string keyDigest, AdminHooks hooks);

    /**
     * @brief Handles one HTTP request.
     * @param request Request.
     * @param responder Way to answer.
     */
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    [[nodiscard]] bool authorized(const HttpRequest &request) const;
    void route(const HttpRequest &request, HttpResponder &responder);

    std::string m_keyDigest;
    AdminHooks m_hooks;
};

} // namespace bergamottide
