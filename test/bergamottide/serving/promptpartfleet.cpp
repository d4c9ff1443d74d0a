#include "support/servingfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

using namespace bergamottide;
using test::CallerResults;
using test::EngineArrival;
using test::ServingFleet;
using test::ServingFleetOptions;

/*! @brief Requests that have nothing in common but a part of their prompts, which crashes engines. */
class PromptPartFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromptPartFleetTest);
    CPPUNIT_TEST(crashingPartStopsReachingEnginesOf3Processes);
    CPPUNIT_TEST(crashingPartStopsReachingEnginesOf30Processes);
    CPPUNIT_TEST(crashingPartStopsReachingEnginesOf300Processes);
    CPPUNIT_TEST(crashingFirstPartStopsReachingEngines);
    CPPUNIT_TEST(repeatedRequestsDoNotHideTheirCommonPart);
    CPPUNIT_TEST(lostHeartbeatsDoNotDelayTheQuarantineOfAPart);
    CPPUNIT_TEST(processBehindAOneWayCutLearnsThePartByItself);
    CPPUNIT_TEST(quarantineOfAPartOutlivesARollingRestart);
    CPPUNIT_TEST(fleetLearnsThePartAgainAfterTheLossOfAllProcesses);
    CPPUNIT_TEST(soundPartsAreNotQuarantinedWhenEnginesCrashByThemselves);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashingPartStopsReachingEnginesOf3Processes()
    {
        checkFleet({.processes = 3});
    }

    void crashingPartStopsReachingEnginesOf30Processes()
    {
        checkFleet({.processes = 30, .engines = 40});
    }

    void crashingPartStopsReachingEnginesOf300Processes()
    {
        checkFleet({.processes = 300, .engines = 100});
    }

    void crashingFirstPartStopsReachingEngines()
    {
        m_isCrashingPartFirst = true;
        checkFleet({.processes = 5});
    }

    void repeatedRequestsDoNotHideTheirCommonPart()
    {
        m_repetitions = 2;
        checkFleet({.processes = 5});
    }

    void lostHeartbeatsDoNotDelayTheQuarantineOfAPart()
    {
        checkFleet({.processes = 30, .engines = 40, .lostHeartbeats = 30});
    }

    void processBehindAOneWayCutLearnsThePartByItself()
    {
        ServingFleet fleet = start({.processes = 30, .engines = 40});
        fleet.cutInbound(7);
        sendCrashing(fleet, std::chrono::seconds{20}, "/summary/late/");
        checkBound(fleet);
    }

    void quarantineOfAPartOutlivesARollingRestart()
    {
        ServingFleet fleet = start({.processes = 5});
        sendCrashing(fleet, settlingTime, "/summary/early/");
        for (std::size_t process = 0; process < 5; ++process) {
            fleet.restart(process, std::chrono::milliseconds{500});
            sendCrashing(fleet, std::chrono::seconds{4}, "/summary/late/");
        }
        checkBound(fleet);
        checkSoundRequests(fleet);
    }

    /*! @brief What processes knew of sound parts is lost, too. */
    void fleetLearnsThePartAgainAfterTheLossOfAllProcesses()
    {
        ServingFleet fleet = start({.processes = 5});
        sendCrashing(fleet, settlingTime, "/summary/early/");
        for (std::size_t process = 0; process < 5; ++process) {
            fleet.restart(process, std::chrono::milliseconds{500});
        }
        sendCrashing(fleet, settlingTime, "/summary/early/");
        sendCrashing(fleet, std::chrono::seconds{10}, "/summary/late/");
        checkBound(fleet);
        checkSoundRequests(fleet);
    }

    void soundPartsAreNotQuarantinedWhenEnginesCrashByThemselves()
    {
        constexpr std::size_t engines = 40;
        ServingFleet fleet = start({.processes = 30, .engines = engines});
        for (std::size_t second = 0; second < 40; ++second) {
            fleet.crashEngine(second * 7 % engines);
            fleet.crashEngine(second * 11 % engines);
            fleet.crashEngine(second * 17 % engines);
            for (int period = 0; period < 50; ++period) {
                sendSound(fleet, "/summary/sound/");
                fleet.run(std::chrono::milliseconds{20});
            }
        }
        CPPUNIT_ASSERT(fleet.results("/summary/").failed > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.results("/summary/").quarantined);
    }

private:
    /*! @brief Time after which a process counts as in touch, and after which a quarantine has to be known. */
    static constexpr Duration touchTime = std::chrono::seconds{3};
    /*! @brief Time after which sound requests have to be served again. */
    static constexpr Duration settlingTime = std::chrono::seconds{8};
    static constexpr std::size_t maxLateRequests = 3;
    static constexpr std::size_t learntFromCrashes = 5;

    static ServingFleet start(const ServingFleetOptions &options)
    {
        ServingFleet fleet{options};
        fleet.run(std::chrono::seconds{4});
        return fleet;
    }

    void checkFleet(const ServingFleetOptions &options)
    {
        ServingFleet fleet = start(options);
        sendCrashing(fleet, settlingTime, "/summary/early/");
        sendCrashing(fleet, std::chrono::seconds{6}, "/summary/late/");
        checkBound(fleet);
        checkSoundRequests(fleet);
    }

    /*! @brief Sends requests with the crashing part eight times a second, among five sound ones each time. */
    void sendCrashing(ServingFleet &fleet, Duration time, const std::string &soundPath)
    {
        constexpr Duration period = std::chrono::milliseconds{120};
        for (const TimePoint end = fleet.now() + time; fleet.now() < end;) {
            const std::string number = std::to_string(m_nextRequest++);
            const std::string crashing{ServingFleet::crashingPart};
            const std::vector<std::string> shared = sharedParts();
            const std::vector<std::string> prompt = m_isCrashingPartFirst
                ? std::vector{crashing, shared.at(1), "own-" + number}
                : std::vector{shared.at(0), crashing, "own-" + number};
            for (int repetition = 0; repetition < m_repetitions; ++repetition) {
                fleet.send("/summary/part/" + number, prompt);
            }
            for (int other = 0; other < 5; ++other) {
                sendSound(fleet, soundPath);
            }
            fleet.run(period);
        }
    }

    void sendSound(ServingFleet &fleet, const std::string &path)
    {
        const std::string number = std::to_string(m_nextRequest++);
        std::vector<std::string> prompt = sharedParts();
        prompt.push_back("own-" + number);
        fleet.send(path + number, prompt);
    }

    /*! @brief Returns the shared parts of the next request: one of a few, then one of many. */
    [[nodiscard]] std::vector<std::string> sharedParts() const
    {
        constexpr std::uint64_t firstParts = 4;
        constexpr std::uint64_t secondParts = 60;
        return {"first-" + std::to_string(m_nextRequest % firstParts),
                "second-" + std::to_string(m_nextRequest % secondParts)};
    }

    /*! @brief Checks the requests that processes in touch send later than `touchTime` after the fifth crash, or after
     * the last one if there are fewer. */
    static void checkBound(const ServingFleet &fleet)
    {
        CPPUNIT_ASSERT(!fleet.requestCrashes().empty());
        const std::size_t crashes = std::min(fleet.requestCrashes().size(), learntFromCrashes);
        const TimePoint from = fleet.requestCrashes().at(crashes - 1) + touchTime;
        const auto late = std::ranges::count_if(fleet.arrivals(), [from](const EngineArrival &arrival) {
            return arrival.hasCrashingPart && arrival.at > from && arrival.processAge >= touchTime;
        });
        const std::string message =
            std::to_string(late) + " late requests, " + std::to_string(fleet.requestCrashes().size()) + " crashes";
        CPPUNIT_ASSERT_MESSAGE(message, static_cast<std::size_t>(late) <= maxLateRequests);
    }

    /*! @brief Checks that sound requests with the same other parts are served. */
    static void checkSoundRequests(const ServingFleet &fleet)
    {
        const CallerResults sound = fleet.results("/summary/late/");
        const std::string message = std::to_string(sound.completed) + " of " + std::to_string(sound.sent)
            + " completed, " + std::to_string(sound.quarantined) + " quarantined";
        CPPUNIT_ASSERT_MESSAGE(message, sound.completed * 2 >= sound.sent);
    }

    bool m_isCrashingPartFirst{};
    int m_repetitions{1};
    std::uint64_t m_nextRequest{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptPartFleetTest);
