#include "support/servingfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <string>

using namespace bergamottide;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::ServingFleet;
using test::ServingFleetOptions;
using test::StreamResults;

/*! @brief Streams before engines of several software versions, while engines crash and processes restart. */
class StreamFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamFleetTest);
    CPPUNIT_TEST(streamsStayAtTheirVersionIn5Processes);
    CPPUNIT_TEST(streamsStayAtTheirVersionIn30Processes);
    CPPUNIT_TEST(streamsStayAtTheirVersionIn300Processes);
    CPPUNIT_TEST(streamsStayAtTheirVersionWhileHeartbeatsAreLost);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamsStayAtTheirVersionIn5Processes()
    {
        check({.processes = 5, .callersResume = true}, milliseconds{20});
    }

    void streamsStayAtTheirVersionIn30Processes()
    {
        check({.processes = 30, .engines = 24, .callersResume = true}, milliseconds{10});
    }

    void streamsStayAtTheirVersionIn300Processes()
    {
        check({.processes = 300, .engines = 60, .callersResume = true}, milliseconds{10});
    }

    void streamsStayAtTheirVersionWhileHeartbeatsAreLost()
    {
        check({.processes = 5, .lostHeartbeats = 30, .callersResume = true}, milliseconds{20});
    }

private:
    /*! @brief Three versions serve side by side; engines and processes stop in turn. */
    static void check(const ServingFleetOptions &options, Duration sendPeriod)
    {
        ServingFleet fleet{options};
        fleet.run(seconds{5});
        for (std::size_t engine = 0; engine < options.engines; ++engine) {
            fleet.replaceEngine(engine, "v" + std::to_string(engine % 3));
        }
        fleet.run(seconds{5});
        std::size_t next = 0;
        for (TimePoint fault = fleet.now(); next < 20; fleet.run(sendPeriod)) {
            fleet.send("/summary/1");
            if (fleet.now() < fault) {
                continue;
            }
            fault += milliseconds{700};
            fleet.crashEngine(next % options.engines);
            // The processes of low numbers are relays.
            fleet.restart(next * 4 % options.processes, seconds{1});
            ++next;
        }
        fleet.run(seconds{8});
        const StreamResults results = fleet.streams();
        const std::string figures = std::to_string(results.begun) + " begun, " + std::to_string(results.resumed)
            + " resumed, " + std::to_string(results.continued) + " continued, " + std::to_string(results.mixed)
            + " mixed";
        CPPUNIT_ASSERT_MESSAGE(figures, results.resumed >= 12);
        CPPUNIT_ASSERT_MESSAGE(figures, results.mixed == 0);
        // Nearly all new streams begin here.
        CPPUNIT_ASSERT_MESSAGE(figures, results.continued * 2 >= results.resumed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamFleetTest);
