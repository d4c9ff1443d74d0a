#include "platform/crowdendpoint.h"
#include "platform/fakes.h"
#include "processes/callercrowd.h"
#include "processes/fleet.h"
#include "processes/platformprocesses.h"
#include "support/endedcall.h"
#include "support/http2bytes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

using namespace bergamottide;
using namespace bergamottide::test;

namespace {

/*! @brief Address space of the process: that of a machine with 260 MB, less than these crowds once took. */
constexpr std::size_t addressSpaceKiB = std::size_t{260} * 1024;
/*! @brief Largest resident memory of the process at any time, in KiB. */
constexpr std::size_t maxResidentKiB = std::size_t{200} * 1024;
/*! @brief Largest resident memory of the process once a crowd has left, in KiB. */
constexpr std::size_t maxResidentAfterKiB = std::size_t{100} * 1024;
constexpr std::size_t maxBodyBytes = 2U << 20U;
constexpr std::size_t crowdSize = 200;
/*! @brief Distance of unfinished bodies from the limit, in bytes. */
constexpr std::size_t missingBytes = 64U << 10U;
constexpr std::size_t chunkBatchBytes = 16U << 10U;
constexpr Duration attemptPeriod = std::chrono::seconds{5};

std::string chunk(std::size_t size)
{
    return absl::StrFormat("%x\r\n%s\r\n", size, std::string(size, 'x'));
}

CallerScript chunkedBody(std::size_t number, std::size_t chunkBytes, std::size_t bodyBytes)
{
    // Tiny chunks are sent many at a time.
    const std::size_t chunks = std::max<std::size_t>(chunkBatchBytes / chunkBytes, 1);
    std::string batch;
    for (std::size_t count = 0; count < chunks; ++count) {
        batch += chunk(chunkBytes);
    }
    return {crowdHead("POST", "/order/7", number, "Transfer-Encoding: chunked\r\n"), batch,
            bodyBytes / (chunks * chunkBytes), 0};
}

} // namespace

/*! @brief Real processes with little address space, before callers that keep to no limit of theirs. */
class MisbehavingCallersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MisbehavingCallersTest);
    CPPUNIT_TEST(requestAtTheLimitsIsServedInCalm);
    CPPUNIT_TEST(unfinishedBodiesAreBounded);
    CPPUNIT_TEST(unfinishedBodiesInTinyChunksAreBounded);
    CPPUNIT_TEST(bodiesBeyondTheLimitAreBounded);
    CPPUNIT_TEST(announcedBodiesAreBounded);
    CPPUNIT_TEST(completeBodiesAreBounded);
    CPPUNIT_TEST(ambiguousBodiesAreBounded);
    CPPUNIT_TEST(pipelinedBodiesAreBounded);
    CPPUNIT_TEST(unfinishedHeadsAreBounded);
    CPPUNIT_TEST(unreadResponsesAreBounded);
    CPPUNIT_TEST(unreadEventsAreBounded);
    CPPUNIT_TEST(slowlyReadResponsesAreBounded);
    CPPUNIT_TEST(pipelinedRequestsAreBounded);
    CPPUNIT_TEST(http2BodiesAreBounded);
    CPPUNIT_TEST(idleConnectionsLeaveDescriptors);
    CPPUNIT_TEST(unfinishedRequestsLeaveDescriptors);
    CPPUNIT_TEST(trickledRequestsAreClosed);
    CPPUNIT_TEST(readyPortBoundsBodies);
    CPPUNIT_TEST(entryBoundsUnfinishedBodies);
    CPPUNIT_TEST(entryBoundsHttp2Bodies);
    CPPUNIT_TEST(entryBoundsHttp2Replies);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        publishCrowdRoutes(m_store, m_endpoint.address(), maxBodyBytes);
    }

    void requestAtTheLimitsIsServedInCalm()
    {
        startProcess({addressSpaceKiB, 0});
        HttpRequest request = shopRequest(1, std::string(maxBodyBytes - 1, 'x'));
        request.path = "/order/large";
        request.headers[1].second = "20000";
        const HttpResponse answer = callUntilAnswered(request);
        CPPUNIT_ASSERT_EQUAL(CrowdEndpoint::largeBytes, answer.body.size());
    }

    /*! @brief Guards against memory that grows with bodies which stop short of their end. */
    void unfinishedBodiesAreBounded()
    {
        boundMemory([](std::size_t number) { return chunkedBody(number, 16384, maxBodyBytes - missingBytes); });
    }

    void unfinishedBodiesInTinyChunksAreBounded()
    {
        boundMemory([](std::size_t number) { return chunkedBody(number, 1, maxBodyBytes / 4); });
    }

    void bodiesBeyondTheLimitAreBounded()
    {
        boundMemory([](std::size_t number) { return chunkedBody(number, 65536, 32 * maxBodyBytes); });
    }

    void announcedBodiesAreBounded()
    {
        boundMemory([](std::size_t number) {
            const std::string length = absl::StrCat("Content-Length: ", maxBodyBytes, "\r\n");
            return CallerScript{crowdHead("POST", "/order/7", number, length), std::string(16384, 'x'),
                                (maxBodyBytes - missingBytes) / 16384, 0};
        });
    }

    /*! @brief Guards against memory that grows with requests inside all limits that wait for their responses. */
    void completeBodiesAreBounded()
    {
        boundMemory([](std::size_t number) {
            const std::string length = absl::StrCat("Content-Length: ", maxBodyBytes, "\r\n");
            return CallerScript{crowdHead("POST", "/order/late", number, length), std::string(16384, 'x'),
                                maxBodyBytes / 16384, 65536};
        });
    }

    /*! @brief Guards against heads whose length is not seen before their bodies are kept. */
    void ambiguousBodiesAreBounded()
    {
        boundMemory([](std::size_t number) {
            const std::string lines = absl::StrCat("Content-Length: ", maxBodyBytes, "\r\n folded\r\n");
            return CallerScript{crowdHead("POST", "/order/7", number, lines), std::string(16384, 'x'),
                                (maxBodyBytes - missingBytes) / 16384, 0};
        });
    }

    /*! @brief Guards against bodies that are announced behind another request, in the same bytes. */
    void pipelinedBodiesAreBounded()
    {
        boundMemory([](std::size_t number) {
            const std::string length = absl::StrCat("Content-Length: ", maxBodyBytes, "\r\n");
            return CallerScript{crowdHead("GET", "/order/7", number) + crowdHead("POST", "/order/7", number, length),
                                std::string(16384, 'x'), (maxBodyBytes - missingBytes) / 16384, 0};
        });
    }

    void unfinishedHeadsAreBounded()
    {
        boundMemory([](std::size_t number) {
            return CallerScript{absl::StrCat("POST /order/7 HTTP/1.1\r\nHost: shop\r\nX-Number: ", number, "\r\n"),
                                "X-Field: " + std::string(1000, 'x') + "\r\n", 1500, 0};
        });
    }

    void unreadResponsesAreBounded()
    {
        boundMemory([](std::size_t number) {
            return CallerScript{crowdHead("GET", "/order/large", number), {}, 0, 0};
        });
    }

    void slowlyReadResponsesAreBounded()
    {
        boundMemory([](std::size_t number) {
            return CallerScript{crowdHead("GET", "/order/large", number), {}, 0, 128};
        });
    }

    void unreadEventsAreBounded()
    {
        boundMemory([](std::size_t number) { return CallerScript{crowdHead("GET", "/events/7", number), {}, 0, 0}; });
    }

    void pipelinedRequestsAreBounded()
    {
        boundMemory([](std::size_t number) {
            return CallerScript{crowdHead("GET", "/order/large", number), crowdHead("GET", "/order/large", number), 200,
                                0};
        });
    }

    /*! @brief Guards against memory that grows with the streams of one connection. */
    void http2BodiesAreBounded()
    {
        boundMemory(
            [](std::size_t number) {
                return CallerScript{http2UnfinishedRequests("shop", "/order/7", crowdFields(number), http2Streams),
                                    http2DataFrames(http2Streams, 16384), (maxBodyBytes - missingBytes) / 16384, 0};
            },
            4);
    }

    void idleConnectionsLeaveDescriptors()
    {
        leaveDescriptors([](std::size_t) { return CallerScript{}; });
    }

    void unfinishedRequestsLeaveDescriptors()
    {
        leaveDescriptors([](std::size_t) {
            return CallerScript{"POST /order/7 HTTP/1.1\r\nHost: shop\r\n", {}, 0, 0};
        });
    }

    /*! @brief Guards against callers that send so slowly that their requests never end. */
    void trickledRequestsAreClosed()
    {
        startProcess({addressSpaceKiB, 0});
        constexpr std::size_t callers = 30;
        const CallerCrowd crowd{m_processes->callers(0), callers, [](std::size_t number) {
                                    const std::string length = number % 2 == 0 ? "Content-Length: 100000\r\n\r\nx" : "";
                                    return CallerScript{"POST /order/7 HTTP/1.1\r\nHost: shop\r\n" + length, {}, 0, 0};
                                }};
        m_processes->runUntil([&crowd] { return crowd.closedAtLeastOnce() == callers; });
        checkServes();
    }

    void readyPortBoundsBodies()
    {
        startProcess({addressSpaceKiB, 0});
        {
            const CallerCrowd crowd{m_processes->ready(0), crowdSize, [](std::size_t number) {
                                        return chunkedBody(number, 16384, maxBodyBytes);
                                    }};
            m_processes->runUntil([&crowd] { return crowd.hasSettled(); });
            checkServes();
        }
        checkMemory();
    }

    /*! @brief The older program serves its callers by the same server. */
    void entryBoundsUnfinishedBodies()
    {
        boundMemoryOfEntry(
            [](std::size_t number) {
                CallerScript script = chunkedBody(number, 16384, maxBodyBytes - missingBytes);
                script.first = absl::StrCat("POST /v1/pipelines/answer HTTP/1.1\r\nHost: entry\r\n",
                                            "Transfer-Encoding: chunked\r\n\r\n");
                return script;
            },
            crowdSize);
    }

    void entryBoundsHttp2Bodies()
    {
        boundMemoryOfEntry(
            [](std::size_t) {
                return CallerScript{http2UnfinishedRequests("entry", "/v1/pipelines/answer", {}, http2Streams),
                                    http2DataFrames(http2Streams, 16384), (maxBodyBytes - missingBytes) / 16384, 0};
            },
            4);
    }

    /*! @brief Guards against replies to frames that a caller sends without reading. */
    void entryBoundsHttp2Replies()
    {
        boundMemoryOfEntry(
            [](std::size_t) {
                constexpr std::size_t pingsAtOnce = 1000;
                return CallerScript{http2UnfinishedRequests("entry", "/", {}, 0), http2Pings(pingsAtOnce), 2500, 0};
            },
            20);
    }

private:
    static constexpr std::uint32_t http2Streams = 90;
    /*! @brief Descriptors of a process that callers are short of; it needs some for endpoints, peers and the store. */
    static constexpr std::size_t fewDescriptors = 100;

    void startProcess(const ProcessLimits &limits)
    {
        m_processes = std::make_unique<PlatformProcesses>(m_loop, m_store.address(), 1);
        m_processes->setLimits(limits);
        m_processes->start();
    }

    /*! @brief Checks that a crowd ends no process, that its memory is bounded and that an ordinary caller is served. */
    void boundMemory(const std::function<CallerScript(std::size_t number)> &script, std::size_t callers = crowdSize)
    {
        startProcess({addressSpaceKiB, 0});
        checkServes();
        {
            const CallerCrowd crowd{m_processes->callers(0), callers, script};
            m_processes->runUntil([this, &crowd] { return crowd.hasSettled() || !m_processes->isRunning(0); });
            CPPUNIT_ASSERT_MESSAGE("the process has ended", m_processes->isRunning(0));
            checkServes();
            pass(std::chrono::seconds{2});
            checkServes();
        }
        checkServes();
        checkMemory();
    }

    void checkMemory()
    {
        const Process &process = m_processes->process(0);
        const std::size_t peak = process.memoryKiB("VmHWM");
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("peak, KiB: ", peak), peak <= maxResidentKiB);
        m_processes->runUntil([&process] { return process.memoryKiB("VmRSS") <= maxResidentAfterKiB; });
    }

    void leaveDescriptors(const std::function<CallerScript(std::size_t number)> &script)
    {
        startProcess({addressSpaceKiB, fewDescriptors});
        constexpr std::size_t callers = 2 * fewDescriptors;
        const CallerCrowd crowd{m_processes->callers(0), callers, script};
        pass(std::chrono::seconds{2});
        checkServes();
        CPPUNIT_ASSERT(m_processes->process(0).openDescriptors() < fewDescriptors);
        checkServes();
    }

    void boundMemoryOfEntry(const std::function<CallerScript(std::size_t number)> &script, std::size_t callers)
    {
        Fleet fleet;
        fleet.startEntry("entry-0", {entryAddressSpaceKiB, 0});
        const std::string &address = fleet.daemon("entry-0").port("callers");
        Process &process = *fleet.daemon("entry-0").process;
        {
            const CallerCrowd crowd{address, callers, script};
            fleet.await([&] { return crowd.hasSettled() || process.ended(); }, "the crowd has settled");
            CPPUNIT_ASSERT_MESSAGE("the process has ended", !process.ended());
            checkEntryAnswers(fleet);
        }
        checkEntryAnswers(fleet);
        const std::size_t peak = process.memoryKiB("VmHWM");
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("peak, KiB: ", peak), peak <= maxResidentKiB);
    }

    /*! @brief Checks that the entry answers; without a document it rejects the request, but not the caller. */
    static void checkEntryAnswers(Fleet &fleet)
    {
        std::shared_ptr<Reply> reply;
        fleet.await(
            [&] {
                if (!reply || reply->failure) {
                    reply = fleet.submit("entry-0", "answer");
                }
                return reply->answer.has_value();
            },
            "an ordinary request is answered");
    }

    /*! @brief Checks that an ordinary caller, who tries again when it is rejected, gets its response. */
    void checkServes()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"answer"}, callUntilAnswered(shopRequest(++m_attempts, "body")).body);
    }

    HttpResponse callUntilAnswered(const HttpRequest &request)
    {
        EndedCall outcome;
        TimePoint giveUpAt{};
        HttpCallId call{};
        m_processes->runUntil([&] {
            CPPUNIT_ASSERT_MESSAGE("the process has ended", m_processes->isRunning(0));
            const bool isServed = outcome.answer && outcome.answer->status == 200;
            const bool isOver = outcome.answer || outcome.failure || m_loop.now() >= giveUpAt;
            if (!isServed && isOver) {
                m_client.cancel(call);
                outcome = {};
                giveUpAt = m_loop.now() + attemptPeriod;
                call = m_client.call(m_processes->callers(0), request, recordingHooks(outcome), Connection::Fresh);
            }
            return isServed;
        });
        return *outcome.answer;
    }

    void pass(Duration time)
    {
        const TimePoint end = m_loop.now() + time;
        while (m_loop.now() < end) {
            m_loop.runOnce(std::chrono::milliseconds{10});
        }
    }

    /*! @brief Address space of the older program, whose libraries take more of it. */
    static constexpr std::size_t entryAddressSpaceKiB = 2 * addressSpaceKiB;

    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_store{m_loop};
    CrowdEndpoint m_endpoint{m_loop};
    HttpClient m_client{m_loop, HttpClientOptions{}};
    std::unique_ptr<PlatformProcesses> m_processes;
    std::uint64_t m_attempts{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MisbehavingCallersTest);
