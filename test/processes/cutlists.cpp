#include "platform/fakes.h"
#include "processes/platformprocesses.h"
#include "support/drawnanswers.h"
#include "support/endedcall.h"
#include "support/rawserver.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

using namespace bergamottide;
using namespace bergamottide::test;

/*! @brief Real processes whose store cuts most of its answers off. */
class CutListsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutListsTest);
    CPPUNIT_TEST(processesKeepTheirEndpoints);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a process that loses endpoints, or ends, over a cut list or change. */
    void processesKeepTheirEndpoints()
    {
        publishShop(m_origin, m_endpoint.address());
        m_page = readPage();
        PlatformProcesses processes{m_loop, m_store.address(), 2};
        processes.start();
        m_isCutting = true;
        for (std::uint64_t attempt = 1; m_answers.cutCount() < cuts; ++attempt) {
            const std::size_t process = attempt % processes.count();
            EndedCall ended;
            m_client.call(processes.callers(process), shopRequest(attempt, {}), recordingHooks(ended),
                          Connection::Fresh);
            processes.runUntil([&ended] { return ended.answer || ended.failure; });
            CPPUNIT_ASSERT(processes.isRunning(process));
            CPPUNIT_ASSERT(ended.answer);
            CPPUNIT_ASSERT_EQUAL(200, ended.answer->status);
            runFor(m_loop, requestPeriod);
        }
    }

private:
    static constexpr std::size_t cuts = 24;
    static constexpr Duration requestPeriod = std::chrono::milliseconds{10};
    /*! @brief Returns a page of the store's items, which serves as a list and as a change. */
    std::string readPage()
    {
        EndedCall ended;
        m_client.call(m_origin.address(), listRequest(), recordingHooks(ended));
        CPPUNIT_ASSERT(runUntil(m_loop, [&ended] { return ended.answer || ended.failure; }));
        CPPUNIT_ASSERT(ended.answer);
        return ended.answer->body;
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_origin{m_loop};
    FakePlatformEndpoint m_endpoint{m_loop, "desk-1"};
    HttpClient m_client{m_loop, HttpClientOptions{}};
    CutAnswers m_answers;
    std::atomic<bool> m_isCutting{};
    std::string m_page;
    RawServer m_store{[this] {
        return m_isCutting ? m_answers.next(m_page) : RawScript{"HTTP/1.1 200 OK\r\n\r\n" + m_page, {}, 0};
    }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutListsTest);
