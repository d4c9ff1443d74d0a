#include "bergamottide/retries/retrybudget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

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
    CPPUNIT_TEST(retriesOfAllProcessesStayWithinTheBudgetOfTheFleet);
    CPPUNIT_TEST(budgetOfTheFleetHoldsAtOtherSizesAndLoads);
    CPPUNIT_TEST(budgetOfTheFleetHoldsWhileCallersMoveBetweenProcesses);
    CPPUNIT_TEST(budgetOfTheFleetHoldsAcrossRestarts);
    CPPUNIT_TEST(budgetOfTheFleetHoldsInAPartition);
    CPPUNIT_TEST(budgetOfTheFleetHoldsWithPartitionsAndRestartsAtOnce);
    CPPUNIT_TEST(queueOwnerRetriesForTheFleet);
    CPPUNIT_TEST(successiveQueueOwnersShareTheSlack);
    CPPUNIT_TEST(isolatedQueueOwnerHasTheShareOfAProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    void slackIsSharedByAllProcesses()
    {
        RetryBudget budget = budgetAfterFirstWindow(5);
        CPPUNIT_ASSERT_EQUAL(6, spend(budget));
    }

    void newProcessAssumesManyProcesses()
    {
        RetryBudget budget{options()};
        budget.setProcessCount(1, m_now);
        CPPUNIT_ASSERT_EQUAL(1, spend(budget));
    }

    /*! @brief Otherwise five processes isolated by a partition would each use the whole slack. */
    void shareDoesNotGrowWhenPeersDisappear()
    {
        RetryBudget budget = budgetAfterFirstWindow(5);
        m_now += std::chrono::seconds{1};
        budget.setProcessCount(1, m_now);
        m_now += std::chrono::seconds{8};
        CPPUNIT_ASSERT_EQUAL(6, spend(budget));
        for (int window = 0; window < 50; ++window) {
            m_now += std::chrono::seconds{11};
            budget.setProcessCount(1, m_now);
            CPPUNIT_ASSERT_EQUAL(6, spend(budget));
        }
        m_now += std::chrono::minutes{2};
        budget.setProcessCount(1, m_now);
        CPPUNIT_ASSERT_EQUAL(33, spend(budget));
    }

    void budgetRecoversAfterWindow()
    {
        RetryBudget budget = budgetAfterFirstWindow(5);
        CPPUNIT_ASSERT_EQUAL(6, spend(budget));
        CPPUNIT_ASSERT_EQUAL(0, spend(budget));
        m_now += std::chrono::seconds{11};
        CPPUNIT_ASSERT_EQUAL(6, spend(budget));
    }

    /*!
     * @brief Five processes retry as often as they may while a burst is rejected; callers choose a process at random.
     *
     * Each process spends its largest budget of the window, and these largest budgets do not occur at the same time.
     */
    void retriesOfAllProcessesStayWithinTheBudgetOfTheFleet()
    {
        play({.processes = 5, .seed = 1});
    }

    /*! @brief The sum of the largest budgets grows with the number of processes and with the variation of the load. */
    void budgetOfTheFleetHoldsAtOtherSizesAndLoads()
    {
        for (const std::uint64_t seed : {2U, 3U, 4U}) {
            play({.processes = 5, .seed = seed, .isWave = true});
            play({.processes = 26, .seed = seed, .stepsPerRequest = 1});
            play({.processes = 26, .seed = seed, .stepsPerRequest = 1, .isWave = true});
        }
    }

    /*! @brief A process that stops has used its budget; its callers turn to others, whose own requests grow. */
    void budgetOfTheFleetHoldsWhileCallersMoveBetweenProcesses()
    {
        for (const std::uint64_t seed : {5U, 6U, 7U}) {
            play({.processes = 4, .seed = seed, .restartPeriod = std::chrono::seconds{3}});
            play({.processes = 4, .seed = seed, .isWave = true, .restartPeriod = std::chrono::seconds{5}});
            play({.processes = 26, .seed = seed, .stepsPerRequest = 1, .restartPeriod = std::chrono::seconds{1}});
        }
    }

    /*! @brief Without requests only the slack remains; a process that has restarted does not know what it has spent. */
    void budgetOfTheFleetHoldsAcrossRestarts()
    {
        play({.processes = 4, .seed = 8, .stepsPerRequest = 1000, .restartPeriod = std::chrono::milliseconds{700}});
        play({.processes = 26, .seed = 8, .stepsPerRequest = 1000, .restartPeriod = std::chrono::milliseconds{700}});
    }

    /*! @brief No process hears any other one from some seconds before the retries on. */
    void budgetOfTheFleetHoldsInAPartition()
    {
        play({.processes = 4, .seed = 9, .cutAt = std::chrono::seconds{5}});
        play({.processes = 26, .seed = 9, .stepsPerRequest = 1, .cutAt = std::chrono::seconds{5}});
    }

    /*! @brief Only the owner of a queue retries stage calls; with the share of one process most failed calls were
     * final.
     */
    /*! @brief Callers move with each restart; processes that start behind the partition hear of no other one. */
    void budgetOfTheFleetHoldsWithPartitionsAndRestartsAtOnce()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            for (const Duration restartPeriod : {std::chrono::milliseconds{700}, std::chrono::milliseconds{3000}}) {
                Play play{.processes = 4, .seed = seed, .isWave = true, .restartPeriod = restartPeriod};
                play.cutAt = std::chrono::seconds{15};
                play.healsAt = std::chrono::seconds{28};
                play.isUnheard = true;
                this->play(play);
                play.processes = 27;
                play.stepsPerRequest = 1;
                this->play(play);
                play.processes = 300;
                play.requestsPerDraw = 4;
                this->play(play);
            }
        }
    }

    void queueOwnerRetriesForTheFleet()
    {
        RetryBudget budget = budgetAfterFirstWindow(25);
        CPPUNIT_ASSERT_EQUAL(16, spend(budget, RetryShare::QueueOwner));
        RetryBudget restarted{options()};
        restarted.setProcessCount(25, m_now);
        CPPUNIT_ASSERT_EQUAL(16, spend(restarted, RetryShare::QueueOwner));
        CPPUNIT_ASSERT_EQUAL(0, spend(restarted));
    }

    /*! @brief An owner may restart, while a substitute owns its queue, within one window. */
    void successiveQueueOwnersShareTheSlack()
    {
        RetryBudget first = budgetAfterFirstWindow(25);
        RetryBudget second = budgetAfterFirstWindow(25);
        RetryBudget restarted{options()};
        restarted.setProcessCount(25, m_now);
        int sum = 0;
        for (RetryBudget *owner : {&first, &second, &restarted}) {
            sum += spend(*owner, RetryShare::QueueOwner);
        }
        CPPUNIT_ASSERT(sum <= 50);
    }

    /*! @brief Each process that a partition isolates owns all queues. */
    void isolatedQueueOwnerHasTheShareOfAProcess()
    {
        RetryBudget isolated = budgetAfterFirstWindow(25);
        isolated.setProcessCount(1, m_now);
        CPPUNIT_ASSERT_EQUAL(2, spend(isolated, RetryShare::QueueOwner));
        RetryBudget started{options()};
        started.setProcessCount(1, m_now);
        CPPUNIT_ASSERT_EQUAL(3, spend(started, RetryShare::QueueOwner));
    }

private:
    /*! @brief Fleet whose processes retry as often as they may, and its load. */
    struct Play
    {
        std::uint32_t processes{};
        std::uint64_t seed{};
        /*! @brief Mean distance of requests to the fleet outside the burst, in steps. */
        std::uint64_t stepsPerRequest{4};
        /*! @brief The load rises and falls by half with a period of 13 s, instead of one burst. */
        bool isWave{};
        /*! @brief Time between the stops of two processes, each of which starts again after `downTime`; zero for none.
         */
        Duration restartPeriod{};
        /*! @brief When the processes cease to hear each other; zero if they do not. */
        Duration cutAt{};
        /*! @brief When they hear each other again; zero if they do not. */
        Duration healsAt{};
        /*! @brief Processes that hear no other one keep the count that they had, or none, instead of counting one. */
        bool isUnheard{};
        /*! @brief Requests that come at once. */
        std::uint64_t requestsPerDraw{1};
    };

    /*! @brief A process of the fleet; without a budget while it is down. */
    struct Process
    {
        std::optional<RetryBudget> budget;
        TimePoint startsAt{};
    };

    void play(const Play &play)
    {
        std::mt19937_64 random{play.seed};
        m_requests.clear();
        m_retries.clear();
        m_processes.assign(play.processes, {});
        const TimePoint start = m_now;
        TimePoint stopsAt = start + burstBegin;
        std::size_t stopped = 0;
        for (; m_now < start + std::chrono::seconds{40}; m_now += step) {
            if (play.restartPeriod > Duration::zero() && m_now >= stopsAt) {
                m_processes[stopped++ % m_processes.size()] = {std::nullopt, m_now + downTime};
                stopsAt += play.restartPeriod;
            }
            const bool hasHealed = play.healsAt > Duration::zero() && m_now >= start + play.healsAt;
            updateProcesses(play, play.cutAt > Duration::zero() && m_now >= start + play.cutAt && !hasHealed);
            const std::uint64_t requests = requestDraws(play, m_now - start) * play.requestsPerDraw;
            for (std::uint64_t request = 0; request < requests; ++request) {
                if (random() % play.stepsPerRequest == 0) {
                    sendRequest(random);
                }
            }
            if (m_now >= start + burstBegin) {
                retry();
            }
        }
    }

    /*! @brief Starts the processes that are due, and tells all how many there are. */
    void updateProcesses(const Play &play, bool isCut)
    {
        for (Process &process : m_processes) {
            if (!process.budget && process.startsAt <= m_now) {
                process.budget.emplace(options());
            }
        }
        const auto live =
            std::ranges::count_if(m_processes, [](const Process &process) { return process.budget.has_value(); });
        for (Process &process : m_processes) {
            if (process.budget && !(isCut && play.isUnheard)) {
                process.budget->setProcessCount(isCut ? 1 : static_cast<std::uint32_t>(live), m_now);
            }
        }
    }

    /*! @brief Sends a request to one of the processes that run. */
    void sendRequest(std::mt19937_64 &random)
    {
        std::vector<RetryBudget *> running;
        for (Process &process : m_processes) {
            if (process.budget) {
                running.push_back(&*process.budget);
            }
        }
        if (running.empty()) {
            return;
        }
        running[random() % running.size()]->recordRequest(PoolName{"pool"}, m_now);
        m_requests.push_back(m_now);
    }

    void retry()
    {
        for (Process &process : m_processes) {
            if (process.budget && process.budget->tryTakeRetry(PoolName{"pool"}, m_now)) {
                m_retries.push_back(m_now);
                checkWindow();
            }
        }
    }

    /*! @brief Returns how often a request is drawn in a step of a play. */
    [[nodiscard]] static std::uint64_t requestDraws(const Play &play, Duration elapsed)
    {
        if (!play.isWave) {
            return elapsed >= burstBegin && elapsed < burstEnd ? 3 : 1;
        }
        constexpr Duration halfPeriod = std::chrono::milliseconds{6500};
        return (elapsed / halfPeriod) % 2 == 0 ? 3 : 1;
    }

    static constexpr Duration step = std::chrono::milliseconds{10};
    static constexpr Duration burstBegin = std::chrono::seconds{20};
    static constexpr Duration burstEnd = std::chrono::seconds{25};
    static constexpr Duration downTime = std::chrono::milliseconds{500};

    [[nodiscard]] static double countBetween(const std::vector<TimePoint> &times, TimePoint after, TimePoint until)
    {
        return static_cast<double>(
            std::ranges::count_if(times, [after, until](TimePoint at) { return at > after && at <= until; }));
    }

    /*! @brief Checks the window that ends now; the requests of the busiest of three windows count. */
    void checkWindow() const
    {
        const Duration window = options().window;
        double requests = 0.0;
        for (const Duration earlier : {Duration::zero(), window / 2, window}) {
            requests = std::max(requests, countBetween(m_requests, m_now - earlier - window, m_now - earlier));
        }
        const double retries = countBetween(m_retries, m_now - window, m_now);
        const double allowed = options().ratio * requests + options().slack;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(retries) + " of " + std::to_string(allowed), retries <= allowed);
    }

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

    [[nodiscard]] int spend(RetryBudget &budget, RetryShare share = RetryShare::Process) const
    {
        int spent = 0;
        while (budget.tryTakeRetry(PoolName{"pool"}, m_now, share)) {
            ++spent;
        }
        return spent;
    }

    TimePoint m_now{std::chrono::seconds{100}};
    std::vector<Process> m_processes;
    std::vector<TimePoint> m_requests;
    std::vector<TimePoint> m_retries;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
