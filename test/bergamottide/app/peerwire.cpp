#include "bergamottide/app/peerwire.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;
using std::chrono::milliseconds;

/*! @brief Messages between processes that serve callers. */
class PeerWireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerWireTest);
    CPPUNIT_TEST(heartbeatTellsOfGenerations);
    CPPUNIT_TEST(heartbeatWithoutGenerationsIsRead);
    CPPUNIT_TEST(heartbeatOfTheWrongTypesIsATypedError);
    CPPUNIT_TEST_SUITE_END();

public:
    void heartbeatTellsOfGenerations()
    {
        constexpr std::uint64_t digest = 0xfedcba9876543210;
        Heartbeat heartbeat;
        heartbeat.from = {InstanceName{"a"}, "a:1", 0.5};
        heartbeat.engines.push_back({InstanceName{"b"},
                                     3,
                                     7,
                                     {{InstanceName{"engine-1"}, 1000}},
                                     {{InstanceName{"engine-2"}, {{digest, 13'300}, {2, 40}}, milliseconds{300}}}});
        const auto read = peerwire::readHeartbeat(peerwire::write(heartbeat));
        CPPUNIT_ASSERT(read.ok());
        const engines::EngineReport &report = read->engines.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, report.origin.text());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, report.incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, report.sequence);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, report.work.at(0).tokens);
        CPPUNIT_ASSERT_EQUAL(digest, report.placed.at(0).chain.at(0).digest);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, report.placed.at(0).chain.at(1).tokens);
        CPPUNIT_ASSERT(report.placed.at(0).readIn == milliseconds{300});
    }

    void heartbeatWithoutGenerationsIsRead()
    {
        std::string text = peerwire::write(Heartbeat{});
        const std::string field = R"("engines":[],)";
        text.erase(text.find(field), field.size());
        const auto read = peerwire::readHeartbeat(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->engines.empty());
    }

    void heartbeatOfTheWrongTypesIsATypedError()
    {
        std::string text = peerwire::write(Heartbeat{});
        const std::string field = R"("engines":[])";
        text.replace(text.find(field), field.size(), R"("engines":[{"origin":7}])");
        CPPUNIT_ASSERT(!peerwire::readHeartbeat(text).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerWireTest);
