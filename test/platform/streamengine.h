#pragma once

#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "platform/fakes.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace bergamottide::test {

/*! @brief Fake model engine whose events name its software version, and which keeps the prompts of its runs. */
class StreamEngine
{
public:
    StreamEngine(Loop &loop, std::string version);

    /**
     * @brief Returns its entry in the store.
     * @param state State in the platform's words.
     */
    [[nodiscard]] std::string entry(const std::string &state) const;

    /*! @brief Sets the number of runs that it reports beside its own. */
    void setOtherRuns(std::size_t runs);

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void sendEvent(const std::shared_ptr<HttpResponder> &responder, const std::shared_ptr<bool> &isClosed, int number);

    Loop &m_loop;
    std::string m_version;
    /*! @brief Last parts of the prompts that it has run. */
    std::set<std::string> m_parts;
    std::size_t m_running{};
    std::size_t m_otherRuns{};
    HttpServer m_server;
};

/*!
 * @brief Publishes a configuration with one resumable streaming route before a pool of model engines.
 * @param store Store.
 * @param limit Time limit of the route.
 */
void publishChat(FakeStore &store, std::chrono::milliseconds limit = std::chrono::seconds{30});

/**
 * @brief Returns a request on the route of publishChat().
 * @param attempt Identity of the attempt.
 * @param prompt Parts of the prompt, `ID:TOKENS`, separated by commas.
 * @param deadline Time for which the caller waits.
 */
[[nodiscard]] HttpRequest chatRequest(const std::string &attempt, const std::string &prompt,
                                      std::chrono::milliseconds deadline = std::chrono::seconds{30});

/*! @brief Makes a request resume the stream that an attempt began, after an event. */
void resumeAfter(HttpRequest &request, const std::string &firstAttempt, std::size_t event);

} // namespace bergamottide::test
