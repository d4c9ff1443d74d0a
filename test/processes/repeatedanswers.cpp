#include "bergamottide/net/httpclient.h"
#include "platform/fakes.h"
#include "processes/platformprocesses.h"
#include "support/repeatingserver.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::test;
using nlohmann::json;

namespace {

constexpr int statusUnavailable = 503;
/*! @brief One of so many stage calls is refused, where the endpoint refuses some. */
constexpr std::size_t refusalPeriod = 3;

/*! @brief How an endpoint names the request that it answers. */
enum class Identities : std::uint8_t
{
    /*! @brief Each answer repeats the identity of its request, if that has one. */
    Repeated,
    /*! @brief Only answers to requests of callers do, and no refusal. */
    OfCallersOnly
};

/*! @brief An endpoint that runs stage calls and requests of callers, and records both. */
class Endpoint
{
public:
    Endpoint(Repetition repetition, const std::string &path, Identities identities, bool refusesStageCalls)
        : m_identities{identities}
        , m_refusesStageCalls{refusesStageCalls}
        , m_server{repetition, 4, path, [this](const HttpRequest &request) {
                       return answer(request);
                   }}
    {
    }

    [[nodiscard]] const RepeatingServer &server() const noexcept
    {
        return m_server;
    }

    /*! @brief Returns the handles that each request of a caller ran with; more than one entry if it ran twice. */
    [[nodiscard]] std::map<std::string, std::vector<std::string>> runs()
    {
        const std::lock_guard lock{m_mutex};
        return m_runs;
    }

private:
    [[nodiscard]] HttpResponse answer(const HttpRequest &request)
    {
        const std::string identity{headerValue(request.headers, "attempt-id")};
        if (request.path.starts_with("/bergamottide/")) {
            HttpResponse response = answerCall(request);
            if (m_identities == Identities::Repeated && !identity.empty()) {
                response.headers.emplace_back("attempt-id", identity);
            }
            return response;
        }
        const std::lock_guard lock{m_mutex};
        m_runs[identity].emplace_back(headerValue(request.headers, "inputs"));
        return {200, {{"attempt-id", identity}, {"response-seal", "seal"}}, "done"};
    }

    [[nodiscard]] HttpResponse answerCall(const HttpRequest &request)
    {
        if (request.path != "/bergamottide/stage-run") {
            return {200, {}, "{}"};
        }
        if (m_refusesStageCalls && ++m_calls % refusalPeriod == 0) {
            return {statusUnavailable, {{"not-executed", "1"}}, {}};
        }
        json items = json::array();
        const json call = json::parse(request.body);
        for (const json &item : call.at("items")) {
            items.push_back(
                {{"handle", absl::StrCat("127.0.0.1:1/", item.at("id").get<std::string>(), ".", ++m_results)}});
        }
        return {200, {}, json{{"items", std::move(items)}}.dump()};
    }

    Identities m_identities;
    bool m_refusesStageCalls;
    std::size_t m_calls{};
    std::size_t m_results{};
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::string>> m_runs;
    RepeatingServer m_server;
};

} // namespace

/*! @brief A real process whose endpoints send some answers more than once. */
class RepeatedAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedAnswersTest);
    CPPUNIT_TEST(requestsRunWithTheirOwnInputs);
    CPPUNIT_TEST(requestsRunWithTheirOwnInputsWithoutIdentities);
    CPPUNIT_TEST(refusedRequestsHaveNotRun);
    CPPUNIT_TEST(refusedRequestsHaveNotRunWithoutIdentities);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a late second answer to a stage call taken for that of the next call (review/4). */
    void requestsRunWithTheirOwnInputs()
    {
        checkSeparate(Identities::Repeated);
    }

    void requestsRunWithTheirOwnInputsWithoutIdentities()
    {
        checkSeparate(Identities::OfCallersOnly);
    }

    /*! @brief Guards against a late second answer to a call taken for that of a request, such as a refusal (review/5).
     */
    void refusedRequestsHaveNotRun()
    {
        checkShared(Identities::Repeated);
    }

    void refusedRequestsHaveNotRunWithoutIdentities()
    {
        checkShared(Identities::OfCallersOnly);
    }

private:
    static constexpr std::uint64_t rounds = 20;
    static constexpr std::array repetitions{Repetition::Never, Repetition::WhileIdle, Repetition::BeforeNext,
                                            Repetition::TwiceBeforeNext, Repetition::CutBeforeNext};

    /*! @brief Sends requests whose stage and whose run are at two services. */
    void checkSeparate(Identities identities)
    {
        for (const Repetition repetition : repetitions) {
            Endpoint stage{repetition, "/bergamottide/stage-run", identities, false};
            Endpoint desk{Repetition::Never, "", identities, false};
            FakeStore store{m_loop};
            publishRoutes(store, "cut");
            publishShopEndpoint(store, "desk-1", desk.server().address());
            store.publish("servers/cut-1",
                          json{{"service", "cut"},
                               {"address", stage.server().address()},
                               {"zone", "a"},
                               {"slots", 1},
                               {"state", "ready"}}
                              .dump());
            check(store, stage, desk, absl::StrCat("separate, repetition ", static_cast<int>(repetition)));
        }
    }

    /*! @brief Sends requests to a service that runs their stages too, and refuses some calls. */
    void checkShared(Identities identities)
    {
        for (const Repetition repetition : repetitions) {
            Endpoint endpoint{repetition, "", identities, true};
            FakeStore store{m_loop};
            publishRoutes(store, "desk");
            publishShopEndpoint(store, "desk-1", endpoint.server().address());
            check(store, endpoint, endpoint, absl::StrCat("shared, repetition ", static_cast<int>(repetition)));
        }
    }

    void check(const FakeStore &store, Endpoint &repeating, Endpoint &desk, const std::string &text)
    {
        PlatformProcesses processes{m_loop, store.address(), 1, {{"retrySlack", 1000}}};
        processes.start();
        std::map<std::string, int> statuses;
        for (std::uint64_t round = 0; round < rounds; ++round) {
            // Together, so that the connections of calls and requests may be exchanged.
            for (const std::uint64_t number : {4 * round, 4 * round + 1, 4 * round + 2}) {
                send(processes, stagedShopRequest(number), statuses);
            }
            HttpRequest plain = shopRequest(4 * round + 3, "x");
            plain.path = "/plain/7";
            send(processes, std::move(plain), statuses);
            processes.runUntil([&statuses, round] { return statuses.size() == 4 * (round + 1); });
        }
        const auto runs = desk.runs();
        std::size_t served = 0;
        std::size_t untrue = 0;
        std::size_t foreign = 0;
        std::size_t twice = 0;
        for (const auto &[attempt, status] : statuses) {
            served += status == 200 ? 1 : 0;
            untrue += status == statusUnavailable && runs.contains(attempt) ? 1 : 0;
        }
        for (const auto &[attempt, inputs] : runs) {
            twice += inputs.size() > 1 ? 1 : 0;
            const bool isOwn =
                inputs.front().empty() || absl::StrContains(inputs.front(), absl::StrCat("/", attempt, "."));
            foreign += isOwn ? 0 : 1;
        }
        const std::string figures =
            absl::StrCat(text, ": ", served, " served, ", repeating.server().repeated(), " repeated, ", foreign,
                         " with foreign inputs, ", untrue, " refused that have run, ", twice, " twice");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, std::size_t{0}, foreign + untrue + twice);
        CPPUNIT_ASSERT_MESSAGE(figures, served >= rounds);
    }

    /*! @brief Publishes a route with a stage at a service and one without, before the service of publishShop(). */
    static void publishRoutes(FakeStore &store, const std::string &stageService)
    {
        const json stages{{{"service", stageService}, {"bytes", 1000}}};
        const json staged{{"name", "order"},   {"host", "shop"},     {"pathPrefix", "/order/"},
                          {"kind", "unsafe"},  {"timeoutMs", 20000}, {"targetLatencyMs", 20000},
                          {"service", "desk"}, {"maxAttempts", 1},   {"stages", stages}};
        const json plain{{"name", "plain"},   {"host", "shop"},    {"pathPrefix", "/plain/"}, {"kind", "unsafe"},
                         {"timeoutMs", 4000}, {"service", "desk"}, {"maxAttempts", 1}};
        const json pieces{{"slots", 4},  {"batch", 1},          {"callMs", 10},
                          {"itemMs", 1}, {"headroomMb", 100.0}, {"handleS", 4.0}};
        json services{{{"name", stageService}, {"pieces", pieces}}};
        if (stageService != "desk") {
            services.push_back({{"name", "desk"}});
        }
        const json configuration{{"version", 3},
                                 {"routes", {staged, plain}},
                                 {"services", std::move(services)},
                                 {"tenants", {{{"name", "north"}, {"apiKeys", {"key"}}}}}};
        store.publish("op/config", configuration.dump());
    }

    void send(PlatformProcesses &processes, HttpRequest request, std::map<std::string, int> &statuses)
    {
        const std::string attempt{headerValue(request.headers, "attempt-id")};
        HttpCallHooks hooks;
        hooks.done = [&statuses, attempt](const HttpResponse &answer) {
            statuses[attempt] = answer.status;
        };
        hooks.failed = [&statuses, attempt](HttpFailure) {
            statuses[attempt] = 0;
        };
        m_client.call(processes.callers(0), std::move(request), std::move(hooks), Connection::Fresh);
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    HttpClient m_client{m_loop, HttpClientOptions{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedAnswersTest);
