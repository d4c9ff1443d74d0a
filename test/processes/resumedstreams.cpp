#include "bergamottide/net/httpclient.h"
#include "platform/fakes.h"
#include "platform/streamengine.h"
#include "processes/platformprocesses.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::test;

namespace {

constexpr std::size_t processCount = 3;
constexpr std::size_t enginesOfAVersion = 2;
constexpr std::size_t streamCount = 24;

/*! @brief A caller's stream over its attempts. */
struct Stream
{
    std::string firstAttempt;
    /*! @brief The attempt in progress, or the last one. */
    std::string attempt;
    std::string prompt;
    std::size_t events{};
    /*! @brief Events before it is resumed. */
    std::size_t eventsBefore{};
    std::set<std::string> versions;
    HttpCallId call{};
    bool hasEnded{};
};

} // namespace

/*! @brief Streams that their callers resume after processes have been killed at once. */
class ResumedStreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResumedStreamsTest);
    CPPUNIT_TEST(streamsOfAVersionThatIsGoneAreRejected);
    CPPUNIT_TEST(streamsThatALivingProcessKnowsAreRejectedWithTheirVersion);
    CPPUNIT_TEST(streamsOfAVersionThatLeavesAreRejected);
    CPPUNIT_TEST(streamsOfTwoVersionsContinueAtTheirOwn);
    CPPUNIT_TEST(streamsOfSessionsStayAtTheirVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_store.keepHistory();
        publish();
        m_processes.emplace(m_loop, m_store.address(), processCount);
        m_processes->start();
    }

    void tearDown() override
    {
        for (const Stream &stream : m_streams) {
            m_client.cancel(stream.call);
        }
        m_processes.reset();
    }

    /*! @brief Guards against streams of two versions: processes that start again see only one of them. */
    void streamsOfAVersionThatIsGoneAreRejected()
    {
        beginStreamsOfTwoVersions();
        loseProcesses(processCount, [this] { removeFormerEngines(); });
        check(false);
    }

    /*! @brief Guards against a process that starts again and does not ask the one that knows the version (review/2). */
    void streamsThatALivingProcessKnowsAreRejectedWithTheirVersion()
    {
        beginStreamsOfTwoVersions();
        loseProcesses(processCount - 1, [this] { removeFormerEngines(); });
        check(false);
    }

    /*! @brief Guards against streams of two versions while the engines of one are draining. */
    void streamsOfAVersionThatLeavesAreRejected()
    {
        beginStreamsOfTwoVersions();
        loseProcesses(processCount, [this] { publishEngines("v1", "draining"); });
        check(false);
    }

    /*! @brief Guards against rejecting all streams that nobody but their engines knows. */
    void streamsOfTwoVersionsContinueAtTheirOwn()
    {
        beginStreamsOfTwoVersions();
        loseProcesses(processCount, [] {});
        check(true);
    }

    /*! @brief Guards against a stream that goes on where only an earlier request of its session ran (review/6). */
    void streamsOfSessionsStayAtTheirVersion()
    {
        beginStreams(ownPrompts());
        std::vector<std::string> prompts;
        for (const Stream &stream : std::exchange(m_streams, {})) {
            if (stream.versions.contains("v2")) {
                prompts.push_back(stream.prompt);
            }
        }
        for (const auto &engine : m_engines["v2"]) {
            engine->setOtherRuns(60);
        }
        // The first of these requests tell the processes how busy the engines are.
        beginStreams(prompts);
        beginStreams(prompts);
        loseProcesses(processCount, [this] { removeFormerEngines(); });
        check(false);
    }

private:
    void publish()
    {
        publishChat(m_store);
        for (const std::string version : {"v1", "v2"}) {
            for (std::size_t engine = 0; engine < enginesOfAVersion; ++engine) {
                m_engines[version].push_back(std::make_unique<StreamEngine>(m_loop, version));
            }
            publishEngines(version, "ready");
        }
    }

    void removeFormerEngines()
    {
        for (std::size_t engine = 0; engine < enginesOfAVersion; ++engine) {
            m_store.remove(absl::StrCat("servers/v1-", engine));
        }
    }

    void publishEngines(const std::string &version, const std::string &state)
    {
        for (std::size_t engine = 0; engine < enginesOfAVersion; ++engine) {
            m_store.publish(absl::StrCat("servers/", version, "-", engine), m_engines[version][engine]->entry(state));
        }
    }

    /*! @brief Returns prompts whose last parts belong to one request each. */
    [[nodiscard]] static std::vector<std::string> ownPrompts()
    {
        std::vector<std::string> prompts;
        for (std::size_t index = 0; index < streamCount; ++index) {
            prompts.push_back(absl::StrCat("5c1e:100,", absl::Hex(index + 1, absl::kZeroPad8), ":100"));
        }
        return prompts;
    }

    /*! @brief Begins a stream for each prompt, and waits until all have events. */
    void beginStreams(const std::vector<std::string> &prompts)
    {
        m_streams.assign(prompts.size(), {});
        for (std::size_t index = 0; index < prompts.size(); ++index) {
            m_streams[index].prompt = prompts[index];
            attempt(index, index % processCount);
        }
        m_processes->runUntil(
            [this] { return std::ranges::all_of(m_streams, [](const Stream &stream) { return stream.events >= 2; }); });
    }

    void beginStreamsOfTwoVersions()
    {
        beginStreams(ownPrompts());
        std::set<std::string> versions;
        for (const Stream &stream : m_streams) {
            versions.insert(stream.versions.begin(), stream.versions.end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, versions.size());
    }

    /*!
     * @brief Kills processes, lets the endpoints change, and resumes all streams.
     * @param count Number of processes to kill, the last ones.
     * @param changeEndpoints Called while the processes are down.
     */
    void loseProcesses(std::size_t count, const std::function<void()> &changeEndpoints)
    {
        for (std::size_t process = processCount - count; process < processCount; ++process) {
            m_processes->kill(process);
        }
        m_processes->runUntil([this, count] {
            for (std::size_t index = 0; index < m_streams.size(); ++index) {
                if (index % processCount >= processCount - count && !m_streams[index].hasEnded) {
                    return false;
                }
            }
            return true;
        });
        changeEndpoints();
        m_processes->start();
        for (std::size_t index = 0; index < m_streams.size(); ++index) {
            Stream &stream = m_streams[index];
            if (!stream.hasEnded) {
                m_client.cancel(stream.call);
            }
            stream.eventsBefore = stream.events;
            // A resumption comes at a process that has started again.
            attempt(index, processCount - 1 - index % count);
        }
        m_processes->runUntil([this] {
            return std::ranges::all_of(m_streams, [](const Stream &stream) {
                return stream.hasEnded || stream.events >= stream.eventsBefore + 2;
            });
        });
    }

    void check(bool isFormerVersionServing)
    {
        std::size_t mixed = 0;
        std::size_t served = 0;
        std::size_t continued = 0;
        for (const Stream &stream : m_streams) {
            mixed += stream.versions.size() > 1 ? 1 : 0;
            served += isFormerVersionServing || stream.versions.contains("v2") ? 1 : 0;
            continued += stream.events > stream.eventsBefore ? 1 : 0;
        }
        const std::string figures =
            absl::StrCat(mixed, " mixed, ", continued, " continued, ", served, " of versions that serve");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, std::size_t{0}, mixed);
        CPPUNIT_ASSERT_MESSAGE(figures, continued <= served);
        // All new streams begin here.
        CPPUNIT_ASSERT_MESSAGE(figures, continued * 2 >= served);
    }

    /*! @brief Begins a stream, or resumes it after its last event. */
    void attempt(std::size_t index, std::size_t process)
    {
        Stream &stream = m_streams[index];
        stream.hasEnded = false;
        const std::string name = absl::StrCat("attempt-", ++m_lastAttempt);
        HttpRequest request = chatRequest(name, stream.prompt);
        if (stream.events > 0) {
            resumeAfter(request, stream.firstAttempt, stream.events - 1);
        }
        HttpCallHooks hooks;
        stream.attempt = name;
        hooks.piece = [this, index, name](std::string_view piece) {
            if (Stream *current = findStream(index, name)) {
                addEvents(*current, name, piece);
            }
        };
        hooks.done = [this, index, name](const HttpResponse &) {
            endAttempt(index, name);
        };
        hooks.failed = [this, index, name](HttpFailure) {
            endAttempt(index, name);
        };
        stream.call =
            m_client.call(m_processes->callers(process), std::move(request), std::move(hooks), Connection::Fresh);
    }

    /*! @brief Returns a stream; null if an attempt is none of its own, as the stream was replaced. */
    [[nodiscard]] Stream *findStream(std::size_t index, const std::string &attempt)
    {
        return index < m_streams.size() && m_streams[index].attempt == attempt ? &m_streams[index] : nullptr;
    }

    void endAttempt(std::size_t index, const std::string &attempt)
    {
        if (Stream *stream = findStream(index, attempt)) {
            stream->hasEnded = true;
        }
    }

    /*! @brief Adds the events of a piece; each event arrives in a piece of its own. */
    static void addEvents(Stream &stream, const std::string &attempt, std::string_view piece)
    {
        for (const std::string version : {"v1", "v2"}) {
            if (piece.find("data: " + version) == std::string_view::npos) {
                continue;
            }
            stream.firstAttempt = stream.events == 0 ? attempt : stream.firstAttempt;
            ++stream.events;
            stream.versions.insert(version);
        }
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_store{m_loop};
    std::map<std::string, std::vector<std::unique_ptr<StreamEngine>>> m_engines;
    HttpClient m_client{m_loop, HttpClientOptions{}};
    std::optional<PlatformProcesses> m_processes;
    std::vector<Stream> m_streams;
    std::uint64_t m_lastAttempt{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumedStreamsTest);
