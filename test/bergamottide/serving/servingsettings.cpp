#include "bergamottide/serving/servingsettings.h"

#include "bergamottide/overload/memoryaccount.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace bergamottide;
using namespace bergamottide::serving;

/*! @brief Settings of a serving process that bound what callers hold. */
class ServingSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingSettingsTest);
    CPPUNIT_TEST(limitsOfCallersAreRead);
    CPPUNIT_TEST(leastMemoryHasRoomForOneRequest);
    CPPUNIT_TEST(memoryWithoutRoomForARequestIsRefused);
    CPPUNIT_TEST(connectionsWithoutRoomInMemoryAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitsOfCallersAreRead()
    {
        const auto result =
            parseServingSettings(settings("callersMemory: 96MiB\ncallersConnections: 500\ncallersMinRate: 2KiB\n"));
        CPPUNIT_ASSERT(result.settings);
        CPPUNIT_ASSERT_EQUAL(96U << 20U, result.settings->callersMemory);
        CPPUNIT_ASSERT_EQUAL(500U, result.settings->callersConnections);
        CPPUNIT_ASSERT_EQUAL(2U << 10U, result.settings->callersMinRate);
    }

    /*! @brief A body of 4 MiB takes three times its length, and its response up to 8 MiB. */
    void leastMemoryHasRoomForOneRequest()
    {
        const auto result = parseServingSettings(settings("callersMemory: 64MiB\n"));
        CPPUNIT_ASSERT(result.settings);
        const overload::MemoryAccount account{result.settings->callersMemory, 1000};
        CPPUNIT_ASSERT(account.mostForOne() >= (3U * 4U + 8U) << 20U);
    }

    void memoryWithoutRoomForARequestIsRefused()
    {
        const auto result = parseServingSettings(settings("callersMemory: 48MiB\n"));
        CPPUNIT_ASSERT(!result.settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.issues.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"callersMemory"}, result.issues.front().path);
        CPPUNIT_ASSERT_EQUAL(lineOfFirst, result.issues.front().line);
    }

    void connectionsWithoutRoomInMemoryAreRefused()
    {
        CPPUNIT_ASSERT(parseServingSettings(settings("callersConnections: 600\ncallersMemory: 64MiB\n")).settings);
        const auto result = parseServingSettings(settings("callersConnections: 5000\ncallersMemory: 64MiB\n"));
        CPPUNIT_ASSERT(!result.settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.issues.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"callersConnections"}, result.issues.front().path);
        CPPUNIT_ASSERT_EQUAL(lineOfFirst, result.issues.front().line);
        CPPUNIT_ASSERT(IssueKind::Conflict == result.issues.front().kind);
    }

private:
    static constexpr int lineOfFirst = 8;

    static std::string settings(const std::string &lines)
    {
        return "instance: a\nzone: a\nregion: n\ncallersAddress: 127.0.0.1:1\nreadyAddress: 127.0.0.1:2\n"
               "peersAddress: 127.0.0.1:3\nstoreAddress: 127.0.0.1:4\n"
            + lines;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingSettingsTest);
