#include "bergamottide/app/peerwire.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace bergamottide;
using namespace bergamottide::serving;
using std::chrono::milliseconds;

/*! @brief JSON encoding of the messages between serving processes. */
class PeerWireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerWireTest);
    CPPUNIT_TEST(heartbeatRoundTripsEngineReports);
    CPPUNIT_TEST(heartbeatWithoutEngineReportsIsAccepted);
    CPPUNIT_TEST(heartbeatRoundTripsCrashReports);
    CPPUNIT_TEST(heartbeatRoundTripsEndpointNotices);
    CPPUNIT_TEST(heartbeatRoundTripsStreams);
    CPPUNIT_TEST(heartbeatOfAnEarlierReleaseHasNoCrashReports);
    CPPUNIT_TEST(heartbeatWithWrongFieldTypeIsRejected);
    CPPUNIT_TEST(deeplyNestedHeartbeatIsRejected);
    CPPUNIT_TEST(heartbeatRoundTripsWorkspacesAboveTheirShare);
    CPPUNIT_TEST(heartbeatOfAnEarlierReleaseHasNoShares);
    CPPUNIT_TEST(taskRoundTripsItsWorkspace);
    CPPUNIT_TEST(taskOfAnEarlierReleaseHasNoWorkspace);
    CPPUNIT_TEST_SUITE_END();

public:
    void heartbeatRoundTripsEngineReports()
    {
        constexpr std::uint64_t digest = 0xfedcba9876543210;
        Heartbeat heartbeat;
        heartbeat.from = {InstanceName{"a"}, "a:1", 0.5};
        heartbeat.engines.push_back({InstanceName{"b"},
                                     3,
                                     7,
                                     {{InstanceName{"engine-1"}, 1000}},
                                     {{InstanceName{"engine-2"}, {{digest, 13'300}, {2, 40}}, milliseconds{300}}}});
        const auto read = peerwire::decodeHeartbeat(peerwire::encode(heartbeat));
        CPPUNIT_ASSERT(read.ok());
        const engines::EngineReport &report = read->engines.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, report.origin.text());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, report.incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, report.sequence);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, report.pendingPrefills.at(0).tokens);
        CPPUNIT_ASSERT_EQUAL(digest, report.placed.at(0).chain.at(0).digest);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, report.placed.at(0).chain.at(1).tokens);
        CPPUNIT_ASSERT(report.placed.at(0).timeUntilCached == milliseconds{300});
    }

    void heartbeatWithoutEngineReportsIsAccepted()
    {
        std::string text = peerwire::encode(Heartbeat{});
        const std::string field = R"("engines":[],)";
        text.erase(text.find(field), field.size());
        const auto read = peerwire::decodeHeartbeat(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->engines.empty());
    }

    void heartbeatRoundTripsStreams()
    {
        constexpr StreamKey key{0xfedcba9876543210};
        Heartbeat heartbeat;
        heartbeat.streams = {{key, SoftwareVersion{"v1"}, milliseconds{900}},
                             {StreamKey{2}, SoftwareVersion{}, milliseconds{5}},
                             {StreamKey{3}, SoftwareVersion{"v1"}, milliseconds{7}}};
        const std::string text = peerwire::encode(heartbeat);
        const auto read = peerwire::decodeHeartbeat(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read->streams.size());
        const auto found = std::ranges::find(read->streams, key, &StreamReport::stream);
        CPPUNIT_ASSERT(found != read->streams.end());
        CPPUNIT_ASSERT_EQUAL(std::string{"v1"}, found->version.text());
        CPPUNIT_ASSERT(found->timeLeft == milliseconds{900});
        CPPUNIT_ASSERT(peerwire::decodeHeartbeat(peerwire::encode(Heartbeat{}))->streams.empty());
        std::string wrong = text;
        wrong.replace(wrong.find("900000"), 6, "\"soon\"");
        CPPUNIT_ASSERT(!peerwire::decodeHeartbeat(wrong).ok());
    }

    void heartbeatRoundTripsCrashReports()
    {
        constexpr std::uint64_t version = 0xfedcba9876543210;
        Heartbeat heartbeat;
        heartbeat.gossipVersion = version;
        heartbeat.gossipSince = version - 2;
        heartbeat.acknowledgedGossip = version - 1;
        heartbeat.crashes.push_back({InstanceName{"engine-1"},
                                     milliseconds{300},
                                     {RequestFingerprint{"a"}, RequestFingerprint{"b"}},
                                     {RequestFingerprint{"c"}},
                                     7,
                                     {RequestFingerprint{"d"}, RequestFingerprint{"e"}},
                                     {RequestFingerprint{"f"}}});
        const auto read = peerwire::decodeHeartbeat(peerwire::encode(heartbeat));
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(version, read->gossipVersion);
        CPPUNIT_ASSERT_EQUAL(version - 2, read->gossipSince);
        CPPUNIT_ASSERT_EQUAL(version - 1, read->acknowledgedGossip);
        const CrashReport &report = read->crashes.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string{"engine-1"}, report.endpoint.text());
        CPPUNIT_ASSERT(report.age == milliseconds{300});
        CPPUNIT_ASSERT(report.suspects == heartbeat.crashes.front().suspects);
        CPPUNIT_ASSERT(report.cleared == heartbeat.crashes.front().cleared);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, report.incarnation);
        CPPUNIT_ASSERT(report.suspectParts == heartbeat.crashes.front().suspectParts);
        CPPUNIT_ASSERT(report.clearedParts == heartbeat.crashes.front().clearedParts);
    }

    void heartbeatRoundTripsEndpointNotices()
    {
        Heartbeat heartbeat;
        heartbeat.notices.push_back({InstanceName{"engine-1"}, 7, 1.5, milliseconds{300}, false});
        heartbeat.notices.push_back({InstanceName{"engine-2"}, 8, std::nullopt, milliseconds{400}, true});
        const auto read = peerwire::decodeHeartbeat(peerwire::encode(heartbeat));
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(heartbeat.notices.size(), read->notices.size());
        for (std::size_t index = 0; index < heartbeat.notices.size(); ++index) {
            const NoticeReport &sent = heartbeat.notices[index];
            const NoticeReport &received = read->notices[index];
            CPPUNIT_ASSERT(sent.endpoint == received.endpoint && sent.incarnation == received.incarnation);
            CPPUNIT_ASSERT(sent.requestsPerSecond == received.requestsPerSecond && sent.age == received.age);
            CPPUNIT_ASSERT_EQUAL(sent.isDraining, received.isDraining);
        }
    }

    void heartbeatOfAnEarlierReleaseHasNoCrashReports()
    {
        std::string text = peerwire::encode(Heartbeat{});
        for (const std::string field : {R"("gossipVersion":0,)", R"("gossipSince":0,)", R"("knownGossip":0,)"}) {
            text.erase(text.find(field), field.size());
        }
        const auto read = peerwire::decodeHeartbeat(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->crashes.empty());
    }

    void heartbeatWithWrongFieldTypeIsRejected()
    {
        std::string text = peerwire::encode(Heartbeat{});
        const std::string field = R"("engines":[])";
        text.replace(text.find(field), field.size(), R"("engines":[{"origin":7}])");
        CPPUNIT_ASSERT(!peerwire::decodeHeartbeat(text).ok());
    }

    /*! @brief Guards against a heartbeat that ends the process, by recursion as deep as a field of it. */
    void deeplyNestedHeartbeatIsRejected()
    {
        constexpr std::size_t depth = 200'000;
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        for (const char *field : {"engines", "crashes", "notices", "streams"}) {
            std::string text = peerwire::encode(Heartbeat{});
            // The last of several fields with one name counts.
            text.insert(text.size() - 1, absl::StrCat(",\"", field, "\":[", nested, "]"));
            CPPUNIT_ASSERT_MESSAGE(field, !peerwire::decodeHeartbeat(text).ok());
        }
    }

    void heartbeatRoundTripsWorkspacesAboveTheirShare()
    {
        Heartbeat heartbeat;
        heartbeat.waits.push_back({PoolName{"encoders"},
                                   3,
                                   milliseconds{200},
                                   milliseconds{2},
                                   8.0,
                                   0.5,
                                   {WorkspaceName{"north"}, WorkspaceName{}},
                                   milliseconds{900}});
        const auto read = peerwire::decodeHeartbeat(peerwire::encode(heartbeat));
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->waits.at(0).aboveShare == heartbeat.waits.at(0).aboveShare);
        CPPUNIT_ASSERT(read->waits.at(0).aboveShareWait == milliseconds{900});
    }

    void heartbeatOfAnEarlierReleaseHasNoShares()
    {
        Heartbeat heartbeat;
        heartbeat.waits.push_back({PoolName{"encoders"}, 3, milliseconds{200}, milliseconds{2}, 8.0, 0.5});
        const std::string text = peerwire::encode(heartbeat);
        CPPUNIT_ASSERT(text.find("above") == std::string::npos);
        const auto read = peerwire::decodeHeartbeat(text);
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->waits.at(0).aboveShare.empty());
        CPPUNIT_ASSERT(read->waits.at(0).aboveShareWait == Duration::zero());
    }

    void taskRoundTripsItsWorkspace()
    {
        StageTask task;
        task.workspace = WorkspaceName{"north"};
        task.objective = milliseconds{1500};
        const auto read = peerwire::decodeTask(peerwire::encode(task, TimePoint{}), TimePoint{});
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT_EQUAL(std::string{"north"}, read->workspace.text());
        CPPUNIT_ASSERT(read->objective == milliseconds{1500});
    }

    void taskOfAnEarlierReleaseHasNoWorkspace()
    {
        std::string text = peerwire::encode(StageTask{}, TimePoint{});
        for (const std::string field : {R"("objective":0,)", R"(,"workspace":"")"}) {
            CPPUNIT_ASSERT(text.find(field) != std::string::npos);
            text.erase(text.find(field), field.size());
        }
        const auto read = peerwire::decodeTask(text, TimePoint{});
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(read->workspace.empty());
        CPPUNIT_ASSERT(read->objective == Duration::zero());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerWireTest);
