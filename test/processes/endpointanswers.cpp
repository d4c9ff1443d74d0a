#include "platform/fakes.h"
#include "processes/platformprocesses.h"
#include "support/drawnanswers.h"
#include "support/endedcall.h"
#include "support/rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <cstdlib>
#include <mutex>
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
    CPPUNIT_TEST(safeRoutePassesOnWholeAnswersOnly);
    CPPUNIT_TEST(unsafeRoutePassesOnWholeAnswersOnly);
    CPPUNIT_TEST(streamingRoutePassesOnWholeAnswersOnly);
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
            const EndedCall outcome = sendRequest(processes, request, Failures::AreEnds);
            const std::string draw = "seed " + std::to_string(seed()) + ", request " + std::to_string(request);
            CPPUNIT_ASSERT_MESSAGE(draw, processes.isRunning(0));
            CPPUNIT_ASSERT_MESSAGE(draw, outcome.answer || outcome.failure != HttpFailure::Connect);
        }
    }

    /*! @brief Guards against a 200 framed as whole for an answer that was cut off. */
    void safeRoutePassesOnWholeAnswersOnly()
    {
        cutAnswers("safe");
    }

    void unsafeRoutePassesOnWholeAnswersOnly()
    {
        cutAnswers("unsafe");
    }

    void streamingRoutePassesOnWholeAnswersOnly()
    {
        cutAnswers("streaming");
    }

private:
    /*! @brief Whether a connection that breaks ends a request. */
    enum class Failures : std::uint8_t
    {
        AreNoEnd,
        AreEnds
    };

    /*! @brief Returns the seed of the draws; BERGAMOTTIDE_SEED replaces that of CI. */
    static std::uint32_t seed()
    {
        const char *text = std::getenv("BERGAMOTTIDE_SEED");
        return text == nullptr ? 1 : static_cast<std::uint32_t>(std::stoul(text));
    }

    /*! @brief Cuts drawn answers of an endpoint, half of them on a connection that another answer has left. */
    void cutAnswers(const std::string &kind)
    {
        constexpr int draws = 150;
        std::mt19937 random{seed()};
        std::mutex mutex;
        RawScript script;
        RawServer endpoint{[&mutex, &script] {
            const std::lock_guard lock{mutex};
            return script;
        }};
        publishShop(m_store, endpoint.address(), kind);
        PlatformProcesses processes{m_loop, m_store.address(), 1};
        processes.start();
        std::uint64_t attempt = 0;
        int wholeAnswers = 0;
        for (int draw = 0; draw < draws; ++draw) {
            const SoundAnswer first = drawKeptAnswer(random, rawShopFields(attempt + 1));
            const bool isKept = random() % 2 == 0;
            const SoundAnswer answer = drawSoundAnswer(random, rawShopFields(attempt + (isKept ? 2 : 1)));
            const std::size_t size = random() % 4 == 0 ? answer.bytes.size() : random() % answer.bytes.size();
            const auto end = random() % 2 == 0 ? ConnectionEnd::Orderly : ConnectionEnd::Reset;
            {
                const std::lock_guard lock{mutex};
                script = {answer.bytes.substr(0, size), {}, 0, isKept ? first.bytes : "", end};
            }
            if (isKept) {
                static_cast<void>(sendRequest(processes, ++attempt, Failures::AreEnds));
            }
            const EndedCall outcome = sendRequest(processes, ++attempt, Failures::AreEnds);
            const std::string text = "seed " + std::to_string(seed()) + ", draw " + std::to_string(draw) + ": "
                + answer.bytes.substr(0, size);
            CPPUNIT_ASSERT_MESSAGE(text, processes.isRunning(0));
            if (outcome.answer && outcome.answer->status / 100 == 2) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, answer.status, outcome.answer->status);
                const std::optional<std::string> body = answer.bodyAfter(size, end);
                CPPUNIT_ASSERT_MESSAGE(text, body);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, *body, outcome.answer->body);
                ++wholeAnswers;
            }
        }
        CPPUNIT_ASSERT(wholeAnswers > 0);
    }

    /*! @brief Sends a request and waits until it or the process ends. */
    EndedCall sendRequest(PlatformProcesses &processes, std::uint64_t attempt, Failures failures)
    {
        EndedCall outcome;
        const HttpCallId call =
            m_client.call(processes.callers(0), shopRequest(attempt, {}), recordingHooks(outcome), Connection::Fresh);
        processes.runUntil([&] {
            const bool hasFailed = failures == Failures::AreEnds && outcome.failure;
            return outcome.answer || hasFailed || !processes.isRunning(0);
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
