#include "servingfixture.h"

#include "bergamottide/serving/poolload.h"
#include "bergamottide/serving/stageforecast.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;
using std::chrono::milliseconds;

/*! @brief What is expected of a request's stages when it arrives. */
class StageForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StageForecastTest);
    CPPUNIT_TEST(idlePoolsTakeTheTimeOfTheirCalls);
    CPPUNIT_TEST(callsOfManyItemsTakeLonger);
    CPPUNIT_TEST(workOnItsWayLengthensLaterStagesOnly);
    CPPUNIT_TEST(queueIsWorkedOffBeforeALaterStageBegins);
    CPPUNIT_TEST(poolWithoutEndpointsHasNoForecast);
    CPPUNIT_TEST(fillIsLearntFromCallsUnderABacklog);
    CPPUNIT_TEST(onlyMoreUrgentArrivalsCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void idlePoolsTakeTheTimeOfTheirCalls()
    {
        CPPUNIT_ASSERT_EQUAL(time(milliseconds{160 + 210}), forecast());
    }

    void callsOfManyItemsTakeLonger()
    {
        m_outlooks["encoders"].items = 5.0;
        CPPUNIT_ASSERT_EQUAL(time(milliseconds{200 + 210}), forecast());
    }

    void workOnItsWayLengthensLaterStagesOnly()
    {
        for (const char *pool : {"encoders", "rerankers"}) {
            m_outlooks[pool].perPiece = milliseconds{20};
            m_outlooks[pool].upcoming = 20;
        }
        // 400 ms of work reach the second pool before this request does, 160 ms from now.
        CPPUNIT_ASSERT_EQUAL(time(milliseconds{160 + 240 + 210}), forecast());
    }

    void queueIsWorkedOffBeforeALaterStageBegins()
    {
        m_outlooks["rerankers"].wait = milliseconds{100};
        CPPUNIT_ASSERT_EQUAL(time(milliseconds{160 + 210}), forecast());
        m_outlooks["rerankers"].wait = milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(time(milliseconds{160 + 40 + 210}), forecast());
    }

    void poolWithoutEndpointsHasNoForecast()
    {
        m_outlooks.erase("rerankers");
        CPPUNIT_ASSERT(!forecast());
    }

    void fillIsLearntFromCallsUnderABacklog()
    {
        const BatchSpec spec = ServingFixture::batch();
        PoolLoad load;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, load.fill(spec), 0.01);
        for (int call = 0; call < 100; ++call) {
            load.noteCall(spec, 2, 2);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, load.fill(spec), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, load.items(), 0.01);
        for (int call = 0; call < 100; ++call) {
            load.noteCall(spec, 6, 30);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, load.fill(spec), 0.01);
    }

    void onlyMoreUrgentArrivalsCount()
    {
        PoolLoad load;
        TimePoint now{std::chrono::seconds{100}};
        for (int task = 0; task < 100; ++task) {
            load.noteArrival(0, 3, now);
            load.noteArrival(1, 5, now);
            now += milliseconds{100};
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, load.urgentRate(0, now), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30.0, load.urgentRate(1, now), 3.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, load.urgentRate(2, now), 8.0);
    }

private:
    [[nodiscard]] static std::int64_t time(milliseconds value)
    {
        return std::chrono::duration_cast<Duration>(value).count();
    }

    /*! @brief Forecasts a request with one piece of the first stage and six of the second, in microseconds. */
    [[nodiscard]] std::int64_t forecast() const
    {
        const StageForecast made{*m_catalog, [this](const PoolName &pool, int) -> std::optional<PoolOutlook> {
                                     const auto found = m_outlooks.find(pool.text());
                                     return found == m_outlooks.end() ? std::nullopt : std::optional{found->second};
                                 }};
        const Route *route = m_catalog->find("example", "/report/1");
        const auto sum = made.allStages(*route, {1, 6}, 0);
        return sum ? sum->count() : 0;
    }

    std::shared_ptr<const Catalog> m_catalog{ServingFixture::catalog()};
    std::map<std::string, PoolOutlook> m_outlooks{{"encoders", {}}, {"rerankers", {}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StageForecastTest);
