#include "bergamottide/net/headcheck.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/socketaddress.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>

using namespace bergamottide;

class HeadCheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeadCheckTest);
    CPPUNIT_TEST(takesOrdinaryHeads);
    CPPUNIT_TEST(refusesFramingThatIsNone);
    CPPUNIT_TEST(looksNoFurtherThanTheHead);
    CPPUNIT_TEST(clientSurvivesABrokenLength);
    CPPUNIT_TEST(clientSurvivesAnUnknownEncoding);
    CPPUNIT_TEST_SUITE_END();

public:
    void takesOrdinaryHeads()
    {
        CPPUNIT_ASSERT(internal::framingIsSound("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"));
        CPPUNIT_ASSERT(internal::framingIsSound("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"));
        CPPUNIT_ASSERT(internal::framingIsSound("HTTP/1.1 200 OK\r\nX: y"));
        CPPUNIT_ASSERT(internal::framingIsSound(""));
    }

    void refusesFramingThatIsNone()
    {
        CPPUNIT_ASSERT(!internal::framingIsSound("HTTP/1.1 200 OK\r\ncontent-length: minus\r\n"));
        CPPUNIT_ASSERT(!internal::framingIsSound("HTTP/1.1 200 OK\r\ncontent-length: -1\r\n"));
        CPPUNIT_ASSERT(!internal::framingIsSound("HTTP/1.1 200 OK\r\ncontent-length:\r\n"));
        CPPUNIT_ASSERT(!internal::framingIsSound("HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n"));
        CPPUNIT_ASSERT(!internal::framingIsSound("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n"));
    }

    void looksNoFurtherThanTheHead()
    {
        CPPUNIT_ASSERT(internal::framingIsSound("HTTP/1.1 200 OK\r\n\r\ncontent-length: minus\r\n"));
    }

    void clientSurvivesABrokenLength()
    {
        CPPUNIT_ASSERT(failureOf("HTTP/1.1 200 OK\r\nContent-Length: minus\r\n\r\n{}") == HttpFailure::Malformed);
    }

    void clientSurvivesAnUnknownEncoding()
    {
        CPPUNIT_ASSERT(failureOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\n{}") == HttpFailure::Malformed);
    }

private:
    /*! @brief Calls a server that answers any request with these bytes. */
    static std::optional<HttpFailure> failureOf(const std::string &bytes)
    {
        const int listener = *listenOn(*parseSocketAddress("127.0.0.1:0"));
        const std::string address = boundAddress(listener);
        SystemClock clock;
        Loop loop{clock};
        HttpClient client{loop, {}};
        std::optional<HttpFailure> failure;
        HttpCallHooks hooks;
        hooks.failed = [&failure](HttpFailure reason) {
            failure = reason;
        };
        client.call(address, {"GET", "/", "", {}, ""}, hooks);
        int connection = -1;
        for (int round = 0; round < maxRounds && !failure; ++round) {
            loop.runOnce(roundWait);
            if (connection < 0) {
                connection = accept(listener, nullptr, nullptr);
                continue;
            }
            static_cast<void>(send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
        }
        close(connection);
        close(listener);
        return failure;
    }

    static constexpr int maxRounds = 500;
    static constexpr Duration roundWait = std::chrono::milliseconds{10};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadCheckTest);
