#include "bergamottide/catalog/regionrule.h"
#include "bergamottide/pools/endpointdirectory.h"
#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::ServingFixture;

/*! @brief Evacuation of availability zones, and region restrictions of requests. */
class EvacuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationTest);
    CPPUNIT_TEST(directoryMarksEndpointsOfEvacuatedZone);
    CPPUNIT_TEST(evacuationAppliesDuringListOutageAndToNewEndpoints);
    CPPUNIT_TEST(evacuatedZoneGetsNoRequestsRetriesOrStageCalls);
    CPPUNIT_TEST(brokenStreamOfEvacuatedZoneResumesElsewhere);
    CPPUNIT_TEST(queuedStageWorkMovesToRemainingEndpoints);
    CPPUNIT_TEST(requestIsRejectedWhenAllZonesAreEvacuated);
    CPPUNIT_TEST(requestUsesTheRemainingZone);
    CPPUNIT_TEST(requestStaysInRegionsOfRouteAndWorkspace);
    CPPUNIT_TEST_SUITE_END();

public:
    void directoryMarksEndpointsOfEvacuatedZone()
    {
        EndpointDirectory directory;
        directory.replace(list(), m_now);
        static_cast<void>(directory.takeChangedList(m_now));
        directory.setEvacuatedZones({ZoneName{"b"}});
        const auto evacuated = directory.takeChangedList(m_now);
        CPPUNIT_ASSERT(evacuated != nullptr);
        for (const EndpointRecord &record : *evacuated) {
            CPPUNIT_ASSERT_EQUAL(record.zone == ZoneName{"b"}, record.isEvacuated);
        }
        directory.setEvacuatedZones({});
        const auto restored = directory.takeChangedList(m_now);
        CPPUNIT_ASSERT(restored != nullptr);
        CPPUNIT_ASSERT(std::ranges::none_of(*restored, &EndpointRecord::isEvacuated));
    }

    void evacuationAppliesDuringListOutageAndToNewEndpoints()
    {
        EndpointDirectory directory;
        directory.setEvacuatedZones({ZoneName{"b"}});
        directory.beginListOutage(m_now);
        directory.put({InstanceName{"late"}, PoolName{"desk"}, "10.0.0.1:1", ZoneName{"b"}, 4, false}, m_now);
        CPPUNIT_ASSERT(directory.takeChangedList(m_now)->front().isEvacuated);
    }

    void evacuatedZoneGetsNoRequestsRetriesOrStageCalls()
    {
        evacuate({"b"});
        for (std::uint64_t call = 1; call <= 20; ++call) {
            m_fixture.apply(m_fixture.arrival("/order/1", call));
            CPPUNIT_ASSERT_EQUAL(std::string{"desk-a"}, m_fixture.effect<StartRun>()->instance.text());
        }
        RequestArrived lookup = m_fixture.arrival("/lookup/1", 30);
        m_fixture.apply(lookup);
        const RunNumber run = m_fixture.effect<StartRun>()->run;
        m_fixture.apply(RunFailed{run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        RequestArrived draft = m_fixture.arrival("/draft/1", 31);
        draft.request.pieces = {4};
        m_fixture.apply(draft);
        CPPUNIT_ASSERT_EQUAL(std::string{"encoder-a"}, m_fixture.effect<StartStageCall>()->instance.text());
    }

    void brokenStreamOfEvacuatedZoneResumesElsewhere()
    {
        m_fixture.apply(m_fixture.arrival("/summary/1"));
        const StartRun first = *m_fixture.effect<StartRun>();
        m_fixture.apply(RunHeadReceived{first.run, ServingFixture::responseHead()});
        m_fixture.apply(RunBodyReceived{first.run, "id: 0\ndata: a\n\n"});
        const std::string zone = first.instance.text().substr(first.instance.text().size() - 1);
        evacuate({zone});
        // Requests in progress may finish in the evacuated zone.
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() == nullptr);
        m_fixture.apply(RunFailed{first.run, RunFailure::Broken});
        const auto *resumed = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(resumed != nullptr);
        CPPUNIT_ASSERT(resumed->instance.text().back() != zone.front());
        CPPUNIT_ASSERT_EQUAL(std::string{"0"}, resumed->lastEventId);
    }

    void queuedStageWorkMovesToRemainingEndpoints()
    {
        std::set<StageCallNumber> calls;
        for (std::uint64_t call = 1; call <= 4; ++call) {
            RequestArrived draft = m_fixture.arrival("/draft/1", call);
            draft.request.pieces = {8};
            m_fixture.apply(draft);
        }
        evacuate({"b"});
        // Both endpoints are busy; queued work goes to the remaining one.
        m_fixture.apply(StageCallEnded{StageCallNumber{1}, StageCallStatus::Answered, results(8)});
        m_fixture.apply(StageCallEnded{StageCallNumber{2}, StageCallStatus::Answered, results(8)});
        for (const Effect &effect : m_fixture.effects()) {
            if (const auto *call = std::get_if<StartStageCall>(&effect)) {
                CPPUNIT_ASSERT_EQUAL(std::string{"encoder-a"}, call->instance.text());
            }
        }
    }

    void requestIsRejectedWhenAllZonesAreEvacuated()
    {
        evacuate({"a", "b", "c"});
        m_fixture.apply(m_fixture.arrival("/order/1"));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        const auto *refusal = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(refusal != nullptr && refusal->kind == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(refusal->retryAfter > Duration::zero());
    }

    void requestUsesTheRemainingZone()
    {
        evacuate({"a", "b"});
        m_fixture.apply(m_fixture.arrival("/chat/1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"engine-c"}, m_fixture.effect<StartRun>()->instance.text());
    }

    void requestStaysInRegionsOfRouteAndWorkspace()
    {
        const RegionRule rule{{{ZoneName{"a"}, RegionName{"north"}}, {ZoneName{"b"}, RegionName{"south"}}}};
        Route route;
        Workspace workspace;
        CPPUNIT_ASSERT(rule.allows(route, workspace, ZoneName{"unknown"}));
        route.regions = {RegionName{"north"}};
        CPPUNIT_ASSERT(rule.allows(route, workspace, ZoneName{"a"}));
        CPPUNIT_ASSERT(!rule.allows(route, workspace, ZoneName{"b"}));
        CPPUNIT_ASSERT(!rule.allows(route, workspace, ZoneName{"unknown"}));
        workspace.regions = {RegionName{"south"}};
        CPPUNIT_ASSERT(!rule.allows(route, workspace, ZoneName{"a"}));
        CPPUNIT_ASSERT(!rule.allows(route, workspace, ZoneName{"b"}));
    }

private:
    /*! @brief Returns endpoints of all pools in zones a and b, and of the engine pool also in zone c. */
    [[nodiscard]] static EndpointList list()
    {
        EndpointList out;
        for (const std::string zone : {"a", "b", "c"}) {
            for (const auto &[name, pool] : std::vector<std::pair<std::string, std::string>>{
                     {"desk-", "desk"}, {"engine-", "engines"}, {"encoder-", "encoders"}, {"reranker-", "rerankers"}}) {
                if (zone != "c" || pool == "engines") {
                    out.push_back({InstanceName{name + zone}, PoolName{pool}, "10.0.0.1:1", ZoneName{zone}, 4, false});
                }
            }
        }
        return out;
    }

    [[nodiscard]] static std::vector<PieceResult> results(std::size_t count)
    {
        std::vector<PieceResult> out;
        for (std::size_t index = 0; index < count; ++index) {
            out.push_back({"h-" + std::to_string(index), {}});
        }
        return out;
    }

    void evacuate(const std::set<std::string> &zones)
    {
        std::set<ZoneName> names;
        for (const std::string &zone : zones) {
            names.insert(ZoneName{zone});
        }
        m_directory.replace(list(), m_now);
        m_directory.setEvacuatedZones(std::move(names));
        m_fixture.apply(EndpointsChanged{m_directory.takeChangedList(m_now)});
    }

    TimePoint m_now{std::chrono::seconds{100}};
    EndpointDirectory m_directory;
    ServingFixture m_fixture{std::make_shared<const EndpointList>(list())};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);
