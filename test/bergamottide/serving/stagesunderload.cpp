#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;
using std::chrono::milliseconds;

/*! @brief Which stages go first, and how long their results are kept, while a pool is full. */
class StagesUnderLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StagesUnderLoadTest);
    CPPUNIT_TEST(longPromptLeavesTheStagesBeforeAShortOne);
    CPPUNIT_TEST(inputsAreGivenUpOnceFetchedWhereRoomIsScarce);
    CPPUNIT_TEST(inputsStayUntilTheFirstEventWhereThereIsRoom);
    CPPUNIT_TEST_SUITE_END();

public:
    void longPromptLeavesTheStagesBeforeAShortOne()
    {
        submit(1, 8, 100);
        const StageCallNumber first = m_fixture.effect<StartStageCall>()->call;
        submit(2, 8, 100);
        m_fixture.pass(milliseconds{10});
        submit(3, 8, 15'000);
        m_fixture.pass(milliseconds{200});
        endCall(first, 8);
        CPPUNIT_ASSERT_EQUAL(std::string{"attempt-3"}, m_fixture.effect<StartStageCall>()->items.front().attempt);
    }

    void inputsAreGivenUpOnceFetchedWhereRoomIsScarce()
    {
        // 16 results of 1,000 bytes fill four fifths of the only encoder's memory.
        startRunWith(16);
        m_fixture.pass(milliseconds{50});
        CPPUNIT_ASSERT(m_fixture.effect<FreeResults>() == nullptr);
        m_fixture.pass(milliseconds{100});
        const auto *freed = m_fixture.effect<FreeResults>();
        CPPUNIT_ASSERT(freed != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, freed->handles.size());
    }

    void inputsStayUntilTheFirstEventWhereThereIsRoom()
    {
        startRunWith(4);
        m_fixture.pass(milliseconds{500});
        CPPUNIT_ASSERT(m_fixture.effect<FreeResults>() == nullptr);
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
        StageCallEnded ended{call, StageCallEnd::Answered, {}};
        for (std::size_t item = 0; item < items; ++item) {
            ended.results.push_back({"h-" + std::to_string(m_nextHandle++), PieceFailure::None});
        }
        m_fixture.apply(ended);
    }

    /*! @brief Has the stage of a request made, and its generation sent. */
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
