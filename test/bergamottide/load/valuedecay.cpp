#include "bergamottide/load/valuedecay.h"
#include "bergamottide/load/reportseries.h"
#include "bergamottide/placement/random.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <chrono>
#include <cmath>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::load;

namespace {

constexpr std::chrono::milliseconds reportPeriod{20};
constexpr int reportCount = 3000;

} // namespace

/*! @brief Learned decay of the predictive value of reports. */
class ValueDecayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ValueDecayTest);
    CPPUNIT_TEST(steadyValuesKeepTheirWeight);
    CPPUNIT_TEST(unrelatedValuesHaveNoWeight);
    CPPUNIT_TEST(weightFallsByTheTimeBetweenChanges);
    CPPUNIT_TEST(estimateIsBetterThanTheLatestReportAndThanTheMean);
    CPPUNIT_TEST(weightIsWithinBoundsAndDoesNotIncrease);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a decay that forgets an endpoint that stays slow. */
    void steadyValuesKeepTheirWeight()
    {
        // Changes every 5 s.
        const ValueDecay decay = learned(std::chrono::seconds{5});
        CPPUNIT_ASSERT(decay.weight(std::chrono::milliseconds{20}) > 0.9);
        CPPUNIT_ASSERT(decay.weight(std::chrono::milliseconds{500}) > 0.5);
    }

    /*! @brief Guards against following reports that say nothing of the next moment. */
    void unrelatedValuesHaveNoWeight()
    {
        const ValueDecay decay = learned(reportPeriod);
        CPPUNIT_ASSERT(decay.weight(std::chrono::milliseconds{100}) < 0.2);
        CPPUNIT_ASSERT(decay.weight(std::chrono::milliseconds{1000}) < 0.1);
    }

    /*! @brief Guards against one fixed decay for all pools. */
    void weightFallsByTheTimeBetweenChanges()
    {
        const ValueDecay fast = learned(std::chrono::milliseconds{100});
        const ValueDecay slow = learned(std::chrono::seconds{2});
        for (const int age : {50, 100, 200, 500, 1000}) {
            CPPUNIT_ASSERT(fast.weight(std::chrono::milliseconds{age}) < slow.weight(std::chrono::milliseconds{age}));
        }
    }

    /*! @brief Guards against a weight that is worse than using only one of the two values. */
    void estimateIsBetterThanTheLatestReportAndThanTheMean()
    {
        ValueDecay decay;
        ReportSeries series;
        Random random{3};
        double value = 1.0;
        double latest = 1.0;
        double errorOfEstimate = 0.0;
        double errorOfLatest = 0.0;
        double errorOfMean = 0.0;
        TimePoint now{};
        for (int index = 0; index < reportCount; ++index) {
            // Mean time between changes 200 ms, between reports 200 ms.
            for (int step = 0; step < 10; ++step) {
                now += reportPeriod;
                value = random.below(10) == 0 ? drawn(random) : value;
            }
            if (index > reportCount / 10) {
                errorOfEstimate += std::pow(series.expected(decay, now).value() - value, 2);
                errorOfLatest += std::pow(latest - value, 2);
                errorOfMean += std::pow(series.mean().value() - value, 2);
            }
            latest = value;
            series.record(value, now, decay);
        }
        CPPUNIT_ASSERT(errorOfEstimate < errorOfLatest);
        CPPUNIT_ASSERT(errorOfEstimate < errorOfMean);
    }

    void weightIsWithinBoundsAndDoesNotIncrease()
    {
        const bool isHeld = rc::check([](const std::vector<std::pair<int, unsigned>> &pairs) {
            ValueDecay decay;
            for (const auto &[difference, milliseconds] : pairs) {
                decay.recordDeviation(difference / 2.0);
                decay.recordPair(difference, std::chrono::milliseconds{milliseconds % 100000});
            }
            double last = 1.0;
            for (Duration age{}; age < std::chrono::minutes{2}; age = age * 3 / 2 + std::chrono::microseconds{100}) {
                const double weight = decay.weight(age);
                RC_ASSERT(weight >= 0.0);
                RC_ASSERT(weight <= last + 1e-9);
                last = weight;
            }
            RC_ASSERT(decay.weight(std::chrono::minutes{2}) == 0.0);
        });
        CPPUNIT_ASSERT(isHeld);
    }

private:
    static double drawn(Random &random)
    {
        constexpr std::uint32_t steps = 1000;
        return 0.5 + static_cast<double>(random.below(steps)) / steps;
    }

    /*! @brief Returns what is learned from a value that changes at random, on average once in a given time. */
    static ValueDecay learned(Duration meanTimeBetweenChanges)
    {
        ValueDecay decay;
        ReportSeries series;
        Random random{1};
        double value = 1.0;
        TimePoint now{};
        for (int index = 0; index < reportCount; ++index) {
            now += reportPeriod;
            if (random.below(static_cast<std::uint32_t>(meanTimeBetweenChanges / reportPeriod)) == 0) {
                value = drawn(random);
            }
            series.record(value, now, decay);
        }
        return decay;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValueDecayTest);
