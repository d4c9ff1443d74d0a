#include "servingfixture.h"

#include "bergamottide/stages/stagescheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;

/*! @brief Batching of tasks into calls to endpoints with one slot and limited result memory. */
class StageSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StageSchedulerTest);
    CPPUNIT_TEST(waitingTasksShareTheNextCall);
    CPPUNIT_TEST(taskIsNotSplitOverCalls);
    CPPUNIT_TEST(urgentTaskGoesFirst);
    CPPUNIT_TEST(lateTaskIsServedLast);
    CPPUNIT_TEST(lateTaskBehindALongBacklogFailsAtOnce);
    CPPUNIT_TEST(smallCallWaitsForResultMemory);
    CPPUNIT_TEST(endpointWithoutMemoryIsPaused);
    CPPUNIT_TEST(resultsOfADeadOwnerCountAgainstMemory);
    CPPUNIT_TEST(memoryOfALostCallIsReservedUntilExpiry);
    CPPUNIT_TEST(resultsForACancelledTaskAreFreed);
    CPPUNIT_TEST(fetchedInputsAreReleasedWhenMemoryIsScarce);
    CPPUNIT_TEST(taskWithReleasedInputsIsNotRetried);
    CPPUNIT_TEST(inputsAreRetainedAtASharedEndpoint);
    CPPUNIT_TEST(reportedResultsCountAgainstMemory);
    CPPUNIT_TEST(timedOutCallIsRetriedElsewhere);
    CPPUNIT_TEST(retriesEndWithTheBudget);
    CPPUNIT_TEST(taskWaitsForItsPreferredZone);
    CPPUNIT_TEST(taskOfAZoneWithoutEndpointsDoesNotWait);
    CPPUNIT_TEST(unresponsiveEndpointGetsNoFurtherCalls);
    CPPUNIT_TEST(inputsUnreachableFromOneZoneAreFetchedInAnother);
    CPPUNIT_TEST(missingInputsFailTheTask);
    CPPUNIT_TEST(brokenPathIsRetriedAfterAPause);
    CPPUNIT_TEST(burstIsServedOnTimeByBatching);
    CPPUNIT_TEST(taskWhoseCallsBreakIsSentAlone);
    CPPUNIT_TEST(callsOfASaturatedPoolAreFilled);
    CPPUNIT_TEST(callsOfAPoolWithoutPaceAreFilledOnRequest);
    CPPUNIT_TEST(splitTaskIsCompletedByTheNextCall);
    CPPUNIT_TEST(tasksAreNotSplitWhileMemoryIsScarce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        Effects ignored;
        m_endpoints.update({endpoint("encoder-1")}, m_now, ignored);
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

    void taskIsNotSplitOverCalls()
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

    void lateTaskIsServedLast()
    {
        submit(1, 8, 0, -std::chrono::milliseconds{100});
        submit(2, 8, 1);
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt-2"}, dispatch().front().items.front().attempt);
    }

    void lateTaskBehindALongBacklogFailsAtOnce()
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

    void smallCallWaitsForResultMemory()
    {
        constexpr std::uint64_t large = 5000;
        submit(1, 4, 0, std::chrono::seconds{1}, large);
        const auto first = dispatch();
        answer(first.front());
        submit(2, 4, 0, std::chrono::seconds{1}, large);
        submit(3, 4, 0, std::chrono::seconds{1}, large);
        // The result memory is full, and releasing one result does not make room for enough items.
        CPPUNIT_ASSERT(dispatch().empty());
        release(first.front(), 1);
        CPPUNIT_ASSERT(dispatch().empty());
        release(first.front(), 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch().size());
    }

    void endpointWithoutMemoryIsPaused()
    {
        submit(1, 1);
        const auto first = dispatch();
        m_effects.clear();
        m_scheduler.handleCallEnded(
            {first.front().call, StageCallStatus::Answered, {{"", PieceFailure::InsufficientMemory}}}, m_now,
            m_effects);
        CPPUNIT_ASSERT(dispatch().empty());
        m_now += std::chrono::milliseconds{260};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch().size());
    }

    /*! @brief A new owner does not know the results of one that died, and sent calls that found no memory. */
    void resultsOfADeadOwnerCountAgainstMemory()
    {
        constexpr std::uint64_t large = 5000;
        submit(1, 4, 0, std::chrono::seconds{20}, large);
        const auto first = dispatch();
        m_effects.clear();
        m_scheduler.handleCallEnded({first.front().call,
                                     StageCallStatus::Answered,
                                     {{"h-0", {}},
                                      {"", PieceFailure::InsufficientMemory},
                                      {"", PieceFailure::InsufficientMemory},
                                      {"", PieceFailure::InsufficientMemory}}},
                                    m_now, m_effects);
        const Endpoint &endpoint = *m_endpoints.find(InstanceName{"encoder-1"});
        CPPUNIT_ASSERT(endpoint.usedResultBytes() + 2 * large > 20'000);
        m_now += std::chrono::milliseconds{300};
        m_scheduler.handleTimeouts(m_now, m_effects);
        // One of the three waiting pieces is less than the share of a call that is worth its time.
        CPPUNIT_ASSERT(dispatch().empty());
        // The results of the dead owner expire within the time for which results are stored.
        m_now += std::chrono::milliseconds{3700};
        m_scheduler.handleTimeouts(m_now, m_effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, dispatch().front().items.size());
    }

    void memoryOfALostCallIsReservedUntilExpiry()
    {
        submit(1, 4, 0, std::chrono::seconds{20}, 5000);
        const auto first = dispatch();
        m_effects.clear();
        m_scheduler.handleCallEnded({first.front().call, StageCallStatus::Broken, {}}, m_now, m_effects);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20'000}, m_endpoints.find(InstanceName{"encoder-1"})->resultBytes);
        m_now += std::chrono::milliseconds{4001};
        m_scheduler.handleTimeouts(m_now, m_effects);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_endpoints.find(InstanceName{"encoder-1"})->resultBytes);
    }

    void resultsForACancelledTaskAreFreed()
    {
        submit(1, 2);
        const auto first = dispatch();
        m_scheduler.cancel(StageTaskId{1});
        answer(first.front());
        const auto freed = std::find_if(m_effects.begin(), m_effects.end(),
                                        [](const Effect &one) { return std::holds_alternative<ReleaseResults>(one); });
        CPPUNIT_ASSERT(freed != m_effects.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, std::get<ReleaseResults>(*freed).handles.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_endpoints.find(InstanceName{"encoder-1"})->resultBytes);
    }

    void fetchedInputsAreReleasedWhenMemoryIsScarce()
    {
        m_inputs.push_back({"h-1", InstanceName{"other"}, "10.0.0.2:1", 100, 0});
        submit(1, 1);
        const auto first = dispatch();
        m_now += std::chrono::milliseconds{100};
        m_scheduler.handleTimeouts(m_now, m_effects);
        // As long as memory is not scarce, the inputs are stored until the task has succeeded.
        CPPUNIT_ASSERT(m_scheduler.takeReleasableInputs().empty());
        answer(first.front());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_scheduler.takeReleasableInputs().size());
        m_isMemoryScarce = true;
        submit(2, 1);
        const auto second = dispatch();
        m_now += std::chrono::milliseconds{100};
        m_scheduler.handleTimeouts(m_now, m_effects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_scheduler.takeReleasableInputs().size());
        answer(second.front());
        CPPUNIT_ASSERT(m_scheduler.takeReleasableInputs().empty());
    }

    void taskWithReleasedInputsIsNotRetried()
    {
        // The end of a call shows that no other scheduler uses the endpoint.
        submit(2, 1);
        answer(dispatch().front());
        static_cast<void>(m_scheduler.takeOutcomes());
        m_isMemoryScarce = true;
        m_inputs.push_back({"h-1", InstanceName{"other"}, "10.0.0.2:1", 100, 0});
        submit(1, 1);
        const auto first = dispatch();
        m_now += std::chrono::milliseconds{100};
        m_scheduler.handleTimeouts(m_now, m_effects);
        m_scheduler.handleCallEnded({first.front().call, StageCallStatus::Broken, {}}, m_now, m_effects);
        const auto outcomes = m_scheduler.takeOutcomes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
        CPPUNIT_ASSERT(outcomes.front().result.failure == PieceFailure::InputMissing);
    }

    void inputsAreRetainedAtASharedEndpoint()
    {
        m_isMemoryScarce = true;
        submit(1, 1);
        const auto first = dispatch();
        m_scheduler.handleCallEnded(
            {first.front().call, StageCallStatus::Answered, {{"h-0", {}}}, EndpointLoad{1, 0, 1}}, m_now, m_effects);
        m_inputs.push_back({"h-1", InstanceName{"other"}, "10.0.0.2:1", 100, 0});
        submit(2, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch().size());
        m_now += std::chrono::milliseconds{100};
        m_scheduler.handleTimeouts(m_now, m_effects);
        CPPUNIT_ASSERT(m_scheduler.takeReleasableInputs().empty());
    }

    void reportedResultsCountAgainstMemory()
    {
        constexpr std::uint64_t wholeMemory = 20'000;
        m_heldResults.push_back({InstanceName{"encoder-1"}, wholeMemory});
        submit(1, 1);
        CPPUNIT_ASSERT(dispatch().empty());
        m_heldResults.clear();
        submit(2, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch().size());
    }

    void timedOutCallIsRetriedElsewhere()
    {
        m_endpoints.update({endpoint("encoder-1"), endpoint("encoder-2")}, m_now, m_effects);
        submit(1, 1, 0, std::chrono::seconds{3});
        const auto first = dispatch();
        m_now += std::chrono::milliseconds{800};
        m_scheduler.handleTimeouts(m_now, m_effects);
        const auto second = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second.front().instance != first.front().instance);
    }

    void retriesEndWithTheBudget()
    {
        submit(1, 1, 0, std::chrono::seconds{10});
        for (int retry = 0; retry < 10; ++retry) {
            const auto calls = dispatch();
            if (calls.empty()) {
                break;
            }
            m_effects.clear();
            m_scheduler.handleCallEnded({calls.front().call, StageCallStatus::Rejected, {}}, m_now, m_effects);
            m_now += std::chrono::milliseconds{70};
        }
        const auto outcomes = m_scheduler.takeOutcomes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
        CPPUNIT_ASSERT(outcomes.front().result.failure == PieceFailure::Error);
    }

    void taskWaitsForItsPreferredZone()
    {
        m_endpoints.update({endpoint("encoder-1", "a"), endpoint("encoder-2", "b")}, m_now, m_effects);
        submit(1, 1);
        submit(2, 1);
        m_zone = ZoneName{"a"};
        const auto first = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
        const InstanceName other{first.front().instance == InstanceName{"encoder-1"} ? "encoder-2" : "encoder-1"};
        m_zone = ZoneName{first.front().instance == InstanceName{"encoder-1"} ? "a" : "b"};
        submit(3, 1);
        CPPUNIT_ASSERT(dispatch().empty());
        m_now += std::chrono::milliseconds{201};
        const auto second = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second.front().instance == other);
    }

    void taskOfAZoneWithoutEndpointsDoesNotWait()
    {
        m_zone = ZoneName{"elsewhere"};
        submit(1, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatch().size());
    }

    /*! @brief Covers a partition between the scheduler and an endpoint: its calls are never answered. */
    void unresponsiveEndpointGetsNoFurtherCalls()
    {
        m_endpoints.update({endpoint("encoder-1"), endpoint("encoder-2")}, m_now, m_effects);
        submit(1, 8, 0, std::chrono::seconds{10});
        const InstanceName unresponsive = dispatch().at(0).instance;
        m_now += std::chrono::seconds{1};
        m_scheduler.handleTimeouts(m_now, m_effects);
        submit(2, 8, 0, std::chrono::seconds{10});
        submit(3, 8, 0, std::chrono::seconds{10});
        for (int round = 0; round < 3; ++round) {
            for (const StartStageCall &call : dispatch()) {
                CPPUNIT_ASSERT(call.instance != unresponsive);
                answer(call);
            }
        }
    }

    /*! @brief Covers a partition between two zones: one reports the inputs stored in the other as missing. */
    void inputsUnreachableFromOneZoneAreFetchedInAnother()
    {
        listTwoZones();
        m_zone = ZoneName{"b"};
        submit(1, 4);
        const auto first = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::string{"encoder-b"}, first.at(0).instance.text());
        reportMissingInputs(first.at(0));
        CPPUNIT_ASSERT(m_scheduler.takeOutcomes().empty());
        m_now += std::chrono::milliseconds{250};
        const auto second = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::string{"encoder-a"}, second.at(0).instance.text());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, second.at(0).items.size());
        // Later tasks avoid the broken path even if they prefer its zone.
        submit(2, 4);
        CPPUNIT_ASSERT(dispatch().empty());
    }

    void missingInputsFailTheTask()
    {
        listTwoZones();
        m_zone = ZoneName{"a"};
        submit(1, 4);
        reportMissingInputs(dispatch().at(0));
        const auto outcomes = m_scheduler.takeOutcomes();
        CPPUNIT_ASSERT(outcomes.at(0).result.failure == PieceFailure::InputMissing);
    }

    void brokenPathIsRetriedAfterAPause()
    {
        const std::set<ZoneName> sources{ZoneName{"a"}};
        FetchPaths paths;
        paths.record(sources, ZoneName{"b"}, false, m_now);
        CPPUNIT_ASSERT(!paths.isBroken(sources, ZoneName{"b"}, m_now));
        paths.record(sources, ZoneName{"b"}, false, m_now);
        paths.record(sources, ZoneName{"b"}, false, m_now);
        CPPUNIT_ASSERT(paths.isBroken(sources, ZoneName{"b"}, m_now));
        CPPUNIT_ASSERT(!paths.isBroken(sources, ZoneName{"a"}, m_now));
        CPPUNIT_ASSERT(!paths.isBroken(sources, ZoneName{"b"}, m_now + std::chrono::milliseconds{1500}));
        paths.record(sources, ZoneName{"b"}, true, m_now);
        CPPUNIT_ASSERT(!paths.isBroken(sources, ZoneName{"b"}, m_now));
    }

    /*! @brief More load than calls with one request each could serve, while result memory is scarce. */
    void burstIsServedOnTimeByBatching()
    {
        m_endpoints.update({endpoint("encoder-1"), endpoint("encoder-2"), endpoint("encoder-3")}, m_now, m_effects);
        constexpr Duration step = std::chrono::milliseconds{10};
        constexpr int steps = 600;
        constexpr int stepsPerRequest = 5;
        std::multimap<TimePoint, StartStageCall> running;
        std::multimap<TimePoint, std::string> used;
        std::map<std::string, TimePoint> latestCompletions;
        int onTime = 0;
        for (int count = 0; count < steps; ++count) {
            if (count % stepsPerRequest == 0) {
                const std::uint64_t id = static_cast<std::uint64_t>(count) / stepsPerRequest + 1;
                submit(id, 1 + static_cast<std::uint32_t>(id % 3), 0, std::chrono::milliseconds{600}, 1500);
                latestCompletions["attempt-" + std::to_string(id)] = m_now + std::chrono::milliseconds{1000};
            }
            for (auto next = running.begin(); next != running.end() && next->first <= m_now;) {
                answer(next->second);
                for (std::size_t item = 0; item < next->second.items.size(); ++item) {
                    const StageItem &stageItem = next->second.items[item];
                    onTime += stageItem.piece == 0 && m_now <= latestCompletions[stageItem.attempt] ? 1 : 0;
                    used.emplace(m_now + std::chrono::milliseconds{200}, handleOf(next->second, item));
                }
                next = running.erase(next);
            }
            for (auto next = used.begin(); next != used.end() && next->first <= m_now;) {
                m_scheduler.handleReleased(next->second);
                next = used.erase(next);
            }
            for (const StartStageCall &call : dispatch()) {
                const auto items = static_cast<std::int64_t>(call.items.size());
                running.emplace(m_now + std::chrono::milliseconds{150 + 10 * items}, call);
            }
            m_now += step;
        }
        // With one request in each call, three endpoints serve 18 of the 20 requests that arrive each second, and the
        // backlog exceeds the slack of 600 ms within seconds.
        CPPUNIT_ASSERT(onTime >= 110);
    }

    /*! @brief Guards against a task that crashes its endpoints together with the pieces of other requests. */
    void taskWhoseCallsBreakIsSentAlone()
    {
        m_budget.setOptions({.ratio = 0.0, .slack = 10.0, .window = std::chrono::seconds{10}, .assumedProcesses = 1});
        m_endpoints.update({endpoint("encoder-1")}, m_now, m_effects);
        submit(1, 2);
        submit(2, 2);
        for (int call = 0; call < 2; ++call) {
            const auto shared = dispatch();
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, shared.front().items.size());
            breakCall(shared.front());
            m_now += std::chrono::milliseconds{100};
        }
        submit(3, 2);
        const auto first = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.front().items.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt-1"}, first.front().items.front().attempt);
        answer(first.front());
        const auto second = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second.front().items.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt-2"}, second.front().items.front().attempt);
    }

    /*! @brief Requests of five pieces each left three of eight items empty while the pool had a backlog. */
    void callsOfASaturatedPoolAreFilled()
    {
        for (std::uint64_t task = 1; task <= 4; ++task) {
            submit(task, 5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, dispatch().front().items.size());
        reportPace();
        listSecondEncoder();
        // 15 pieces wait, less than two calls.
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, dispatch().front().items.size());
        for (std::uint64_t task = 5; task <= 7; ++task) {
            submit(task, 5);
        }
        listThirdEncoder();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, dispatch().front().items.size());
    }

    void callsOfAPoolWithoutPaceAreFilledOnRequest()
    {
        m_scheduler.setSharesAllPools(true);
        for (std::uint64_t task = 1; task <= 4; ++task) {
            submit(task, 5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, dispatch().front().items.size());
    }

    void splitTaskIsCompletedByTheNextCall()
    {
        reportPace();
        for (std::uint64_t task = 1; task <= 4; ++task) {
            submit(task, 5);
        }
        const auto first = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt-2"}, first.front().items.back().attempt);
        answer(first.front());
        const auto second = dispatch();
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt-2"}, second.front().items.front().attempt);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, second.front().items.front().piece);
    }

    /*! @brief The first results of a split task would occupy memory until the next call ends. */
    void tasksAreNotSplitWhileMemoryIsScarce()
    {
        reportPace();
        constexpr std::uint64_t large = 2500;
        submit(1, 5, 0, std::chrono::seconds{1}, large);
        answer(dispatch().front());
        for (std::uint64_t task = 2; task <= 6; ++task) {
            submit(task, 5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, dispatch().front().items.size());
    }

private:
    void reportPace()
    {
        m_endpoints.recordLoad(InstanceName{"encoder-1"}, {1, 0, 1, 1.2}, m_now);
    }

    void listSecondEncoder()
    {
        m_endpoints.update({endpoint("encoder-1"), endpoint("encoder-2")}, m_now, m_effects);
        m_scheduler.requestScans();
    }

    void listThirdEncoder()
    {
        m_endpoints.update({endpoint("encoder-1"), endpoint("encoder-2"), endpoint("encoder-3")}, m_now, m_effects);
        m_scheduler.requestScans();
    }

    void breakCall(const StartStageCall &call)
    {
        m_effects.clear();
        m_scheduler.handleCallEnded({call.call, StageCallStatus::Broken, {}, {}}, m_now, m_effects);
    }

    static EndpointRecord endpoint(const std::string &name, const std::string &zone = "a")
    {
        return {InstanceName{name}, PoolName{"encoders"}, "10.0.0.1:1", ZoneName{zone}, 1, false};
    }

    void submit(std::uint64_t id, std::uint32_t pieces, int rank = 0, Duration due = std::chrono::seconds{1},
                std::uint64_t bytes = 100)
    {
        StageTask task;
        task.id = StageTaskId{id};
        task.pool = PoolName{"encoders"};
        task.rank = rank;
        task.latestStart = m_now + due;
        task.deadline = m_now + std::chrono::seconds{20};
        task.attempt = "attempt-" + std::to_string(id);
        task.pieces = pieces;
        task.inputKey = "input";
        task.resultBytes = bytes;
        task.preferredZone = m_zone;
        task.inputs = m_inputs;
        task.heldResults = m_heldResults;
        m_scheduler.submit(std::move(task), m_now);
    }

    /*! @brief Lists an encoder in zones a and b, and an endpoint in zone a that stores the inputs of all tasks. */
    void listTwoZones()
    {
        EndpointRecord source = endpoint("source", "a");
        source.pool = PoolName{"rerankers"};
        m_endpoints.update({endpoint("encoder-a", "a"), endpoint("encoder-b", "b"), source}, m_now, m_effects);
        m_inputs = {{"10.0.0.1:1/h", InstanceName{"source"}, "10.0.0.1:1", 1000, 1}};
    }

    /*! @brief Ends a call with missing inputs for all of its items. */
    void reportMissingInputs(const StartStageCall &call)
    {
        StageCallEnded ended{call.call, StageCallStatus::Answered, {}};
        ended.results.assign(call.items.size(), PieceResult{{}, PieceFailure::InputMissing});
        m_effects.clear();
        m_scheduler.handleCallEnded(ended, m_now, m_effects);
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
        StageCallEnded ended{call.call, StageCallStatus::Answered, {}};
        for (std::size_t item = 0; item < call.items.size(); ++item) {
            ended.results.push_back({handleOf(call, item), PieceFailure::None});
        }
        m_effects.clear();
        m_scheduler.handleCallEnded(ended, m_now, m_effects);
    }

    void release(const StartStageCall &call, std::size_t items)
    {
        for (std::size_t item = 0; item < items; ++item) {
            m_scheduler.handleReleased(handleOf(call, item));
        }
    }

    TimePoint m_now{std::chrono::seconds{100}};
    std::shared_ptr<const Catalog> m_catalog{ServingFixture::catalog()};
    EndpointRegistry m_endpoints;
    RetryBudget m_budget{{.ratio = 0.0, .slack = 3.0, .window = std::chrono::seconds{10}, .assumedProcesses = 1}};
    FetchPaths m_paths;
    RateLimiter m_rateLimiter{[](const InstanceName &, std::uint32_t, TimePoint) {
        return 0U;
    }};
    StageScheduler m_scheduler{m_endpoints, m_budget, m_rateLimiter, m_paths, [this](const StoredResult &) {
                                   return m_isMemoryScarce;
                               }};
    bool m_isMemoryScarce{};
    ZoneName m_zone;
    std::vector<StoredResult> m_inputs;
    std::vector<ResultMemoryUsage> m_heldResults;
    Effects m_effects;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StageSchedulerTest);
