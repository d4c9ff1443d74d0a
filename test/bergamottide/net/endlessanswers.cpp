#include "bergamottide/net/httpclient.h"
#include "support/rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

using namespace bergamottide;
using test::RawScript;
using test::RawServer;

/*! @brief Answers whose bytes go on until the client closes the connection. */
class EndlessAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessAnswersTest);
    CPPUNIT_TEST(chunkExtensionWithoutEndIsGivenUp);
    CPPUNIT_TEST(trailersWithoutEndAreGivenUp);
    CPPUNIT_TEST(chunkSizeWithoutEndIsGivenUp);
    CPPUNIT_TEST(headerLineWithoutEndIsGivenUp);
    CPPUNIT_TEST(bodyOfOneByteChunksIsWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void chunkExtensionWithoutEndIsGivenUp()
    {
        checkGivenUp(chunkedHead + "1;", std::string(4096, 'x'));
    }

    void trailersWithoutEndAreGivenUp()
    {
        checkGivenUp(chunkedHead + "1\r\nx\r\n0\r\n", repeated("X: y\r\n"));
    }

    void chunkSizeWithoutEndIsGivenUp()
    {
        checkGivenUp(chunkedHead, repeated("0"));
    }

    void headerLineWithoutEndIsGivenUp()
    {
        checkGivenUp("HTTP/1.1 200 OK\r\nX: ", std::string(4096, 'x'));
    }

    /*! @brief Frames of small chunks are larger than what they carry. */
    void bodyOfOneByteChunksIsWhole()
    {
        const RawServer server{RawScript{chunkedHead, repeated("1\r\nx\r\n"), 50}};
        const Result result = call(server.address());
        // The script ends without a last chunk.
        CPPUNIT_ASSERT(result.failure == HttpFailure::Broken);
        CPPUNIT_ASSERT_EQUAL(50 * repetitions, result.received);
    }

private:
    struct Result
    {
        std::optional<HttpFailure> failure;
        std::size_t received{};
    };

    static constexpr std::size_t scriptBytes = 64u << 20;
    /*! @brief The client's bound, and what the sockets hold. */
    static constexpr std::size_t maxSentBytes = 16u << 20;
    static constexpr std::size_t repetitions = 1000;
    static constexpr Duration patience = std::chrono::seconds{30};
    static constexpr Duration roundWait = std::chrono::milliseconds{10};
    inline static const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    static std::string repeated(const std::string &text)
    {
        std::string out;
        for (std::size_t count = 0; count < repetitions; ++count) {
            out += text;
        }
        return out;
    }

    void checkGivenUp(const std::string &head, const std::string &repeated)
    {
        const RawServer server{RawScript{head, repeated, scriptBytes / repeated.size()}};
        const Result result = call(server.address());
        CPPUNIT_ASSERT(result.failure);
        CPPUNIT_ASSERT(result.received <= 1);
        CPPUNIT_ASSERT(server.sent() < maxSentBytes);
    }

    Result call(const std::string &address)
    {
        Result result;
        HttpCallHooks hooks;
        hooks.piece = [&result](std::string_view piece) {
            result.received += piece.size();
        };
        hooks.failed = [&result](HttpFailure failure) {
            result.failure = failure;
        };
        bool isDone = false;
        hooks.done = [&isDone](const HttpResponse &) {
            isDone = true;
        };
        m_client.call(address, {"GET", "/", "", {}, ""}, hooks);
        const TimePoint giveUpAt = m_loop.now() + patience;
        while (!result.failure && !isDone && m_loop.now() < giveUpAt) {
            m_loop.runOnce(roundWait);
        }
        return result;
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    HttpClient m_client{m_loop, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswersTest);
