#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

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
    CPPUNIT_TEST(callThatMayNotRunTwiceIsNotAnsweredAsNotExecuted);
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
    CPPUNIT_TEST(slackIsSharedWithSeedsThatAreNotHeard);
    CPPUNIT_TEST_SUITE_END();

public:
    void interruptedStreamRepeatsItsStages()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 1};
        m_fixture.apply(arrival);
        const RunNumber first = completeStages(2);
        m_fixture.apply(RunHeadReceived{first, ServingFixture::responseHead()});
        m_fixture.apply(RunBodyReceived{first, "id: 0\ndata: a\n\n"});
        CPPUNIT_ASSERT(m_fixture.effect<ReleaseResults>() != nullptr);
        m_fixture.apply(RunFailed{first, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
        completeStages(2);
        const auto *start = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(start != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"0"}, start->lastEventId);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start->inputs.size());
    }

    /*! @brief The queue owner first reports a wait beyond the objective, then a short one. */
    void requestThatCannotBeOnTimeIsRejectedOnArrival()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 1};
        m_fixture.apply(HeartbeatReceived{queueOwnerWithWait(std::chrono::milliseconds{1400})});
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(errorKind() == ErrorKind::Unavailable);
        // The suggested delay follows the wait, but is at most a third of the remaining time.
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>()->retryAfter > std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>()->retryAfter <= std::chrono::milliseconds{1000});
        m_fixture.apply(HeartbeatReceived{queueOwnerWithWait(std::chrono::milliseconds{100})});
        arrival.request.call = CallId{2};
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>() == nullptr);
    }

    /*! @brief A process that starts behind a partition hears only the processes on its side. */
    void slackIsSharedWithSeedsThatAreNotHeard()
    {
        ServingFixture fixture{ServingFixture::endpoints(), {"10.0.0.9:1", "10.0.0.8:1", "10.0.0.7:1", "10.0.0.6:1"}};
        Heartbeat heartbeat;
        heartbeat.from = {InstanceName{"entry-2"}, "10.0.0.8:1"};
        for (int second = 0; second < 12; ++second) {
            fixture.apply(HeartbeatReceived{heartbeat});
            fixture.advanceClock(std::chrono::seconds{1});
        }
        fixture.apply(fixture.arrival("/lookup/1"));
        const RunFailed failure{fixture.effect<StartRun>()->run, RunFailure::Broken};
        std::vector<std::pair<std::string, std::string>> fields;
        for (const Effect &effect : fixture.reducer().apply(failure, fixture.now())) {
            const auto *line = std::get_if<LogLine>(&effect);
            if (line != nullptr && line->text == "Retry taken from the budget.") {
                fields = line->fields;
            }
        }
        CPPUNIT_ASSERT(std::ranges::find(fields, std::pair<std::string, std::string>{"processes", "4"})
                       != fields.end());
    }

    void missingInputsRestartStages()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 1};
        m_fixture.apply(arrival);
        const RunNumber first = completeStages(2);
        EndpointResponseHead head = ServingFixture::responseHead(409);
        head.notExecuted = true;
        head.areInputsMissing = true;
        m_fixture.apply(RunHeadReceived{first, head});
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
    }

    void plainResponseIsForwardedUnchanged()
    {
        const RunNumber run = startRequest("/order/1");
        m_fixture.apply(RunHeadReceived{run, ServingFixture::responseHead(201)});
        m_fixture.apply(RunBodyReceived{run, "body"});
        m_fixture.apply(RunCompleted{run});
        const auto *answer = m_fixture.effect<SendResponse>();
        CPPUNIT_ASSERT(answer != nullptr);
        CPPUNIT_ASSERT_EQUAL(201, answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string{"body"}, answer->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.reducer().requestsInProgress());
    }

    void unknownRouteAndKeyAreRejected()
    {
        m_fixture.apply(m_fixture.arrival("/nowhere/1"));
        CPPUNIT_ASSERT(errorKind() == ErrorKind::NoRoute);
        RequestArrived arrival = m_fixture.arrival("/order/1", 2);
        arrival.request.apiKey = "other";
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(errorKind() == ErrorKind::UnknownKey);
    }

    void requestWithoutCatalogIsUnavailable()
    {
        ServingReducer reducer{{}};
        bool rejected = false;
        for (const Effect &effect : reducer.apply(m_fixture.arrival("/order/1"), m_fixture.now())) {
            if (const auto *one = std::get_if<SendErrorResponse>(&effect)) {
                CPPUNIT_ASSERT(one->kind == ErrorKind::Unavailable);
                rejected = true;
            }
        }
        CPPUNIT_ASSERT(rejected);
    }

    void nonIdempotentCallIsNotRetriedAfterConnectionLoss()
    {
        m_fixture.apply(RunFailed{startRequest("/order/1"), RunFailure::Broken});
        CPPUNIT_ASSERT(errorKind() == ErrorKind::BadGateway);
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
    }

    /*! @brief An endpoint that does not state that it has not executed a request may have. */
    void callThatMayNotRunTwiceIsNotAnsweredAsNotExecuted()
    {
        for (const std::string path : {"/order/1", "/chat/1"}) {
            for (const int status : {408, 421, 429, 503}) {
                ServingFixture fixture;
                fixture.apply(fixture.arrival(path));
                const auto *start = fixture.effect<StartRun>();
                CPPUNIT_ASSERT(start != nullptr);
                const RunNumber run = start->run;
                fixture.apply(RunHeadReceived{run, ServingFixture::responseHead(status)});
                fixture.apply(RunCompleted{run});
                CPPUNIT_ASSERT_MESSAGE(path, fixture.effect<SendResponse>() == nullptr);
                const auto *rejection = fixture.effect<SendErrorResponse>();
                CPPUNIT_ASSERT_MESSAGE(path, rejection != nullptr);
                CPPUNIT_ASSERT(rejection->kind == ErrorKind::BadGateway);
            }
        }
    }

    void nonIdempotentCallIsRetriedAfterRejection()
    {
        const RunNumber run = startRequest("/order/1");
        const InstanceName first = m_lastEndpoint;
        EndpointResponseHead head = ServingFixture::responseHead(503);
        head.notExecuted = true;
        m_fixture.apply(RunHeadReceived{run, head});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        CPPUNIT_ASSERT(retry->instance != first);
    }

    void idempotentCallIsRetriedAtAnotherEndpoint()
    {
        const RunNumber run = startRequest("/lookup/1");
        const InstanceName first = m_lastEndpoint;
        m_fixture.apply(RunHeadReceived{run, ServingFixture::responseHead(500)});
        m_fixture.apply(RunCompleted{run});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        CPPUNIT_ASSERT(retry->instance != first);
    }

    void requestWithoutResponseTimesOutAsPossiblyExecuted()
    {
        startRequest("/order/1");
        m_fixture.advanceClock(std::chrono::seconds{3});
        CPPUNIT_ASSERT(errorKind() == ErrorKind::TimedOut);
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
    }

    void requestIsUnavailableIfNoEndpointIsReachable()
    {
        m_fixture.apply(RunFailed{startRequest("/order/1"), RunFailure::ConnectFailed});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        m_fixture.apply(RunFailed{retry->run, RunFailure::ConnectFailed});
        CPPUNIT_ASSERT(errorKind() == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>()->retryAfter > Duration::zero());
    }

    void unsignedSuccessIsNotForwarded()
    {
        const RunNumber run = startRequest("/order/1");
        EndpointResponseHead head = ServingFixture::responseHead();
        head.isSigned = false;
        m_fixture.apply(RunHeadReceived{run, head});
        CPPUNIT_ASSERT(errorKind() == ErrorKind::BadGateway);
    }

    void responseToAnotherRequestIsNotForwarded()
    {
        const RunNumber run = startRequest("/order/1");
        EndpointResponseHead head = ServingFixture::responseHead();
        head.isForOtherRequest = true;
        m_fixture.apply(RunHeadReceived{run, head});
        CPPUNIT_ASSERT(errorKind() == ErrorKind::BadGateway);
    }

    void interruptedStreamIsAborted()
    {
        const RunNumber run = startRequest("/chat/1");
        m_fixture.apply(RunHeadReceived{run, ServingFixture::responseHead()});
        CPPUNIT_ASSERT(m_fixture.effect<BeginStream>() != nullptr);
        m_fixture.apply(RunBodyReceived{run, "id: 1\ndata: a\n\nid: 2\nda"});
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\ndata: a\n\n"}, m_fixture.effect<SendStreamEvents>()->bytes);
        m_fixture.apply(RunFailed{run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<AbortStream>() != nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
    }

    void resumableStreamContinuesAfterItsLastCompleteEvent()
    {
        const RunNumber run = startRequest("/summary/1");
        m_fixture.apply(RunHeadReceived{run, ServingFixture::responseHead()});
        m_fixture.apply(RunBodyReceived{run, "id: 1\ndata: a\n\nid: 2\nda"});
        m_fixture.apply(RunFailed{run, RunFailure::Broken});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, retry->lastEventId);
        const RunNumber second = retry->run;
        m_fixture.apply(RunHeadReceived{second, ServingFixture::responseHead()});
        CPPUNIT_ASSERT(m_fixture.effect<BeginStream>() == nullptr);
        m_fixture.apply(RunBodyReceived{second, "id: 2\ndata: b\n\n"});
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 2\ndata: b\n\n"}, m_fixture.effect<SendStreamEvents>()->bytes);
        m_fixture.apply(RunCompleted{second});
        CPPUNIT_ASSERT(m_fixture.effect<FinishStream>() != nullptr);
    }

    void unresponsiveEndpointGetsNoFurtherRequests()
    {
        startRequest("/chat/1");
        const InstanceName unresponsive = m_lastEndpoint;
        m_fixture.advanceClock(std::chrono::milliseconds{1100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.reducer().requestsInProgress());
        for (std::uint64_t call = 2; call < 12; ++call) {
            m_fixture.apply(m_fixture.arrival("/chat/1", call));
            CPPUNIT_ASSERT(m_fixture.effect<StartRun>()->instance != unresponsive);
        }
    }

    void idempotentCallAtUnresponsiveEndpointIsRetried()
    {
        startRequest("/lookup/1");
        const InstanceName unresponsive = m_lastEndpoint;
        m_fixture.advanceClock(std::chrono::milliseconds{1100});
        const auto *retry = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        CPPUNIT_ASSERT(retry->instance != unresponsive);
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
    }

    void callerDisconnectCancelsItsRun()
    {
        startRequest("/chat/1");
        m_fixture.apply(CallerDisconnected{CallId{1}});
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.reducer().requestsInProgress());
    }

    void drainAcceptsRequestsOnlyAtItsStart()
    {
        m_fixture.apply(DrainRequested{});
        m_fixture.apply(m_fixture.arrival("/order/1"));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
        m_fixture.advanceClock(std::chrono::milliseconds{2600});
        m_fixture.apply(m_fixture.arrival("/order/1", 2));
        CPPUNIT_ASSERT(errorKind() == ErrorKind::Unavailable);
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
        m_fixture.apply(StageCallEnded{call->call, StageCallStatus::Answered, {{"h-1", {}}, {"h-2", {}}}});
        const auto *run = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(run != nullptr);
        CPPUNIT_ASSERT((run->inputs == std::vector<std::string>{"h-1", "h-2"}));
        const RunNumber number = run->run;
        m_fixture.apply(RunHeadReceived{number, ServingFixture::responseHead()});
        m_fixture.apply(RunBodyReceived{number, "id: 1\ndata: a\n\n"});
        const auto *freedResults = m_fixture.effect<ReleaseResults>();
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
            StageCallEnded ended{call->call, StageCallStatus::Answered, {}};
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
        out.canOwnQueues = true;
        out.waits.push_back({PoolName{"encoders"}, 0, wait, std::chrono::milliseconds{20}, 4.0});
        for (int number = 2;; ++number) {
            out.from = {InstanceName{"entry-" + std::to_string(number)}, "10.0.0.8:1"};
            Peers peers{{InstanceName{"entry-1"}, "10.0.0.9:1"}, 1, {}};
            peers.setCanOwnQueues(true);
            peers.handleHeartbeat(out, m_fixture.now());
            if (peers.queueOwner(PoolName{"encoders"}, m_fixture.now())) {
                return out;
            }
        }
    }

    [[nodiscard]] std::optional<ErrorKind> errorKind() const
    {
        const auto *rejected = m_fixture.effect<SendErrorResponse>();
        return rejected == nullptr ? std::nullopt : std::optional{rejected->kind};
    }

    ServingFixture m_fixture;
    InstanceName m_lastEndpoint;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingReducerTest);
