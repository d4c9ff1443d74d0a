#include "storewatch.h"
#include "changelog.h"
#include "compressedvalue.h"
#include "fakes.h"
#include "storerelay.h"

#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "support/rununtil.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::platform;
using test::FakeStore;

namespace {

/*! @brief A process that watches the store, directly or through relays, and relays changes to its followers. */
class StoreProcess
{
public:
    StoreProcess(Loop &loop, const std::string &store)
        : m_client{loop, HttpClientOptions{}}
        , m_watch{loop, m_client, StoreWatchOptions{store, {}, std::chrono::milliseconds{1500}, {}, "/changes"},
                  hooks()}
        , m_relay{loop, m_watch}
        , m_server{loop, options(),
                   [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                       ++m_followerRequestCount;
                       m_relay.handleRequest(request.query, responder);
                   }}
    {
        static_cast<void>(m_server.listen());
    }

    void start()
    {
        m_watch.start();
    }

    void setRelays(std::vector<std::string> relays)
    {
        m_relays = std::move(relays);
    }

    void setFleetKnown(bool isFleetKnown)
    {
        m_isFleetKnown = isFleetKnown;
    }

    [[nodiscard]] std::string address() const
    {
        return m_server.address();
    }

    [[nodiscard]] std::string value(const std::string &key) const
    {
        const auto found = m_values.find(key);
        return found == m_values.end() ? std::string{} : found->second;
    }

    [[nodiscard]] bool isUnavailable() const
    {
        return m_watch.isUnavailable();
    }

    void requestConfirmation()
    {
        m_watch.requestConfirmation();
    }

    /*! @brief Returns the time up to which all changes are known. */
    [[nodiscard]] TimePoint confirmedAt() const noexcept
    {
        return m_confirmedAt;
    }

    /*! @brief Returns the number of requested confirmations that have failed. */
    [[nodiscard]] std::size_t unconfirmedCount() const noexcept
    {
        return m_unconfirmedCount;
    }

    /*! @brief Returns the number of items that were reported. */
    [[nodiscard]] std::size_t changeCount() const noexcept
    {
        return m_changeCount;
    }

    /*! @brief Returns the number of requests from followers. */
    [[nodiscard]] std::size_t followerRequestCount() const noexcept
    {
        return m_followerRequestCount;
    }

private:
    StoreWatchHooks hooks()
    {
        StoreWatchHooks out;
        out.listed = [this](const std::vector<StoreItem> &items) {
            m_values.clear();
            applyItems(items);
        };
        out.changed = [this](const std::vector<StoreItem> &items) {
            applyItems(items);
        };
        out.unavailable = [this](const std::string &) {
            m_relay.notifyFollowers();
        };
        out.listFailed = [](ListFailure, const std::string &) {
        };
        out.available = [] {
        };
        out.confirmed = [this](TimePoint asOf) {
            m_confirmedAt = asOf;
            m_relay.notifyFollowers();
        };
        out.unconfirmed = [this] {
            ++m_unconfirmedCount;
        };
        out.caughtUp = [](std::uint64_t, const StorePage &) {
        };
        out.relays = [this] {
            return m_relays;
        };
        out.isFleetKnown = [this] {
            return m_isFleetKnown;
        };
        out.hasFollowers = [this] {
            return m_relay.hasFollowers();
        };
        return out;
    }

    void applyItems(const std::vector<StoreItem> &items)
    {
        for (const StoreItem &item : items) {
            m_values[item.key] = item.value;
            ++m_changeCount;
        }
        m_relay.notifyFollowers();
    }

    static HttpServerOptions options()
    {
        HttpServerOptions out;
        out.listen = "127.0.0.1:0";
        return out;
    }

    std::map<std::string, std::string> m_values;
    std::vector<std::string> m_relays;
    bool m_isFleetKnown{true};
    std::size_t m_followerRequestCount{};
    std::size_t m_changeCount{};
    TimePoint m_confirmedAt{};
    std::size_t m_unconfirmedCount{};
    HttpClient m_client;
    StoreWatch m_watch;
    StoreRelay m_relay;
    HttpServer m_server;
};

} // namespace

/*! @brief Watching the store directly and through relays, failover between them, and the change log. */
class StoreWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreWatchTest);
    CPPUNIT_TEST(followersSendNoRequestsToTheStore);
    CPPUNIT_TEST(followerReceivesChangesFromItsRelay);
    CPPUNIT_TEST(followerFailsOverToTheNextRelay);
    CPPUNIT_TEST(followerWithoutReachableRelayWatchesTheStore);
    CPPUNIT_TEST(followerOfARelayWithoutStoreWatchesTheStore);
    CPPUNIT_TEST(largeValueIsRelayedToAllFollowers);
    CPPUNIT_TEST(storeIsNotWatchedDuringDiscovery);
    CPPUNIT_TEST(smallChangeOfLargeValueIsSmall);
    CPPUNIT_TEST(valueCompressedAgainstAnotherIsRejected);
    CPPUNIT_TEST(earlierLargeValuesAreKept);
    CPPUNIT_TEST(shorterWaitIsAnsweredFirst);
    CPPUNIT_TEST(staleListIsUpdatedBeforeUse);
    CPPUNIT_TEST(listPagesOfDifferentRevisionsAreUpdated);
    CPPUNIT_TEST(listOlderThanTheHistoryIsReadAgain);
    CPPUNIT_TEST(followersStayWithAReaderWhoseWatchIsCut);
    CPPUNIT_TEST(newestValueIsReadThoughTheHistoryIsTooLarge);
    CPPUNIT_TEST(onlyTheNewestVersionOfAValueIsReported);
    CPPUNIT_TEST(itemsAreConfirmedOnRequest);
    CPPUNIT_TEST(silentStoreConfirmsNothing);
    CPPUNIT_TEST(followerIsConfirmedThroughItsRelay);
    CPPUNIT_TEST(followerIsNotConfirmedBeforeItsRelay);
    CPPUNIT_TEST(pagesEndWithAnyKey);
    CPPUNIT_TEST(pagesEndWithDrawnKeys);
    CPPUNIT_TEST(keyThatIsNoTextCostsNoOtherItem);
    CPPUNIT_TEST(watchedKeyThatIsNoTextCostsNoOtherItem);
    CPPUNIT_TEST(relayedKeyThatIsNoTextCostsNoOtherItem);
    CPPUNIT_TEST(listsWithoutProgressEnd);
    CPPUNIT_TEST(listWithoutProgressReplacesNothing);
    CPPUNIT_TEST(listsOfMoreThanCanBeKeptEnd);
    CPPUNIT_TEST(repliesThatAreNoListReplaceNothing);
    CPPUNIT_TEST(compressedValueOfTheStoreEndsTheWatch);
    CPPUNIT_TEST(logReturnsEachChangeOnce);
    CPPUNIT_TEST(logRecordsDifferencesToANewList);
    CPPUNIT_TEST(logReportsDiscardedHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    void followersSendNoRequestsToTheStore()
    {
        m_store.publish("servers/a", "1");
        std::vector<std::unique_ptr<StoreProcess>> followers;
        m_relayProcess.start();
        runUntil([this] { return m_relayProcess.value("servers/a") == "1"; });
        for (int number = 0; number < 20; ++number) {
            followers.push_back(std::make_unique<StoreProcess>(m_loop, m_store.address()));
            followers.back()->setRelays({m_relayProcess.address()});
            followers.back()->start();
        }
        runUntil([this] { return m_relayProcess.followerRequestCount() >= 20; });
        // Each follower has sent a list and a catch-up watch; from now on it sends requests to its relay only.
        const std::size_t requestCount = m_store.requestCount();
        m_store.publish("servers/a", "2");
        runUntil([&followers] {
            return std::ranges::all_of(followers, [](const auto &one) { return one->value("servers/a") == "2"; });
        });
        CPPUNIT_ASSERT(m_store.requestCount() <= requestCount + 3);
    }

    void followerReceivesChangesFromItsRelay()
    {
        startRelayAndFollower();
        m_store.publish("servers/a", "1");
        m_store.publish("servers/b", "2");
        runUntil([this] {
            return m_followerProcess.value("servers/a") == "1" && m_followerProcess.value("servers/b") == "2";
        });
        CPPUNIT_ASSERT(m_relayProcess.followerRequestCount() > 0);
    }

    void followerFailsOverToTheNextRelay()
    {
        auto firstRelay = std::make_unique<StoreProcess>(m_loop, m_store.address());
        firstRelay->start();
        m_relayProcess.start();
        m_followerProcess.setRelays({firstRelay->address(), m_relayProcess.address()});
        m_followerProcess.start();
        runUntil([&firstRelay] { return firstRelay->followerRequestCount() > 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_relayProcess.followerRequestCount());
        firstRelay.reset();
        runUntil([this] { return m_relayProcess.followerRequestCount() > 0; });
        m_store.publish("servers/a", "1");
        runUntil([this] { return m_followerProcess.value("servers/a") == "1"; });
        CPPUNIT_ASSERT(!m_followerProcess.isUnavailable());
    }

    void followerWithoutReachableRelayWatchesTheStore()
    {
        m_followerProcess.setRelays({"127.0.0.1:1"});
        m_followerProcess.start();
        runUntil([this] { return !m_followerProcess.isUnavailable(); });
        m_store.publish("servers/a", "1");
        runUntil([this] { return m_followerProcess.value("servers/a") == "1"; });
    }

    void followerOfARelayWithoutStoreWatchesTheStore()
    {
        StoreProcess relayWithoutStore{m_loop, "127.0.0.1:1"};
        relayWithoutStore.start();
        m_followerProcess.setRelays({relayWithoutStore.address()});
        m_followerProcess.start();
        runUntil([&relayWithoutStore] { return relayWithoutStore.followerRequestCount() > 0; });
        m_store.publish("servers/a", "1");
        runUntil([this] { return m_followerProcess.value("servers/a") == "1"; });
        CPPUNIT_ASSERT(!m_followerProcess.isUnavailable());
    }

    /*! @brief Replays changes of the configuration, for which each follower had to read the store. */
    void largeValueIsRelayedToAllFollowers()
    {
        startRelayAndFollower();
        std::string large = configuration();
        m_store.publish("op/config", large);
        runUntil([this, &large] { return m_followerProcess.value("op/config") == large; });
        const std::size_t requestCount = m_store.requestCount();
        for (const std::size_t change : {10U, 20U, 30U}) {
            large[change] = 'x';
            m_store.publish("op/config", large);
            runUntil([this, &large] { return m_followerProcess.value("op/config") == large; });
        }
        // Those of the relay: one watch ends and the next one begins for each change.
        CPPUNIT_ASSERT(m_store.requestCount() <= requestCount + 4);
    }

    /*! @brief Replays the start of a whole fleet, in which each process watched the store until it knew a relay. */
    void storeIsNotWatchedDuringDiscovery()
    {
        m_store.publish("servers/a", "1");
        m_relayProcess.start();
        runUntil([this] { return m_relayProcess.value("servers/a") == "1"; });
        m_followerProcess.setFleetKnown(false);
        m_followerProcess.start();
        runUntil([this] { return m_followerProcess.value("servers/a") == "1"; });
        const std::size_t requestCount = m_store.requestCount();
        m_store.publish("servers/a", "2");
        m_followerProcess.setRelays({m_relayProcess.address()});
        m_followerProcess.setFleetKnown(true);
        runUntil([this] { return m_followerProcess.value("servers/a") == "2"; });
        // The relay's next watch.
        CPPUNIT_ASSERT(m_store.requestCount() <= requestCount + 2);
    }

    /*! @brief Replays an entry whose name, at the end of a page, changed the request for the next one. */
    void pagesEndWithAnyKey()
    {
        for (const std::string &name : oddNames()) {
            checkPages("servers/i-1" + name);
        }
    }

    void pagesEndWithDrawnKeys()
    {
        std::mt19937 random{1};
        for (int draw = 0; draw < 60; ++draw) {
            // Any text: bytes that are no UTF-8 do not reach a reader of JSON.
            std::string key = "servers/";
            for (std::size_t left = 1 + random() % 100; left > 0; --left) {
                const std::uint32_t point = random() % 4 == 0 ? 0xa0 + random() % 0x5000 : random() % 0x80;
                key += utf8(point == 1 ? 2 : point);
            }
            checkPages(key);
        }
    }

    void keyThatIsNoTextCostsNoOtherItem()
    {
        for (const std::size_t pageSize : {std::size_t{1}, std::size_t{2}, std::size_t{500}}) {
            for (const std::string &key : {"servers/i-0" + test::loneSurrogate(), "servers/i-1" + test::loneSurrogate(),
                                           "servers/" + test::loneSurrogate() + "i", test::loneSurrogate()}) {
                checkPages(key, pageSize);
            }
        }
    }

    void watchedKeyThatIsNoTextCostsNoOtherItem()
    {
        m_relayProcess.start();
        runUntil([this] { return !m_relayProcess.isUnavailable(); });
        m_store.keepHistory();
        m_store.publish("servers/i" + test::loneSurrogate(), "odd");
        m_store.publish("servers/a", "1");
        runUntil([this] { return m_relayProcess.value("servers/a") == "1"; });
        m_store.remove("servers/i" + test::loneSurrogate());
        m_store.publish("servers/a", "2");
        runUntil([this] { return m_relayProcess.value("servers/a") == "2"; });
        CPPUNIT_ASSERT(m_store.listCount() <= 2);
    }

    void relayedKeyThatIsNoTextCostsNoOtherItem()
    {
        startRelayAndFollower();
        m_store.publish("servers/i" + test::loneSurrogate(), "odd");
        m_store.publish("servers/a", "1");
        runUntil([this] { return m_followerProcess.value("servers/a") == "1"; });
        CPPUNIT_ASSERT(!m_followerProcess.isUnavailable());
    }

    /*! @brief Guards against a list that asks for the same page again and again. */
    void listsWithoutProgressEnd()
    {
        const std::string a = R"({"key":"a","value":"MQ==","revision":1})";
        const std::string b = R"({"key":"b","value":"MQ==","revision":1})";
        for (const std::string &items :
             std::vector<std::string>{"", a, absl::StrCat(a, ",", b), absl::StrCat(b, ",", a), R"({"revision":1})"}) {
            FakeStore store{m_loop};
            store.setListReply([items](const std::string &) {
                return R"({"items":[)" + items + R"(],"hasMore":true,"storeRevision":9})";
            });
            StoreProcess process{m_loop, store.address()};
            process.start();
            test::runFor(m_loop, std::chrono::seconds{1});
            CPPUNIT_ASSERT_MESSAGE(items, process.isUnavailable());
            // The waits between lists grow from 0.1 s, and a list without progress has two or three pages.
            CPPUNIT_ASSERT_MESSAGE(items + ": " + std::to_string(store.listCount()), store.listCount() <= 15);
        }
    }

    void listWithoutProgressReplacesNothing()
    {
        m_store.publish("servers/a", "1");
        m_relayProcess.start();
        runUntil([this] { return m_relayProcess.value("servers/a") == "1"; });
        m_store.setListReply([](const std::string &) { return R"({"items":[],"hasMore":true,"storeRevision":99})"; });
        m_store.cutWatches();
        const std::size_t lists = m_store.listCount();
        test::runFor(m_loop, std::chrono::seconds{1});
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, m_relayProcess.value("servers/a"));
        CPPUNIT_ASSERT(m_store.listCount() > lists);
        CPPUNIT_ASSERT(m_store.listCount() <= lists + 15);
    }

    /*! @brief Guards against a list that makes progress for ever. */
    void listsOfMoreThanCanBeKeptEnd()
    {
        std::size_t lists = 0;
        std::size_t pages = 0;
        m_store.setListReply([&lists, &pages](const std::string &after) {
            lists += after.empty() ? 1 : 0;
            return R"({"items":[{"key":"servers/)" + std::to_string(1'000'000 + ++pages) + R"(","value":")"
                + std::string(4'000'000, 'x') + R"(","revision":1}],"hasMore":true,"storeRevision":9})";
        });
        m_relayProcess.start();
        // The second list begins once the first has ended.
        test::runUntil(m_loop, [&lists, &pages] { return lists == 2 || pages > 100; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lists);
        CPPUNIT_ASSERT(m_relayProcess.isUnavailable());
    }

    /*! @brief Guards against a reply without a list that is taken for an empty one. */
    void repliesThatAreNoListReplaceNothing()
    {
        for (const std::string &reply :
             std::vector<std::string>{"{}", R"({"storeRevision":99})", R"({"items":5,"storeRevision":99})",
                                      R"({"items":[]})", R"({"items":{},"storeRevision":99})",
                                      R"({"items":[],"storeRevision":"99"})", R"({"events":[],"storeRevision":99})"}) {
            FakeStore store{m_loop};
            store.publish("servers/a", "1");
            StoreProcess process{m_loop, store.address()};
            process.start();
            runUntil([&process] { return process.value("servers/a") == "1"; });
            store.setListReply([reply](const std::string &) { return reply; });
            store.cutWatches();
            const std::size_t lists = store.listCount();
            runUntil([&store, lists] { return store.listCount() >= lists + 2; });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(reply, std::string{"1"}, process.value("servers/a"));
        }
    }

    /*! @brief Guards against a watch that asks at once for the same changes again; only relays compress values. */
    void compressedValueOfTheStoreEndsTheWatch()
    {
        m_store.publish("servers/a", "1");
        m_relayProcess.start();
        runUntil([this] { return m_relayProcess.value("servers/a") == "1"; });
        m_store.setWatchReply(
            R"({"events":[{"key":"servers/b","compressed":"AAAA","revision":99}],"storeRevision":99})");
        const std::size_t requests = m_store.requestCount();
        test::runFor(m_loop, std::chrono::seconds{1});
        CPPUNIT_ASSERT(m_store.requestCount() > requests);
        CPPUNIT_ASSERT(m_store.requestCount() <= requests + 15);
    }

    void itemsAreConfirmedOnRequest()
    {
        m_relayProcess.start();
        runUntil([this] { return m_relayProcess.confirmedAt() != TimePoint{}; });
        m_store.publish("servers/a", "1");
        const TimePoint asked = m_loop.now();
        m_relayProcess.requestConfirmation();
        runUntil([this, asked] { return m_relayProcess.confirmedAt() >= asked; });
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, m_relayProcess.value("servers/a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_relayProcess.unconfirmedCount());
    }

    /*! @brief Guards against an old list that counts as current since nothing contradicts it. */
    void silentStoreConfirmsNothing()
    {
        m_relayProcess.start();
        runUntil([this] { return m_relayProcess.confirmedAt() != TimePoint{}; });
        m_store.setSilent(true);
        const TimePoint asked = m_loop.now();
        m_relayProcess.requestConfirmation();
        runUntil([this] { return m_relayProcess.unconfirmedCount() > 0; });
        CPPUNIT_ASSERT(m_relayProcess.confirmedAt() < asked);
    }

    void followerIsConfirmedThroughItsRelay()
    {
        startRelayAndFollower();
        runUntil([this] { return m_followerProcess.confirmedAt() != TimePoint{}; });
        const std::size_t relayed = m_relayProcess.followerRequestCount();
        m_store.publish("servers/a", "1");
        const TimePoint asked = m_loop.now();
        m_followerProcess.requestConfirmation();
        runUntil([this, asked] { return m_followerProcess.confirmedAt() >= asked; });
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, m_followerProcess.value("servers/a"));
        CPPUNIT_ASSERT(m_relayProcess.followerRequestCount() > relayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_followerProcess.unconfirmedCount());
    }

    /*! @brief Guards against a relay whose answers make an old list look current. */
    void followerIsNotConfirmedBeforeItsRelay()
    {
        startRelayAndFollower();
        runUntil([this] { return m_followerProcess.confirmedAt() != TimePoint{}; });
        m_store.setSilent(true);
        const TimePoint asked = m_loop.now();
        m_followerProcess.requestConfirmation();
        runUntil([this] { return m_followerProcess.unconfirmedCount() > 0; });
        CPPUNIT_ASSERT(m_followerProcess.confirmedAt() < asked);
    }

    void smallChangeOfLargeValueIsSmall()
    {
        constexpr std::size_t maxDifferenceBytes = 200;
        const std::string base = configuration();
        std::string value = base;
        value.replace(50'000, 10, "changed");
        const auto compressed = compressValue(value, base);
        CPPUNIT_ASSERT(compressed.ok());
        CPPUNIT_ASSERT(compressed->size() <= maxDifferenceBytes);
        CPPUNIT_ASSERT_EQUAL(value, *decompressValue(*compressed, base));
        CPPUNIT_ASSERT_EQUAL(value, *decompressValue(*compressValue(value, {}), {}));
        CPPUNIT_ASSERT_EQUAL(std::string{}, *decompressValue(*compressValue({}, base), base));
    }

    void valueCompressedAgainstAnotherIsRejected()
    {
        const std::string base = configuration();
        const std::string value = base + "more";
        const auto compressed = compressValue(value, base);
        CPPUNIT_ASSERT(!decompressValue(*compressed, std::string{base.rbegin(), base.rend()}).ok());
        CPPUNIT_ASSERT(!decompressValue(*compressed, {}).ok());
        CPPUNIT_ASSERT(!decompressValue(compressed->substr(0, compressed->size() / 2), base).ok());
        CPPUNIT_ASSERT(!decompressValue("no frame", base).ok());
    }

    void earlierLargeValuesAreKept()
    {
        const std::string first(ChangeLog::largeValueBytes + 1, '1');
        const std::string second(ChangeLog::largeValueBytes + 1, '2');
        ChangeLog log;
        log.replace({{"op/config", first, 3, false}}, 5);
        log.apply({{"op/config", second, 7, false}}, 7);
        CPPUNIT_ASSERT_EQUAL(first, log.largeValueAt("op/config", 5));
        CPPUNIT_ASSERT_EQUAL(second, log.largeValueAt("op/config", 7));
        CPPUNIT_ASSERT_EQUAL(std::string{}, log.largeValueAt("op/config", 2));
        CPPUNIT_ASSERT_EQUAL(std::string{}, log.largeValueAt("servers/a", 7));
        const auto changes = log.since(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes->size());
        CPPUNIT_ASSERT_EQUAL(second, changes->front().value);
    }

    void shorterWaitIsAnsweredFirst()
    {
        m_relayProcess.start();
        runUntil([this] { return !m_relayProcess.isUnavailable(); });
        HttpClient client{m_loop, HttpClientOptions{}};
        std::string answered;
        const auto request = [this, &client, &answered](const std::string &name, int wait) {
            HttpRequest get;
            get.method = "GET";
            get.path = "/changes";
            get.query = "after=1000&waitMs=" + std::to_string(wait);
            HttpCallHooks hooks;
            hooks.done = [&answered, name](const HttpResponse &) {
                answered += name;
            };
            hooks.failed = [](HttpFailure) {
            };
            client.call(m_relayProcess.address(), std::move(get), std::move(hooks));
        };
        request("long", 2000);
        runUntil([this] { return m_relayProcess.followerRequestCount() == 1; });
        request("short", 50);
        runUntil([&answered] { return !answered.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"short"}, answered);
    }

    /*! @brief Replays a store that discards its history, for which a whole fleet left its readers and listed it. */
    void followersStayWithAReaderWhoseWatchIsCut()
    {
        startRelayAndFollower();
        m_store.publish("servers/a", "1");
        runUntil([this] { return m_followerProcess.value("servers/a") == "1"; });
        const std::size_t followerRequests = m_relayProcess.followerRequestCount();
        runUntil([this, followerRequests] { return m_relayProcess.followerRequestCount() > followerRequests; });
        const std::size_t before = m_store.requestCount();
        m_store.cutWatches();
        m_store.publish("servers/a", "2");
        runUntil([this] { return m_followerProcess.value("servers/a") == "2"; });
        // The reader's broken watch again, its list, and its next watches.
        CPPUNIT_ASSERT(m_store.requestCount() - before <= 4);
        CPPUNIT_ASSERT(!m_relayProcess.isUnavailable());
    }

    void staleListIsUpdatedBeforeUse()
    {
        m_store.publish("servers/a", "1");
        m_store.freezeStaleList();
        m_store.publish("servers/a", "2");
        m_store.publish("servers/b", "3");
        m_relayProcess.start();
        runUntil([this] { return !m_relayProcess.value("servers/a").empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_relayProcess.value("servers/a"));
        CPPUNIT_ASSERT_EQUAL(std::string{"3"}, m_relayProcess.value("servers/b"));
    }

    void listPagesOfDifferentRevisionsAreUpdated()
    {
        m_store.publish("servers/a", "1");
        m_store.publish("servers/b", "1");
        m_store.freezeStaleList();
        m_store.publish("servers/b", "2");
        m_store.publish("servers/a", "2");
        // The first page is current and the second stale, so a watch from the first page's revision misses changes.
        m_store.splitStaleListAfter("servers/a");
        m_relayProcess.start();
        runUntil([this] { return !m_relayProcess.value("servers/b").empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_relayProcess.value("servers/a"));
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_relayProcess.value("servers/b"));
    }

    void listOlderThanTheHistoryIsReadAgain()
    {
        m_store.publish("servers/a", "1");
        m_store.freezeStaleList();
        m_store.publish("servers/a", "2");
        m_store.discardHistory();
        m_relayProcess.start();
        runUntil([this] { return !m_relayProcess.value("servers/a").empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_relayProcess.value("servers/a"));
    }

    /*! @brief The changes since a revision are larger than the largest response that is read. */
    void newestValueIsReadThoughTheHistoryIsTooLarge()
    {
        m_store.publish("op/config", "first");
        m_store.keepHistory();
        m_relayProcess.start();
        runUntil([this] { return m_relayProcess.value("op/config") == "first"; });
        publishLargeVersions();
        runUntil([this] { return m_relayProcess.value("op/config").ends_with("last"); });
        m_store.publish("op/config", "after");
        runUntil([this] { return m_relayProcess.value("op/config") == "after"; });
    }

    /*! @brief Former versions of a value are passed over. */
    void onlyTheNewestVersionOfAValueIsReported()
    {
        m_store.publish("op/config", "first");
        m_store.keepHistory();
        m_relayProcess.start();
        runUntil([this] { return m_relayProcess.value("op/config") == "first"; });
        const std::size_t before = m_relayProcess.changeCount();
        for (int version = 0; version < 20; ++version) {
            m_store.publish("op/config", std::to_string(version));
        }
        runUntil([this] { return m_relayProcess.value("op/config") == "19"; });
        CPPUNIT_ASSERT(m_relayProcess.changeCount() - before <= 3);
    }

    void logReturnsEachChangeOnce()
    {
        ChangeLog log;
        log.replace({{"a", "1", 5}}, 7);
        CPPUNIT_ASSERT(log.since(7)->empty());
        log.apply({{"a", "2", 8}, {"b", "3", 9}}, 9);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.since(7)->size());
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, log.since(8)->front().key);
        // A repeated change is not returned to followers that have it.
        log.apply({{"b", "3", 9}}, 9);
        CPPUNIT_ASSERT(log.since(9)->empty());
    }

    void logRecordsDifferencesToANewList()
    {
        ChangeLog log;
        log.replace({{"a", "1", 5}, {"b", "1", 6}}, 7);
        log.replace({{"a", "1", 5}, {"c", "1", 11}}, 12);
        const auto changes = log.since(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes->size());
        CPPUNIT_ASSERT_EQUAL(std::string{"c"}, changes->front().key);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, changes->back().key);
        CPPUNIT_ASSERT(changes->back().isRemoved);
    }

    void logReportsDiscardedHistory()
    {
        ChangeLog log;
        log.replace({}, 7);
        CPPUNIT_ASSERT(!log.since(6));
        for (std::uint64_t revision = 8; revision < 8 + ChangeLog::maxChanges + 5; ++revision) {
            log.apply({{"a", "1", revision}}, revision);
        }
        CPPUNIT_ASSERT(!log.since(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.since(log.revision() - 1)->size());
    }

private:
    /*! @brief Returns a large value that does not repeat itself. */
    [[nodiscard]] static std::string configuration()
    {
        std::string out;
        for (std::uint64_t number = 1; out.size() < 100'000; ++number) {
            out += std::to_string(number * 2654435761U);
        }
        return out;
    }

    /*! @brief Returns names of entries that a query cannot hold as they are, or that need care elsewhere. */
    [[nodiscard]] static std::vector<std::string> oddNames()
    {
        using namespace std::string_literals;
        return {"a&b",
                "a+b",
                "a#b",
                "a b",
                "a%00b",
                "caf\u00e9",
                "\u65e5\u672c",
                "a\r\nX: y",
                "&",
                "+",
                "#",
                " ",
                "&after=",
                "&allowStale=1",
                "a%b",
                "a%41b",
                "a%zz",
                "a?b",
                "a=b",
                "a;b",
                "a/b",
                "a\"b",
                "a\\b",
                "a\n",
                "a\t",
                "a\0b"s,
                "a\x7f",
                "&pathPrefix=zzz",
                "&after=zzz",
                "%",
                "%2",
                "%26",
                "/",
                std::string(180, '+')};
    }

    [[nodiscard]] static std::string utf8(std::uint32_t point)
    {
        const auto byte = [](std::uint32_t value) {
            return static_cast<char>(value);
        };
        if (point < 0x80) {
            return {byte(point)};
        }
        if (point < 0x800) {
            return {byte(0xc0 | point >> 6), byte(0x80 | (point & 0x3f))};
        }
        return {byte(0xe0 | point >> 12), byte(0x80 | (point >> 6 & 0x3f)), byte(0x80 | (point & 0x3f))};
    }

    /*! @brief Checks that a list reads each of its items once though it has a key among them. */
    void checkPages(const std::string &oddKey, std::size_t pageSize = 1)
    {
        FakeStore store{m_loop};
        store.setPageSize(pageSize);
        const std::vector<std::string> keys{"op/config", "servers/i-0", "servers/i-1", "servers/i-2", "servers/z"};
        for (const std::string &key : keys) {
            store.publish(key, "1");
        }
        store.publish(oddKey, "odd");
        StoreProcess process{m_loop, store.address()};
        process.start();
        test::runUntil(
            m_loop, [&process] { return !process.isUnavailable(); }, std::chrono::seconds{5});
        CPPUNIT_ASSERT_MESSAGE(oddKey, !process.isUnavailable());
        for (const std::string &key : keys) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(oddKey, std::string{"1"}, process.value(key));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(oddKey, keys.size() + 1, process.changeCount());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(oddKey, (keys.size() + pageSize) / pageSize, store.listCount());
    }

    /*! @brief Publishes 14 MB of versions, of which the last one ends with `last`. */
    void publishLargeVersions()
    {
        constexpr std::size_t valueBytes = 900'000;
        for (int version = 0; version < 12; ++version) {
            m_store.publish("op/config", std::string(valueBytes, 'x') + (version == 11 ? "last" : ""));
        }
    }

    void startRelayAndFollower()
    {
        m_relayProcess.start();
        m_followerProcess.setRelays({m_relayProcess.address()});
        m_followerProcess.start();
        runUntil([this] { return !m_relayProcess.isUnavailable() && m_relayProcess.followerRequestCount() > 1; });
    }

    /*! @brief Runs the loop until a condition holds. */
    void runUntil(const std::function<bool()> &condition)
    {
        CPPUNIT_ASSERT(test::runUntil(m_loop, condition));
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_store{m_loop};
    StoreProcess m_relayProcess{m_loop, m_store.address()};
    StoreProcess m_followerProcess{m_loop, m_store.address()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatchTest);
