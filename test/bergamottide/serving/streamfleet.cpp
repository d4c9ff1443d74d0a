#include "support/servingfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

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
    CPPUNIT_TEST(allProcessesLostAfterAVersionIsGone);
    CPPUNIT_TEST(allProcessesLostWhileAVersionLeaves);
    CPPUNIT_TEST(allProcessesLostWhileTwoVersionsStay);
    CPPUNIT_TEST(allProcessesLostBesideASingleVersion);
    CPPUNIT_TEST(allProcessesLostLongAfterAVersionIsGone);
    CPPUNIT_TEST(streamsWithoutPromptAreRejectedAfterTheLossOfAllProcesses);
    CPPUNIT_TEST(someProcessesLostBesideASingleVersion);
    CPPUNIT_TEST(processCutOffFromAllMissesAVersionIn5Processes);
    CPPUNIT_TEST(processCutOffFromAllMissesAVersionIn30Processes);
    CPPUNIT_TEST(processCutOffFromAllMissesAVersionIn300Processes);
    CPPUNIT_TEST(streamsContinueAtAProcessWithoutTheStore);
    CPPUNIT_TEST(relayCutOffFromAllMissesAVersion);
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

    /*! @brief Guards against a stream of two versions: the only version that restarted processes see did not begin it.
     */
    void allProcessesLostAfterAVersionIsGone()
    {
        for (const ServingFleetOptions &options : sizes()) {
            checkContinued(loseAll(options, Former::Gone), continuedAtTheRemainingHalf);
        }
    }

    /*! @brief Guards against a stream of two versions while the endpoints of the former one are draining. */
    void allProcessesLostWhileAVersionLeaves()
    {
        for (const ServingFleetOptions &options : sizes()) {
            checkContinued(loseAll(options, Former::Leaving), continuedAtTheRemainingHalf);
        }
    }

    /*! @brief Guards against rejecting all resumptions while the engines know the version. */
    void allProcessesLostWhileTwoVersionsStay()
    {
        for (const ServingFleetOptions &options : sizes()) {
            checkContinued(loseAll(options, Former::Staying));
        }
    }

    /*! @brief Guards against rejecting streams because processes have just started. */
    void allProcessesLostBesideASingleVersion()
    {
        for (const ServingFleetOptions &options : smallSizes()) {
            checkContinued(loseAll(options, Former::None));
        }
    }

    void allProcessesLostLongAfterAVersionIsGone()
    {
        for (const ServingFleetOptions &options : smallSizes()) {
            checkContinued(loseAll(options, Former::LongGone));
        }
    }

    /*! @brief Guards against taking the only version that is seen for the one that began the stream. */
    void streamsWithoutPromptAreRejectedAfterTheLossOfAllProcesses()
    {
        for (const ServingFleetOptions &options : smallSizes()) {
            const StreamResults results = loseAll(options, Former::Gone, false);
            checkNotMixed(results);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(results), std::size_t{0}, results.continued);
        }
    }

    /*! @brief Guards against rejecting streams after a restart although peers have known the endpoints for longer. */
    void someProcessesLostBesideASingleVersion()
    {
        for (const ServingFleetOptions &options : smallSizes()) {
            ServingFleet fleet{options};
            fleet.run(seconds{20});
            for (std::size_t next = 0; next < 20; ++next) {
                const std::size_t process = next * 4 % options.processes;
                for (int sent = 0; sent < 5; ++sent) {
                    fleet.send(process, "/summary/1");
                }
                fleet.run(milliseconds{200});
                fleet.restart(process, seconds{1});
                fleet.run(milliseconds{700});
            }
            fleet.run(seconds{8});
            checkContinued(fleet.streams());
        }
    }

    /*! @brief Guards against a stream of two versions: the only version of an old list did not begin it. */
    void processCutOffFromAllMissesAVersionIn5Processes()
    {
        checkNotMixed(missVersion({.processes = 5, .callersResume = true}, 3, Cut::All));
    }

    void processCutOffFromAllMissesAVersionIn30Processes()
    {
        checkNotMixed(missVersion({.processes = 30, .engines = 24, .callersResume = true}, 29, Cut::All));
    }

    void processCutOffFromAllMissesAVersionIn300Processes()
    {
        checkNotMixed(missVersion({.processes = 300, .engines = 60, .callersResume = true}, 299, Cut::All));
    }

    /*! @brief Guards against a relay that still answers for others after it has missed a version. */
    void relayCutOffFromAllMissesAVersion()
    {
        checkNotMixed(missVersion({.processes = 30, .engines = 24, .callersResume = true}, 0, Cut::All));
    }

    /*! @brief Guards against rejecting streams that peers know while the store is away. */
    void streamsContinueAtAProcessWithoutTheStore()
    {
        checkContinued(missVersion({.processes = 5, .callersResume = true}, 3, Cut::Store));
        checkContinued(missVersion({.processes = 30, .engines = 24, .callersResume = true}, 29, Cut::Store));
    }

private:
    /*! @brief What a process is cut off from. */
    enum class Cut
    {
        Store,
        All
    };

    /*! @brief Engines of a version join while a process is cut off; then the streams of the others come to it. */
    [[nodiscard]] static StreamResults missVersion(const ServingFleetOptions &options, std::size_t process, Cut cut)
    {
        ServingFleet fleet{options};
        // Longer than a stream can last.
        fleet.run(seconds{12});
        fleet.setCutFromStore(process, true);
        fleet.setCutFromPeers(process, cut == Cut::All);
        replaceHalf(fleet, options.engines, "v1");
        fleet.run(milliseconds{2500});
        for (int sent = 0; sent < 60; ++sent) {
            fleet.send((process + 1 + static_cast<std::size_t>(sent)) % options.processes, "/summary/1",
                       {"prompt-" + std::to_string(sent)});
            fleet.run(milliseconds{10});
        }
        fleet.run(milliseconds{100});
        fleet.moveStreams(process);
        fleet.run(seconds{2});
        fleet.setCutFromStore(process, false);
        fleet.setCutFromPeers(process, false);
        fleet.run(seconds{6});
        return fleet.streams();
    }

    /*! @brief What has become of a second software version when all processes are lost. */
    enum class Former : std::uint8_t
    {
        None,
        /*! @brief Its endpoints leave while the processes are down. */
        Gone,
        /*! @brief Its endpoints left before the streams began. */
        LongGone,
        Leaving,
        Staying
    };

    /*! @brief Half of the streams began at the version that remains, and engines still have the prompts of most. */
    static constexpr double continuedAtTheRemainingHalf = 0.25;

    [[nodiscard]] static std::vector<ServingFleetOptions> smallSizes()
    {
        return {{.processes = 5, .callersResume = true}, {.processes = 30, .engines = 24, .callersResume = true}};
    }

    [[nodiscard]] static std::vector<ServingFleetOptions> sizes()
    {
        std::vector<ServingFleetOptions> out = smallSizes();
        out.push_back({.processes = 300, .engines = 60, .callersResume = true});
        return out;
    }

    /*! @brief Replaces every second endpoint, from the first one on, by one of a version. */
    static void replaceHalf(ServingFleet &fleet, std::size_t engines, const std::string &version)
    {
        for (std::size_t engine = 0; engine < engines; engine += 2) {
            fleet.replaceEngine(engine, version);
        }
    }

    /*! @brief Loses all processes for so long that endpoints which stop at that moment are no longer listed afterwards.
     */
    [[nodiscard]] static StreamResults loseAll(const ServingFleetOptions &options, Former former, bool hasPrompt = true)
    {
        ServingFleet fleet{options};
        fleet.run(seconds{5});
        if (former != Former::None) {
            replaceHalf(fleet, options.engines, "v1");
            fleet.run(seconds{5});
        }
        if (former == Former::LongGone) {
            replaceHalf(fleet, options.engines, {});
            fleet.run(seconds{12});
        }
        for (int sent = 0; sent < 100; ++sent) {
            const std::string part = "prompt-" + std::to_string(sent);
            fleet.send("/summary/1", hasPrompt ? std::vector<std::string>{part} : std::vector<std::string>{});
            fleet.run(milliseconds{10});
        }
        fleet.loseAllProcesses(milliseconds{3200});
        if (former == Former::Gone) {
            replaceHalf(fleet, options.engines, {});
        }
        for (std::size_t engine = 0; former == Former::Leaving && engine < options.engines; engine += 2) {
            fleet.setListedAsDraining(engine, true);
        }
        fleet.run(seconds{12});
        return fleet.streams();
    }

    [[nodiscard]] static std::string describe(const StreamResults &results)
    {
        return std::to_string(results.begun) + " begun, " + std::to_string(results.resumed) + " resumed, "
            + std::to_string(results.continued) + " continued, " + std::to_string(results.mixed) + " mixed";
    }

    static void checkNotMixed(const StreamResults &results)
    {
        CPPUNIT_ASSERT_MESSAGE(describe(results), results.resumed >= 12);
        CPPUNIT_ASSERT_MESSAGE(describe(results), results.mixed == 0);
    }

    /*! @brief Checks also the share of resumed streams that go on; nearly all new streams begin in these tests. */
    static void checkContinued(const StreamResults &results, double share = 0.5)
    {
        checkNotMixed(results);
        CPPUNIT_ASSERT_MESSAGE(describe(results),
                               static_cast<double>(results.continued) >= share * static_cast<double>(results.resumed));
    }

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
        checkContinued(fleet.streams());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamFleetTest);
