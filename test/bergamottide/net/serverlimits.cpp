#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/socketaddress.h"
#include "support/http2bytes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

using namespace bergamottide;

namespace {

/*! @brief Connection of a caller that reads only when it is told to. */
class RawCaller
{
public:
    explicit RawCaller(const std::string &address)
        : m_socket{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        auto parsed = parseSocketAddress(address);
        CPPUNIT_ASSERT_EQUAL(0, connect(m_socket, parsed->native(), parsed->length));
    }

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    ~RawCaller()
    {
        close(m_socket);
    }

    void send(std::string_view bytes) const
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()),
                             ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    /*! @brief Sends what the connection takes at once; returns the number of bytes. */
    [[nodiscard]] std::size_t trySend(std::string_view bytes) const
    {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    }

    void endSending() const
    {
        shutdown(m_socket, SHUT_WR);
    }

    /*! @brief Reads what has come. */
    void read()
    {
        std::string part(1 << 16, '\0');
        ssize_t got = 1;
        while (got > 0) {
            got = recv(m_socket, part.data(), part.size(), MSG_DONTWAIT);
            m_received.append(part, 0, got > 0 ? static_cast<std::size_t>(got) : 0);
        }
        m_isClosed = m_isClosed || got == 0 || (errno != EAGAIN && errno != EINTR);
    }

    [[nodiscard]] const std::string &received() const noexcept
    {
        return m_received;
    }

    [[nodiscard]] bool isClosed() const noexcept
    {
        return m_isClosed;
    }

private:
    int m_socket;
    std::string m_received;
    bool m_isClosed{};
};

std::string post(std::size_t length)
{
    return absl::StrCat("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ", length, "\r\n\r\n");
}

constexpr std::string_view get = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

} // namespace

/*! @brief Server with little memory, few connections and a clock that is set by hand. */
class ServerLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLimitsTest);
    CPPUNIT_TEST(announcedBodyWithoutRoomIsRejectedAtOnce);
    CPPUNIT_TEST(bodyThatNeverFitsIsTooLarge);
    CPPUNIT_TEST(chunkedBodyWithoutRoomIsRejected);
    CPPUNIT_TEST(ambiguousFramingIsRejectedBeforeItsBody);
    CPPUNIT_TEST(pipelinedBodyIsChargedBeforeItIsKept);
    CPPUNIT_TEST(pipelinedRequestsBehindBodiesAreRead);
    CPPUNIT_TEST(headAboveTheLimitIsRejected);
    CPPUNIT_TEST(responseWithoutRoomIsNoSuccess);
    CPPUNIT_TEST(requestWithoutRoomForItsResponseIsRejected);
    CPPUNIT_TEST(ordinaryResponseHasRoomOnceItsRequestIsHandedOn);
    CPPUNIT_TEST(ordinaryEventHasRoomOnceItsStreamHasBegun);
    CPPUNIT_TEST(streamWithoutRoomIsBrokenOff);
    CPPUNIT_TEST(largeResponseIsWhole);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(halfClosedCallerGetsItsWholeResponse);
    CPPUNIT_TEST(copiesOfAHeadAreCharged);
    CPPUNIT_TEST(chargesEndWithTheirConnections);
    CPPUNIT_TEST(slowHeadIsRejected);
    CPPUNIT_TEST(slowBodyIsRejected);
    CPPUNIT_TEST(slowReaderIsClosed);
    CPPUNIT_TEST(waitingCallerIsNotSlow);
    CPPUNIT_TEST(idleConnectionIsClosedAfterItsTime);
    CPPUNIT_TEST(idlestConnectionIsReplaced);
    CPPUNIT_TEST(incompleteRequestIsReplacedBeforeARunningOne);
    CPPUNIT_TEST(connectionIsClosedIfAllOthersRun);
    CPPUNIT_TEST(connectionWithoutMemoryIsClosed);
    CPPUNIT_TEST(http2IsNotSpokenUnlessSet);
    CPPUNIT_TEST(waitingHttp2CallerIsNotSlow);
    CPPUNIT_TEST(idleHttp2ConnectionIsReplaced);
    CPPUNIT_TEST(slowHttp2BodyIsClosed);
    CPPUNIT_TEST(handledHttp2BodiesAreCharged);
    CPPUNIT_TEST(unreadHttp2RepliesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void announcedBodyWithoutRoomIsRejectedAtOnce()
    {
        startServer();
        overload::MemoryAccount::Holder other{*m_memory};
        other.record(overload::HeldFor::Request, memoryLimit * 3 / 5);
        RawCaller caller{m_server->address()};
        caller.send(post(150'000));
        await([&] { return caller.isClosed(); }, {&caller});
        CPPUNIT_ASSERT_MESSAGE(caller.received(), caller.received().starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(caller.received().find("retry-after: 1") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
        CPPUNIT_ASSERT_EQUAL(1, m_refused[CallerRefusal::RequestMemory]);
    }

    void bodyThatNeverFitsIsTooLarge()
    {
        startServer();
        CPPUNIT_ASSERT(m_server->maxBodyBytes() < 600'000);
        RawCaller caller{m_server->address()};
        caller.send(post(600'000));
        await([&] { return caller.received().starts_with("HTTP/1.1 413"); }, {&caller});
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
    }

    void chunkedBodyWithoutRoomIsRejected()
    {
        startServer();
        overload::MemoryAccount::Holder other{*m_memory};
        other.record(overload::HeldFor::Request, memoryLimit * 3 / 5);
        RawCaller caller{m_server->address()};
        caller.send("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
        for (int chunk = 0; chunk < 8; ++chunk) {
            caller.send("4000\r\n" + std::string(0x4000, 'x') + "\r\n");
            m_loop.runOnce(Duration::zero());
        }
        await([&] { return m_refused[CallerRefusal::RequestMemory] != 0; }, {});
        await([&] { return caller.received().starts_with("HTTP/1.1 503"); }, {&caller});
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
        CPPUNIT_ASSERT(m_memory->held() - other.held() < 100'000);
    }

    void ambiguousFramingIsRejectedBeforeItsBody()
    {
        startServer();
        RawCaller caller{m_server->address()};
        caller.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n folded\r\n\r\n");
        await([&] { return caller.isClosed(); }, {&caller});
        CPPUNIT_ASSERT_MESSAGE(caller.received(), caller.received().starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
    }

    void pipelinedBodyIsChargedBeforeItIsKept()
    {
        startServer();
        overload::MemoryAccount::Holder other{*m_memory};
        other.record(overload::HeldFor::Request, memoryLimit * 3 / 5);
        RawCaller caller{m_server->address()};
        caller.send(std::string{get} + post(150'000));
        await([&] { return caller.received().find("HTTP/1.1 503") != std::string::npos; }, {&caller});
        CPPUNIT_ASSERT(caller.received().starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(1, m_handled);
        CPPUNIT_ASSERT(m_memory->held() - other.held() < 100'000);
    }

    void pipelinedRequestsBehindBodiesAreRead()
    {
        startServer();
        RawCaller caller{m_server->address()};
        const std::string chunked =
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        const std::string requests =
            chunked + std::string{get} + post(3) + "abc" + chunked + post(0) + std::string{get};
        // Cut at each byte of the first two, so that a piece ends anywhere in a request.
        for (std::size_t cut = 1; cut < chunked.size() + get.size(); cut += 7) {
            const int before = m_handled;
            caller.send(requests.substr(0, cut));
            runRounds();
            caller.send(requests.substr(cut));
            await([&] { return m_handled == before + 6; }, {&caller});
        }
        CPPUNIT_ASSERT(!caller.isClosed());
    }

    void headAboveTheLimitIsRejected()
    {
        startServer();
        RawCaller caller{m_server->address()};
        caller.send("GET / HTTP/1.1\r\nx: " + std::string(70'000, 'x'));
        await([&] { return caller.isClosed(); }, {&caller});
        CPPUNIT_ASSERT_MESSAGE(caller.received(), caller.received().starts_with("HTTP/1.1 431"));
    }

    void responseWithoutRoomIsNoSuccess()
    {
        m_body = std::string(1 << 20, 'x');
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(get);
        await([&] { return caller.isClosed(); }, {&caller});
        CPPUNIT_ASSERT_MESSAGE(caller.received(), caller.received().starts_with("HTTP/1.1 502"));
        CPPUNIT_ASSERT_EQUAL(1, m_refused[CallerRefusal::ResponseMemory]);
    }

    /*! @brief Guards against work of an endpoint whose result cannot be delivered. */
    void requestWithoutRoomForItsResponseIsRejected()
    {
        useSmallParts();
        startServer();
        overload::MemoryAccount::Holder other{*m_memory};
        RawCaller caller{m_server->address()};
        runRounds();
        // Leaves room for the request, but not for a response beside it.
        other.record(overload::HeldFor::Response, m_memory->ownPart() + memoryLimit * 2 / 3 - 24'000);
        caller.send(get);
        await([&] { return caller.isClosed(); }, {&caller});
        CPPUNIT_ASSERT_MESSAGE(caller.received(), caller.received().starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
    }

    void ordinaryResponseHasRoomOnceItsRequestIsHandedOn()
    {
        std::shared_ptr<HttpResponder> waiting;
        m_handler = [&waiting](const std::shared_ptr<HttpResponder> &responder) {
            waiting = responder;
        };
        useSmallParts();
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(get);
        await([&] { return waiting != nullptr; }, {});
        overload::MemoryAccount::Holder other{*m_memory};
        other.record(overload::HeldFor::Request, 10 * memoryLimit);
        waiting->respond({200, {}, std::string(8'000, 'x')});
        await([&] { return caller.received().ends_with(std::string(8'000, 'x')); }, {&caller});
    }

    void ordinaryEventHasRoomOnceItsStreamHasBegun()
    {
        std::shared_ptr<HttpResponder> waiting;
        m_handler = [&waiting](const std::shared_ptr<HttpResponder> &responder) {
            waiting = responder;
            responder->begin(200, {});
        };
        useSmallParts();
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(get);
        await([&] { return waiting != nullptr; }, {});
        runRounds();
        overload::MemoryAccount::Holder other{*m_memory};
        other.record(overload::HeldFor::Request, 10 * memoryLimit);
        const std::string eventBytes = "#$%&*";
        for (std::size_t event = 0; event < eventBytes.size(); ++event) {
            waiting->send(std::string(4'000, eventBytes[event]));
            await([&] { return caller.received().find(eventBytes[event]) != std::string::npos; }, {&caller});
            runRounds();
        }
        waiting->finish();
        await([&] { return caller.received().ends_with("0\r\n\r\n"); }, {&caller});
    }

    void streamWithoutRoomIsBrokenOff()
    {
        bool isClosed = false;
        m_handler = [&isClosed](const std::shared_ptr<HttpResponder> &responder) {
            responder->onClosed([&isClosed] { isClosed = true; });
            responder->begin(200, {});
            for (int piece = 0; piece < 100; ++piece) {
                responder->send(std::string(16'000, 'x'));
            }
        };
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(get);
        await([&] { return isClosed; }, {});
        await([&] { return caller.isClosed(); }, {&caller});
        CPPUNIT_ASSERT(caller.received().find("\r\n0\r\n\r\n") == std::string::npos);
    }

    void largeResponseIsWhole()
    {
        m_body = std::string(300'001, 'x');
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(get);
        await([&] { return caller.received().ends_with("\r\n\r\n" + m_body); }, {&caller});
        CPPUNIT_ASSERT_MESSAGE(caller.received().substr(0, 200),
                               caller.received().find("Content-Length: 300001\r\n") != std::string::npos);
    }

    void pipelinedRequestsAreAnsweredInOrder()
    {
        m_handler = [this](const std::shared_ptr<HttpResponder> &responder) {
            responder->respond({200, {}, std::string(50'000, static_cast<char>('a' + m_handled))});
        };
        startServer();
        RawCaller caller{m_server->address()};
        std::string requests;
        for (int request = 0; request < 10; ++request) {
            requests += request % 2 == 0 ? std::string{get} : post(3) + "abc";
        }
        caller.send(requests);
        await([&] { return caller.received().ends_with(std::string(50'000, 'j')); }, {&caller});
        std::size_t position = 0;
        for (char name = 'a'; name <= 'j'; ++name) {
            position = caller.received().find(std::string(50'000, name), position);
            CPPUNIT_ASSERT(position != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(10, m_handled);
    }

    void halfClosedCallerGetsItsWholeResponse()
    {
        m_body = std::string(300'000, 'x');
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(get);
        caller.endSending();
        for (int round = 0; round < 20; ++round) {
            advance(std::chrono::milliseconds{500});
        }
        await([&] { return caller.received().ends_with("\r\n\r\n" + m_body); }, {&caller});
    }

    void copiesOfAHeadAreCharged()
    {
        std::shared_ptr<HttpResponder> waiting;
        m_handler = [&waiting](const std::shared_ptr<HttpResponder> &responder) {
            waiting = responder;
        };
        startServer();
        RawCaller caller{m_server->address()};
        std::string head = "GET / HTTP/1.1\r\nhost: a\r\n";
        for (int line = 0; line < 20; ++line) {
            head += absl::StrCat("x-", line, ": ", std::string(1000, 'x'), "\r\n");
        }
        caller.send(head + "\r\n");
        await([&] { return waiting != nullptr; }, {});
        // The received head and three copies.
        CPPUNIT_ASSERT(m_memory->held(overload::HeldFor::Request) >= 80'000);
        waiting->respond({200, {}, "ok"});
        await([&] { return caller.received().ends_with("ok"); }, {&caller});
        runRounds();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_memory->held(overload::HeldFor::Request));
    }

    void chargesEndWithTheirConnections()
    {
        m_body = std::string(200'000, 'x');
        startServer();
        {
            std::vector<std::unique_ptr<RawCaller>> callers;
            for (int number = 0; number < 8; ++number) {
                callers.push_back(std::make_unique<RawCaller>(m_server->address()));
                callers.back()->send(number % 2 == 0 ? std::string{get} : post(20'000) + std::string(10'000, 'x'));
            }
            await([this] { return m_handled == 4; }, {});
            CPPUNIT_ASSERT(m_memory->held(overload::HeldFor::Request) > 0);
            CPPUNIT_ASSERT(m_memory->held() <= memoryLimit);
        }
        await([this] { return m_memory->held() == 0; }, {});
    }

    void slowHeadIsRejected()
    {
        startServer();
        RawCaller caller{m_server->address()};
        caller.send("GET / HTTP/1.1\r\n");
        runRounds();
        advance(headTimeout - std::chrono::milliseconds{600});
        caller.read();
        CPPUNIT_ASSERT(!caller.isClosed());
        caller.send("x");
        advance(std::chrono::milliseconds{1200});
        await([&] { return caller.isClosed(); }, {&caller});
        CPPUNIT_ASSERT_MESSAGE(caller.received(), caller.received().starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT_EQUAL(1, m_refused[CallerRefusal::HeadTooSlow]);
    }

    void slowBodyIsRejected()
    {
        startServer();
        RawCaller slow{m_server->address()};
        RawCaller steady{m_server->address()};
        slow.send(post(100'000));
        steady.send(post(100'000));
        for (int second = 0; second < 20; ++second) {
            slow.send("x");
            steady.send(std::string(1500, 'x'));
            runRounds();
            advance(std::chrono::seconds{1});
            slow.read();
            steady.read();
            if (slow.isClosed()) {
                break;
            }
        }
        CPPUNIT_ASSERT_MESSAGE(slow.received(), slow.received().starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT(!steady.isClosed());
        CPPUNIT_ASSERT(steady.received().empty());
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
    }

    void slowReaderIsClosed()
    {
        m_body = std::string(300'000, 'x');
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(get);
        await([this] { return m_handled == 1; }, {});
        for (int second = 0; second < 40 && m_refused[CallerRefusal::ReaderTooSlow] == 0; ++second) {
            advance(std::chrono::seconds{1});
        }
        CPPUNIT_ASSERT_EQUAL(1, m_refused[CallerRefusal::ReaderTooSlow]);
        await([&] { return caller.isClosed(); }, {&caller});
        CPPUNIT_ASSERT(!caller.received().ends_with("\r\n\r\n" + m_body));
        await([this] { return m_memory->held() == 0; }, {});
    }

    /*! @brief Guards against limits that count the time in which a response is awaited. */
    void waitingCallerIsNotSlow()
    {
        std::shared_ptr<HttpResponder> waiting;
        m_handler = [&waiting](const std::shared_ptr<HttpResponder> &responder) {
            waiting = responder;
        };
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(get);
        await([&] { return waiting != nullptr; }, {});
        for (int second = 0; second < 100; ++second) {
            advance(std::chrono::seconds{1});
        }
        waiting->respond({200, {}, "late"});
        await([&] { return caller.received().ends_with("late"); }, {&caller});
        CPPUNIT_ASSERT(!caller.isClosed());
    }

    void idleConnectionIsClosedAfterItsTime()
    {
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(get);
        await([&] { return !caller.received().empty(); }, {&caller});
        runRounds();
        advance(idleTimeout * 4 / 5);
        caller.send(get);
        await([this] { return m_handled == 2; }, {&caller});
        runRounds();
        advance(idleTimeout * 4 / 5);
        caller.read();
        CPPUNIT_ASSERT(!caller.isClosed());
        advance(idleTimeout);
        await([&] { return caller.isClosed(); }, {&caller});
    }

    void idlestConnectionIsReplaced()
    {
        startServer();
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int number = 0; number < maxConnections; ++number) {
            callers.push_back(std::make_unique<RawCaller>(m_server->address()));
            callers.back()->send(get);
            await([&] { return m_handled == number + 1; }, {});
            runRounds();
            m_clock.advance(std::chrono::milliseconds{10});
        }
        RawCaller further{m_server->address()};
        further.send(get);
        await([&] { return further.received().starts_with("HTTP/1.1 200"); }, {&further});
        await([&] { return callers.front()->isClosed(); }, {callers.front().get()});
        callers.back()->read();
        CPPUNIT_ASSERT(!callers.back()->isClosed());
        CPPUNIT_ASSERT_EQUAL(1, m_refused[CallerRefusal::ConnectionReplaced]);
    }

    void incompleteRequestIsReplacedBeforeARunningOne()
    {
        std::vector<std::shared_ptr<HttpResponder>> running;
        m_handler = [&running](const std::shared_ptr<HttpResponder> &responder) {
            running.push_back(responder);
        };
        startServer();
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int number = 0; number < maxConnections; ++number) {
            callers.push_back(std::make_unique<RawCaller>(m_server->address()));
            callers.back()->send(number == 2 ? std::string_view{"GET / HTTP/1.1\r\n"} : get);
            runRounds();
        }
        RawCaller further{m_server->address()};
        further.send(get);
        await([&] { return running.size() == maxConnections; }, {});
        await([&] { return callers[2]->isClosed(); }, {callers[2].get()});
        callers[0]->read();
        CPPUNIT_ASSERT(!callers[0]->isClosed());
    }

    void connectionIsClosedIfAllOthersRun()
    {
        std::vector<std::shared_ptr<HttpResponder>> running;
        m_handler = [&running](const std::shared_ptr<HttpResponder> &responder) {
            running.push_back(responder);
        };
        startServer();
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int number = 0; number < maxConnections; ++number) {
            callers.push_back(std::make_unique<RawCaller>(m_server->address()));
            callers.back()->send(get);
        }
        await([&] { return running.size() == maxConnections; }, {});
        RawCaller further{m_server->address()};
        await([&] { return further.isClosed(); }, {&further});
        CPPUNIT_ASSERT_EQUAL(1, m_refused[CallerRefusal::TooManyConnections]);
        // The others are still served.
        for (const auto &responder : running) {
            responder->respond({200, {}, "late"});
        }
        for (const auto &caller : callers) {
            await([&] { return caller->received().ends_with("late"); }, {caller.get()});
        }
    }

    void connectionWithoutMemoryIsClosed()
    {
        m_memory = std::make_shared<overload::MemoryAccount>(30'000, 1000);
        startServer();
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int number = 0; number < 6; ++number) {
            callers.push_back(std::make_unique<RawCaller>(m_server->address()));
            runRounds();
            CPPUNIT_ASSERT(m_memory->held() <= m_memory->limit());
        }
        callers.back()->read();
        CPPUNIT_ASSERT(callers.back()->isClosed());
        CPPUNIT_ASSERT(m_refused[CallerRefusal::TooManyConnections] != 0);
    }

    void http2IsNotSpokenUnlessSet()
    {
        startServer();
        RawCaller caller{m_server->address()};
        caller.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        await([&] { return caller.isClosed() || !caller.received().empty(); }, {&caller});
        CPPUNIT_ASSERT(caller.received().empty() || caller.received().starts_with("HTTP/1.1 4"));
        CPPUNIT_ASSERT_EQUAL(0, m_handled);
    }

    /*! @brief Guards against a pace that is asked of a caller whose request is complete. */
    void waitingHttp2CallerIsNotSlow()
    {
        std::shared_ptr<HttpResponder> waiting;
        m_handler = [&waiting](const std::shared_ptr<HttpResponder> &responder) {
            waiting = responder;
        };
        m_speaksHttp2 = true;
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(test::http2UnfinishedRequests("a", "/", {}, 1));
        runRounds();
        caller.send(test::http2DataFrames(1, 10, test::Http2End::Ended));
        await([&] { return waiting != nullptr; }, {&caller});
        for (int second = 0; second < 50; ++second) {
            advance(std::chrono::seconds{1});
        }
        caller.read();
        CPPUNIT_ASSERT(!caller.isClosed());
        CPPUNIT_ASSERT_EQUAL(0, m_refused[CallerRefusal::BodyTooSlow]);
        waiting->respond({200, {}, "late answer"});
        await([&] { return caller.received().find("late answer") != std::string::npos; }, {&caller});
    }

    void idleHttp2ConnectionIsReplaced()
    {
        m_speaksHttp2 = true;
        startServer();
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int number = 0; number < maxConnections; ++number) {
            callers.push_back(std::make_unique<RawCaller>(m_server->address()));
            callers.back()->send(test::http2UnfinishedRequests("a", "/", {}, 1));
            runRounds();
            callers.back()->send(test::http2DataFrames(1, 10, test::Http2End::Ended));
            await([&] { return m_handled == number + 1; }, {callers.back().get()});
            runRounds();
        }
        RawCaller further{m_server->address()};
        further.send(get);
        await([&] { return further.received().starts_with("HTTP/1.1 200"); }, {&further});
        CPPUNIT_ASSERT_EQUAL(1, m_refused[CallerRefusal::ConnectionReplaced]);
    }

    void slowHttp2BodyIsClosed()
    {
        m_speaksHttp2 = true;
        startServer();
        RawCaller caller{m_server->address()};
        caller.send(test::http2UnfinishedRequests("a", "/", {}, 1));
        runRounds();
        for (int second = 0; second < 20; ++second) {
            caller.send(test::http2DataFrames(1, 1));
            runRounds();
            advance(std::chrono::seconds{1});
            caller.read();
            if (caller.isClosed()) {
                break;
            }
        }
        CPPUNIT_ASSERT(caller.isClosed());
        CPPUNIT_ASSERT_EQUAL(1, m_refused[CallerRefusal::BodyTooSlow]);
    }

    void handledHttp2BodiesAreCharged()
    {
        std::vector<std::shared_ptr<HttpResponder>> waiting;
        m_handler = [&waiting](const std::shared_ptr<HttpResponder> &responder) {
            waiting.push_back(responder);
        };
        m_speaksHttp2 = true;
        startServer();
        RawCaller caller{m_server->address()};
        constexpr std::uint32_t streams = 3;
        caller.send(test::http2UnfinishedRequests("a", "/", {}, streams)
                    + test::http2DataFrames(streams, 16'000, test::Http2End::Ended));
        await([&] { return waiting.size() == streams; }, {&caller});
        // h2o's buffer and the copy of the handler.
        CPPUNIT_ASSERT(m_memory->held(overload::HeldFor::Request) >= std::size_t{2} * streams * 16'000);
    }

    /*! @brief h2o keeps half a megabyte of replies for a connection; the account bounds them over all. */
    void unreadHttp2RepliesAreBounded()
    {
        m_speaksHttp2 = true;
        startServer();
        std::vector<std::unique_ptr<RawCaller>> callers;
        std::vector<std::size_t> sent(maxConnections);
        for (int number = 0; number < maxConnections; ++number) {
            callers.push_back(std::make_unique<RawCaller>(m_server->address()));
            callers.back()->send(test::http2UnfinishedRequests("a", "/", {}, 0));
        }
        runRounds();
        const std::string pings = test::http2Pings(1000);
        for (int round = 0; round < 5000 && m_refused[CallerRefusal::RequestMemory] == 0; ++round) {
            for (std::size_t number = 0; number < callers.size(); ++number) {
                sent[number] += callers[number]->trySend(std::string_view{pings}.substr(sent[number] % pings.size()));
            }
            m_loop.runOnce(Duration::zero());
            CPPUNIT_ASSERT(m_memory->held() <= memoryLimit);
        }
        CPPUNIT_ASSERT(m_refused[CallerRefusal::RequestMemory] != 0);
        callers.clear();
        await([this] { return m_memory->held() == 0; }, {});
    }

private:
    static constexpr std::size_t memoryLimit = 1'500'000;
    static constexpr int maxConnections = 8;
    static constexpr Duration headTimeout = std::chrono::seconds{3};
    static constexpr Duration idleTimeout = std::chrono::seconds{15};

    /*! @brief Gives each connection a part that has room for little more than itself. */
    void useSmallParts()
    {
        constexpr std::size_t holders = 60;
        m_memory = std::make_shared<overload::MemoryAccount>(memoryLimit, holders);
    }

    void startServer()
    {
        HttpServerOptions options;
        options.listen = "127.0.0.1:0";
        options.maxBodyBytes = 1 << 20;
        options.headTimeout = headTimeout;
        options.idleTimeout = idleTimeout;
        options.maxConnections = maxConnections;
        options.memory = m_memory;
        options.speaksHttp2 = m_speaksHttp2;
        options.onRefused = [this](CallerRefusal refusal) {
            ++m_refused[refusal];
        };
        m_server.emplace(m_loop, options, [this](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
            m_handler(responder);
            ++m_handled;
        });
        CPPUNIT_ASSERT(m_server->listen().ok());
    }

    /*! @brief Runs the loop until a condition holds, without letting time pass; these callers read. */
    void await(const std::function<bool()> &condition, const std::vector<RawCaller *> &readers)
    {
        constexpr int maxRounds = 5000;
        for (int round = 0; round < maxRounds && !condition(); ++round) {
            m_loop.runOnce(std::chrono::milliseconds{1});
            for (RawCaller *reader : readers) {
                reader->read();
            }
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("handled: ", m_handled), condition());
    }

    /*! @brief Lets the server handle what has been sent. */
    void runRounds()
    {
        for (int round = 0; round < 20; ++round) {
            m_loop.runOnce(std::chrono::milliseconds{1});
        }
    }

    /*! @brief Lets time pass in steps in which the server reviews its connections. */
    void advance(Duration time)
    {
        constexpr Duration step = std::chrono::milliseconds{250};
        for (Duration passed{}; passed < time; passed += step) {
            m_clock.advance(std::min(step, time - passed));
            m_loop.runOnce(Duration::zero());
            m_loop.runOnce(Duration::zero());
        }
    }

    ManualClock m_clock;
    Loop m_loop{m_clock};
    std::shared_ptr<overload::MemoryAccount> m_memory{
        std::make_shared<overload::MemoryAccount>(memoryLimit, maxConnections)};
    std::string m_body{"ok"};
    std::function<void(const std::shared_ptr<HttpResponder> &responder)> m_handler{
        [this](const std::shared_ptr<HttpResponder> &responder) {
            responder->respond({200, {}, m_body});
        }};
    int m_handled{};
    bool m_speaksHttp2{};
    std::map<CallerRefusal, int> m_refused;
    std::optional<HttpServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitsTest);
