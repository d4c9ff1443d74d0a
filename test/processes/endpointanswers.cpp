#include "platform/fakes.h"
#include "processes/platformprocesses.h"
#include "support/rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <utility>

using namespace bergamottide;
using namespace bergamottide::test;

/*! @brief A real process whose endpoint sends unusual answers. */
class EndpointAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointAnswersTest);
    CPPUNIT_TEST(processOutlivesCodingsHoweverTheyAreSpelled);
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
            std::optional<HttpResponse> answer;
            HttpCallHooks hooks;
            hooks.done = [&answer](HttpResponse received) {
                answer = std::move(received);
            };
            hooks.failed = [](HttpFailure) {
            };
            m_client.call(processes.callers(0), shopRequest(1, {}), std::move(hooks), Connection::Fresh);
            processes.runUntil([&] { return answer || !processes.isRunning(0); });
            CPPUNIT_ASSERT_MESSAGE(coding, processes.isRunning(0));
        }
    }

private:
    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_store{m_loop};
    HttpClient m_client{m_loop, HttpClientOptions{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointAnswersTest);
