#include "endpointentries.h"
#include "storecodec.h"

#include <absl/strings/escaping.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;
using nlohmann::json;
using platform::EndpointEntries;

/*! @brief Endpoint entries that other programs write to the store. */
class EndpointEntriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointEntriesTest);
    CPPUNIT_TEST(malformedEntryIsSkippedAndLoggedOnce);
    CPPUNIT_TEST(entryThatBecomesMalformedRemovesItsEndpoint);
    CPPUNIT_TEST(entryIsLoggedAgainAfterItWasValidOrRemoved);
    CPPUNIT_TEST(namesThatNoEndpointHasAreLoggedOnceInEscapedForm);
    CPPUNIT_TEST(itemWithFieldsOfOtherTypesDoesNotDiscardItsPage);
    CPPUNIT_TEST(entryInTheFormBetweenProcessesIsNoEntryOfTheStore);
    CPPUNIT_TEST(unreadableBytesCanBeSentToOtherProcesses);
    CPPUNIT_TEST(numberBeyondItsRangeIsMalformed);
    CPPUNIT_TEST(addressWithOtherCharactersIsMalformed);
    CPPUNIT_TEST(correctedZoneAndVersionAreListed);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against entries of others that hide endpoints, and against a log line at each renewal. */
    void malformedEntryIsSkippedAndLoggedOnce()
    {
        std::vector<std::string> values{"",   "x",  "null",     "7",     "\"text\"",
                                        "[]", "{}", "\xff\xfe", "[\xff", "{\"service\":\"\xff\"}"};
        for (const char *field : {"service", "address", "zone", "slots", "state"}) {
            json missing = entry();
            missing.erase(field);
            values.push_back(missing.dump());
        }
        const std::vector<std::pair<std::string, json>> wrongFields{{"service", 7},
                                                                    {"service", ""},
                                                                    {"address", json::array({"10.0.0.1:80"})},
                                                                    {"address", "nowhere"},
                                                                    {"zone", nullptr},
                                                                    {"zone", ""},
                                                                    {"slots", "4"},
                                                                    {"slots", -4},
                                                                    {"slots", 1.5},
                                                                    {"state", "resting"},
                                                                    {"state", true},
                                                                    {"born", "1764729600000"},
                                                                    {"born", -1},
                                                                    {"born", nullptr},
                                                                    {"coldLeftMs", "1500"},
                                                                    {"coldLeftMs", json::object()}};
        for (const auto &[field, value] : wrongFields) {
            json wrong = entry();
            wrong[field] = value;
            values.push_back(wrong.dump());
        }
        std::vector<json> items{item("servers/good-1", entry().dump()), item("servers/good-2", entry().dump())};
        for (std::size_t index = 0; index < values.size(); ++index) {
            items.push_back(item("servers/bad-" + std::to_string(index), values[index]));
        }
        items.push_back({{"key", "servers/bad-base64"}, {"value", "%%%"}, {"revision", 5}});
        items.push_back({{"key", "servers/bad-type"}, {"value", 5}, {"revision", 5}});
        items.push_back({{"key", "servers/bad-none"}, {"revision", 5}});
        items.push_back(item("servers/", entry().dump()));
        items.push_back(item("servers/a\r\nb", entry().dump()));
        items.push_back(item("other/key", "x"));
        const std::size_t malformed = values.size() + 5;

        m_entries.replace(decode("items", items), m_now);
        CPPUNIT_ASSERT((listed() == std::set<std::string>{"good-1", "good-2"}));
        CPPUNIT_ASSERT_EQUAL(malformed, m_logged.size());
        CPPUNIT_ASSERT_EQUAL(malformed, std::set<std::string>(m_logged.begin(), m_logged.end()).size());
        // The list again, as after an outage, and each entry again, as when it is renewed.
        m_entries.replace(decode("items", items), m_now);
        m_entries.apply(decode("events", items), m_now);
        CPPUNIT_ASSERT((listed() == std::set<std::string>{"good-1", "good-2"}));
        CPPUNIT_ASSERT_EQUAL(malformed, m_logged.size());
    }

    /*! @brief Guards against requests to an address that the entry no longer vouches for. */
    void entryThatBecomesMalformedRemovesItsEndpoint()
    {
        m_entries.replace(decode("items", {item("servers/a", entry().dump()), item("servers/b", entry().dump())}),
                          m_now);
        CPPUNIT_ASSERT((listed() == std::set<std::string>{"a", "b"}));
        for (int renewal = 0; renewal < 3; ++renewal) {
            m_entries.apply(decode("events", {item("servers/a", "\xff")}), m_now);
            CPPUNIT_ASSERT((listed() == std::set<std::string>{"b"}));
        }
        CPPUNIT_ASSERT((m_logged == std::vector<std::string>{"servers/a"}));
        // A list instead of a change: the grace period after an outage keeps only endpoints without an entry.
        m_directory.beginListOutage(m_now);
        m_now += std::chrono::seconds{3};
        m_directory.endListOutage(m_now);
        m_entries.replace(decode("items", {item("servers/a", "\xff"), item("servers/b", "{}")}), m_now);
        CPPUNIT_ASSERT(listed().empty());
        CPPUNIT_ASSERT((m_logged == std::vector<std::string>{"servers/a", "servers/b"}));
    }

    /*! @brief Guards against a fault that stays unnoticed since an earlier one was logged. */
    void entryIsLoggedAgainAfterItWasValidOrRemoved()
    {
        const auto bad = decode("events", {item("servers/a", "{}")});
        const json removed{{"key", "servers/a"}, {"tombstone", true}, {"revision", 9}};
        m_entries.apply(bad, m_now);
        m_entries.apply(decode("events", {item("servers/a", entry().dump())}), m_now);
        CPPUNIT_ASSERT((listed() == std::set<std::string>{"a"}));
        m_entries.apply(bad, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_logged.size());
        m_entries.apply(decode("events", {removed}), m_now);
        m_entries.apply(bad, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_logged.size());
        m_entries.replace({}, m_now);
        m_entries.apply(bad, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_logged.size());
    }

    /*! @brief Guards against one item for which the whole store counts as unavailable. */
    /*! @brief An operator finds the key by its line, whatever a terminal or another reader makes of its bytes. */
    void namesThatNoEndpointHasAreLoggedOnceInEscapedForm()
    {
        const std::vector<std::pair<std::string, std::string>> keys{
            {"servers/", "servers/"},
            {"servers/a b", "servers/a b"},
            {"servers/a\r\nb", "servers/a\\r\\nb"},
            {"servers/a\x1b[0m", "servers/a\\x1b[0m"},
            {"servers/caf\u00e9", "servers/caf\\xc3\\xa9"},
            {"servers/" + std::string(192, ' '), "servers/" + std::string(192, ' ')}};
        std::vector<std::string> expected;
        for (const auto &[key, escaped] : keys) {
            // The value is sound; the name cannot stand in a header.
            m_entries.apply(decode("events", {item(key, entry().dump()), item("servers/s-1", entry().dump())}), m_now);
            m_entries.apply(decode("events", {item(key, entry().dump())}), m_now);
            expected.push_back(escaped);
            CPPUNIT_ASSERT_EQUAL(expected.size(), m_logged.size());
            CPPUNIT_ASSERT_EQUAL(escaped, m_logged.back());
            CPPUNIT_ASSERT_EQUAL(expected.size(), m_counted);
            CPPUNIT_ASSERT(listed() == std::set<std::string>{"s-1"});
        }
    }

    void itemWithFieldsOfOtherTypesDoesNotDiscardItsPage()
    {
        std::vector<json> items{item("servers/good", entry().dump())};
        for (const char *field : {"revision", "tombstone", "unchanged", "compressed", "short"}) {
            for (const json &value : {json("7"), json(nullptr), json(-1.5), json::array({1}), json::object()}) {
                json one = item("other/key", "x");
                one[field] = value;
                items.push_back(one);
            }
        }
        items.push_back({{"key", 7}, {"value", "x"}});
        items.push_back({{"value", "x"}});
        items.push_back("text");
        items.push_back(nullptr);
        m_entries.replace(decode("items", items), m_now);
        CPPUNIT_ASSERT((listed() == std::set<std::string>{"good"}));
    }

    /*!
     * @brief Guards against an array of another program that is taken for an endpoint: the form in which processes pass
     * entries on is not checked again.
     */
    void entryInTheFormBetweenProcessesIsNoEntryOfTheStore()
    {
        const std::string compact = R"(["s","nowhere","a",0,false,0,0])";
        m_entries.replace(decode("items", {item("servers/a", compact), item("servers/b", " " + compact)}), m_now);
        CPPUNIT_ASSERT(listed().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_logged.size());
    }

    /*! @brief Guards against a store reader that ends when it passes such a value on. */
    void unreadableBytesCanBeSentToOtherProcesses()
    {
        const auto items = decode("items",
                                  {item("servers/a", "[\xff"), item("servers/b", "\xff"),
                                   item("other/key", "[\xff\xfe"), item("servers/good", entry().dump())});
        const auto page = platform::decodePage(platform::encodePage({items, false, 7}));
        const auto changes = platform::decodePage(platform::encodeChanges(items, 7));
        CPPUNIT_ASSERT(page.ok() && changes.ok());
        for (const auto &received : {page->items, changes->items}) {
            CPPUNIT_ASSERT_EQUAL(items.size(), received.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"[\xff\xfe"}, received.at(2).value);
            m_entries.replace(received, m_now);
            CPPUNIT_ASSERT((listed() == std::set<std::string>{"good"}));
            m_directory.removeAtOnce(InstanceName{"good"});
        }
    }

    /*! @brief Guards against numbers that become others when they are stored: 2^32 + 1 slots became one. */
    void numberBeyondItsRangeIsMalformed()
    {
        json manySlots = entry();
        manySlots["slots"] = 4'294'967'297ULL;
        json farWarmup = entry();
        farWarmup["coldLeftMs"] = 1e300;
        m_entries.replace(decode("items", {item("servers/a", manySlots.dump()), item("servers/b", farWarmup.dump())}),
                          m_now);
        CPPUNIT_ASSERT(listed().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_logged.size());
    }

    /*!
     * @brief Guards against line breaks in requests to other engines: they name the address of the engine to fetch
     * from.
     */
    void addressWithOtherCharactersIsMalformed()
    {
        using namespace std::string_literals;
        std::vector<json> items{item("servers/good", entry().dump())};
        for (const std::string &address :
             {"10.0.0.1:80\r\n"s, "10.0.0.1: 80"s, "10.0.0.1:+80"s, "10.0.0.1\0\r\nhold: 1:80"s, "10.0.0.1:80\0"s,
              "10.0.0.1:0"s, "10.0.0.1:65536"s, "10.0.0.1:"s}) {
            json wrong = entry();
            wrong["address"] = address;
            items.push_back(item("servers/bad-" + std::to_string(items.size()), wrong.dump()));
        }
        m_entries.replace(decode("items", items), m_now);
        CPPUNIT_ASSERT((listed() == std::set<std::string>{"good"}));
        CPPUNIT_ASSERT_EQUAL(items.size() - 1, m_logged.size());
    }

    /*! @brief Guards against streams that go on at the version that an entry had named by mistake. */
    void correctedZoneAndVersionAreListed()
    {
        for (const std::string field : {"zone", "version"}) {
            json sound = entry();
            sound["version"] = "v1";
            json wrong = sound;
            wrong[field] = "x";
            m_entries.apply(decode("events", {item("servers/a", wrong.dump())}), m_now);
            CPPUNIT_ASSERT(m_directory.takeChangedList(m_now));
            m_entries.apply(decode("events", {item("servers/a", sound.dump())}), m_now);
            const auto list = m_directory.takeChangedList(m_now);
            CPPUNIT_ASSERT_MESSAGE(field, list);
            CPPUNIT_ASSERT_EQUAL(std::string{"v1"}, list->front().softwareVersion.text());
            CPPUNIT_ASSERT_EQUAL(std::string{"a"}, list->front().zone.text());
        }
    }

private:
    [[nodiscard]] static json entry()
    {
        return {{"service", "s"}, {"address", "10.0.0.1:80"}, {"zone", "a"},
                {"slots", 4},     {"state", "ready"},         {"born", 1764729600000}};
    }

    [[nodiscard]] static json item(const std::string &key, const std::string &value)
    {
        return {{"key", key}, {"value", absl::Base64Escape(value)}, {"revision", 5}};
    }

    /*! @brief Decodes items as the store sends them, in a list (`items`) or a watch (`events`). */
    [[nodiscard]] static std::vector<platform::StoreItem> decode(const char *field, const std::vector<json> &items)
    {
        const auto page = platform::decodePage(json{{field, items}, {"storeRevision", 7}}.dump());
        CPPUNIT_ASSERT_MESSAGE(std::string{page.status().message()}, page.ok());
        return page->items;
    }

    [[nodiscard]] std::set<std::string> listed()
    {
        if (const auto list = m_directory.takeChangedList(m_now)) {
            m_listed.clear();
            for (const serving::EndpointRecord &record : *list) {
                m_listed.insert(record.instance.text());
            }
        }
        return m_listed;
    }

    TimePoint m_now{std::chrono::seconds{100}};
    serving::EndpointDirectory m_directory;
    std::vector<std::string> m_logged;
    std::set<std::string> m_listed;
    std::size_t m_counted{};
    EndpointEntries m_entries{m_directory,
                              [this](const LogLine &line) {
                                  const auto key = std::ranges::find(line.fields, std::string{"key"},
                                                                     &std::pair<std::string, std::string>::first);
                                  CPPUNIT_ASSERT(key != line.fields.end());
                                  m_logged.push_back(key->second);
                              },
                              [this](const Observe &) {
                                  ++m_counted;
                              }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointEntriesTest);
