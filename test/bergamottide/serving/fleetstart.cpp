#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::ServingFixture;

/*! @brief Stage tasks of a process that has not finished discovery, so that queue owners are unknown. */
class FleetStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetStartTest);
    CPPUNIT_TEST(processWithoutPeersDefersStageTasks);
    CPPUNIT_TEST(tasksAreHandedToOwnerAfterDiscovery);
    CPPUNIT_TEST(processWithoutPeersStartsAfterDiscoveryTimeout);
    CPPUNIT_TEST(taskOfDisconnectedCallerIsDropped);
    CPPUNIT_TEST(peerThatJoinsLaterDoesNotDelayTasks);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fixture.apply(Tick{});
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {4};
        m_fixture.apply(arrival);
    }

    void processWithoutPeersDefersStageTasks()
    {
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() == nullptr);
        m_fixture.advanceClock(std::chrono::milliseconds{500});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<SendErrorResponse>() == nullptr);
    }

    void tasksAreHandedToOwnerAfterDiscovery()
    {
        m_fixture.advanceClock(std::chrono::milliseconds{50});
        m_fixture.apply(HeartbeatReceived{owner()});
        CPPUNIT_ASSERT(m_fixture.effect<DelegateTask>() == nullptr);
        m_fixture.advanceClock(std::chrono::milliseconds{250});
        const auto *handed = m_fixture.effect<DelegateTask>();
        CPPUNIT_ASSERT(handed != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"strong"}, handed->peer.instance.text());
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() == nullptr);
    }

    void processWithoutPeersStartsAfterDiscoveryTimeout()
    {
        m_fixture.advanceClock(std::chrono::milliseconds{1000});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
    }

    void taskOfDisconnectedCallerIsDropped()
    {
        m_fixture.apply(CallerDisconnected{CallId{1}});
        m_fixture.advanceClock(std::chrono::milliseconds{1000});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() == nullptr);
    }

    void peerThatJoinsLaterDoesNotDelayTasks()
    {
        m_fixture.advanceClock(std::chrono::milliseconds{1000});
        m_fixture.apply(HeartbeatReceived{owner()});
        RequestArrived arrival = m_fixture.arrival("/draft/1", 2);
        arrival.request.pieces = {4};
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(m_fixture.effect<DelegateTask>() != nullptr);
    }

private:
    /*! @brief Returns the heartbeat of the only peer with enough capacity to own queues. */
    [[nodiscard]] static Heartbeat owner()
    {
        Heartbeat out;
        out.from = {InstanceName{"strong"}, "10.0.0.8:1", 8.0};
        out.canOwnQueues = true;
        out.isRelay = true;
        return out;
    }

    ServingFixture m_fixture{ServingFixture::endpoints(), {"10.0.0.8:1"}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStartTest);
