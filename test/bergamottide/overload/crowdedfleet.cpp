#include "support/servingfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <string>

using namespace bergamottide;
using test::CallerResults;
using test::ServingFleet;
using test::ServingFleetOptions;

/*! @brief Simulated fleets of which one process gets most new connections, and then another one. */
class CrowdedFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrowdedFleetTest);
    CPPUNIT_TEST(processWithMostConnectionsServesWhatItReadsAmong5);
    CPPUNIT_TEST(processWithMostConnectionsServesWhatItReadsAmong30);
    CPPUNIT_TEST(processWithMostConnectionsServesWhatItReadsAmong120);
    CPPUNIT_TEST_SUITE_END();

public:
    void processWithMostConnectionsServesWhatItReadsAmong5()
    {
        checkCrowded({.processes = 5, .engines = 12, .seed = 1, .eventTime = eventTime}, 60);
    }

    void processWithMostConnectionsServesWhatItReadsAmong30()
    {
        checkCrowded({.processes = 30, .engines = 24, .seed = 2, .eventTime = eventTime}, 150);
    }

    void processWithMostConnectionsServesWhatItReadsAmong120()
    {
        checkCrowded({.processes = 120, .engines = 60, .seed = 3, .eventTime = eventTime}, 250);
    }

private:
    static constexpr Duration startTime = std::chrono::seconds{4};
    static constexpr Duration stableTime = std::chrono::seconds{4};
    static constexpr Duration eventTime = std::chrono::milliseconds{4};

    /*! @brief Connects at a rate a second; nine of ten connections go to one process, unless `isEven`. */
    static void connect(ServingFleet &fleet, const std::string &target, std::size_t processes, std::size_t rate,
                        std::size_t crowded, bool isEven, Duration time)
    {
        const Duration pause = Duration{std::chrono::seconds{1}} / static_cast<Duration::rep>(rate);
        std::size_t count = 0;
        Duration due{};
        for (Duration passed{}; passed < time; passed += std::chrono::milliseconds{10}) {
            for (; due <= passed; due += pause) {
                ++count;
                fleet.connect(isEven || count % 10 == 0 ? count * 7 % processes : crowded, target);
            }
            fleet.run(std::chrono::milliseconds{10});
        }
    }

    static double servedShare(const CallerResults &results)
    {
        return static_cast<double>(results.completed) / static_cast<double>(results.sent - results.unread);
    }

    static void checkCrowded(const ServingFleetOptions &options, std::size_t rate)
    {
        ServingFleet fleet{options};
        fleet.run(startTime);
        connect(fleet, "/summary/even", options.processes, rate, 0, true, std::chrono::seconds{5});
        for (const std::size_t crowded : {std::size_t{1}, std::size_t{2}}) {
            const std::string target = "/summary/crowded" + std::to_string(crowded);
            connect(fleet, "/summary/first", options.processes, 2 * rate, crowded, false, stableTime);
            connect(fleet, target, options.processes, 2 * rate, crowded, false, std::chrono::seconds{4});
            fleet.restart(crowded, std::chrono::seconds{30});
        }
        fleet.run(std::chrono::seconds{12});
        const double before = servedShare(fleet.results("/summary/even"));
        CPPUNIT_ASSERT(before > 0.9);
        for (const std::string target : {"/summary/crowded1", "/summary/crowded2"}) {
            const CallerResults results = fleet.results(target);
            const std::string figures = std::to_string(results.completed) + " completed of "
                + std::to_string(results.sent) + ", " + std::to_string(results.unread) + " unread, "
                + std::to_string(results.overdue) + " overdue";
            CPPUNIT_ASSERT_MESSAGE(figures, servedShare(results) >= 0.75 * before);
            CPPUNIT_ASSERT_MESSAGE(figures, results.unread * 10 <= results.sent);
            CPPUNIT_ASSERT_MESSAGE(figures, results.overdue * 2 <= results.sent - results.completed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrowdedFleetTest);
