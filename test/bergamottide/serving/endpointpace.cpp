#include "bergamottide/pools/endpointnotices.h"
#include "bergamottide/pools/leastloaded.h"
#include "bergamottide/stages/drainrate.h"
#include "bergamottide/stages/stagescheduler.h"
#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::ServingFixture;

namespace {

EndpointNotice loadNotice(std::uint32_t running, std::optional<double> pace)
{
    EndpointNotice notice;
    notice.load = EndpointLoad{running, 0, 4, pace};
    return notice;
}

std::size_t countLines(const Effects &effects, const std::string &text)
{
    return static_cast<std::size_t>(std::ranges::count_if(effects, [&text](const Effect &effect) {
        const auto *line = std::get_if<LogLine>(&effect);
        return line != nullptr && line->text == text;
    }));
}

std::vector<Observe> observed(const Effects &effects, Metric metric)
{
    std::vector<Observe> out;
    for (const Effect &effect : effects) {
        if (const auto *observe = std::get_if<Observe>(&effect); observe != nullptr && observe->metric == metric) {
            out.push_back(*observe);
        }
    }
    return out;
}

} // namespace

/*! @brief Loads and paces that endpoints report to a process. */
class EndpointReportsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointReportsTest);
    CPPUNIT_TEST(restartUnderTheSameNameLosesLoadAndPace);
    CPPUNIT_TEST(unlistedEndpointLosesLoadAndPace);
    CPPUNIT_TEST(updateWithoutARestartKeepsLoadAndPace);
    CPPUNIT_TEST(malformedHeaderIsLoggedOnceAndCountedEachTime);
    CPPUNIT_TEST(malformedHeaderIsLoggedAgainAfterARestart);
    CPPUNIT_TEST(firstPaceOfAPoolIsLoggedOnceAndEachOneObserved);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        list(1);
    }

    /*! @brief Guards against judging a restarted endpoint by its predecessor. */
    void restartUnderTheSameNameLosesLoadAndPace()
    {
        record(loadNotice(9, 5.0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, pace(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9.0, others(), 1e-9);
        CPPUNIT_ASSERT(m_endpoints.reportsPace(m_pool));
        list(2);
        CPPUNIT_ASSERT_EQUAL(1.0, pace());
        CPPUNIT_ASSERT_EQUAL(0.0, others());
        CPPUNIT_ASSERT_EQUAL(1.0, m_endpoints.loads().meanPace(m_pool));
        CPPUNIT_ASSERT(!m_endpoints.reportsPace(m_pool));
        CPPUNIT_ASSERT_EQUAL(0U, m_endpoints.find(m_instance)->load.running);
    }

    /*! @brief Guards against state that outlives an endpoint while its last requests are in progress. */
    void unlistedEndpointLosesLoadAndPace()
    {
        m_endpoints.recordStart(m_instance);
        record(loadNotice(9, 5.0));
        m_endpoints.update({}, m_now, m_effects);
        record(loadNotice(9, 5.0));
        CPPUNIT_ASSERT_EQUAL(1.0, pace());
        CPPUNIT_ASSERT_EQUAL(0.0, others());
    }

    void updateWithoutARestartKeepsLoadAndPace()
    {
        record(loadNotice(9, 5.0));
        list(1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, pace(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9.0, others(), 1e-9);
    }

    /*! @brief Guards against a log line for every response of an endpoint. */
    void malformedHeaderIsLoggedOnceAndCountedEachTime()
    {
        record(loadNotice(2, 1.5));
        for (int count = 0; count < 3; ++count) {
            record(malformed({"load"}));
        }
        record(malformed({"load", "limit"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, countLines(m_effects, "Header of an endpoint ignored."));
        const auto counts = observed(m_effects, Metric::MalformedHeadersTotal);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, counts.size());
        CPPUNIT_ASSERT(counts.back().labels == (std::vector<std::string>{"encoders", "limit"}));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, pace(), 1e-9);
    }

    void malformedHeaderIsLoggedAgainAfterARestart()
    {
        record(malformed({"load"}));
        list(1);
        record(malformed({"load"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countLines(m_effects, "Header of an endpoint ignored."));
        list(2);
        record(malformed({"load"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, countLines(m_effects, "Header of an endpoint ignored."));
    }

    void firstPaceOfAPoolIsLoggedOnceAndEachOneObserved()
    {
        record(loadNotice(1, std::nullopt));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countLines(m_effects, paceLine));
        record(loadNotice(1, 1.25));
        record(loadNotice(1, 3.0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countLines(m_effects, paceLine));
        const auto paces = observed(m_effects, Metric::EndpointPace);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, paces.size());
        CPPUNIT_ASSERT_EQUAL(3.0, paces.back().value);
        CPPUNIT_ASSERT(paces.back().labels == std::vector<std::string>{"encoders"});
    }

private:
    static constexpr const char *paceLine = "Pool reports the pace of its endpoints.";

    void list(std::uint64_t incarnation)
    {
        EndpointRecord record{m_instance, m_pool, "10.0.0.1:1", ZoneName{"a"}, 1, false};
        record.incarnation = incarnation;
        m_endpoints.update({record}, m_now, m_effects);
        m_notices.updateEndpoints(m_now, m_effects);
    }

    void record(const EndpointNotice &notice)
    {
        m_notices.record(m_instance, notice, m_now, m_effects);
    }

    static EndpointNotice malformed(std::vector<std::string> headers)
    {
        EndpointNotice notice;
        notice.malformedHeaders = std::move(headers);
        return notice;
    }

    [[nodiscard]] double pace() const
    {
        return m_endpoints.loads().expectedPace(m_pool, m_instance, m_now);
    }

    [[nodiscard]] double others() const
    {
        return m_endpoints.loads().expectedOthers(m_pool, m_instance, m_now);
    }

    const PoolName m_pool{"encoders"};
    const InstanceName m_instance{"encoder-1"};
    TimePoint m_now{std::chrono::seconds{100}};
    Effects m_effects;
    EndpointRegistry m_endpoints;
    GossipClock m_clock{0};
    EndpointNotices m_notices{m_clock, m_endpoints};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointReportsTest);

/*! @brief Plain calls and generations of pools that report a pace, and of pools that do not. */
class RunsByPaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunsByPaceTest);
    CPPUNIT_TEST(plainCallGoesToTheFasterEndpoint);
    CPPUNIT_TEST(plainCallOfAPoolWithoutPaceIsPlacedAsBefore);
    CPPUNIT_TEST(failedPlainCallIsNotSentToTheSameEndpoint);
    CPPUNIT_TEST(generationGoesToTheFasterEngine);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against calls to an endpoint that takes three times as long and is as idle as another one. */
    void plainCallGoesToTheFasterEndpoint()
    {
        CPPUNIT_ASSERT_EQUAL(attempts, choicesOf("/order/1", "desk-1", 3.0, "desk-2", 1.0)[InstanceName{"desk-2"}]);
        CPPUNIT_ASSERT_EQUAL(attempts, choicesOf("/order/1", "desk-2", 3.0, "desk-1", 1.0)[InstanceName{"desk-1"}]);
    }

    /*! @brief Guards against a change for deployments whose endpoints report no pace. */
    void plainCallOfAPoolWithoutPaceIsPlacedAsBefore()
    {
        const bool isHeld = rc::check([](std::uint8_t first, std::uint8_t second, std::uint8_t age) {
            ServingFixture fixture;
            EndpointRegistry expected;
            Effects ignored;
            expected.update(*ServingFixture::endpoints(), fixture.now(), ignored);
            for (const auto &[name, running] :
                 std::map<std::string, std::uint8_t>{{"desk-1", first}, {"desk-2", second}}) {
                fixture.apply(EndpointResponded{InstanceName{name}, loadNotice(running, std::nullopt)});
                expected.recordLoad(InstanceName{name}, {running, 0, 4, std::nullopt}, fixture.now());
            }
            fixture.advanceClock(std::chrono::seconds{age});
            fixture.apply(fixture.arrival("/order/1", 1));
            const auto *run = fixture.effect<StartRun>();
            RC_ASSERT(run != nullptr);
            const Endpoint *chosen = pickLeastLoaded(expected.usable(PoolName{"desk"}, fixture.now()), {}, "attempt-1");
            RC_ASSERT(run->instance == chosen->record.instance);
        });
        CPPUNIT_ASSERT(isHeld);
    }

    void failedPlainCallIsNotSentToTheSameEndpoint()
    {
        ServingFixture fixture;
        fixture.apply(EndpointResponded{InstanceName{"desk-1"}, loadNotice(0, 3.0)});
        fixture.apply(EndpointResponded{InstanceName{"desk-2"}, loadNotice(0, 1.0)});
        fixture.apply(fixture.arrival("/lookup/1", 1));
        const StartRun first = *fixture.effect<StartRun>();
        CPPUNIT_ASSERT_EQUAL(InstanceName{"desk-2"}, first.instance);
        fixture.apply(RunFailed{first.run, RunFailure::ConnectFailed});
        CPPUNIT_ASSERT_EQUAL(InstanceName{"desk-1"}, fixture.effect<StartRun>()->instance);
    }

    /*! @brief Guards against generations that wait for a slow engine while another one is idle. */
    void generationGoesToTheFasterEngine()
    {
        CPPUNIT_ASSERT_EQUAL(attempts,
                             choicesOf("/chat/1", "engine-1", 3.0, "engine-2", 1.0)[InstanceName{"engine-2"}]);
        CPPUNIT_ASSERT_EQUAL(attempts,
                             choicesOf("/chat/1", "engine-2", 3.0, "engine-1", 1.0)[InstanceName{"engine-1"}]);
    }

private:
    static constexpr int attempts = 12;

    /*! @brief Returns how often each endpoint is chosen for the first request of a process. */
    static std::map<InstanceName, int> choicesOf(const std::string &path, const std::string &first, double firstPace,
                                                 const std::string &second, double secondPace)
    {
        std::map<InstanceName, int> out;
        for (std::uint64_t call = 1; call <= attempts; ++call) {
            ServingFixture fixture;
            fixture.apply(EndpointResponded{InstanceName{first}, loadNotice(0, firstPace)});
            fixture.apply(EndpointResponded{InstanceName{second}, loadNotice(0, secondPace)});
            RequestArrived arrival = fixture.arrival(path, call);
            arrival.request.prompt = {{"part-" + std::to_string(call), 1000}};
            fixture.apply(arrival);
            CPPUNIT_ASSERT(fixture.effect<StartRun>() != nullptr);
            ++out[fixture.effect<StartRun>()->instance];
        }
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunsByPaceTest);

/*! @brief Stage calls to pools that report a pace. */
class StageCallsByPaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StageCallsByPaceTest);
    CPPUNIT_TEST(equalCallIsSentToTheFasterEndpoint);
    CPPUNIT_TEST(paceAndSlownessAreMultiplied);
    CPPUNIT_TEST(paceIsNotCountedAsSlownessToo);
    CPPUNIT_TEST(callAtAFastPaceTimesOutNoSooner);
    CPPUNIT_TEST(queueOfASlowPoolDrainsSlowly);
    CPPUNIT_TEST(moreRequestsAreOnTimeWhileOtherEndpointsTurnSlow);
    CPPUNIT_TEST_SUITE_END();

public:
    void equalCallIsSentToTheFasterEndpoint()
    {
        for (const bool isFirstFaster : {true, false}) {
            Process process{2};
            process.report(0, isFirstFaster ? 1.0 : 1.5);
            process.report(1, isFirstFaster ? 1.5 : 1.0);
            process.submit(1, 4);
            CPPUNIT_ASSERT_EQUAL(nameOf(isFirstFaster ? 0 : 1), process.dispatch().front().instance);
        }
    }

    void paceAndSlownessAreMultiplied()
    {
        Process process{2};
        process.report(0, 1.0);
        process.report(1, 1.4);
        process.endpoints.find(nameOf(0))->slowness = 1.8;
        process.endpoints.find(nameOf(0))->slownessUpdatedAt = process.now;
        process.submit(1, 4);
        CPPUNIT_ASSERT_EQUAL(nameOf(1), process.dispatch().front().instance);
    }

    /*! @brief Guards against an endpoint of pace 2 that counts as four times as slow. */
    void paceIsNotCountedAsSlownessToo()
    {
        Process process{1};
        process.report(0, 2.0);
        process.submit(1, 8);
        const auto calls = process.dispatch();
        process.now += 2 * (std::chrono::milliseconds{150} + 8 * std::chrono::milliseconds{10});
        process.answer(calls.front());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, process.endpoints.find(nameOf(0))->slowness, 0.05);
    }

    /*! @brief Guards against calls that are cancelled since a fast endpoint has become a usual one. */
    void callAtAFastPaceTimesOutNoSooner()
    {
        Process process{1};
        process.report(0, 0.2);
        process.submit(1, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, process.dispatch().size());
        process.now += 3 * (std::chrono::milliseconds{150} + 8 * std::chrono::milliseconds{10});
        process.effects.clear();
        process.scheduler.handleTimeouts(process.now, process.effects);
        CPPUNIT_ASSERT(std::ranges::none_of(
            process.effects, [](const Effect &effect) { return std::holds_alternative<CancelStageCall>(effect); }));
    }

    /*! @brief Guards against a forecast that admits requests as if a slowed pool had its usual speed. */
    void queueOfASlowPoolDrainsSlowly()
    {
        Process process{3};
        const Duration usual = process.waitBehind(48);
        for (std::size_t index = 0; index < 3; ++index) {
            process.report(index, 2.0);
        }
        const double ratio = static_cast<double>(process.waitBehind(48).count()) / static_cast<double>(usual.count());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, ratio, 0.1);
    }

    /*!
     * @brief Guards against calls to endpoints that have just turned slow, while faster ones are idle.
     *
     * A third of six endpoints takes three times as long, other ones after each second. The load is half of what the
     * pool serves.
     */
    void moreRequestsAreOnTimeWhileOtherEndpointsTurnSlow()
    {
        const int with = servedOnTime(true);
        const int without = servedOnTime(false);
        CPPUNIT_ASSERT(with > without);
    }

private:
    static InstanceName nameOf(std::size_t index)
    {
        return InstanceName{"encoder-" + std::to_string(index)};
    }

    /*! @brief Scheduler of one process. */
    struct Process
    {
        explicit Process(std::size_t count)
        {
            EndpointList list;
            for (std::size_t index = 0; index < count; ++index) {
                list.push_back({nameOf(index), pool, "10.0.0.1:1", ZoneName{"a"}, 1, false});
            }
            endpoints.update(list, now, effects);
        }

        void report(std::size_t index, double pace)
        {
            endpoints.recordLoad(nameOf(index), {0, 0, 1, pace}, now);
        }

        void submit(std::uint64_t id, std::uint32_t pieces)
        {
            StageTask task;
            task.id = StageTaskId{id};
            task.pool = pool;
            task.latestStart = now + std::chrono::seconds{1};
            task.deadline = now + std::chrono::seconds{20};
            task.attempt = "attempt-" + std::to_string(id);
            task.pieces = pieces;
            task.inputKey = "input";
            scheduler.submit(std::move(task), now);
        }

        std::vector<StartStageCall> dispatch()
        {
            effects.clear();
            scheduler.dispatch(*catalog, now, effects);
            std::vector<StartStageCall> calls;
            for (const Effect &effect : effects) {
                if (const auto *call = std::get_if<StartStageCall>(&effect)) {
                    calls.push_back(*call);
                }
            }
            return calls;
        }

        void answer(const StartStageCall &call)
        {
            StageCallEnded ended{call.call, StageCallStatus::Answered, {}};
            for (std::size_t item = 0; item < call.items.size(); ++item) {
                ended.results.push_back({std::to_string(nextHandle++), PieceFailure::None});
            }
            scheduler.handleCallEnded(ended, now, effects);
        }

        [[nodiscard]] Duration waitBehind(std::size_t pieces)
        {
            const BatchSpec &spec = *catalog->findPool(pool)->batch;
            return DrainRate{spec, endpoints.usable(pool, now), endpoints.loads(), Duration::zero(), 8.0, now}
                .waitBehind(pieces);
        }

        PoolName pool{"encoders"};
        TimePoint now{std::chrono::seconds{100}};
        Effects effects;
        std::shared_ptr<const Catalog> catalog{ServingFixture::catalog()};
        EndpointRegistry endpoints;
        RetryBudget budget{{.ratio = 0.0, .slack = 3.0, .window = std::chrono::seconds{10}, .assumedProcesses = 1}};
        FetchPaths paths;
        RateLimiter rateLimiter{[](const InstanceName &, std::uint32_t, TimePoint) {
            return 0U;
        }};
        StageScheduler scheduler{endpoints, budget, rateLimiter, paths, [](const StoredResult &) {
                                     return false;
                                 }};
        std::uint64_t nextHandle{};
    };

    /*! @brief Returns the number of requests that are complete within 400 ms, about twice the time of a usual call. */
    static int servedOnTime(bool reportsPace)
    {
        constexpr std::size_t count = 6;
        constexpr Duration step = std::chrono::milliseconds{5};
        constexpr Duration end = std::chrono::seconds{20};
        constexpr Duration objective = std::chrono::milliseconds{400};
        constexpr Duration healthPeriod = std::chrono::milliseconds{100};
        Process process{count};
        const TimePoint start = process.now;
        std::map<std::string, TimePoint> arrivals;
        std::multimap<TimePoint, StartStageCall> running;
        const auto paceOf = [&process](std::size_t index) {
            const auto second =
                std::chrono::duration_cast<std::chrono::seconds>(process.now.time_since_epoch()).count();
            return (index + static_cast<std::size_t>(second)) % 3 == 0 ? 3.0 : 1.0;
        };
        int onTime = 0;
        std::uint64_t id = 0;
        for (; process.now < start + end; process.now += step) {
            const Duration elapsed = process.now - start;
            for (std::size_t index = 0; reportsPace && elapsed % healthPeriod == Duration::zero() && index < count;
                 ++index) {
                process.report(index, paceOf(index));
            }
            while (!running.empty() && running.begin()->first <= process.now) {
                const StartStageCall call = running.begin()->second;
                running.erase(running.begin());
                process.answer(call);
                for (const StageItem &item : call.items) {
                    onTime += item.piece == 0 && process.now - arrivals[item.attempt] <= objective ? 1 : 0;
                }
            }
            if (elapsed % std::chrono::milliseconds{100} == Duration::zero()) {
                process.submit(++id, 4);
                arrivals["attempt-" + std::to_string(id)] = process.now;
            }
            for (const StartStageCall &call : process.dispatch()) {
                const auto index = static_cast<std::size_t>(std::stoi(call.instance.text().substr(8)));
                const Duration usual =
                    std::chrono::milliseconds{150 + 10 * static_cast<std::int64_t>(call.items.size())};
                running.emplace(process.now + scaled(usual, paceOf(index)), call);
            }
        }
        return onTime;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StageCallsByPaceTest);
