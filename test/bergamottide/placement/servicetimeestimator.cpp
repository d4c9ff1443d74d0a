#include "bergamottide/placement/servicetimeestimator.h"

#include "bergamottide/placement/quantilesketch.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using std::chrono::milliseconds;

class ServiceEstimatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceEstimatorTest);
    CPPUNIT_TEST(startsFromPriorAndLearns);
    CPPUNIT_TEST(isRobustToOutliers);
    CPPUNIT_TEST(distinguishesSizes);
    CPPUNIT_TEST(followsChangeOfLevel);
    CPPUNIT_TEST(sketchReturnsQuantiles);
    CPPUNIT_TEST_SUITE_END();

    PipelineName m_pipeline{"answer"};
    StageName m_stage{"generate"};
    KindName m_kind{"plain"};
    ServiceTimeEstimator m_estimator;

    [[nodiscard]] ServiceTimeKey key(double size) const
    {
        return {m_pipeline, m_stage, m_kind, size};
    }

    void learn(double size, Duration service, int times)
    {
        for (int sample = 0; sample < times; ++sample) {
            m_estimator.learn(key(size), service);
        }
    }

    void assertEstimateNear(Duration expected, double size)
    {
        const auto estimate = static_cast<double>(m_estimator.estimate(key(size), milliseconds{50}).count());
        const double ratio = estimate / static_cast<double>(expected.count());
        CPPUNIT_ASSERT(ratio > 0.75 && ratio < 1.34);
    }

public:
    void startsFromPriorAndLearns()
    {
        CPPUNIT_ASSERT(m_estimator.estimate(key(100), milliseconds{50}) == milliseconds{50});
        learn(100, milliseconds{400}, 40);
        assertEstimateNear(milliseconds{400}, 100);
    }

    void isRobustToOutliers()
    {
        for (int round = 0; round < 30; ++round) {
            learn(100, milliseconds{100}, 9);
            learn(100, std::chrono::minutes{10}, 1);
        }
        assertEstimateNear(milliseconds{100}, 100);
    }

    void distinguishesSizes()
    {
        for (int round = 0; round < 30; ++round) {
            learn(10, milliseconds{20}, 1);
            learn(1000, milliseconds{2000}, 1);
        }
        assertEstimateNear(milliseconds{20}, 10);
        assertEstimateNear(milliseconds{2000}, 1000);
    }

    void followsChangeOfLevel()
    {
        learn(100, milliseconds{100}, 200);
        learn(100, milliseconds{800}, 100);
        assertEstimateNear(milliseconds{800}, 100);
    }

    void sketchReturnsQuantiles()
    {
        QuantileSketch sketch;
        CPPUNIT_ASSERT(!sketch.quantile(0.98));
        for (int value = 1; value <= 100; ++value) {
            sketch.add(value <= 95 ? 1.0 : 8.0);
        }
        CPPUNIT_ASSERT(*sketch.quantile(0.9) < 1.3);
        CPPUNIT_ASSERT(*sketch.quantile(0.98) >= 8.0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceEstimatorTest);
