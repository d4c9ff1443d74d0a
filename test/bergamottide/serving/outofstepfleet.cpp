#include "bergamottide/placement/random.h"
#include "support/servingfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

using namespace bergamottide;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::EngineArrival;
using test::ServingFleet;
using test::ServingFleetOptions;
using test::StreamResults;

/*! @brief What one process of a fleet does while, and after, it is out of step with the others. */
class OutOfStepFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutOfStepFleetTest);
    CPPUNIT_TEST(drainIsFollowedOnceBackInStepIn5Processes);
    CPPUNIT_TEST(drainIsFollowedOnceBackInStepIn30Processes);
    CPPUNIT_TEST(evacuationIsFollowedOnceBackInStepIn5Processes);
    CPPUNIT_TEST(evacuationIsFollowedOnceBackInStepIn30Processes);
    CPPUNIT_TEST(drainAndEvacuationAreFollowedOnceBackInStepIn300Processes);
    CPPUNIT_TEST(streamsStayAtTheirVersionIn5Processes);
    CPPUNIT_TEST(streamsStayAtTheirVersionIn30Processes);
    CPPUNIT_TEST(streamsStayAtTheirVersionIn300Processes);
    CPPUNIT_TEST(streamsContinueAtAProcessThatReadsRequestsFirst);
    CPPUNIT_TEST(streamsBegunAtAFormerVersionAreNotMixedIn5Processes);
    CPPUNIT_TEST(streamsBegunAtAFormerVersionAreNotMixedIn30Processes);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a drain that a process misses for good because it was out of step. */
    void drainIsFollowedOnceBackInStepIn5Processes()
    {
        checkSeeds(seedsOfSmallFleet, fleetOf5, [](const Draw &draw) { checkLeft(draw, drain); });
    }

    void drainIsFollowedOnceBackInStepIn30Processes()
    {
        checkSeeds(seedsOfMediumFleet, fleetOf30, [](const Draw &draw) { checkLeft(draw, drain); });
    }

    /*! @brief Guards against an evacuation that a process misses for good because it was out of step. */
    void evacuationIsFollowedOnceBackInStepIn5Processes()
    {
        checkSeeds(seedsOfSmallFleet, fleetOf5, [](const Draw &draw) { checkLeft(draw, evacuate); });
    }

    void evacuationIsFollowedOnceBackInStepIn30Processes()
    {
        checkSeeds(seedsOfMediumFleet, fleetOf30, [](const Draw &draw) { checkLeft(draw, evacuate); });
    }

    void drainAndEvacuationAreFollowedOnceBackInStepIn300Processes()
    {
        checkSeeds(1, fleetOf300, [](const Draw &draw) {
            checkLeft(draw, [](ServingFleet &fleet, std::size_t engine) {
                engine % 2 == 0 ? drain(fleet, engine) : evacuate(fleet, engine);
            });
        });
    }

    /*! @brief Guards against a stream of two versions that is resumed at a process whose list is out of date. */
    void streamsStayAtTheirVersionIn5Processes()
    {
        checkSeeds(seedsOfSmallFleet, fleetOf5, checkStreams);
    }

    void streamsStayAtTheirVersionIn30Processes()
    {
        checkSeeds(seedsOfMediumFleet, fleetOf30, checkStreams);
    }

    void streamsStayAtTheirVersionIn300Processes()
    {
        checkSeeds(1, fleetOf300, checkStreams);
    }

    /*! @brief Guards against taking peers for gone because their heartbeats were not read while the process stood. */
    void streamsContinueAtAProcessThatReadsRequestsFirst()
    {
        const auto check = [](Draw draw) {
            draw.kind = Kind::StoppedThenRequestsFirst;
            const StreamResults results = missVersion(draw);
            checkNotMixed(draw, results);
            checkContinued(draw, results);
        };
        checkSeeds(seedsOfSmallFleet, fleetOf5, check);
        checkSeeds(seedsOfMediumFleet, fleetOf30, check);
    }

    /*! @brief Guards against a process out of step that begins streams at a version which the others have forgotten. */
    void streamsBegunAtAFormerVersionAreNotMixedIn5Processes()
    {
        checkSeeds(seedsOfSmallFleet, fleetOf5, checkBegunStreams);
    }

    void streamsBegunAtAFormerVersionAreNotMixedIn30Processes()
    {
        checkSeeds(seedsOfMediumFleet, fleetOf30, checkBegunStreams);
    }

private:
    /*! @brief How a process comes to be out of step. */
    enum class Kind : std::uint8_t
    {
        CutFromStore,
        CutFromPeers,
        CutFromAll,
        Stopped,
        StoppedThenRequestsFirst,
        Late
    };

    static constexpr std::array<std::string_view, 6> kindNames{
        "cut from store", "cut from peers", "cut from all", "stopped", "stopped, then requests first", "late"};

    /*! @brief A fleet, and the process of it that is out of step. */
    struct Draw
    {
        ServingFleetOptions options;
        std::size_t process{};
        Kind kind{};

        [[nodiscard]] std::string text() const
        {
            return "seed " + std::to_string(options.seed) + ", process " + std::to_string(process) + " of "
                + std::to_string(options.processes) + " " + std::string{kindNames[static_cast<std::size_t>(kind)]};
        }
    };

    static constexpr ServingFleetOptions fleetOf5{.processes = 5, .callersResume = true};
    static constexpr ServingFleetOptions fleetOf30{.processes = 30, .engines = 24, .callersResume = true};
    static constexpr ServingFleetOptions fleetOf300{.processes = 300, .engines = 60, .callersResume = true};
    static constexpr std::uint64_t seedsOfSmallFleet = 20;
    static constexpr std::uint64_t seedsOfMediumFleet = 6;
    /*! @brief Longer than a stream can last. */
    static constexpr Duration startTime = seconds{12};
    static constexpr Duration timeOutOfStep = seconds{3};
    static constexpr Duration lateness = milliseconds{1500};

    static void checkSeeds(std::uint64_t seeds, ServingFleetOptions options,
                           const std::function<void(const Draw &)> &check)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            options.seed = seed;
            Random random{seed};
            Draw draw{options};
            draw.process = random.below(static_cast<std::uint32_t>(options.processes));
            draw.kind = static_cast<Kind>((seed + 1) % kindNames.size());
            check(draw);
        }
    }

    static void takeOutOfStep(ServingFleet &fleet, const Draw &draw)
    {
        setCut(fleet, draw, true);
        if (isStopped(draw.kind)) {
            fleet.stop(draw.process);
        } else if (draw.kind == Kind::Late) {
            fleet.setLateness(draw.process, lateness);
        }
    }

    static void bringBackInStep(ServingFleet &fleet, const Draw &draw)
    {
        setCut(fleet, draw, false);
        if (isStopped(draw.kind)) {
            fleet.continueProcess(draw.process,
                                  draw.kind == Kind::Stopped ? ServingFleet::Backlog::AsArrived
                                                             : ServingFleet::Backlog::RequestsFirst);
        }
        fleet.setLateness(draw.process, Duration::zero());
    }

    static void setCut(ServingFleet &fleet, const Draw &draw, bool isCut)
    {
        if (draw.kind == Kind::CutFromStore || draw.kind == Kind::CutFromAll) {
            fleet.setCutFromStore(draw.process, isCut);
        }
        if (draw.kind == Kind::CutFromPeers || draw.kind == Kind::CutFromAll) {
            fleet.setCutFromPeers(draw.process, isCut);
        }
    }

    [[nodiscard]] static bool isStopped(Kind kind)
    {
        return kind == Kind::Stopped || kind == Kind::StoppedThenRequestsFirst;
    }

    static void drain(ServingFleet &fleet, std::size_t engine)
    {
        fleet.setListedAsDraining(engine, true);
    }

    static void evacuate(ServingFleet &fleet, std::size_t engine)
    {
        fleet.setEvacuated(engine, true);
    }

    /*! @brief Checks that a process leaves engines that the list takes out of service while it is out of step. */
    static void checkLeft(const Draw &draw, const std::function<void(ServingFleet &, std::size_t)> &takeOut)
    {
        ServingFleet fleet{draw.options};
        fleet.run(seconds{5});
        takeOutOfStep(fleet, draw);
        fleet.run(milliseconds{200});
        const std::size_t leaving = draw.options.engines / 2;
        for (std::size_t engine = 0; engine < leaving; ++engine) {
            takeOut(fleet, engine);
        }
        send(fleet, draw.process, timeOutOfStep);
        bringBackInStep(fleet, draw);
        send(fleet, draw.process, seconds{2});
        const TimePoint from = fleet.now();
        send(fleet, draw.process, seconds{3});
        std::size_t toLeaving = 0;
        std::size_t toOthers = 0;
        for (std::size_t engine = 0; engine < draw.options.engines; ++engine) {
            (engine < leaving ? toLeaving : toOthers) += arrivals(fleet, draw.process, engine, from);
        }
        const std::string message = draw.text() + ": " + std::to_string(toLeaving) + " requests to engines that leave, "
            + std::to_string(toOthers) + " to others";
        CPPUNIT_ASSERT_MESSAGE(message, toLeaving == 0);
        CPPUNIT_ASSERT_MESSAGE(message, toOthers >= 100);
    }

    static void send(ServingFleet &fleet, std::size_t process, Duration time)
    {
        for (const TimePoint end = fleet.now() + time; fleet.now() < end; fleet.run(milliseconds{20})) {
            fleet.send(process, "/summary/1");
        }
    }

    [[nodiscard]] static std::size_t arrivals(const ServingFleet &fleet, std::size_t process, std::size_t engine,
                                              TimePoint from)
    {
        return static_cast<std::size_t>(std::ranges::count_if(fleet.arrivals(), [&](const EngineArrival &arrival) {
            return arrival.process == process && arrival.engine == fleet.engineInstance(engine) && arrival.at > from;
        }));
    }

    static void checkStreams(const Draw &draw)
    {
        const StreamResults results = missVersion(draw);
        checkNotMixed(draw, results);
        if (draw.kind == Kind::CutFromStore || draw.kind == Kind::Stopped) {
            checkContinued(draw, results);
        }
    }

    /*! @brief Engines of a version join while a process is out of step; then the streams of the others come to it. */
    [[nodiscard]] static StreamResults missVersion(const Draw &draw)
    {
        ServingFleet fleet{draw.options};
        fleet.run(startTime);
        takeOutOfStep(fleet, draw);
        for (std::size_t engine = 0; engine < draw.options.engines; engine += 2) {
            fleet.replaceEngine(engine, "v1");
        }
        fleet.run(milliseconds{2500});
        for (std::size_t sent = 0; sent < 60; ++sent) {
            fleet.send((draw.process + 1 + sent % (draw.options.processes - 1)) % draw.options.processes, "/summary/1",
                       {"prompt-" + std::to_string(sent)});
            fleet.run(milliseconds{10});
        }
        fleet.run(milliseconds{100});
        fleet.moveStreams(draw.process);
        fleet.run(isStopped(draw.kind) ? milliseconds{500} : milliseconds{2000});
        bringBackInStep(fleet, draw);
        fleet.run(seconds{6});
        return fleet.streams();
    }

    /*! @brief All engines of a version are removed from the list; a process that has missed this begins streams there.
     */
    static void checkBegunStreams(Draw draw)
    {
        draw.kind = Kind::CutFromAll;
        ServingFleet fleet{draw.options};
        for (std::size_t engine = 0; engine < draw.options.engines; engine += 2) {
            fleet.replaceEngine(engine, "v1");
        }
        fleet.run(startTime);
        takeOutOfStep(fleet, draw);
        fleet.run(milliseconds{200});
        for (std::size_t engine = 1; engine < draw.options.engines; engine += 2) {
            fleet.unlistEngine(engine);
        }
        fleet.run(startTime);
        for (std::size_t sent = 0; sent < 60; ++sent) {
            fleet.send(draw.process, "/summary/1", {"prompt-" + std::to_string(sent)});
            fleet.run(milliseconds{10});
        }
        fleet.run(milliseconds{100});
        fleet.moveStreams((draw.process + 1) % draw.options.processes);
        fleet.run(seconds{6});
        checkNotMixed(draw, fleet.streams());
    }

    static void checkNotMixed(const Draw &draw, const StreamResults &results)
    {
        CPPUNIT_ASSERT_MESSAGE(describe(draw, results), results.resumed >= 12);
        CPPUNIT_ASSERT_MESSAGE(describe(draw, results), results.mixed == 0);
    }

    static void checkContinued(const Draw &draw, const StreamResults &results)
    {
        CPPUNIT_ASSERT_MESSAGE(describe(draw, results), results.continued * 2 >= results.resumed);
    }

    [[nodiscard]] static std::string describe(const Draw &draw, const StreamResults &results)
    {
        return draw.text() + ": " + std::to_string(results.resumed) + " resumed, " + std::to_string(results.continued)
            + " continued, " + std::to_string(results.mixed) + " mixed";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutOfStepFleetTest);
