#include "bergamottide/engines/enginetable.h"
#include "bergamottide/engines/engineplacement.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::engines;
using std::chrono::milliseconds;

/*! @brief What a process believes of engines: what they keep, have yet to read, and how fast they are. */
class EngineTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineTableTest);
    CPPUNIT_TEST(keptPartsCountFromTheFirstOn);
    CPPUNIT_TEST(partsUsedLongestAgoYield);
    CPPUNIT_TEST(samePartsOfAnotherModelAreNotKept);
    CPPUNIT_TEST(backlogShrinksWhileThePromptInFrontIsRead);
    CPPUNIT_TEST(toldWorkIsReplacedByTheNextReport);
    CPPUNIT_TEST(olderReportThatComesLaterIsPassedOver);
    CPPUNIT_TEST(peerThatStartsAnewIsHeardAgain);
    CPPUNIT_TEST(engineThatStartsAnewKeepsNothing);
    CPPUNIT_TEST(engineThatIsNoLongerListedIsForgotten);
    CPPUNIT_TEST(promptGoesWhereItsPartsAreKept);
    CPPUNIT_TEST(promptLeavesABusyEngineThatKeepsItsParts);
    CPPUNIT_TEST(excludedEngineIsNotChosen);
    CPPUNIT_TEST(firstEventTimesAreLearnt);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_table.setEngines({listing("a", 1), listing("b", 1)});
    }

    void keptPartsCountFromTheFirstOn()
    {
        KeptParts kept;
        kept.note(chain({"s", "t"}), 0, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, kept.keptLinks(chain({"s", "t", "u"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.keptLinks(chain({"s", "u"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, kept.keptLinks(chain({"t"})));
    }

    void partsUsedLongestAgoYield()
    {
        KeptParts kept;
        kept.note(chain({"s", "t"}), 300, m_now);
        kept.note(chain({"s", "u"}), 300, m_now);
        kept.note(chain({"s", "v"}), 300, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, kept.tokens());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.keptLinks(chain({"s", "t"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, kept.keptLinks(chain({"s", "u"})));
    }

    void samePartsOfAnotherModelAreNotKept()
    {
        KeptParts kept;
        kept.note(chainOf("one", {{"s", 100}}), 0, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, kept.keptLinks(chainOf("other", {{"s", 100}})));
    }

    void backlogShrinksWhileThePromptInFrontIsRead()
    {
        PrefillBacklog backlog;
        backlog.sent(GenerationNumber{1}, 1000, m_now);
        backlog.sent(GenerationNumber{2}, 500, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1500.0, backlog.all(1000.0, m_now), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1100.0, backlog.all(1000.0, m_now + milliseconds{400}), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, backlog.all(1000.0, m_now + milliseconds{4000}), 1e-6);
        backlog.read(GenerationNumber{1}, m_now + milliseconds{4000});
        backlog.read(GenerationNumber{2}, m_now + milliseconds{4000});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, backlog.all(1000.0, m_now + milliseconds{4000}), 1e-6);
    }

    void toldWorkIsReplacedByTheNextReport()
    {
        m_table.told({InstanceName{"peer"}, 1, 1, {{InstanceName{"a"}, 1000}}, {}}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, m_table.find(InstanceName{"a"})->backlog.all(1.0, m_now), 1.0);
        m_table.told({InstanceName{"peer"}, 1, 2, {{InstanceName{"b"}, 10}}, {}}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, m_table.find(InstanceName{"a"})->backlog.all(1.0, m_now), 1.0);
    }

    void olderReportThatComesLaterIsPassedOver()
    {
        m_table.told({InstanceName{"peer"}, 1, 2, {{InstanceName{"a"}, 1000}}, {}}, m_now);
        m_table.told({InstanceName{"peer"}, 1, 1, {}, {}}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, m_table.find(InstanceName{"a"})->backlog.all(1.0, m_now), 1.0);
    }

    void peerThatStartsAnewIsHeardAgain()
    {
        m_table.told({InstanceName{"peer"}, 1, 900, {}, {}}, m_now);
        m_table.told({InstanceName{"peer"}, 2, 1, {{InstanceName{"a"}, 1000}}, {}}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, m_table.find(InstanceName{"a"})->backlog.all(1.0, m_now), 1.0);
    }

    void engineThatStartsAnewKeepsNothing()
    {
        send("a", chain({"s"}));
        m_table.setEngines({listing("a", 1), listing("b", 1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_table.find(InstanceName{"a"})->kept.keptLinks(chain({"s"})));
        m_table.setEngines({listing("a", 2), listing("b", 1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_table.find(InstanceName{"a"})->kept.keptLinks(chain({"s"})));
    }

    void engineThatIsNoLongerListedIsForgotten()
    {
        m_table.setEngines({listing("b", 1)});
        CPPUNIT_ASSERT(m_table.find(InstanceName{"a"}) == nullptr);
        m_table.told({InstanceName{"peer"}, 1, 1, {{InstanceName{"a"}, 1000}}, {{InstanceName{"a"}, chain({"s"}), {}}}},
                     m_now);
        CPPUNIT_ASSERT(m_table.find(InstanceName{"a"}) == nullptr);
    }

    void promptGoesWhereItsPartsAreKept()
    {
        const PromptChain long1 = chainOf("m", {{"s", 10'000}, {"x", 100}});
        for (const char *engine : {"a", "b"}) {
            m_table = {};
            setUp();
            send(engine, long1);
            m_now += milliseconds{1};
            m_table.began(GenerationNumber{1}, m_now);
            const auto choice = pick(chainOf("m", {{"s", 10'000}, {"y", 100}}));
            CPPUNIT_ASSERT_EQUAL(std::string{engine}, choice->engine.text());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, choice->toRead);
        }
    }

    void promptLeavesABusyEngineThatKeepsItsParts()
    {
        send("a", chainOf("m", {{"s", 10'000}, {"x", 100}}));
        m_table.began(GenerationNumber{1}, m_now);
        m_table.told({InstanceName{"peer"}, 1, 1, {{InstanceName{"a"}, 200'000}}, {}}, m_now);
        const auto reading = pick(chainOf("m", {{"s", 10'000}, {"y", 100}}));
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, reading->engine.text());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'100}, reading->toRead);
        const auto fetching = pick(chainOf("m", {{"s", 10'000}, {"y", 100}}), 2e6);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, fetching->engine.text());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, fetching->fetchFrom.text());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, fetching->toRead);
    }

    void excludedEngineIsNotChosen()
    {
        const PromptChain prompt = chain({"s"});
        const GenerationNeeds needs{PoolName{"p"}, prompt, "1", {}, 0, 0.0};
        const auto choice =
            pickEngine(m_table, {{InstanceName{"a"}, {}, 0, true}, {InstanceName{"b"}, {}, 0, false}}, needs, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, choice->engine.text());
        CPPUNIT_ASSERT(!pickEngine(m_table, {{InstanceName{"a"}, {}, 0, true}}, needs, m_now));
    }

    void firstEventTimesAreLearnt()
    {
        FirstEventModel times;
        for (int sample = 0; sample < 200; ++sample) {
            const double tokens = 1'000.0 + 1'000.0 * (sample % 20);
            times.learn(tokens, milliseconds{100} + std::chrono::microseconds{static_cast<int>(tokens * 20.0)}, 1.0);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50'000.0, times.tokensPerSecond(), 5'000.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, std::chrono::duration<double>(times.expected(10'000.0)).count(), 0.02);
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
        m_table.sent({GenerationNumber{1}, InstanceName{engine}, prompt, tokensOf(prompt), 0.0, milliseconds{100}},
                     m_now);
    }

    std::optional<EngineChoice> pick(const PromptChain &prompt, double fetchRate = 0.0)
    {
        const GenerationNeeds needs{PoolName{"p"}, prompt, "1", {}, 0, fetchRate};
        return pickEngine(m_table, {{InstanceName{"a"}, {}, 0, false}, {InstanceName{"b"}, {}, 0, false}}, needs,
                          m_now);
    }

    EngineTable m_table;
    TimePoint m_now{std::chrono::seconds{10}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineTableTest);
