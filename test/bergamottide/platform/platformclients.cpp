#include "bergamottide/platform/configclient.h"
#include "bergamottide/platform/instanceclient.h"

#include "bergamottide/core/error.h"
#include "bergamottide/net/httpserver.h"
#include "standin/watchedvalue.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::standin;

/*! @brief Configuration and instance list clients against a service with injected faults. */
class PlatformClientsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformClientsTest);
    CPPUNIT_TEST(longPollReturnsNewValue);
    CPPUNIT_TEST(unavailableServiceIsRetriedWithBackoff);
    CPPUNIT_TEST(eachReadCallsOneHook);
    CPPUNIT_TEST(truncatedValueIsRejected);
    CPPUNIT_TEST(staleValueIsRejectedAndRetriedWithBackoff);
    CPPUNIT_TEST(oversizedValueIsRejected);
    CPPUNIT_TEST(instanceListIsParsedAndErrorsNameTheField);
    CPPUNIT_TEST(backoffDoublesUpToMaximumWithJitter);
    CPPUNIT_TEST_SUITE_END();

public:
    void longPollReturnsNewValue()
    {
        startInstanceClient();
        publishInstanceList();
        runUntil([this] { return m_revisions.size() == 1; });
        publishInstanceList();
        runUntil([this] { return m_revisions.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_revisions.back());
        CPPUNIT_ASSERT(m_instanceClient->counts().reads <= 3);
    }

    void unavailableServiceIsRetriedWithBackoff()
    {
        setFault(m_instanceServer, "down");
        startInstanceClient();
        runUntil([this] { return m_errors.size() == 3; });
        setFault(m_instanceServer, "none");
        publishInstanceList();
        runUntil([this] { return m_revisions.size() == 1; });
        CPPUNIT_ASSERT(m_instanceClient->counts().reads <= 6);
    }

    void staleValueIsRejectedAndRetriedWithBackoff()
    {
        publishInstanceList();
        publishInstanceList();
        startInstanceClient();
        runUntil([this] { return m_revisions.size() == 1; });
        setFault(m_instanceServer, "stale");
        publishInstanceList();
        runUntil([this] { return m_errors.size() == 2; });
        CPPUNIT_ASSERT(errorReason(m_errors.front()) == Reason::StaleView);
        setFault(m_instanceServer, "none");
        publishInstanceList();
        runUntil([this] { return m_revisions.back() == 4; });
    }

    void eachReadCallsOneHook()
    {
        publish(m_configServer, "version: 4\n");
        ConfigClient client{m_loop, m_configServer.address(), configHooks()};
        client.read(3);
        runUntil([this] { return m_documents.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::string{"version: 4\n"}, m_documents.front());
        client.read(4);
        runUntil([this] { return m_unchanged == 1; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, client.counts().reads);
        CPPUNIT_ASSERT(m_errors.empty());
    }

    void truncatedValueIsRejected()
    {
        setFault(m_configServer, "truncate");
        publish(m_configServer, "version: 1\nworkspaces: {}\n");
        ConfigClient client{m_loop, m_configServer.address(), configHooks()};
        client.read(0);
        runUntil([this] { return !m_errors.empty(); });
        CPPUNIT_ASSERT(errorReason(m_errors.front()) == Reason::MalformedBody);
        CPPUNIT_ASSERT(m_documents.empty());
    }

    void oversizedValueIsRejected()
    {
        publish(m_configServer, "version: 1\n# " + std::string(2u << 20, 'x') + "\n");
        ConfigClient client{m_loop, m_configServer.address(), configHooks()};
        client.read(0);
        runUntil([this] { return !m_errors.empty(); });
        CPPUNIT_ASSERT(errorReason(m_errors.front()) == Reason::AnswerTooLarge);
    }

    void instanceListIsParsedAndErrorsNameTheField()
    {
        const auto good = parseInstanceList(
            R"({"revision":4,"later":1,"instances":[{"name":"a","role":"side","region":"r","zone":"z",)"
            R"("address":"1.2.3.4:5","pool":"p","leaving":true,"more":[]}]})");
        CPPUNIT_ASSERT(good.ok());
        CPPUNIT_ASSERT(good->instances.at(InstanceName{"a"}).leaving);
        const std::vector<std::pair<std::string, std::string>> faults{
            {"[", "instances"},
            {R"({"instances":[]})", "revision"},
            {R"({"revision":1})", "instances"},
            {R"({"revision":1,"instances":[{"name":""}]})", "instances[0].name"},
            {R"({"revision":1,"instances":[{"name":"a","role":"king"}]})", "instances[0].role"},
            {R"({"revision":1,"instances":[{"name":"a","role":"side"}]})", "instances[0].address"},
            {R"({"revision":1,"instances":[{"name":"a","role":"side","address":"b"},)"
             R"({"name":"a","role":"side","address":"b"}]})",
             "instances[1].name"},
        };
        for (const auto &[text, field] : faults) {
            const auto view = parseInstanceList(text);
            CPPUNIT_ASSERT_MESSAGE(text, !view.ok());
            CPPUNIT_ASSERT_EQUAL(field, errorField(view.status()));
        }
    }

    void backoffDoublesUpToMaximumWithJitter()
    {
        const Duration initial = std::chrono::milliseconds{100};
        const Duration maximum = std::chrono::seconds{1};
        Backoff backoff{initial, maximum, 7};
        Duration upperBound = initial;
        for (int step = 0; step < 8; ++step) {
            const Duration wait = backoff.next();
            CPPUNIT_ASSERT(wait >= upperBound / 2 && wait <= upperBound);
            upperBound = std::min(upperBound * 2, maximum);
        }
        backoff.reset();
        CPPUNIT_ASSERT(backoff.next() <= initial);
    }

    void setUp() override
    {
        CPPUNIT_ASSERT(m_configServer.listen().ok());
        CPPUNIT_ASSERT(m_instanceServer.listen().ok());
    }

private:
    ConfigClientHooks configHooks()
    {
        ConfigClientHooks hooks;
        hooks.document = [this](std::string text) {
            m_documents.push_back(std::move(text));
        };
        hooks.unchanged = [this] {
            ++m_unchanged;
        };
        hooks.failed = [this](const absl::Status &error) {
            m_errors.push_back(error);
        };
        return hooks;
    }

    void startInstanceClient()
    {
        InstanceClientHooks hooks;
        hooks.view = [this](const std::shared_ptr<const InstanceView> &view) {
            m_revisions.push_back(view->revision);
        };
        hooks.failed = [this](const absl::Status &error) {
            m_errors.push_back(error);
        };
        m_instanceClient = std::make_unique<InstanceClient>(m_loop, m_instanceServer.address(), 3, std::move(hooks));
        m_instanceClient->start();
    }

    void control(const HttpServer &server, const std::string &path, const std::string &query, std::string body)
    {
        HttpRequest request;
        request.method = "PUT";
        request.path = path;
        request.query = query;
        request.body = std::move(body);
        bool done = false;
        HttpCallHooks hooks;
        hooks.done = [&done](const HttpResponse &) {
            done = true;
        };
        hooks.failed = [&done](HttpFailure) {
            done = true;
        };
        m_httpClient.call(server.address(), std::move(request), std::move(hooks));
        runUntil([&done] { return done; });
    }

    void publish(const HttpServer &server, std::string text)
    {
        control(server, "/control/value", "", std::move(text));
    }

    void publishInstanceList()
    {
        publish(m_instanceServer, "[]");
    }

    void setFault(const HttpServer &server, const std::string &mode)
    {
        control(server, "/control/fault", "mode=" + mode, "");
    }

    void runUntil(const std::function<bool()> &condition)
    {
        CPPUNIT_ASSERT(test::runUntil(m_loop, condition));
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    WatchedValue m_configValue{m_loop, "/v1/config", "application/yaml", publishDocument};
    WatchedValue m_instanceListValue{m_loop, "/v1/instances", "application/json", publishInstances};
    HttpServer m_configServer{m_loop, HttpServerOptions{"127.0.0.1:0", {}, 8u << 20},
                              [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                                  m_configValue.handle(std::move(request), std::move(responder));
                              }};
    HttpServer m_instanceServer{m_loop, HttpServerOptions{"127.0.0.1:0", {}, 8u << 20},
                                [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                                    m_instanceListValue.handle(std::move(request), std::move(responder));
                                }};
    HttpClient m_httpClient{m_loop, {}};
    std::unique_ptr<InstanceClient> m_instanceClient;
    std::vector<std::uint64_t> m_revisions;
    std::vector<std::string> m_documents;
    int m_unchanged{};
    std::vector<absl::Status> m_errors;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientsTest);
