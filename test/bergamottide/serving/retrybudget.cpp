#include "bergamottide/serving/retrybudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;

/*! @brief Share of one process in the retry budget of the fleet. */
class RetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryBudgetTest);
    CPPUNIT_TEST(slackIsSharedByAllProcesses);
    CPPUNIT_TEST(newProcessAssumesManyProcesses);
    CPPUNIT_TEST(shareDoesNotGrowWhenPeersDisappear);
    CPPUNIT_TEST(budgetRecoversAfterWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    void slackIsSharedByAllProcesses()
    {
        RetryBudget budget = budgetAfterFirstWindow(5);
        CPPUNIT_ASSERT_EQUAL(10, spend(budget));
    }

    void newProcessAssumesManyProcesses()
    {
        RetryBudget budget{options()};
        budget.setProcessCount(1, m_now);
        CPPUNIT_ASSERT_EQUAL(3, spend(budget));
    }

    /*! @brief Otherwise five processes isolated by a partition would each use the whole slack. */
    void shareDoesNotGrowWhenPeersDisappear()
    {
        RetryBudget budget = budgetAfterFirstWindow(5);
        m_now += std::chrono::seconds{1};
        budget.setProcessCount(1, m_now);
        m_now += std::chrono::seconds{8};
        CPPUNIT_ASSERT_EQUAL(10, spend(budget));
        m_now += std::chrono::seconds{11};
        budget.setProcessCount(1, m_now);
        CPPUNIT_ASSERT_EQUAL(50, spend(budget));
    }

    void budgetRecoversAfterWindow()
    {
        RetryBudget budget = budgetAfterFirstWindow(5);
        CPPUNIT_ASSERT_EQUAL(10, spend(budget));
        CPPUNIT_ASSERT_EQUAL(0, spend(budget));
        m_now += std::chrono::seconds{11};
        CPPUNIT_ASSERT_EQUAL(10, spend(budget));
    }

private:
    [[nodiscard]] static RetryBudgetOptions options()
    {
        return {.ratio = 0.2, .slack = 50.0, .window = std::chrono::seconds{10}, .assumedProcesses = 16};
    }

    /*! @brief Returns the budget of a process that has known its peers for more than one window. */
    [[nodiscard]] RetryBudget budgetAfterFirstWindow(std::uint32_t processes)
    {
        RetryBudget budget{options()};
        budget.setProcessCount(processes, m_now);
        m_now += std::chrono::seconds{11};
        return budget;
    }

    [[nodiscard]] int spend(RetryBudget &budget) const
    {
        int spent = 0;
        while (budget.tryTakeRetry(PoolName{"pool"}, m_now)) {
            ++spent;
        }
        return spent;
    }

    TimePoint m_now{std::chrono::seconds{100}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
