#include "bergamottide/scheduling/concurrencylimit.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;

class ConcurrencyLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
    CPPUNIT_TEST(staysAtMaximumWhileBatchingIsEfficient);
    CPPUNIT_TEST(rejectionsDecreaseAndCompletionsRestoreLimit);
    CPPUNIT_TEST(slownessNeverDecreasesLimitBelowHalf);
    CPPUNIT_TEST(decreasesOncePerRoundOfRuns);
    CPPUNIT_TEST(limitAtMaximumFollowsMaximum);
    CPPUNIT_TEST_SUITE_END();

public:
    void staysAtMaximumWhileBatchingIsEfficient()
    {
        ConcurrencyLimit limit{16};
        for (int run = 0; run < 1000; ++run) {
            // 16 concurrent runs that take 6 times as long as a single one still increase the throughput.
            limit.recordCompletion(6.0, 16);
        }
        CPPUNIT_ASSERT_EQUAL(16U, limit.current());
    }

    void rejectionsDecreaseAndCompletionsRestoreLimit()
    {
        ConcurrencyLimit limit{16};
        for (int run = 0; run < 1000; ++run) {
            limit.recordOverload();
        }
        CPPUNIT_ASSERT_EQUAL(1U, limit.current());
        for (int run = 0; run < 1000; ++run) {
            limit.recordCompletion(1.0, limit.current());
        }
        CPPUNIT_ASSERT_EQUAL(16U, limit.current());
    }

    void slownessNeverDecreasesLimitBelowHalf()
    {
        ConcurrencyLimit limit{16};
        for (int run = 0; run < 1000; ++run) {
            limit.recordCompletion(100.0, limit.current());
        }
        CPPUNIT_ASSERT_EQUAL(8U, limit.current());
    }

    void decreasesOncePerRoundOfRuns()
    {
        ConcurrencyLimit limit{20};
        for (int run = 0; run < 39; ++run) {
            limit.recordOverload();
        }
        CPPUNIT_ASSERT(limit.current() >= 16U);
    }

    void limitAtMaximumFollowsMaximum()
    {
        ConcurrencyLimit limit{4};
        limit.setMaximum(8);
        CPPUNIT_ASSERT_EQUAL(8U, limit.current());
        limit.setMaximum(0);
        CPPUNIT_ASSERT_EQUAL(1U, limit.current());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrencyLimitTest);
