#include "bergamottide/core/error.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/socketaddress.h"
#include "support/certificates.h"
#include "support/endedcall.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

using namespace bergamottide;

class HttpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(answersWholeBodies);
    CPPUNIT_TEST(streamsPiecesInOrder);
    CPPUNIT_TEST(reportsARefusedConnection);
    CPPUNIT_TEST(refusesABodyAboveTheLimit);
    CPPUNIT_TEST(tellsTheServerOfACancelledCall);
    CPPUNIT_TEST(callsNoHookAfterCancel);
    CPPUNIT_TEST(reusesAConnection);
    CPPUNIT_TEST(findsHeadersAndQueryValues);
    CPPUNIT_TEST(queriesHoldAnyBytes);
    CPPUNIT_TEST(collectedBodiesAreBoundedTogether);
    CPPUNIT_TEST(speaksTlsAndTakesARenewedCertificate);
    CPPUNIT_TEST(clientRefusesAnUnknownAuthority);
    CPPUNIT_TEST(refusesACertificateThatCannotBeRead);
    CPPUNIT_TEST(acceptsWaitingConnectionsTogether);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief A loop with much to do has few rounds, and callers leave if they are not read within a second. */
    void acceptsWaitingConnectionsTogether()
    {
        constexpr int connections = 40;
        constexpr int rounds = 8;
        int handled = 0;
        HttpServer server{m_loop, {"127.0.0.1:0", {}, 1 << 20}, [&handled](HttpRequest, auto responder) {
                              ++handled;
                              responder->respond({200, {}, "x"});
                          }};
        CPPUNIT_ASSERT(server.listen().ok());
        std::vector<int> callers;
        callers.reserve(connections);
        for (int index = 0; index < connections; ++index) {
            callers.push_back(connectAndAsk(server.address()));
        }
        for (int round = 0; round < rounds; ++round) {
            m_loop.runOnce(Duration::zero());
        }
        CPPUNIT_ASSERT_EQUAL(connections, handled);
        std::ranges::for_each(callers, ::close);
    }

    void answersWholeBodies()
    {
        HttpServer server{m_loop, {"127.0.0.1:0", {}, 1 << 20}, [](HttpRequest request, auto responder) {
                              responder->respond({201, {{"X-Path", request.path}}, request.query + request.body});
                          }};
        CPPUNIT_ASSERT(server.listen().ok());
        const auto answer = callOnce(server.address(), {"POST", "/a", "q=1", {}, "body"});
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(201, answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string{"q=1body"}, answer->body);
        CPPUNIT_ASSERT_EQUAL(std::string{"/a"}, std::string{headerValue(answer->headers, "x-path")});
    }

    void streamsPiecesInOrder()
    {
        HttpServer server{m_loop, {"127.0.0.1:0", {}, 1 << 20}, [this](HttpRequest, auto responder) {
                              responder->begin(200, {{"content-type", "text/event-stream"}});
                              for (int piece = 0; piece < 100; ++piece) {
                                  m_loop.post([responder, piece] { responder->send(std::to_string(piece) + ","); });
                              }
                              m_loop.post([responder] { responder->finish(); });
                          }};
        CPPUNIT_ASSERT(server.listen().ok());
        std::string expected;
        for (int piece = 0; piece < 100; ++piece) {
            expected += std::to_string(piece) + ",";
        }
        const auto answer = callOnce(server.address(), {"GET", "/", "", {}, ""});
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(expected, answer->body);
    }

    void reportsARefusedConnection()
    {
        std::optional<HttpFailure> failure;
        HttpCallHooks hooks;
        hooks.failed = [&failure](HttpFailure reason) {
            failure = reason;
        };
        m_client.call("127.0.0.1:1", {"GET", "/", "", {}, ""}, hooks);
        runUntil([&failure] { return failure.has_value(); });
        CPPUNIT_ASSERT(failure == HttpFailure::Connect);
    }

    void refusesABodyAboveTheLimit()
    {
        HttpServer server{m_loop, {"127.0.0.1:0", {}, 1 << 20}, [](HttpRequest, auto responder) {
                              responder->respond({200, {}, std::string(2048, 'x')});
                          }};
        CPPUNIT_ASSERT(server.listen().ok());
        HttpClientOptions options;
        options.maxBodyBytes = 1024;
        HttpClient small{m_loop, options};
        std::optional<HttpFailure> failure;
        HttpCallHooks hooks;
        hooks.failed = [&failure](HttpFailure reason) {
            failure = reason;
        };
        small.call(server.address(), {"GET", "/", "", {}, ""}, hooks);
        runUntil([&failure] { return failure.has_value(); });
        CPPUNIT_ASSERT(failure == HttpFailure::TooLarge);
    }

    void tellsTheServerOfACancelledCall()
    {
        bool closed = false;
        bool received = false;
        std::shared_ptr<HttpResponder> kept;
        HttpServer server{m_loop, {"127.0.0.1:0", {}, 1 << 20}, [&](HttpRequest, auto responder) {
                              kept = responder;
                              received = true;
                              responder->onClosed([&closed] { closed = true; });
                          }};
        CPPUNIT_ASSERT(server.listen().ok());
        const HttpCallId call = m_client.call(server.address(), {"GET", "/", "", {}, ""}, {});
        runUntil([&received] { return received; });
        m_client.cancel(call);
        runUntil([&closed] { return closed; });
        CPPUNIT_ASSERT(closed);
    }

    void callsNoHookAfterCancel()
    {
        int answered = 0;
        HttpServer server{m_loop, {"127.0.0.1:0", {}, 1 << 20}, [&answered](HttpRequest, auto responder) {
                              ++answered;
                              responder->respond({200, {}, "x"});
                          }};
        CPPUNIT_ASSERT(server.listen().ok());
        bool called = false;
        HttpCallHooks hooks;
        HttpCallId call{};
        hooks.head = [&](int, const HttpHeaders &) {
            m_client.cancel(call);
        };
        hooks.piece = [&called](std::string_view) {
            called = true;
        };
        hooks.done = [&called](HttpResponse) {
            called = true;
        };
        hooks.failed = [&called](HttpFailure) {
            called = true;
        };
        call = m_client.call(server.address(), {"GET", "/", "", {}, ""}, hooks);
        CPPUNIT_ASSERT(callOnce(server.address(), {"GET", "/", "", {}, ""}));
        CPPUNIT_ASSERT_EQUAL(2, answered);
        CPPUNIT_ASSERT(!called);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_client.inProgress());
    }

    void reusesAConnection()
    {
        HttpServer server{m_loop, {"127.0.0.1:0", {}, 1 << 20}, [](HttpRequest request, auto responder) {
                              responder->respond({200, {}, request.path});
                          }};
        CPPUNIT_ASSERT(server.listen().ok());
        for (int round = 0; round < 20; ++round) {
            const std::string path = "/" + std::to_string(round);
            const auto answer = callOnce(server.address(), {"GET", path, "", {}, ""});
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(path, answer->body);
        }
    }

    void findsHeadersAndQueryValues()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, queryValue("a=1&b=2&c", "b"));
        CPPUNIT_ASSERT(queryValue("a=1&b=2&c", "c").empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, queryValue("a=1&a=2", "a"));
        CPPUNIT_ASSERT_EQUAL(std::string{"+%zz% &%"}, queryValue("a=+%zz%%20%26%", "a"));
        CPPUNIT_ASSERT_EQUAL(std::string{"v"}, std::string{headerValue({{"Name", "v"}}, "name")});
    }

    void collectedBodiesAreBoundedTogether()
    {
        constexpr std::size_t bytes = 1000;
        HttpServer server{m_loop, {"127.0.0.1:0", {}, 1 << 20}, [this](HttpRequest request, auto responder) {
                              responder->begin(200, {});
                              responder->send(std::string(bytes, 'x'));
                              if (request.path == "/slow") {
                                  m_loop.at(m_loop.now() + std::chrono::milliseconds{200},
                                            [responder] { responder->finish(); });
                                  return;
                              }
                              responder->finish();
                          }};
        CPPUNIT_ASSERT(server.listen().ok());
        HttpClientOptions options;
        options.maxCollectedBytes = bytes;
        options.maxCollectedSum = 2 * bytes;
        HttpClient client{m_loop, options};
        // What has ended or was cancelled no longer counts, so the second round finds as much room as the first.
        for (int round = 0; round < 2; ++round) {
            std::vector<test::EndedCall> calls(3);
            for (test::EndedCall &call : calls) {
                client.call(server.address(), {"GET", "/slow", "", {}, ""}, test::recordingHooks(call));
            }
            CPPUNIT_ASSERT(test::runUntil(m_loop, [&calls] {
                return std::ranges::all_of(calls, [](const auto &call) { return call.answer || call.failure; });
            }));
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, std::ranges::count_if(calls, [](const auto &call) {
                                     return call.answer.has_value();
                                 }));
            test::EndedCall cancelled;
            const HttpCallId call =
                client.call(server.address(), {"GET", "/slow", "", {}, ""}, test::recordingHooks(cancelled));
            test::runFor(m_loop, std::chrono::milliseconds{100});
            client.cancel(call);
            test::runFor(m_loop, std::chrono::milliseconds{20});
        }
    }

    void queriesHoldAnyBytes()
    {
        std::string all;
        for (int byte = 0; byte < 256; ++byte) {
            all += static_cast<char>(byte);
        }
        const std::string query = encodeQuery({{"first", all}, {"second", "a b"}, {"none", ""}});
        CPPUNIT_ASSERT(query.find_first_of("+#? \r\n") == std::string::npos);
        CPPUNIT_ASSERT(query.find('\0') == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, std::ranges::count(query, '&'));
        CPPUNIT_ASSERT_EQUAL(all, queryValue(query, "first"));
        CPPUNIT_ASSERT_EQUAL(std::string{"a b"}, queryValue(query, "second"));
        CPPUNIT_ASSERT_EQUAL(std::string{"k=a%2Fb%26%2B~"}, encodeQuery({{"k", "a/b&+~"}}));
    }

    void speaksTlsAndTakesARenewedCertificate()
    {
        test::Certificates certificates;
        HttpServer server{m_loop, {"127.0.0.1:0", certificates.files(), 1 << 20}, answerOk()};
        CPPUNIT_ASSERT(server.listen().ok());
        HttpClient first{m_loop, trusting(certificates)};
        CPPUNIT_ASSERT(callOnce(first, server.address(), {"GET", "/", "", {}, ""}));
        certificates.renew();
        CPPUNIT_ASSERT(server.reloadTls().ok());
        HttpClient second{m_loop, trusting(certificates)};
        CPPUNIT_ASSERT(callOnce(second, server.address(), {"GET", "/", "", {}, ""}));
        CPPUNIT_ASSERT(!callOnce(server.address(), {"GET", "/", "", {}, ""}));
    }

    void clientRefusesAnUnknownAuthority()
    {
        test::Certificates certificates;
        test::Certificates others;
        HttpServer server{m_loop, {"127.0.0.1:0", certificates.files(), 1 << 20}, answerOk()};
        CPPUNIT_ASSERT(server.listen().ok());
        HttpClient client{m_loop, trusting(others)};
        CPPUNIT_ASSERT(!callOnce(client, server.address(), {"GET", "/", "", {}, ""}));
    }

    void refusesACertificateThatCannotBeRead()
    {
        HttpServer server{m_loop, {"127.0.0.1:0", {"/nowhere", "/nowhere", ""}, 1 << 20}, answerOk()};
        const absl::Status status = server.listen();
        CPPUNIT_ASSERT(!status.ok());
        CPPUNIT_ASSERT_EQUAL(std::string{"tls.certificate"}, errorField(status));
    }

private:
    /*! @brief Opens a connection and sends a request over it, both before the server's loop runs. */
    static int connectAndAsk(const std::string &address)
    {
        auto server = parseSocketAddress(address);
        CPPUNIT_ASSERT(server.ok());
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        CPPUNIT_ASSERT_EQUAL(0, connect(descriptor, server->native(), server->length));
        const std::string request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(request.size()),
                             ::send(descriptor, request.data(), request.size(), 0));
        return descriptor;
    }

    static HttpServer::Handler answerOk()
    {
        return [](HttpRequest, const std::shared_ptr<HttpResponder> &responder) {
            responder->respond({200, {}, "ok"});
        };
    }

    static HttpClientOptions trusting(const test::Certificates &certificates)
    {
        HttpClientOptions options;
        options.authority = certificates.files().authority;
        return options;
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        test::runUntil(m_loop, condition);
    }

    std::optional<HttpResponse> callOnce(const std::string &address, HttpRequest request)
    {
        return callOnce(m_client, address, std::move(request));
    }

    std::optional<HttpResponse> callOnce(HttpClient &client, const std::string &address, HttpRequest request)
    {
        std::optional<HttpResponse> result;
        bool failed = false;
        HttpCallHooks hooks;
        hooks.done = [&result](HttpResponse answer) {
            result = std::move(answer);
        };
        hooks.failed = [&failed](HttpFailure) {
            failed = true;
        };
        client.call(address, std::move(request), hooks);
        runUntil([&] { return result || failed; });
        return result;
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    HttpClient m_client{m_loop, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);
