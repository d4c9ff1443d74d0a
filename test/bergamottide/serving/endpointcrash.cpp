#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::ServingFixture;

/*! @brief Detection of crashed endpoints, as opposed to lost connections. */
class EndpointCrashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointCrashTest);
    CPPUNIT_TEST(brokenRunsCauseOneCheckOfTheirEndpoint);
    CPPUNIT_TEST(failedConnectionCausesNoCheck);
    CPPUNIT_TEST(stoppedEndpointCountsAsCrashed);
    CPPUNIT_TEST(runningEndpointIsCheckedAgainAfterTheNextLoss);
    CPPUNIT_TEST(crashedEndpointGetsNoFurtherRequests);
    CPPUNIT_TEST(crashesOfOneInstanceThatStartsAgainCountOnceEach);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenRunsCauseOneCheckOfTheirEndpoint()
    {
        const StartRun first = start("/order/1", 1);
        StartRun second = start("/order/2", 2);
        for (std::uint64_t call = 3; second.instance != first.instance; ++call) {
            second = start("/order/3", call);
        }
        m_fixture.apply(RunFailed{first.run, RunFailure::Broken});
        const auto *check = m_fixture.effect<CheckEndpoint>();
        CPPUNIT_ASSERT(check != nullptr);
        CPPUNIT_ASSERT(check->instance == first.instance);
        CPPUNIT_ASSERT_EQUAL(first.address, check->address);
        m_fixture.apply(RunFailed{second.run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<CheckEndpoint>() == nullptr);
    }

    void failedConnectionCausesNoCheck()
    {
        m_fixture.apply(RunFailed{start("/order/1", 1).run, RunFailure::ConnectFailed});
        CPPUNIT_ASSERT(m_fixture.effect<CheckEndpoint>() == nullptr);
    }

    void stoppedEndpointCountsAsCrashed()
    {
        const StartRun run = start("/order/1", 1);
        m_fixture.apply(RunFailed{run.run, RunFailure::Broken});
        const Effects effects =
            m_fixture.reducer().apply(EndpointChecked{run.instance, EndpointState::Stopped}, m_fixture.now());
        CPPUNIT_ASSERT(std::ranges::any_of(effects, [](const Effect &effect) {
            const auto *observation = std::get_if<Observe>(&effect);
            return observation != nullptr && observation->metric == Metric::EndpointCrashesTotal;
        }));
        CPPUNIT_ASSERT(std::ranges::any_of(effects, [](const Effect &effect) {
            const auto *line = std::get_if<LogLine>(&effect);
            return line != nullptr && line->text == "Endpoint crashed.";
        }));
    }

    void runningEndpointIsCheckedAgainAfterTheNextLoss()
    {
        const StartRun run = start("/order/1", 1);
        m_fixture.apply(RunFailed{run.run, RunFailure::Broken});
        m_fixture.apply(EndpointChecked{run.instance, EndpointState::Running});
        for (std::uint64_t call = 2;; ++call) {
            const StartRun next = start("/order/2", call);
            if (next.instance != run.instance) {
                continue;
            }
            m_fixture.apply(RunFailed{next.run, RunFailure::Broken});
            CPPUNIT_ASSERT(m_fixture.effect<CheckEndpoint>() != nullptr);
            return;
        }
    }

    /*! @brief The platform goes on listing a crashed endpoint for seconds. */
    void crashedEndpointGetsNoFurtherRequests()
    {
        const StartRun run = start("/order/1", 1);
        m_fixture.apply(RunFailed{run.run, RunFailure::Broken});
        m_fixture.apply(EndpointChecked{run.instance, EndpointState::Stopped});
        for (std::uint64_t call = 2; call < 40; ++call) {
            m_fixture.advanceClock(std::chrono::milliseconds{75});
            const StartRun next = start("/order/2", call);
            CPPUNIT_ASSERT(next.instance != run.instance);
            m_fixture.apply(RunHeadReceived{next.run, ServingFixture::responseHead()});
            m_fixture.apply(RunCompleted{next.run});
        }
    }

    /*! @brief An engine may start again under the name that it had, and crash under the same request again. */
    void crashesOfOneInstanceThatStartsAgainCountOnceEach()
    {
        for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
            CPPUNIT_ASSERT(m_fixture.reducer().quarantinedRequests(m_fixture.now()).empty());
            m_fixture.apply(EndpointsChanged{listWithDesk(incarnation)});
            const StartRun run = start("/order/1", incarnation);
            CPPUNIT_ASSERT(run.instance == InstanceName{"desk-1"});
            m_fixture.apply(RunFailed{run.run, RunFailure::Broken});
            m_fixture.apply(EndpointChecked{run.instance, EndpointState::Stopped});
            m_fixture.advanceClock(std::chrono::seconds{5});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.reducer().quarantinedRequests(m_fixture.now()).size());
    }

private:
    /*! @brief Returns the list with one desk only, in one of its incarnations. */
    static std::shared_ptr<EndpointList> listWithDesk(std::uint64_t incarnation)
    {
        const auto all = ServingFixture::endpoints();
        auto list = std::make_shared<EndpointList>();
        for (const EndpointRecord &record : *all) {
            if (record.instance.text().starts_with("desk") && record.instance != InstanceName{"desk-1"}) {
                continue;
            }
            list->push_back(record);
            list->back().incarnation = incarnation;
        }
        return list;
    }

    StartRun start(const std::string &path, std::uint64_t call)
    {
        m_fixture.apply(m_fixture.arrival(path, call));
        const auto *run = m_fixture.effect<StartRun>();
        CPPUNIT_ASSERT(run != nullptr);
        return *run;
    }

    ServingFixture m_fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointCrashTest);
