#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace bergamottide;
using namespace bergamottide::serving;
using std::chrono::milliseconds;
using test::ServingFixture;

/*! @brief A process that is late itself, and has not read what its endpoints have sent meanwhile. */
class LateProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateProcessTest);
    CPPUNIT_TEST(runIsNotTakenForStalledWhileLate);
    CPPUNIT_TEST(stalledRunIsFoundAfterTheLateness);
    CPPUNIT_TEST(latenessBeforeTheRunDoesNotCount);
    CPPUNIT_TEST(stageCallDoesNotTimeOutWhileLate);
    CPPUNIT_TEST(stageCallTimesOutAfterTheLateness);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fixture = std::make_unique<ServingFixture>();
    }

    /*! @brief Guards against the ejection of endpoints whose responses wait in the kernel. */
    void runIsNotTakenForStalledWhileLate()
    {
        startRun();
        m_fixture->advanceClock(milliseconds{1600}, milliseconds{1500});
        CPPUNIT_ASSERT(m_fixture->effect<CancelRun>() == nullptr);
    }

    void stalledRunIsFoundAfterTheLateness()
    {
        startRun();
        m_fixture->advanceClock(milliseconds{1600}, milliseconds{1500});
        m_fixture->advanceClock(milliseconds{850});
        CPPUNIT_ASSERT(m_fixture->effect<CancelRun>() == nullptr);
        m_fixture->advanceClock(milliseconds{100});
        CPPUNIT_ASSERT(m_fixture->effect<CancelRun>() != nullptr);
    }

    void latenessBeforeTheRunDoesNotCount()
    {
        startRun();
        m_fixture->advanceClock(milliseconds{100}, milliseconds{1500});
        m_fixture->advanceClock(milliseconds{1050});
        CPPUNIT_ASSERT(m_fixture->effect<CancelRun>() != nullptr);
    }

    /*! @brief Guards against stages that fail because this process has not read their results. */
    void stageCallDoesNotTimeOutWhileLate()
    {
        startStageCall();
        m_fixture->advanceClock(milliseconds{1600}, milliseconds{1500});
        CPPUNIT_ASSERT(m_fixture->effect<CancelStageCall>() == nullptr);
    }

    void stageCallTimesOutAfterTheLateness()
    {
        startStageCall();
        m_fixture->advanceClock(milliseconds{1600}, milliseconds{1500});
        m_fixture->advanceClock(milliseconds{900});
        CPPUNIT_ASSERT(m_fixture->effect<CancelStageCall>() != nullptr);
    }

private:
    void startRun()
    {
        m_fixture->apply(m_fixture->arrival("/lookup/1"));
        CPPUNIT_ASSERT(m_fixture->effect<StartRun>() != nullptr);
    }

    void startStageCall()
    {
        RequestArrived arrival = m_fixture->arrival("/draft/1");
        arrival.request.pieces = {8};
        m_fixture->apply(arrival);
        CPPUNIT_ASSERT(m_fixture->effect<StartStageCall>() != nullptr);
    }

    std::unique_ptr<ServingFixture> m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateProcessTest);
