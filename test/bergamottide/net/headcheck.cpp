#include "bergamottide/net/headcheck.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/socketaddress.h"
#include "support/drawnanswers.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;

class HeadCheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeadCheckTest);
    CPPUNIT_TEST(takesOrdinaryHeads);
    CPPUNIT_TEST(refusesFramingThatIsNone);
    CPPUNIT_TEST(looksNoFurtherThanTheHead);
    CPPUNIT_TEST(clientSurvivesABrokenLength);
    CPPUNIT_TEST(clientSurvivesAnUnknownEncoding);
    CPPUNIT_TEST(clientReadsCodingsHoweverTheyAreSpelled);
    CPPUNIT_TEST(clientSurvivesFramingBehindAnInterimAnswer);
    CPPUNIT_TEST(clientSurvivesLinesThatReadersTakeDifferently);
    CPPUNIT_TEST(clientTakesNoLengthForPartOfAChunk);
    CPPUNIT_TEST(clientEndsHeadsWithoutEnd);
    CPPUNIT_TEST(clientSurvivesDrawnHeads);
    CPPUNIT_TEST_SUITE_END();

public:
    void takesOrdinaryHeads()
    {
        CPPUNIT_ASSERT(isSound("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"));
        CPPUNIT_ASSERT(isSound("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"));
        CPPUNIT_ASSERT(isSound("HTTP/1.1 200 OK\r\nX: y"));
        CPPUNIT_ASSERT(isSound(""));
    }

    void refusesFramingThatIsNone()
    {
        CPPUNIT_ASSERT(!isSound("HTTP/1.1 200 OK\r\ncontent-length: minus\r\n"));
        CPPUNIT_ASSERT(!isSound("HTTP/1.1 200 OK\r\ncontent-length: -1\r\n"));
        CPPUNIT_ASSERT(!isSound("HTTP/1.1 200 OK\r\ncontent-length:\r\n"));
        CPPUNIT_ASSERT(!isSound("HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n"));
        CPPUNIT_ASSERT(!isSound("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n"));
    }

    void looksNoFurtherThanTheHead()
    {
        CPPUNIT_ASSERT(isSound("HTTP/1.1 200 OK\r\n\r\ncontent-length: minus\r\n"));
    }

    void clientSurvivesABrokenLength()
    {
        CPPUNIT_ASSERT(failureOf("HTTP/1.1 200 OK\r\nContent-Length: minus\r\n\r\n{}") == HttpFailure::Malformed);
    }

    void clientSurvivesAnUnknownEncoding()
    {
        CPPUNIT_ASSERT(failureOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\n{}") == HttpFailure::Malformed);
    }

    /*! @brief HTTP/1.1 compares names of codings without case, and blanks around a value do not belong to it. */
    void clientReadsCodingsHoweverTheyAreSpelled()
    {
        for (const std::string coding : {"Chunked", "CHUNKED", "chunked ", " \tchunked\t ", "chunked"}) {
            const std::string bytes =
                absl::StrCat("HTTP/1.1 200 OK\r\nTransfer-Encoding:", coding, "\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, std::string{"{}"}, bodyOf(bytes));
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"{}"}, bodyOf("HTTP/1.1 200 OK\r\nContent-Length: 2 \r\n\r\n{}"));
    }

    void clientSurvivesFramingBehindAnInterimAnswer()
    {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        for (const std::string header : {"Transfer-Encoding: x", "Content-Length: minus", "Transfer-Encoding:"}) {
            const std::string bytes = absl::StrCat(interim, "HTTP/1.1 200 OK\r\n", header, "\r\n\r\n{}");
            CPPUNIT_ASSERT_MESSAGE(header, failureOf(bytes) == HttpFailure::Malformed);
        }
    }

    void clientSurvivesLinesThatReadersTakeDifferently()
    {
        for (const std::string lines :
             {" \r\nTransfer-Encoding: x", "Transfer-Encoding :x", "Transfer-Encoding:\r\n x", "no colon",
              "Content-Length: 2\r\nContent-Length: 3", "Transfer-Encoding: gzip, chunked"}) {
            CPPUNIT_ASSERT_MESSAGE(lines,
                                   failureOf("HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\n{}") == HttpFailure::Malformed);
        }
        CPPUNIT_ASSERT(failureOf("\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\n") == HttpFailure::Malformed);
        CPPUNIT_ASSERT(failureOf("HTTP/1.1 099 None\r\n\r\n") == HttpFailure::Malformed);
        // No request of the client asks for another protocol.
        CPPUNIT_ASSERT(failureOf("HTTP/1.1 101 Switching Protocols\r\n\r\n") == HttpFailure::Malformed);
    }

    /*! @brief Guards against a chunk read with the digits of a length before its own, whose body takes in its framing.
     */
    void clientTakesNoLengthForPartOfAChunk()
    {
        const std::string length = "Content-Length: 1\r\n";
        const std::string chunks = "Transfer-Encoding: chunked\r\n";
        // The first chunk read as one of 0x11 bytes ends within the second.
        const std::string body = "\r\n1\r\na\r\nc\r\nbbbbbbbbbbb\r\r\n0\r\n\r\n";
        for (const std::string &fields : {length + chunks, chunks + length}) {
            const Result result = exchange(absl::StrCat("HTTP/1.1 200 OK\r\n", fields, body));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, std::string{}, result.body);
            CPPUNIT_ASSERT_MESSAGE(fields, result.failure == HttpFailure::Malformed);
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"abbbbbbbbbbb\r"}, bodyOf(absl::StrCat("HTTP/1.1 200 OK\r\n", chunks, body)));
        // An interim head says nothing of the framing of the final one.
        const std::string interim = absl::StrCat("HTTP/1.1 103 Early Hints\r\n", length, "\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string{"abbbbbbbbbbb\r"},
                             bodyOf(absl::StrCat(interim, "HTTP/1.1 200 OK\r\n", chunks, body)));
    }

    void clientEndsHeadsWithoutEnd()
    {
        const std::string many(200'000, 'x');
        CPPUNIT_ASSERT(failureOf("HTTP/1.1 200 OK\r\nX: " + many) == HttpFailure::TooLarge);
        std::string interims;
        while (interims.size() < many.size()) {
            interims += "HTTP/1.1 102 Processing\r\n\r\n";
        }
        CPPUNIT_ASSERT(failureOf(interims) == HttpFailure::TooLarge);
    }

    /*! @brief Heads drawn by a grammar, through the check and the client: each ends in an answer or a failure. */
    void clientSurvivesDrawnHeads()
    {
        std::mt19937 random{1};
        for (int count = 0; count < 300; ++count) {
            static_cast<void>(exchange(test::drawAnswer(random, count % 4 != 0)));
        }
    }

private:
    static bool isSound(std::string bytes)
    {
        return internal::checkHead(bytes) != internal::HeadState::Malformed;
    }

    static std::optional<HttpFailure> failureOf(const std::string &bytes)
    {
        return exchange(bytes).failure;
    }

    static std::string bodyOf(const std::string &bytes)
    {
        return exchange(bytes).body;
    }

    struct Result
    {
        std::optional<HttpFailure> failure;
        bool isWhole{};
        std::string body;
    };

    /*! @brief Calls a server that answers any request with these bytes. */
    static Result exchange(const std::string &bytes)
    {
        const int listener = *listenOn(*parseSocketAddress("127.0.0.1:0"));
        const std::string address = boundAddress(listener);
        SystemClock clock;
        Loop loop{clock};
        HttpClient client{loop, {}};
        Result result;
        HttpCallHooks hooks;
        hooks.failed = [&result](HttpFailure reason) {
            result.failure = reason;
        };
        hooks.done = [&result](HttpResponse answer) {
            result.isWhole = true;
            result.body = std::move(answer.body);
        };
        client.call(address, {"GET", "/", "", {}, ""}, hooks);
        int connection = -1;
        std::size_t sent = 0;
        const TimePoint giveUpAt = loop.now() + test::patience;
        while (!result.failure && !result.isWhole && loop.now() < giveUpAt) {
            loop.runOnce(roundWait);
            if (connection < 0) {
                connection = accept(listener, nullptr, nullptr);
                continue;
            }
            const auto part = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            sent += part > 0 ? static_cast<std::size_t>(part) : 0;
            if (sent == bytes.size()) {
                shutdown(connection, SHUT_WR);
            }
        }
        close(connection);
        close(listener);
        CPPUNIT_ASSERT_MESSAGE(bytes, result.failure || result.isWhole);
        return result;
    }

    static constexpr Duration roundWait = std::chrono::milliseconds{10};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadCheckTest);
