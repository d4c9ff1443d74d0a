#pragma once

#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "platform/fakes.h"

#include <cstddef>
#include <memory>
#include <string>

namespace bergamottide::test {

/*! @brief Fake endpoint whose answers are small, large (`/order/large`), late (`/order/late`) or streams (`/events/`).
 */
class CrowdEndpoint
{
public:
    /*! @brief Size of a large answer, in bytes. */
    static constexpr std::size_t largeBytes = 2U << 20U;

    explicit CrowdEndpoint(Loop &loop);

    [[nodiscard]] std::string address() const;

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

    Loop &m_loop;
    HttpServer m_server;
};

/**
 * @brief Publishes a configuration with the routes of a CrowdEndpoint, and the endpoint.
 * @param store Store.
 * @param endpoint Address of the endpoint.
 * @param maxBodyBytes Largest body of a request.
 */
void publishCrowdRoutes(FakeStore &store, const std::string &endpoint, std::size_t maxBodyBytes);

/*! @brief Returns the fields of a request on these routes, by the number of its caller. */
[[nodiscard]] HttpHeaders crowdFields(std::size_t number);

/**
 * @brief Returns the head of a request on these routes.
 * @param method Method.
 * @param path Path.
 * @param number Number of the caller.
 * @param lines Further lines, each with its end.
 */
[[nodiscard]] std::string crowdHead(const std::string &method, const std::string &path, std::size_t number,
                                    const std::string &lines = {});

} // namespace bergamottide::test
