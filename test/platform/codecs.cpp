#include "changelog.h"
#include "noticecodec.h"
#include "requestcodec.h"
#include "stagecodec.h"
#include "storecodec.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;

namespace {

/*! @brief Depth of a document that overflows the stack of a recursive function. */
constexpr std::size_t extremeDepth = 200'000;

HttpRequest callerRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/draft/1";
    request.query = "q=1";
    request.authority = "example:80";
    request.body = "body";
    request.headers = {
        {"attempt-id", "a1"}, {"resumes", "a0"},           {"deadline-ms", "4000"},
        {"x-api-key", "key"}, {"token-counts", "1460,80"}, {"prompt-prefix", "5c1e07a2:800,91bd3f06:660"},
        {"pieces", "2,0"},    {"piece-key", "input"},      {"model", "m"}};
    return request;
}

} // namespace

/*! @brief Codecs of the platform's HTTP messages and of the items in its store. */
class PlatformCodecsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformCodecsTest);
    CPPUNIT_TEST(decodesCallerRequest);
    CPPUNIT_TEST(rejectsMalformedHeaders);
    CPPUNIT_TEST(removesReservedAndHopByHopHeaders);
    CPPUNIT_TEST(encodesRunWithRemainingDeadline);
    CPPUNIT_TEST(checksAttemptAndSignatureOfResponses);
    CPPUNIT_TEST(acceptsRejectionWithoutAttempt);
    CPPUNIT_TEST(encodesRetryAfterInFractionalSeconds);
    CPPUNIT_TEST(encodesAndDecodesStageCalls);
    CPPUNIT_TEST(stageResponseWithWrongItemCountIsBroken);
    CPPUNIT_TEST(handlesThatNoHeaderCanHoldAreErrors);
    CPPUNIT_TEST(decodesConfiguration);
    CPPUNIT_TEST(deeplyNestedConfigurationIsDecoded);
    CPPUNIT_TEST(wrongJsonTypesAreErrors);
    CPPUNIT_TEST(rejectsInvalidEndpointEntries);
    CPPUNIT_TEST(compactEndpointEntriesRoundTrip);
    CPPUNIT_TEST(compactEntryWithInvalidFieldsIsMalformed);
    CPPUNIT_TEST(negativeColdTimeIsWarm);
    CPPUNIT_TEST(decreasedColdTimeIsNoChange);
    CPPUNIT_TEST(malformedItemDoesNotAffectOthers);
    CPPUNIT_TEST(keyThatIsNoTextDoesNotAffectOtherItems);
    CPPUNIT_TEST(detectsMissingInputs);
    CPPUNIT_TEST(pagesRoundTrip);
    CPPUNIT_TEST(unchangedItemsAreEncodedWithoutValue);
    CPPUNIT_TEST(anyAnswerOfTheInstanceItselfShowsThatItRuns);
    CPPUNIT_TEST(decodesLimitsOfEndpoints);
    CPPUNIT_TEST(decodesDrainOfEndpoints);
    CPPUNIT_TEST(decodesWarmupAndLoadOfEndpoints);
    CPPUNIT_TEST(warmupBeyondADayIsMalformed);
    CPPUNIT_TEST(decodesPaceOfEndpoints);
    CPPUNIT_TEST(decodesPausesOfEndpoints);
    CPPUNIT_TEST(decodesCachedPrompts);
    CPPUNIT_TEST(rejectsMalformedListsOfCachedPrompts);
    CPPUNIT_TEST(deeplyNestedCachedPromptsAreMalformed);
    CPPUNIT_TEST(leadingZerosOfPromptPartsDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void decodesLimitsOfEndpoints()
    {
        const auto decode = [](const std::string &text) {
            return *platform::decodeNotice({}, 200, {{"Server-Limit", text}});
        };
        const auto unlimited = platform::decodeNotice({}, 200, {});
        CPPUNIT_ASSERT(unlimited->limit && !unlimited->limit->requestsPerSecond);
        CPPUNIT_ASSERT(unlimited->malformedHeaders.empty());
        CPPUNIT_ASSERT(decode("1.3").limit->requestsPerSecond == std::optional{1.3});
        CPPUNIT_ASSERT(decode("0").limit->requestsPerSecond == std::optional{0.0});
        for (const std::string text : {"soon", "-1", "nan", "inf", "1,2", "1e999"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decode(text).limit);
            CPPUNIT_ASSERT_MESSAGE(text, decode(text).malformedHeaders == std::vector<std::string>{"server-limit"});
        }
        const HttpHeaders limited{{"server-limit", "2"}, {"attempt-id", "a1"}};
        CPPUNIT_ASSERT(platform::decodeNotice("a1", 200, limited)->limit->requestsPerSecond == std::optional{2.0});
        // A late response to another request; a pause that it asks for has begun before.
        CPPUNIT_ASSERT(platform::decodeNotice("a2", 503, {{"Attempt-Id", "a1"}, {"Retry-After", "2"}})->pause
                       == Duration::zero());
        CPPUNIT_ASSERT(!platform::decodeNotice("a2", 200, limited)->limit);
        // Another instance answered.
        CPPUNIT_ASSERT(!platform::decodeNotice("a1", 421, limited));
        // A rejection names a limit, but does not withdraw one.
        CPPUNIT_ASSERT(platform::decodeNotice({}, 503, {{"not-executed", "1"}, {"server-limit", "2"}})->limit);
        CPPUNIT_ASSERT(!platform::decodeNotice({}, 503, {{"not-executed", "1"}})->limit);
    }

    void decodesDrainOfEndpoints()
    {
        const auto decode = [](int status, const std::string &text) {
            return platform::decodeNotice("a1", status, {{"Server-Leaving", text}, {"attempt-id", "a2"}});
        };
        CPPUNIT_ASSERT(decode(200, "1")->isDraining);
        CPPUNIT_ASSERT(decode(503, "1")->isDraining);
        CPPUNIT_ASSERT(!decode(200, "0")->isDraining && decode(200, "0")->malformedHeaders.empty());
        CPPUNIT_ASSERT(!platform::decodeNotice({}, 200, {})->isDraining);
        CPPUNIT_ASSERT(!decode(200, "soon")->isDraining);
        CPPUNIT_ASSERT(decode(200, "soon")->malformedHeaders == std::vector<std::string>{"server-leaving"});
        // Another instance answered.
        CPPUNIT_ASSERT(!decode(421, "1"));
    }

    void decodesWarmupAndLoadOfEndpoints()
    {
        const auto notice = platform::decodeNotice({}, 200, {{"Cold-Ms", "1500"}, {"Server-Load", "3,1,8"}});
        CPPUNIT_ASSERT(notice->remainingWarmup == std::chrono::milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, notice->load->slots);
        const auto malformed = platform::decodeNotice({}, 200, {{"Cold-Ms", "long"}, {"Server-Load", "3,1"}});
        CPPUNIT_ASSERT(malformed->remainingWarmup == Duration::zero() && !malformed->load);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, malformed->malformedHeaders.size());
    }

    /*! @brief Guards against an engine that counts as cold for ever, and against a point in time that overflows. */
    void warmupBeyondADayIsMalformed()
    {
        CPPUNIT_ASSERT(platform::decodeNotice({}, 200, {{"cold-ms", "86400000"}})->remainingWarmup
                       == std::chrono::hours{24});
        for (const std::string text : {"86400001", "1e15", "1e300"}) {
            const auto notice = platform::decodeNotice({}, 200, {{"cold-ms", text}});
            CPPUNIT_ASSERT_MESSAGE(text, notice->remainingWarmup == Duration::zero());
            CPPUNIT_ASSERT_MESSAGE(text, notice->malformedHeaders == std::vector<std::string>{"cold-ms"});
        }
    }

    /*! @brief A load with a value that was unknown before was ignored as a whole, in every response. */
    void decodesPaceOfEndpoints()
    {
        const auto decode = [](const std::string &text) {
            return platform::decodeNotice({}, 200, {{"Server-Load", text}})->load;
        };
        CPPUNIT_ASSERT(decode("3,1,8") && !decode("3,1,8")->pace);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.45, *decode("3,1,8,145")->pace, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.975, *decode("3,1,8,97.5,7,new")->pace, 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, decode("3,1,8,145")->waiting);
        for (const char *malformed :
             {"3,1,8,", "3,1,8,0", "3,1,8,-5", "3,1,8,fast", "3,1,8,inf", "-1,1,8,100", "3,1"}) {
            CPPUNIT_ASSERT_MESSAGE(malformed, !decode(malformed));
        }
    }

    void decodesPausesOfEndpoints()
    {
        const auto decode = [](int status, const std::string &text) {
            return *platform::decodeNotice({}, status, {{"Retry-After", text}, {"not-executed", "1"}});
        };
        CPPUNIT_ASSERT(decode(503, "3").pause == std::chrono::seconds{3});
        CPPUNIT_ASSERT(decode(503, "0.25").pause == std::chrono::milliseconds{250});
        CPPUNIT_ASSERT(decode(503, "1e300").pause == std::chrono::hours{24});
        CPPUNIT_ASSERT(decode(503, "0").pause == Duration::zero() && decode(503, "0").malformedHeaders.empty());
        CPPUNIT_ASSERT(decode(429, "3").pause == Duration::zero());
        CPPUNIT_ASSERT(!platform::decodeNotice({}, 421, {{"retry-after", "3"}}));
        for (const std::string text : {"soon", "-1", "nan", "inf"}) {
            CPPUNIT_ASSERT_MESSAGE(text, decode(503, text).pause == Duration::zero());
            CPPUNIT_ASSERT_MESSAGE(text, decode(503, text).malformedHeaders == std::vector<std::string>{"retry-after"});
        }
    }

    void anyAnswerOfTheInstanceItselfShowsThatItRuns()
    {
        const HttpRequest check = platform::encodeCheck({InstanceName{"i-1"}, "10.0.0.1:1"});
        CPPUNIT_ASSERT_EQUAL(std::string_view{"i-1"}, headerValue(check.headers, "expect-instance"));
        CPPUNIT_ASSERT(headerValue(check.headers, "attempt-id").empty());
        CPPUNIT_ASSERT(platform::decodeCheck({200, {}, "{}"}) == serving::EndpointState::Running);
        CPPUNIT_ASSERT(platform::decodeCheck({400, {}, ""}) == serving::EndpointState::Running);
        CPPUNIT_ASSERT(platform::decodeCheck({421, {}, ""}) == serving::EndpointState::Stopped);
    }

    void decodesCachedPrompts()
    {
        const HttpRequest request = platform::encodeListCachedPrompts(InstanceName{"i-1"});
        CPPUNIT_ASSERT_EQUAL(std::string{"/bergamottide/kv-list"}, request.path);
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, std::string{headerValue(request.headers, "expect-instance")});
        const auto parts = platform::decodeCachedPrompts(
            {200, {}, R"({"epoch":1,"nextToken":3,"held":[["","24a5286a1e1a",47,"m"],["","7a",0,"m"]]})"});
        CPPUNIT_ASSERT(parts && parts->size() == 2);
        CPPUNIT_ASSERT_EQUAL(std::string{"24a5286a1e1a"}, parts->front().id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{47}, parts->front().tokens);
        CPPUNIT_ASSERT(platform::decodeCachedPrompts({200, {}, R"({"held":[]})"}));
    }

    /*! @brief Guards against taking an engine that does not tell for one that has nothing cached. */
    void rejectsMalformedListsOfCachedPrompts()
    {
        for (const std::string body :
             {"", "{", "[]", R"({"held":1})", R"({"epoch":1})", R"({"held":[["","7a"]]})", R"({"held":[["",7,8,"m"]]})",
              R"({"held":[["","7a",-1,"m"]]})", R"({"held":[["","7a","8","m"]]})", R"({"held":[7]})"}) {
            CPPUNIT_ASSERT_MESSAGE(body, !platform::decodeCachedPrompts({200, {}, body}));
        }
        CPPUNIT_ASSERT(!platform::decodeCachedPrompts({421, {}, R"({"held":[]})"}));
    }

    /*! @brief Guards against an engine whose answer ends the process, by recursion as deep as the answer. */
    void deeplyNestedCachedPromptsAreMalformed()
    {
        const std::string nested = std::string(extremeDepth, '[') + std::string(extremeDepth, ']');
        CPPUNIT_ASSERT(!platform::decodeCachedPrompts({200, {}, R"({"held":[["","7a",)" + nested + R"(,"m"]]})"}));
    }

    void leadingZerosOfPromptPartsDoNotCount()
    {
        HttpRequest request = callerRequest();
        std::erase_if(request.headers, [](const auto &header) { return header.first == "prompt-prefix"; });
        request.headers.emplace_back("prompt-prefix", "007a:8,00:1");
        const auto decoded = platform::decodeRequest(CallId{1}, request);
        CPPUNIT_ASSERT(decoded.ok());
        CPPUNIT_ASSERT_EQUAL(std::string{"7a"}, decoded->prompt.front().id);
        CPPUNIT_ASSERT_EQUAL(std::string{"0"}, decoded->prompt.back().id);
        const auto parts = platform::decodeCachedPrompts({200, {}, R"({"held":[["","07a",8,"m"]]})"});
        CPPUNIT_ASSERT_EQUAL(decoded->prompt.front().id, parts->front().id);
    }

    void decodesCallerRequest()
    {
        const auto read = platform::decodeRequest(CallId{1}, callerRequest());
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(std::string{"a1"}, read->attempt);
        CPPUNIT_ASSERT_EQUAL(std::string{"example"}, read->host);
        CPPUNIT_ASSERT_EQUAL(std::string{"/draft/1"}, read->path);
        CPPUNIT_ASSERT_EQUAL(std::string{"/draft/1?q=1"}, read->target);
        CPPUNIT_ASSERT(read->deadline == std::optional<Duration>{std::chrono::seconds{4}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1460}, read->promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::string{"91bd3f06"}, read->prompt.back().id);
        CPPUNIT_ASSERT((read->pieces == std::vector<std::uint32_t>{2, 0}));
        CPPUNIT_ASSERT(read->resumesStream());
        CPPUNIT_ASSERT_EQUAL(std::string{"a0"}, read->resumedAttempt);
        CPPUNIT_ASSERT_EQUAL(std::string{"a0"}, std::string{headerValue(read->headers, "resumes")});
    }

    void rejectsMalformedHeaders()
    {
        for (const auto &[name, value] : HttpHeaders{{"deadline-ms", "soon"},
                                                     {"deadline-ms", "-1"},
                                                     {"pieces", "1,x"},
                                                     {"pieces", "99999999"},
                                                     {"prompt-prefix", "a"},
                                                     {"token-counts", "1"}}) {
            HttpRequest request = callerRequest();
            std::erase_if(request.headers, [&name = name](const auto &header) { return header.first == name; });
            request.headers.emplace_back(name, value);
            CPPUNIT_ASSERT(!platform::decodeRequest(CallId{1}, request).ok());
        }
    }

    void removesReservedAndHopByHopHeaders()
    {
        HttpRequest request = callerRequest();
        for (const char *name :
             {"Tenant", "Expect-Instance", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "Inputs",
              "Request-Urgency", "Expect-Version", "Transfer-Encoding", "Upgrade", "X-Local"}) {
            request.headers.emplace_back(name, "1");
        }
        request.headers.emplace_back("Connection", "close, x-local");
        const HttpRequest out = platform::encodeRun(startRun(request));
        for (const char *name :
             {"tenant", "hold", "pin-ms", "kv-backup", "kv-from", "kv-fetch", "inputs", "request-urgency",
              "expect-version", "transfer-encoding", "upgrade", "connection", "x-local", "x-api-key"}) {
            CPPUNIT_ASSERT_EQUAL(std::string{}, std::string{headerValue(out.headers, name)});
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"engine-1"}, std::string{headerValue(out.headers, "expect-instance")});
        CPPUNIT_ASSERT_EQUAL(std::string{"m"}, std::string{headerValue(out.headers, "model")});
    }

    void encodesRunWithRemainingDeadline()
    {
        serving::StartRun start = startRun(callerRequest());
        start.workspace = WorkspaceName{"north"};
        start.urgency = 2;
        start.inputs = {"h1", "h2"};
        start.lastEventId = "7";
        const HttpRequest out = platform::encodeRun(start);
        CPPUNIT_ASSERT_EQUAL(std::string{"/draft/1?q=1"}, out.path);
        CPPUNIT_ASSERT_EQUAL(std::string{"example:80"}, out.authority);
        CPPUNIT_ASSERT_EQUAL(std::string{"1500"}, std::string{headerValue(out.headers, "deadline-ms")});
        CPPUNIT_ASSERT_EQUAL(std::string{"north"}, std::string{headerValue(out.headers, "tenant")});
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, std::string{headerValue(out.headers, "request-urgency")});
        CPPUNIT_ASSERT_EQUAL(std::string{"h1,h2"}, std::string{headerValue(out.headers, "inputs")});
        CPPUNIT_ASSERT_EQUAL(std::string{"7"}, std::string{headerValue(out.headers, "last-event-id")});
    }

    void checksAttemptAndSignatureOfResponses()
    {
        serving::CallerRequest request;
        request.attempt = "a1";
        const auto own = platform::decodeResponseHead(
            request, 200, {{"Attempt-Id", "a1"}, {"Response-Seal", "s"}, {"Server-Load", "3,1,8"}, {"X-Kept", "1"}});
        CPPUNIT_ASSERT(!own.isForOtherRequest && own.isSigned && !own.notExecuted);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, std::string{headerValue(own.headers, "x-kept")});
        CPPUNIT_ASSERT(platform::decodeResponseHead(request, 200, {{"Attempt-Id", "a2"}, {"Response-Seal", "s"}})
                           .isForOtherRequest);
        CPPUNIT_ASSERT(platform::decodeResponseHead(request, 200, {{"Response-Seal", "s"}}).isForOtherRequest);
        CPPUNIT_ASSERT(!platform::decodeResponseHead(
                            request, 200, {{"Attempt-Id", "a1"}, {"Response-Seal", "s"}, {"Content-Encoding", "gzip"}})
                            .isSigned);
    }

    void acceptsRejectionWithoutAttempt()
    {
        serving::CallerRequest request;
        request.attempt = "a1";
        const auto rejected = platform::decodeResponseHead(request, 503, {{"Not-Executed", "1"}});
        CPPUNIT_ASSERT(rejected.notExecuted && !rejected.isForOtherRequest);
        CPPUNIT_ASSERT(platform::decodeResponseHead(request, 421, {}).notExecuted);
        CPPUNIT_ASSERT(platform::decodeResponseHead(request, 503, {{"Not-Executed", "1"}, {"Attempt-Id", "a2"}})
                           .isForOtherRequest);
    }

    void encodesRetryAfterInFractionalSeconds()
    {
        const HttpResponse answer =
            platform::encodeRefusal({CallId{1}, serving::ErrorKind::Unavailable, std::chrono::milliseconds{250}}, "a1");
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"0.250"}, std::string{headerValue(answer.headers, "retry-after")});
        CPPUNIT_ASSERT_EQUAL(504, platform::encodeRefusal({CallId{1}, serving::ErrorKind::TimedOut, {}}, "a1").status);
    }

    void encodesAndDecodesStageCalls()
    {
        serving::StartStageCall call;
        call.instance = InstanceName{"encoder-1"};
        call.deadline = std::chrono::milliseconds{900};
        call.items = {{"a1", 0, 2, std::chrono::milliseconds{900}, "input", {}},
                      {"a2", 1, 0, std::chrono::milliseconds{500}, "", {"h1"}}};
        const HttpRequest out = platform::encodeStageCall(call);
        CPPUNIT_ASSERT_EQUAL(std::string{R"({"items":[{"id":"a1","key":"input","leftMs":900,"piece":2,"stage":0},)"
                                         R"({"id":"a2","inputs":["h1"],"leftMs":500,"piece":0,"stage":1}]})"},
                             out.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"encoder-1"}, std::string{headerValue(out.headers, "expect-instance")});
        const auto ended = platform::decodeStageResponse(serving::StageCallNumber{1}, 2,
                                                         {200, {}, R"({"items":[{"handle":"h2"},{"reason":"gone"}]})"});
        CPPUNIT_ASSERT(ended.status == serving::StageCallStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string{"h2"}, ended.results[0].handle);
        CPPUNIT_ASSERT(ended.results[1].failure == serving::PieceFailure::InputMissing);
    }

    /*! @brief Guards against a handle that adds lines to the head of the request that names it. */
    void handlesThatNoHeaderCanHoldAreErrors()
    {
        for (const std::string &handle :
             {std::string{"a\\r\\nX: y"}, std::string{"a\\n"}, std::string{"a b"}, std::string{"a,b"},
              std::string{"a\\u0000"}, std::string{"caf\u00e9"}, std::string{}, std::string(1025, 'a')}) {
            const HttpResponse answer{
                200, {}, R"({"items":[{"handle":")" + handle + R"("},{"handle":"10.0.0.1:80/1;a=%zz"}]})"};
            const auto ended = platform::decodeStageResponse(serving::StageCallNumber{1}, 2, answer);
            CPPUNIT_ASSERT(ended.status == serving::StageCallStatus::Answered);
            CPPUNIT_ASSERT_MESSAGE(handle, ended.results[0].handle.empty());
            CPPUNIT_ASSERT(ended.results[0].failure == serving::PieceFailure::Error);
            CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.1:80/1;a=%zz"}, ended.results[1].handle);
        }
    }

    void stageResponseWithWrongItemCountIsBroken()
    {
        const serving::StageCallNumber call{1};
        CPPUNIT_ASSERT(platform::decodeStageResponse(call, 2, {200, {}, R"({"items":[{"handle":"h2"}]})"}).status
                       == serving::StageCallStatus::Broken);
        CPPUNIT_ASSERT(platform::decodeStageResponse(call, 2, {200, {}, "x"}).status
                       == serving::StageCallStatus::Broken);
        CPPUNIT_ASSERT(platform::decodeStageResponse(call, 2, {503, {{"not-executed", "1"}}, ""}).status
                       == serving::StageCallStatus::Rejected);
        CPPUNIT_ASSERT(platform::decodeStageResponse(call, 2, {500, {}, ""}).status
                       == serving::StageCallStatus::Broken);
    }

    void decodesConfiguration()
    {
        const auto catalog = platform::decodeCatalog(R"({"version":7,"routes":[
            {"name":"r1","host":"Example","pathPrefix":"/a/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":1000,"priority":1,
             "trafficSplit":[{"service":"m1","weight":90},{"service":"m2","weight":10}],"maxAttempts":2,"resumable":true,
             "stages":[{"service":"e","after":[],"bytes":8000},{"service":"f","after":[0],"bytes":60000}]},
            {"name":"r2","host":"example","pathPrefix":"/a/b/","kind":"unsafe","service":"d","public":true,"allowedRegions":["north"]}],
            "services":[{"name":"e","maxConnections":370,"coldStartS":3.0,"coldPerS":11.0,"pieces":{"slots":1,"batch":8,"callMs":150.0,"itemMs":16.0,"headroomMb":45.0,"handleS":4.0}}],
            "tenants":[{"name":"north","apiKeys":["k1","k2"],"priority":1,"allowedRegions":["south","north"]}]})");
        CPPUNIT_ASSERT(catalog.ok());
        const serving::Route *route = catalog->findRoute("example", "/a/x");
        CPPUNIT_ASSERT(route != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"r1"}, route->name);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, route->maxLevel());
        CPPUNIT_ASSERT(!route->stages[0].isLeaf && route->stages[1].isLeaf);
        CPPUNIT_ASSERT(route->mayRunTwice());
        CPPUNIT_ASSERT_EQUAL(std::string{"r2"}, catalog->findRoute("EXAMPLE", "/a/b/x")->name);
        CPPUNIT_ASSERT(catalog->findRoute("example", "/b/") == nullptr);
        CPPUNIT_ASSERT(catalog->findPool(PoolName{"e"})->batch->itemTime == std::chrono::milliseconds{16});
        CPPUNIT_ASSERT_EQUAL(std::string{"north"}, catalog->workspaceByApiKey.at("k2").name.text());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, catalog->workspaceByApiKey.at("k2").regions.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"north"}, catalog->findRoute("example", "/a/b/x")->regions.at(0).text());
        CPPUNIT_ASSERT(catalog->findPool(PoolName{"e"})->warmup->duration == std::chrono::seconds{3});
        CPPUNIT_ASSERT_EQUAL(11.0, catalog->findPool(PoolName{"e"})->warmup->requestsPerSecond);
    }

    /*! @brief Guards against a configuration that ends the process, by recursion as deep as a field of it. */
    void deeplyNestedConfigurationIsDecoded()
    {
        const std::string nested = std::string(extremeDepth, '[') + std::string(extremeDepth, ']');
        for (const char *field : {"routes", "services"}) {
            const auto catalog =
                platform::decodeCatalog(absl::StrCat(R"({"version":1,")", field, R"(":[{"note":)", nested, "}]}"));
            CPPUNIT_ASSERT_MESSAGE(field, catalog.ok());
        }
    }

    void wrongJsonTypesAreErrors()
    {
        CPPUNIT_ASSERT(!platform::decodeCatalog("{}").ok());
        CPPUNIT_ASSERT(!platform::decodeCatalog("x").ok());
        CPPUNIT_ASSERT(!platform::decodeCatalog(R"({"version":1,"routes":[{"name":7}]})").ok());
        CPPUNIT_ASSERT(!platform::decodeEndpoint("i", R"({"service":["x"]})").ok());
    }

    void rejectsInvalidEndpointEntries()
    {
        const std::string good = R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready",)"
                                 R"("born":1764729600000})";
        CPPUNIT_ASSERT(platform::decodeEndpoint("i", good).ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1764729600000}, platform::decodeEndpoint("i", good)->incarnation);
        const std::string cold = R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready",)"
                                 R"("coldLeftMs":1500})";
        CPPUNIT_ASSERT(platform::decodeEndpoint("i", cold)->remainingWarmup == std::chrono::milliseconds{1500});
        for (const char *bad : {
                 R"({})",
                 R"([1])",
                 R"({"address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready"})",
                 R"({"service":"s","zone":"a","slots":4,"state":"ready"})",
                 R"({"service":"s","address":"10.0.0.1","zone":"a","slots":4,"state":"ready"})",
                 R"({"service":"s","address":"10.0.0.1:80","slots":4,"state":"ready"})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready"})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":"4","state":"ready"})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"resting"})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","born":"1"})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","born":1.5})",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","coldLeftMs":"1"})",
                 R"({"service":7,"address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready"})",
                 "\xff\xfe\x00",
             }) {
            CPPUNIT_ASSERT_MESSAGE(bad, !platform::decodeEndpoint("i", bad).ok());
        }
    }

    void compactEndpointEntriesRoundTrip()
    {
        const std::string entry = R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"draining",)"
                                  R"("coldLeftMs":1500,"born":1764729600000,"stage":"both","version":"v1",)"
                                  R"("models":[{"name":"m","version":1,"adapters":[]}],"sequence":9})";
        const std::string fromStore = R"({"items":[{"key":"servers/i-1","value":")" + absl::Base64Escape(entry)
            + R"(","revision":7}],"storeRevision":8})";
        const auto page = platform::decodePage(fromStore);
        CPPUNIT_ASSERT(page.ok());
        const std::string encoded = platform::encodeChanges(page->items, 8);
        // Relays send each changed entry to many followers.
        CPPUNIT_ASSERT(encoded.size() < fromStore.size() / 2);
        const auto decoded = platform::decodePage(encoded);
        CPPUNIT_ASSERT(decoded.ok());
        const auto record = platform::decodeEndpoint("i-1", decoded->items.at(0).value);
        const auto original = platform::decodeEndpoint("i-1", entry);
        CPPUNIT_ASSERT(record.ok() && original.ok());
        CPPUNIT_ASSERT_EQUAL(original->instance, record->instance);
        CPPUNIT_ASSERT_EQUAL(original->pool, record->pool);
        CPPUNIT_ASSERT_EQUAL(original->address, record->address);
        CPPUNIT_ASSERT_EQUAL(original->zone, record->zone);
        CPPUNIT_ASSERT_EQUAL(original->slots, record->slots);
        CPPUNIT_ASSERT_EQUAL(original->draining, record->draining);
        CPPUNIT_ASSERT_EQUAL(original->incarnation, record->incarnation);
        CPPUNIT_ASSERT(original->remainingWarmup == record->remainingWarmup);
        CPPUNIT_ASSERT_EQUAL(std::string{"v1"}, record->softwareVersion.text());
        CPPUNIT_ASSERT_EQUAL(std::string{"v1"}, original->softwareVersion.text());
        CPPUNIT_ASSERT(platform::decodeEndpoint("i-1",
                                                R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,)"
                                                R"("state":"ready","version":7})")
                           ->softwareVersion.empty());
        const auto former = platform::decodeEndpoint("i-1", R"(["s","10.0.0.1:80","a",4,true,5,0])");
        CPPUNIT_ASSERT(former.ok() && former->softwareVersion.empty());
        CPPUNIT_ASSERT(!platform::decodeEndpoint("i-1", R"(["s",7])").ok());
        CPPUNIT_ASSERT(!platform::decodeEndpoint("i-1", R"(["s",7,"a",4,true,0,0])").ok());
    }

    /*! @brief Guards against an entry that a relay of an earlier release has passed on without checking it. */
    void compactEntryWithInvalidFieldsIsMalformed()
    {
        CPPUNIT_ASSERT(platform::decodeEndpoint("i", R"(["s","10.0.0.1:80","a",4,true,5,"v1",1500])").ok());
        CPPUNIT_ASSERT_EQUAL(1U, platform::decodeEndpoint("i", R"(["s","10.0.0.1:80","a",0,true,5,"v1",1500])")->slots);
        for (const char *bad :
             {R"(["","10.0.0.1:80","a",4,true,5,"v1",0])", R"(["s","nowhere","a",4,true,5,"v1",0])",
              R"(["s","10.0.0.1:0","a",4,true,5,"v1",0])", R"(["s","10.0.0.1:80","",4,true,5,"v1",0])",
              R"(["s","10.0.0.1:80","a",4294967297,true,5,"v1",0])", R"(["s","10.0.0.1:80","a",-1,true,5,"v1",0])",
              R"(["s","10.0.0.1:80","a",1e300,true,5,"v1",0])", R"(["s","10.0.0.1:80","a",4,true,-5,"v1",0])",
              R"(["s","10.0.0.1:80","a",4,true,1e300,"v1",0])", R"(["s","10.0.0.1:80","a",4,true,5,"v1",1e300])",
              R"(["s","10.0.0.1:80","a",4,true,5,"v1",9223372036854775807])",
              R"(["s","10.0.0.1:80","a",4,true,5,9223372036854775])"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !platform::decodeEndpoint("i", bad).ok());
        }
    }

    /*! @brief Guards against durations that overflow: a number far below zero has no duration. */
    void negativeColdTimeIsWarm()
    {
        for (const char *coldTime : {"-1", "-1e300"}) {
            const auto record = platform::decodeEndpoint(
                "i",
                absl::StrCat(R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready",)",
                             R"("coldLeftMs":)", coldTime, "}"));
            CPPUNIT_ASSERT_MESSAGE(coldTime, record.ok() && record->remainingWarmup == Duration::zero());
        }
        CPPUNIT_ASSERT(platform::decodeEndpoint("i", R"(["s","10.0.0.1:80","a",4,true,5,"v1",-9223372036854775808])")
                           ->remainingWarmup
                       == Duration::zero());
    }

    void decreasedColdTimeIsNoChange()
    {
        const std::string before = R"(["s","10.0.0.1:80","a",4,false,0,1500])";
        CPPUNIT_ASSERT(platform::onlyColdTimeDecreased(before, R"(["s","10.0.0.1:80","a",4,false,0,300])"));
        CPPUNIT_ASSERT(platform::onlyColdTimeDecreased(before, before));
        CPPUNIT_ASSERT(!platform::onlyColdTimeDecreased(before, R"(["s","10.0.0.1:80","a",4,false,0,3000])"));
        CPPUNIT_ASSERT(!platform::onlyColdTimeDecreased(before, R"(["s","10.0.0.1:80","a",4,true,0,300])"));
        CPPUNIT_ASSERT(!platform::onlyColdTimeDecreased("", before));
        platform::ChangeLog log;
        log.replace({{"servers/i", before, 5}}, 5);
        log.apply({{"servers/i", R"(["s","10.0.0.1:80","a",4,false,0,300])", 6}}, 6);
        CPPUNIT_ASSERT(log.since(5)->empty());
        log.apply({{"servers/i", R"(["s","10.0.0.1:80","a",4,false,0,3000])", 7}}, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.since(5)->size());
        log.apply({{"servers/i", {}, 8, true}}, 8);
        CPPUNIT_ASSERT(log.since(7)->at(0).isRemoved);
    }

    void malformedItemDoesNotAffectOthers()
    {
        const auto page = platform::decodePage(
            R"({"items":[{"key":"servers/i-1","value":7,"revision":1},{"key":["x"],"value":"","revision":1},9,)"
            R"({"key":"servers/i-2","value":"***","revision":2},{"key":"servers/i-3","value":"e30=","revision":3}],)"
            R"("storeRevision":3})");
        CPPUNIT_ASSERT(page.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, page->items.size());
        CPPUNIT_ASSERT_EQUAL(std::string{}, page->items[0].value);
        CPPUNIT_ASSERT_EQUAL(std::string{}, page->items[1].value);
        CPPUNIT_ASSERT_EQUAL(std::string{"{}"}, page->items[2].value);
    }

    void keyThatIsNoTextDoesNotAffectOtherItems()
    {
        const std::string replaced{"\xef\xbf\xbd"};
        const std::vector<std::pair<std::string, std::string>> keys{{R"(i\udcff)", "i" + replaced},
                                                                    {R"(i\ud800)", "i" + replaced},
                                                                    {R"(i\ud800\u0041)", "i" + replaced + "A"},
                                                                    {R"(i\ud83d\ude00)", "i\xf0\x9f\x98\x80"},
                                                                    {R"(i\\udcff)", "i\\udcff"},
                                                                    {"i\xff", "i" + replaced},
                                                                    {"i\xed\xb3\xbfz", {}}};
        for (const auto &[written, read] : keys) {
            const auto page = platform::decodePage(R"({"items":[{"key":"a"},{"key":")" + written
                                                   + R"("},{"key":"z"}],"storeRevision":7})");
            CPPUNIT_ASSERT_MESSAGE(written, page.ok());
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, page->items.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"a"}, page->items.front().key);
            CPPUNIT_ASSERT_EQUAL(std::string{"z"}, page->items.back().key);
            if (!read.empty()) {
                CPPUNIT_ASSERT_EQUAL(read, page->items[1].key);
            }
        }
    }

    void detectsMissingInputs()
    {
        const serving::CallerRequest request = *platform::decodeRequest(CallId{1}, HttpRequest{});
        CPPUNIT_ASSERT(platform::decodeResponseHead(request, 409, {{"not-executed", "1"}}).areInputsMissing);
        CPPUNIT_ASSERT(!platform::decodeResponseHead(request, 409, {}).areInputsMissing);
        CPPUNIT_ASSERT(!platform::decodeResponseHead(request, 503, {{"not-executed", "1"}}).areInputsMissing);
    }

    void pagesRoundTrip()
    {
        const std::string draining =
            R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"draining"})";
        const auto page =
            platform::decodePage(R"({"items":[{"key":"servers/i-1","value":")" + absl::Base64Escape(draining)
                                 + R"(","revision":12}],"hasMore":true,"storeRevision":13})");
        CPPUNIT_ASSERT(page.ok());
        CPPUNIT_ASSERT(page->hasMore);
        CPPUNIT_ASSERT(platform::decodeEndpoint("i-1", page->items[0].value)->draining);
        const auto again = platform::decodePage(platform::encodePage(*page));
        CPPUNIT_ASSERT(again.ok());
        CPPUNIT_ASSERT_EQUAL(page->items[0].value, again->items[0].value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, again->revision);
    }

    void unchangedItemsAreEncodedWithoutValue()
    {
        platform::StorePage page;
        page.revision = 9;
        page.items = {{"op/config", "large", 4, false, true}, {"servers/i-1", "new", 8, false, false}};
        const std::string text = platform::encodePage(page);
        CPPUNIT_ASSERT(text.find("bGFyZ2U") == std::string::npos);
        const auto read = platform::decodePage(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->items[0].isUnchanged);
        CPPUNIT_ASSERT(!read->items[1].isUnchanged);
        CPPUNIT_ASSERT_EQUAL(std::string{"new"}, read->items[1].value);
    }

private:
    static serving::StartRun startRun(const HttpRequest &request)
    {
        serving::StartRun start;
        start.instance = InstanceName{"engine-1"};
        start.deadline = std::chrono::milliseconds{1500};
        start.request = std::make_shared<const serving::CallerRequest>(*platform::decodeRequest(CallId{1}, request));
        return start;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecsTest);
