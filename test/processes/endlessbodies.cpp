#include "platform/fakes.h"
#include "processes/platformprocesses.h"
#include "support/endedcall.h"
#include "support/rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::test;

namespace {

/*! @brief Address space of the process: that of a machine with 260 MB. */
constexpr std::size_t addressSpaceKiB = std::size_t{260} * 1024;
/*! @brief Largest resident memory of the process at any time, in KiB. */
constexpr std::size_t maxResidentKiB = std::size_t{200} * 1024;

} // namespace

/*! @brief A real process with little address space whose endpoints send bytes without end. */
class EndlessBodiesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessBodiesTest);
    CPPUNIT_TEST(bodiesWithoutLengthAreBounded);
    CPPUNIT_TEST(chunkedBodiesAreBounded);
    CPPUNIT_TEST(headsAreBounded);
    CPPUNIT_TEST(interimAnswersAreBounded);
    CPPUNIT_TEST(stageResponsesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void bodiesWithoutLengthAreBounded()
    {
        boundMemory({head() + "\r\n", std::string(65536, 'x'), times});
    }

    void chunkedBodiesAreBounded()
    {
        boundMemory(
            {head() + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + std::string(65536, 'x') + "\r\n", times});
    }

    void headsAreBounded()
    {
        boundMemory({head(), "X-Field: " + std::string(65536, 'x') + "\r\n", times});
    }

    void interimAnswersAreBounded()
    {
        boundMemory({{}, "HTTP/1.1 102 Processing\r\n\r\n", times});
    }

    /*! @brief They are collected before they are read, and no caller is charged for them. */
    void stageResponsesAreBounded()
    {
        std::vector<std::unique_ptr<RawServer>> servers;
        std::vector<std::string> addresses;
        for (std::size_t endpoint = 0; endpoint < endpoints; ++endpoint) {
            servers.push_back(
                std::make_unique<RawServer>(RawScript{"HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x'), times}));
            addresses.push_back(servers.back()->address());
        }
        FakeStore store{m_loop};
        publishStagedShop(store, addresses);
        checkMemory(store, stagedShopRequest(1));
        CPPUNIT_ASSERT(std::ranges::count_if(servers, [](const auto &server) { return server->sent() != 0; })
                       > static_cast<std::ptrdiff_t>(endpoints / 2));
    }

private:
    static constexpr std::size_t endpoints = 60;
    static constexpr std::size_t times = 1'000'000;

    /*! @brief Returns a head that all requests have in common, so that a server need not read them. */
    static std::string head()
    {
        return "HTTP/1.1 200 OK\r\n" + rawShopFields(1);
    }

    /*! @brief Checks that the process outlives as many answers at a time as there are endpoints, each twice. */
    void boundMemory(const RawScript &script)
    {
        std::vector<std::unique_ptr<RawServer>> servers;
        for (std::size_t endpoint = 0; endpoint < endpoints; ++endpoint) {
            servers.push_back(std::make_unique<RawServer>(script));
        }
        FakeStore store{m_loop};
        publishShop(store, servers.front()->address());
        for (std::size_t endpoint = 1; endpoint < endpoints; ++endpoint) {
            publishShopEndpoint(store, absl::StrCat("desk-", endpoint + 1), servers[endpoint]->address());
        }
        checkMemory(store, shopRequest(1, {}));
    }

    void checkMemory(const FakeStore &store, const HttpRequest &request)
    {
        PlatformProcesses processes{m_loop, store.address(), 1};
        processes.setLimits({addressSpaceKiB, 0});
        processes.start();
        std::vector<EndedCall> calls(2 * endpoints);
        for (EndedCall &call : calls) {
            m_client.call(processes.callers(0), request, recordingHooks(call), Connection::Fresh);
        }
        processes.runUntil([&] {
            return !processes.isRunning(0)
                || std::ranges::all_of(calls, [](const EndedCall &call) { return call.answer || call.failure; });
        });
        CPPUNIT_ASSERT_MESSAGE("the process has ended", processes.isRunning(0));
        for (const EndedCall &call : calls) {
            CPPUNIT_ASSERT(!call.answer || call.answer->status / 100 == 5);
        }
        const std::size_t peak = processes.process(0).memoryKiB("VmHWM");
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("peak, KiB: ", peak), peak <= maxResidentKiB);
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    HttpClient m_client{m_loop, HttpClientOptions{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessBodiesTest);
