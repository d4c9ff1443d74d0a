#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;

/*! @brief What becomes of a request: sent, repeated, answered or refused. */
class ServingReducerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingReducerTest);
    CPPUNIT_TEST(plainAnswerIsPassedOnUnchanged);
    CPPUNIT_TEST(unknownRouteAndKeyAreRefused);
    CPPUNIT_TEST(withoutConfigurationNothingIsDenied);
    CPPUNIT_TEST(nonIdempotentCallIsNotRepeatedAfterABreak);
    CPPUNIT_TEST(nonIdempotentCallIsRepeatedAfterARejection);
    CPPUNIT_TEST(idempotentCallIsRepeatedElsewhereAfterAFailure);
    CPPUNIT_TEST(requestWithoutAnswerIsNeverSaidNotToHaveRun);
    CPPUNIT_TEST(requestThatNoEndpointTookIsSaidNotToHaveRun);
    CPPUNIT_TEST(unsealedSuccessIsNotPassedOn);
    CPPUNIT_TEST(foreignAnswerIsNotPassedOn);
    CPPUNIT_TEST(brokenStreamIsAborted);
    CPPUNIT_TEST(resumableStreamGoesOnBehindItsLastWholeEvent);
    CPPUNIT_TEST(silentEndpointGetsNoFurtherRequests);
    CPPUNIT_TEST(idempotentCallAtASilentEndpointIsRepeatedElsewhere);
    CPPUNIT_TEST(callerThatLeavesCancelsItsRun);
    CPPUNIT_TEST(drainTakesRequestsOnlyAtItsBeginning);
    CPPUNIT_TEST(stagesAreMadeBeforeTheRunAndFreedAtItsFirstEvent);
    CPPUNIT_TEST(brokenStreamHasItsStagesMadeAgainBeforeItGoesOn);
    CPPUNIT_TEST(requestThatCannotBeOnTimeIsRefusedAtOnce);
    CPPUNIT_TEST(runWhoseInputsAreGoneHasItsStagesMadeAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenStreamHasItsStagesMadeAgainBeforeItGoesOn()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 1};
        m_fixture.apply(arrival);
        const RunNumber first = makeStages(2);
        m_fixture.apply(RunAnswered{first, ServingFixture::head()});
        m_fixture.apply(RunReceived{first, "id: 0\ndata: a\n\n"});
        CPPUNIT_ASSERT(m_fixture.effect<FreeResults>() != nullptr);
        m_fixture.apply(RunFailed{first, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
        makeStages(2);
        const auto *start = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(start != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"0"}, start->lastEvent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, start->inputs.size());
    }

    /*! @brief The owner of a queue tells of a wait that leaves no time; then of one that leaves enough. */
    void requestThatCannotBeOnTimeIsRefusedAtOnce()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 1};
        m_fixture.apply(HeartbeatHeard{ownerWith(std::chrono::milliseconds{1400})});
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(refusal() == AnswerKind::Unavailable);
        // It comes back when the wait is over, but not later than a third of its time.
        CPPUNIT_ASSERT(m_fixture.effect<RefuseCaller>()->retryAfter > std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(m_fixture.effect<RefuseCaller>()->retryAfter <= std::chrono::milliseconds{1000});
        m_fixture.apply(HeartbeatHeard{ownerWith(std::chrono::milliseconds{100})});
        arrival.request.call = CallId{2};
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(m_fixture.effect<RefuseCaller>() == nullptr);
    }

    void runWhoseInputsAreGoneHasItsStagesMadeAgain()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 1};
        m_fixture.apply(arrival);
        const RunNumber first = makeStages(2);
        EndpointAnswerHead head = ServingFixture::head(409);
        head.notExecuted = true;
        head.inputsGone = true;
        m_fixture.apply(RunAnswered{first, head});
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
    }

    void plainAnswerIsPassedOnUnchanged()
    {
        const RunNumber run = send("/order/1");
        m_fixture.apply(RunAnswered{run, ServingFixture::head(201)});
        m_fixture.apply(RunReceived{run, "body"});
        m_fixture.apply(RunEnded{run});
        const auto *answer = m_fixture.effect<AnswerCaller>();
        CPPUNIT_ASSERT(answer != nullptr);
        CPPUNIT_ASSERT_EQUAL(201, answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string{"body"}, answer->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.reducer().inProgress());
    }

    void unknownRouteAndKeyAreRefused()
    {
        m_fixture.apply(m_fixture.arrival("/nowhere/1"));
        CPPUNIT_ASSERT(refusal() == AnswerKind::NoRoute);
        RequestArrived arrival = m_fixture.arrival("/order/1", 2);
        arrival.request.key = "other";
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(refusal() == AnswerKind::UnknownKey);
    }

    void withoutConfigurationNothingIsDenied()
    {
        ServingReducer reducer{{}};
        bool refused = false;
        for (const Effect &effect : reducer.apply(m_fixture.arrival("/order/1"), m_fixture.now())) {
            if (const auto *one = std::get_if<RefuseCaller>(&effect)) {
                CPPUNIT_ASSERT(one->kind == AnswerKind::Unavailable);
                refused = true;
            }
        }
        CPPUNIT_ASSERT(refused);
    }

    void nonIdempotentCallIsNotRepeatedAfterABreak()
    {
        m_fixture.apply(RunFailed{send("/order/1"), RunFailure::Broken});
        CPPUNIT_ASSERT(refusal() == AnswerKind::BadGateway);
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
    }

    void nonIdempotentCallIsRepeatedAfterARejection()
    {
        const RunNumber run = send("/order/1");
        const InstanceName first = m_sentTo;
        EndpointAnswerHead head = ServingFixture::head(503);
        head.notExecuted = true;
        m_fixture.apply(RunAnswered{run, head});
        const auto *again = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(again != nullptr);
        CPPUNIT_ASSERT(again->instance != first);
    }

    void idempotentCallIsRepeatedElsewhereAfterAFailure()
    {
        const RunNumber run = send("/lookup/1");
        const InstanceName first = m_sentTo;
        m_fixture.apply(RunAnswered{run, ServingFixture::head(500)});
        m_fixture.apply(RunEnded{run});
        const auto *again = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(again != nullptr);
        CPPUNIT_ASSERT(again->instance != first);
    }

    void requestWithoutAnswerIsNeverSaidNotToHaveRun()
    {
        send("/order/1");
        m_fixture.pass(std::chrono::seconds{3});
        CPPUNIT_ASSERT(refusal() == AnswerKind::TimedOut);
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
    }

    void requestThatNoEndpointTookIsSaidNotToHaveRun()
    {
        m_fixture.apply(RunFailed{send("/order/1"), RunFailure::Unreached});
        const auto *again = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(again != nullptr);
        m_fixture.apply(RunFailed{again->run, RunFailure::Unreached});
        CPPUNIT_ASSERT(refusal() == AnswerKind::Unavailable);
        CPPUNIT_ASSERT(m_fixture.effect<RefuseCaller>()->retryAfter > Duration::zero());
    }

    void unsealedSuccessIsNotPassedOn()
    {
        const RunNumber run = send("/order/1");
        EndpointAnswerHead head = ServingFixture::head();
        head.sealed = false;
        m_fixture.apply(RunAnswered{run, head});
        CPPUNIT_ASSERT(refusal() == AnswerKind::BadGateway);
    }

    void foreignAnswerIsNotPassedOn()
    {
        const RunNumber run = send("/order/1");
        EndpointAnswerHead head = ServingFixture::head();
        head.foreign = true;
        m_fixture.apply(RunAnswered{run, head});
        CPPUNIT_ASSERT(refusal() == AnswerKind::BadGateway);
    }

    void brokenStreamIsAborted()
    {
        const RunNumber run = send("/chat/1");
        m_fixture.apply(RunAnswered{run, ServingFixture::head()});
        CPPUNIT_ASSERT(m_fixture.effect<BeginStream>() != nullptr);
        m_fixture.apply(RunReceived{run, "id: 1\ndata: a\n\nid: 2\nda"});
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\ndata: a\n\n"}, m_fixture.effect<StreamEvents>()->bytes);
        m_fixture.apply(RunFailed{run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<AbortStream>() != nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
    }

    void resumableStreamGoesOnBehindItsLastWholeEvent()
    {
        const RunNumber run = send("/summary/1");
        m_fixture.apply(RunAnswered{run, ServingFixture::head()});
        m_fixture.apply(RunReceived{run, "id: 1\ndata: a\n\nid: 2\nda"});
        m_fixture.apply(RunFailed{run, RunFailure::Broken});
        const auto *again = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(again != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, again->lastEvent);
        const RunNumber second = again->run;
        m_fixture.apply(RunAnswered{second, ServingFixture::head()});
        CPPUNIT_ASSERT(m_fixture.effect<BeginStream>() == nullptr);
        m_fixture.apply(RunReceived{second, "id: 2\ndata: b\n\n"});
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 2\ndata: b\n\n"}, m_fixture.effect<StreamEvents>()->bytes);
        m_fixture.apply(RunEnded{second});
        CPPUNIT_ASSERT(m_fixture.effect<FinishStream>() != nullptr);
    }

    void silentEndpointGetsNoFurtherRequests()
    {
        send("/chat/1");
        const InstanceName silent = m_sentTo;
        m_fixture.pass(std::chrono::milliseconds{1100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.reducer().inProgress());
        for (std::uint64_t call = 2; call < 12; ++call) {
            m_fixture.apply(m_fixture.arrival("/chat/1", call));
            CPPUNIT_ASSERT(m_fixture.effect<StartRun>()->instance != silent);
        }
    }

    void idempotentCallAtASilentEndpointIsRepeatedElsewhere()
    {
        send("/lookup/1");
        const InstanceName silent = m_sentTo;
        m_fixture.pass(std::chrono::milliseconds{1100});
        const auto *again = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(again != nullptr);
        CPPUNIT_ASSERT(again->instance != silent);
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
    }

    void callerThatLeavesCancelsItsRun()
    {
        send("/chat/1");
        m_fixture.apply(CallerLeft{CallId{1}});
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.reducer().inProgress());
    }

    void drainTakesRequestsOnlyAtItsBeginning()
    {
        m_fixture.apply(DrainRequested{});
        m_fixture.apply(m_fixture.arrival("/order/1"));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
        m_fixture.pass(std::chrono::milliseconds{2600});
        m_fixture.apply(m_fixture.arrival("/order/1", 2));
        CPPUNIT_ASSERT(refusal() == AnswerKind::Unavailable);
    }

    void stagesAreMadeBeforeTheRunAndFreedAtItsFirstEvent()
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
        const auto *freed = m_fixture.effect<FreeResults>();
        CPPUNIT_ASSERT(freed != nullptr);
        CPPUNIT_ASSERT((freed->handles == std::vector<std::string>{"h-1", "h-2"}));
    }

private:
    RunNumber send(const std::string &path)
    {
        m_fixture.apply(m_fixture.arrival(path));
        const auto *start = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(start != nullptr);
        m_sentTo = start->instance;
        return start->run;
    }

    /*! @brief Answers the stage calls of the only request, one stage after the other; returns the run that follows. */
    RunNumber makeStages(int stages)
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

    /*! @brief A peer that keeps the queue of the encoders, where new work waits for some time. */
    [[nodiscard]] Heartbeat ownerWith(Duration wait) const
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

    [[nodiscard]] std::optional<AnswerKind> refusal() const
    {
        const auto *refused = m_fixture.effect<RefuseCaller>();
        return refused == nullptr ? std::nullopt : std::optional{refused->kind};
    }

    ServingFixture m_fixture;
    InstanceName m_sentTo;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingReducerTest);
