#include "bergamottide/sharing/fairshares.h"

#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <numeric>

using namespace bergamottide;
using sharing::FairShares;
using sharing::ShareChange;
using std::chrono::milliseconds;
using std::chrono::seconds;

/*! @brief Shares of a scarce stage pool, and which workspaces are above theirs. */
class FairSharesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairSharesTest);
    CPPUNIT_TEST(sharesAreMaxMinFair);
    CPPUNIT_TEST(workspaceWithinAnEqualPartIsNeverAbove);
    CPPUNIT_TEST(largeWorkspaceIsAboveWhileOthersWait);
    CPPUNIT_TEST(nobodyIsAboveInAPoolThatIsNotScarce);
    CPPUNIT_TEST(nobodyIsAboveInTheFirstSecond);
    CPPUNIT_TEST(nobodyIsAboveInTheFirstSecondAfterASilence);
    CPPUNIT_TEST(soleWorkspaceIsNeverAbove);
    CPPUNIT_TEST(workspaceReturnsAfterItsBurst);
    CPPUNIT_TEST(equalWorkspacesAreNotAbove);
    CPPUNIT_TEST(publishedNamesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a share beyond the demand, capacity left unused, and a small share beside a larger one. */
    void sharesAreMaxMinFair()
    {
        test::checkProperty([](const std::vector<std::uint16_t> &demands, std::uint16_t capacity) {
            const FairShares::PieceCounts counts = countsOf(demands);
            const FairShares::PieceCounts shares = FairShares::maxMinShares(counts, capacity);
            const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
            double sum = 0.0;
            double largest = 0.0;
            for (const auto &[workspace, share] : shares) {
                RC_ASSERT(share >= 0.0);
                RC_ASSERT(share <= counts.at(workspace));
                sum += share;
                largest = std::max(largest, share);
            }
            RC_ASSERT(std::abs(sum - std::min<double>(total, capacity)) < rounding);
            for (const auto &[workspace, share] : shares) {
                RC_ASSERT(share > counts.at(workspace) - rounding || share > largest - rounding);
            }
        });
    }

    /*! @brief Guards against marking a workspace whose demand fits an equal part of the pool, whatever the others do.
     */
    void workspaceWithinAnEqualPartIsNeverAbove()
    {
        test::checkProperty([](const std::vector<std::uint8_t> &others, std::uint8_t delay) {
            FairShares shares;
            const WorkspaceName small{"small"};
            TimePoint now{seconds{100}};
            for (int step = 0; step < 60; ++step, now += milliseconds{100}) {
                FairShares::PieceCounts waiting;
                for (std::size_t index = 0; index < others.size(); ++index) {
                    const WorkspaceName workspace{std::to_string(index)};
                    // Each other workspace gets at least as much as the small one.
                    const std::uint32_t sent = 1U + others[index];
                    shares.recordRequested(workspace, sent * 2, now);
                    shares.recordSent(workspace, sent, now);
                    waiting[workspace] = sent;
                }
                // One piece in each step, sent up to a second later.
                const int stepsToWait = delay % 10;
                shares.recordRequested(small, 1, now);
                if (step >= stepsToWait) {
                    shares.recordSent(small, 1, now);
                }
                waiting[small] = std::min(step + 1, stepsToWait);
                static_cast<void>(shares.update(waiting, true, now));
                RC_ASSERT(!shares.isAbove(small));
            }
        });
    }

    void largeWorkspaceIsAboveWhileOthersWait()
    {
        load(seconds{2}, 20, 2, true);
        CPPUNIT_ASSERT(m_shares.isAbove(m_large));
        CPPUNIT_ASSERT(!m_shares.isAbove(m_small));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_shares.published().size());
        // Only the change is reported, not each update.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_changes.size());
    }

    void nobodyIsAboveInAPoolThatIsNotScarce()
    {
        load(seconds{2}, 20, 2, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_shares.aboveCount());
    }

    void nobodyIsAboveInTheFirstSecond()
    {
        load(milliseconds{900}, 20, 2, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_shares.aboveCount());
    }

    /*! @brief Guards against counts from before another process owned the queue. */
    void nobodyIsAboveInTheFirstSecondAfterASilence()
    {
        load(seconds{2}, 20, 2, true);
        m_now += seconds{1};
        load(milliseconds{900}, 20, 2, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_shares.aboveCount());
    }

    void soleWorkspaceIsNeverAbove()
    {
        load(seconds{3}, 20, 0, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_shares.aboveCount());
    }

    void workspaceReturnsAfterItsBurst()
    {
        load(seconds{2}, 20, 2, true);
        m_changes.clear();
        load(seconds{1}, 0, 2, false);
        CPPUNIT_ASSERT(!m_shares.isAbove(m_large));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_changes.size());
        CPPUNIT_ASSERT(!m_changes.front().isAbove);
    }

    /*! @brief Guards against marks, log lines and reordering for differences of a call between equal workspaces. */
    void equalWorkspacesAreNotAbove()
    {
        load(seconds{5}, 10, 10, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_shares.aboveCount());
    }

    /*! @brief Guards against heartbeats that grow with the number and the names of workspaces. */
    void publishedNamesAreBounded()
    {
        for (const std::string &prefix : {std::string{"w"}, std::string{"workspace-with-a-long-name-"}}) {
            FairShares shares;
            for (TimePoint now = m_now; now < m_now + seconds{2}; now += milliseconds{100}) {
                FairShares::PieceCounts waiting;
                for (int index = 0; index < 10; ++index) {
                    const WorkspaceName large{prefix + std::to_string(index)};
                    shares.recordRequested(large, 40, now);
                    shares.recordSent(large, 20, now);
                    const WorkspaceName small{"small-" + std::to_string(index)};
                    shares.recordRequested(small, 10, now);
                    shares.recordSent(small, 1, now);
                    waiting[small] = 100;
                }
                static_cast<void>(shares.update(waiting, true, now));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, shares.aboveCount());
            std::size_t bytes = 0;
            for (const WorkspaceName &workspace : shares.published()) {
                bytes += workspace.text().size();
            }
            CPPUNIT_ASSERT(!shares.published().empty());
            CPPUNIT_ASSERT(shares.published().size() <= 8);
            CPPUNIT_ASSERT(bytes <= 100);
        }
    }

private:
    static constexpr double rounding = 1e-6;

    static FairShares::PieceCounts countsOf(const std::vector<std::uint16_t> &demands)
    {
        FairShares::PieceCounts out;
        for (std::size_t index = 0; index < demands.size(); ++index) {
            out[WorkspaceName{std::to_string(index)}] = demands[index];
        }
        return out;
    }

    /*! @brief Each workspace requests pieces every 100 ms and gets half of them. */
    void load(Duration time, std::uint32_t large, std::uint32_t small, bool isScarce)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += milliseconds{100}) {
            FairShares::PieceCounts waiting;
            for (const auto &[workspace, pieces] : {std::pair{m_large, large}, std::pair{m_small, small}}) {
                if (pieces == 0) {
                    continue;
                }
                m_shares.recordRequested(workspace, pieces, m_now);
                m_shares.recordSent(workspace, pieces / 2, m_now);
                waiting[workspace] = pieces / 2.0;
            }
            for (ShareChange &change : m_shares.update(waiting, isScarce, m_now)) {
                m_changes.push_back(std::move(change));
            }
        }
    }

    TimePoint m_now{seconds{100}};
    WorkspaceName m_large{"large"};
    WorkspaceName m_small{"small"};
    FairShares m_shares;
    std::vector<ShareChange> m_changes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairSharesTest);
