#include "platform/fakes.h"
#include "processes/platformprocesses.h"
#include "support/endedcall.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::test;

/*! @brief Real processes whose store holds entries of other writers under names that no endpoint has. */
class OddEntriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OddEntriesTest);
    CPPUNIT_TEST(processesStartBesideNamesThatQueriesCannotHold);
    CPPUNIT_TEST(processesStartBesideAKeyThatIsNoText);
    CPPUNIT_TEST(processesServeWhileEntriesComeAndGo);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        publishShop(m_store, m_endpoint.address());
        for (const std::string name : {"desk-0", "desk-2", "desk-3"}) {
            m_store.publish("servers/" + name, "another writer's");
        }
    }

    /*! @brief Replays an incident: all processes were restarted beside such an entry, and none became ready. */
    void processesStartBesideNamesThatQueriesCannotHold()
    {
        for (const std::size_t pageSize : {1, 3}) {
            m_store.setPageSize(pageSize);
            for (const std::string &name : names()) {
                m_store.publish("servers/desk-1" + name, "another writer's");
            }
            restartAndServe();
        }
    }

    void processesStartBesideAKeyThatIsNoText()
    {
        for (const std::size_t pageSize : {1, 500}) {
            m_store.setPageSize(pageSize);
            m_store.publish("servers/desk-1" + loneSurrogate(), "another writer's");
            m_store.publish("servers/a" + loneSurrogate() + "b", "another writer's");
            restartAndServe();
        }
    }

    void processesServeWhileEntriesComeAndGo()
    {
        m_store.setPageSize(1);
        PlatformProcesses processes{m_loop, m_store.address(), 3};
        processes.start();
        std::vector<std::string> keys = names();
        keys.push_back(loneSurrogate());
        for (const std::string &name : keys) {
            m_store.publish("servers/desk-1" + name, "another writer's");
            serve(processes);
        }
        m_store.cutWatches();
        serve(processes);
        for (const std::string &name : keys) {
            m_store.remove("servers/desk-1" + name);
            serve(processes);
        }
    }

private:
    [[nodiscard]] static std::vector<std::string> names()
    {
        using namespace std::string_literals;
        return {"a&b", "a+b",     "a#b",    "a b",   "a%00b",         "caf\u00e9", "a\r\nX: y", "&",
                "+",   "&after=", " ",      "a%41b", "&allowStale=1", "a?b",       "a/b",       "&pathPrefix=zzz",
                "/",   "#",       "\u65e5", "a\0b"s, "a\n",           "%"};
    }

    void restartAndServe()
    {
        PlatformProcesses processes{m_loop, m_store.address(), 3};
        const std::size_t lists = m_store.listCount();
        processes.start();
        serve(processes);
        // Each process may list twice, since the first list may be stale.
        const std::size_t mostPages = names().size() + 7;
        CPPUNIT_ASSERT(m_store.listCount() - lists <= 2 * processes.count() * mostPages);
    }

    void serve(PlatformProcesses &processes)
    {
        for (std::size_t process = 0; process < processes.count(); ++process) {
            EndedCall ended;
            m_client.call(processes.callers(process), shopRequest(++m_attempts, {}), recordingHooks(ended),
                          Connection::Fresh);
            processes.runUntil([&ended] { return ended.answer || ended.failure; });
            CPPUNIT_ASSERT(ended.answer);
            CPPUNIT_ASSERT_EQUAL(200, ended.answer->status);
        }
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_store{m_loop};
    FakePlatformEndpoint m_endpoint{m_loop, "desk-1"};
    HttpClient m_client{m_loop, HttpClientOptions{}};
    std::uint64_t m_attempts{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);
