#include "stagefleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using bergamottide::test::StageFleet;
using bergamottide::test::StageFleetOptions;
using bergamottide::test::WorkspaceResults;
using std::chrono::seconds;

/*!
 * @brief One workspace sends ten times the demand of each of five others to a stage pool, at twice its capacity.
 *
 * The demand of each of the five fits an equal part of the pool, so that they are to be served on time.
 */
class UnevenDemandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnevenDemandTest);
    CPPUNIT_TEST(demandWithinTheShareIsServedOnTime);
    CPPUNIT_TEST(largeWorkspaceGetsTheRest);
    CPPUNIT_TEST(largeWorkspaceIsRejectedOnArrival);
    CPPUNIT_TEST(changesOfSharesAreLoggedAndCounted);
    CPPUNIT_TEST(newQueueOwnerLearnsTheShares);
    CPPUNIT_TEST(processWithoutReportsDoesNotHarmTheOthers);
    CPPUNIT_TEST(poolWithoutPaceIsServedAsBefore);
    CPPUNIT_TEST_SUITE_END();

public:
    void demandWithinTheShareIsServedOnTime()
    {
        for (const std::uint64_t seed : {1, 2, 3}) {
            StageFleet fleet{{.seed = seed}};
            fleet.run(seconds{20}, unevenDemand());
            assertSmallOnTime(fleet);
        }
    }

    /*! @brief Guards against capacity that is left unused because requests are rejected for the sake of shares. */
    void largeWorkspaceGetsTheRest()
    {
        StageFleet fleet{{}};
        fleet.run(seconds{20}, unevenDemand());
        const double rest = StageFleet::capacity * 20 - static_cast<double>(ofSmall(fleet).sent);
        const WorkspaceResults &large = fleet.results("large");
        CPPUNIT_ASSERT_MESSAGE(describe(large), static_cast<double>(large.onTime + large.late) >= 0.8 * rest);
    }

    /*! @brief Guards against most requests above the share being admitted first and rejected when their stage is late.
     */
    void largeWorkspaceIsRejectedOnArrival()
    {
        StageFleet fleet{{}};
        fleet.run(seconds{20}, unevenDemand());
        const WorkspaceResults &large = fleet.results("large");
        // In the order of latest starts most rejected requests have been admitted before.
        CPPUNIT_ASSERT_MESSAGE(describe(large), large.rejectedOnArrival > large.rejectedLater);
    }

    void changesOfSharesAreLoggedAndCounted()
    {
        StageFleet fleet{{}};
        fleet.run(seconds{5}, unevenDemand());
        CPPUNIT_ASSERT(fleet.logLines("Workspace is above its share of a stage pool.") >= 1);
        CPPUNIT_ASSERT(fleet.maxOf(Metric::WorkspacesAboveShare) == 1.0);
        fleet.run(seconds{2}, {});
        CPPUNIT_ASSERT_EQUAL(fleet.logLines("Workspace is above its share of a stage pool."),
                             fleet.logLines("Workspace is within its share of a stage pool again."));
    }

    void newQueueOwnerLearnsTheShares()
    {
        StageFleet fleet{{}};
        fleet.run(seconds{10}, unevenDemand());
        const std::size_t former = fleet.queueOwner();
        fleet.drainQueueOwner();
        fleet.run(seconds{10}, unevenDemand());
        CPPUNIT_ASSERT(fleet.queueOwner() != former);
        assertSmallOnTime(fleet);
    }

    void processWithoutReportsDoesNotHarmTheOthers()
    {
        StageFleet fleet{{.withoutReports = 2}};
        fleet.run(seconds{20}, unevenDemand());
        assertSmallOnTime(fleet);
    }

    /*! @brief Shows that the load pattern needs the decision, and guards against shares in pools that report no pace.
     */
    void poolWithoutPaceIsServedAsBefore()
    {
        StageFleet fleet{{.reportsPace = false}};
        fleet.run(seconds{20}, unevenDemand());
        const WorkspaceResults small = ofSmall(fleet);
        CPPUNIT_ASSERT_MESSAGE(describe(small), small.onTimeFraction() < minOnTime);
        CPPUNIT_ASSERT(!fleet.maxOf(Metric::WorkspacesAboveShare));
    }

private:
    /*! @brief Required fraction of requests on time of the workspaces within their share. */
    static constexpr double minOnTime = 0.9;

    static std::map<std::string, double> unevenDemand()
    {
        const double unit = 2 * StageFleet::capacity / 15;
        std::map<std::string, double> out{{"large", 10 * unit}};
        for (int index = 0; index < 5; ++index) {
            out["small-" + std::to_string(index)] = unit;
        }
        return out;
    }

    static WorkspaceResults ofSmall(StageFleet &fleet)
    {
        WorkspaceResults sum;
        for (int index = 0; index < 5; ++index) {
            const WorkspaceResults &results = fleet.results("small-" + std::to_string(index));
            sum.sent += results.sent;
            sum.onTime += results.onTime;
            sum.late += results.late;
            sum.rejectedOnArrival += results.rejectedOnArrival;
            sum.rejectedLater += results.rejectedLater;
        }
        return sum;
    }

    static void assertSmallOnTime(StageFleet &fleet)
    {
        const WorkspaceResults small = ofSmall(fleet);
        CPPUNIT_ASSERT_MESSAGE("small: " + describe(small) + "; large: " + describe(fleet.results("large")),
                               small.onTimeFraction() >= minOnTime);
    }

    static std::string describe(const WorkspaceResults &results)
    {
        return std::to_string(results.sent) + " sent, " + std::to_string(results.onTime) + " on time, "
            + std::to_string(results.late) + " late, " + std::to_string(results.rejectedOnArrival)
            + " rejected on arrival, " + std::to_string(results.rejectedLater) + " rejected later";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnevenDemandTest);
