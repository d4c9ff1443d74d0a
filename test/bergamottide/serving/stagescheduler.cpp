#include "servingfixture.h"

#include "bergamottide/serving/stagescheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;

/*! @brief How pieces of many requests become calls to endpoints that take one at a time and have little memory. */
class StageSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StageSchedulerTest);
    CPPUNIT_TEST(waitingTasksShareTheNextCall);
    CPPUNIT_TEST(requestIsNotSpreadOverCalls);
    CPPUNIT_TEST(urgentTaskGoesFirst);
    CPPUNIT_TEST(taskThatCannotBeOnTimeGoesBehindThoseThatCan);
    CPPUNIT_TEST(lateTaskBehindALongBacklogIsGivenUpAtOnce);
    CPPUNIT_TEST(callWaitsForRoomWhenItWouldCarryLittle);
    CPPUNIT_TEST(endpointWithoutRoomGetsAPause);
    CPPUNIT_TEST(resultsOfALostCallStayAccountedUntilTheyLapse);
    CPPUNIT_TEST(resultsForACancelledTaskAreFreed);
    CPPUNIT_TEST(callThatTakesTooLongIsMadeElsewhere);
    CPPUNIT_TEST(repeatsEndWithTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        Effects ignored;
        m_endpoints.update({endpoint("encoder-1")}, ignored);
    }

    void waitingTasksShareTheNextCall()
    {
        submit(1, 1);
        const auto first = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
        submit(2, 3);
        submit(3, 3);
        CPPUNIT_ASSERT(dispatch().empty());
        answer(first.front());
        const auto second = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, second.front().items.size());
    }

    void requestIsNotSpreadOverCalls()
    {
        submit(1, 5);
        submit(2, 5);
        const auto calls = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, calls.front().items.size());
    }

    void urgentTaskGoesFirst()
    {
        submit(1, 8, 2);
        submit(2, 8, 1);
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt-2"}, dispatch().front().items.front().attempt);
    }

    void taskThatCannotBeOnTimeGoesBehindThoseThatCan()
    {
        submit(1, 8, 0, -std::chrono::milliseconds{100});
        submit(2, 8, 1);
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt-2"}, dispatch().front().items.front().attempt);
    }

    void lateTaskBehindALongBacklogIsGivenUpAtOnce()
    {
        for (std::uint64_t task = 1; task <= 10; ++task) {
            submit(task, 8, 0, std::chrono::seconds{10});
        }
        submit(11, 8, 0, -std::chrono::milliseconds{100});
        dispatch();
        const auto outcomes = m_scheduler.takeOutcomes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
        CPPUNIT_ASSERT(outcomes.front().task == StageTaskId{11});
        CPPUNIT_ASSERT(outcomes.front().result.failure == PieceFailure::Late);
    }

    void callWaitsForRoomWhenItWouldCarryLittle()
    {
        constexpr std::uint64_t large = 5000;
        submit(1, 4, 0, std::chrono::seconds{1}, large);
        const auto first = dispatch();
        answer(first.front());
        submit(2, 4, 0, std::chrono::seconds{1}, large);
        submit(3, 4, 0, std::chrono::seconds{1}, large);
        // All of the memory is taken: nothing is sent, and one result given up is not yet worth a call.
        CPPUNIT_ASSERT(dispatch().empty());
        release(first.front(), 1);
        CPPUNIT_ASSERT(dispatch().empty());
        release(first.front(), 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch().size());
    }

    void endpointWithoutRoomGetsAPause()
    {
        submit(1, 1);
        const auto first = dispatch();
        m_effects.clear();
        m_scheduler.ended({first.front().call, StageCallEnd::Answered, {{"", PieceFailure::NoRoom}}}, m_now, m_effects);
        CPPUNIT_ASSERT(dispatch().empty());
        m_now += std::chrono::milliseconds{260};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch().size());
    }

    void resultsOfALostCallStayAccountedUntilTheyLapse()
    {
        submit(1, 4, 0, std::chrono::seconds{20}, 5000);
        const auto first = dispatch();
        m_effects.clear();
        m_scheduler.ended({first.front().call, StageCallEnd::Broken, {}}, m_now, m_effects);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20'000}, m_endpoints.find(InstanceName{"encoder-1"})->resultBytes);
        m_now += std::chrono::milliseconds{4001};
        m_scheduler.expire(m_now, m_effects);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_endpoints.find(InstanceName{"encoder-1"})->resultBytes);
    }

    void resultsForACancelledTaskAreFreed()
    {
        submit(1, 2);
        const auto first = dispatch();
        m_scheduler.cancel(StageTaskId{1});
        answer(first.front());
        const auto freed = std::find_if(m_effects.begin(), m_effects.end(),
                                        [](const Effect &one) { return std::holds_alternative<FreeResults>(one); });
        CPPUNIT_ASSERT(freed != m_effects.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, std::get<FreeResults>(*freed).handles.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_endpoints.find(InstanceName{"encoder-1"})->resultBytes);
    }

    void callThatTakesTooLongIsMadeElsewhere()
    {
        m_endpoints.update({endpoint("encoder-1"), endpoint("encoder-2")}, m_effects);
        submit(1, 1, 0, std::chrono::seconds{3});
        const auto first = dispatch();
        m_now += std::chrono::milliseconds{800};
        m_scheduler.expire(m_now, m_effects);
        const auto second = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second.front().instance != first.front().instance);
    }

    void repeatsEndWithTheBudget()
    {
        submit(1, 1, 0, std::chrono::seconds{10});
        for (int repeat = 0; repeat < 10; ++repeat) {
            const auto calls = dispatch();
            if (calls.empty()) {
                break;
            }
            m_effects.clear();
            m_scheduler.ended({calls.front().call, StageCallEnd::Rejected, {}}, m_now, m_effects);
            m_now += std::chrono::milliseconds{70};
        }
        const auto outcomes = m_scheduler.takeOutcomes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
        CPPUNIT_ASSERT(outcomes.front().result.failure == PieceFailure::Error);
    }

private:
    static EndpointRecord endpoint(const std::string &name)
    {
        return {InstanceName{name}, PoolName{"encoders"}, "10.0.0.1:1", ZoneName{"a"}, 1, false};
    }

    void submit(std::uint64_t id, std::uint32_t pieces, int rank = 0, Duration due = std::chrono::seconds{1},
                std::uint64_t bytes = 100)
    {
        StageTask task;
        task.id = StageTaskId{id};
        task.pool = PoolName{"encoders"};
        task.rank = rank;
        task.due = m_now + due;
        task.deadline = m_now + std::chrono::seconds{20};
        task.attempt = "attempt-" + std::to_string(id);
        task.pieces = pieces;
        task.key = "input";
        task.resultBytes = bytes;
        m_scheduler.submit(std::move(task), m_now);
    }

    std::vector<StartStageCall> dispatch()
    {
        m_effects.clear();
        m_scheduler.dispatch(*m_catalog, m_now, m_effects);
        std::vector<StartStageCall> calls;
        for (const Effect &effect : m_effects) {
            if (const auto *call = std::get_if<StartStageCall>(&effect)) {
                calls.push_back(*call);
            }
        }
        return calls;
    }

    static std::string handleOf(const StartStageCall &call, std::size_t item)
    {
        return std::to_string(static_cast<std::uint64_t>(call.call)) + "/" + std::to_string(item);
    }

    void answer(const StartStageCall &call)
    {
        StageCallEnded ended{call.call, StageCallEnd::Answered, {}};
        for (std::size_t item = 0; item < call.items.size(); ++item) {
            ended.results.push_back({handleOf(call, item), PieceFailure::None});
        }
        m_effects.clear();
        m_scheduler.ended(ended, m_now, m_effects);
    }

    void release(const StartStageCall &call, std::size_t items)
    {
        for (std::size_t item = 0; item < items; ++item) {
            m_scheduler.released(handleOf(call, item));
        }
    }

    TimePoint m_now{std::chrono::seconds{100}};
    std::shared_ptr<const Catalog> m_catalog{ServingFixture::catalog()};
    EndpointBoard m_endpoints;
    RetryBudget m_budget{{.ratio = 0.0, .slack = 3.0, .window = std::chrono::seconds{10}, .sharers = 1}};
    StageScheduler m_scheduler{m_endpoints, m_budget};
    Effects m_effects;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StageSchedulerTest);
