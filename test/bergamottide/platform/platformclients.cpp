#include "bergamottide/platform/configclient.h"
#include "bergamottide/platform/instanceclient.h"

#include "bergamottide/core/error.h"
#include "bergamottide/net/httpserver.h"
#include "standin/watchedvalue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::standin;

/*! @brief Clients of the platform against a service that misbehaves. */
class PlatformClientsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformClientsTest);
    CPPUNIT_TEST(newValueArrivesWithoutAnotherRead);
    CPPUNIT_TEST(serviceThatIsDownIsReadAgainWithGrowingWaits);
    CPPUNIT_TEST(documentIsReadOnceForEachRead);
    CPPUNIT_TEST(truncatedValueIsRefused);
    CPPUNIT_TEST(staleValueIsRefusedAndBacksOff);
    CPPUNIT_TEST(valueAboveTheLimitIsRefused);
    CPPUNIT_TEST(instanceListIsReadWithItsFaultsLocated);
    CPPUNIT_TEST(backoffGrowsToItsBoundWithJitter);
    CPPUNIT_TEST_SUITE_END();

public:
    void newValueArrivesWithoutAnotherRead()
    {
        startWatch();
        publishList();
        await([this] { return m_revisions.size() == 1; });
        publishList();
        await([this] { return m_revisions.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_revisions.back());
        CPPUNIT_ASSERT(m_instances->counts().reads <= 3);
    }

    void serviceThatIsDownIsReadAgainWithGrowingWaits()
    {
        setFault(m_list, "down");
        startWatch();
        await([this] { return m_errors.size() == 3; });
        setFault(m_list, "none");
        publishList();
        await([this] { return m_revisions.size() == 1; });
        CPPUNIT_ASSERT(m_instances->counts().reads <= 6);
    }

    void staleValueIsRefusedAndBacksOff()
    {
        publishList();
        publishList();
        startWatch();
        await([this] { return m_revisions.size() == 1; });
        setFault(m_list, "stale");
        publishList();
        await([this] { return m_errors.size() == 2; });
        CPPUNIT_ASSERT(errorReason(m_errors.front()) == Reason::StaleView);
        setFault(m_list, "none");
        publishList();
        await([this] { return m_revisions.back() == 4; });
    }

    void documentIsReadOnceForEachRead()
    {
        publish(m_config, "version: 4\n");
        ConfigClient client{m_loop, m_config.address(), configHooks()};
        client.read(3);
        await([this] { return m_documents.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::string{"version: 4\n"}, m_documents.front());
        client.read(4);
        await([this] { return m_unchanged == 1; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, client.counts().reads);
        CPPUNIT_ASSERT(m_errors.empty());
    }

    void truncatedValueIsRefused()
    {
        setFault(m_config, "truncate");
        publish(m_config, "version: 1\nworkspaces: {}\n");
        ConfigClient client{m_loop, m_config.address(), configHooks()};
        client.read(0);
        await([this] { return !m_errors.empty(); });
        CPPUNIT_ASSERT(errorReason(m_errors.front()) == Reason::MalformedBody);
        CPPUNIT_ASSERT(m_documents.empty());
    }

    void valueAboveTheLimitIsRefused()
    {
        publish(m_config, "version: 1\n# " + std::string(2u << 20, 'x') + "\n");
        ConfigClient client{m_loop, m_config.address(), configHooks()};
        client.read(0);
        await([this] { return !m_errors.empty(); });
        CPPUNIT_ASSERT(errorReason(m_errors.front()) == Reason::AnswerTooLarge);
    }

    void instanceListIsReadWithItsFaultsLocated()
    {
        const auto good = readInstanceList(
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
            const auto view = readInstanceList(text);
            CPPUNIT_ASSERT_MESSAGE(text, !view.ok());
            CPPUNIT_ASSERT_EQUAL(field, errorField(view.status()));
        }
    }

    void backoffGrowsToItsBoundWithJitter()
    {
        const Duration first = std::chrono::milliseconds{100};
        const Duration longest = std::chrono::seconds{1};
        Backoff backoff{first, longest, 7};
        Duration bound = first;
        for (int step = 0; step < 8; ++step) {
            const Duration wait = backoff.next();
            CPPUNIT_ASSERT(wait >= bound / 2 && wait <= bound);
            bound = std::min(bound * 2, longest);
        }
        backoff.reset();
        CPPUNIT_ASSERT(backoff.next() <= first);
    }

    void setUp() override
    {
        CPPUNIT_ASSERT(m_config.listen().ok());
        CPPUNIT_ASSERT(m_list.listen().ok());
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

    void startWatch()
    {
        InstanceClientHooks hooks;
        hooks.view = [this](const std::shared_ptr<const InstanceView> &view) {
            m_revisions.push_back(view->revision);
        };
        hooks.failed = [this](const absl::Status &error) {
            m_errors.push_back(error);
        };
        m_instances = std::make_unique<InstanceClient>(m_loop, m_list.address(), 3, std::move(hooks));
        m_instances->start();
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
        hooks.done = [&done](const HttpAnswer &) {
            done = true;
        };
        hooks.failed = [&done](HttpFailure) {
            done = true;
        };
        m_http.call(server.address(), std::move(request), std::move(hooks));
        await([&done] { return done; });
    }

    void publish(const HttpServer &server, std::string text)
    {
        control(server, "/control/value", "", std::move(text));
    }

    void publishList()
    {
        publish(m_list, "[]");
    }

    void setFault(const HttpServer &server, const std::string &mode)
    {
        control(server, "/control/fault", "mode=" + mode, "");
    }

    void await(const std::function<bool()> &condition)
    {
        constexpr int maxRounds = 6000;
        for (int round = 0; !condition() && round < maxRounds; ++round) {
            m_loop.runOnce(std::chrono::milliseconds{10});
        }
        CPPUNIT_ASSERT(condition());
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    WatchedValue m_document{m_loop, "/v1/config", "application/yaml", publishDocument};
    WatchedValue m_listed{m_loop, "/v1/instances", "application/json", publishInstances};
    HttpServer m_config{m_loop, HttpServerOptions{"127.0.0.1:0", {}, 8u << 20},
                        [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                            m_document.handle(std::move(request), std::move(responder));
                        }};
    HttpServer m_list{m_loop, HttpServerOptions{"127.0.0.1:0", {}, 8u << 20},
                      [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                          m_listed.handle(std::move(request), std::move(responder));
                      }};
    HttpClient m_http{m_loop, {}};
    std::unique_ptr<InstanceClient> m_instances;
    std::vector<std::uint64_t> m_revisions;
    std::vector<std::string> m_documents;
    int m_unchanged{};
    std::vector<absl::Status> m_errors;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientsTest);
