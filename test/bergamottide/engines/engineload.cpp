#include "support/engineload.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::engines;
using bergamottide::test::designStudioLoad;
using bergamottide::test::EngineLoad;
using bergamottide::test::EngineLoadOptions;
using bergamottide::test::EngineLoadOutcome;

/*! @brief Placement of generations under loads of long shared prompts, measured by what callers see. */
class EngineLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineLoadTest);
    CPPUNIT_TEST(longSharedPromptsAreOnTimeInABurst);
    CPPUNIT_TEST(partsThatAnotherProcessPlacedAreNotReadAgain);
    CPPUNIT_TEST(partOfABusyEngineIsFetchedInsteadOfReadAgain);
    CPPUNIT_TEST(hotPartSpreadsOverSeveralEngines);
    CPPUNIT_TEST(slowEngineGetsFewGenerations);
    CPPUNIT_TEST_SUITE_END();

public:
    void longSharedPromptsAreOnTimeInABurst()
    {
        EngineLoadOptions options = designStudioLoad();
        options.kinds[0].perSecond *= 2.0;
        const EngineLoadOutcome byCost = play(options, pickEngine);
        const EngineLoadOutcome byCount = play(options, test::placeByCount);
        CPPUNIT_ASSERT(byCost.onTimeShare() > 0.9);
        CPPUNIT_ASSERT(byCost.onTimeShare() > byCount.onTimeShare() + 0.1);
    }

    void partsThatAnotherProcessPlacedAreNotReadAgain()
    {
        EngineLoadOptions options = designStudioLoad();
        const EngineLoadOutcome told = play(options, pickEngine);
        options.isTold = false;
        const EngineLoadOutcome untold = play(options, pickEngine);
        CPPUNIT_ASSERT(told.readAgain * 5 < untold.readAgain);
        CPPUNIT_ASSERT(told.readAgain * 20 < told.read);
    }

    void partOfABusyEngineIsFetchedInsteadOfReadAgain()
    {
        EngineLoadOptions options = designStudioLoad();
        options.kinds[0].perSecond *= 2.0;
        const EngineLoadOutcome fetching = play(options, pickEngine);
        options.fetchRate = 0.0;
        const EngineLoadOutcome reading = play(options, pickEngine);
        CPPUNIT_ASSERT(fetching.fetched > 0);
        CPPUNIT_ASSERT(fetching.read < reading.read);
        CPPUNIT_ASSERT(fetching.kinds.at("draft").seconds < reading.kinds.at("draft").seconds);
    }

    void hotPartSpreadsOverSeveralEngines()
    {
        EngineLoadOptions options = designStudioLoad();
        options.kinds = {{"hot", 60.0, 1, 13'300, 3'720, std::chrono::milliseconds{800}}};
        const EngineLoadOutcome outcome = play(options, pickEngine);
        CPPUNIT_ASSERT(outcome.onTimeShare() > 0.95);
    }

    void slowEngineGetsFewGenerations()
    {
        EngineLoadOptions options = designStudioLoad();
        options.slowness = 5.0;
        const EngineLoadOutcome outcome = play(options, pickEngine);
        CPPUNIT_ASSERT(outcome.onTimeShare() > 0.85);
    }

private:
    static EngineLoadOutcome play(const EngineLoadOptions &options, const EngineLoad::Policy &policy)
    {
        EngineLoadOutcome sum;
        for (const std::uint64_t seed : {1, 2, 3}) {
            const EngineLoadOutcome one = EngineLoad{options, policy, seed}.play();
            for (const auto &[name, kind] : one.kinds) {
                sum.kinds[name].requests += kind.requests;
                sum.kinds[name].onTime += kind.onTime;
                sum.kinds[name].seconds += kind.seconds;
            }
            sum.read += one.read;
            sum.readAgain += one.readAgain;
            sum.fetched += one.fetched;
        }
        return sum;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineLoadTest);
