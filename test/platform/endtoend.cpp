#include "fakes.h"
#include "platformcodec.h"
#include "storefeed.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>

using namespace bergamottide;
using nlohmann::json;
using test::EndpointBehaviour;
using test::FakePlatformEndpoint;
using test::FakeStore;

/*! @brief End-to-end tests of a serving process, from a caller's request to an endpoint and back, against fakes. */
class PlatformEndToEndTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformEndToEndTest);
    CPPUNIT_TEST(plainRequestIsProxiedToItsEndpoint);
    CPPUNIT_TEST(requestBeforeFirstConfigurationYields503);
    CPPUNIT_TEST(unknownApiKeyAndRouteAreRejected);
    CPPUNIT_TEST(stageResultsAreProducedBeforeAStreamAndReleasedAfterIt);
    CPPUNIT_TEST(fullEndpointYields503WithRetryAfter);
    CPPUNIT_TEST(untrustedResponseYields502WithoutRetry);
    CPPUNIT_TEST(reservedRequestHeadersAreRemoved);
    CPPUNIT_TEST(configuredSizeLimitsAreEnforced);
    CPPUNIT_TEST(olderConfigurationIsIgnored);
    CPPUNIT_TEST(evacuatedZoneReceivesNoRequestsUntilRestored);
    CPPUNIT_TEST(evacuationIsAppliedBeforeTheFirstRequest);
    CPPUNIT_TEST(lastKnownStateIsServedWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(requestThatCrashesThreeEndpointsIsRejected);
    CPPUNIT_TEST(successfulRunTellsOfADrain);
    CPPUNIT_TEST(rejectedRunTellsOfADrain);
    CPPUNIT_TEST(streamTellsOfADrain);
    CPPUNIT_TEST(stageCallTellsOfADrain);
    CPPUNIT_TEST(releaseTellsOfADrain);
    CPPUNIT_TEST(rejectedRunTellsOfAPause);
    CPPUNIT_TEST(rejectedStageCallTellsOfAPause);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fixture = std::make_unique<Fixture>();
    }

    void tearDown() override
    {
        m_fixture.reset();
    }

    void requestThatCrashesThreeEndpointsIsRejected()
    {
        m_fixture->publishDefaults();
        m_fixture->plainEndpoint.setBehaviour(EndpointBehaviour::Crash);
        CPPUNIT_ASSERT_EQUAL(502, m_fixture->call(plainRequest()).status);
        std::vector<std::unique_ptr<FakePlatformEndpoint>> endpoints;
        for (const std::string name : {"desk-2", "desk-3", "desk-4"}) {
            endpoints.push_back(std::make_unique<FakePlatformEndpoint>(m_fixture->loop, name));
            endpoints.back()->setBehaviour(name == "desk-4" ? EndpointBehaviour::Normal : EndpointBehaviour::Crash);
            m_fixture->publishAndAwaitWatch("servers/" + name,
                                            Fixture::endpointEntry("desk", endpoints.back()->address()).dump());
            if (name != "desk-4") {
                CPPUNIT_ASSERT_EQUAL(502, m_fixture->call(plainRequest()).status);
            }
        }
        const HttpResponse rejected = m_fixture->call(plainRequest());
        CPPUNIT_ASSERT_EQUAL(503, rejected.status);
        CPPUNIT_ASSERT(std::stod(std::string{headerValue(rejected.headers, "retry-after")}) > 3500.0);
        HttpRequest other = plainRequest();
        other.path = "/order/8";
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->call(other).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.back()->runs().size());
    }

    void successfulRunTellsOfADrain()
    {
        m_fixture->publishDefaults();
        m_fixture->plainEndpoint.setHeaders({}, draining());
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->call(plainRequest()).status);
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(plainRequest()).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture->plainEndpoint.runs().size());
    }

    void rejectedRunTellsOfADrain()
    {
        m_fixture->publishDefaults();
        m_fixture->plainEndpoint.setHeaders({}, draining());
        m_fixture->plainEndpoint.setBehaviour(EndpointBehaviour::NotExecuted);
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(plainRequest()).status);
        m_fixture->plainEndpoint.setBehaviour(EndpointBehaviour::Normal);
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(plainRequest()).status);
        CPPUNIT_ASSERT(m_fixture->plainEndpoint.runs().empty());
    }

    void streamTellsOfADrain()
    {
        m_fixture->publishDefaults();
        m_fixture->engineEndpoint.setHeaders({}, draining());
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->call(streamingRequest()).status);
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(streamingRequest()).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture->engineEndpoint.runs().size());
    }

    void stageCallTellsOfADrain()
    {
        m_fixture->publishDefaults();
        m_fixture->stageEndpoint.setHeaders("/bergamottide/stage-run", draining());
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->call(streamingRequest()).status);
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(streamingRequest()).status);
    }

    void releaseTellsOfADrain()
    {
        m_fixture->publishDefaults();
        m_fixture->stageEndpoint.setHeaders("/bergamottide/stage-free", draining());
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->call(streamingRequest()).status);
        CPPUNIT_ASSERT(m_fixture->runUntil([this] { return !m_fixture->stageEndpoint.releasedHandles().empty(); }));
        // The response to the release may still be on its way.
        CPPUNIT_ASSERT(m_fixture->runUntil([this] { return m_fixture->call(streamingRequest()).status == 503; }));
    }

    void rejectedRunTellsOfAPause()
    {
        m_fixture->publishDefaults();
        m_fixture->plainEndpoint.setHeaders({}, {{"Retry-After", "600"}});
        m_fixture->plainEndpoint.setBehaviour(EndpointBehaviour::NotExecuted);
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(plainRequest()).status);
        m_fixture->plainEndpoint.setBehaviour(EndpointBehaviour::Normal);
        const HttpResponse rejected = m_fixture->call(plainRequest());
        CPPUNIT_ASSERT_EQUAL(503, rejected.status);
        CPPUNIT_ASSERT(!headerValue(rejected.headers, "retry-after").empty());
        CPPUNIT_ASSERT(m_fixture->plainEndpoint.runs().empty());
    }

    void rejectedStageCallTellsOfAPause()
    {
        m_fixture->publishDefaults();
        m_fixture->stageEndpoint.setHeaders("/bergamottide/stage-run", {{"Retry-After", "600"}});
        m_fixture->stageEndpoint.setBehaviour(EndpointBehaviour::NotExecuted);
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(streamingRequest()).status);
        m_fixture->stageEndpoint.setBehaviour(EndpointBehaviour::Normal);
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(streamingRequest()).status);
        CPPUNIT_ASSERT(m_fixture->engineEndpoint.runs().empty());
    }

    void plainRequestIsProxiedToItsEndpoint()
    {
        m_fixture->publishDefaults();
        const HttpResponse answer = m_fixture->call(plainRequest());
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"the endpoint's bytes"}, answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string_view{"seal"}, headerValue(answer.headers, "response-seal"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture->plainEndpoint.runs().size());
        const HttpRequest &run = m_fixture->plainEndpoint.runs().front();
        CPPUNIT_ASSERT_EQUAL(std::string{"/order/7"}, run.path);
        CPPUNIT_ASSERT_EQUAL(std::string{"q=1"}, run.query);
        CPPUNIT_ASSERT_EQUAL(std::string{"order"}, run.body);
        CPPUNIT_ASSERT_EQUAL(std::string_view{"north"}, headerValue(run.headers, "tenant"));
        CPPUNIT_ASSERT(headerValue(run.headers, "x-api-key").empty());
    }

    void requestBeforeFirstConfigurationYields503()
    {
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(plainRequest()).status);
    }

    void unknownApiKeyAndRouteAreRejected()
    {
        m_fixture->publishDefaults();
        HttpRequest request = plainRequest();
        request.headers[2].second = "other";
        CPPUNIT_ASSERT_EQUAL(401, m_fixture->call(request).status);
        request = plainRequest();
        request.path = "/nowhere/";
        CPPUNIT_ASSERT_EQUAL(404, m_fixture->call(request).status);
        CPPUNIT_ASSERT(m_fixture->plainEndpoint.runs().empty());
    }

    void stageResultsAreProducedBeforeAStreamAndReleasedAfterIt()
    {
        m_fixture->publishDefaults();
        const HttpResponse answer = m_fixture->call(streamingRequest());
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"}, answer.body);
        const HttpRequest &run = m_fixture->engineEndpoint.runs().front();
        const std::string inputs{headerValue(run.headers, "inputs")};
        CPPUNIT_ASSERT(inputs.find("/piece-1,") != std::string::npos);
        CPPUNIT_ASSERT(inputs.find("/piece-2") != std::string::npos);
        static_cast<void>(
            m_fixture->runUntil([this] { return m_fixture->stageEndpoint.releasedHandles().size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture->stageEndpoint.releasedHandles().size());
    }

    void fullEndpointYields503WithRetryAfter()
    {
        m_fixture->publishDefaults();
        m_fixture->plainEndpoint.setBehaviour(EndpointBehaviour::NotExecuted);
        const HttpResponse answer = m_fixture->call(plainRequest());
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(!headerValue(answer.headers, "retry-after").empty());
        CPPUNIT_ASSERT(m_fixture->plainEndpoint.runs().empty());
    }

    void untrustedResponseYields502WithoutRetry()
    {
        m_fixture->publishDefaults();
        for (const EndpointBehaviour behaviour : {EndpointBehaviour::WrongAttempt, EndpointBehaviour::Unsigned}) {
            m_fixture->plainEndpoint.setBehaviour(behaviour);
            const std::size_t before = m_fixture->plainEndpoint.runs().size();
            CPPUNIT_ASSERT_EQUAL(502, m_fixture->call(plainRequest()).status);
            // The endpoint may have executed the request, so it is not retried.
            CPPUNIT_ASSERT_EQUAL(before + 1, m_fixture->plainEndpoint.runs().size());
        }
    }

    void evacuatedZoneReceivesNoRequestsUntilRestored()
    {
        m_fixture->publishDefaults();
        m_fixture->publishAndAwaitWatch("op/evacuate/a", "{}");
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(plainRequest()).status);
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(streamingRequest()).status);
        CPPUNIT_ASSERT(m_fixture->plainEndpoint.runs().empty());
        const std::size_t requestCount = m_fixture->store.requestCount();
        m_fixture->store.remove("op/evacuate/a");
        CPPUNIT_ASSERT(
            m_fixture->runUntil([this, requestCount] { return m_fixture->store.requestCount() > requestCount; }));
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->call(plainRequest()).status);
    }

    void evacuationIsAppliedBeforeTheFirstRequest()
    {
        m_fixture->store.publish("op/evacuate/a", "{}");
        m_fixture->publishDefaults();
        CPPUNIT_ASSERT_EQUAL(503, m_fixture->call(plainRequest()).status);
        CPPUNIT_ASSERT(m_fixture->plainEndpoint.runs().empty());
    }

    void reservedRequestHeadersAreRemoved()
    {
        m_fixture->publishDefaults();
        HttpRequest request = plainRequest();
        request.headers.emplace_back("tenant", "south");
        request.headers.emplace_back("hold", "h");
        request.headers.emplace_back("kv-from", "10.0.0.1:1/x");
        request.headers.emplace_back("note", "kept");
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->call(request).status);
        const HttpHeaders &headers = m_fixture->plainEndpoint.runs().front().headers;
        CPPUNIT_ASSERT_EQUAL(std::string_view{"north"}, headerValue(headers, "tenant"));
        CPPUNIT_ASSERT(headerValue(headers, "hold").empty());
        CPPUNIT_ASSERT(headerValue(headers, "kv-from").empty());
        CPPUNIT_ASSERT_EQUAL(std::string_view{"kept"}, headerValue(headers, "note"));
    }

    void configuredSizeLimitsAreEnforced()
    {
        m_fixture->publishDefaults();
        HttpRequest request = plainRequest();
        request.headers.emplace_back("note", std::string(3000, 'x'));
        CPPUNIT_ASSERT_EQUAL(431, m_fixture->call(request).status);
        request = plainRequest();
        request.body = std::string(5000, 'x');
        CPPUNIT_ASSERT_EQUAL(413, m_fixture->call(request).status);
        CPPUNIT_ASSERT(m_fixture->plainEndpoint.runs().empty());
    }

    void olderConfigurationIsIgnored()
    {
        m_fixture->publishDefaults();
        json older = m_fixture->configuration();
        older["version"] = 2;
        older["routes"] = json::array();
        m_fixture->publishAndAwaitWatch("op/config", older.dump());
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->call(plainRequest()).status);
        json newer = older;
        newer["version"] = 9;
        m_fixture->publishAndAwaitWatch("op/config", newer.dump());
        CPPUNIT_ASSERT_EQUAL(404, m_fixture->call(plainRequest()).status);
    }

    void lastKnownStateIsServedWhileTheStoreIsUnavailable()
    {
        m_fixture->publishDefaults();
        const std::size_t requestCount = m_fixture->store.requestCount();
        m_fixture->store.setUnavailable(true);
        CPPUNIT_ASSERT(
            m_fixture->runUntil([this, requestCount] { return m_fixture->store.requestCount() > requestCount + 1; }));
        CPPUNIT_ASSERT_EQUAL(200, m_fixture->call(plainRequest()).status);
        CPPUNIT_ASSERT(m_fixture->app.canServe());
    }

private:
    /*! @brief A serving process, its store, its endpoints and a caller on one event loop. */
    struct Fixture
    {
        [[nodiscard]] serving::ServingSettings settings() const
        {
            serving::ServingSettings out;
            out.instance = InstanceName{"entry-1"};
            out.zone = ZoneName{"a"};
            out.callersAddress = "127.0.0.1:0";
            out.readyAddress = "127.0.0.1:0";
            out.peersAddress = "127.0.0.1:0";
            out.storeAddress = store.address();
            out.logLevel = Severity::Error;
            return out;
        }

        Fixture()
        {
            CPPUNIT_ASSERT(app.start().ok());
            feed.start();
        }

        [[nodiscard]] static json endpointEntry(const std::string &pool, const std::string &address)
        {
            return {{"service", pool}, {"address", address}, {"zone", "a"}, {"slots", 4}, {"state", "ready"}};
        }

        [[nodiscard]] static json configuration()
        {
            const json plainRoute{{"name", "order"},  {"host", "shop"},    {"pathPrefix", "/order/"},
                                  {"kind", "unsafe"}, {"timeoutMs", 2000}, {"service", "desk"},
                                  {"maxAttempts", 1}};
            const json streamingRoute{
                {"name", "draft"},      {"host", "shop"},    {"pathPrefix", "/draft/"},
                {"kind", "streaming"},  {"timeoutMs", 5000}, {"targetLatencyMs", 2000},
                {"service", "engines"}, {"maxAttempts", 1},  {"stages", {{{"service", "encoders"}, {"bytes", 1000}}}}};
            const json pieces{{"slots", 1},  {"batch", 8},      {"callMs", 10},
                              {"itemMs", 1}, {"headroomMb", 1}, {"handleS", 4}};
            return {
                {"version", 5},
                {"routes", {plainRoute, streamingRoute}},
                {"services", {{{"name", "desk"}}, {{"name", "engines"}}, {{"name", "encoders"}, {"pieces", pieces}}}},
                {"limits", {{"maxHeaderBytes", 2000}, {"maxBodyBytes", 4000}}},
                {"tenants", {{{"name", "north"}, {"apiKeys", {"key"}}}}}};
        }

        void publishDefaults()
        {
            store.publish("servers/desk-1", endpointEntry("desk", plainEndpoint.address()).dump());
            store.publish("servers/engine-1", endpointEntry("engines", engineEndpoint.address()).dump());
            store.publish("servers/encoder-1", endpointEntry("encoders", stageEndpoint.address()).dump());
            store.publish("op/config", configuration().dump());
            CPPUNIT_ASSERT(runUntil([this] { return app.canServe(); }));
        }

        /*! @brief Publishes an item and waits for the next watch, which shows that the process has applied it. */
        void publishAndAwaitWatch(const std::string &key, const std::string &value)
        {
            const std::size_t requestCount = store.requestCount();
            store.publish(key, value);
            CPPUNIT_ASSERT(runUntil([this, requestCount] { return store.requestCount() > requestCount; }));
        }

        /*! @brief Runs the loop until a condition holds, for a limited time; returns whether it holds. */
        bool runUntil(const std::function<bool()> &condition)
        {
            return test::runUntil(loop, condition);
        }

        [[nodiscard]] HttpResponse call(HttpRequest request)
        {
            std::optional<HttpResponse> answer;
            HttpCallHooks hooks;
            hooks.done = [&answer](HttpResponse got) {
                answer = std::move(got);
            };
            hooks.failed = [&answer](HttpFailure failure) {
                answer = HttpResponse{0, {}, std::string{enumName(failure)}};
            };
            caller.call(app.callersAddress(), std::move(request), std::move(hooks), Connection::Fresh);
            CPPUNIT_ASSERT(runUntil([&answer] { return answer.has_value(); }));
            return *answer;
        }

        SystemClock clock;
        Loop loop{clock};
        FakeStore store{loop};
        FakePlatformEndpoint plainEndpoint{loop, "desk-1"};
        FakePlatformEndpoint engineEndpoint{loop, "engine-1"};
        FakePlatformEndpoint stageEndpoint{loop, "encoder-1"};
        ServingApp app{loop, clock, settings(), platform::servingCodec(), Incarnation{1}};
        platform::StoreFeed feed{loop, app, store.address()};
        HttpClient caller{loop, HttpClientOptions{}};
    };

    [[nodiscard]] static HttpHeaders draining()
    {
        return {{"Server-Leaving", "1"}};
    }

    [[nodiscard]] static HttpRequest plainRequest()
    {
        HttpRequest request;
        request.method = "POST";
        request.authority = "shop";
        request.path = "/order/7";
        request.query = "q=1";
        request.headers = {{"attempt-id", "a1"}, {"deadline-ms", "3000"}, {"x-api-key", "key"}};
        request.body = "order";
        return request;
    }

    [[nodiscard]] static HttpRequest streamingRequest()
    {
        HttpRequest request = plainRequest();
        request.path = "/draft/7";
        request.headers.emplace_back("model", "m");
        request.headers.emplace_back("token-counts", "100,10");
        request.headers.emplace_back("prompt-prefix", "5c1e07a2:100");
        request.headers.emplace_back("pieces", "2");
        request.headers.emplace_back("piece-key", "input");
        return request;
    }

    std::unique_ptr<Fixture> m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformEndToEndTest);
