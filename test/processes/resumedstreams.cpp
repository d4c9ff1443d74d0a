#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/httpserver.h"
#include "platform/fakes.h"
#include "processes/freeaddresses.h"
#include "processes/process.h"

#include <cppunit/extensions/HelperMacros.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
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
constexpr Duration patience = std::chrono::seconds{60};
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
    std::set<std::string> versions;
    HttpCallId call{};
    bool hasEnded{};
};

} // namespace

/*! @brief Streams that their callers resume after all processes have been killed at once. */
class ResumedStreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResumedStreamsTest);
    CPPUNIT_TEST(streamsOfAVersionThatIsGoneAreRejected);
    CPPUNIT_TEST(streamsOfAVersionThatLeavesAreRejected);
    CPPUNIT_TEST(streamsOfTwoVersionsContinueAtTheirOwn);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string folder = (std::filesystem::temp_directory_path() / "bergamottide-test-XXXXXX").string();
        m_folder = mkdtemp(folder.data());
        publish();
        for (std::size_t index = 0; index < processCount; ++index) {
            m_entries.push_back({m_addresses.next(), m_addresses.next(), m_addresses.next(), nullptr});
        }
        startProcesses();
    }

    void tearDown() override
    {
        for (const Stream &stream : m_streams) {
            m_client.cancel(stream.call);
        }
        m_entries.clear();
        std::filesystem::remove_all(m_folder);
    }

    /*! @brief Guards against streams of two versions: processes that start again see only one of them. */
    void streamsOfAVersionThatIsGoneAreRejected()
    {
        loseAllProcesses([this] {
            for (std::size_t engine = 0; engine < enginesOfAVersion; ++engine) {
                m_store.remove(absl::StrCat("servers/v1-", engine));
            }
        });
        check(false);
    }

    /*! @brief Guards against streams of two versions while the engines of one are draining. */
    void streamsOfAVersionThatLeavesAreRejected()
    {
        loseAllProcesses([this] { publishEngines("v1", "draining"); });
        check(false);
    }

    /*! @brief Guards against rejecting all streams that nobody but their engines knows. */
    void streamsOfTwoVersionsContinueAtTheirOwn()
    {
        loseAllProcesses([] {});
        check(true);
    }

private:
    struct Entry
    {
        std::string callers;
        std::string ready;
        std::string peers;
        std::unique_ptr<Process> process;
    };

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

    void publishEngines(const std::string &version, const std::string &state)
    {
        for (std::size_t engine = 0; engine < enginesOfAVersion; ++engine) {
            m_store.publish(absl::StrCat("servers/", version, "-", engine), m_engines[version][engine]->entry(state));
        }
    }

    void startProcesses()
    {
        for (std::size_t index = 0; index < processCount; ++index) {
            m_entries[index].process = std::make_unique<Process>(
                "bergamottide-platform", std::vector<std::string>{"--settings=" + writeSettings(index)},
                m_folder / absl::StrCat("entry-", index, ".log"));
        }
        std::size_t ready = 0;
        const TimePoint giveUpAt = m_loop.now() + patience;
        while (ready < processCount && m_loop.now() < giveUpAt) {
            ready = 0;
            std::size_t answered = 0;
            for (const Entry &entry : m_entries) {
                HttpCallHooks hooks;
                hooks.done = [&](const HttpResponse &answer) {
                    ++answered;
                    ready += answer.status == 200 ? 1 : 0;
                };
                hooks.failed = [&](HttpFailure) {
                    ++answered;
                };
                HttpRequest request;
                request.method = "GET";
                request.path = "/";
                m_client.call(entry.ready, request, std::move(hooks), Connection::Fresh);
            }
            runUntil([&] { return answered == processCount; });
        }
        CPPUNIT_ASSERT_EQUAL(processCount, ready);
    }

    std::string writeSettings(std::size_t index)
    {
        const Entry &entry = m_entries[index];
        const std::filesystem::path path = m_folder / absl::StrCat("entry-", index, ".yaml");
        std::ofstream{path} << json{
            {"instance", absl::StrCat("entry-", index)},
            {"zone", "a"},
            {"region", "north"},
            {"callersAddress", entry.callers},
            {"readyAddress", entry.ready},
            {"peersAddress", entry.peers},
            {"seeds", {m_entries.front().peers, m_entries.back().peers}},
            {"storeAddress", m_store.address()},
            {"logLevel", "error"}}.dump();
        return path.string();
    }

    /*! @brief Begins all streams, kills all processes, lets the endpoints change, and resumes the streams. */
    void loseAllProcesses(const std::function<void()> &changeEndpoints)
    {
        m_streams.resize(streamCount);
        for (std::size_t index = 0; index < streamCount; ++index) {
            m_streams[index].prompt = absl::StrCat("5c1e:100,", absl::Hex(index + 1, absl::kZeroPad8), ":100");
            attempt(index, index % processCount);
        }
        runUntil(
            [this] { return std::ranges::all_of(m_streams, [](const Stream &stream) { return stream.events >= 2; }); });
        std::set<std::string> versions;
        for (const Stream &stream : m_streams) {
            versions.insert(stream.versions.begin(), stream.versions.end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, versions.size());
        for (Entry &entry : m_entries) {
            entry.process->kill();
        }
        runUntil([this] { return std::ranges::all_of(m_streams, &Stream::hasEnded); });
        changeEndpoints();
        startProcesses();
        for (std::size_t index = 0; index < streamCount; ++index) {
            m_eventsBefore.push_back(m_streams[index].events);
            attempt(index, (index + 1) % processCount);
        }
        runUntil([this] {
            for (std::size_t index = 0; index < streamCount; ++index) {
                if (!m_streams[index].hasEnded && m_streams[index].events < m_eventsBefore[index] + 2) {
                    return false;
                }
            }
            return true;
        });
    }

    void check(bool isFormerVersionServing)
    {
        std::size_t mixed = 0;
        std::size_t served = 0;
        std::size_t continued = 0;
        for (std::size_t index = 0; index < streamCount; ++index) {
            const Stream &stream = m_streams[index];
            mixed += stream.versions.size() > 1 ? 1 : 0;
            served += isFormerVersionServing || stream.versions.contains("v2") ? 1 : 0;
            continued += stream.events > m_eventsBefore[index] ? 1 : 0;
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
            m_client.call(m_entries[process].callers, std::move(request), std::move(hooks), Connection::Fresh);
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

    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint giveUpAt = m_loop.now() + patience;
        while (!condition() && m_loop.now() < giveUpAt) {
            m_loop.runOnce(std::chrono::milliseconds{10});
        }
        CPPUNIT_ASSERT(condition());
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_store{m_loop};
    std::map<std::string, std::vector<std::unique_ptr<StreamEngine>>> m_engines;
    HttpClient m_client{m_loop, HttpClientOptions{}};
    FreeAddresses m_addresses;
    std::filesystem::path m_folder;
    std::vector<Entry> m_entries;
    std::vector<Stream> m_streams;
    /*! @brief Events of each stream when it is resumed. */
    std::vector<std::size_t> m_eventsBefore;
    std::uint64_t m_lastAttempt{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumedStreamsTest);
