#include "storehistory.h"

#include "endpointentries.h"
#include "fakes.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::platform;
using bergamottide::test::FakeStore;

/*! @brief Reading the history of the platform's store, and what it tells of former endpoints. */
class StoreHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreHistoryTest);
    CPPUNIT_TEST(readsAllChanges);
    CPPUNIT_TEST(readsFromWhereTheHistoryBegins);
    CPPUNIT_TEST(storeWithoutHistoryTellsNoChanges);
    CPPUNIT_TEST(anyRevisionIsReadInABoundedNumberOfRequests);
    CPPUNIT_TEST(storeThatFailsTellsNothing);
    CPPUNIT_TEST(storeThatIsSilentTellsNothing);
    CPPUNIT_TEST(removedEndpointsAreFormerOnes);
    CPPUNIT_TEST(endpointThatHasChangedItsVersionIsAFormerOne);
    CPPUNIT_TEST(removalWithoutAnEntryIsUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsAllChanges()
    {
        publish(300);
        const auto changes = read();
        CPPUNIT_ASSERT(changes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, changes->size());
    }

    void readsFromWhereTheHistoryBegins()
    {
        for (const int kept : {1, 5, 63, 64, 65, 700}) {
            FakeStore store{m_loop};
            store.keepHistory();
            publish(200, store);
            store.discardHistory();
            publish(kept, store);
            const auto changes = read(store, 7 + 200 + static_cast<std::uint64_t>(kept));
            CPPUNIT_ASSERT(changes);
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(kept), changes->size());
            CPPUNIT_ASSERT(store.requestCount() <= 20);
        }
    }

    void storeWithoutHistoryTellsNoChanges()
    {
        publish(200);
        m_store.discardHistory();
        const auto changes = read();
        CPPUNIT_ASSERT(changes && changes->empty());
    }

    /*! @brief Guards against requests to the store without an end. */
    void anyRevisionIsReadInABoundedNumberOfRequests()
    {
        CPPUNIT_ASSERT(read(m_store, std::numeric_limits<std::uint64_t>::max()));
        CPPUNIT_ASSERT(m_store.requestCount() <= 64);
    }

    void storeThatFailsTellsNothing()
    {
        m_store.setUnavailable(true);
        CPPUNIT_ASSERT(!read());
    }

    /*! @brief Guards against a wait without a bound. */
    void storeThatIsSilentTellsNothing()
    {
        m_store.setSilent(true);
        CPPUNIT_ASSERT(!read());
    }

    void removedEndpointsAreFormerOnes()
    {
        const auto former =
            formerEndpoints({entry("servers/a", "v1", 1), entry("servers/b", "v2", 2), removal("servers/a", 3)},
                            {entry("servers/b", "v2", 2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, former.endpoints->size());
        CPPUNIT_ASSERT(former.endpoints->front().softwareVersion == SoftwareVersion{"v1"});
        CPPUNIT_ASSERT(former.endpoints->front().instance == InstanceName{"a"});
        CPPUNIT_ASSERT(!former.hasUnknown);
    }

    void endpointThatHasChangedItsVersionIsAFormerOne()
    {
        const auto former =
            formerEndpoints({entry("servers/a", "v1", 1), entry("servers/a", "v1", 2), entry("servers/a", "v2", 3)},
                            {entry("servers/a", "v2", 3)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, former.endpoints->size());
        CPPUNIT_ASSERT(former.endpoints->front().softwareVersion == SoftwareVersion{"v1"});
    }

    /*! @brief Guards against taking an endpoint that has left unannounced for one that never was. */
    void removalWithoutAnEntryIsUnknown()
    {
        const auto former = formerEndpoints({removal("servers/a", 3), removal("op/evacuate/z", 4)}, {});
        CPPUNIT_ASSERT(former.endpoints->empty());
        CPPUNIT_ASSERT(former.hasUnknown);
        CPPUNIT_ASSERT(!formerEndpoints({removal("op/evacuate/z", 4)}, {}).hasUnknown);
    }

private:
    [[nodiscard]] static StoreItem entry(const std::string &key, const std::string &version, std::uint64_t revision)
    {
        return {key,
                R"({"service":"pool","address":"127.0.0.1:1","zone":"a","slots":4,"state":"ready","version":")"
                    + version + R"("})",
                revision};
    }

    [[nodiscard]] static StoreItem removal(const std::string &key, std::uint64_t revision)
    {
        return {key, {}, revision, true};
    }

    void publish(int changes)
    {
        m_store.keepHistory();
        publish(changes, m_store);
    }

    static void publish(int changes, FakeStore &store)
    {
        for (int change = 0; change < changes; ++change) {
            store.publish("servers/a", std::to_string(change));
        }
    }

    [[nodiscard]] std::optional<std::vector<StoreItem>> read()
    {
        return read(m_store, 7 + 300);
    }

    /*! @brief Reads the history of a store from a revision that is not before its present one. */
    [[nodiscard]] std::optional<std::vector<StoreItem>> read(const FakeStore &store, std::uint64_t revision)
    {
        HttpClient client{m_loop, HttpClientOptions{}};
        StoreHistory history{m_loop, client, store.address(), "servers/"};
        std::optional<std::vector<StoreItem>> changes;
        bool isDone = false;
        history.read(revision, [&](std::optional<std::vector<StoreItem>> read) {
            changes = std::move(read);
            isDone = true;
        });
        CPPUNIT_ASSERT(bergamottide::test::runUntil(
            m_loop, [&isDone] { return isDone; }, std::chrono::seconds{20}));
        return changes;
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    FakeStore m_store{m_loop};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreHistoryTest);
