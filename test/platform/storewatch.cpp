#include "storewatch.h"
#include "changelog.h"
#include "fakes.h"
#include "storerelay.h"

#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
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
        out.available = [] {
        };
        out.caughtUp = [](std::uint64_t, const StorePage &) {
        };
        out.relays = [this] {
            return m_relays;
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
    std::size_t m_followerRequestCount{};
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
    CPPUNIT_TEST(largeValueIsReadFromTheStore);
    CPPUNIT_TEST(staleListIsUpdatedBeforeUse);
    CPPUNIT_TEST(listPagesOfDifferentRevisionsAreUpdated);
    CPPUNIT_TEST(listOlderThanTheHistoryIsReadAgain);
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

    void largeValueIsReadFromTheStore()
    {
        startRelayAndFollower();
        const std::string large(100'000, 'x');
        m_store.publish("op/config", large);
        runUntil([this, &large] { return m_followerProcess.value("op/config") == large; });
        // The follower returns to its relay afterwards.
        const std::size_t followerRequestCount = m_relayProcess.followerRequestCount();
        runUntil([this, followerRequestCount] { return m_relayProcess.followerRequestCount() > followerRequestCount; });
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
    void startRelayAndFollower()
    {
        m_relayProcess.start();
        m_followerProcess.setRelays({m_relayProcess.address()});
        m_followerProcess.start();
        runUntil([this] { return !m_relayProcess.isUnavailable() && m_relayProcess.followerRequestCount() > 1; });
    }

    /*! @brief Runs the loop until a condition holds; fails after a limited number of rounds. */
    void runUntil(const std::function<bool()> &condition)
    {
        constexpr int maxRounds = 2000;
        for (int round = 0; round < maxRounds && !condition(); ++round) {
            m_loop.runOnce(std::chrono::milliseconds{10});
        }
        CPPUNIT_ASSERT(condition());
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_store{m_loop};
    StoreProcess m_relayProcess{m_loop, m_store.address()};
    StoreProcess m_followerProcess{m_loop, m_store.address()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatchTest);
