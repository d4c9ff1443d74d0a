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
        instance.role = Role::Side;
        instance.pool = PoolName{"engines"};
        view.instances[instance.name] = instance;
    }
    return view;
}

EndpointReport holding(const std::vector<ModelName> &models, std::uint64_t fence = 0)
{
    return {0, 0, models, fence};
}

/*! @brief A planner of the only engine, under a virtual clock. */
struct Single
{
    Single()
    {
        planner.plan(documentOf(1), viewOf(1), now);
    }

    std::optional<GiveOrder> read(const std::vector<ModelName> &models, Duration later = 3s, std::uint64_t fence = 0)
    {
        now += later;
        planner.onReport(holding(models, fence), now);
        return planner.next(now);
    }

    OrderPlanner planner{InstanceName{"side-0"}, 1};
    TimePoint now{1h};
};

} // namespace

class OrderPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderPlannerTest);
    CPPUNIT_TEST(modelsAreDueAtTheirReplicasAndMoveLittle);
    CPPUNIT_TEST(leavingEngineHoldsNothing);
    CPPUNIT_TEST(ordersFollowUntilTheEngineMatches);
    CPPUNIT_TEST(oneOrderIsInFlightAndReadBackBeforeTheNext);
    CPPUNIT_TEST(unsureOrderIsReadAnewNotRepeated);
    CPPUNIT_TEST(fencesGrowAboveVersionOrdersAndReports);
    CPPUNIT_TEST(afterAPauseNothingOldIsActedOn);
    CPPUNIT_TEST(refusedOrderWaitsLongerEachTime);
    CPPUNIT_TEST(surplusModelIsUnloadedLate);
    CPPUNIT_TEST(loadsAreSpreadBelowTheStoresRate);
    CPPUNIT_TEST_SUITE_END();

public:
    void modelsAreDueAtTheirReplicasAndMoveLittle()
    {
        const auto holders = [](const InstanceView &view) {
            std::set<InstanceName> names;
            std::set<std::uint32_t> ranks;
            for (const auto &[name, instance] : view.instances) {
                for (const DueModel &due : modelsDue(documentOf(4), view, name)) {
                    names.insert(name);
                    ranks.insert(due.rank);
                    CPPUNIT_ASSERT_EQUAL(std::string{"2"}, due.version);
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

    void leavingEngineHoldsNothing()
    {
        InstanceView view = viewOf(1);
        view.instances.begin()->second.leaving = true;
        CPPUNIT_ASSERT(modelsDue(documentOf(1), view, InstanceName{"side-0"}).empty());
    }

    void ordersFollowUntilTheEngineMatches()
    {
        Single single;
        const GiveOrder load = *single.read({}, 60s);
        CPPUNIT_ASSERT(load.kind == OrderKind::LoadModel && load.model == large() && load.version == "2");
        single.planner.onAnswer({load.fence, true}, single.now);
        const GiveOrder adapter = *single.read({large()});
        CPPUNIT_ASSERT(adapter.kind == OrderKind::LoadAdapter && adapter.adapter.text() == "a");
        single.planner.onAnswer({adapter.fence, true}, single.now);
        CPPUNIT_ASSERT(!single.read({large()}));
        // The engine restarts empty.
        CPPUNIT_ASSERT(single.read({})->kind == OrderKind::LoadModel);
    }

    void oneOrderIsInFlightAndReadBackBeforeTheNext()
    {
        Single single;
        const GiveOrder load = *single.read({}, 60s);
        CPPUNIT_ASSERT(!single.read({}));
        single.planner.onAnswer({load.fence + 1, true}, single.now);
        CPPUNIT_ASSERT(single.planner.inFlight());
        single.planner.onAnswer({load.fence, true}, single.now);
        // A report within the engine's lag may still show the state before the order.
        CPPUNIT_ASSERT(!single.read({}, 1s));
        CPPUNIT_ASSERT(single.read({}, 2s));
    }

    void unsureOrderIsReadAnewNotRepeated()
    {
        Single single;
        const GiveOrder load = *single.read({}, 60s);
        CPPUNIT_ASSERT(!single.read({}, 119s));
        CPPUNIT_ASSERT(!single.read({}, 2s));
        CPPUNIT_ASSERT(!single.planner.inFlight());
        const GiveOrder next = *single.read({large()});
        CPPUNIT_ASSERT(next.kind == OrderKind::SetVersion && next.fence > load.fence);
    }

    void fencesGrowAboveVersionOrdersAndReports()
    {
        Single single;
        const std::uint64_t first = single.read({}, 60s)->fence;
        single.planner.onAnswer({first, true}, single.now);
        const std::uint64_t second = single.read({}, 3s, first + 100)->fence;
        CPPUNIT_ASSERT(second > first + 100);
        single.planner.onAnswer({second, true}, single.now);
        single.planner.plan(documentOf(1, 2), viewOf(1), single.now);
        OrderPlanner replaced{InstanceName{"side-0"}, 1};
        replaced.plan(documentOf(1, 1), viewOf(1), single.now);
        const std::uint64_t newer = single.read({}, 60s)->fence;
        CPPUNIT_ASSERT(newer > second);
        replaced.onReport(holding({}, 0), single.now);
        CPPUNIT_ASSERT(replaced.next(single.now + 60s)->fence < newer);
    }

    void afterAPauseNothingOldIsActedOn()
    {
        Single single;
        single.now += 60s;
        single.planner.onReport(holding({}), single.now);
        single.planner.forgetReading(single.now);
        CPPUNIT_ASSERT(!single.planner.next(single.now));
        CPPUNIT_ASSERT(!single.read({}, 1s));
        CPPUNIT_ASSERT(single.read({}, 2s));
    }

    void refusedOrderWaitsLongerEachTime()
    {
        Single single;
        Duration last{};
        for (int round = 0; round < 3; ++round) {
            Duration waited{};
            std::optional<GiveOrder> order = single.read({}, 60s);
            single.planner.onAnswer({order->fence, false}, single.now);
            while (!(order = single.read({}, 1s))) {
                waited += 1s;
            }
            single.planner.onAnswer({order->fence, true}, single.now);
            CPPUNIT_ASSERT(waited >= 4s);
            last = waited;
        }
        CPPUNIT_ASSERT(last < 6s);
        std::optional<GiveOrder> order = single.read({}, 60s);
        single.planner.onAnswer({order->fence, false}, single.now);
        order = single.read({}, 60s);
        single.planner.onAnswer({order->fence, false}, single.now);
        CPPUNIT_ASSERT(!single.read({}, 9s));
        CPPUNIT_ASSERT(single.read({}, 2s));
    }

    void surplusModelIsUnloadedLate()
    {
        Single single;
        const ModelName old{"old"};
        const GiveOrder version = *single.read({large(), old});
        single.planner.onAnswer({version.fence, true}, single.now);
        const GiveOrder adapter = *single.read({large(), old});
        single.planner.onAnswer({adapter.fence, true}, single.now);
        CPPUNIT_ASSERT(!single.read({large(), old}));
        CPPUNIT_ASSERT(!single.read({large(), old}, 50s));
        const GiveOrder unload = *single.read({large(), old}, 11s);
        CPPUNIT_ASSERT(unload.kind == OrderKind::UnloadModel && unload.model == old);
    }

    void loadsAreSpreadBelowTheStoresRate()
    {
        const InstanceView view = viewOf(40);
        std::map<std::int64_t, int> starts;
        for (const auto &[name, instance] : view.instances) {
            OrderPlanner planner{name, 1};
            planner.plan(documentOf(40), view, TimePoint{});
            planner.onReport(holding({}), TimePoint{} + 1us);
            for (std::int64_t second = 0; second < 500; ++second) {
                if (planner.next(TimePoint{} + std::chrono::seconds{second})) {
                    ++starts[second / 10];
                    break;
                }
            }
        }
        int total = 0;
        for (const auto &[turn, count] : starts) {
            // 20 GB at 2 GB a second: one start for every ten seconds, two where jitter meets.
            CPPUNIT_ASSERT(count <= 2);
            total += count;
        }
        CPPUNIT_ASSERT_EQUAL(40, total);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderPlannerTest);
