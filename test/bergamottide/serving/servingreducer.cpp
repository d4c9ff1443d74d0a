#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;

/*! @brief Request handling: admission, retries, error responses and resumed streams. */
class ServingReducerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingReducerTest);
    CPPUNIT_TEST(plainResponseIsForwardedUnchanged);
    CPPUNIT_TEST(unknownRouteAndKeyAreRejected);
    CPPUNIT_TEST(requestWithoutCatalogIsUnavailable);
    CPPUNIT_TEST(nonIdempotentCallIsNotRetriedAfterConnectionLoss);
    CPPUNIT_TEST(nonIdempotentCallIsRetriedAfterRejection);
    CPPUNIT_TEST(idempotentCallIsRetriedAtAnotherEndpoint);
    CPPUNIT_TEST(requestWithoutResponseTimesOutAsPossiblyExecuted);
    CPPUNIT_TEST(requestIsUnavailableIfNoEndpointIsReachable);
    CPPUNIT_TEST(unsignedSuccessIsNotForwarded);
    CPPUNIT_TEST(responseToAnotherRequestIsNotForwarded);
    CPPUNIT_TEST(interruptedStreamIsAborted);
    CPPUNIT_TEST(resumableStreamContinuesAfterItsLastCompleteEvent);
    CPPUNIT_TEST(unresponsiveEndpointGetsNoFurtherRequests);
    CPPUNIT_TEST(idempotentCallAtUnresponsiveEndpointIsRetried);
    CPPUNIT_TEST(callerDisconnectCancelsItsRun);
    CPPUNIT_TEST(drainAcceptsRequestsOnlyAtItsStart);
    CPPUNIT_TEST(stageResultsAreFreedAtTheFirstEvent);
    CPPUNIT_TEST(interruptedStreamRepeatsItsStages);
    CPPUNIT_TEST(requestThatCannotBeOnTimeIsRejectedOnArrival);
    CPPUNIT_TEST(missingInputsRestartStages);
    CPPUNIT_TEST_SUITE_END();

public:
    void interruptedStreamRepeatsItsStages()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 1};
        m_fixture.apply(arrival);
        const RunNumber first = completeStages(2);
        m_fixture.apply(RunAnswered{first, ServingFixture::head()});
        m_fixture.apply(RunReceived{first, "id: 0\ndata: a\n\n"});
        CPPUNIT_ASSERT(m_fixture.effect<FreeResults>() != nullptr);
        m_fixture.apply(RunFailed{first, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
        completeStages(2);
        const auto *start = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(start != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"0"}, start->lastEvent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start->inputs.size());
    }

    /*! @brief The queue owner first reports a wait beyond the objective, then a short one. */
    void requestThatCannotBeOnTimeIsRejectedOnArrival()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 1};
        m_fixture.apply(HeartbeatHeard{queueOwnerWithWait(std::chrono::milliseconds{1400})});
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(errorKind() == AnswerKind::Unavailable);
        // The suggested delay follows the wait, but is at most a third of the remaining time.
        CPPUNIT_ASSERT(m_fixture.effect<RefuseCaller>()->retryAfter > std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(m_fixture.effect<RefuseCaller>()->retryAfter <= std::chrono::milliseconds{1000});
        m_fixture.apply(HeartbeatHeard{queueOwnerWithWait(std::chrono::milliseconds{100})});
        arrival.request.call = CallId{2};
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(m_fixture.effect<RefuseCaller>() == nullptr);
    }

    void missingInputsRestartStages()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 1};
        m_fixture.apply(arrival);
        const RunNumber first = completeStages(2);
        EndpointAnswerHead head = ServingFixture::head(409);
        head.notExecuted = true;
        head.inputsGone = true;
        m_fixture.apply(RunAnswered{first, head});
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
    }

    void plainResponseIsForwardedUnchanged()
    {
        const RunNumber run = startRequest("/order/1");
        m_fixture.apply(RunAnswered{run, ServingFixture::head(201)});
        m_fixture.apply(RunReceived{run, "body"});
        m_fixture.apply(RunEnded{run});
        const auto *answer = m_fixture.effect<AnswerCaller>();
        CPPUNIT_ASSERT(answer != nullptr);
        CPPUNIT_ASSERT_EQUAL(201, answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string{"body"}, answer->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.reducer().inProgress());
    }

    void unknownRouteAndKeyAreRejected()
    {
        m_fixture.apply(m_fixture.arrival("/nowhere/1"));
        CPPUNIT_ASSERT(errorKind() == AnswerKind::NoRoute);
        RequestArrived arrival = m_fixture.arrival("/order/1", 2);
        arrival.request.key = "other";
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(errorKind() == AnswerKind::UnknownKey);
    }

    void requestWithoutCatalogIsUnavailable()
    {
        ServingReducer reducer{{}};
        bool rejected = false;
        for (const Effect &effect : reducer.apply(m_fixture.arrival("/order/1"), m_fixture.now())) {
            if (const auto *one = std::get_if<RefuseCaller>(&effect)) {
                CPPUNIT_ASSERT(one->kind == AnswerKind::Unavailable);
                rejected = true;
            }
        }
        CPPUNIT_ASSERT(rejected);
    }

    void nonIdempotentCallIsNotRetriedAfterConnectionLoss()
    {
        m_fixture.apply(RunFailed{startRequest("/order/1"), RunFailure::Broken});
        CPPUNIT_ASSERT(errorKind() == AnswerKind::BadGateway);
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
    }

    void nonIdempotentCallIsRetriedAfterRejection()
    {
        const RunNumber run = startRequest("/order/1");
        const InstanceName first = m_lastEndpoint;
        EndpointAnswerHead head = ServingFixture::head(503);
        head.notExecuted = true;
        m_fixture.apply(RunAnswered{run, head});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        CPPUNIT_ASSERT(retry->instance != first);
    }

    void idempotentCallIsRetriedAtAnotherEndpoint()
    {
        const RunNumber run = startRequest("/lookup/1");
        const InstanceName first = m_lastEndpoint;
        m_fixture.apply(RunAnswered{run, ServingFixture::head(500)});
        m_fixture.apply(RunEnded{run});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        CPPUNIT_ASSERT(retry->instance != first);
    }

    void requestWithoutResponseTimesOutAsPossiblyExecuted()
    {
        startRequest("/order/1");
        m_fixture.pass(std::chrono::seconds{3});
        CPPUNIT_ASSERT(errorKind() == AnswerKind::TimedOut);
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
    }

    void requestIsUnavailableIfNoEndpointIsReachable()
    {
        m_fixture.apply(RunFailed{startRequest("/order/1"), RunFailure::Unreached});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        m_fixture.apply(RunFailed{retry->run, RunFailure::Unreached});
        CPPUNIT_ASSERT(errorKind() == AnswerKind::Unavailable);
        CPPUNIT_ASSERT(m_fixture.effect<RefuseCaller>()->retryAfter > Duration::zero());
    }

    void unsignedSuccessIsNotForwarded()
    {
        const RunNumber run = startRequest("/order/1");
        EndpointAnswerHead head = ServingFixture::head();
        head.sealed = false;
        m_fixture.apply(RunAnswered{run, head});
        CPPUNIT_ASSERT(errorKind() == AnswerKind::BadGateway);
    }

    void responseToAnotherRequestIsNotForwarded()
    {
        const RunNumber run = startRequest("/order/1");
        EndpointAnswerHead head = ServingFixture::head();
        head.foreign = true;
        m_fixture.apply(RunAnswered{run, head});
        CPPUNIT_ASSERT(errorKind() == AnswerKind::BadGateway);
    }

    void interruptedStreamIsAborted()
    {
        const RunNumber run = startRequest("/chat/1");
        m_fixture.apply(RunAnswered{run, ServingFixture::head()});
        CPPUNIT_ASSERT(m_fixture.effect<BeginStream>() != nullptr);
        m_fixture.apply(RunReceived{run, "id: 1\ndata: a\n\nid: 2\nda"});
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\ndata: a\n\n"}, m_fixture.effect<StreamEvents>()->bytes);
        m_fixture.apply(RunFailed{run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<AbortStream>() != nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
    }

    void resumableStreamContinuesAfterItsLastCompleteEvent()
    {
        const RunNumber run = startRequest("/summary/1");
        m_fixture.apply(RunAnswered{run, ServingFixture::head()});
        m_fixture.apply(RunReceived{run, "id: 1\ndata: a\n\nid: 2\nda"});
        m_fixture.apply(RunFailed{run, RunFailure::Broken});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, retry->lastEvent);
        const RunNumber second = retry->run;
        m_fixture.apply(RunAnswered{second, ServingFixture::head()});
        CPPUNIT_ASSERT(m_fixture.effect<BeginStream>() == nullptr);
        m_fixture.apply(RunReceived{second, "id: 2\ndata: b\n\n"});
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 2\ndata: b\n\n"}, m_fixture.effect<StreamEvents>()->bytes);
        m_fixture.apply(RunEnded{second});
        CPPUNIT_ASSERT(m_fixture.effect<FinishStream>() != nullptr);
    }

    void unresponsiveEndpointGetsNoFurtherRequests()
    {
        startRequest("/chat/1");
        const InstanceName unresponsive = m_lastEndpoint;
        m_fixture.pass(std::chrono::milliseconds{1100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.reducer().inProgress());
        for (std::uint64_t call = 2; call < 12; ++call) {
            m_fixture.apply(m_fixture.arrival("/chat/1", call));
            CPPUNIT_ASSERT(m_fixture.effect<StartRun>()->instance != unresponsive);
        }
    }

    void idempotentCallAtUnresponsiveEndpointIsRetried()
    {
        startRequest("/lookup/1");
        const InstanceName unresponsive = m_lastEndpoint;
        m_fixture.pass(std::chrono::milliseconds{1100});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        CPPUNIT_ASSERT(retry->instance != unresponsive);
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
    }

    void callerDisconnectCancelsItsRun()
    {
        startRequest("/chat/1");
        m_fixture.apply(CallerLeft{CallId{1}});
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.reducer().inProgress());
    }

    void drainAcceptsRequestsOnlyAtItsStart()
    {
        m_fixture.apply(DrainRequested{});
        m_fixture.apply(m_fixture.arrival("/order/1"));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
        m_fixture.pass(std::chrono::milliseconds{2600});
        m_fixture.apply(m_fixture.arrival("/order/1", 2));
        CPPUNIT_ASSERT(errorKind() == AnswerKind::Unavailable);
    }

    void stageResultsAreFreedAtTheFirstEvent()
    {
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {2};
        arrival.request.pieceKey = "input";
        m_fixture.apply(arrival);
        const auto *call = m_fixture.effect<StartStageCall>();
        CPPUNIT_ASSERT(call != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, call->items.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"input"}, call->items.front().key);
        m_fixture.apply(StageCallEnded{call->call, StageCallEnd::Answered, {{"h-1", {}}, {"h-2", {}}}});
        const auto *run = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(run != nullptr);
        CPPUNIT_ASSERT((run->inputs == std::vector<std::string>{"h-1", "h-2"}));
        const RunNumber number = run->run;
        m_fixture.apply(RunAnswered{number, ServingFixture::head()});
        m_fixture.apply(RunReceived{number, "id: 1\ndata: a\n\n"});
        const auto *freedResults = m_fixture.effect<FreeResults>();
        CPPUNIT_ASSERT(freedResults != nullptr);
        CPPUNIT_ASSERT((freedResults->handles == std::vector<std::string>{"h-1", "h-2"}));
    }

private:
    /*! @brief Submits a request without stages; returns its run. */
    RunNumber startRequest(const std::string &path)
    {
        m_fixture.apply(m_fixture.arrival(path));
        const auto *start = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(start != nullptr);
        m_lastEndpoint = start->instance;
        return start->run;
    }

    /*! @brief Completes the stage calls of the only request, stage by stage; returns the run that follows. */
    RunNumber completeStages(int stages)
    {
        for (int stage = 0; stage < stages; ++stage) {
            const auto *call = m_fixture.effect<StartStageCall>();
            CPPUNIT_ASSERT(call != nullptr);
            StageCallEnded ended{call->call, StageCallEnd::Answered, {}};
            for (std::size_t item = 0; item < call->items.size(); ++item) {
                ended.results.push_back({"h-" + std::to_string(item), PieceFailure::None});
            }
            m_fixture.apply(ended);
        }
        const auto *start = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(start != nullptr);
        return start->run;
    }

    /*! @brief Returns the heartbeat of a peer that owns the queue of the encoders and reports a wait. */
    [[nodiscard]] Heartbeat queueOwnerWithWait(Duration wait) const
    {
        Heartbeat out;
        out.ownsQueues = true;
        out.waits.push_back({PoolName{"encoders"}, 0, wait, std::chrono::milliseconds{20}, 4.0});
        for (int number = 2;; ++number) {
            out.from = {InstanceName{"entry-" + std::to_string(number)}, "10.0.0.8:1"};
            Peers peers{{InstanceName{"entry-1"}, "10.0.0.9:1"}, {}};
            peers.setOwnsQueues(true);
            peers.heard(out, m_fixture.now());
            if (peers.owner(PoolName{"encoders"}, m_fixture.now())) {
                return out;
            }
        }
    }

    [[nodiscard]] std::optional<AnswerKind> errorKind() const
    {
        const auto *rejected = m_fixture.effect<RefuseCaller>();
        return rejected == nullptr ? std::nullopt : std::optional{rejected->kind};
    }

    ServingFixture m_fixture;
    InstanceName m_lastEndpoint;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingReducerTest);
