#include "bergamottide/endpoint/endpointadapter.h"

#include "bergamottide/net/httpserver.h"
#include "standin/callstandin.h"
#include "standin/enginestandin.h"
#include "support/rawserver.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::test;

namespace {

constexpr std::size_t maxResultBytes = 64u << 10;
/*! @brief Upper bound of the bytes that a hostile endpoint can send; includes the socket buffers. */
constexpr std::size_t maxSentBytes = 64u << 20;

/*! @brief An adapter on a real event loop that records the reported events. */
class AdapterFixture
{
public:
    AdapterFixture(const std::string &address, PoolKind kind)
        : m_adapter{makeEndpointAdapter(m_loop, settings(address, kind), hooks())}
    {
    }

    static StartEndpointRun makeStart(std::uint32_t tokens, Serial serial = noSerial)
    {
        StartEndpointRun start;
        start.spec.run = RunId{RequestId{1, 2}, 3, 1};
        start.spec.serial = serial;
        start.spec.stage = StageName{"generate"};
        start.spec.maxTokens = tokens;
        start.spec.body = "{}";
        return start;
    }

    EndpointRunEnded run(const StartEndpointRun &start)
    {
        m_adapter->start(start);
        waitUntilFinished();
        return *m_finished;
    }

    void waitUntilFinished()
    {
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return m_finished.has_value(); }));
    }

    void runLoop(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            m_loop.runOnce(std::chrono::milliseconds{1});
        }
    }

    Loop &loop()
    {
        return m_loop;
    }

    EndpointAdapter &adapter()
    {
        return *m_adapter;
    }

    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

    [[nodiscard]] std::uint32_t tokens() const
    {
        return m_tokens;
    }

    [[nodiscard]] const std::optional<EndpointRunEnded> &finished() const
    {
        return m_finished;
    }

    [[nodiscard]] const std::vector<OrderAnswered> &orders() const
    {
        return m_orders;
    }

private:
    static EndpointSettings settings(const std::string &address, PoolKind kind)
    {
        return EndpointSettings{address, kind, maxResultBytes, std::chrono::seconds{20}};
    }

    EndpointHooks hooks()
    {
        EndpointHooks hooks;
        hooks.piece = [this](const EndpointResultPiece &piece) {
            m_text += piece.piece;
            m_tokens += piece.tokens;
        };
        hooks.finished = [this](const EndpointRunEnded &finished) {
            CPPUNIT_ASSERT(!m_finished);
            m_finished = finished;
        };
        hooks.loadReported = [](const EndpointLoadReport &) {
        };
        hooks.orderAnswered = [this](const OrderAnswered &answered) {
            m_orders.push_back(answered);
        };
        return hooks;
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    std::string m_text;
    std::uint32_t m_tokens{};
    std::optional<EndpointRunEnded> m_finished;
    std::vector<OrderAnswered> m_orders;
    std::unique_ptr<EndpointAdapter> m_adapter;
};

/*! @brief HTTP server that serves a stand-in endpoint on its own port. */
class StandInServer
{
public:
    StandInServer(Loop &loop, std::unique_ptr<standin::StandIn> standIn)
        : m_standIn{std::move(standIn)}
        , m_server{loop, HttpServerOptions{"127.0.0.1:0", {}, 1u << 20},
                   [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                       m_standIn->handle(std::move(request), std::move(responder));
                   }}
    {
        CPPUNIT_ASSERT(m_server.listen().ok());
    }

    [[nodiscard]] std::string address() const
    {
        return m_server.address();
    }

private:
    std::unique_ptr<standin::StandIn> m_standIn;
    HttpServer m_server;
};

/*! @brief Runs one call against a server that sends the scripted bytes. */
EndpointRunEnded runAgainstScript(PoolKind kind, RawScript script, std::size_t *sent = nullptr)
{
    const RawServer server{std::move(script)};
    AdapterFixture fixture{server.address(), kind};
    const EndpointRunEnded finished = fixture.run(AdapterFixture::makeStart(8));
    if (sent != nullptr) {
        *sent = server.sent();
    }
    return finished;
}

const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

} // namespace

/*! @brief Adapters with broken and hostile endpoints, and the resumption of broken streams. */
class EndpointAdapterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointAdapterTest);
    CPPUNIT_TEST(unreachableEndpointIsARefusal);
    CPPUNIT_TEST(refusalRequiresNotStartedHeader);
    CPPUNIT_TEST(malformedStatusLineFails);
    CPPUNIT_TEST(truncatedBodyFails);
    CPPUNIT_TEST(bytesAfterContentLengthAreDiscarded);
    CPPUNIT_TEST(endlessBodyIsAborted);
    CPPUNIT_TEST(endlessHeadIsAborted);
    CPPUNIT_TEST(endlessLineOfAnEngineIsAborted);
    CPPUNIT_TEST(endlessTokensOfAnEngineAreAborted);
    CPPUNIT_TEST(brokenStreamIsResumedWithoutLossOrDuplication);
    CPPUNIT_TEST(missingTokensFailTheRun);
    CPPUNIT_TEST(cancelledRunReportsNothing);
    CPPUNIT_TEST(orderWithOldFenceIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void unreachableEndpointIsARefusal()
    {
        std::string address;
        {
            const RawServer closedServer{RawScript{}};
            address = closedServer.address();
        }
        for (const PoolKind kind : {PoolKind::Encoder, PoolKind::Engine}) {
            AdapterFixture fixture{address, kind};
            CPPUNIT_ASSERT(fixture.run(AdapterFixture::makeStart(8)).result == EndpointResult::Refused);
        }
    }

    void refusalRequiresNotStartedHeader()
    {
        const std::string unmarked = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        const std::string marked = "HTTP/1.1 503 Busy\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n";
        for (const PoolKind kind : {PoolKind::Service, PoolKind::Engine}) {
            CPPUNIT_ASSERT(runAgainstScript(kind, {unmarked, "", 0}).result == EndpointResult::Failed);
            CPPUNIT_ASSERT(runAgainstScript(kind, {marked, "", 0}).result == EndpointResult::Refused);
        }
    }

    void malformedStatusLineFails()
    {
        for (const PoolKind kind : {PoolKind::Encoder, PoolKind::Engine}) {
            CPPUNIT_ASSERT(runAgainstScript(kind, {"\x01\x02garbage\r\n\r\n", "", 0}).result == EndpointResult::Failed);
        }
    }

    void truncatedBodyFails()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
        CPPUNIT_ASSERT(runAgainstScript(PoolKind::Encoder, {head, "", 0}).result == EndpointResult::Failed);
        const std::string stream = streamHead + "event: token\ndata: {\"offset\":0,\"tokens\":1,\"text\":\"a\"}\n\n";
        CPPUNIT_ASSERT(runAgainstScript(PoolKind::Engine, {stream, "", 0}).result == EndpointResult::Failed);
    }

    void bytesAfterContentLengthAreDiscarded()
    {
        // The bytes after the body must not be read as the response of another run.
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\n";
        const RawServer server{RawScript{head, "", 0}};
        AdapterFixture fixture{server.address(), PoolKind::Encoder};
        CPPUNIT_ASSERT(fixture.run(AdapterFixture::makeStart(8)).result == EndpointResult::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string{"{}"}, fixture.text());
    }

    void endlessBodyIsAborted()
    {
        std::size_t sent = 0;
        const auto finished = runAgainstScript(
            PoolKind::Encoder, {"HTTP/1.1 200 OK\r\n\r\n", std::string(64u << 10, 'x'), 100'000}, &sent);
        CPPUNIT_ASSERT(finished.result == EndpointResult::Failed);
        CPPUNIT_ASSERT(finished.reason == Reason::AnswerTooLarge);
        CPPUNIT_ASSERT(sent < maxSentBytes);
    }

    void endlessHeadIsAborted()
    {
        std::size_t sent = 0;
        const std::string line = "X-Filler: " + std::string(1000, 'x') + "\r\n";
        const auto finished = runAgainstScript(PoolKind::Encoder, {"HTTP/1.1 200 OK\r\n", line, 1'000'000}, &sent);
        CPPUNIT_ASSERT(finished.result == EndpointResult::Failed);
        CPPUNIT_ASSERT(sent < maxSentBytes);
    }

    void endlessLineOfAnEngineIsAborted()
    {
        std::size_t sent = 0;
        const auto finished =
            runAgainstScript(PoolKind::Engine, {streamHead + "data: ", std::string(64u << 10, 'x'), 100'000}, &sent);
        CPPUNIT_ASSERT(finished.result == EndpointResult::Failed);
        CPPUNIT_ASSERT(finished.reason == Reason::AnswerTooLarge);
        CPPUNIT_ASSERT(sent < maxSentBytes);
    }

    void endlessTokensOfAnEngineAreAborted()
    {
        const std::string empty =
            "event: token\ndata: {\"offset\":0,\"tokens\":0,\"text\":\"" + std::string(1000, 'x') + "\"}\n\n";
        const auto finished = runAgainstScript(PoolKind::Engine, {streamHead, empty, 100'000});
        CPPUNIT_ASSERT(finished.result == EndpointResult::Failed);
        CPPUNIT_ASSERT(finished.reason == Reason::AnswerTooLarge);
    }

    void brokenStreamIsResumedWithoutLossOrDuplication()
    {
        // The engine closes the stream after three events and continues the run.
        standin::EngineOptions options;
        options.breakAfterEvents = 3;
        EngineFixture engine{options};
        AdapterFixture &fixture = engine.fixture();
        CPPUNIT_ASSERT(fixture.run(AdapterFixture::makeStart(12, Serial{7})).result == EndpointResult::Completed);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{12}, fixture.tokens());
        CPPUNIT_ASSERT_EQUAL(std::string{"00000000000000010000000000000002 w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 w11"},
                             fixture.text());
    }

    void missingTokensFailTheRun()
    {
        const std::string stream = streamHead + "event: token\ndata: {\"offset\":5,\"tokens\":1,\"text\":\"a\"}\n\n"
            + "event: done\ndata: {}\n\n";
        CPPUNIT_ASSERT(runAgainstScript(PoolKind::Engine, {stream, "", 0}).result == EndpointResult::Failed);
    }

    void cancelledRunReportsNothing()
    {
        EngineFixture engine{{}};
        AdapterFixture &fixture = engine.fixture();
        const StartEndpointRun start = AdapterFixture::makeStart(8);
        fixture.adapter().start(start);
        fixture.runLoop(2);
        fixture.adapter().cancel(start.spec.run);
        fixture.runLoop(60);
        CPPUNIT_ASSERT(!fixture.finished());
    }

    void orderWithOldFenceIsRefused()
    {
        EngineFixture engine{{}};
        AdapterFixture &fixture = engine.fixture();
        for (const std::uint64_t fence : {5U, 4U}) {
            fixture.adapter().sendOrder(SendOrder{fence, OrderKind::LoadModel, ModelName{"a"}, {}, {}});
            test::runUntil(fixture.loop(), [&] { return fixture.orders().size() >= 6 - fence; });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.orders().size());
        CPPUNIT_ASSERT(fixture.orders()[0].accepted);
        CPPUNIT_ASSERT(!fixture.orders()[1].accepted);
    }

private:
    /*! @brief A stand-in engine on its own thread, with an adapter that calls it. */
    class EngineFixture
    {
    public:
        explicit EngineFixture(const standin::EngineOptions &options)
            : m_server{m_loop, std::make_unique<standin::EngineStandIn>(m_loop, options)}
            , m_thread{[this] {
                m_loop.run();
            }}
            , m_fixture{m_server.address(), PoolKind::Engine}
        {
        }

        EngineFixture(const EngineFixture &) = delete;
        EngineFixture &operator=(const EngineFixture &) = delete;

        ~EngineFixture()
        {
            m_loop.stop();
            m_thread.join();
        }

        AdapterFixture &fixture()
        {
            return m_fixture;
        }

    private:
        SystemClock m_clock;
        Loop m_loop{m_clock};
        StandInServer m_server;
        std::thread m_thread;
        AdapterFixture m_fixture;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointAdapterTest);
