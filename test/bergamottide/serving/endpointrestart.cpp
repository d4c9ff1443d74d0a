#include "servingfixture.h"

#include "bergamottide/stages/resultmemory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::ServingFixture;

/*!
 * @brief An endpoint that starts again under its name, while work that was sent to the former one is still in progress.
 *
 * That a restart resets what is known at that moment is tested in `PeersTest`, `EngineTableTest` and
 * `EndpointNoticesTest`.
 */
class EndpointRestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointRestartTest);
    CPPUNIT_TEST(loadAndPaceDoNotCount);
    CPPUNIT_TEST(pauseDoesNotCount);
    CPPUNIT_TEST(announcedDrainAndLimitDoNotCount);
    CPPUNIT_TEST(failedRunsDoNotEject);
    CPPUNIT_TEST(stalledRunsDoNotEject);
    CPPUNIT_TEST(lateCheckDoesNotEject);
    CPPUNIT_TEST(brokenRunCausesNoCheck);
    CPPUNIT_TEST(runBrokenAfterTheRestartBelongsToTheFormerCrash);
    CPPUNIT_TEST(slownessDoesNotCount);
    CPPUNIT_TEST(rejectedStageCallDoesNotPause);
    CPPUNIT_TEST(resultsInMemoryDoNotCount);
    CPPUNIT_TEST(failedStageCallFreesNoMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fixture = std::make_unique<ServingFixture>(list({}));
    }

    /*! @brief Guards against a pool that counts as one with paces although none of its endpoints reports any. */
    void loadAndPaceDoNotCount()
    {
        EndpointRegistry registry;
        Effects effects;
        registry.update(*list({}), m_fixture->now(), effects);
        registry.recordLoad(InstanceName{"desk-1"}, EndpointLoad{3, 2, 4, 1.5}, m_fixture->now());
        CPPUNIT_ASSERT(registry.reportsPace(PoolName{"desk"}));
        registry.update(*list({"desk-1"}), m_fixture->now(), effects);
        CPPUNIT_ASSERT(!registry.reportsPace(PoolName{"desk"}));
        const EndpointLoad &load = registry.find(InstanceName{"desk-1"})->load;
        CPPUNIT_ASSERT(load.running == 0 && load.waiting == 0 && !load.pace);
    }

    void pauseDoesNotCount()
    {
        notice("desk-1").pause = seconds{30};
        m_fixture->apply(m_response);
        CPPUNIT_ASSERT(destinations() == std::set<std::string>{"desk-2"});
        restart("desk-1");
        CPPUNIT_ASSERT(destinations().contains("desk-1"));
    }

    void announcedDrainAndLimitDoNotCount()
    {
        notice("desk-1").isDraining = true;
        m_fixture->apply(m_response);
        notice("desk-2").limit = LimitNotice{0.1};
        m_fixture->apply(m_response);
        restart("desk-1");
        CPPUNIT_ASSERT(destinations().contains("desk-1"));
        restart("desk-2");
        CPPUNIT_ASSERT(destinations().contains("desk-2"));
    }

    /*! @brief Guards against an ejection for the runs that the end of the former process broke. */
    void failedRunsDoNotEject()
    {
        const auto runs = sendTo("desk-1", 6);
        restart("desk-1");
        for (const StartRun &run : runs) {
            m_fixture->apply(RunHeadReceived{run.run, ServingFixture::responseHead(500)});
            m_fixture->apply(RunCompleted{run.run});
        }
        CPPUNIT_ASSERT(destinations().contains("desk-1"));
    }

    /*! @brief Guards against an ejection for the runs that a machine without power left without a response. */
    void stalledRunsDoNotEject()
    {
        const auto runs = sendTo("desk-1", 6);
        restart("desk-1");
        m_fixture->advanceClock(milliseconds{1500});
        for (const StartRun &run : runs) {
            m_fixture->apply(CallerDisconnected{run.request->call});
        }
        CPPUNIT_ASSERT(destinations().contains("desk-1"));
    }

    /*! @brief Guards against an ejection by a check that was sent to the former process and found it stopped. */
    void lateCheckDoesNotEject()
    {
        const auto runs = sendTo("desk-1", 1);
        m_fixture->apply(RunFailed{runs.front().run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture->effect<CheckEndpoint>() != nullptr);
        restart("desk-1");
        m_fixture->apply(EndpointChecked{InstanceName{"desk-1"}, EndpointState::Stopped});
        CPPUNIT_ASSERT(destinations().contains("desk-1"));
    }

    /*! @brief Guards against a check that cannot tell anything: the new process answers it. */
    void brokenRunCausesNoCheck()
    {
        const auto runs = sendTo("desk-1", 1);
        restart("desk-1");
        m_fixture->apply(RunFailed{runs.front().run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture->effect<CheckEndpoint>() == nullptr);
        // A connection to the new process that breaks is checked.
        const auto later = sendTo("desk-1", 1);
        m_fixture->apply(RunFailed{later.front().run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture->effect<CheckEndpoint>() != nullptr);
    }

    /*!
     * @brief Guards against a query of death that escapes its quarantine: each crash breaks another run first, and the
     * run of the query only after the next process has been listed.
     */
    void runBrokenAfterTheRestartBelongsToTheFormerCrash()
    {
        for (std::uint64_t crash = 0; crash < 3; ++crash) {
            CPPUNIT_ASSERT(m_fixture->reducer().quarantinedRequests(m_fixture->now()).empty());
            const auto other = sendTo("desk-1", 1, "/order/other-" + std::to_string(crash));
            const auto query = sendTo("desk-1", 1, "/order/query");
            m_fixture->apply(RunFailed{other.front().run, RunFailure::Broken});
            m_fixture->apply(EndpointChecked{InstanceName{"desk-1"}, EndpointState::Stopped});
            restart("desk-1");
            m_fixture->apply(RunFailed{query.front().run, RunFailure::Broken});
            m_fixture->advanceClock(seconds{5});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture->reducer().quarantinedRequests(m_fixture->now()).size());
    }

    /*! @brief Guards against a fast endpoint without work, since the last call of the former one took long. */
    void slownessDoesNotCount()
    {
        const StartStageCall call = startStageCall(1, "encoder-1");
        m_fixture->advanceClock(milliseconds{400});
        restart("encoder-1");
        answer(call);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, slownessInLog(2));
    }

    /*! @brief Guards against a pause of the new process, which has room, since the former one had none. */
    void rejectedStageCallDoesNotPause()
    {
        const StartStageCall call = startStageCall(1, "encoder-1");
        restart("encoder-1");
        m_fixture->apply(StageCallEnded{call.call, StageCallStatus::Rejected, {}});
        CPPUNIT_ASSERT(m_fixture->effect<StartStageCall>() != nullptr);
    }

    /*! @brief Guards against memory that counts as used by results which ended with the former process. */
    void resultsInMemoryDoNotCount()
    {
        const StartStageCall call = startStageCall(1, "encoder-1");
        CPPUNIT_ASSERT_EQUAL(std::string{"8000"}, resultBytesInLog(m_lastEffects));
        restart("encoder-1");
        answer(call);
        static_cast<void>(startStageCall(2, "encoder-1"));
        CPPUNIT_ASSERT_EQUAL(std::string{"8000"}, resultBytesInLog(m_lastEffects));
    }

    /*! @brief Guards against memory that counts as free while the new process keeps its results there. */
    void failedStageCallFreesNoMemory()
    {
        EndpointRegistry registry;
        Effects effects;
        registry.update(*list({}), m_fixture->now(), effects);
        ResultMemory memory{registry};
        registry.update(*list({"encoder-1"}), m_fixture->now(), effects);
        Endpoint &endpoint = *registry.find(InstanceName{"encoder-1"});
        endpoint.resultBytes = 8000;
        memory.releaseReservation({endpoint.record.instance, endpoint.record.incarnation - 1, 5000});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8000}, endpoint.resultBytes);
        memory.releaseReservation({endpoint.record.instance, endpoint.record.incarnation, 5000});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000}, endpoint.resultBytes);
    }

private:
    /*! @brief Returns the endpoints of the fixture, after the restarts so far and those of some more. */
    [[nodiscard]] std::shared_ptr<const EndpointList> list(const std::set<std::string> &restarted)
    {
        auto out = std::make_shared<EndpointList>(*ServingFixture::endpoints());
        for (EndpointRecord &record : *out) {
            std::uint64_t &incarnation = m_incarnations.try_emplace(record.instance, 1).first->second;
            incarnation += restarted.contains(record.instance.text()) ? 1 : 0;
            record.incarnation = incarnation;
        }
        return out;
    }

    void restart(const std::string &instance)
    {
        m_fixture->apply(EndpointsChanged{list({instance})});
    }

    EndpointNotice &notice(const std::string &instance)
    {
        m_response = EndpointResponded{InstanceName{instance}, {}};
        return m_response.notice;
    }

    [[nodiscard]] StartRun send(const std::string &path)
    {
        m_fixture->apply(m_fixture->arrival(path, m_nextCall++));
        const auto *run = m_fixture->effect<StartRun>();
        CPPUNIT_ASSERT(run != nullptr);
        return *run;
    }

    /*! @brief Sends requests until an endpoint has got some, and returns these. */
    [[nodiscard]] std::vector<StartRun> sendTo(const std::string &instance, std::size_t count,
                                               const std::string &path = "/order/1")
    {
        std::vector<StartRun> out;
        std::vector<CallId> others;
        for (int request = 0; request < 100 && out.size() < count; ++request) {
            const StartRun run = send(path);
            if (run.instance.text() == instance) {
                out.push_back(run);
            } else {
                others.push_back(run.request->call);
            }
        }
        for (const CallId call : others) {
            m_fixture->apply(CallerDisconnected{call});
        }
        CPPUNIT_ASSERT_EQUAL(count, out.size());
        return out;
    }

    /*! @brief Returns the endpoints that get some of the next requests. */
    [[nodiscard]] std::set<std::string> destinations()
    {
        std::set<std::string> out;
        for (int request = 0; request < 20; ++request) {
            const StartRun run = send("/order/1");
            out.insert(run.instance.text());
            m_fixture->apply(CallerDisconnected{run.request->call});
        }
        return out;
    }

    /*! @brief Submits a request with eight pieces of the encoders' stage, and returns the call for them. */
    [[nodiscard]] StartStageCall startStageCall(std::uint64_t call, const std::string &instance)
    {
        RequestArrived arrival = m_fixture->arrival("/draft/1", call);
        arrival.request.pieces = {8};
        m_lastEffects = m_fixture->reducer().apply(arrival, m_fixture->now());
        for (const Effect &effect : m_lastEffects) {
            if (const auto *start = std::get_if<StartStageCall>(&effect)) {
                CPPUNIT_ASSERT_EQUAL(instance, start->instance.text());
                return *start;
            }
        }
        CPPUNIT_FAIL("no stage call");
        return {};
    }

    void answer(const StartStageCall &call)
    {
        StageCallEnded ended{call.call, StageCallStatus::Answered, {}};
        for (std::size_t item = 0; item < call.items.size(); ++item) {
            ended.results.push_back({"h-" + std::to_string(item), PieceFailure::None});
        }
        m_fixture->apply(ended);
    }

    [[nodiscard]] static std::string fieldOfStageCall(const Effects &effects, const std::string &name)
    {
        for (const Effect &effect : effects) {
            const auto *line = std::get_if<LogLine>(&effect);
            if (line == nullptr || line->text != "Stage call sent.") {
                continue;
            }
            for (const auto &[field, value] : line->fields) {
                if (field == name) {
                    return value;
                }
            }
        }
        return {};
    }

    [[nodiscard]] std::string slownessInLog(std::uint64_t call)
    {
        static_cast<void>(startStageCall(call, "encoder-1"));
        return fieldOfStageCall(m_lastEffects, "slowness");
    }

    [[nodiscard]] static std::string resultBytesInLog(const Effects &effects)
    {
        return fieldOfStageCall(effects, "result_bytes");
    }

    std::map<InstanceName, std::uint64_t> m_incarnations;
    std::unique_ptr<ServingFixture> m_fixture;
    EndpointResponded m_response;
    Effects m_lastEffects;
    std::uint64_t m_nextCall{100};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRestartTest);
