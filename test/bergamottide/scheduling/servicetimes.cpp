#include "bergamottide/scheduling/servicetimes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

using namespace bergamottide;
using namespace std::chrono_literals;

namespace {

ServiceClass classOf(const std::string &kind)
{
    return {PipelineName{"p"}, StageName{"s"}, ModelName{"m"}, KindName{kind}};
}

} // namespace

class ServiceTimesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServiceTimesTest);
    CPPUNIT_TEST(learnsInterceptAndSlope);
    CPPUNIT_TEST(unknownKindFallsBackToItsStage);
    CPPUNIT_TEST(givesNoEstimateFromFewSamples);
    CPPUNIT_TEST(outlierHasLittleEffect);
    CPPUNIT_TEST(followsLastingChange);
    CPPUNIT_TEST_SUITE_END();

public:
    void learnsInterceptAndSlope()
    {
        ServiceTimes times;
        std::mt19937 random{1};
        for (int sample = 0; sample < 500; ++sample) {
            const double size = 10.0 + static_cast<double>(random() % 190);
            const double noise = 0.9 + 0.2 * static_cast<double>(random() % 1000) / 1000.0;
            times.learn(classOf("k"), size, Duration{std::llround((20000.0 + 1000.0 * size) * noise)});
        }
        for (const double size : {20.0, 100.0, 180.0}) {
            const double expected = 20000.0 + 1000.0 * size;
            const auto estimate = static_cast<double>(times.estimate(classOf("k"), size)->count());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, estimate, 0.1 * expected);
        }
    }

    void unknownKindFallsBackToItsStage()
    {
        ServiceTimes times;
        for (int sample = 0; sample < 20; ++sample) {
            times.learn(classOf("k"), 1.0, 50ms);
        }
        CPPUNIT_ASSERT(times.estimate(classOf("other"), 1.0) == 50ms);
        CPPUNIT_ASSERT(!times.estimate({PipelineName{"q"}, StageName{"s"}, ModelName{"m"}, KindName{"k"}}, 1.0));
    }

    void givesNoEstimateFromFewSamples()
    {
        ServiceTimes times;
        for (int sample = 0; sample < 7; ++sample) {
            times.learn(classOf("k"), 1.0, 50ms);
            CPPUNIT_ASSERT(!times.estimate(classOf("k"), 1.0));
        }
        times.learn(classOf("k"), 1.0, 50ms);
        CPPUNIT_ASSERT(times.estimate(classOf("k"), 1.0));
    }

    void outlierHasLittleEffect()
    {
        ServiceTimes times;
        for (int sample = 0; sample < 100; ++sample) {
            times.learn(classOf("k"), 1.0, 50ms + Duration{sample % 5 * 1000});
        }
        times.learn(classOf("k"), 1.0, 60s);
        CPPUNIT_ASSERT(*times.estimate(classOf("k"), 1.0) < 54ms);
    }

    void followsLastingChange()
    {
        ServiceTimes times;
        for (int sample = 0; sample < 100; ++sample) {
            times.learn(classOf("k"), 1.0, 50ms);
        }
        for (int sample = 0; sample < 80; ++sample) {
            times.learn(classOf("k"), 1.0, 500ms);
        }
        CPPUNIT_ASSERT(*times.estimate(classOf("k"), 1.0) > 400ms);
        for (int sample = 0; sample < 80; ++sample) {
            times.learn(classOf("k"), 1.0, 50ms);
        }
        CPPUNIT_ASSERT(*times.estimate(classOf("k"), 1.0) < 100ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceTimesTest);
