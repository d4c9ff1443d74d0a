#include "bergamottide/app/peerport.h"
#include "support/drawnanswers.h"
#include "support/rawserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;

/*! @brief Calls between two processes through sockets. */
class PeerPortTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerPortTest);
    CPPUNIT_TEST(looksUpTheVersionOfAStream);
    CPPUNIT_TEST(lookupAtAPeerThatIsGoneEndsWithoutAVersion);
    CPPUNIT_TEST(cutAnswersOfAPeerNameNoVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a stream that resumes at the version of a shortened name. */
    void cutAnswersOfAPeerNameNoVersion()
    {
        constexpr int answers = 30;
        std::mt19937 random{1};
        std::mutex mutex;
        test::RawScript script;
        test::RawServer peer{[&mutex, &script] {
            const std::lock_guard lock{mutex};
            return script;
        }};
        for (int count = 0; count < answers; ++count) {
            const std::string version = "v1.23";
            const test::SoundAnswer answer = test::drawAnswerOf(random, version);
            // Peers never frame an answer by the connection's end.
            for (std::size_t size = 0; !answer.endsWithConnection && size <= answer.bytes.size(); ++size) {
                const auto end = random() % 2 == 0 ? test::ConnectionEnd::Orderly : test::ConnectionEnd::Reset;
                {
                    const std::lock_guard lock{mutex};
                    script = {answer.bytes.substr(0, size), {}, 0, {}, end};
                }
                const auto found = lookUp(known, peer.address());
                if (size < answer.bytes.size()) {
                    CPPUNIT_ASSERT_MESSAGE(script.head, !found);
                } else if (end == test::ConnectionEnd::Orderly) {
                    CPPUNIT_ASSERT_MESSAGE(script.head, found == std::optional{SoftwareVersion{version}});
                }
            }
        }
    }

    void looksUpTheVersionOfAStream()
    {
        CPPUNIT_ASSERT(m_asked.listen().ok());
        CPPUNIT_ASSERT(lookUp(known, m_asked.address()) == std::optional{SoftwareVersion{"v1"}});
        CPPUNIT_ASSERT(m_arrived.pool == m_query.pool);
        CPPUNIT_ASSERT_EQUAL(m_query.lastPart.id, m_arrived.lastPart.id);
        CPPUNIT_ASSERT_EQUAL(m_query.lastPart.tokens, m_arrived.lastPart.tokens);
        CPPUNIT_ASSERT(m_arrived.lifetime == m_query.lifetime);
        CPPUNIT_ASSERT(lookUp(StreamKey{7}, m_asked.address()) == std::nullopt);
    }

    void lookupAtAPeerThatIsGoneEndsWithoutAVersion()
    {
        CPPUNIT_ASSERT(m_asked.listen().ok());
        const std::string address = m_asked.address();
        m_server.reset();
        CPPUNIT_ASSERT(lookUp(known, address) == std::nullopt);
    }

private:
    static constexpr StreamKey known{0xfedcba9876543210};
    static constexpr CallId call{3};

    /*! @brief Asks a peer and returns its answer. */
    [[nodiscard]] std::optional<SoftwareVersion> lookUp(StreamKey stream, const std::string &address)
    {
        m_ended.clear();
        StreamQuery asked = m_query;
        asked.stream = stream;
        m_asking.carryOut(LookUpStream{call, asked, address});
        while (m_ended.empty()) {
            m_loop.runOnce(std::chrono::milliseconds{10});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_ended.size());
        CPPUNIT_ASSERT(m_ended.front().call == call);
        return m_ended.front().version;
    }

    [[nodiscard]] PeerPortHooks hooks()
    {
        PeerPortHooks hooks;
        hooks.submit = [this](const Event &event) {
            if (const auto *ended = std::get_if<StreamLookupEnded>(&event)) {
                m_ended.push_back(*ended);
            }
            if (const auto *arrived = std::get_if<StreamQueryArrived>(&event)) {
                m_arrived = arrived->query;
                const bool isKnown = arrived->query.stream == known;
                m_server->carryOut(
                    AnswerStreamQuery{arrived->number, isKnown ? std::optional{SoftwareVersion{"v1"}} : std::nullopt});
            }
        };
        hooks.heartbeat = [](const std::string &) {
            return Heartbeat{};
        };
        hooks.log = [](const LogLine &) {
        };
        return hooks;
    }

    const StreamQuery m_query{known, PoolName{"engines"}, {"5c1e", 800}, std::chrono::seconds{6}};
    SystemClock m_clock;
    Loop m_loop{m_clock};
    StreamQuery m_arrived;
    std::vector<StreamLookupEnded> m_ended;
    std::optional<PeerPort> m_server{std::in_place, m_loop, "127.0.0.1:0", hooks()};
    PeerPort &m_asked{*m_server};
    PeerPort m_asking{m_loop, "127.0.0.1:0", hooks()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerPortTest);
