#include "bergamottide/orders/orderplanner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

using namespace bergamottide;
using namespace std::chrono_literals;

namespace {

const ModelName &large()
{
    static const ModelName name{"large"};
    return name;
}

Document documentOf(std::uint32_t replicas, std::uint64_t version = 1)
{
    Document document;
    document.version = version;
    document.pools[PoolName{"engines"}] = Pool{PoolName{"engines"}, PoolKind::Engine};
    Pipeline pipeline;
    pipeline.name = PipelineName{"p"};
    pipeline.stages = {Stage{StageName{"generation"}, PoolName{"engines"}}};
    document.pipelines[pipeline.name] = pipeline;
    Model model;
    model.name = large();
    model.versions = {"1", "2"};
    model.adapters = {AdapterName{"a"}};
    model.replicas = replicas;
    model.megabytes = 20000;
    document.models[model.name] = model;
    document.bindings = {Binding{WorkspaceName{"w"}, PipelineName{"p"}, model.name}};
    return document;
}

InstanceView viewOf(int engines)
{
    InstanceView view;
    for (int number = 0; number < engines; ++number) {
        Instance instance;
        instance.name = InstanceName{"side-" + std::to_string(number)};
        instance.role = Role::Sidecar;
        instance.pool = PoolName{"engines"};
        view.instances[instance.name] = instance;
    }
    return view;
}

EndpointLoadReport reportOf(const std::vector<ModelName> &models, std::uint64_t fence = 0)
{
    return {0, 0, models, fence};
}

/*! @brief Planner for a pool with a single engine, under a virtual clock. */
struct SingleEngine
{
    SingleEngine()
    {
        planner.plan(documentOf(1), viewOf(1), now);
    }

    std::optional<SendOrder> nextAfterReport(const std::vector<ModelName> &models, Duration later = 3s,
                                             std::uint64_t fence = 0)
    {
        now += later;
        planner.onReport(reportOf(models, fence), now);
        return planner.nextOrder(now);
    }

    OrderPlanner planner{InstanceName{"side-0"}, 1};
    TimePoint now{1h};
};

} // namespace

class OrderPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderPlannerTest);
    CPPUNIT_TEST(modelsAreAssignedToTheirReplicasAndMoveLittle);
    CPPUNIT_TEST(leavingEngineIsAssignedNothing);
    CPPUNIT_TEST(ordersAreIssuedUntilTheEngineMatches);
    CPPUNIT_TEST(nextOrderNeedsAnAnswerAndANewReport);
    CPPUNIT_TEST(timedOutOrderIsNotRepeated);
    CPPUNIT_TEST(fencingNumbersExceedVersionOrdersAndReports);
    CPPUNIT_TEST(discardedReportIsNotUsed);
    CPPUNIT_TEST(refusedOrdersBackOffExponentially);
    CPPUNIT_TEST(unassignedModelIsUnloadedAfterADelay);
    CPPUNIT_TEST(loadsStayBelowTheRateOfTheWeightStore);
    CPPUNIT_TEST_SUITE_END();

public:
    void modelsAreAssignedToTheirReplicasAndMoveLittle()
    {
        const auto holders = [](const InstanceView &view) {
            std::set<InstanceName> names;
            std::set<std::uint32_t> ranks;
            for (const auto &[name, instance] : view.instances) {
                for (const AssignedModel &assigned : assignedModels(documentOf(4), view, name)) {
                    names.insert(name);
                    ranks.insert(assigned.rank);
                    CPPUNIT_ASSERT_EQUAL(std::string{"2"}, assigned.version);
                }
            }
            CPPUNIT_ASSERT(ranks == std::set<std::uint32_t>({0, 1, 2, 3}));
            return names;
        };
        InstanceView view = viewOf(12);
        const std::set<InstanceName> before = holders(view);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, before.size());
        view.instances.erase(*before.begin());
        std::set<InstanceName> kept = holders(view);
        std::erase_if(kept, [&before](const InstanceName &name) { return !before.contains(name); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, kept.size());
    }

    void leavingEngineIsAssignedNothing()
    {
        InstanceView view = viewOf(1);
        view.instances.begin()->second.leaving = true;
        CPPUNIT_ASSERT(assignedModels(documentOf(1), view, InstanceName{"side-0"}).empty());
    }

    void ordersAreIssuedUntilTheEngineMatches()
    {
        SingleEngine single;
        const SendOrder load = *single.nextAfterReport({}, 60s);
        CPPUNIT_ASSERT(load.kind == OrderKind::LoadModel && load.model == large() && load.version == "2");
        single.planner.onAnswer({load.fencingToken, true}, single.now);
        const SendOrder adapter = *single.nextAfterReport({large()});
        CPPUNIT_ASSERT(adapter.kind == OrderKind::LoadAdapter && adapter.adapter.text() == "a");
        single.planner.onAnswer({adapter.fencingToken, true}, single.now);
        CPPUNIT_ASSERT(!single.nextAfterReport({large()}));
        // The engine restarts empty.
        CPPUNIT_ASSERT(single.nextAfterReport({})->kind == OrderKind::LoadModel);
    }

    void nextOrderNeedsAnAnswerAndANewReport()
    {
        SingleEngine single;
        const SendOrder load = *single.nextAfterReport({}, 60s);
        CPPUNIT_ASSERT(!single.nextAfterReport({}));
        single.planner.onAnswer({load.fencingToken + 1, true}, single.now);
        CPPUNIT_ASSERT(single.planner.inFlight());
        single.planner.onAnswer({load.fencingToken, true}, single.now);
        // A report within the lag of the engine's reports may show the state before the order.
        CPPUNIT_ASSERT(!single.nextAfterReport({}, 1s));
        CPPUNIT_ASSERT(single.nextAfterReport({}, 2s));
    }

    void timedOutOrderIsNotRepeated()
    {
        SingleEngine single;
        const SendOrder load = *single.nextAfterReport({}, 60s);
        CPPUNIT_ASSERT(!single.nextAfterReport({}, 119s));
        CPPUNIT_ASSERT(!single.nextAfterReport({}, 2s));
        CPPUNIT_ASSERT(!single.planner.inFlight());
        const SendOrder next = *single.nextAfterReport({large()});
        CPPUNIT_ASSERT(next.kind == OrderKind::SetVersion && next.fencingToken > load.fencingToken);
    }

    void fencingNumbersExceedVersionOrdersAndReports()
    {
        SingleEngine single;
        const std::uint64_t first = single.nextAfterReport({}, 60s)->fencingToken;
        single.planner.onAnswer({first, true}, single.now);
        const std::uint64_t second = single.nextAfterReport({}, 3s, first + 100)->fencingToken;
        CPPUNIT_ASSERT(second > first + 100);
        single.planner.onAnswer({second, true}, single.now);
        single.planner.plan(documentOf(1, 2), viewOf(1), single.now);
        OrderPlanner replaced{InstanceName{"side-0"}, 1};
        replaced.plan(documentOf(1, 1), viewOf(1), single.now);
        const std::uint64_t newer = single.nextAfterReport({}, 60s)->fencingToken;
        CPPUNIT_ASSERT(newer > second);
        replaced.onReport(reportOf({}, 0), single.now);
        CPPUNIT_ASSERT(replaced.nextOrder(single.now + 60s)->fencingToken < newer);
    }

    void discardedReportIsNotUsed()
    {
        SingleEngine single;
        single.now += 60s;
        single.planner.onReport(reportOf({}), single.now);
        single.planner.discardReport(single.now);
        CPPUNIT_ASSERT(!single.planner.nextOrder(single.now));
        CPPUNIT_ASSERT(!single.nextAfterReport({}, 1s));
        CPPUNIT_ASSERT(single.nextAfterReport({}, 2s));
    }

    void refusedOrdersBackOffExponentially()
    {
        SingleEngine single;
        Duration last{};
        for (int round = 0; round < 3; ++round) {
            Duration waited{};
            std::optional<SendOrder> order = single.nextAfterReport({}, 60s);
            single.planner.onAnswer({order->fencingToken, false}, single.now);
            while (!(order = single.nextAfterReport({}, 1s))) {
                waited += 1s;
            }
            single.planner.onAnswer({order->fencingToken, true}, single.now);
            CPPUNIT_ASSERT(waited >= 4s);
            last = waited;
        }
        CPPUNIT_ASSERT(last < 6s);
        std::optional<SendOrder> order = single.nextAfterReport({}, 60s);
        single.planner.onAnswer({order->fencingToken, false}, single.now);
        order = single.nextAfterReport({}, 60s);
        single.planner.onAnswer({order->fencingToken, false}, single.now);
        CPPUNIT_ASSERT(!single.nextAfterReport({}, 9s));
        CPPUNIT_ASSERT(single.nextAfterReport({}, 2s));
    }

    void unassignedModelIsUnloadedAfterADelay()
    {
        SingleEngine single;
        const ModelName old{"old"};
        const SendOrder version = *single.nextAfterReport({large(), old});
        single.planner.onAnswer({version.fencingToken, true}, single.now);
        const SendOrder adapter = *single.nextAfterReport({large(), old});
        single.planner.onAnswer({adapter.fencingToken, true}, single.now);
        CPPUNIT_ASSERT(!single.nextAfterReport({large(), old}));
        CPPUNIT_ASSERT(!single.nextAfterReport({large(), old}, 50s));
        const SendOrder unload = *single.nextAfterReport({large(), old}, 11s);
        CPPUNIT_ASSERT(unload.kind == OrderKind::UnloadModel && unload.model == old);
    }

    void loadsStayBelowTheRateOfTheWeightStore()
    {
        const InstanceView view = viewOf(40);
        std::map<std::int64_t, int> starts;
        for (const auto &[name, instance] : view.instances) {
            OrderPlanner planner{name, 1};
            planner.plan(documentOf(40), view, TimePoint{});
            planner.onReport(reportOf({}), TimePoint{} + 1us);
            for (std::int64_t second = 0; second < 500; ++second) {
                if (planner.nextOrder(TimePoint{} + std::chrono::seconds{second})) {
                    ++starts[second / 10];
                    break;
                }
            }
        }
        int total = 0;
        for (const auto &[turn, count] : starts) {
            // 20 GB at 2 GB per second: one start every ten seconds, two because of jitter.
            CPPUNIT_ASSERT(count <= 2);
            total += count;
        }
        CPPUNIT_ASSERT_EQUAL(40, total);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderPlannerTest);
