#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::ServingFixture;

/*! @brief Endpoints that announce in a response that they are about to stop. */
class EndpointDrainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointDrainTest);
    CPPUNIT_TEST(announcementIsLoggedOnce);
    CPPUNIT_TEST(requestReachesEndpointThatAnnouncedItsDrain);
    CPPUNIT_TEST(generationReachesEngineThatAnnouncedItsDrain);
    CPPUNIT_TEST(stageCallReachesEndpointThatAnnouncedItsDrain);
    CPPUNIT_TEST(requestWaitsForPoolThatAnnouncedItsDrain);
    CPPUNIT_TEST_SUITE_END();

public:
    void announcementIsLoggedOnce()
    {
        CPPUNIT_ASSERT_EQUAL(1, announcementsIn(m_fixture.reducer().apply(drain("desk-1"), m_fixture.now())));
        CPPUNIT_ASSERT_EQUAL(0, announcementsIn(m_fixture.reducer().apply(drain("desk-1"), m_fixture.now())));
        CPPUNIT_ASSERT_EQUAL(1, announcementsIn(m_fixture.reducer().apply(drain("desk-2"), m_fixture.now())));
    }

    /*! @brief The list that still calls the endpoint ready is read again without undoing the announcement. */
    void requestReachesEndpointThatAnnouncedItsDrain()
    {
        m_fixture.apply(drain("desk-1"));
        CPPUNIT_ASSERT(destinations("/order/1").contains("desk-2"));
        m_fixture.apply(EndpointsChanged{ServingFixture::endpoints()});
        CPPUNIT_ASSERT(!destinations("/order/1").contains("desk-1"));
    }

    void generationReachesEngineThatAnnouncedItsDrain()
    {
        m_fixture.apply(m_fixture.arrival("/summary/1"));
        const StartRun first = *m_fixture.effect<StartRun>();
        m_fixture.apply(drain(first.instance.text()));
        CPPUNIT_ASSERT(!destinations("/chat/1").contains(first.instance.text()));
        // What is in progress there goes on; a retry goes elsewhere.
        m_fixture.apply(RunFailed{first.run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>()->instance != first.instance);
    }

    void stageCallReachesEndpointThatAnnouncedItsDrain()
    {
        auto list = std::make_shared<EndpointList>(*ServingFixture::endpoints());
        list->push_back({InstanceName{"encoder-2"}, PoolName{"encoders"}, "10.0.0.2:1", ZoneName{"a"}, 4, false});
        m_fixture.apply(EndpointsChanged{list});
        m_fixture.apply(drain("encoder-1"));
        RequestArrived draft = m_fixture.arrival("/draft/1");
        for (std::uint64_t call = 1; call <= 3; ++call) {
            draft.request.call = CallId{call};
            draft.request.pieces = {4};
            m_fixture.apply(draft);
            if (const auto *stageCall = m_fixture.effect<StartStageCall>()) {
                CPPUNIT_ASSERT_EQUAL(std::string{"encoder-2"}, stageCall->instance.text());
            }
        }
    }

    void requestWaitsForPoolThatAnnouncedItsDrain()
    {
        m_fixture.apply(drain("desk-1"));
        m_fixture.apply(drain("desk-2"));
        m_fixture.apply(m_fixture.arrival("/order/1"));
        const auto *rejection = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(rejection != nullptr && rejection->kind == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(rejection->retryAfter > Duration::zero());
    }

private:
    [[nodiscard]] static EndpointResponded drain(const std::string &endpoint)
    {
        EndpointNotice notice;
        notice.isDraining = true;
        return {InstanceName{endpoint}, notice};
    }

    [[nodiscard]] static int announcementsIn(const Effects &effects)
    {
        return static_cast<int>(std::ranges::count_if(effects, [](const Effect &effect) {
            const auto *line = std::get_if<LogLine>(&effect);
            return line != nullptr && line->text == "Endpoint announced its drain.";
        }));
    }

    /*! @brief Returns the endpoints that 20 requests are sent to. */
    [[nodiscard]] std::set<std::string> destinations(const std::string &path)
    {
        std::set<std::string> out;
        for (int index = 0; index < 20; ++index) {
            m_fixture.apply(m_fixture.arrival(path, ++m_lastCall));
            out.insert(m_fixture.effect<StartRun>()->instance.text());
        }
        return out;
    }

    ServingFixture m_fixture;
    std::uint64_t m_lastCall{100};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointDrainTest);
