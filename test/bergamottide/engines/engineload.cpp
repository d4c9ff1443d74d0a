#include "support/engineload.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::engines;
using bergamottide::test::designStudioLoad;
using bergamottide::test::EngineLoad;
using bergamottide::test::EngineLoadOptions;
using bergamottide::test::EngineLoadOutcome;

/*! @brief Placement of generations with long shared prompts, in a simulation of the engines. */
class EngineLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineLoadTest);
    CPPUNIT_TEST(longSharedPromptsMeetObjectiveDuringBurst);
    CPPUNIT_TEST(reportsOfPeersAvoidRecomputation);
    CPPUNIT_TEST(cachedPrefixOfBusyEngineIsFetched);
    CPPUNIT_TEST(hotPrefixSpreadsOverSeveralEngines);
    CPPUNIT_TEST(slowEngineGetsFewGenerations);
    CPPUNIT_TEST(reportedPaceKeepsObjectiveWhileOtherEnginesTurnSlow);
    CPPUNIT_TEST_SUITE_END();

public:
    void longSharedPromptsMeetObjectiveDuringBurst()
    {
        EngineLoadOptions options = designStudioLoad();
        options.kinds[0].requestsPerSecond *= 2.0;
        const EngineLoadOutcome byCost = simulate(options, pickEngine);
        const EngineLoadOutcome byCount = simulate(options, test::pickByRequestCount);
        CPPUNIT_ASSERT(byCost.onTimeShare() > 0.9);
        CPPUNIT_ASSERT(byCost.onTimeShare() > byCount.onTimeShare() + 0.1);
    }

    void reportsOfPeersAvoidRecomputation()
    {
        EngineLoadOptions options = designStudioLoad();
        const EngineLoadOutcome withReports = simulate(options, pickEngine);
        options.exchangesReports = false;
        const EngineLoadOutcome withoutReports = simulate(options, pickEngine);
        CPPUNIT_ASSERT(withReports.recomputedTokens * 5 < withoutReports.recomputedTokens);
        CPPUNIT_ASSERT(withReports.recomputedTokens * 20 < withReports.prefilledTokens);
    }

    void cachedPrefixOfBusyEngineIsFetched()
    {
        EngineLoadOptions options = designStudioLoad();
        options.kinds[0].requestsPerSecond *= 2.0;
        const EngineLoadOutcome withFetching = simulate(options, pickEngine);
        options.fetchRate = 0.0;
        const EngineLoadOutcome withoutFetching = simulate(options, pickEngine);
        CPPUNIT_ASSERT(withFetching.fetchedTokens > 0);
        CPPUNIT_ASSERT(withFetching.prefilledTokens < withoutFetching.prefilledTokens);
        CPPUNIT_ASSERT(withFetching.kinds.at("draft").totalSeconds < withoutFetching.kinds.at("draft").totalSeconds);
    }

    void hotPrefixSpreadsOverSeveralEngines()
    {
        EngineLoadOptions options = designStudioLoad();
        options.kinds = {{"hot", 60.0, 1, 13'300, 3'720, std::chrono::milliseconds{800}}};
        const EngineLoadOutcome outcome = simulate(options, pickEngine);
        CPPUNIT_ASSERT(outcome.onTimeShare() > 0.95);
    }

    void slowEngineGetsFewGenerations()
    {
        EngineLoadOptions options = designStudioLoad();
        options.slowness = 5.0;
        const EngineLoadOutcome outcome = simulate(options, pickEngine);
        CPPUNIT_ASSERT(outcome.onTimeShare() > 0.85);
    }

    /*! @brief Guards against engines that are judged by first events alone: a third of them turns slow every 3 s, and
     * several generations are late before the first events show it. */
    void reportedPaceKeepsObjectiveWhileOtherEnginesTurnSlow()
    {
        EngineLoadOptions options = designStudioLoad();
        options.slowness = 4.0;
        options.slownessPeriod = std::chrono::seconds{3};
        const EngineLoadOutcome without = simulate(options, pickEngine);
        options.reportsPace = true;
        const EngineLoadOutcome with = simulate(options, pickEngine);
        CPPUNIT_ASSERT(with.onTimeShare() > without.onTimeShare());
    }

private:
    static EngineLoadOutcome simulate(const EngineLoadOptions &options, const EngineLoad::Policy &policy)
    {
        EngineLoadOutcome sum;
        for (const std::uint64_t seed : {1, 2, 3}) {
            const EngineLoadOutcome one = EngineLoad{options, policy, seed}.simulate();
            for (const auto &[name, kind] : one.kinds) {
                sum.kinds[name].requests += kind.requests;
                sum.kinds[name].onTime += kind.onTime;
                sum.kinds[name].totalSeconds += kind.totalSeconds;
            }
            sum.prefilledTokens += one.prefilledTokens;
            sum.recomputedTokens += one.recomputedTokens;
            sum.fetchedTokens += one.fetchedTokens;
        }
        return sum;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineLoadTest);
