#pragma once

#include "bergamottide/net/http.h"
#include "platform/fakes.h"
#include "support/repeatingserver.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bergamottide::test {

/*! @brief How an endpoint names the request that it answers. */
enum class Identities : std::uint8_t
{
    /*! @brief Each answer repeats the identity of its request, if that has one. */
    Repeated,
    /*! @brief Only answers to requests of callers do, and no refusal. */
    OfCallersOnly
};

/*! @brief Which answers of an endpoint are repeated. */
enum class RepeatedPaths : std::uint8_t
{
    All,
    StageCalls
};

/*! @brief An endpoint that runs stage calls and requests of callers, and records the requests. */
class CallEndpoint
{
public:
    /**
     * @brief Starts an endpoint.
     * @param repetition When answers are repeated.
     * @param paths Which answers are repeated.
     * @param identities How answers name their request.
     * @param refusesStageCalls Whether some stage calls are refused.
     */
    CallEndpoint(Repetition repetition, RepeatedPaths paths, Identities identities, bool refusesStageCalls);

    [[nodiscard]] const RepeatingServer &server() const noexcept;

    /*! @brief Returns the handles that each request ran with, by attempt; several entries if it ran more than once. */
    [[nodiscard]] std::map<std::string, std::vector<std::string>> runs();

    /*! @brief Returns whether the handles with which a request ran were made for it; true if it has none. */
    [[nodiscard]] static bool isOwnInput(const std::string &attempt, const std::string &inputs);

private:
    [[nodiscard]] HttpResponse answer(const HttpRequest &request);
    [[nodiscard]] HttpResponse answerCall(const HttpRequest &request);

    Identities m_identities;
    bool m_refusesStageCalls;
    std::size_t m_calls{};
    std::size_t m_results{};
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::string>> m_runs;
    RepeatingServer m_server;
};

/*!
 * @brief Publishes the route of stagedShopRequest() and that of plainShopRequest(), which must not run twice, before
 * the service of publishShop().
 * @param store Store.
 * @param stageService Service of the stage; may be the same one.
 */
void publishStagedAndPlainShop(FakeStore &store, const std::string &stageService);

/*! @brief Publishes an endpoint of a service of its own for stages, `cut`. */
void publishStageEndpoint(FakeStore &store, const std::string &address);

/*! @brief Returns a request on the route of publishStagedAndPlainShop() without a stage. */
[[nodiscard]] HttpRequest plainShopRequest(std::uint64_t attempt);

} // namespace bergamottide::test
