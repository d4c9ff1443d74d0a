#include "servingfixture.h"

#include "bergamottide/stages/poolload.h"
#include "bergamottide/stages/stageforecast.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;
using std::chrono::milliseconds;

/*! @brief Forecast of the duration of a request's stages, and the load statistics that it uses. */
class StageForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StageForecastTest);
    CPPUNIT_TEST(idlePoolsAddNoWait);
    CPPUNIT_TEST(callsOfManyItemsTakeLonger);
    CPPUNIT_TEST(upcomingWorkDelaysLaterStagesOnly);
    CPPUNIT_TEST(queueDrainsBeforeALaterStageStarts);
    CPPUNIT_TEST(poolWithoutEndpointsHasNoForecast);
    CPPUNIT_TEST(itemsPerCallAreAveragedUnderABacklog);
    CPPUNIT_TEST(onlyMoreUrgentArrivalsCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void idlePoolsAddNoWait()
    {
        CPPUNIT_ASSERT_EQUAL(microseconds(milliseconds{160 + 210}), forecast());
    }

    void callsOfManyItemsTakeLonger()
    {
        m_estimates["encoders"].itemsPerCall = 5.0;
        CPPUNIT_ASSERT_EQUAL(microseconds(milliseconds{200 + 210}), forecast());
    }

    void upcomingWorkDelaysLaterStagesOnly()
    {
        for (const char *pool : {"encoders", "rerankers"}) {
            m_estimates[pool].timePerPiece = milliseconds{20};
            m_estimates[pool].upcomingPieces = 20;
        }
        // Upcoming work of 400 ms is queued at the second pool before this request reaches it in 160 ms.
        CPPUNIT_ASSERT_EQUAL(microseconds(milliseconds{160 + 240 + 210}), forecast());
    }

    void queueDrainsBeforeALaterStageStarts()
    {
        m_estimates["rerankers"].wait = milliseconds{100};
        CPPUNIT_ASSERT_EQUAL(microseconds(milliseconds{160 + 210}), forecast());
        m_estimates["rerankers"].wait = milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(microseconds(milliseconds{160 + 40 + 210}), forecast());
    }

    void poolWithoutEndpointsHasNoForecast()
    {
        m_estimates.erase("rerankers");
        CPPUNIT_ASSERT(!forecast());
    }

    void itemsPerCallAreAveragedUnderABacklog()
    {
        const BatchSpec spec = ServingFixture::batch();
        PoolLoad load;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, load.backlogItemsPerCall(spec), 0.01);
        for (int call = 0; call < 100; ++call) {
            load.recordCall(spec, 2, 2);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, load.backlogItemsPerCall(spec), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, load.itemsPerCall(), 0.01);
        for (int call = 0; call < 100; ++call) {
            load.recordCall(spec, 6, 30);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, load.backlogItemsPerCall(spec), 0.01);
    }

    void onlyMoreUrgentArrivalsCount()
    {
        PoolLoad load;
        TimePoint now{std::chrono::seconds{100}};
        for (int task = 0; task < 100; ++task) {
            load.recordArrival(0, 3, now);
            load.recordArrival(1, 5, now);
            now += milliseconds{100};
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, load.moreUrgentArrivalRate(0, now), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30.0, load.moreUrgentArrivalRate(1, now), 3.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, load.moreUrgentArrivalRate(2, now), 8.0);
    }

private:
    [[nodiscard]] static std::int64_t microseconds(milliseconds value)
    {
        return std::chrono::duration_cast<Duration>(value).count();
    }

    /*! @brief Returns the forecast of one piece in the first stage and six in the second, in microseconds. */
    [[nodiscard]] std::int64_t forecast() const
    {
        const StageForecast stageForecast{*m_catalog, [this](const PoolName &pool, int) -> std::optional<PoolEstimate> {
                                              const auto found = m_estimates.find(pool.text());
                                              return found == m_estimates.end() ? std::nullopt
                                                                                : std::optional{found->second};
                                          }};
        const Route *route = m_catalog->findRoute("example", "/report/1");
        const auto sum = stageForecast.totalDuration(*route, {1, 6}, 0);
        return sum ? sum->count() : 0;
    }

    std::shared_ptr<const Catalog> m_catalog{ServingFixture::catalog()};
    std::map<std::string, PoolEstimate> m_estimates{{"encoders", {}}, {"rerankers", {}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StageForecastTest);
