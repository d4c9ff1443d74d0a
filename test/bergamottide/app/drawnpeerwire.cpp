#include "bergamottide/app/peerwire.h"
#include "support/drawnjson.h"
#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <random>
#include <string>

using namespace bergamottide;
using namespace bergamottide::serving;
using nlohmann::json;
using std::chrono::milliseconds;
using test::drawJson;
using test::drawMutation;

namespace {

constexpr TimePoint now{std::chrono::seconds{100}};

Heartbeat soundHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.from = {InstanceName{"a"}, "10.0.0.1:1", 0.5, ZoneName{"z"}};
    heartbeat.roster = {{{InstanceName{"b"}, "10.0.0.2:1", 1.0, ZoneName{"z"}}, true, false},
                        {{InstanceName{"c"}}, false, true}};
    heartbeat.waits = {
        {PoolName{"p"}, 3, milliseconds{200}, milliseconds{2}, 8.0, 0.5, {WorkspaceName{"north"}}, milliseconds{900}}};
    heartbeat.upcoming = {{PoolName{"p"}, 3, 7}};
    heartbeat.engines = {{InstanceName{"b"},
                          3,
                          7,
                          {{InstanceName{"engine-1"}, 1000}},
                          {{InstanceName{"engine-2"}, {{5, 13'300}, {2, 40}}, milliseconds{300}}}}};
    heartbeat.crashes = {{InstanceName{"engine-1"},
                          milliseconds{300},
                          {RequestFingerprint{"a"}},
                          {RequestFingerprint{"c"}},
                          7,
                          {RequestFingerprint{"d"}},
                          {RequestFingerprint{"f"}}}};
    heartbeat.notices = {{InstanceName{"engine-1"}, 7, 1.5, milliseconds{300}, true}};
    heartbeat.streams = {{StreamKey{1}, SoftwareVersion{"v1"}, milliseconds{900}}};
    return heartbeat;
}

StageTask soundTask()
{
    StageTask task;
    task.requester = InstanceName{"a"};
    task.pool = PoolName{"p"};
    task.deadline = now + milliseconds{900};
    task.latestStart = now + milliseconds{500};
    task.pieces = 2;
    task.inputs = {{"h", InstanceName{"engine-1"}, "10.0.0.1:1", 8}};
    task.heldResults = {{InstanceName{"engine-1"}, 8}};
    return task;
}

std::mt19937 drawGenerator()
{
    return std::mt19937{*rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()))};
}

std::string drawMessage(const json &sound)
{
    std::mt19937 random = drawGenerator();
    return random() % 8 == 0 ? drawJson(random) : drawMutation(random, sound);
}

} // namespace

/*! @brief Decoders of messages between serving processes, on drawn ones. */
class DrawnPeerWireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrawnPeerWireTest);
    CPPUNIT_TEST(drawnHeartbeatsAreDecoded);
    CPPUNIT_TEST(drawnTasksAreDecoded);
    CPPUNIT_TEST(drawnOutcomesAndHandlesAreDecoded);
    CPPUNIT_TEST(drawnStreamQueriesAreDecoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void drawnHeartbeatsAreDecoded()
    {
        const json sound = json::parse(peerwire::encode(soundHeartbeat()));
        test::checkProperty(
            [&sound] {
                const auto decoded = peerwire::decodeHeartbeat(drawMessage(sound));
                if (!decoded.ok()) {
                    return;
                }
                const std::string text = peerwire::encode(*decoded);
                const auto again = peerwire::decodeHeartbeat(text);
                RC_ASSERT(again.ok());
                RC_ASSERT(peerwire::encode(*again) == text);
            },
            1, 2000);
    }

    void drawnTasksAreDecoded()
    {
        const json sound = json::parse(peerwire::encode(soundTask(), now));
        test::checkProperty(
            [&sound] {
                const auto decoded = peerwire::decodeTask(drawMessage(sound), now);
                if (!decoded.ok()) {
                    return;
                }
                const std::string text = peerwire::encode(*decoded, now);
                const auto again = peerwire::decodeTask(text, now);
                RC_ASSERT(again.ok());
                RC_ASSERT(peerwire::encode(*again, now) == text);
            },
            2, 2000);
    }

    void drawnOutcomesAndHandlesAreDecoded()
    {
        constexpr StageTaskId id{};
        const json outcomes =
            json::parse(peerwire::encode({{id, 1, {"h", PieceFailure::None}, InstanceName{"engine-1"}, "10.0.0.1:1"}}));
        test::checkProperty(
            [&outcomes] {
                if (const auto decoded = peerwire::decodeOutcomes(drawMessage(outcomes), id); decoded.ok()) {
                    const std::string text = peerwire::encode(*decoded);
                    RC_ASSERT(peerwire::encode(*peerwire::decodeOutcomes(text, id)) == text);
                }
                if (const auto handles = peerwire::decodeHandles(drawMessage(json::array({"h1", "h2"})));
                    handles.ok()) {
                    RC_ASSERT(*peerwire::decodeHandles(peerwire::encodeHandles(*handles)) == *handles);
                }
            },
            3, 2000);
    }

    void drawnStreamQueriesAreDecoded()
    {
        test::checkProperty(
            [] {
                std::mt19937 random = drawGenerator();
                HttpRequest request =
                    peerwire::encode(StreamQuery{StreamKey{random()}, PoolName{"p"}, {"7a", 80}, milliseconds{900}});
                for (auto &[name, value] : request.headers) {
                    value = random() % 2 == 0 ? drawJson(random) : value;
                }
                request.query = random() % 4 == 0 ? drawJson(random) : request.query;
                const auto decoded = peerwire::decodeStreamQuery(request);
                if (!decoded.ok()) {
                    return;
                }
                RC_ASSERT(decoded->lifetime >= Duration::zero());
                const auto again = peerwire::decodeStreamQuery(peerwire::encode(*decoded));
                RC_ASSERT(again.ok() && again->stream == decoded->stream && again->pool == decoded->pool);
                RC_ASSERT(again->lifetime == decoded->lifetime && again->lastPart.id == decoded->lastPart.id);
            },
            4, 2000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrawnPeerWireTest);
