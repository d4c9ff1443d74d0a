#include "endpointentries.h"
#include "noticecodec.h"
#include "requestcodec.h"
#include "stagecodec.h"
#include "storecodec.h"

#include "bergamottide/net/socketaddress.h"
#include "support/drawnjson.h"
#include "support/property.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;
using nlohmann::json;
using test::drawJson;
using test::drawMutation;

namespace {

constexpr std::chrono::hours longestWarmup{24};

json soundEntry()
{
    return {
        {"service", "s"},     {"address", "10.0.0.1:80"},
        {"zone", "a"},        {"slots", 4},
        {"state", "ready"},   {"born", 1764729600000},
        {"coldLeftMs", 1500}, {"version", "v1"},
        {"stage", "both"},    {"models", json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}})},
        {"sequence", 9}};
}

json soundCompactEntry()
{
    return json::array({"s", "10.0.0.1:80", "a", 4, true, 1764729600000, "v1", 1500});
}

json soundCatalog()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"example","pathPrefix":"/a/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":1000,
         "priority":1,"trafficSplit":[{"service":"m1","weight":90},{"service":"m2","weight":10}],"maxAttempts":2,
         "resumable":true,"public":false,"allowedRegions":["north"],
         "stages":[{"service":"e","after":[],"bytes":8000},{"service":"f","after":[0],"bytes":60000}]},
        {"name":"r2","host":"example","pathPrefix":"/a/b/","kind":"unsafe","service":"d"}],
        "services":[{"name":"e","maxConnections":370,"coldStartS":3.0,"coldPerS":11.0,
          "pieces":{"slots":1,"batch":8,"callMs":150.0,"itemMs":16.0,"headroomMb":45.0,"handleS":4.0,"linkMbps":9}},
         {"name":"m1","engine":{"slots":8,"kvCapacityTokens":4000,"kvTokenBytes":100,"linkMbps":800}}],
        "tenants":[{"name":"north","apiKeys":["k1","k2"],"priority":1,"allowedRegions":["south"]}],
        "limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,"idleTimeoutMs":9000}})");
}

json item(const std::string &key, const std::string &value)
{
    return {{"key", key}, {"value", absl::Base64Escape(value)}, {"revision", 5}};
}

std::string page(const char *field, const std::vector<json> &items)
{
    return json{{field, items}, {"storeRevision", 7}}.dump();
}

bool isSound(const serving::EndpointRecord &record)
{
    const auto address = parseSocketAddress(record.address);
    return address.ok() && address->port != 0 && record.slots > 0 && record.remainingWarmup >= Duration::zero()
        && record.remainingWarmup <= longestWarmup && !record.pool.empty() && !record.zone.empty()
        && std::ranges::none_of(record.address, [](char character) { return character <= ' '; });
}

/*! @brief Draws the number of a generator, of the whole range at every size of the case. */
std::mt19937 drawGenerator()
{
    return std::mt19937{*rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()))};
}

std::string drawHeaderValue(std::mt19937 &random)
{
    std::string text = drawJson(random);
    // Headers hold no line breaks; texts lose their quotes.
    std::erase_if(text, [](char character) { return character == '"' || character == '\n' || character == '\r'; });
    return text.substr(0, 8192);
}

} // namespace

/*! @brief Decoders of documents that other programs write, on drawn ones. */
class DrawnDocumentsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrawnDocumentsTest);
    CPPUNIT_TEST(soundEntriesAreFollowedBesideDrawnOnes);
    CPPUNIT_TEST(thousandDrawnEntriesDoNotHideSoundOnes);
    CPPUNIT_TEST(drawnPagesAreDecoded);
    CPPUNIT_TEST(drawnCompactEntriesAreSoundOrMalformed);
    CPPUNIT_TEST(drawnCompactEntriesAreCompared);
    CPPUNIT_TEST(drawnConfigurationsAreDecoded);
    CPPUNIT_TEST(drawnAnswersOfEndpointsAreDecoded);
    CPPUNIT_TEST(drawnHeadsOfEndpointsAreDecoded);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against entries that hide others, and against entries that change when a relay passes them on. */
    void soundEntriesAreFollowedBesideDrawnOnes()
    {
        test::checkProperty(
            [] {
                std::mt19937 random = drawGenerator();
                Directory directory;
                std::vector<json> items{item("servers/first", soundEntry().dump())};
                for (const char *key : {"servers/first", "servers/odd-1", "servers/odd-2"}) {
                    items.push_back(item(key, drawEntry(random)));
                }
                items.push_back(item("servers/last", soundEntry().dump()));
                const bool isList = random() % 2 == 0;
                const auto decoded = platform::decodePage(page(isList ? "items" : "events", items));
                RC_ASSERT(decoded.ok());
                assertRoundTrip(*decoded);
                directory.apply(*decoded, isList);
                RC_ASSERT(directory.follows("last"));
                // The own key of an engine, written over by another program, comes back.
                const auto restored = platform::decodePage(page("events", {items.front()}));
                directory.apply(*restored, false);
                RC_ASSERT(directory.follows("first") && directory.follows("last"));
                RC_ASSERT(directory.areSound());
            },
            1, 2000);
    }

    void thousandDrawnEntriesDoNotHideSoundOnes()
    {
        std::mt19937 random{1};
        std::vector<json> items{item("servers/first", soundEntry().dump())};
        for (std::size_t index = 0; index < 1000; ++index) {
            items.push_back(item(absl::StrCat("servers/odd-", index), drawEntry(random)));
        }
        items.push_back(item("servers/last", soundEntry().dump()));
        for (const bool isList : {true, false}) {
            const auto decoded = platform::decodePage(page(isList ? "items" : "events", items));
            CPPUNIT_ASSERT(decoded.ok());
            assertRoundTrip(*decoded);
            Directory directory;
            directory.apply(*decoded, isList);
            CPPUNIT_ASSERT(directory.follows("first") && directory.follows("last") && directory.areSound());
        }
    }

    void drawnPagesAreDecoded()
    {
        json compact{{"key", "servers/b"}, {"short", soundCompactEntry().dump()}, {"revision", 6}};
        const json sound{{"items",
                          {item("servers/a", soundEntry().dump()),
                           compact,
                           {{"key", "op/config"}, {"compressed", "AAAA"}, {"revision", 3}},
                           {{"key", "servers/c"}, {"tombstone", true}, {"revision", 4}},
                           {{"key", "servers/d"}, {"unchanged", true}, {"revision", 4}}}},
                         {"hasMore", false},
                         {"storeRevision", 7}};
        test::checkProperty(
            [&sound] {
                std::mt19937 random = drawGenerator();
                const auto decoded =
                    platform::decodePage(random() % 4 == 0 ? drawJson(random) : drawMutation(random, sound));
                if (!decoded.ok()) {
                    return;
                }
                Directory directory;
                directory.apply(*decoded, true);
                RC_ASSERT(directory.areSound());
                RC_ASSERT(platform::decodePage(platform::encodePage(*decoded)).ok());
                RC_ASSERT(platform::decodePage(platform::encodeChanges(decoded->items, decoded->revision)).ok());
            },
            2, 2000);
    }

    /*! @brief Guards against an entry that an earlier release has passed on without checking it. */
    void drawnCompactEntriesAreSoundOrMalformed()
    {
        test::checkProperty(
            [] {
                std::mt19937 random = drawGenerator();
                json sound = soundCompactEntry();
                if (random() % 4 == 0) {
                    sound.erase(6);
                }
                const auto record = platform::decodeEndpoint("i", drawMutation(random, sound));
                if (record.ok()) {
                    RC_ASSERT(isSound(*record));
                }
            },
            3, 3000);
    }

    void drawnCompactEntriesAreCompared()
    {
        test::checkProperty(
            [] {
                std::mt19937 random = drawGenerator();
                const std::string sound = soundCompactEntry().dump();
                const std::string drawn = drawMutation(random, soundCompactEntry());
                RC_ASSERT(!platform::onlyColdTimeDecreased("", drawn));
                for (const auto &[before, after] : {std::pair{sound, drawn}, std::pair{drawn, sound}}) {
                    if (!platform::onlyColdTimeDecreased(before, after)) {
                        continue;
                    }
                    const auto first = platform::decodeEndpoint("i", before);
                    const auto second = platform::decodeEndpoint("i", after);
                    if (first.ok() && second.ok()) {
                        RC_ASSERT(second->remainingWarmup <= first->remainingWarmup);
                    }
                }
            },
            4, 2000);
    }

    void drawnConfigurationsAreDecoded()
    {
        test::checkProperty(
            [] {
                std::mt19937 random = drawGenerator();
                const auto catalog = platform::decodeCatalog(random() % 8 == 0 ? drawJson(random)
                                                                               : drawMutation(random, soundCatalog()));
                if (!catalog.ok()) {
                    return;
                }
                for (const serving::Route &route : catalog->routes) {
                    RC_ASSERT(!route.pools.empty() && route.maxAttempts > 0);
                }
            },
            5, 2000);
    }

    void drawnAnswersOfEndpointsAreDecoded()
    {
        const json cached{{"epoch", 1}, {"nextToken", 3}, {"held", {{"", "24a5", 47, "m"}, {"", "7a", 0, "m"}}}};
        const json stage{{"items", {{{"handle", "h2"}}, {{"reason", "gone"}}}}};
        test::checkProperty(
            [&] {
                std::mt19937 random = drawGenerator();
                const bool isDrawn = random() % 8 == 0;
                const HttpResponse listed{200, {}, isDrawn ? drawJson(random) : drawMutation(random, cached)};
                const auto parts = platform::decodeCachedPrompts(listed);
                RC_ASSERT(!parts || json::accept(listed.body));
                const HttpResponse answered{200, {}, isDrawn ? drawJson(random) : drawMutation(random, stage)};
                const auto ended = platform::decodeStageResponse(serving::StageCallNumber{1}, 2, answered);
                RC_ASSERT(ended.results.size() == (ended.status == serving::StageCallStatus::Answered ? 2U : 0U));
                RC_ASSERT(platform::decodeCheck(listed) == serving::EndpointState::Running);
            },
            6, 2000);
    }

    /*! @brief Guards against durations that overflow when they are added to a point in time. */
    void drawnHeadsOfEndpointsAreDecoded()
    {
        test::checkProperty(
            [] {
                std::mt19937 random = drawGenerator();
                HttpHeaders headers;
                for (const char *name : {"server-load", "cold-ms", "server-limit", "server-leaving", "retry-after",
                                         "attempt-id", "not-executed", "response-seal", "connection"}) {
                    if (random() % 4 != 0) {
                        headers.emplace_back(name, drawHeaderValue(random));
                    }
                }
                const int status = std::vector{200, 409, 421, 429, 503}[random() % 5];
                static_cast<void>(platform::decodeResponseHead({}, status, headers));
                const auto notice = platform::decodeNotice({}, status, headers);
                RC_ASSERT((status == 421) == !notice);
                if (notice) {
                    RC_ASSERT(notice->remainingWarmup >= Duration::zero() && notice->remainingWarmup <= longestWarmup);
                    RC_ASSERT(notice->pause >= Duration::zero() && notice->pause <= longestWarmup);
                }
            },
            7, 2000);
    }

private:
    /*! @brief List of endpoints as a process follows it. */
    class Directory
    {
    public:
        void apply(const platform::StorePage &page, bool isList)
        {
            isList ? m_entries.replace(page.items, m_now) : m_entries.apply(page.items, m_now);
            if (auto list = m_directory.takeChangedList(m_now)) {
                m_list = *std::move(list);
            }
        }

        [[nodiscard]] bool follows(const std::string &instance) const
        {
            const auto found = std::ranges::find(m_list, InstanceName{instance}, &serving::EndpointRecord::instance);
            return found != m_list.end() && found->address == "10.0.0.1:80" && found->pool == PoolName{"s"}
            && found->softwareVersion.text() == "v1";
        }

        [[nodiscard]] bool areSound() const
        {
            return std::ranges::all_of(m_list, isSound);
        }

    private:
        TimePoint m_now{std::chrono::seconds{100}};
        serving::EndpointDirectory m_directory;
        serving::EndpointList m_list;
        platform::EndpointEntries m_entries{m_directory, [](const LogLine &) {},
                                            [](const Observe &) {
                                            }};
    };

    [[nodiscard]] static std::string drawEntry(std::mt19937 &random)
    {
        switch (random() % 8) {
        case 0:
            return drawJson(random);
        case 1:
            return drawMutation(random, soundCompactEntry());
        default:
            return drawMutation(random, soundEntry());
        }
    }

    static void assertRoundTrip(const platform::StorePage &page)
    {
        const auto relayed = platform::decodePage(platform::encodePage(page));
        const auto changes = platform::decodePage(platform::encodeChanges(page.items, page.revision));
        CPPUNIT_ASSERT(relayed.ok() && changes.ok());
        for (const platform::StorePage *received : {&*relayed, &*changes}) {
            CPPUNIT_ASSERT_EQUAL(page.revision, received->revision);
            CPPUNIT_ASSERT_EQUAL(page.items.size(), received->items.size());
            for (std::size_t index = 0; index < page.items.size(); ++index) {
                CPPUNIT_ASSERT_EQUAL(page.items[index].key, received->items[index].key);
                CPPUNIT_ASSERT(page.items[index].value == received->items[index].value);
                CPPUNIT_ASSERT_EQUAL(page.items[index].revision, received->items[index].revision);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrawnDocumentsTest);
