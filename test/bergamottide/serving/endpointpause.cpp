#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>

using namespace bergamottide;
using namespace bergamottide::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::ServingFixture;

/*! @brief Endpoints that reject a request and want none from this process for a time. */
class EndpointPauseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointPauseTest);
    CPPUNIT_TEST(pauseIsLogged);
    CPPUNIT_TEST(requestReachesEndpointThatAskedForAPause);
    CPPUNIT_TEST(laterResponseShortensAPause);
    CPPUNIT_TEST(generationReachesEngineThatAskedForAPause);
    CPPUNIT_TEST(stageCallReachesEndpointThatAskedForAPause);
    CPPUNIT_TEST(requestIsSentOnToOnePausedEndpointAfterTheOther);
    CPPUNIT_TEST(requestWaitsForItsStagesBeforeAPausedPoolRejectsIt);
    CPPUNIT_TEST(releaseReachesEndpointThatAskedForAPause);
    CPPUNIT_TEST(releaseWaitsForThePauseOfAFullEndpoint);
    CPPUNIT_TEST(stalledRunIsGivenUpForAPausedEndpoint);
    CPPUNIT_TEST_SUITE_END();

public:
    void pauseIsLogged()
    {
        const Effects effects = m_fixture.reducer().apply(pause("desk-1"), m_fixture.now());
        CPPUNIT_ASSERT(std::ranges::any_of(effects, [](const Effect &effect) {
            const auto *line = std::get_if<LogLine>(&effect);
            return line != nullptr && line->text == "Endpoint asks for a pause.";
        }));
    }

    void requestReachesEndpointThatAskedForAPause()
    {
        m_fixture.apply(pause("desk-1"));
        CPPUNIT_ASSERT(destinations("/order/1") == std::set<std::string>{"desk-2"});
        m_fixture.advanceClock(pauseTime - milliseconds{1});
        CPPUNIT_ASSERT(destinations("/order/1") == std::set<std::string>{"desk-2"});
        m_fixture.advanceClock(milliseconds{1});
        CPPUNIT_ASSERT(destinations("/order/1").contains("desk-1"));
    }

    void laterResponseShortensAPause()
    {
        m_fixture.apply(pause("desk-1"));
        m_fixture.apply(pause("desk-1", milliseconds{100}));
        m_fixture.advanceClock(seconds{1});
        CPPUNIT_ASSERT(destinations("/order/1") == std::set<std::string>{"desk-2"});
    }

    void generationReachesEngineThatAskedForAPause()
    {
        m_fixture.apply(pause("engine-1"));
        CPPUNIT_ASSERT(destinations("/chat/1") == std::set<std::string>{"engine-2"});
    }

    void stageCallReachesEndpointThatAskedForAPause()
    {
        auto list = std::make_shared<EndpointList>(*ServingFixture::endpoints());
        list->push_back({InstanceName{"encoder-2"}, PoolName{"encoders"}, "10.0.0.2:1", ZoneName{"a"}, 4, false});
        m_fixture.apply(EndpointsChanged{list});
        const StartStageCall first = draft(1);
        m_fixture.apply(pause(first.instance.text()));
        m_fixture.apply(StageCallEnded{first.call, StageCallStatus::Rejected, {}});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>()->instance != first.instance);
        // The pause after any rejection is over, that which the endpoint asked for is not.
        m_fixture.advanceClock(milliseconds{500});
        RequestArrived next = m_fixture.arrival("/draft/1", 2);
        next.request.pieces = {4};
        m_fixture.apply(next);
        const auto *call = m_fixture.effect<StartStageCall>();
        CPPUNIT_ASSERT(call == nullptr || call->instance != first.instance);
    }

    /*! @brief The caller is told at once when the first endpoint accepts requests again. */
    void requestIsSentOnToOnePausedEndpointAfterTheOther()
    {
        m_fixture.apply(pause("desk-2"));
        m_fixture.apply(m_fixture.arrival("/order/1"));
        const StartRun run = *m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT_EQUAL(std::string{"desk-1"}, run.instance.text());
        m_fixture.apply(pause("desk-1", seconds{2}));
        m_fixture.apply(RunHeadReceived{run.run, rejection()});
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        const auto *error = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr && error->kind == ErrorKind::Unavailable);
        m_fixture.apply(m_fixture.arrival("/order/1", 2));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>()->retryAfter > milliseconds{900});
    }

    void requestWaitsForItsStagesBeforeAPausedPoolRejectsIt()
    {
        m_fixture.apply(pause("engine-1"));
        m_fixture.apply(pause("engine-2"));
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {4};
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>() != nullptr);
    }

    /*! @brief Results are released when the pause is over, in one request. */
    void releaseReachesEndpointThatAskedForAPause()
    {
        const StartStageCall call = draft(1);
        StageCallEnded ended{call.call, StageCallStatus::Answered, {}};
        for (std::size_t index = 0; index < call.items.size(); ++index) {
            ended.results.push_back({"10.0.0.1:1/h" + std::to_string(index), PieceFailure::None});
        }
        m_fixture.apply(ended);
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
        m_fixture.apply(pause(call.instance.text()));
        m_fixture.apply(CallerDisconnected{CallId{1}});
        CPPUNIT_ASSERT(m_fixture.effect<ReleaseResults>() == nullptr);
        m_fixture.advanceClock(pauseTime - milliseconds{1});
        CPPUNIT_ASSERT(m_fixture.effect<ReleaseResults>() == nullptr);
        m_fixture.advanceClock(milliseconds{1});
        const auto *release = m_fixture.effect<ReleaseResults>();
        CPPUNIT_ASSERT(release != nullptr);
        CPPUNIT_ASSERT_EQUAL(call.items.size(), release->handles.size());
    }

    /*! @brief An endpoint that was full is paused too, but its results are what frees its memory. */
    void releaseWaitsForThePauseOfAFullEndpoint()
    {
        const StartStageCall call = draft(1);
        StageCallEnded ended{call.call, StageCallStatus::Answered, {}};
        ended.results.assign(call.items.size(), {{}, PieceFailure::InsufficientMemory});
        ended.results.front() = {"10.0.0.1:1/h", PieceFailure::None};
        m_fixture.apply(ended);
        m_fixture.apply(CallerDisconnected{CallId{1}});
        CPPUNIT_ASSERT(m_fixture.effect<ReleaseResults>() != nullptr);
    }

    void stalledRunIsGivenUpForAPausedEndpoint()
    {
        m_fixture.apply(m_fixture.arrival("/lookup/1"));
        const StartRun run = *m_fixture.effect<StartRun>();
        m_fixture.apply(pause(run.instance == InstanceName{"desk-1"} ? "desk-2" : "desk-1", seconds{60}));
        m_fixture.advanceClock(milliseconds{2500});
        // The other endpoint takes nothing, so the run may still succeed where it is.
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>() == nullptr);
    }

private:
    static constexpr Duration pauseTime = seconds{3};

    [[nodiscard]] static EndpointResponded pause(const std::string &endpoint, Duration time = pauseTime)
    {
        EndpointNotice notice;
        notice.pause = time;
        return {InstanceName{endpoint}, notice};
    }

    [[nodiscard]] static EndpointResponseHead rejection()
    {
        EndpointResponseHead head;
        head.status = 503;
        head.notExecuted = true;
        return head;
    }

    /*! @brief Sends a request with a stage of four pieces and returns the call for it. */
    [[nodiscard]] StartStageCall draft(std::uint64_t call)
    {
        RequestArrived arrival = m_fixture.arrival("/draft/1", call);
        arrival.request.pieces = {4};
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
        return *m_fixture.effect<StartStageCall>();
    }

    /*! @brief Returns the endpoints that 20 requests are sent to, whose callers leave. */
    [[nodiscard]] std::set<std::string> destinations(const std::string &path)
    {
        std::set<std::string> out;
        for (int index = 0; index < 20; ++index) {
            m_fixture.apply(m_fixture.arrival(path, ++m_lastCall));
            CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
            out.insert(m_fixture.effect<StartRun>()->instance.text());
            m_fixture.apply(CallerDisconnected{CallId{m_lastCall}});
        }
        return out;
    }

    ServingFixture m_fixture;
    std::uint64_t m_lastCall{100};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointPauseTest);
