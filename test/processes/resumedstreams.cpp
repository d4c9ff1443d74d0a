#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/httpserver.h"
#include "platform/fakes.h"
#include "processes/platformprocesses.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

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
using nlohmann::json;

namespace {

constexpr std::size_t processCount = 3;
constexpr std::size_t enginesOfAVersion = 2;
constexpr std::size_t streamCount = 24;
constexpr Duration eventPeriod = std::chrono::milliseconds{100};
constexpr int tokensOfPart = 100;

/*! @brief Model engine whose events name its software version, and which keeps the prompts of its runs. */
class StreamEngine
{
public:
    StreamEngine(Loop &loop, std::string version)
        : m_loop{loop}
        , m_version{std::move(version)}
        , m_server{loop, options(),
                   [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                       handle(request, responder);
                   }}
    {
        static_cast<void>(m_server.listen());
    }

    [[nodiscard]] std::string entry(const std::string &state) const
    {
        return json{{"service", "pool"}, {"address", m_server.address()}, {"zone", "a"},
                    {"slots", 64},       {"version", m_version},          {"state", state}}
            .dump();
    }

private:
    [[nodiscard]] static HttpServerOptions options()
    {
        HttpServerOptions options;
        options.listen = "127.0.0.1:0";
        return options;
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        if (request.path == "/bergamottide/kv-list") {
            json parts = json::array();
            for (const std::string &part : m_parts) {
                parts.push_back({"", part, tokensOfPart, "m"});
            }
            responder->respond({200, {}, json{{"held", std::move(parts)}}.dump()});
            return;
        }
        const std::string prompt{headerValue(request.headers, "prompt-prefix")};
        const std::size_t last = prompt.rfind(',') + 1;
        m_parts.insert(prompt.substr(last, prompt.rfind(':') - last));
        responder->begin(200,
                         {{"attempt-id", std::string{headerValue(request.headers, "attempt-id")}},
                          {"response-seal", "seal"},
                          {"content-type", "text/event-stream"}});
        const std::string after{headerValue(request.headers, "last-event-id")};
        const auto isClosed = std::make_shared<bool>(false);
        responder->onClosed([isClosed] { *isClosed = true; });
        sendEvent(responder, isClosed, after.empty() ? 0 : std::stoi(after) + 1);
    }

    void sendEvent(const std::shared_ptr<HttpResponder> &responder, const std::shared_ptr<bool> &isClosed, int number)
    {
        if (*isClosed) {
            return;
        }
        responder->send(absl::StrCat("id: ", number, "\ndata: ", m_version, "\n\n"));
        m_loop.at(m_loop.now() + eventPeriod,
                  [this, responder, isClosed, number] { sendEvent(responder, isClosed, number + 1); });
    }

    Loop &m_loop;
    std::string m_version;
    std::set<std::string> m_parts;
    HttpServer m_server;
};

/*! @brief A caller's stream over its attempts. */
struct Stream
{
    std::string firstAttempt;
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
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
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
        loseProcesses(processCount, [this] { removeFormerEngines(); });
        check(false);
    }

    /*! @brief Guards against a process that starts again and does not ask the one that knows the version (review/2). */
    void streamsThatALivingProcessKnowsAreRejectedWithTheirVersion()
    {
        loseProcesses(processCount - 1, [this] { removeFormerEngines(); });
        check(false);
    }

    /*! @brief Guards against streams of two versions while the engines of one are draining. */
    void streamsOfAVersionThatLeavesAreRejected()
    {
        loseProcesses(processCount, [this] { publishEngines("v1", "draining"); });
        check(false);
    }

    /*! @brief Guards against rejecting all streams that nobody but their engines knows. */
    void streamsOfTwoVersionsContinueAtTheirOwn()
    {
        loseProcesses(processCount, [] {});
        check(true);
    }

private:
    void publish()
    {
        const json route{{"name", "chat"},      {"host", "chat"},    {"pathPrefix", "/chat/"}, {"kind", "streaming"},
                         {"timeoutMs", 30'000}, {"service", "pool"}, {"maxAttempts", 2},       {"sticky", true},
                         {"resumable", true},   {"gapAimMs", 1000},  {"targetLatencyMs", 2000}};
        const json configuration{
            {"version", 3},
            {"routes", {route}},
            {"services",
             {{{"name", "pool"},
               {"maxConnections", 300},
               {"engine", {{"slots", 64}, {"kvCapacityTokens", 300'000}, {"models", {{{"name", "m"}}}}}}}}},
            {"tenants", {{{"name", "north"}, {"apiKeys", {"key"}}}}},
            {"limits",
             {{"maxHeaderBytes", 8000},
              {"maxBodyBytes", 100'000},
              {"headerTimeoutMs", 5000},
              {"idleTimeoutMs", 10'000}}}};
        m_store.publish("op/config", configuration.dump());
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

    /*!
     * @brief Begins all streams, kills processes, lets the endpoints change, and resumes the streams.
     * @param count Number of processes to kill, the last ones.
     * @param changeEndpoints Called while the processes are down.
     */
    void loseProcesses(std::size_t count, const std::function<void()> &changeEndpoints)
    {
        m_streams.resize(streamCount);
        for (std::size_t index = 0; index < streamCount; ++index) {
            m_streams[index].prompt = absl::StrCat("5c1e:100,", absl::Hex(index + 1, absl::kZeroPad8), ":100");
            attempt(index, index % processCount);
        }
        m_processes->runUntil(
            [this] { return std::ranges::all_of(m_streams, [](const Stream &stream) { return stream.events >= 2; }); });
        std::set<std::string> versions;
        for (const Stream &stream : m_streams) {
            versions.insert(stream.versions.begin(), stream.versions.end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, versions.size());
        for (std::size_t process = processCount - count; process < processCount; ++process) {
            m_processes->kill(process);
        }
        const auto isBroken = [](const Stream &stream) {
            return stream.hasEnded;
        };
        m_processes->runUntil([this, count, &isBroken] {
            return static_cast<std::size_t>(std::ranges::count_if(m_streams, isBroken))
                == streamCount / processCount * count;
        });
        changeEndpoints();
        m_processes->start();
        for (std::size_t index = 0; index < streamCount; ++index) {
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
        HttpRequest request;
        request.method = "POST";
        request.authority = "chat";
        request.path = "/chat/1";
        request.headers = {{"attempt-id", name}, {"deadline-ms", "30000"},   {"x-api-key", "key"},
                           {"model", "m"},       {"token-counts", "200,50"}, {"prompt-prefix", stream.prompt}};
        if (stream.events > 0) {
            request.headers.emplace_back("resumes", stream.firstAttempt);
            request.headers.emplace_back("last-event-id", absl::StrCat(stream.events - 1));
        }
        HttpCallHooks hooks;
        hooks.piece = [this, index, name](std::string_view piece) {
            addEvents(m_streams[index], name, piece);
        };
        hooks.done = [this, index](const HttpResponse &) {
            m_streams[index].hasEnded = true;
        };
        hooks.failed = [this, index](HttpFailure) {
            m_streams[index].hasEnded = true;
        };
        stream.call =
            m_client.call(m_processes->callers(process), std::move(request), std::move(hooks), Connection::Fresh);
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
