#include "../serving/servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

/*! @brief Admission by the wait that the queue owner publishes for workspaces above their share. */
class PublishedWaitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PublishedWaitTest);
    CPPUNIT_TEST(listedWorkspaceIsRejectedOnArrival);
    CPPUNIT_TEST(otherWorkspacesAreAdmitted);
    CPPUNIT_TEST(listExpiresWithTheReport);
    CPPUNIT_TEST(taskNamesItsWorkspace);
    CPPUNIT_TEST_SUITE_END();

public:
    void listedWorkspaceIsRejectedOnArrival()
    {
        hearOwner("north");
        CPPUNIT_ASSERT(!isAdmitted());
    }

    void otherWorkspacesAreAdmitted()
    {
        hearOwner("south");
        CPPUNIT_ASSERT(isAdmitted());
    }

    /*! @brief Guards against rejections by the report of an owner that has died. */
    void listExpiresWithTheReport()
    {
        hearOwner("north");
        m_fixture.advanceClock(seconds{5});
        CPPUNIT_ASSERT(isAdmitted());
    }

    void taskNamesItsWorkspace()
    {
        hearOwner("south");
        CPPUNIT_ASSERT(isAdmitted());
        const auto *delegated = m_fixture.effect<DelegateTask>();
        CPPUNIT_ASSERT(delegated != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"north"}, delegated->task.workspace.text());
        CPPUNIT_ASSERT(delegated->task.objective == seconds{1});
    }

private:
    /*! @brief Receives a heartbeat of the queue owner: 100 ms of wait, but 2 s for a workspace above its share. */
    void hearOwner(const std::string &aboveShare)
    {
        Heartbeat heartbeat;
        heartbeat.canOwnQueues = true;
        for (int number = 0; !isOwner(heartbeat); ++number) {
            const std::string name = "peer-" + std::to_string(number);
            heartbeat.from = {InstanceName{name}, name + ":1"};
        }
        heartbeat.waits.push_back({PoolName{"encoders"},
                                   0,
                                   milliseconds{100},
                                   milliseconds{1},
                                   8.0,
                                   0.1,
                                   {WorkspaceName{aboveShare}},
                                   seconds{2}});
        m_fixture.apply(HeartbeatReceived{heartbeat});
    }

    /*! @brief Tells whether the sender of a heartbeat owns the queue of the encoders in a fleet of two. */
    [[nodiscard]] bool isOwner(const Heartbeat &heartbeat) const
    {
        if (heartbeat.from.instance.empty()) {
            return false;
        }
        Peers peers{{InstanceName{"entry-1"}, "10.0.0.9:1"}, 1, {}};
        peers.setCanOwnQueues(true);
        peers.handleHeartbeat(heartbeat, m_fixture.now());
        return peers.queueOwner(PoolName{"encoders"}, m_fixture.now()).has_value();
    }

    /*! @brief Sends a request of the workspace `north` and returns whether it is admitted. */
    bool isAdmitted()
    {
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {2};
        m_fixture.apply(arrival);
        return m_fixture.effect<SendErrorResponse>() == nullptr;
    }

    ServingFixture m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedWaitTest);
