#include "platform/fakes.h"
#include "processes/platformprocesses.h"
#include "support/drawnanswers.h"
#include "support/rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <utility>

using namespace bergamottide;
using namespace bergamottide::test;

/*! @brief A real process whose endpoint sends unusual answers. */
class EndpointAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointAnswersTest);
    CPPUNIT_TEST(processOutlivesCodingsHoweverTheyAreSpelled);
    CPPUNIT_TEST(processOutlivesDrawnAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a process that ends over an answer whose coding is spelled in capitals (review/1). */
    void processOutlivesCodingsHoweverTheyAreSpelled()
    {
        for (const std::string coding : {"Chunked", "CHUNKED", "chunked ", "Identity", "unknown"}) {
            RawServer endpoint{{rawShopAnswer(coding), {}, 0}};
            publishShop(m_store, endpoint.address());
            PlatformProcesses processes{m_loop, m_store.address(), 1};
            processes.start();
            static_cast<void>(sendRequest(processes, 1, Failures::AreNoEnd));
            CPPUNIT_ASSERT_MESSAGE(coding, processes.isRunning(0));
        }
    }

    /*! @brief Guards against a process that ends over an answer that no test has listed, or reads one without end. */
    void processOutlivesDrawnAnswers()
    {
        constexpr std::uint64_t requests = 300;
        std::mt19937 random{seed()};
        RawServer endpoint{[&random] {
            return drawScript(random);
        }};
        publishShop(m_store, endpoint.address());
        PlatformProcesses processes{m_loop, m_store.address(), 1};
        processes.start();
        // A process that has ended refuses the next connection at the latest.
        for (std::uint64_t request = 1; request <= requests + 1; ++request) {
            const Outcome outcome = sendRequest(processes, request, Failures::AreEnds);
            const std::string draw = "seed " + std::to_string(seed()) + ", request " + std::to_string(request);
            CPPUNIT_ASSERT_MESSAGE(draw, processes.isRunning(0));
            CPPUNIT_ASSERT_MESSAGE(draw, outcome.isAnswered || outcome.failure != HttpFailure::Connect);
        }
    }

private:
    /*! @brief Whether a connection that breaks ends a request. */
    enum class Failures : std::uint8_t
    {
        AreNoEnd,
        AreEnds
    };

    struct Outcome
    {
        bool isAnswered{};
        std::optional<HttpFailure> failure;
    };

    /*! @brief Returns the seed of the draws; BERGAMOTTIDE_SEED replaces that of CI. */
    static std::uint32_t seed()
    {
        const char *text = std::getenv("BERGAMOTTIDE_SEED");
        return text == nullptr ? 1 : static_cast<std::uint32_t>(std::stoul(text));
    }

    /*! @brief Sends a request and waits until it or the process ends. */
    Outcome sendRequest(PlatformProcesses &processes, std::uint64_t attempt, Failures failures)
    {
        Outcome outcome;
        HttpCallHooks hooks;
        hooks.done = [&outcome](const HttpResponse &) {
            outcome.isAnswered = true;
        };
        hooks.failed = [&outcome](HttpFailure failure) {
            outcome.failure = failure;
        };
        const HttpCallId call =
            m_client.call(processes.callers(0), shopRequest(attempt, {}), std::move(hooks), Connection::Fresh);
        processes.runUntil([&] {
            const bool hasFailed = failures == Failures::AreEnds && outcome.failure;
            return outcome.isAnswered || hasFailed || !processes.isRunning(0);
        });
        m_client.cancel(call);
        return outcome;
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_store{m_loop};
    HttpClient m_client{m_loop, HttpClientOptions{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointAnswersTest);
