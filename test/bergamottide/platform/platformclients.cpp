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
    CPPUNIT_TEST(truncatedValueIsRefused);
    CPPUNIT_TEST(staleValueIsRefusedAndBacksOff);
    CPPUNIT_TEST(valueAboveTheLimitIsRefused);
    CPPUNIT_TEST(instanceListIsReadWithItsFaultsLocated);
    CPPUNIT_TEST(backoffGrowsToItsBoundWithJitter);
    CPPUNIT_TEST_SUITE_END();

public:
    void newValueArrivesWithoutAnotherRead()
    {
        startClient();
        publish("version: 1\n");
        await([this] { return m_versions.size() == 1; });
        publish("version: 2\n");
        await([this] { return m_versions.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_versions.back());
        CPPUNIT_ASSERT(m_client->counts().reads <= 3);
    }

    void serviceThatIsDownIsReadAgainWithGrowingWaits()
    {
        setFault("down");
        startClient();
        await([this] { return m_errors.size() == 3; });
        setFault("none");
        publish("version: 1\n");
        await([this] { return m_versions.size() == 1; });
        CPPUNIT_ASSERT(m_client->counts().reads <= 6);
    }

    void truncatedValueIsRefused()
    {
        setFault("truncate");
        publish("version: 1\nworkspaces: {}\n");
        startClient();
        await([this] { return !m_errors.empty(); });
        CPPUNIT_ASSERT(errorReason(m_errors.front()) == Reason::MalformedBody);
        CPPUNIT_ASSERT(m_versions.empty());
    }

    void staleValueIsRefusedAndBacksOff()
    {
        publish("version: 1\n");
        publish("version: 2\n");
        startClient();
        await([this] { return m_versions.size() == 1; });
        setFault("stale");
        publish("version: 3\n");
        await([this] { return m_errors.size() == 2; });
        CPPUNIT_ASSERT(errorReason(m_errors.front()) == Reason::StaleView);
        setFault("none");
        publish("version: 4\n");
        await([this] { return m_versions.back() == 4; });
    }

    void valueAboveTheLimitIsRefused()
    {
        publish("version: 1\n# " + std::string(2u << 20, 'x') + "\n");
        startClient();
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
        CPPUNIT_ASSERT(m_server.listen().ok());
    }

private:
    void startClient()
    {
        ConfigClientHooks hooks;
        hooks.document = [this](std::string text) -> absl::StatusOr<std::uint64_t> {
            const std::uint64_t version = publishDocument(text, 0);
            if (m_versions.empty() || version > m_versions.back()) {
                m_versions.push_back(version);
            }
            return version;
        };
        hooks.failed = [this](const absl::Status &error) {
            m_errors.push_back(error);
        };
        m_client = std::make_unique<ConfigClient>(m_loop, m_server.address(), 3, std::move(hooks));
        m_client->start();
    }

    void control(const std::string &path, const std::string &query, std::string body)
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
        m_http.call(m_server.address(), std::move(request), std::move(hooks));
        await([&done] { return done; });
    }

    void publish(std::string text)
    {
        control("/control/value", "", std::move(text));
    }

    void setFault(const std::string &mode)
    {
        control("/control/fault", "mode=" + mode, "");
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
    WatchedValue m_value{m_loop, "/v1/config", "application/yaml", publishDocument};
    HttpServer m_server{m_loop, HttpServerOptions{"127.0.0.1:0", {}, 8u << 20},
                        [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                            m_value.handle(std::move(request), std::move(responder));
                        }};
    HttpClient m_http{m_loop, {}};
    std::unique_ptr<ConfigClient> m_client;
    std::vector<std::uint64_t> m_versions;
    std::vector<absl::Status> m_errors;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientsTest);
