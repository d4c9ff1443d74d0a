#include "bergamottide/net/httpclient.h"
#include "support/drawnanswers.h"
#include "support/endedcall.h"
#include "support/rawserver.h"
#include "support/repeatingserver.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>

using namespace bergamottide;
using namespace bergamottide::test;

/*! @brief Answers whose connection ends after each of their bytes. */
class CutAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutAnswersTest);
    CPPUNIT_TEST(onlyWholeAnswersAreDone);
    CPPUNIT_TEST(onlyWholeAnswersAreDoneOnKeptConnections);
    CPPUNIT_TEST(connectionOfACancelledAnswerIsNotUsedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a cut answer that is passed on as a whole one with a short or empty body. */
    void onlyWholeAnswersAreDone()
    {
        cutDrawnAnswers(Connection::Fresh);
    }

    /*! @brief The same after another answer on the connection, of which nothing may be left. */
    void onlyWholeAnswersAreDoneOnKeptConnections()
    {
        cutDrawnAnswers(Connection::Pooled);
    }

    /*! @brief Guards against a late second refusal on a connection that was to be closed, but had no body to wait for.
     */
    void connectionOfACancelledAnswerIsNotUsedAgain()
    {
        for (const std::string body : {"", "x"}) {
            RepeatingServer server{Repetition::Never, 1, "", [&body](const HttpRequest &) {
                                       return HttpResponse{503, {}, body};
                                   }};
            HttpClient client{m_loop, HttpClientOptions{}};
            bool isCancelled = false;
            HttpCallId call{};
            HttpCallHooks hooks;
            hooks.head = [&](int, const HttpHeaders &) {
                client.cancel(call);
                isCancelled = true;
            };
            call = client.call(server.address(), HttpRequest{"GET", "/", "", {}, ""}, std::move(hooks));
            runUntil(m_loop, [&] { return isCancelled; });
            EndedCall second;
            client.call(server.address(), HttpRequest{"GET", "/", "", {}, ""}, recordingHooks(second));
            runUntil(m_loop, [&] { return second.answer || second.failure; });
            CPPUNIT_ASSERT_MESSAGE(body, second.answer);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, std::size_t{2}, server.connections());
        }
    }

private:
    static constexpr int answers = 40;

    void cutDrawnAnswers(Connection connection)
    {
        std::mt19937 random{1};
        for (int count = 0; count < answers; ++count) {
            const std::optional<SoundAnswer> first =
                connection == Connection::Pooled ? std::optional{drawKeptAnswer(random)} : std::nullopt;
            const SoundAnswer answer = drawSoundAnswer(random);
            for (std::size_t size = 0; size <= answer.bytes.size(); ++size) {
                cut(first, answer, size, ConnectionEnd::Orderly);
                cut(first, answer, size, ConnectionEnd::Reset);
            }
        }
    }

    void cut(const std::optional<SoundAnswer> &first, const SoundAnswer &answer, std::size_t size, ConnectionEnd end)
    {
        const std::string sent = answer.bytes.substr(0, size);
        const std::string draw = absl::StrCat(first ? first->bytes : "", "|", sent, "|", end == ConnectionEnd::Reset);
        {
            const std::lock_guard lock{m_mutex};
            m_script = RawScript{sent, {}, 0, first ? first->bytes : "", end};
        }
        // A client of its own keeps no connection of an earlier draw.
        HttpClient client{m_loop, {}};
        if (first) {
            checkWhole(draw, *first, call(client, Connection::Pooled));
        }
        const EndedCall outcome = call(client, first ? Connection::Pooled : Connection::Fresh);
        const std::optional<std::string> body = answer.bodyAfter(size, end);
        CPPUNIT_ASSERT_MESSAGE(draw, body || !outcome.answer);
        // A reset may come before the client has read the bytes sent.
        if (end == ConnectionEnd::Orderly || outcome.answer) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(draw, body.has_value(), outcome.answer.has_value());
            CPPUNIT_ASSERT_MESSAGE(draw,
                                   !body || (outcome.answer->body == *body && outcome.answer->status == answer.status));
        }
        CPPUNIT_ASSERT_MESSAGE(draw, outcome.answer || outcome.failure == HttpFailure::Broken);
    }

    static void checkWhole(const std::string &draw, const SoundAnswer &answer, const EndedCall &outcome)
    {
        CPPUNIT_ASSERT_MESSAGE(draw, outcome.answer.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(draw, answer.status, outcome.answer->status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(draw, answer.body, outcome.answer->body);
    }

    EndedCall call(HttpClient &client, Connection connection)
    {
        EndedCall outcome;
        const HttpCallId id =
            client.call(m_server.address(), {"GET", "/", "", {}, ""}, recordingHooks(outcome), connection);
        runUntil(m_loop, [&outcome] { return outcome.answer || outcome.failure; });
        client.cancel(id);
        return outcome;
    }

    std::mutex m_mutex;
    RawScript m_script;
    RawServer m_server{[this] {
        const std::lock_guard lock{m_mutex};
        return m_script;
    }};
    SystemClock m_clock;
    Loop m_loop{m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutAnswersTest);
