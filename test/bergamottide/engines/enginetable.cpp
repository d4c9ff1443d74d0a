#include "bergamottide/engines/enginetable.h"
#include "bergamottide/engines/engineplacement.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::engines;
using std::chrono::milliseconds;

/*! @brief Estimated caches, backlogs and speeds of engines, and the placement based on them. */
class EngineTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineTableTest);
    CPPUNIT_TEST(countsCachedLinksFromTheStart);
    CPPUNIT_TEST(evictsLeastRecentlyUsedParts);
    CPPUNIT_TEST(modelsDoNotSharePrefixes);
    CPPUNIT_TEST(backlogDecreasesDuringPrefill);
    CPPUNIT_TEST(reportReplacesPendingTokensOfPeer);
    CPPUNIT_TEST(ignoresOutdatedReport);
    CPPUNIT_TEST(acceptsReportsOfRestartedPeer);
    CPPUNIT_TEST(restartedEngineHasEmptyCache);
    CPPUNIT_TEST(restartedEngineHasNoPendingPrefill);
    CPPUNIT_TEST(generationOfFormerEngineDoesNotCount);
    CPPUNIT_TEST(unlistedEngineIsRemoved);
    CPPUNIT_TEST(promptGoesToEngineThatCachesItsPrefix);
    CPPUNIT_TEST(promptAvoidsBusyEngineThatCachesItsPrefix);
    CPPUNIT_TEST(excludedEngineIsNotChosen);
    CPPUNIT_TEST(learnsTimesToFirstEvents);
    CPPUNIT_TEST(paceOfAnEngineIsNotCountedAsSlownessToo);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_table.setEngines({listing("a", 1), listing("b", 1)});
    }

    void countsCachedLinksFromTheStart()
    {
        PrefixCacheModel cache;
        cache.insert(chain({"s", "t"}), 0, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cache.cachedLinks(chain({"s", "t", "u"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cache.cachedLinks(chain({"s", "u"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.cachedLinks(chain({"t"})));
    }

    void evictsLeastRecentlyUsedParts()
    {
        PrefixCacheModel cache;
        cache.insert(chain({"s", "t"}), 300, m_now);
        cache.insert(chain({"s", "u"}), 300, m_now);
        cache.insert(chain({"s", "v"}), 300, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, cache.tokens());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cache.cachedLinks(chain({"s", "t"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cache.cachedLinks(chain({"s", "u"})));
    }

    void modelsDoNotSharePrefixes()
    {
        PrefixCacheModel cache;
        cache.insert(chainOf("one", {{"s", 100}}), 0, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.cachedLinks(chainOf("other", {{"s", 100}})));
    }

    void backlogDecreasesDuringPrefill()
    {
        PrefillBacklog backlog;
        backlog.add(GenerationNumber{1}, 1000, m_now);
        backlog.add(GenerationNumber{2}, 500, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1500.0, backlog.totalTokens(1000.0, m_now), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1100.0, backlog.totalTokens(1000.0, m_now + milliseconds{400}), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, backlog.totalTokens(1000.0, m_now + milliseconds{4000}), 1e-6);
        backlog.remove(GenerationNumber{1}, m_now + milliseconds{4000});
        backlog.remove(GenerationNumber{2}, m_now + milliseconds{4000});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, backlog.totalTokens(1000.0, m_now + milliseconds{4000}), 1e-6);
    }

    void reportReplacesPendingTokensOfPeer()
    {
        m_table.applyReport({InstanceName{"peer"}, 1, 1, {{InstanceName{"a"}, 1000}}, {}}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, m_table.find(InstanceName{"a"})->backlog.totalTokens(1.0, m_now), 1.0);
        m_table.applyReport({InstanceName{"peer"}, 1, 2, {{InstanceName{"b"}, 10}}, {}}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, m_table.find(InstanceName{"a"})->backlog.totalTokens(1.0, m_now), 1.0);
    }

    void ignoresOutdatedReport()
    {
        m_table.applyReport({InstanceName{"peer"}, 1, 2, {{InstanceName{"a"}, 1000}}, {}}, m_now);
        m_table.applyReport({InstanceName{"peer"}, 1, 1, {}, {}}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, m_table.find(InstanceName{"a"})->backlog.totalTokens(1.0, m_now), 1.0);
    }

    void acceptsReportsOfRestartedPeer()
    {
        m_table.applyReport({InstanceName{"peer"}, 1, 900, {}, {}}, m_now);
        m_table.applyReport({InstanceName{"peer"}, 2, 1, {{InstanceName{"a"}, 1000}}, {}}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, m_table.find(InstanceName{"a"})->backlog.totalTokens(1.0, m_now), 1.0);
    }

    void restartedEngineHasEmptyCache()
    {
        send("a", chain({"s"}));
        m_table.setEngines({listing("a", 1), listing("b", 1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_table.find(InstanceName{"a"})->prefixCache.cachedLinks(chain({"s"})));
        m_table.setEngines({listing("a", 2), listing("b", 1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_table.find(InstanceName{"a"})->prefixCache.cachedLinks(chain({"s"})));
    }

    void restartedEngineHasNoPendingPrefill()
    {
        send("a", chain({"s"}));
        m_table.applyReport({InstanceName{"peer"}, 1, 1, {{InstanceName{"a"}, 1000}}, {}}, m_now);
        m_table.setEngines({listing("a", 2), listing("b", 1)});
        CPPUNIT_ASSERT_EQUAL(0.0, m_table.find(InstanceName{"a"})->backlog.totalTokens(1.0, m_now));
        CPPUNIT_ASSERT(m_table.nextReport(InstanceName{"self"}, 1, m_now).pendingPrefills.empty());
    }

    /*! @brief Guards against prompts that are taken for cached, here or by peers, after their engine has restarted. */
    void generationOfFormerEngineDoesNotCount()
    {
        send("a", chain({"s"}));
        m_table.setEngines({listing("a", 2), listing("b", 1)});
        CPPUNIT_ASSERT(m_table.nextReport(InstanceName{"self"}, 1, m_now).placed.empty());
        m_now += milliseconds{1};
        m_table.recordFirstEvent(GenerationNumber{1}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_table.find(InstanceName{"a"})->prefixCache.cachedLinks(chain({"s"})));
        CPPUNIT_ASSERT_EQUAL(1.0, m_table.find(InstanceName{"a"})->slowness);
    }

    void unlistedEngineIsRemoved()
    {
        m_table.setEngines({listing("b", 1)});
        CPPUNIT_ASSERT(m_table.find(InstanceName{"a"}) == nullptr);
        m_table.applyReport(
            {InstanceName{"peer"}, 1, 1, {{InstanceName{"a"}, 1000}}, {{InstanceName{"a"}, chain({"s"}), {}}}}, m_now);
        CPPUNIT_ASSERT(m_table.find(InstanceName{"a"}) == nullptr);
    }

    void promptGoesToEngineThatCachesItsPrefix()
    {
        const PromptChain longPrompt = chainOf("m", {{"s", 10'000}, {"x", 100}});
        for (const char *engine : {"a", "b"}) {
            m_table = {};
            setUp();
            send(engine, longPrompt);
            m_now += milliseconds{1};
            m_table.recordFirstEvent(GenerationNumber{1}, m_now);
            const auto choice = pick(chainOf("m", {{"s", 10'000}, {"y", 100}}));
            CPPUNIT_ASSERT_EQUAL(std::string{engine}, choice->engine.text());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, choice->prefillTokens);
        }
    }

    void promptAvoidsBusyEngineThatCachesItsPrefix()
    {
        send("a", chainOf("m", {{"s", 10'000}, {"x", 100}}));
        m_table.recordFirstEvent(GenerationNumber{1}, m_now);
        m_table.applyReport({InstanceName{"peer"}, 1, 1, {{InstanceName{"a"}, 200'000}}, {}}, m_now);
        const auto withoutFetch = pick(chainOf("m", {{"s", 10'000}, {"y", 100}}));
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, withoutFetch->engine.text());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'100}, withoutFetch->prefillTokens);
        const auto withFetch = pick(chainOf("m", {{"s", 10'000}, {"y", 100}}), 2e6);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, withFetch->engine.text());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, withFetch->fetchFrom.text());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, withFetch->prefillTokens);
    }

    void excludedEngineIsNotChosen()
    {
        const PromptChain prompt = chain({"s"});
        const GenerationQuery query{PoolName{"p"}, prompt, "1", {}, 0, 0.0};
        const auto choice =
            pickEngine(m_table, {{InstanceName{"a"}, {}, 0, true}, {InstanceName{"b"}, {}, 0, false}}, query, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, choice->engine.text());
        CPPUNIT_ASSERT(!pickEngine(m_table, {{InstanceName{"a"}, {}, 0, true}}, query, m_now));
    }

    void learnsTimesToFirstEvents()
    {
        FirstEventModel times;
        for (int sample = 0; sample < 200; ++sample) {
            const double tokens = 1'000.0 + 1'000.0 * (sample % 20);
            times.learn(tokens, milliseconds{100} + std::chrono::microseconds{static_cast<int>(tokens * 20.0)}, 1.0);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50'000.0, times.tokensPerSecond(), 5'000.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, std::chrono::duration<double>(times.expected(10'000.0)).count(), 0.02);
    }

    /*! @brief Guards against an engine of pace 2 that counts as four times as slow. */
    void paceOfAnEngineIsNotCountedAsSlownessToo()
    {
        const InstanceName engine{"a"};
        const PromptChain prompt = chain({"s"});
        const Duration usual = m_table.model(PoolName{"p"}).expected(100.0);
        for (std::uint64_t number = 1; number <= 10; ++number) {
            m_table.recordSent({GenerationNumber{number}, engine, prompt, 100, 0.0, 2 * usual, 2.0}, m_now);
            m_now += 2 * usual;
            m_table.recordFirstEvent(GenerationNumber{number}, m_now);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, currentSlowness(*m_table.find(engine), m_now), 0.01);
        const auto choice =
            pickEngine(m_table, {{engine, {}, 0, false, 2.0}}, {PoolName{"p"}, chain({"t"}), "1", {}, 0, 0.0}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(std::chrono::duration<double>(2 * usual).count(),
                                     std::chrono::duration<double>(choice->expectedFirstEvent).count(), 0.005);
    }

private:
    static EngineListing listing(const std::string &name, std::uint64_t incarnation)
    {
        return {InstanceName{name}, PoolName{"p"}, incarnation, 100'000};
    }

    static PromptChain chain(const std::vector<std::string> &ids)
    {
        std::vector<PromptPart> parts;
        parts.reserve(ids.size());
        for (const std::string &id : ids) {
            parts.push_back({id, 100});
        }
        return chainOf("model", parts);
    }

    void send(const std::string &engine, const PromptChain &prompt)
    {
        m_table.recordSent(
            {GenerationNumber{1}, InstanceName{engine}, prompt, tokensOf(prompt), 0.0, milliseconds{100}}, m_now);
    }

    std::optional<EngineChoice> pick(const PromptChain &prompt, double fetchRate = 0.0)
    {
        const GenerationQuery query{PoolName{"p"}, prompt, "1", {}, 0, fetchRate};
        return pickEngine(m_table, {{InstanceName{"a"}, {}, 0, false}, {InstanceName{"b"}, {}, 0, false}}, query,
                          m_now);
    }

    EngineTable m_table;
    TimePoint m_now{std::chrono::seconds{10}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineTableTest);
