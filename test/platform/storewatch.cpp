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

/*! @brief A process that keeps up with the store, by itself or through others, and answers those that follow it. */
class Reader
{
public:
    Reader(Loop &loop, const std::string &store)
        : m_client{loop, HttpClientOptions{}}
        , m_watch{loop, m_client, StoreWatchOptions{store, {}, std::chrono::milliseconds{1500}, {}, "/changes"},
                  hooks()}
        , m_relay{loop, m_watch}
        , m_server{loop, options(),
                   [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                       ++m_asked;
                       m_relay.ask(request.query, responder);
                   }}
    {
        static_cast<void>(m_server.listen());
    }

    void start()
    {
        m_watch.start();
    }

    void followThrough(std::vector<std::string> readers)
    {
        m_readers = std::move(readers);
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

    [[nodiscard]] bool isLost() const
    {
        return m_watch.isLost();
    }

    /*! @brief Returns the number of questions of followers. */
    [[nodiscard]] std::size_t asked() const noexcept
    {
        return m_asked;
    }

private:
    StoreWatchHooks hooks()
    {
        StoreWatchHooks out;
        out.listed = [this](const std::vector<StoreItem> &items) {
            m_values.clear();
            take(items);
        };
        out.changed = [this](const std::vector<StoreItem> &items) {
            take(items);
        };
        out.lost = [this](const std::string &) {
            m_relay.flush();
        };
        out.regained = [] {
        };
        out.caughtUp = [](std::uint64_t, const StorePage &) {
        };
        out.readers = [this] {
            return m_readers;
        };
        out.isFollowed = [this] {
            return m_relay.isFollowed();
        };
        return out;
    }

    void take(const std::vector<StoreItem> &items)
    {
        for (const StoreItem &item : items) {
            m_values[item.key] = item.value;
        }
        m_relay.flush();
    }

    static HttpServerOptions options()
    {
        HttpServerOptions out;
        out.listen = "127.0.0.1:0";
        return out;
    }

    std::map<std::string, std::string> m_values;
    std::vector<std::string> m_readers;
    std::size_t m_asked{};
    HttpClient m_client;
    StoreWatch m_watch;
    StoreRelay m_relay;
    HttpServer m_server;
};

} // namespace

/*! @brief How a few processes read the store for many, and what becomes of those when readers or the store are lost. */
class StoreWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreWatchTest);
    CPPUNIT_TEST(followersCauseNoCallsToTheStore);
    CPPUNIT_TEST(followerHearsOfChangesThroughItsReader);
    CPPUNIT_TEST(followerOfALostReaderTurnsToTheNext);
    CPPUNIT_TEST(followerWithoutReadersWatchesTheStore);
    CPPUNIT_TEST(followerOfAReaderThatCannotReadTurnsToTheStore);
    CPPUNIT_TEST(largeValueComesFromTheStore);
    CPPUNIT_TEST(oldListIsBroughtUpToDateBeforeItIsUsed);
    CPPUNIT_TEST(pagesOfDifferentAgeAreBroughtUpToDate);
    CPPUNIT_TEST(listOlderThanTheHistoryIsReadAnew);
    CPPUNIT_TEST(logTellsChangesOnce);
    CPPUNIT_TEST(logTellsOfWhatANewListLacks);
    CPPUNIT_TEST(logThatDoesNotReachBackSaysSo);
    CPPUNIT_TEST_SUITE_END();

public:
    void followersCauseNoCallsToTheStore()
    {
        m_store.publish("servers/a", "1");
        std::vector<std::unique_ptr<Reader>> followers;
        m_reader.start();
        runUntil([this] { return m_reader.value("servers/a") == "1"; });
        for (int number = 0; number < 20; ++number) {
            followers.push_back(std::make_unique<Reader>(m_loop, m_store.address()));
            followers.back()->followThrough({m_reader.address()});
            followers.back()->start();
        }
        runUntil([this] { return m_reader.asked() >= 20; });
        // Each has listed once, an old list and the watch behind it; from now on they ask their reader.
        const std::size_t requestCount = m_store.requestCount();
        m_store.publish("servers/a", "2");
        runUntil([&followers] {
            return std::ranges::all_of(followers, [](const auto &one) { return one->value("servers/a") == "2"; });
        });
        CPPUNIT_ASSERT(m_store.requestCount() <= requestCount + 3);
    }

    void followerHearsOfChangesThroughItsReader()
    {
        startBoth();
        m_store.publish("servers/a", "1");
        m_store.publish("servers/b", "2");
        runUntil([this] { return m_follower.value("servers/a") == "1" && m_follower.value("servers/b") == "2"; });
        CPPUNIT_ASSERT(m_reader.asked() > 0);
    }

    void followerOfALostReaderTurnsToTheNext()
    {
        auto lost = std::make_unique<Reader>(m_loop, m_store.address());
        lost->start();
        m_reader.start();
        m_follower.followThrough({lost->address(), m_reader.address()});
        m_follower.start();
        runUntil([&lost] { return lost->asked() > 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_reader.asked());
        lost.reset();
        runUntil([this] { return m_reader.asked() > 0; });
        m_store.publish("servers/a", "1");
        runUntil([this] { return m_follower.value("servers/a") == "1"; });
        CPPUNIT_ASSERT(!m_follower.isLost());
    }

    void followerWithoutReadersWatchesTheStore()
    {
        m_follower.followThrough({"127.0.0.1:1"});
        m_follower.start();
        runUntil([this] { return !m_follower.isLost(); });
        m_store.publish("servers/a", "1");
        runUntil([this] { return m_follower.value("servers/a") == "1"; });
    }

    void followerOfAReaderThatCannotReadTurnsToTheStore()
    {
        Reader blind{m_loop, "127.0.0.1:1"};
        blind.start();
        m_follower.followThrough({blind.address()});
        m_follower.start();
        runUntil([&blind] { return blind.asked() > 0; });
        m_store.publish("servers/a", "1");
        runUntil([this] { return m_follower.value("servers/a") == "1"; });
        CPPUNIT_ASSERT(!m_follower.isLost());
    }

    void largeValueComesFromTheStore()
    {
        startBoth();
        const std::string large(100'000, 'x');
        m_store.publish("op/config", large);
        runUntil([this, &large] { return m_follower.value("op/config") == large; });
        // The follower asks its reader again afterwards.
        const std::size_t asked = m_reader.asked();
        runUntil([this, asked] { return m_reader.asked() > asked; });
    }

    void oldListIsBroughtUpToDateBeforeItIsUsed()
    {
        m_store.publish("servers/a", "1");
        m_store.freezeStaleList();
        m_store.publish("servers/a", "2");
        m_store.publish("servers/b", "3");
        m_reader.start();
        runUntil([this] { return !m_reader.value("servers/a").empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_reader.value("servers/a"));
        CPPUNIT_ASSERT_EQUAL(std::string{"3"}, m_reader.value("servers/b"));
    }

    void pagesOfDifferentAgeAreBroughtUpToDate()
    {
        m_store.publish("servers/a", "1");
        m_store.publish("servers/b", "1");
        m_store.freezeStaleList();
        m_store.publish("servers/b", "2");
        m_store.publish("servers/a", "2");
        // The first page is new, the second one old: what lies between is no news behind the first.
        m_store.splitStaleListAfter("servers/a");
        m_reader.start();
        runUntil([this] { return !m_reader.value("servers/b").empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_reader.value("servers/a"));
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_reader.value("servers/b"));
    }

    void listOlderThanTheHistoryIsReadAnew()
    {
        m_store.publish("servers/a", "1");
        m_store.freezeStaleList();
        m_store.publish("servers/a", "2");
        m_store.discardHistory();
        m_reader.start();
        runUntil([this] { return !m_reader.value("servers/a").empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, m_reader.value("servers/a"));
    }

    void logTellsChangesOnce()
    {
        ChangeLog log;
        log.replace({{"a", "1", 5}}, 7);
        CPPUNIT_ASSERT(log.since(7)->empty());
        log.apply({{"a", "2", 8}, {"b", "3", 9}}, 9);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.since(7)->size());
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, log.since(8)->front().key);
        // What comes again is no news for those who know it.
        log.apply({{"b", "3", 9}}, 9);
        CPPUNIT_ASSERT(log.since(9)->empty());
    }

    void logTellsOfWhatANewListLacks()
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

    void logThatDoesNotReachBackSaysSo()
    {
        ChangeLog log;
        log.replace({}, 7);
        CPPUNIT_ASSERT(!log.since(6));
        for (std::uint64_t revision = 8; revision < 8 + ChangeLog::mostChanges + 5; ++revision) {
            log.apply({{"a", "1", revision}}, revision);
        }
        CPPUNIT_ASSERT(!log.since(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.since(log.revision() - 1)->size());
    }

private:
    void startBoth()
    {
        m_reader.start();
        m_follower.followThrough({m_reader.address()});
        m_follower.start();
        runUntil([this] { return !m_reader.isLost() && m_reader.asked() > 1; });
    }

    /*! @brief Runs the loop until something holds; gives up after far more rounds than it takes. */
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
    Reader m_reader{m_loop, m_store.address()};
    Reader m_follower{m_loop, m_store.address()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatchTest);
