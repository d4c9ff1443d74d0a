#include "bergamottide/app/peerwire.h"
#include "bergamottide/stages/stagescheduler.h"

#include "../serving/servingfixture.h"
#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/*! @brief A scheduler with one endpoint, whose calls of up to 8 pieces end after their expected time. */
class Queue
{
public:
    explicit Queue(std::optional<double> pace)
    {
        Effects ignored;
        m_endpoints.update({{InstanceName{"encoder-1"}, m_pool, "10.0.0.1:1", ZoneName{"a"}, 1, false}}, m_now,
                           ignored);
        m_endpoints.recordLoad(InstanceName{"encoder-1"}, {0, 0, 1, pace}, m_now);
    }

    StageTaskId submit(const std::string &workspace, std::uint32_t pieces, Duration due, int rank = 0)
    {
        StageTask task;
        task.id = StageTaskId{m_nextTask++};
        task.pool = m_pool;
        task.rank = rank;
        task.workspace = WorkspaceName{workspace};
        task.objective = seconds{1};
        task.latestStart = m_now + due;
        task.deadline = m_now + seconds{20};
        task.attempt = workspace;
        task.pieces = pieces;
        task.resultBytes = 1;
        const StageTaskId id = task.id;
        m_scheduler.submit(std::move(task), m_now);
        return id;
    }

    void advance(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += milliseconds{10}) {
            while (!m_running.empty() && m_running.begin()->first <= m_now) {
                const StartStageCall call = std::move(m_running.extract(m_running.begin()).mapped());
                StageCallEnded ended{call.call, StageCallStatus::Answered, {}, {}};
                for (std::size_t item = 0; item < call.items.size(); ++item) {
                    ended.results.push_back({"h-" + std::to_string(m_nextHandle++), PieceFailure::None});
                }
                m_scheduler.handleCallEnded(ended, m_now, m_effects);
            }
            dispatch();
        }
    }

    void dispatch()
    {
        m_effects.clear();
        m_scheduler.dispatch(*m_catalog, m_now, m_effects);
        for (const Effect &effect : m_effects) {
            if (const auto *call = std::get_if<StartStageCall>(&effect)) {
                const BatchSpec batch = ServingFixture::batch();
                m_running.emplace(
                    m_now + batch.callTime + batch.itemTime * static_cast<std::int64_t>(call->items.size()), *call);
                m_served.push_back(call->items.front().attempt);
            }
        }
        for (const StageOutcome &outcome : m_scheduler.takeOutcomes()) {
            ++m_outcomes[outcome.task];
        }
    }

    /*! @brief Breaks the calls in progress, so that their tasks return to the queue. */
    void breakCalls()
    {
        for (const auto &[end, call] : std::exchange(m_running, {})) {
            m_scheduler.handleCallEnded({call.call, StageCallStatus::Broken, {}, {}}, m_now, m_effects);
        }
    }

    /*! @brief One workspace sends four times the capacity, another one a fifth of it, for a time. */
    void overload(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            for (int task = 0; task < 4; ++task) {
                submit("large", 8, milliseconds{900});
            }
            submit("small", 2, milliseconds{900});
            advance(milliseconds{230});
        }
    }

    [[nodiscard]] StageScheduler &scheduler() noexcept
    {
        return m_scheduler;
    }

    [[nodiscard]] std::vector<PoolWait> waits()
    {
        return m_scheduler.queueWaits(*m_catalog, m_now);
    }

    [[nodiscard]] std::optional<PoolWait> waitOf(const std::string &workspace)
    {
        return m_scheduler.expectedWait(m_pool, 0, WorkspaceName{workspace}, *m_catalog, m_now);
    }

    /*! @brief Returns the workspaces of the first items of the calls so far. */
    [[nodiscard]] std::vector<std::string> &served() noexcept
    {
        return m_served;
    }

    /*! @brief Returns the number of outcomes of each task. */
    [[nodiscard]] const std::map<StageTaskId, std::size_t> &outcomes() const noexcept
    {
        return m_outcomes;
    }

private:
    TimePoint m_now{seconds{100}};
    PoolName m_pool{"encoders"};
    std::shared_ptr<const Catalog> m_catalog{ServingFixture::catalog()};
    EndpointRegistry m_endpoints;
    RetryBudget m_budget{{}};
    FetchPaths m_paths;
    RateLimiter m_rateLimiter{[](const InstanceName &, std::uint32_t, TimePoint) {
        return 0U;
    }};
    StageScheduler m_scheduler{m_endpoints, m_budget, m_rateLimiter, m_paths, [](const StoredResult &) {
                                   return false;
                               }};
    Effects m_effects;
    std::multimap<TimePoint, StartStageCall> m_running;
    std::vector<std::string> m_served;
    std::map<StageTaskId, std::size_t> m_outcomes;
    std::uint64_t m_nextTask{1};
    std::uint64_t m_nextHandle{1};
};

} // namespace

/*! @brief Order of the queue of a scarce pool, and the waits that its owner publishes. */
class QueueOrderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QueueOrderTest);
    CPPUNIT_TEST(workspaceWithinItsSharePrecedesOneAboveIt);
    CPPUNIT_TEST(rankOutweighsShares);
    CPPUNIT_TEST(poolWithoutPaceKeepsTheOrderOfLatestStarts);
    CPPUNIT_TEST(tasksSurviveChangesOfTheirMarks);
    CPPUNIT_TEST(workspaceAboveItsShareWaitsLonger);
    CPPUNIT_TEST(publishedSharesAreSmall);
    CPPUNIT_TEST(sharesAreNotPublishedWithoutPace);
    CPPUNIT_TEST_SUITE_END();

public:
    void workspaceWithinItsSharePrecedesOneAboveIt()
    {
        Queue queue{1.0};
        queue.overload(seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::string{"small"}, firstOfTwo(queue, 0));
    }

    void rankOutweighsShares()
    {
        Queue queue{1.0};
        queue.overload(seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::string{"large"}, firstOfTwo(queue, 1));
    }

    void poolWithoutPaceKeepsTheOrderOfLatestStarts()
    {
        Queue queue{std::nullopt};
        queue.overload(seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::string{"large"}, firstOfTwo(queue, 0));
    }

    /*! @brief Guards against tasks that stay in the queue under a key with a former mark: they would be served twice or
     * never. */
    void tasksSurviveChangesOfTheirMarks()
    {
        test::checkProperty(
            [](const std::vector<std::uint8_t> &operations) {
                Queue queue{1.0};
                std::map<StageTaskId, std::uint32_t> submitted;
                std::set<StageTaskId> cancelled;
                for (const std::uint8_t operation : operations) {
                    const std::uint32_t kind = operation % 8;
                    const int value = operation / 8;
                    if (kind < 4) {
                        const auto pieces = static_cast<std::uint32_t>(1 + value % 8);
                        submitted[queue.submit(kind == 0 ? "small" : "large", pieces, milliseconds{100 * value},
                                               value % 2)] = pieces;
                    } else if (kind == 4 && !submitted.empty()) {
                        const auto task =
                            std::next(submitted.begin(), value % static_cast<int>(submitted.size()))->first;
                        queue.scheduler().cancel(task);
                        cancelled.insert(task);
                    } else if (kind == 5) {
                        queue.overload(milliseconds{230});
                    } else if (kind == 6) {
                        queue.breakCalls();
                    } else {
                        queue.advance(milliseconds{100} * value);
                    }
                }
                queue.advance(seconds{30});
                RC_ASSERT(queue.scheduler().queuedPools().empty());
                for (const auto &[task, pieces] : submitted) {
                    const auto found = queue.outcomes().find(task);
                    const std::size_t outcomes = found == queue.outcomes().end() ? 0 : found->second;
                    RC_ASSERT(outcomes <= pieces);
                    RC_ASSERT(cancelled.contains(task) || outcomes > 0);
                }
            },
            1, 300);
    }

    void workspaceAboveItsShareWaitsLonger()
    {
        Queue queue{1.0};
        queue.overload(seconds{2});
        const auto large = queue.waitOf("large");
        const auto small = queue.waitOf("small");
        CPPUNIT_ASSERT(large && small);
        CPPUNIT_ASSERT(large->wait > small->wait);
        const std::vector<PoolWait> waits = queue.waits();
        const auto listing = std::ranges::count_if(
            waits, [](const PoolWait &wait) { return wait.aboveShare == std::vector{WorkspaceName{"large"}}; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, static_cast<std::ptrdiff_t>(listing));
    }

    /*! @brief Guards against heartbeats that exceed the 100 bytes for each pool. */
    void publishedSharesAreSmall()
    {
        Queue queue{1.0};
        queue.overload(seconds{2});
        Heartbeat heartbeat;
        heartbeat.waits = queue.waits();
        const std::size_t with = peerwire::encode(heartbeat).size();
        for (PoolWait &wait : heartbeat.waits) {
            wait.aboveShare.clear();
        }
        const std::size_t without = peerwire::encode(heartbeat).size();
        CPPUNIT_ASSERT(with > without);
        // The longest list of names takes 60 bytes; here it has one of 5 letters.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(with - without), with - without <= 100 - (60 - 8));
    }

    void sharesAreNotPublishedWithoutPace()
    {
        Queue queue{std::nullopt};
        queue.overload(seconds{2});
        CPPUNIT_ASSERT(std::ranges::all_of(queue.waits(), [](const PoolWait &wait) {
            return wait.aboveShare.empty() && wait.aboveShareWait == Duration::zero();
        }));
        CPPUNIT_ASSERT(queue.waitOf("large")->wait == queue.waitOf("small")->wait);
    }

private:
    /*! @brief Submits a full call of each workspace, the large one with an earlier latest start; returns which one is
     * served first. */
    static std::string firstOfTwo(Queue &queue, int rankOfSmall)
    {
        queue.served().clear();
        queue.submit("large", 8, milliseconds{1200}, -1);
        queue.submit("small", 8, milliseconds{1300}, rankOfSmall - 1);
        queue.advance(milliseconds{250});
        CPPUNIT_ASSERT(!queue.served().empty());
        return queue.served().front();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueOrderTest);
