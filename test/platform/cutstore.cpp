#include "storecodec.h"
#include "storewatch.h"

#include "bergamottide/net/httpclient.h"
#include "bergamottide/net/loop.h"
#include "support/drawnanswers.h"
#include "support/rawserver.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::platform;
using namespace bergamottide::test;

/*! @brief A store and relays whose answers are cut off. */
class CutStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutStoreTest);
    CPPUNIT_TEST(cutAnswersOfTheStoreLoseNoItem);
    CPPUNIT_TEST(cutAnswersOfARelayLoseNoItem);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a list of endpoints that a cut answer empties or shortens. */
    void cutAnswersOfTheStoreLoseNoItem()
    {
        watchCutAnswers({});
    }

    void cutAnswersOfARelayLoseNoItem()
    {
        watchCutAnswers({m_server.address()});
    }

private:
    /*! @brief Clock that runs faster than time, since each failed request is followed by a wait. */
    class FastClock : public Clock
    {
    public:
        [[nodiscard]] TimePoint now() const override
        {
            return m_start + (m_clock.now() - m_start) * rate;
        }

        [[nodiscard]] WallTime wallNow() const override
        {
            return m_clock.wallNow();
        }

    private:
        static constexpr int rate = 20;
        SystemClock m_clock;
        TimePoint m_start{m_clock.now()};
    };

    static constexpr std::size_t itemCount = 5;
    static constexpr std::size_t cuts = 100;

    /*! @brief Returns a page that is both a list of all items and a watch's change of all items. */
    static std::string page()
    {
        StorePage page;
        page.revision = revision;
        for (std::size_t index = 0; index < itemCount; ++index) {
            StoreItem item;
            item.key = "servers/desk-" + std::to_string(index);
            item.value = "{}";
            item.revision = revision;
            page.items.push_back(std::move(item));
        }
        return encodePage(page);
    }

    void watchCutAnswers(const std::vector<std::string> &relays)
    {
        std::size_t reports = 0;
        std::size_t wholeReports = 0;
        StoreWatchHooks hooks;
        hooks.listed = [&reports, &wholeReports](const std::vector<StoreItem> &items) {
            ++reports;
            wholeReports += items.size() == itemCount ? 1 : 0;
        };
        hooks.changed = hooks.listed;
        hooks.unavailable = [](const std::string &) {
        };
        hooks.listFailed = [](ListFailure, const std::string &) {
        };
        hooks.available = [] {
        };
        hooks.confirmed = [](TimePoint) {
        };
        hooks.caughtUp = [](std::uint64_t, const StorePage &) {
        };
        hooks.relays = [&relays] {
            return relays;
        };
        hooks.isFleetKnown = [] {
            return true;
        };
        hooks.hasFollowers = [] {
            return false;
        };
        HttpClient client{m_loop, {}};
        StoreWatch watch{
            m_loop, client, {m_server.address(), "servers/", std::chrono::seconds{2}, {}, "/changes"}, hooks};
        watch.start();
        CPPUNIT_ASSERT(runUntil(
            m_loop, [this] { return m_answers.cutCount() >= cuts; }, longest));
        const std::size_t reportsBefore = reports;
        CPPUNIT_ASSERT(runUntil(
            m_loop, [&reports, reportsBefore] { return reports > reportsBefore; }, longest));
        CPPUNIT_ASSERT_EQUAL(reports, wholeReports);
        CPPUNIT_ASSERT_EQUAL(itemCount, watch.snapshot().items.size());
    }

    /*! @brief Longest wait of the test on its clock. */
    static constexpr Duration longest = patience * 20;
    static constexpr std::uint64_t revision = 10;
    CutAnswers m_answers;
    RawServer m_server{[this] {
        return m_answers.next(page());
    }};
    FastClock m_clock;
    Loop m_loop{m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutStoreTest);
