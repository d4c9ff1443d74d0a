#include "bergamottide/scheduling/fairqueue.h"

#include "naivefairqueue.h"
#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <map>
#include <set>
#include <string>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

namespace {

WorkspaceName workspace(std::uint64_t number)
{
    return WorkspaceName{"w" + std::to_string(number)};
}

QueueItem item(std::uint64_t number, const WorkspaceName &name, Duration cost = 100ms, Duration deadline = 60s,
               double value = 1.0)
{
    return {RunId{RequestId{0, number}, 0, 1}, name, cost, Duration{}, TimePoint{} + deadline, value};
}

/*! @brief Operation decoded from an integer, so that failing cases shrink well. */
struct Step
{
    explicit Step(std::uint32_t word)
        : kind{word % 8}
        , workspace{word / 8 % 4}
        , cost{(1 + word / 32 % 8) * 10ms}
        , deadline{(word / 256 % 16) * 50ms}
        , value{static_cast<double>(1 + word / 4096 % 3)}
        , following{(word / 16384 % 4) * 100ms}
    {
    }

    std::uint32_t kind;
    std::uint32_t workspace;
    Duration cost;
    Duration deadline;
    double value;
    Duration following;
};

void assertSameOutcome(const PushResult &left, const PushResult &right)
{
    RC_ASSERT(left.accepted == right.accepted);
    RC_ASSERT(left.evicted.has_value() == right.evicted.has_value());
    if (left.evicted) {
        RC_ASSERT(left.evicted->run == right.evicted->run);
    }
}

} // namespace

class FairQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTest);
    CPPUNIT_TEST(matchesNaiveImplementation);
    CPPUNIT_TEST(dividesTimeByWeightUnderSaturation);
    CPPUNIT_TEST(idleWorkspaceGainsNoCredit);
    CPPUNIT_TEST(burstDoesNotDelayOtherWorkspaces);
    CPPUNIT_TEST(servesEarliestDeadlineFirst);
    CPPUNIT_TEST(costOfLaterStagesAdvancesDeadline);
    CPPUNIT_TEST(servesHighestValueDensityFirstWhenDeadlinesAreMissed);
    CPPUNIT_TEST(evictsLowestValueDensityOfLargestBacklog);
    CPPUNIT_TEST(rejectsPushedRunOfLowestValueDensity);
    CPPUNIT_TEST(removesInfeasibleRunsInOrder);
    CPPUNIT_TEST(valuesDoNotStarveWorkspaces);
    CPPUNIT_TEST(waitIsBoundedByTotalBacklog);
    CPPUNIT_TEST(operationsAreLogarithmicInWorkspaces);
    CPPUNIT_TEST_SUITE_END();

public:
    void matchesNaiveImplementation()
    {
        checkProperty(
            [](const std::vector<std::uint32_t> &words) {
                FairQueue queue{6, 2};
                NaiveFairQueue naive{6, 2};
                queue.setWeight(workspace(1), 2.5);
                naive.setWeight(workspace(1), 2.5);
                TimePoint now;
                std::uint64_t number = 0;
                for (const std::uint32_t word : words) {
                    const Step step{word};
                    now += 10ms;
                    if (step.kind < 5) {
                        QueueItem offered =
                            item(++number, workspace(step.workspace), step.cost, step.deadline, step.value);
                        offered.deadline = now + step.deadline;
                        offered.laterStagesCost = step.following;
                        assertSameOutcome(queue.push(offered), naive.push(offered));
                    } else if (step.kind < 7) {
                        RC_ASSERT(queue.pop(now) == naive.pop(now));
                    } else if (step.workspace == 0) {
                        const RunId run{RequestId{0, number / 2}, 0, 1};
                        RC_ASSERT(queue.erase(run) == naive.erase(run));
                    } else {
                        RC_ASSERT(queue.takeInfeasible(now) == naive.takeDoomed(now));
                    }
                    RC_ASSERT(queue.size() == naive.size());
                }
            },
            11, 2000);
    }

    void dividesTimeByWeightUnderSaturation()
    {
        FairQueue queue{10000, 1};
        queue.setWeight(workspace(0), 1.0);
        queue.setWeight(workspace(1), 3.0);
        for (std::uint64_t number = 0; number < 4000; ++number) {
            // The costs differ, so that dividing the runs by weight would not divide the time by weight.
            const bool heavy = number % 2 == 1;
            (void)queue.push(item(number, workspace(number % 2), heavy ? 10ms : 70ms, 10h));
        }
        std::map<WorkspaceName, Duration> served;
        for (int turn = 0; turn < 1000; ++turn) {
            const QueueItem next = *queue.pop(TimePoint{});
            served[next.workspace] += next.cost;
        }
        const double ratio =
            static_cast<double>(served[workspace(1)].count()) / static_cast<double>(served[workspace(0)].count());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, ratio, 0.05);
    }

    void idleWorkspaceGainsNoCredit()
    {
        FairQueue queue{1000, 1};
        for (std::uint64_t number = 0; number < 400; ++number) {
            (void)queue.push(item(number, workspace(0)));
        }
        for (int turn = 0; turn < 100; ++turn) {
            (void)queue.pop(TimePoint{});
        }
        for (std::uint64_t number = 400; number < 500; ++number) {
            (void)queue.push(item(number, workspace(1)));
        }
        int servedOfIdle = 0;
        for (int turn = 0; turn < 100; ++turn) {
            servedOfIdle += queue.pop(TimePoint{})->workspace == workspace(1) ? 1 : 0;
        }
        CPPUNIT_ASSERT(std::abs(servedOfIdle - 50) <= 1);
    }

    void burstDoesNotDelayOtherWorkspaces()
    {
        FairQueue queue{10000, 1};
        for (std::uint64_t number = 0; number < 5000; ++number) {
            (void)queue.push(item(number, workspace(0)));
        }
        (void)queue.pop(TimePoint{});
        (void)queue.push(item(9999, workspace(1)));
        CPPUNIT_ASSERT(queue.pop(TimePoint{})->workspace == workspace(1));
    }

    void servesEarliestDeadlineFirst()
    {
        FairQueue queue{10, 1};
        (void)queue.push(item(1, workspace(0), 100ms, 9s, 1.0));
        (void)queue.push(item(2, workspace(0), 100ms, 5s, 1.0));
        (void)queue.push(item(3, workspace(0), 100ms, 5s, 8.0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, queue.pop(TimePoint{})->run.request.low);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop(TimePoint{})->run.request.low);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.pop(TimePoint{})->run.request.low);
    }

    void costOfLaterStagesAdvancesDeadline()
    {
        FairQueue queue{10, 1};
        (void)queue.push(item(1, workspace(0), 100ms, 5s));
        QueueItem longer = item(2, workspace(0), 110ms, 6s);
        longer.laterStagesCost = 3s;
        (void)queue.push(longer);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop(TimePoint{})->run.request.low);
        (void)queue.push(longer);
        // Both deadlines have passed, but the value densities are of the same level, so that the order is kept.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop(TimePoint{} + 10s)->run.request.low);
    }

    void servesHighestValueDensityFirstWhenDeadlinesAreMissed()
    {
        FairQueue queue{10, 1};
        (void)queue.push(item(1, workspace(0), 400ms, 1s, 1.0));
        (void)queue.push(item(2, workspace(0), 400ms, 1s, 9.0));
        (void)queue.push(item(3, workspace(0), 100ms, 1s, 4.0));
        (void)queue.push(item(4, workspace(0), 400ms, 1s, 1.0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, queue.pop(TimePoint{})->run.request.low);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop(TimePoint{} + 100ms)->run.request.low);
    }

    void evictsLowestValueDensityOfLargestBacklog()
    {
        FairQueue queue{4, 1};
        queue.setWeight(workspace(1), 10.0);
        (void)queue.push(item(1, workspace(0), 100ms, 9s, 5.0));
        (void)queue.push(item(2, workspace(0), 100ms, 9s, 1.0));
        (void)queue.push(item(3, workspace(1), 200ms));
        (void)queue.push(item(4, workspace(1), 200ms));
        const PushResult outcome = queue.push(item(5, workspace(2), 50ms));
        CPPUNIT_ASSERT(outcome.accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, outcome.evicted->run.request.low);
    }

    void rejectsPushedRunOfLowestValueDensity()
    {
        FairQueue queue{2, 1};
        (void)queue.push(item(1, workspace(0), 100ms, 9s, 2.0));
        (void)queue.push(item(2, workspace(1)));
        const PushResult outcome = queue.push(item(3, workspace(0), 100ms, 9s, 1.0));
        CPPUNIT_ASSERT(!outcome.accepted && !outcome.evicted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.size());
    }

    void removesInfeasibleRunsInOrder()
    {
        FairQueue queue{10, 1};
        QueueItem late = item(1, workspace(0), 100ms, 900ms);
        late.laterStagesCost = 300ms;
        (void)queue.push(late);
        (void)queue.push(item(2, workspace(1), 100ms, 500ms));
        (void)queue.push(item(3, workspace(1), 100ms, 5s));
        CPPUNIT_ASSERT(queue.nextInfeasibleAt() == TimePoint{} + 400ms);
        CPPUNIT_ASSERT(queue.takeInfeasible(TimePoint{} + 400ms).empty());
        const auto infeasible = queue.takeInfeasible(TimePoint{} + 501ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, infeasible.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, infeasible[0].run.request.low);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, infeasible[1].run.request.low);
    }

    void valuesDoNotStarveWorkspaces()
    {
        checkProperty(
            [](const std::vector<std::uint32_t> &words) {
                FairQueue queue{100000, 1};
                std::uint64_t number = 0;
                for (std::uint64_t poor = 0; poor < 3; ++poor) {
                    (void)queue.push(item(++number, workspace(poor), 80ms, 10h, 0.001));
                }
                for (const std::uint32_t word : words) {
                    const Step step{word};
                    (void)queue.push(item(++number, workspace(3 + step.workspace), step.cost, 10h, 1000.0));
                }
                // Each workspace is served within one round of the longest runs of the others.
                std::set<WorkspaceName> served;
                for (int turn = 0; turn < 8 * 8 && queue.size() > 0; ++turn) {
                    served.insert(queue.pop(TimePoint{})->workspace);
                }
                for (std::uint64_t poor = 0; poor < 3; ++poor) {
                    RC_ASSERT(served.contains(workspace(poor)));
                }
            },
            12);
    }

    void waitIsBoundedByTotalBacklog()
    {
        FairQueue queue{100, 2};
        for (std::uint64_t number = 0; number < 10; ++number) {
            (void)queue.push(item(number, workspace(0)));
        }
        (void)queue.push(item(10, workspace(1)));
        CPPUNIT_ASSERT(queue.wait(workspace(0)) == 550ms);
        CPPUNIT_ASSERT(queue.wait(workspace(1)) == 100ms);
        CPPUNIT_ASSERT(queue.wait(workspace(2)) == 0ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.waits().size());
    }

    void operationsAreLogarithmicInWorkspaces()
    {
        for (const std::uint64_t workspaces : {5, 520, 10000}) {
            FairQueue queue{4 * workspaces, 1};
            std::uint64_t number = 0;
            for (; number < 2 * workspaces; ++number) {
                (void)queue.push(item(number, workspace(number % workspaces), (1 + number % 7) * 10ms, 10h));
            }
            const std::uint64_t before = queue.steps();
            const std::uint64_t pairs = 1000;
            for (std::uint64_t pair = 0; pair < pairs; ++pair) {
                const QueueItem next = *queue.pop(TimePoint{});
                (void)queue.push(item(number + pair, next.workspace, (1 + pair % 7) * 10ms, 10h));
            }
            // Two updates in each of two heaps, each bounded by the height of the heap.
            const double bound = 4.0 * (std::log2(static_cast<double>(workspaces)) + 1.0);
            CPPUNIT_ASSERT(static_cast<double>(queue.steps() - before) <= bound * static_cast<double>(pairs));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);
