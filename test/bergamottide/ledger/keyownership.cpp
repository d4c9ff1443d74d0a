#include "bergamottide/ledger/keyownership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace std::chrono_literals;

namespace {

constexpr Duration window = 10s;

const PoolName &pool()
{
    static const PoolName name{"engines"};
    return name;
}

InstanceView viewOf(const std::vector<std::string> &names)
{
    InstanceView view;
    for (const std::string &name : names) {
        Instance instance;
        instance.name = InstanceName{name};
        instance.role = Role::Sidecar;
        instance.pool = pool();
        view.instances[instance.name] = instance;
    }
    return view;
}

RequestId requestOf(std::uint64_t number)
{
    return {number * 0x9e3779b97f4a7c15ULL, number};
}

/*! @brief Returns a request whose home is a given instance. */
RequestId requestWithHome(const std::string &home, const std::vector<std::string> &names)
{
    std::uint64_t number = 1;
    while (homeForKey(requestOf(number), viewOf(names), pool()).text() != home) {
        ++number;
    }
    return requestOf(number);
}

} // namespace

class KeyOwnershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyOwnershipTest);
    CPPUNIT_TEST(onlyKeysOfARemovedInstanceMove);
    CPPUNIT_TEST(newSidecarRefusesForOneWindow);
    CPPUNIT_TEST(keysOfAnotherHomeAreRefused);
    CPPUNIT_TEST(gainedKeysAreRefusedForOneWindow);
    CPPUNIT_TEST(returningSidecarRefusesForOneWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyKeysOfARemovedInstanceMove()
    {
        const InstanceView all = viewOf({"a", "b", "c"});
        const InstanceView less = viewOf({"a", "b"});
        std::map<InstanceName, int> homes;
        for (std::uint64_t number = 0; number < 300; ++number) {
            const InstanceName home = homeForKey(requestOf(number), all, pool());
            ++homes[home];
            if (home.text() != "c") {
                CPPUNIT_ASSERT(homeForKey(requestOf(number), less, pool()) == home);
            }
        }
        for (const auto &[name, count] : homes) {
            CPPUNIT_ASSERT(count > 60 && count < 140);
        }
        CPPUNIT_ASSERT(homeForKey(requestOf(1), viewOf({}), pool()).empty());
    }

    void newSidecarRefusesForOneWindow()
    {
        KeyOwnership keys;
        CPPUNIT_ASSERT(keys.decide(requestOf(1), InstanceName{"a"}, TimePoint{}, window).reason == Reason::StaleView);
        keys.update(viewOf({"a"}), pool(), TimePoint{}, window);
        const KeyDecision warming = keys.decide(requestOf(1), InstanceName{"a"}, TimePoint{} + 4s, window);
        CPPUNIT_ASSERT(warming.reason == Reason::Warming && warming.retryAfter == 6s);
        CPPUNIT_ASSERT(keys.decide(requestOf(1), InstanceName{"a"}, TimePoint{} + 10s, window).reason == Reason::None);
    }

    void keysOfAnotherHomeAreRefused()
    {
        KeyOwnership keys;
        keys.update(viewOf({"a", "b"}), pool(), TimePoint{}, window);
        const RequestId request = requestWithHome("b", {"a", "b"});
        CPPUNIT_ASSERT(keys.decide(request, InstanceName{"a"}, TimePoint{} + 1h, window).reason == Reason::StaleView);
        CPPUNIT_ASSERT(keys.decide(request, InstanceName{"b"}, TimePoint{} + 1h, window).reason == Reason::None);
    }

    void gainedKeysAreRefusedForOneWindow()
    {
        KeyOwnership keys;
        keys.update(viewOf({"a", "b"}), pool(), TimePoint{}, window);
        keys.update(viewOf({"a"}), pool(), TimePoint{} + 1h, window);
        const RequestId gained = requestWithHome("b", {"a", "b"});
        const RequestId kept = requestWithHome("a", {"a", "b"});
        const TimePoint withinWindow = TimePoint{} + 1h + 9s;
        CPPUNIT_ASSERT(keys.decide(gained, InstanceName{"a"}, withinWindow, window).reason == Reason::Warming);
        CPPUNIT_ASSERT(keys.decide(kept, InstanceName{"a"}, withinWindow, window).reason == Reason::None);
        CPPUNIT_ASSERT(keys.decide(gained, InstanceName{"a"}, withinWindow + 1s, window).reason == Reason::None);
    }

    void returningSidecarRefusesForOneWindow()
    {
        KeyOwnership keys;
        keys.update(viewOf({"a", "b"}), pool(), TimePoint{}, window);
        keys.update(viewOf({"b"}), pool(), TimePoint{} + 1h, window);
        keys.update(viewOf({"a", "b"}), pool(), TimePoint{} + 1h + 1s, window);
        const RequestId kept = requestWithHome("a", {"a", "b"});
        const TimePoint withinWindow = TimePoint{} + 1h + 2s;
        CPPUNIT_ASSERT(keys.decide(kept, InstanceName{"a"}, withinWindow, window).reason == Reason::Warming);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyOwnershipTest);
