#include "bergamottide/serving/retrybudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;

/*! @brief How many repeats a process may send of those that the whole fleet may. */
class RetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryBudgetTest);
    CPPUNIT_TEST(sharesOfAllProcessesStayWithinTheSlack);
    CPPUNIT_TEST(newProcessTakesASmallShare);
    CPPUNIT_TEST(shareDoesNotGrowWhenPeersAreNoLongerSeen);
    CPPUNIT_TEST(spentRepeatsComeBackAfterTheWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    void sharesOfAllProcessesStayWithinTheSlack()
    {
        RetryBudget budget = settled(5);
        CPPUNIT_ASSERT_EQUAL(10, spend(budget));
    }

    void newProcessTakesASmallShare()
    {
        RetryBudget budget{options()};
        budget.setSharers(1, m_now);
        CPPUNIT_ASSERT_EQUAL(3, spend(budget));
    }

    /*! @brief Five processes on both sides of a partition would spend five times the slack, each taking itself alone.
     */
    void shareDoesNotGrowWhenPeersAreNoLongerSeen()
    {
        RetryBudget budget = settled(5);
        m_now += std::chrono::seconds{1};
        budget.setSharers(1, m_now);
        m_now += std::chrono::seconds{8};
        CPPUNIT_ASSERT_EQUAL(10, spend(budget));
        m_now += std::chrono::seconds{11};
        budget.setSharers(1, m_now);
        CPPUNIT_ASSERT_EQUAL(50, spend(budget));
    }

    void spentRepeatsComeBackAfterTheWindow()
    {
        RetryBudget budget = settled(5);
        CPPUNIT_ASSERT_EQUAL(10, spend(budget));
        CPPUNIT_ASSERT_EQUAL(0, spend(budget));
        m_now += std::chrono::seconds{11};
        CPPUNIT_ASSERT_EQUAL(10, spend(budget));
    }

private:
    [[nodiscard]] static RetryBudgetOptions options()
    {
        return {.ratio = 0.2, .slack = 50.0, .window = std::chrono::seconds{10}, .sharers = 16};
    }

    /*! @brief Returns the budget of a process that has known its peers for longer than a window. */
    [[nodiscard]] RetryBudget settled(std::uint32_t sharers)
    {
        RetryBudget budget{options()};
        budget.setSharers(sharers, m_now);
        m_now += std::chrono::seconds{11};
        return budget;
    }

    [[nodiscard]] int spend(RetryBudget &budget) const
    {
        int spent = 0;
        while (budget.take(PoolName{"pool"}, m_now)) {
            ++spent;
        }
        return spent;
    }

    TimePoint m_now{std::chrono::seconds{100}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
