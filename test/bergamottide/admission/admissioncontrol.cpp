#include "bergamottide/admission/admissioncontrol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace bergamottide;
using std::chrono::milliseconds;
using std::chrono::seconds;

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(admitsFeasibleRequest);
    CPPUNIT_TEST(refusesInfeasibleRequestWithRetryAfter);
    CPPUNIT_TEST(burstDoesNotAffectOtherWorkspaces);
    CPPUNIT_TEST(refusesLowestValueDensityFirst);
    CPPUNIT_TEST(admitsProbeWhenServiceEstimateExceedsDeadline);
    CPPUNIT_TEST(countsPendingCostOfAdmittedRequests);
    CPPUNIT_TEST(enforcesRateAndConcurrencyLimits);
    CPPUNIT_TEST_SUITE_END();

    EndpointTable m_table{RegionName{"west"}, ZoneName{"a"}};
    Placement m_placement{m_table, 1};
    AdmissionControl m_admission{m_placement, m_table};
    Pipeline m_pipeline{PipelineName{"answer"}, {{StageName{"generate"}, PoolName{"engines"}}}};
    Workspace m_north{WorkspaceName{"north"}};
    Workspace m_south{WorkspaceName{"south"}};
    ModelName m_model;
    std::vector<Duration> m_costs{seconds{1}};
    TimePoint m_now{seconds{1}};
    Policy m_policy;

    AdmissionDecision judge(const Workspace &workspace, double value = 1.0)
    {
        Kind kind;
        kind.value = value;
        const AdmissionQuery query{workspace, m_pipeline, m_model, kind, 0, m_costs, seconds{9}};
        return m_admission.decide(query, m_policy, 1, m_now);
    }

    void admitted(const Workspace &workspace)
    {
        const AdmissionQuery query{workspace, m_pipeline, m_model, Kind{}, 0, m_costs, seconds{9}};
        m_admission.requestAdmitted(query);
    }

    /*! @brief Applies a load report with a wait of workspace `north` only. */
    void report(Duration wait)
    {
        LoadReport load{.queued = 8, .running = 8, .concurrency = 8};
        load.waits.push_back({m_north.name, wait});
        m_table.applyReport(InstanceName{"engine"}, load, m_now);
    }

public:
    void setUp() override
    {
        InstanceView view;
        Instance instance;
        instance.name = InstanceName{"engine"};
        instance.role = Role::Sidecar;
        instance.region = RegionName{"west"};
        instance.zone = ZoneName{"a"};
        instance.pool = PoolName{"engines"};
        view.instances[instance.name] = instance;
        m_table.applyView(view);
        m_table.setConnected(instance.name, true);
    }

    void admitsFeasibleRequest()
    {
        report(seconds{2});
        CPPUNIT_ASSERT(judge(m_north).reason == Reason::None);
    }

    void refusesInfeasibleRequestWithRetryAfter()
    {
        report(seconds{20});
        const AdmissionDecision decision = judge(m_north);
        CPPUNIT_ASSERT(decision.reason == Reason::DeadlineUnreachable);
        CPPUNIT_ASSERT(decision.retryAfter >= seconds{10} && decision.retryAfter <= seconds{30});
    }

    void burstDoesNotAffectOtherWorkspaces()
    {
        report(seconds{20});
        CPPUNIT_ASSERT(judge(m_north).reason != Reason::None);
        CPPUNIT_ASSERT(judge(m_south).reason == Reason::None);
    }

    void refusesLowestValueDensityFirst()
    {
        report(seconds{4});
        for (int request = 0; request < 20; ++request) {
            static_cast<void>(judge(m_north, request % 4 == 0 ? 0.3 : 5.0));
        }
        CPPUNIT_ASSERT(judge(m_north, 5.0).reason == Reason::None);
        CPPUNIT_ASSERT(judge(m_north, 0.3).reason == Reason::Overloaded);
        CPPUNIT_ASSERT(judge(m_south, 0.3).reason == Reason::None);
    }

    void admitsProbeWhenServiceEstimateExceedsDeadline()
    {
        m_costs = {seconds{20}};
        CPPUNIT_ASSERT(judge(m_north).reason == Reason::None);
        CPPUNIT_ASSERT(judge(m_north).reason == Reason::DeadlineUnreachable);
        m_now += seconds{1};
        CPPUNIT_ASSERT(judge(m_north).reason == Reason::None);
    }

    void countsPendingCostOfAdmittedRequests()
    {
        report(seconds{2});
        for (int request = 0; request < 100; ++request) {
            admitted(m_north);
        }
        CPPUNIT_ASSERT(judge(m_north).reason != Reason::None);
        for (int request = 0; request < 100; ++request) {
            m_admission.removePendingStage(m_north.name, PoolName{"engines"}, seconds{1});
        }
        CPPUNIT_ASSERT(judge(m_north).reason == Reason::None);
    }

    void enforcesRateAndConcurrencyLimits()
    {
        m_north.maxRate = 2.0;
        CPPUNIT_ASSERT(judge(m_north).reason == Reason::None);
        CPPUNIT_ASSERT(judge(m_north).reason == Reason::None);
        const AdmissionDecision decision = judge(m_north);
        CPPUNIT_ASSERT(decision.reason == Reason::RateLimited && decision.retryAfter == milliseconds{500});
        m_south.maxInProgress = 1;
        admitted(m_south);
        CPPUNIT_ASSERT(judge(m_south).reason == Reason::RateLimited);
        m_admission.requestEnded(m_south.name);
        CPPUNIT_ASSERT(judge(m_south).reason == Reason::None);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
