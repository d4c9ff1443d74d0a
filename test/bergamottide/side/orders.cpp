#include "bergamottide/side/sidereducer.h"

#include "sidefixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

namespace {

Document documentWithModel()
{
    Document document = smallDocument();
    Pipeline pipeline;
    pipeline.name = PipelineName{"p"};
    pipeline.stages = {Stage{StageName{"s"}, PoolName{"engines"}}};
    document.pipelines[pipeline.name] = pipeline;
    document.models[ModelName{"m"}] = Model{ModelName{"m"}};
    document.bindings = {Binding{WorkspaceName{"north"}, PipelineName{"p"}, ModelName{"m"}}};
    return document;
}

} // namespace

/*! @brief A side is the single giver of orders to its engine, and only while it knows that it is. */
class SideOrdersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SideOrdersTest);
    CPPUNIT_TEST(missingModelIsLoaded);
    CPPUNIT_TEST(noOrderWhileDraining);
    CPPUNIT_TEST(noOrderAfterAPauseUntilReadAnew);
    CPPUNIT_TEST_SUITE_END();

public:
    void missingModelIsLoaded()
    {
        SideFixture fixture{documentWithModel()};
        fixture.pass(2s);
        CPPUNIT_ASSERT(fixture.all<GiveOrder>().empty());
        fixture.apply(EndpointReport{});
        fixture.pass(5s);
        const auto orders = fixture.all<GiveOrder>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(orders[0].kind == OrderKind::LoadModel && orders[0].model.text() == "m");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.all<AuditRecord>().size());
    }

    void noOrderWhileDraining()
    {
        SideFixture fixture{documentWithModel()};
        fixture.pass(2s);
        fixture.apply(DrainRequested{"SIGTERM"});
        fixture.apply(EndpointReport{});
        fixture.pass(5s);
        CPPUNIT_ASSERT(fixture.all<GiveOrder>().empty());
    }

    void noOrderAfterAPauseUntilReadAnew()
    {
        SideFixture fixture{documentWithModel()};
        fixture.clock.advance(10s);
        fixture.apply(EndpointReport{});
        CPPUNIT_ASSERT(fixture.all<GiveOrder>().empty());
        fixture.receive(Pong{fixture.messages<Ping>().at(0).sequence});
        fixture.pass(3s);
        CPPUNIT_ASSERT(fixture.all<GiveOrder>().empty());
        fixture.apply(EndpointReport{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.all<GiveOrder>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SideOrdersTest);
