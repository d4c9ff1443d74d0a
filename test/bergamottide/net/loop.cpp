#include "bergamottide/net/loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>

#include <array>

using namespace bergamottide;

class LoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoopTest);
    CPPUNIT_TEST(whatATaskHasWrittenIsFinishedWithoutWaiting);
    CPPUNIT_TEST_SUITE_END();

public:
    void whatATaskHasWrittenIsFinishedWithoutWaiting()
    {
        SystemClock clock;
        Loop loop{clock};
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()));
        h2o_socket_t *socket = h2o_evloop_socket_create(loop.native(), ends[0], H2O_SOCKET_FLAG_DONT_READ);
        socket->data = this;
        const TimePoint begin = clock.now();
        for (int write = 0; write < writes; ++write) {
            m_written = false;
            loop.post([socket] {
                h2o_iovec_t bytes = h2o_iovec_init(H2O_STRLIT("x"));
                h2o_socket_write(socket, &bytes, 1, &LoopTest::onWritten);
            });
            while (!m_written) {
                loop.runOnce(wait);
            }
        }
        // Each write needs two rounds; one that waits for a socket takes the whole wait.
        CPPUNIT_ASSERT(clock.now() - begin < wait * writes / 2);
        h2o_socket_close(socket);
    }

private:
    static void onWritten(h2o_socket_t *socket, const char *)
    {
        static_cast<LoopTest *>(socket->data)->m_written = true;
    }

    static constexpr int writes = 20;
    static constexpr Duration wait = std::chrono::milliseconds{200};
    bool m_written{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopTest);
