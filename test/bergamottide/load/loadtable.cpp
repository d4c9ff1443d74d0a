#include "bergamottide/load/loadtable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>

using namespace bergamottide;
using namespace bergamottide::load;

/*! @brief Expected load and pace of endpoints. */
class LoadTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadTableTest);
    CPPUNIT_TEST(unknownEndpointHasUsualPaceAndNoLoad);
    CPPUNIT_TEST(recentReportCounts);
    CPPUNIT_TEST(oldReportGivesWayToTheMean);
    CPPUNIT_TEST(endpointWithoutReportsForLongIsUnknown);
    CPPUNIT_TEST(ownRequestsAreNotCountedAsOthers);
    CPPUNIT_TEST(meanPaceCoversTheEndpointsThatReportOne);
    CPPUNIT_TEST(restartDiscardsAllReports);
    CPPUNIT_TEST(unlistedEndpointsAreDiscarded);
    CPPUNIT_TEST(poolsAreSeparate);
    CPPUNIT_TEST(impossiblePaceIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknownEndpointHasUsualPaceAndNoLoad()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, m_table.expectedPace(m_pool, m_first, m_now));
        CPPUNIT_ASSERT_EQUAL(0.0, m_table.expectedOthers(m_pool, m_first, m_now));
        CPPUNIT_ASSERT_EQUAL(1.0, m_table.meanPace(m_pool));
    }

    void recentReportCounts()
    {
        record(m_first, 1.0, 2);
        m_now += std::chrono::seconds{1};
        record(m_first, 3.0, 6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, m_table.expectedPace(m_pool, m_first, m_now), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, m_table.expectedOthers(m_pool, m_first, m_now), 0.1);
    }

    /*! @brief Guards against the use of a single high report long after it was made. */
    void oldReportGivesWayToTheMean()
    {
        for (int index = 0; index < 100; ++index) {
            record(m_first, 1.0, 2);
            m_now += std::chrono::milliseconds{100};
        }
        record(m_first, 3.0, 6);
        m_now += std::chrono::seconds{20};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_table.expectedPace(m_pool, m_first, m_now), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, m_table.expectedOthers(m_pool, m_first, m_now), 0.1);
    }

    void endpointWithoutReportsForLongIsUnknown()
    {
        record(m_first, 3.0, 6);
        m_now += std::chrono::minutes{1};
        CPPUNIT_ASSERT_EQUAL(1.0, m_table.expectedPace(m_pool, m_first, m_now));
        CPPUNIT_ASSERT_EQUAL(0.0, m_table.expectedOthers(m_pool, m_first, m_now));
    }

    /*! @brief Guards against counting the requests of this process twice. */
    void ownRequestsAreNotCountedAsOthers()
    {
        m_table.record(m_pool, m_first, 1, {5, 2, 6, 1.0}, 3, m_now);
        CPPUNIT_ASSERT_EQUAL(4.0, m_table.expectedOthers(m_pool, m_first, m_now));
        m_table.record(m_pool, m_second, 1, {1, 0, 6, 1.0}, 3, m_now);
        CPPUNIT_ASSERT_EQUAL(0.0, m_table.expectedOthers(m_pool, m_second, m_now));
    }

    void meanPaceCoversTheEndpointsThatReportOne()
    {
        record(m_first, 1.0, 0);
        record(m_second, 2.0, 0);
        record(InstanceName{"third"}, std::nullopt, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, m_table.meanPace(m_pool), 1e-9);
    }

    /*! @brief Guards against judging a restarted endpoint by its predecessor. */
    void restartDiscardsAllReports()
    {
        record(m_first, 5.0, 60);
        m_table.retain({{m_first, 2}});
        CPPUNIT_ASSERT_EQUAL(1.0, m_table.expectedPace(m_pool, m_first, m_now));
        CPPUNIT_ASSERT_EQUAL(0.0, m_table.expectedOthers(m_pool, m_first, m_now));
        CPPUNIT_ASSERT_EQUAL(1.0, m_table.meanPace(m_pool));
        record(m_first, 5.0, 60);
        m_table.record(m_pool, m_first, 2, {0, 0, 6, 1.0}, 0, m_now);
        m_now += std::chrono::seconds{10};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_table.expectedPace(m_pool, m_first, m_now), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, m_table.expectedOthers(m_pool, m_first, m_now), 1e-9);
    }

    void unlistedEndpointsAreDiscarded()
    {
        record(m_first, 2.0, 3);
        record(m_second, 2.0, 3);
        m_table.retain({{m_first, 1}});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, m_table.expectedPace(m_pool, m_first, m_now), 1e-9);
        CPPUNIT_ASSERT_EQUAL(1.0, m_table.expectedPace(m_pool, m_second, m_now));
    }

    void poolsAreSeparate()
    {
        record(m_first, 2.0, 3);
        CPPUNIT_ASSERT_EQUAL(1.0, m_table.expectedPace(PoolName{"other"}, m_first, m_now));
        CPPUNIT_ASSERT_EQUAL(1.0, m_table.meanPace(PoolName{"other"}));
    }

    /*! @brief Guards against an endpoint that attracts or repels all work by a wrong report. */
    void impossiblePaceIsBounded()
    {
        record(m_first, 1e-9, 0);
        record(m_second, 1e9, 0);
        CPPUNIT_ASSERT(m_table.expectedPace(m_pool, m_first, m_now) > 0.01);
        CPPUNIT_ASSERT(m_table.expectedPace(m_pool, m_second, m_now) < 100.0);
    }

private:
    void record(const InstanceName &instance, std::optional<double> pace, std::uint32_t running)
    {
        m_table.record(m_pool, instance, 1, {running, 0, 6, pace}, 0, m_now);
    }

    const PoolName m_pool{"plain"};
    const InstanceName m_first{"first"};
    const InstanceName m_second{"second"};
    LoadTable m_table;
    TimePoint m_now{std::chrono::seconds{100}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTableTest);
