#include "bergamottide/app/callerport.h"

#include "bergamottide/app/calleranswer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <map>
#include <set>

using namespace bergamottide;

namespace {

/*! @brief Responder that records its calls. */
class FakeResponder final : public HttpResponder
{
public:
    void respond(HttpResponse answer) override
    {
        answered = std::move(answer);
    }

    void begin(int status, const HttpHeaders &) override
    {
        answered.status = status;
    }

    void send(std::string_view piece) override
    {
        sent += piece;
    }

    [[nodiscard]] bool reserve(std::size_t) override
    {
        return true;
    }

    void finish() override
    {
        finished = true;
    }

    void abort() override
    {
        aborted = true;
    }

    void onClosed(std::function<void()> hook) override
    {
        closedHook = std::move(hook);
    }

    [[nodiscard]] std::size_t unsent() const override
    {
        return unsentBytes;
    }

    HttpResponse answered{0, {}, {}};
    std::string sent;
    bool finished{};
    bool aborted{};
    std::size_t unsentBytes{};
    std::function<void()> closedHook;
};

HttpRequest submission(HttpHeaders headers = {})
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/pipelines/answer";
    request.headers = std::move(headers);
    request.headers.emplace_back("authorization", "Bearer key");
    request.body = "{}";
    return request;
}

} // namespace

/*! @brief Parsing of callers' requests and delivery of answers, without a socket. */
class CallerPortTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerPortTest);
    CPPUNIT_TEST(idempotencyKeyGivesSameRequestIdForAllKeysOfWorkspace);
    CPPUNIT_TEST(requestsWithoutIdGetDistinctIds);
    CPPUNIT_TEST(closedConnectionIsReportedOnce);
    CPPUNIT_TEST(asynchronousCallerReceivesOnlyTicket);
    CPPUNIT_TEST(streamedPiecesHaveOffsets);
    CPPUNIT_TEST(nonUtf8ResultIsSentAsBase64);
    CPPUNIT_TEST(slowReaderIsDisconnected);
    CPPUNIT_TEST(statusDependsOnOutcomeAndReason);
    CPPUNIT_TEST(everyReasonHasAStatus);
    CPPUNIT_TEST_SUITE_END();

public:
    void idempotencyKeyGivesSameRequestIdForAllKeysOfWorkspace()
    {
        auto document = std::make_shared<Document>();
        Workspace workspace;
        workspace.name = WorkspaceName{"audit"};
        workspace.keyDigests = {keyDigest("key"), keyDigest("next")};
        document->workspaces[workspace.name] = workspace;
        m_port.setDocument(document);
        HttpRequest request = submission({{"idempotency-key", "visit-1"}});
        submit(request);
        request.headers.back().second = "Bearer next";
        submit(request);
        request.headers.back().second = "Bearer other";
        submit(request);
        CPPUNIT_ASSERT(submitted(0).hasIdempotencyKey);
        CPPUNIT_ASSERT(submitted(0).request == submitted(1).request);
        CPPUNIT_ASSERT(submitted(0).request != submitted(2).request);
    }

    void requestsWithoutIdGetDistinctIds()
    {
        submit(submission());
        submit(submission());
        CPPUNIT_ASSERT(submitted(0).request != submitted(1).request);
        CPPUNIT_ASSERT(!submitted(0).hasIdempotencyKey);
    }

    void closedConnectionIsReportedOnce()
    {
        const auto responder = submit(submission());
        responder->closedHook();
        responder->closedHook();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_events.size());
        CPPUNIT_ASSERT(std::holds_alternative<CallerGone>(m_events[1]));
        m_port.carryOut(answerTo(0, "late"));
        CPPUNIT_ASSERT_EQUAL(0, responder->answered.status);
    }

    void asynchronousCallerReceivesOnlyTicket()
    {
        const auto responder = submit(submission({{"prefer", "respond-async"}}));
        CPPUNIT_ASSERT(submitted(0).wantsTicket);
        const Ticket ticket{submitted(0).request, WorkspaceName{"audit"}, InstanceName{"side"}, {}, Serial{4}};
        m_port.carryOut(SendTicket{submitted(0).call, ticket});
        CPPUNIT_ASSERT_EQUAL(202, responder->answered.status);
        const auto body = nlohmann::json::parse(responder->answered.body);
        CPPUNIT_ASSERT(*m_tickets.read(body.value("ticket", "")) == ticket);
        m_port.carryOut(answerTo(0, "later"));
        CPPUNIT_ASSERT_EQUAL(202, responder->answered.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_events.size());
    }

    void streamedPiecesHaveOffsets()
    {
        const auto responder = submit(submission({{"accept", "text/event-stream"}}));
        m_port.carryOut(SendResultPiece{submitted(0).call, "one "});
        m_port.carryOut(SendResultPiece{submitted(0).call, "two"});
        m_port.carryOut(answerTo(0, " end"));
        CPPUNIT_ASSERT(responder->finished);
        CPPUNIT_ASSERT(responder->sent.find(R"({"offset":4,"text":"two"})") != std::string::npos);
        CPPUNIT_ASSERT(responder->sent.find(R"({"offset":7,"text":" end"})") != std::string::npos);
        CPPUNIT_ASSERT(responder->sent.find("event: answer\n") != std::string::npos);
    }

    void nonUtf8ResultIsSentAsBase64()
    {
        const auto responder = submit(submission());
        m_port.carryOut(answerTo(0, "\xff\xfe"));
        const auto body = nlohmann::json::parse(responder->answered.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"//4="}, body.value("result_base64", ""));
        CPPUNIT_ASSERT_EQUAL(std::string{R"({"offset":0,"base64":"//4="})"}, pieceEventData(0, "\xff\xfe"));
    }

    void slowReaderIsDisconnected()
    {
        const auto responder = submit(submission({{"accept", "text/event-stream"}}));
        responder->unsentBytes = 100u << 20;
        m_port.carryOut(SendResultPiece{submitted(0).call, "piece"});
        CPPUNIT_ASSERT(std::holds_alternative<CallerGone>(m_events.back()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_port.waitingCalls());
    }

    void statusDependsOnOutcomeAndReason()
    {
        CPPUNIT_ASSERT_EQUAL(200, httpStatus(Outcome::Completed, Reason::None));
        CPPUNIT_ASSERT_EQUAL(429, httpStatus(Outcome::NotRun, Reason::Overloaded));
        CPPUNIT_ASSERT_EQUAL(503, httpStatus(Outcome::Unknown, Reason::ConnectionLost));
        CPPUNIT_ASSERT_EQUAL(504, httpStatus(Outcome::Incomplete, Reason::DeadlineExceeded));
        SendAnswer answer;
        answer.outcome = Outcome::NotRun;
        answer.reason = Reason::QueueFull;
        answer.retryAfter = std::chrono::milliseconds{1200};
        CPPUNIT_ASSERT(headerValue(httpAnswer(answer, "").headers, "retry-after") == "2");
    }

    void everyReasonHasAStatus()
    {
        const std::set<int> known{400, 401, 404, 409, 413, 429, 503, 504};
        for (std::size_t index = 0; index < EnumNames<Reason>::names.size(); ++index) {
            CPPUNIT_ASSERT(known.contains(httpStatus(Outcome::NotRun, static_cast<Reason>(index))));
        }
    }

private:
    std::shared_ptr<FakeResponder> submit(const HttpRequest &request)
    {
        auto responder = std::make_shared<FakeResponder>();
        m_port.handle(request, responder);
        return responder;
    }

    [[nodiscard]] const CallerSubmitted &submitted(std::size_t index) const
    {
        return std::get<CallerSubmitted>(m_events.at(index));
    }

    [[nodiscard]] SendAnswer answerTo(std::size_t index, std::string body) const
    {
        SendAnswer answer;
        answer.call = submitted(index).call;
        answer.outcome = Outcome::Completed;
        answer.body = std::move(body);
        return answer;
    }

    TicketCodec m_tickets{{TicketKey{"a", "0123456789abcdef"}}};
    std::vector<EntryEvent> m_events;
    CallerPort m_port{m_tickets, 1, [this](EntryEvent event) {
                          m_events.push_back(std::move(event));
                      }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerPortTest);
