#include "support/exploration.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::test;

class ExplorationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExplorationTest);
    CPPUNIT_TEST(aCallerWithoutFaultsGetsItsAnswer);
    CPPUNIT_TEST(theSameSeedGivesTheSameRun);
    CPPUNIT_TEST(seedsOfTheFixedSetKeepEveryPromise);
    CPPUNIT_TEST(sideThatIsToldToLeaveWhilePausedTakesNoLateRun);
    CPPUNIT_TEST(noSingleFaultBreaksTheSmallestCase);
    CPPUNIT_TEST_SUITE_END();

public:
    void aCallerWithoutFaultsGetsItsAnswer()
    {
        const CaseResult result = replay(smallestCase(AfterLoss::Fetch), "");
        CPPUNIT_ASSERT_EQUAL(std::string{}, first(result));
        CPPUNIT_ASSERT_EQUAL(1U, result.outcomes.at(Outcome::Completed));
    }

    void theSameSeedGivesTheSameRun()
    {
        CPPUNIT_ASSERT(runSeed(3, true).trace == runSeed(3, true).trace);
    }

    void seedsOfTheFixedSetKeepEveryPromise()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            const CaseResult result = runSeed(seed, false);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string{}, first(result));
        }
    }

    void sideThatIsToldToLeaveWhilePausedTakesNoLateRun()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{}, first(runSeed(13928, false)));
    }

    void noSingleFaultBreaksTheSmallestCase()
    {
        for (const auto afterLoss : {AfterLoss::Fetch, AfterLoss::Resubmit}) {
            const ExhaustiveResult result = exploreAll(smallestCase(afterLoss), 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("choices " + result.failing, std::string{}, first(result.failure));
            CPPUNIT_ASSERT(result.runs > 10);
        }
    }

private:
    static std::string first(const CaseResult &result)
    {
        return result.violations.empty() ? std::string{} : result.violations.front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplorationTest);
