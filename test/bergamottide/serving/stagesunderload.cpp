#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;
using std::chrono::milliseconds;

/*! @brief Priority of stages, and the release of their results, while a stage pool is saturated. */
class StagesUnderLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StagesUnderLoadTest);
    CPPUNIT_TEST(taskOfALongPromptIsServedFirst);
    CPPUNIT_TEST(inputsAreReleasedOnceFetchedWhenMemoryIsScarce);
    CPPUNIT_TEST(inputsAreRetainedWhileMemoryIsAvailable);
    CPPUNIT_TEST_SUITE_END();

public:
    void taskOfALongPromptIsServedFirst()
    {
        submit(1, 8, 100);
        const StageCallNumber first = m_fixture.effect<StartStageCall>()->call;
        submit(2, 8, 100);
        m_fixture.advanceClock(milliseconds{10});
        submit(3, 8, 15'000);
        m_fixture.advanceClock(milliseconds{200});
        endCall(first, 8);
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt-3"}, m_fixture.effect<StartStageCall>()->items.front().attempt);
    }

    void inputsAreReleasedOnceFetchedWhenMemoryIsScarce()
    {
        // 16 results of 1,000 bytes fill 80 % of the memory of the only encoder.
        startRunWith(16);
        m_fixture.advanceClock(milliseconds{50});
        CPPUNIT_ASSERT(m_fixture.effect<ReleaseResults>() == nullptr);
        m_fixture.advanceClock(milliseconds{100});
        const auto *freed = m_fixture.effect<ReleaseResults>();
        CPPUNIT_ASSERT(freed != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, freed->handles.size());
    }

    void inputsAreRetainedWhileMemoryIsAvailable()
    {
        startRunWith(4);
        m_fixture.advanceClock(milliseconds{500});
        CPPUNIT_ASSERT(m_fixture.effect<ReleaseResults>() == nullptr);
    }

private:
    void submit(std::uint64_t call, std::uint32_t pieces, std::uint64_t tokens)
    {
        RequestArrived arrival = m_fixture.arrival("/draft/1", call);
        arrival.request.pieces = {pieces};
        arrival.request.prompt = {{"part-" + std::to_string(call), tokens}};
        m_fixture.apply(arrival);
    }

    void endCall(StageCallNumber call, std::size_t items)
    {
        StageCallEnded ended{call, StageCallStatus::Answered, {}};
        for (std::size_t item = 0; item < items; ++item) {
            ended.results.push_back({"h-" + std::to_string(m_nextHandle++), PieceFailure::None});
        }
        m_fixture.apply(ended);
    }

    /*! @brief Completes the stage of a request, so that its generation starts. */
    void startRunWith(std::uint32_t pieces)
    {
        submit(1, pieces, 100);
        while (const auto *call = m_fixture.effect<StartStageCall>()) {
            endCall(call->call, call->items.size());
        }
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
    }

    ServingFixture m_fixture;
    int m_nextHandle{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StagesUnderLoadTest);
