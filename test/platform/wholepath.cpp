#include "platformcodec.h"
#include "platformfeed.h"
#include "standins.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>

using namespace bergamottide;
using nlohmann::json;
using test::EndpointMood;
using test::EndpointStandIn;
using test::StoreStandIn;

/*! @brief A process on the platform, from a caller's bytes to the endpoint's and back, against stand-ins. */
class WholePathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WholePathTest);
    CPPUNIT_TEST(plainCallReachesItsEndpointAndComesBack);
    CPPUNIT_TEST(withoutConfigurationNothingIsDenied);
    CPPUNIT_TEST(unknownKeyAndRouteAreDenied);
    CPPUNIT_TEST(stagesAreMadeBeforeAStreamAndGivenUpAfterwards);
    CPPUNIT_TEST(fullEndpointLeavesThePromiseTrue);
    CPPUNIT_TEST(answersThatCannotBeTrustedAreNotPassedOn);
    CPPUNIT_TEST(headersOfTheSystemDoNotPassThrough);
    CPPUNIT_TEST(limitsOfTheConfigurationHold);
    CPPUNIT_TEST(olderConfigurationIsNotTakenBack);
    CPPUNIT_TEST(evacuatedZoneGetsNothingUntilItIsRestored);
    CPPUNIT_TEST(processThatStartsKnowsOfAnEvacuationBeforeItServes);
    CPPUNIT_TEST(storeThatIsDownLeavesWhatIsKnownInForce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_world = std::make_unique<World>();
    }

    void tearDown() override
    {
        m_world.reset();
    }

    void plainCallReachesItsEndpointAndComesBack()
    {
        m_world->publishAll();
        const HttpAnswer answer = m_world->ask(plainCall());
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"the endpoint's bytes"}, answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string_view{"seal"}, headerValue(answer.headers, "response-seal"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_world->desk.runs().size());
        const HttpRequest &run = m_world->desk.runs().front();
        CPPUNIT_ASSERT_EQUAL(std::string{"/order/7"}, run.path);
        CPPUNIT_ASSERT_EQUAL(std::string{"q=1"}, run.query);
        CPPUNIT_ASSERT_EQUAL(std::string{"order"}, run.body);
        CPPUNIT_ASSERT_EQUAL(std::string_view{"north"}, headerValue(run.headers, "tenant"));
        CPPUNIT_ASSERT(headerValue(run.headers, "x-api-key").empty());
    }

    void withoutConfigurationNothingIsDenied()
    {
        CPPUNIT_ASSERT_EQUAL(503, m_world->ask(plainCall()).status);
    }

    void unknownKeyAndRouteAreDenied()
    {
        m_world->publishAll();
        HttpRequest request = plainCall();
        request.headers[2].second = "other";
        CPPUNIT_ASSERT_EQUAL(401, m_world->ask(request).status);
        request = plainCall();
        request.path = "/nowhere/";
        CPPUNIT_ASSERT_EQUAL(404, m_world->ask(request).status);
        CPPUNIT_ASSERT(m_world->desk.runs().empty());
    }

    void stagesAreMadeBeforeAStreamAndGivenUpAfterwards()
    {
        m_world->publishAll();
        const HttpAnswer answer = m_world->ask(generation());
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 0\ndata: a\n\nid: 1\ndata: b\n\n"}, answer.body);
        const HttpRequest &run = m_world->engine.runs().front();
        const std::string inputs{headerValue(run.headers, "inputs")};
        CPPUNIT_ASSERT(inputs.find("/piece-1,") != std::string::npos);
        CPPUNIT_ASSERT(inputs.find("/piece-2") != std::string::npos);
        static_cast<void>(m_world->until([this] { return m_world->encoder.freed().size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_world->encoder.freed().size());
    }

    void fullEndpointLeavesThePromiseTrue()
    {
        m_world->publishAll();
        m_world->desk.setMood(EndpointMood::Full);
        const HttpAnswer answer = m_world->ask(plainCall());
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(!headerValue(answer.headers, "retry-after").empty());
        CPPUNIT_ASSERT(m_world->desk.runs().empty());
    }

    void answersThatCannotBeTrustedAreNotPassedOn()
    {
        m_world->publishAll();
        for (const EndpointMood mood : {EndpointMood::Foreign, EndpointMood::Unsigned}) {
            m_world->desk.setMood(mood);
            const std::size_t before = m_world->desk.runs().size();
            CPPUNIT_ASSERT_EQUAL(502, m_world->ask(plainCall()).status);
            // It may have run, so it was sent once.
            CPPUNIT_ASSERT_EQUAL(before + 1, m_world->desk.runs().size());
        }
    }

    void evacuatedZoneGetsNothingUntilItIsRestored()
    {
        m_world->publishAll();
        m_world->publishAndWait("op/evacuate/a", "{}");
        CPPUNIT_ASSERT_EQUAL(503, m_world->ask(plainCall()).status);
        CPPUNIT_ASSERT_EQUAL(503, m_world->ask(generation()).status);
        CPPUNIT_ASSERT(m_world->desk.runs().empty());
        const std::size_t calls = m_world->store.calls();
        m_world->store.remove("op/evacuate/a");
        CPPUNIT_ASSERT(m_world->until([this, calls] { return m_world->store.calls() > calls; }));
        CPPUNIT_ASSERT_EQUAL(200, m_world->ask(plainCall()).status);
    }

    void processThatStartsKnowsOfAnEvacuationBeforeItServes()
    {
        m_world->store.publish("op/evacuate/a", "{}");
        m_world->publishAll();
        CPPUNIT_ASSERT_EQUAL(503, m_world->ask(plainCall()).status);
        CPPUNIT_ASSERT(m_world->desk.runs().empty());
    }

    void headersOfTheSystemDoNotPassThrough()
    {
        m_world->publishAll();
        HttpRequest request = plainCall();
        request.headers.emplace_back("tenant", "south");
        request.headers.emplace_back("hold", "h");
        request.headers.emplace_back("kv-from", "10.0.0.1:1/x");
        request.headers.emplace_back("note", "kept");
        CPPUNIT_ASSERT_EQUAL(200, m_world->ask(request).status);
        const HttpHeaders &headers = m_world->desk.runs().front().headers;
        CPPUNIT_ASSERT_EQUAL(std::string_view{"north"}, headerValue(headers, "tenant"));
        CPPUNIT_ASSERT(headerValue(headers, "hold").empty());
        CPPUNIT_ASSERT(headerValue(headers, "kv-from").empty());
        CPPUNIT_ASSERT_EQUAL(std::string_view{"kept"}, headerValue(headers, "note"));
    }

    void limitsOfTheConfigurationHold()
    {
        m_world->publishAll();
        HttpRequest request = plainCall();
        request.headers.emplace_back("note", std::string(3000, 'x'));
        CPPUNIT_ASSERT_EQUAL(431, m_world->ask(request).status);
        request = plainCall();
        request.body = std::string(5000, 'x');
        CPPUNIT_ASSERT_EQUAL(413, m_world->ask(request).status);
        CPPUNIT_ASSERT(m_world->desk.runs().empty());
    }

    void olderConfigurationIsNotTakenBack()
    {
        m_world->publishAll();
        json older = m_world->configuration();
        older["version"] = 2;
        older["routes"] = json::array();
        m_world->publishAndWait("op/config", older.dump());
        CPPUNIT_ASSERT_EQUAL(200, m_world->ask(plainCall()).status);
        json newer = older;
        newer["version"] = 9;
        m_world->publishAndWait("op/config", newer.dump());
        CPPUNIT_ASSERT_EQUAL(404, m_world->ask(plainCall()).status);
    }

    void storeThatIsDownLeavesWhatIsKnownInForce()
    {
        m_world->publishAll();
        const std::size_t calls = m_world->store.calls();
        m_world->store.setDown(true);
        CPPUNIT_ASSERT(m_world->until([this, calls] { return m_world->store.calls() > calls + 1; }));
        CPPUNIT_ASSERT_EQUAL(200, m_world->ask(plainCall()).status);
        CPPUNIT_ASSERT(m_world->app.canServe());
    }

private:
    /*! @brief One process and everything around it, on one loop. */
    struct World
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

        World()
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
            const json plain{{"name", "order"},   {"host", "shop"},    {"pathPrefix", "/order/"}, {"kind", "unsafe"},
                             {"timeoutMs", 2000}, {"service", "desk"}, {"maxAttempts", 1}};
            const json draft{
                {"name", "draft"},      {"host", "shop"},    {"pathPrefix", "/draft/"},
                {"kind", "streaming"},  {"timeoutMs", 5000}, {"targetLatencyMs", 2000},
                {"service", "engines"}, {"maxAttempts", 1},  {"stages", {{{"service", "encoders"}, {"bytes", 1000}}}}};
            const json pieces{{"slots", 1},  {"batch", 8},      {"callMs", 10},
                              {"itemMs", 1}, {"headroomMb", 1}, {"handleS", 4}};
            return {
                {"version", 5},
                {"routes", {plain, draft}},
                {"services", {{{"name", "desk"}}, {{"name", "engines"}}, {{"name", "encoders"}, {"pieces", pieces}}}},
                {"limits", {{"maxHeaderBytes", 2000}, {"maxBodyBytes", 4000}}},
                {"tenants", {{{"name", "north"}, {"apiKeys", {"key"}}}}}};
        }

        void publishAll()
        {
            store.publish("servers/desk-1", endpointEntry("desk", desk.address()).dump());
            store.publish("servers/engine-1", endpointEntry("engines", engine.address()).dump());
            store.publish("servers/encoder-1", endpointEntry("encoders", encoder.address()).dump());
            store.publish("op/config", configuration().dump());
            CPPUNIT_ASSERT(until([this] { return app.canServe(); }));
        }

        /*! @brief Publishes an item, and waits for the watch that follows the one which has told of it. */
        void publishAndWait(const std::string &key, const std::string &value)
        {
            const std::size_t calls = store.calls();
            store.publish(key, value);
            CPPUNIT_ASSERT(until([this, calls] { return store.calls() > calls; }));
        }

        /*! @brief Runs the loop until something holds; gives up after far more rounds than it takes. */
        bool until(const std::function<bool()> &condition)
        {
            constexpr int mostRounds = 2000;
            for (int round = 0; round < mostRounds && !condition(); ++round) {
                loop.runOnce(std::chrono::milliseconds{10});
            }
            return condition();
        }

        [[nodiscard]] HttpAnswer ask(HttpRequest request)
        {
            std::optional<HttpAnswer> answer;
            HttpCallHooks hooks;
            hooks.done = [&answer](HttpAnswer got) {
                answer = std::move(got);
            };
            hooks.failed = [&answer](HttpFailure failure) {
                answer = HttpAnswer{0, {}, std::string{enumName(failure)}};
            };
            caller.call(app.callersAddress(), std::move(request), std::move(hooks), Connection::Fresh);
            CPPUNIT_ASSERT(until([&answer] { return answer.has_value(); }));
            return *answer;
        }

        SystemClock clock;
        Loop loop{clock};
        StoreStandIn store{loop};
        EndpointStandIn desk{loop, "desk-1"};
        EndpointStandIn engine{loop, "engine-1"};
        EndpointStandIn encoder{loop, "encoder-1"};
        ServingApp app{loop, clock, settings(), platform::servingCodec(), Incarnation{1}};
        platform::PlatformFeed feed{loop, app, store.address()};
        HttpClient caller{loop, HttpClientOptions{}};
    };

    [[nodiscard]] static HttpRequest plainCall()
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

    [[nodiscard]] static HttpRequest generation()
    {
        HttpRequest request = plainCall();
        request.path = "/draft/7";
        request.headers.emplace_back("model", "m");
        request.headers.emplace_back("token-counts", "100,10");
        request.headers.emplace_back("prompt-prefix", "5c1e07a2:100");
        request.headers.emplace_back("pieces", "2");
        request.headers.emplace_back("piece-key", "input");
        return request;
    }

    std::unique_ptr<World> m_world;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);
