#include "bergamottide/placement/placement.h"

#include "bergamottide/placement/loadestimate.h"
#include "bergamottide/placement/outlierejector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

using namespace bergamottide;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/*! @brief Pool of connected endpoints in zones `a` (own), `b` (same region) and `c` (other region). */
struct Endpoints
{
    explicit Endpoints(std::uint32_t inA, std::uint32_t inB = 0, std::uint32_t inC = 0)
    {
        add("a", "west", inA);
        add("b", "west", inB);
        add("c", "east", inC);
        table.applyView(view);
        for (const auto &[name, instance] : view.instances) {
            table.setConnected(name, true);
        }
    }

    void add(const std::string &zone, const std::string &region, std::uint32_t count)
    {
        for (std::uint32_t number = 0; number < count; ++number) {
            Instance instance;
            instance.name = InstanceName{zone + std::to_string(number)};
            instance.role = Role::Sidecar;
            instance.region = RegionName{region};
            instance.zone = ZoneName{zone};
            instance.pool = pool;
            view.instances[instance.name] = instance;
        }
    }

    void report(const std::string &sidecar, Duration wait, std::vector<ModelName> models = {})
    {
        LoadReport load{.queued = wait > Duration::zero() ? 8U : 0U, .concurrency = 8, .wait = wait};
        load.models = std::move(models);
        table.applyReport(InstanceName{sidecar}, load, now);
    }

    [[nodiscard]] std::string place(std::uint64_t prefix = 0, const ModelName &wanted = ModelName{}, bool mayTry = true)
    {
        const PlacementQuery query{pool, wanted, workspace, prefix, milliseconds{100}, mayTry, avoided};
        const auto placed = placement.choose(query, policy, now);
        return placed ? table.endpoint(placed->number).name.text() : std::string{};
    }

    PoolName pool{"pool"};
    WorkspaceName workspace{"north"};
    InstanceView view;
    EndpointTable table{RegionName{"west"}, ZoneName{"a"}};
    Placement placement{table, 1};
    Policy policy;
    TimePoint now{seconds{1}};
    std::vector<InstanceName> avoided;
};

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(staysInOwnZoneWithoutLoad);
    CPPUNIT_TEST(spillsToOtherZoneThenToOtherRegion);
    CPPUNIT_TEST(skipsLeavingDrainingAndDisconnectedEndpoints);
    CPPUNIT_TEST(countsRunsSentSinceReport);
    CPPUNIT_TEST(staleReportsDecay);
    CPPUNIT_TEST(keepsPrefixOnOneEndpointUntilItIsFull);
    CPPUNIT_TEST(prefersEndpointsWithLoadedModel);
    CPPUNIT_TEST(findsOnlyRemainingEndpoint);
    CPPUNIT_TEST(examinedCandidatesDoNotGrowWithFleet);
    CPPUNIT_TEST(removalRemapsOnlyKeysOfRemovedEndpoint);
    CPPUNIT_TEST(ejectsOutliersUpToCap);
    CPPUNIT_TEST(ejectsNoneWhenAllFail);
    CPPUNIT_TEST(returnsToServiceAfterSuccessfulTrial);
    CPPUNIT_TEST_SUITE_END();

public:
    void staysInOwnZoneWithoutLoad()
    {
        Endpoints pool{2, 2, 2};
        for (int draw = 0; draw < 100; ++draw) {
            CPPUNIT_ASSERT_EQUAL('a', pool.place().front());
        }
    }

    void spillsToOtherZoneThenToOtherRegion()
    {
        Endpoints pool{2, 2, 2};
        pool.report("a0", milliseconds{50});
        pool.report("a1", milliseconds{50});
        CPPUNIT_ASSERT_EQUAL('b', pool.place().front());
        pool.report("b0", milliseconds{500});
        pool.report("b1", milliseconds{500});
        pool.report("a0", milliseconds{500});
        pool.report("a1", milliseconds{500});
        CPPUNIT_ASSERT_EQUAL('c', pool.place().front());
    }

    void skipsLeavingDrainingAndDisconnectedEndpoints()
    {
        Endpoints pool{4};
        pool.view.instances[InstanceName{"a0"}].leaving = true;
        pool.table.applyView(pool.view);
        pool.table.setDraining(InstanceName{"a1"}, true);
        pool.table.setConnected(InstanceName{"a2"}, false);
        for (int draw = 0; draw < 50; ++draw) {
            CPPUNIT_ASSERT_EQUAL(std::string{"a3"}, pool.place());
        }
        pool.view.instances.erase(InstanceName{"a3"});
        pool.table.applyView(pool.view);
        CPPUNIT_ASSERT_EQUAL(std::string{}, pool.place());
    }

    void countsRunsSentSinceReport()
    {
        Endpoints pool{2};
        pool.report("a0", Duration::zero());
        pool.report("a1", milliseconds{40});
        CPPUNIT_ASSERT_EQUAL(std::string{"a0"}, pool.place());
        for (int run = 0; run < 16; ++run) {
            pool.table.runSent(*pool.table.find(InstanceName{"a0"}), milliseconds{100});
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"a1"}, pool.place());
    }

    void staleReportsDecay()
    {
        Endpoints pool{1};
        pool.report("a0", seconds{4});
        const Endpoint &endpoint = pool.table.endpoint(*pool.table.find(InstanceName{"a0"}));
        CPPUNIT_ASSERT(estimatedWait(endpoint, 0, pool.policy, pool.now) == seconds{4});
        const TimePoint halved = pool.now + 6 * pool.policy.reportPeriod;
        CPPUNIT_ASSERT(estimatedWait(endpoint, 0, pool.policy, halved) == seconds{2});
        CPPUNIT_ASSERT(estimatedWait(endpoint, 0, pool.policy, pool.now + seconds{30}) < milliseconds{1});
    }

    void keepsPrefixOnOneEndpointUntilItIsFull()
    {
        Endpoints pool{4};
        for (const auto &[name, instance] : pool.view.instances) {
            pool.report(name.text(), Duration::zero());
        }
        std::set<std::string> chosen;
        for (int draw = 0; draw < 50; ++draw) {
            chosen.insert(pool.place(77));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen.size());
        const InstanceName affinity{*chosen.begin()};
        for (int run = 0; run < 8; ++run) {
            pool.table.runSent(*pool.table.find(affinity), milliseconds{100});
        }
        CPPUNIT_ASSERT(pool.place(77) != affinity.text());
    }

    void prefersEndpointsWithLoadedModel()
    {
        Endpoints pool{4};
        const ModelName large{"large"};
        pool.report("a0", Duration::zero(), {ModelName{"small"}});
        pool.report("a1", Duration::zero(), {ModelName{"small"}});
        pool.report("a2", milliseconds{200}, {large});
        pool.report("a3", Duration::zero(), {ModelName{"small"}});
        CPPUNIT_ASSERT_EQUAL(std::string{"a2"}, pool.place(0, large));
        pool.table.setDraining(InstanceName{"a2"}, true);
        CPPUNIT_ASSERT(!pool.place(0, large).empty());
    }

    void findsOnlyRemainingEndpoint()
    {
        Endpoints pool{5};
        pool.avoided = {InstanceName{"a0"}, InstanceName{"a1"}, InstanceName{"a3"}, InstanceName{"a4"}};
        for (int draw = 0; draw < 50; ++draw) {
            CPPUNIT_ASSERT_EQUAL(std::string{"a2"}, pool.place());
        }
    }

    void examinedCandidatesDoNotGrowWithFleet()
    {
        const auto examinedCandidates = [](std::uint32_t inZone, std::uint32_t inRegion, std::uint32_t elsewhere) {
            Endpoints pool{inZone, inRegion, elsewhere};
            for (int draw = 0; draw < 100; ++draw) {
                static_cast<void>(pool.place(static_cast<std::uint64_t>(draw) + 1));
            }
            return pool.placement.examined();
        };
        CPPUNIT_ASSERT(examinedCandidates(4, 8, 0) <= 500);
        CPPUNIT_ASSERT(examinedCandidates(43, 86, 0) <= 500);
        CPPUNIT_ASSERT(examinedCandidates(129, 387, 3484) <= 500);
    }

    void removalRemapsOnlyKeysOfRemovedEndpoint()
    {
        AffinityMap map;
        for (EndpointNumber number = 0; number < 10; ++number) {
            map.add(number, Random::mix(number + 1));
        }
        std::map<std::uint64_t, EndpointNumber> before;
        for (std::uint64_t key = 1; key <= 1000; ++key) {
            before[key] = *map.find(key);
        }
        map.remove(3);
        for (const auto &[key, number] : before) {
            CPPUNIT_ASSERT(number == 3 ? *map.find(key) != 3 : *map.find(key) == number);
        }
        map.add(3, Random::mix(4));
        for (const auto &[key, number] : before) {
            CPPUNIT_ASSERT_EQUAL(number, *map.find(key));
        }
    }

    void ejectsOutliersUpToCap()
    {
        Endpoints pool{6};
        OutlierEjector ejector{pool.table};
        for (EndpointNumber number = 0; number < 6; ++number) {
            for (int sample = 0; sample < 20; ++sample) {
                ejector.recordCompletion(number, milliseconds{100}, milliseconds{number < 2 ? 1000 : 100});
            }
        }
        for (int sample = 0; sample < 20; ++sample) {
            ejector.recordFailure(5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ejector.review(pool.policy, pool.now).size());
        CPPUNIT_ASSERT(!pool.table.endpoint(0).available() && !pool.table.endpoint(1).available());
        CPPUNIT_ASSERT(pool.table.endpoint(5).available());
    }

    void ejectsNoneWhenAllFail()
    {
        Endpoints pool{6};
        OutlierEjector ejector{pool.table};
        for (EndpointNumber number = 0; number < 6; ++number) {
            for (int sample = 0; sample < 20; ++sample) {
                ejector.recordFailure(number);
            }
        }
        CPPUNIT_ASSERT(ejector.review(pool.policy, pool.now).empty());
    }

    void returnsToServiceAfterSuccessfulTrial()
    {
        Endpoints pool{3};
        OutlierEjector ejector{pool.table};
        const EndpointNumber bad = *pool.table.find(InstanceName{"a1"});
        for (int sample = 0; sample < 10; ++sample) {
            ejector.recordFailure(bad);
        }
        CPPUNIT_ASSERT(ejector.review(pool.policy, pool.now).at(0).ejected);
        pool.now += pool.policy.ejectionTime;
        static_cast<void>(ejector.review(pool.policy, pool.now));
        CPPUNIT_ASSERT(pool.place(0, {}, false) != "a1");
        int trials = 0;
        for (int draw = 0; draw < 50; ++draw) {
            trials += pool.place() == "a1" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, trials);
        ejector.recordCompletion(bad, milliseconds{100}, milliseconds{100});
        CPPUNIT_ASSERT(!ejector.review(pool.policy, pool.now).at(0).ejected);
        CPPUNIT_ASSERT(pool.table.endpoint(bad).available());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
