#include "bergamottide/pools/endpointlistage.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using serving::EndpointListAge;
using std::chrono::seconds;

/*! @brief Periods for which a process knows the list of endpoints. */
class EndpointListAgeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointListAgeTest);
    CPPUNIT_TEST(nothingIsCoveredBeforeAConfirmation);
    CPPUNIT_TEST(periodEndsWithTheLastConfirmation);
    CPPUNIT_TEST(periodBeginsAfterALongGap);
    CPPUNIT_TEST(olderConfirmationChangesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingIsCoveredBeforeAConfirmation()
    {
        const EndpointListAge age;
        CPPUNIT_ASSERT(!age.covers(at(0), at(0)));
        CPPUNIT_ASSERT(!age.age(at(0)));
    }

    void periodEndsWithTheLastConfirmation()
    {
        EndpointListAge age;
        age.confirm(at(10));
        age.confirm(at(12));
        CPPUNIT_ASSERT(age.covers(at(10), at(12)));
        CPPUNIT_ASSERT(!age.covers(at(10), at(13)));
        CPPUNIT_ASSERT(!age.covers(at(9), at(12)));
        CPPUNIT_ASSERT(age.age(at(15)) == seconds{3});
    }

    void periodBeginsAfterALongGap()
    {
        EndpointListAge age;
        age.confirm(at(10));
        age.confirm(at(10) + EndpointListAge::maxGap);
        CPPUNIT_ASSERT(age.covers(at(10), at(15)));
        age.confirm(at(30));
        CPPUNIT_ASSERT(!age.covers(at(29), at(30)));
        CPPUNIT_ASSERT(age.covers(at(30), at(30)));
    }

    void olderConfirmationChangesNothing()
    {
        EndpointListAge age;
        age.confirm(at(20));
        age.confirm(at(10));
        CPPUNIT_ASSERT(!age.covers(at(10), at(20)));
        CPPUNIT_ASSERT(age.covers(at(20), at(20)));
    }

private:
    [[nodiscard]] static TimePoint at(int second)
    {
        return TimePoint{seconds{100 + second}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointListAgeTest);
