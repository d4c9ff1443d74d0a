#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::ServingFixture;

/*! @brief A process that drains: what it holds ends before it does, and nothing begins that cannot. */
class ProcessDrainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProcessDrainTest);
    CPPUNIT_TEST(requestThatFitsIsSent);
    CPPUNIT_TEST(requestThatWouldOutlastTheProcessIsRejected);
    CPPUNIT_TEST(runsInProgressTellHowLongOneTakes);
    CPPUNIT_TEST(waitingRequestIsRejectedAsSoonAsItIsTooLate);
    CPPUNIT_TEST(queuedRequestsAreRejectedBeforeTheEnd);
    CPPUNIT_TEST(requestAfterItsStagesIsNotSentTooLate);
    CPPUNIT_TEST(runInProgressIsAnsweredBeforeTheEnd);
    CPPUNIT_TEST(lateRetryIsNotSent);
    CPPUNIT_TEST(streamIsAbortedBeforeTheEnd);
    CPPUNIT_TEST(engineIsToldTheEnd);
    CPPUNIT_TEST(drainWithoutAnEndWaits);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestThatFitsIsSent()
    {
        measureRuns(std::chrono::milliseconds{600});
        drain(std::chrono::seconds{2});
        arrive("/order/1");
        CPPUNIT_ASSERT(m_fixture->effect<StartRun>() != nullptr);
        m_fixture->advanceClock(std::chrono::seconds{1});
        arrive("/order/1");
        CPPUNIT_ASSERT(m_fixture->effect<StartRun>() != nullptr);
    }

    void requestThatWouldOutlastTheProcessIsRejected()
    {
        for (const std::string path : {"/order/1", "/lookup/1"}) {
            m_fixture = std::make_unique<ServingFixture>();
            measureRuns(std::chrono::milliseconds{1500});
            drain(std::chrono::seconds{2});
            m_fixture->advanceClock(std::chrono::milliseconds{700});
            arrive(path);
            CPPUNIT_ASSERT(m_fixture->effect<StartRun>() == nullptr);
            checkRejected();
        }
    }

    /*! @brief A process that has just started has measured nothing. */
    void runsInProgressTellHowLongOneTakes()
    {
        arrive("/order/1");
        m_fixture->advanceClock(std::chrono::milliseconds{1500});
        drain(std::chrono::seconds{1});
        arrive("/order/1");
        CPPUNIT_ASSERT(m_fixture->effect<StartRun>() == nullptr);
        checkRejected();
    }

    /*! @brief A stage that does not end leaves too little time for the run long before the process ends. */
    void waitingRequestIsRejectedAsSoonAsItIsTooLate()
    {
        arrive("/draft/1", 2);
        CPPUNIT_ASSERT(m_fixture->effect<StartStageCall>() != nullptr);
        drain(std::chrono::milliseconds{2000});
        m_fixture->advanceClock(std::chrono::milliseconds{1800});
        CPPUNIT_ASSERT(m_fixture->effect<SendErrorResponse>() == nullptr);
        // The estimate for the run of a pool without measurements is 100 ms.
        m_fixture->advanceClock(std::chrono::milliseconds{110});
        checkRejected();
    }

    void queuedRequestsAreRejectedBeforeTheEnd()
    {
        constexpr std::uint64_t requests = 12;
        for (std::uint64_t request = 0; request < requests; ++request) {
            arrive("/draft/1", 8);
        }
        const std::size_t held = m_fixture->reducer().requestsInProgress();
        CPPUNIT_ASSERT(held > 1);
        drain(std::chrono::milliseconds{500});
        std::size_t rejected = 0;
        for (int step = 0; step < 5; ++step) {
            m_fixture->advanceClock(std::chrono::milliseconds{99});
            rejected += countRejections();
        }
        CPPUNIT_ASSERT_EQUAL(held, rejected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture->reducer().requestsInProgress());
    }

    void requestAfterItsStagesIsNotSentTooLate()
    {
        measureGenerations(std::chrono::milliseconds{900});
        arrive("/draft/1", 2);
        const StartStageCall call = *m_fixture->effect<StartStageCall>();
        drain(std::chrono::milliseconds{1000});
        m_fixture->advanceClock(std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(m_fixture->effect<SendErrorResponse>() == nullptr);
        m_fixture->advanceClock(std::chrono::milliseconds{40});
        CPPUNIT_ASSERT(m_fixture->effect<SendErrorResponse>() == nullptr);
        // The stage ends between two ticks.
        m_fixture->passTime(std::chrono::milliseconds{60});
        m_fixture->apply(StageCallEnded{call.call, StageCallStatus::Answered, {{"handle-1"}, {"handle-2"}}});
        CPPUNIT_ASSERT(m_fixture->effect<StartRun>() == nullptr);
        checkRejected();
    }

    /*! @brief It may have run, so the answer must not say that it has not. */
    void runInProgressIsAnsweredBeforeTheEnd()
    {
        arrive("/order/1");
        CPPUNIT_ASSERT(m_fixture->effect<StartRun>() != nullptr);
        drain(std::chrono::seconds{1});
        m_fixture->advanceClock(std::chrono::seconds{1});
        const auto *answer = m_fixture->effect<SendErrorResponse>();
        CPPUNIT_ASSERT(answer != nullptr && answer->kind == ErrorKind::TimedOut);
        CPPUNIT_ASSERT(m_fixture->effect<CancelRun>() != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture->reducer().requestsInProgress());
    }

    void lateRetryIsNotSent()
    {
        measureRuns(std::chrono::milliseconds{500});
        arrive("/lookup/1");
        const RunNumber run = m_fixture->effect<StartRun>()->run;
        drain(std::chrono::seconds{1});
        m_fixture->advanceClock(std::chrono::milliseconds{600});
        m_fixture->apply(RunFailed{run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture->effect<StartRun>() == nullptr);
        const auto *answer = m_fixture->effect<SendErrorResponse>();
        CPPUNIT_ASSERT(answer != nullptr && answer->kind == ErrorKind::BadGateway);
    }

    void streamIsAbortedBeforeTheEnd()
    {
        arrive("/chat/1");
        m_fixture->apply(RunHeadReceived{m_fixture->effect<StartRun>()->run, ServingFixture::responseHead()});
        drain(std::chrono::seconds{1});
        m_fixture->advanceClock(std::chrono::seconds{1});
        CPPUNIT_ASSERT(m_fixture->effect<AbortStream>() != nullptr);
    }

    void engineIsToldTheEnd()
    {
        drain(std::chrono::seconds{1});
        arrive("/order/1");
        CPPUNIT_ASSERT(m_fixture->effect<StartRun>()->deadline <= std::chrono::seconds{1});
    }

    void drainWithoutAnEndWaits()
    {
        arrive("/order/1");
        m_fixture->apply(DrainRequested{});
        m_fixture->advanceClock(std::chrono::milliseconds{2500});
        CPPUNIT_ASSERT(m_fixture->effect<SendErrorResponse>() == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture->reducer().requestsInProgress());
    }

private:
    void arrive(const std::string &path, std::uint32_t pieces = 0)
    {
        RequestArrived arrival = m_fixture->arrival(path, ++m_calls);
        if (pieces != 0) {
            arrival.request.pieces = {pieces};
        }
        m_fixture->apply(arrival);
    }

    void drain(Duration time)
    {
        m_fixture->apply(DrainRequested{m_fixture->now() + time});
    }

    /*! @brief Lets some requests run for a time. */
    void measureRuns(Duration time)
    {
        measure("/order/1", time);
    }

    void measureGenerations(Duration time)
    {
        measure("/chat/1", time);
    }

    void measure(const std::string &path, Duration time)
    {
        for (int request = 0; request < 3; ++request) {
            arrive(path);
            const RunNumber run = m_fixture->effect<StartRun>()->run;
            m_fixture->advanceClock(time);
            m_fixture->apply(RunHeadReceived{run, ServingFixture::responseHead()});
            m_fixture->apply(RunCompleted{run});
        }
    }

    void checkRejected()
    {
        const auto *answer = m_fixture->effect<SendErrorResponse>();
        CPPUNIT_ASSERT(answer != nullptr && answer->kind == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(answer->retryAfter > Duration::zero());
    }

    [[nodiscard]] std::size_t countRejections() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_fixture->effects(), [](const Effect &effect) {
            const auto *answer = std::get_if<SendErrorResponse>(&effect);
            return answer != nullptr && answer->kind == ErrorKind::Unavailable;
        }));
    }

    std::unique_ptr<ServingFixture> m_fixture{std::make_unique<ServingFixture>()};
    std::uint64_t m_calls{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessDrainTest);
