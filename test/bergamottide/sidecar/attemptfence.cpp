#include "bergamottide/sidecar/attemptfence.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace std::chrono_literals;

/*! @brief Duplicate and outdated attempts are rejected within bounded memory. */
class AttemptFenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptFenceTest);
    CPPUNIT_TEST(admitsOnlyHigherAttempts);
    CPPUNIT_TEST(sizeIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void admitsOnlyHigherAttempts()
    {
        AttemptFence fence{10};
        const RequestId request{1, 2};
        CPPUNIT_ASSERT(fence.admit({request, 0, 2}, TimePoint{} + 9s));
        CPPUNIT_ASSERT(!fence.admit({request, 0, 2}, TimePoint{} + 9s));
        CPPUNIT_ASSERT(!fence.admit({request, 0, 1}, TimePoint{} + 9s));
        CPPUNIT_ASSERT(fence.admit({request, 1, 1}, TimePoint{} + 9s));
        CPPUNIT_ASSERT(fence.admit({request, 0, 3}, TimePoint{} + 9s));
        fence.expire(TimePoint{} + 9s);
        CPPUNIT_ASSERT(!fence.admit({request, 0, 3}, TimePoint{} + 9s));
    }

    void sizeIsBounded()
    {
        AttemptFence fence{100};
        for (std::uint64_t number = 0; number < 1000; ++number) {
            CPPUNIT_ASSERT(fence.admit({RequestId{0, number}, 0, 1}, TimePoint{} + Duration{number}));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, fence.size());
        CPPUNIT_ASSERT(!fence.admit({RequestId{0, 999}, 0, 1}, TimePoint{} + 1s));
        fence.expire(TimePoint{} + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fence.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptFenceTest);
