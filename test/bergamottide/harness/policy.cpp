#include "support/policyfigures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::test;

class PolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PolicyTest);
    CPPUNIT_TEST(theBoundOfALoadThatFitsIsTheWholeLoad);
    CPPUNIT_TEST(theBoundOfTwiceTheCapacityIsHalf);
    CPPUNIT_TEST(everyScenarioKeepsItsPromises);
    CPPUNIT_TEST(underSaturationLittleWorkIsWasted);
    CPPUNIT_TEST_SUITE_END();

public:
    void theBoundOfALoadThatFitsIsTheWholeLoad()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40.0, boundOf(steadyLoad(40, std::chrono::seconds{1}), one), 1e-6);
    }

    void theBoundOfTwiceTheCapacityIsHalf()
    {
        // Every job asks for a tenth of a second of the whole pool; 400 of them are due within the same 10 s.
        const double bound = boundOf(steadyLoad(400, Duration{}), one);
        CPPUNIT_ASSERT(bound > 89 && bound < 101);
    }

    void everyScenarioKeepsItsPromises()
    {
        for (const std::string &name : scenarioNames()) {
            const Measured measured = measure(name, quick());
            const auto &violations = measured.violations;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string{}, violations.empty() ? std::string{} : violations.front());
        }
    }

    void underSaturationLittleWorkIsWasted()
    {
        const Measured measured = measure("2-saturation", quick());
        const Figure &wasted = measured.figures.at(3);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(wasted.ours), wasted.reachedBy(wasted.ours));
    }

private:
    static double one(const Arrival &)
    {
        return 1;
    }

    static MeasureOptions quick()
    {
        MeasureOptions options;
        options.seed = 1;
        options.withBaseline = false;
        options.length = 0.25;
        return options;
    }

    /*! @brief Jobs at the intake alone, each a tenth of a second of the whole pool. */
    static Scenario steadyLoad(int count, Duration gap)
    {
        Scenario scenario;
        scenario.fleet = makeFleet(Size{}, 1);
        const double units = poolCapacity(scenario.fleet).at(PoolName{"intake"}) / 10;
        for (int index = 0; index < count; ++index) {
            Arrival arrival;
            arrival.at = index * gap;
            arrival.pipeline = PipelineName{"order"};
            arrival.units = {units};
            scenario.arrivals.push_back(arrival);
        }
        return scenario;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTest);
