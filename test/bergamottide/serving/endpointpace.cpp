#include "bergamottide/serving/drainrate.h"
#include "bergamottide/serving/endpointnotices.h"
#include "bergamottide/serving/leastloaded.h"
#include "bergamottide/serving/stagescheduler.h"
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
