#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/socketaddress.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <thread>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bergamottide;

namespace {

/*! @brief How a server of the test ends its connection. */
enum class ConnectionEnd : std::uint8_t
{
    Close,
    Reset
};

/*! @brief Server that takes one request, sends fixed bytes and ends the connection. */
class OneAnswer
{
public:
    OneAnswer(std::string bytes, ConnectionEnd end)
        : m_listener{*listenOn(*parseSocketAddress("127.0.0.1:0"))}
        , m_thread{[this, bytes = std::move(bytes), end] {
            serve(bytes, end);
        }}
    {
    }

    OneAnswer(const OneAnswer &) = delete;
    OneAnswer &operator=(const OneAnswer &) = delete;

    ~OneAnswer()
    {
        m_thread.join();
        close(m_listener);
    }

    [[nodiscard]] std::string address() const
    {
        return boundAddress(m_listener);
    }

private:
    void serve(const std::string &bytes, ConnectionEnd end) const
    {
        pollfd waiting{m_listener, POLLIN, 0};
        static_cast<void>(poll(&waiting, 1, -1));
        const int connection = accept(m_listener, nullptr, nullptr);
        std::string read(4096, '\0');
        static_cast<void>(recv(connection, read.data(), read.size(), 0));
        static_cast<void>(send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        if (end == ConnectionEnd::Reset) {
            // The bytes are to be read before the reset takes effect.
            std::this_thread::sleep_for(std::chrono::milliseconds{100});
            const linger option{1, 0};
            static_cast<void>(setsockopt(connection, SOL_SOCKET, SO_LINGER, &option, sizeof(option)));
        }
        close(connection);
    }

    int m_listener;
    std::thread m_thread;
};

} // namespace

/*! @brief How the client tells a whole answer from one that was cut off. */
class AnswerEndsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerEndsTest);
    CPPUNIT_TEST(chunkedBodyThatEndsWithItsLastChunkIsWhole);
    CPPUNIT_TEST(chunkedBodyThatIsClosedBetweenChunksIsBroken);
    CPPUNIT_TEST(bodyWithoutLengthThatIsClosedIsWhole);
    CPPUNIT_TEST(bodyWithoutLengthThatIsResetIsBroken);
    CPPUNIT_TEST(bodyShorterThanItsLengthIsBroken);
    CPPUNIT_TEST_SUITE_END();

public:
    void chunkedBodyThatEndsWithItsLastChunkIsWhole()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"done abc"},
                             outcome("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", ConnectionEnd::Close));
    }

    void chunkedBodyThatIsClosedBetweenChunksIsBroken()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"broken"},
                             outcome("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", ConnectionEnd::Close));
    }

    void bodyWithoutLengthThatIsClosedIsWhole()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"done abc"}, outcome("Connection: close\r\n\r\nabc", ConnectionEnd::Close));
    }

    void bodyWithoutLengthThatIsResetIsBroken()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"broken"}, outcome("Connection: close\r\n\r\nabc", ConnectionEnd::Reset));
    }

    void bodyShorterThanItsLengthIsBroken()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"broken"}, outcome("Content-Length: 4\r\n\r\nabc", ConnectionEnd::Close));
    }

private:
    std::string outcome(const std::string &answer, ConnectionEnd end)
    {
        const OneAnswer server{"HTTP/1.1 200 OK\r\n" + answer, end};
        std::optional<std::string> result;
        HttpCallHooks hooks;
        hooks.done = [&result](const HttpResponse &whole) {
            result = "done " + whole.body;
        };
        hooks.failed = [&result](HttpFailure failure) {
            result = std::string{enumName(failure)};
        };
        HttpRequest request;
        request.method = "GET";
        request.path = "/";
        m_client.call(server.address(), request, hooks);
        test::runUntil(m_loop, [&result] { return result.has_value(); });
        return result.value_or("nothing");
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    HttpClient m_client{m_loop, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerEndsTest);
