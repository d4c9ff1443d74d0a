#include "bergamottide/scheduling/concurrencylimit.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;

class ConcurrencyLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
    CPPUNIT_TEST(startsAtTheMaximumAndStaysThereWhileBatchingPays);
    CPPUNIT_TEST(refusalsShrinkItAndCompletionsBringItBack);
    CPPUNIT_TEST(slownessAloneNeverTakesMoreThanHalf);
    CPPUNIT_TEST(oneRoundShrinksOnce);
    CPPUNIT_TEST(maximumMovesALimitThatStoodAtIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void startsAtTheMaximumAndStaysThereWhileBatchingPays()
    {
        ConcurrencyLimit limit{16};
        for (int run = 0; run < 1000; ++run) {
            // Sixteen together take six times as long as one: batching more than doubles the work done.
            limit.completed(6.0, 16);
        }
        CPPUNIT_ASSERT_EQUAL(16U, limit.current());
    }

    void refusalsShrinkItAndCompletionsBringItBack()
    {
        ConcurrencyLimit limit{16};
        for (int run = 0; run < 1000; ++run) {
            limit.overloaded();
        }
        CPPUNIT_ASSERT_EQUAL(1U, limit.current());
        for (int run = 0; run < 1000; ++run) {
            limit.completed(1.0, limit.current());
        }
        CPPUNIT_ASSERT_EQUAL(16U, limit.current());
    }

    void slownessAloneNeverTakesMoreThanHalf()
    {
        ConcurrencyLimit limit{16};
        for (int run = 0; run < 1000; ++run) {
            limit.completed(100.0, limit.current());
        }
        CPPUNIT_ASSERT_EQUAL(8U, limit.current());
    }

    void oneRoundShrinksOnce()
    {
        ConcurrencyLimit limit{20};
        for (int run = 0; run < 39; ++run) {
            limit.overloaded();
        }
        CPPUNIT_ASSERT(limit.current() >= 16U);
    }

    void maximumMovesALimitThatStoodAtIt()
    {
        ConcurrencyLimit limit{4};
        limit.setMaximum(8);
        CPPUNIT_ASSERT_EQUAL(8U, limit.current());
        limit.setMaximum(0);
        CPPUNIT_ASSERT_EQUAL(1U, limit.current());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrencyLimitTest);
