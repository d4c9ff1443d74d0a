#include "bergamottide/sidecar/sidecarreducer.h"

#include "sidecarfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

namespace {

Document documentWithModel()
{
    Document document = minimalDocument();
    Pipeline pipeline;
    pipeline.name = PipelineName{"p"};
    pipeline.stages = {Stage{StageName{"s"}, PoolName{"engines"}}};
    document.pipelines[pipeline.name] = pipeline;
    document.models[ModelName{"m"}] = Model{ModelName{"m"}};
    document.bindings = {Binding{WorkspaceName{"north"}, PipelineName{"p"}, ModelName{"m"}}};
    return document;
}

} // namespace

/*! @brief A sidecar sends orders only while it is certain to be the only sender for its engine. */
class SidecarOrdersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SidecarOrdersTest);
    CPPUNIT_TEST(loadsMissingModel);
    CPPUNIT_TEST(sendsNoOrderWhileDraining);
    CPPUNIT_TEST(sendsNoOrderAfterPauseUntilNextReport);
    CPPUNIT_TEST_SUITE_END();

public:
    void loadsMissingModel()
    {
        SidecarFixture fixture{documentWithModel()};
        fixture.advanceClock(2s);
        CPPUNIT_ASSERT(fixture.effectsOf<SendOrder>().empty());
        fixture.apply(EndpointLoadReport{});
        fixture.advanceClock(5s);
        const auto orders = fixture.effectsOf<SendOrder>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(orders[0].kind == OrderKind::LoadModel && orders[0].model.text() == "m");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.effectsOf<AuditRecord>().size());
    }

    void sendsNoOrderWhileDraining()
    {
        SidecarFixture fixture{documentWithModel()};
        fixture.advanceClock(2s);
        fixture.apply(DrainRequested{"SIGTERM"});
        fixture.apply(EndpointLoadReport{});
        fixture.advanceClock(5s);
        CPPUNIT_ASSERT(fixture.effectsOf<SendOrder>().empty());
    }

    void sendsNoOrderAfterPauseUntilNextReport()
    {
        SidecarFixture fixture{documentWithModel()};
        fixture.clock.advance(10s);
        fixture.apply(EndpointLoadReport{});
        CPPUNIT_ASSERT(fixture.effectsOf<SendOrder>().empty());
        fixture.receive(Pong{fixture.messagesOf<Ping>().at(0).sequence});
        fixture.advanceClock(3s);
        CPPUNIT_ASSERT(fixture.effectsOf<SendOrder>().empty());
        fixture.apply(EndpointLoadReport{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.effectsOf<SendOrder>().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarOrdersTest);
