#include "bergamottide/limits/quarantine.h"
#include "servingfixture.h"

#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::ServingFixture;

/*! @brief Which requests are quarantined after which crashes. */
class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(requestIsQuarantinedAfterThreeCrashes);
    CPPUNIT_TEST(crashReportedTwiceCountsOnce);
    CPPUNIT_TEST(successClearsARequestInAllProcesses);
    CPPUNIT_TEST(requestServedShortlyBeforeIsNoSuspect);
    CPPUNIT_TEST(crashesExplainedByAnotherRequestDoNotCount);
    CPPUNIT_TEST(reportsExpireAfterAnHour);
    CPPUNIT_TEST(peersReceiveOnlyChanges);
    CPPUNIT_TEST(restartedProcessReceivesAllReports);
    CPPUNIT_TEST(reportsAreBounded);
    CPPUNIT_TEST(processesWithTheSameReportsAgree);
    CPPUNIT_TEST(releasedRequestIsNotQuarantined);
    CPPUNIT_TEST(partIsQuarantinedAfterFourCrashes);
    CPPUNIT_TEST(partOfASingleRequestIsNotQuarantined);
    CPPUNIT_TEST(partsThatCannotBeToldApartAreQuarantinedTogether);
    CPPUNIT_TEST(crashThatWasSeenInPartDoesNotBlameAnotherPart);
    CPPUNIT_TEST(successClearsAPartInAllProcesses);
    CPPUNIT_TEST(partsServedShortlyBeforeAreNoSuspects);
    CPPUNIT_TEST(crashesExplainedByAPartDoNotCountForRequests);
    CPPUNIT_TEST(releasedPartIsNotQuarantined);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestIsQuarantinedAfterThreeCrashes()
    {
        crash("engine-1", {"a", "b"});
        crash("engine-2", {"a", "c"});
        CPPUNIT_ASSERT(m_quarantine.quarantined().empty());
        crash("engine-3", {"a"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_quarantine.quarantined().size());
        CPPUNIT_ASSERT(isQuarantined("a"));
        CPPUNIT_ASSERT(m_quarantine.takeChanges().started == std::vector{request("a")});
        CPPUNIT_ASSERT(m_quarantine.takeChanges().empty());
    }

    void crashReportedTwiceCountsOnce()
    {
        for (int repetition = 0; repetition < 5; ++repetition) {
            crash("engine-1", {"a"});
            crash("engine-2", {"a"});
        }
        CPPUNIT_ASSERT(!isQuarantined("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_quarantine.crashCount(request("a")));
    }

    void successClearsARequestInAllProcesses()
    {
        GossipClock peerClock{7};
        Quarantine peer{peerClock};
        crash("engine-1", {"a"});
        crash("engine-2", {"a"});
        peer.merge(m_quarantine.reportsSince(0, m_now), m_now);
        peer.recordSuccess(request("a"), m_now);
        m_quarantine.merge(peer.reportsSince(0, m_now), m_now);
        crash("engine-3", {"a"});
        CPPUNIT_ASSERT(!isQuarantined("a"));
        // A late copy of the report does not make it a suspect again.
        crash("engine-1", {"a"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_quarantine.crashCount(request("a")));
    }

    void requestServedShortlyBeforeIsNoSuspect()
    {
        m_quarantine.recordSuccess(request("popular"), m_now);
        for (const std::string engine : {"engine-1", "engine-2", "engine-3"}) {
            crash(engine, {"popular"});
        }
        CPPUNIT_ASSERT(!isQuarantined("popular"));
        m_now += std::chrono::minutes{2};
        for (const std::string engine : {"engine-4", "engine-5", "engine-6"}) {
            crash(engine, {"popular"});
        }
        CPPUNIT_ASSERT(isQuarantined("popular"));
    }

    /*! @brief Guards against the quarantine of requests that ran beside a query of death. */
    void crashesExplainedByAnotherRequestDoNotCount()
    {
        crashLater("engine-1", {"a", "beside"});
        crashLater("engine-2", {"a"});
        crashLater("engine-3", {"a", "beside"});
        crashLater("engine-4", {"a", "beside"});
        CPPUNIT_ASSERT(isQuarantined("a"));
        CPPUNIT_ASSERT(!isQuarantined("beside"));
        crashLater("engine-5", {"beside"});
        crashLater("engine-6", {"beside"});
        CPPUNIT_ASSERT(!isQuarantined("beside"));
        crashLater("engine-7", {"beside"});
        CPPUNIT_ASSERT(isQuarantined("beside"));
    }

    void reportsExpireAfterAnHour()
    {
        crash("engine-1", {"a"});
        m_now += std::chrono::minutes{30};
        crash("engine-2", {"a"});
        crash("engine-3", {"a"});
        CPPUNIT_ASSERT(m_quarantine.quarantined().at(request("a")) == m_now + std::chrono::minutes{30});
        m_now += std::chrono::minutes{30};
        static_cast<void>(m_quarantine.takeChanges());
        m_quarantine.removeExpired(m_now);
        CPPUNIT_ASSERT(!isQuarantined("a"));
        CPPUNIT_ASSERT(m_quarantine.takeChanges().ended == std::vector{request("a")});
        crash("engine-4", {"a"});
        CPPUNIT_ASSERT(isQuarantined("a"));
    }

    void peersReceiveOnlyChanges()
    {
        crash("engine-1", {"a"});
        const std::uint64_t first = m_clock.version();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_quarantine.reportsSince(0, m_now).size());
        CPPUNIT_ASSERT(m_quarantine.reportsSince(first, m_now).empty());
        crash("engine-2", {"a"});
        CPPUNIT_ASSERT_EQUAL(std::string{"engine-2"}, m_quarantine.reportsSince(first, m_now).at(0).endpoint.text());
        // An unchanged report is no change, or two processes would send it to each other for ever.
        const std::uint64_t second = m_clock.version();
        m_quarantine.merge(m_quarantine.reportsSince(0, m_now), m_now);
        CPPUNIT_ASSERT_EQUAL(second, m_clock.version());
    }

    void restartedProcessReceivesAllReports()
    {
        crash("engine-1", {"a"});
        constexpr std::uint64_t acknowledgedToPredecessor = 1;
        for (const std::uint64_t acknowledged : {acknowledgedToPredecessor, m_clock.version() + 1}) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_clock.sendSince(acknowledged));
        }
        CPPUNIT_ASSERT_EQUAL(m_clock.version(), m_clock.sendSince(m_clock.version()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_quarantine.reportsSince(0, m_now).size());
    }

    void reportsAreBounded()
    {
        for (const std::string engine : {"engine-1", "engine-2", "engine-3"}) {
            crash(engine, {"a"});
        }
        for (int index = 0; index < 1000; ++index) {
            m_now += std::chrono::milliseconds{1};
            std::set<RequestFingerprint> requests;
            for (int other = 0; other < 300; ++other) {
                requests.insert(RequestFingerprint{"other-" + std::to_string(index) + "-" + std::to_string(other)});
            }
            m_quarantine.recordCrash({InstanceName{"crashed-" + std::to_string(index)}, 1}, {requests, requests},
                                     m_now);
        }
        const std::vector<CrashReport> reports = m_quarantine.reportsSince(0, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{128}, reports.size());
        CPPUNIT_ASSERT(std::ranges::all_of(reports, [](const CrashReport &report) {
            return report.suspects.size() <= 256 && report.suspectParts.size() <= 256;
        }));
        CPPUNIT_ASSERT(isQuarantined("a"));
    }

    void processesWithTheSameReportsAgree()
    {
        test::checkProperty([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &crashes) {
            const TimePoint now{std::chrono::seconds{100}};
            GossipClock clock{1};
            Quarantine forwards{clock};
            Quarantine backwards{clock};
            const auto add = [now](Quarantine &to, const std::pair<std::uint8_t, std::uint8_t> &item) {
                to.recordCrash({InstanceName{std::to_string(item.first % 8)}, 1},
                               {{RequestFingerprint{std::to_string(item.second % 5)}},
                                {RequestFingerprint{"part-" + std::to_string(item.second % 3)}}},
                               now);
            };
            for (const auto &item : crashes) {
                add(forwards, item);
            }
            for (auto item = crashes.rbegin(); item != crashes.rend(); ++item) {
                add(backwards, *item);
            }
            RC_ASSERT(forwards.quarantined() == backwards.quarantined());
            RC_ASSERT(forwards.quarantinedParts() == backwards.quarantinedParts());
        });
    }

    void releasedRequestIsNotQuarantined()
    {
        for (const std::string engine : {"engine-1", "engine-2", "engine-3"}) {
            crash(engine, {"a"});
        }
        m_quarantine.setReleased({request("a")}, m_now);
        CPPUNIT_ASSERT(!isQuarantined("a"));
        crash("engine-4", {"a"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_quarantine.crashCount(request("a")));
    }

    void partIsQuarantinedAfterFourCrashes()
    {
        crash("engine-1", {"a"}, {"p", "x"});
        crash("engine-2", {"b"}, {"p", "y"});
        crash("engine-3", {"c"}, {"p", "x"});
        CPPUNIT_ASSERT(m_quarantine.quarantinedParts().empty());
        crash("engine-4", {"d"}, {"p"});
        CPPUNIT_ASSERT(arePartsQuarantined({"p"}));
        CPPUNIT_ASSERT(m_quarantine.quarantined().empty());
        CPPUNIT_ASSERT(m_quarantine.takeChanges().startedParts == std::vector{fingerprints({"p"})});
        m_now += std::chrono::hours{1};
        m_quarantine.removeExpired(m_now);
        CPPUNIT_ASSERT(m_quarantine.takeChanges().endedParts == std::vector{fingerprints({"p"})});
    }

    void partOfASingleRequestIsNotQuarantined()
    {
        for (const std::string engine : {"engine-1", "engine-2", "engine-3", "engine-4"}) {
            crash(engine, {"a"}, {"p", "x"});
        }
        crash("engine-5", {"b"}, {"p"});
        CPPUNIT_ASSERT(m_quarantine.quarantinedParts().empty());
        CPPUNIT_ASSERT(isQuarantined("a"));
        crash("engine-6", {"c"}, {"p"});
        CPPUNIT_ASSERT(arePartsQuarantined({"p"}));
    }

    void partsThatCannotBeToldApartAreQuarantinedTogether()
    {
        crash("engine-1", {"a"}, {"p", "x"});
        crash("engine-2", {"b"}, {"p", "x"});
        crash("engine-3", {"c"}, {"p", "x"});
        crash("engine-4", {"d"}, {"p", "x"});
        CPPUNIT_ASSERT(arePartsQuarantined({"p", "x"}));
        m_quarantine.recordSuccess(request("x"), m_now);
        CPPUNIT_ASSERT(arePartsQuarantined({"p"}));
    }

    void crashThatWasSeenInPartDoesNotBlameAnotherPart()
    {
        for (const std::string engine : {"engine-1", "engine-2", "engine-3", "engine-4"}) {
            crash(engine, {"of " + engine}, {"p", "x"});
        }
        crash("engine-5", {"e"}, {"x"});
        CPPUNIT_ASSERT(arePartsQuarantined({"p", "x"}));
        crash("engine-6", {"f"}, {"p"});
        crash("engine-7", {"g"}, {"p"});
        CPPUNIT_ASSERT(arePartsQuarantined({"p"}));
    }

    void successClearsAPartInAllProcesses()
    {
        GossipClock peerClock{7};
        Quarantine peer{peerClock};
        for (const std::string engine : {"engine-1", "engine-2", "engine-3", "engine-4"}) {
            crash(engine, {"of " + engine}, {"p"});
        }
        peer.merge(m_quarantine.reportsSince(0, m_now), m_now);
        CPPUNIT_ASSERT(!peer.quarantinedParts().empty());
        peer.recordSuccess(request("p"), m_now);
        m_quarantine.merge(peer.reportsSince(0, m_now), m_now);
        CPPUNIT_ASSERT(m_quarantine.quarantinedParts().empty());
        // A late copy of the report does not make it a suspect again.
        crash("engine-1", {"of engine-1"}, {"p"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_quarantine.crashCount(request("p")));
    }

    void partsServedShortlyBeforeAreNoSuspects()
    {
        m_quarantine.recordSuccess(request("popular"), m_now);
        for (const std::string engine : {"engine-1", "engine-2", "engine-3", "engine-4"}) {
            crash(engine, {"of " + engine}, {"popular", "p"});
        }
        CPPUNIT_ASSERT(arePartsQuarantined({"p"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_quarantine.quarantinedParts().size());
    }

    /*! @brief A caller's repetitions of one request do not use up the evidence against the part. */
    void crashesExplainedByAPartDoNotCountForRequests()
    {
        crashLater("engine-1", {"a"}, {"p"});
        crashLater("engine-2", {"a"}, {"p"});
        crashLater("engine-3", {"a", "beside"}, {"p"});
        CPPUNIT_ASSERT(isQuarantined("a"));
        crashLater("engine-4", {"b", "beside"}, {"p"});
        crashLater("engine-5", {"c", "beside"}, {"p"});
        CPPUNIT_ASSERT(arePartsQuarantined({"p"}));
        CPPUNIT_ASSERT(m_quarantine.quarantined().empty());
    }

    void releasedPartIsNotQuarantined()
    {
        for (const std::string engine : {"engine-1", "engine-2", "engine-3", "engine-4"}) {
            crash(engine, {"of " + engine}, {"p"});
        }
        m_quarantine.setReleased({request("p")}, m_now);
        CPPUNIT_ASSERT(m_quarantine.quarantinedParts().empty());
    }

private:
    static RequestFingerprint request(const std::string &name)
    {
        return RequestFingerprint{name};
    }

    static std::set<RequestFingerprint> fingerprints(const std::vector<std::string> &names)
    {
        std::set<RequestFingerprint> out;
        for (const std::string &name : names) {
            out.insert(RequestFingerprint{name});
        }
        return out;
    }

    void crash(const std::string &engine, const std::vector<std::string> &requests,
               const std::vector<std::string> &parts = {})
    {
        m_quarantine.recordCrash({InstanceName{engine}, 1}, {fingerprints(requests), fingerprints(parts)}, m_now);
    }

    void crashLater(const std::string &engine, const std::vector<std::string> &requests,
                    const std::vector<std::string> &parts = {})
    {
        m_now += std::chrono::seconds{1};
        crash(engine, requests, parts);
    }

    [[nodiscard]] bool arePartsQuarantined(const std::vector<std::string> &names) const
    {
        return m_quarantine.quarantinedParts().contains(fingerprints(names));
    }

    [[nodiscard]] bool isQuarantined(const std::string &name) const
    {
        return m_quarantine.quarantined().contains(request(name));
    }

    TimePoint m_now{std::chrono::seconds{100}};
    GossipClock m_clock{1000};
    Quarantine m_quarantine{m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

/*! @brief What becomes of the requests of a process when one of them is quarantined. */
class QuarantinedRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantinedRequestTest);
    CPPUNIT_TEST(newRequestIsRejectedWithTheEndOfTheQuarantine);
    CPPUNIT_TEST(otherWorkspacesAndRequestsAreServed);
    CPPUNIT_TEST(requestInItsStagesIsRejectedAsNotExecuted);
    CPPUNIT_TEST(requestAtAnEndpointIsCancelledAndMayHaveRun);
    CPPUNIT_TEST(startedStreamIsAborted);
    CPPUNIT_TEST(quarantineIsLearntFromAPeer);
    CPPUNIT_TEST(runStartedAfterTheCrashIsNoSuspect);
    CPPUNIT_TEST(lostConnectionsAreNoCrashes);
    CPPUNIT_TEST(stageThatCrashesItsEndpointsIsQuarantined);
    CPPUNIT_TEST(completedStageDoesNotClearTheRunOfItsRequest);
    CPPUNIT_TEST(operatorReleasesARequest);
    CPPUNIT_TEST(quarantineEndsWithoutFurtherEvents);
    CPPUNIT_TEST(restartedProcessIsSentAllReportsAgain);
    CPPUNIT_TEST(onlySuccessesClearARequest);
    CPPUNIT_TEST(requestWithAQuarantinedPartIsRejectedOnArrival);
    CPPUNIT_TEST(requestsWithoutTheQuarantinedPartAreServed);
    CPPUNIT_TEST(requestThatWaitsAtItsEndpointIsCancelledWithItsPart);
    CPPUNIT_TEST(startedStreamWithAQuarantinedPartIsNotRetried);
    CPPUNIT_TEST(completedStreamClearsThePartsOfItsPrompt);
    CPPUNIT_TEST(lastPartOfAPromptIsNoSuspect);
    CPPUNIT_TEST_SUITE_END();

public:
    void newRequestIsRejectedWithTheEndOfTheQuarantine()
    {
        quarantine("/order/1");
        m_fixture.apply(m_fixture.arrival("/order/1", 50));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        const auto *error = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr && error->kind == ErrorKind::Quarantined);
        CPPUNIT_ASSERT(error->retryAfter == std::chrono::hours{1});
    }

    void otherWorkspacesAndRequestsAreServed()
    {
        quarantine("/order/1");
        m_fixture.apply(m_fixture.arrival("/order/2", 50));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
        m_fixture.apply(m_fixture.arrival("/lookup/1", 51));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
    }

    void requestInItsStagesIsRejectedAsNotExecuted()
    {
        RequestArrived arrival = m_fixture.arrival("/draft/1", 50);
        arrival.request.pieces = {4};
        m_fixture.apply(arrival);
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
        quarantine("/draft/1");
        const auto *error = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr && error->kind == ErrorKind::Quarantined);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.reducer().requestsInProgress());
    }

    void requestAtAnEndpointIsCancelledAndMayHaveRun()
    {
        m_fixture.apply(m_fixture.arrival("/order/1", 50));
        const RunNumber run = m_fixture.effect<StartRun>()->run;
        quarantine("/order/1");
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr && m_fixture.effect<CancelRun>()->run == run);
        const auto *error = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr && error->kind == ErrorKind::BadGateway);
    }

    void startedStreamIsAborted()
    {
        m_fixture.apply(m_fixture.arrival("/summary/1", 50));
        m_fixture.apply(RunHeadReceived{m_fixture.effect<StartRun>()->run, ServingFixture::responseHead()});
        quarantine("/summary/1");
        CPPUNIT_ASSERT(m_fixture.effect<AbortStream>() != nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr);
    }

    void quarantineIsLearntFromAPeer()
    {
        Heartbeat heartbeat;
        heartbeat.from = {InstanceName{"peer"}, "10.0.0.8:1"};
        const RequestFingerprint request =
            fingerprintOf(WorkspaceName{"north"}, m_fixture.arrival("/order/1", 1).request);
        for (const std::string engine : {"a", "b", "c"}) {
            heartbeat.crashes.push_back({InstanceName{engine}, std::chrono::seconds{5}, {request}, {}});
        }
        m_fixture.apply(HeartbeatReceived{heartbeat});
        m_fixture.apply(m_fixture.arrival("/order/1", 50));
        const auto *error = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr && error->kind == ErrorKind::Quarantined);
        // The process passes the reports on.
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             m_fixture.reducer().heartbeat("10.0.0.7:1", m_fixture.now()).crashes.size());
    }

    /*! @brief Requests that were sent to an endpoint after its crash cannot have caused it. */
    void runStartedAfterTheCrashIsNoSuspect()
    {
        const StartRun first = startAt("/order/1", InstanceName{"desk-1"});
        m_fixture.apply(RunFailed{first.run, RunFailure::Broken});
        m_fixture.advanceClock(std::chrono::milliseconds{10});
        const StartRun late = startAt("/order/2", InstanceName{"desk-1"});
        m_fixture.apply(EndpointChecked{first.instance, EndpointState::Stopped});
        m_fixture.apply(RunFailed{late.run, RunFailure::Broken});
        const Heartbeat heartbeat = m_fixture.reducer().heartbeat("10.0.0.7:1", m_fixture.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heartbeat.crashes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heartbeat.crashes.front().suspects.size());
    }

    void lostConnectionsAreNoCrashes()
    {
        for (const EndpointState state : {EndpointState::Running, EndpointState::Unknown}) {
            const StartRun run = startAt("/order/1", InstanceName{"desk-1"});
            m_fixture.apply(RunFailed{run.run, RunFailure::Broken});
            m_fixture.apply(EndpointChecked{run.instance, state});
        }
        CPPUNIT_ASSERT(m_fixture.reducer().heartbeat("10.0.0.7:1", m_fixture.now()).crashes.empty());
    }

    void stageThatCrashesItsEndpointsIsQuarantined()
    {
        listEncoders();
        RequestArrived arrival = m_fixture.arrival("/draft/1", 50);
        arrival.request.pieces = {8};
        m_fixture.apply(arrival);
        std::set<InstanceName> crashed;
        std::optional<StartStageCall> call = startedCall();
        while (call) {
            crashed.insert(call->instance);
            m_fixture.apply(StageCallEnded{call->call, StageCallStatus::Broken, {}, {}});
            const std::optional<StartStageCall> retry = startedCall();
            m_fixture.apply(EndpointChecked{call->instance, EndpointState::Stopped});
            call = m_fixture.effect<SendErrorResponse>() == nullptr ? retry : std::nullopt;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, crashed.size());
        const auto *error = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr && error->kind == ErrorKind::Quarantined);
        arrival.request.call = CallId{51};
        m_fixture.apply(arrival);
        error = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr && error->kind == ErrorKind::Quarantined);
    }

    void completedStageDoesNotClearTheRunOfItsRequest()
    {
        const RequestFingerprint request =
            fingerprintOf(WorkspaceName{"north"}, m_fixture.arrival("/draft/1", 1).request);
        GossipClock clock{1};
        Quarantine quarantine{clock};
        for (const std::string engine : {"a", "b"}) {
            quarantine.recordCrash({InstanceName{engine}, 1}, {{request}, {}}, m_fixture.now());
            quarantine.recordSuccess(stageFingerprint(request, 0), m_fixture.now());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, quarantine.crashCount(request));
    }

    void operatorReleasesARequest()
    {
        quarantine("/order/1");
        const std::vector<QuarantinedRequest> quarantined = m_fixture.reducer().quarantinedRequests(m_fixture.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantined.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quarantined.front().crashes);
        m_fixture.apply(SettingsChanged{{}, {}, {quarantined.front().fingerprint}});
        m_fixture.apply(m_fixture.arrival("/order/1", 50));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
        const Heartbeat heartbeat = m_fixture.reducer().heartbeat("10.0.0.7:1", m_fixture.now());
        CPPUNIT_ASSERT(std::ranges::all_of(heartbeat.crashes, [](const CrashReport &report) {
            return report.suspects.empty() && report.cleared.size() == 1;
        }));
    }

    void quarantineEndsWithoutFurtherEvents()
    {
        quarantine("/order/1");
        m_fixture.advanceClock(std::chrono::hours{1});
        CPPUNIT_ASSERT(m_fixture.reducer().quarantinedRequests(m_fixture.now()).empty());
        m_fixture.apply(m_fixture.arrival("/order/1", 50));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
    }

    /*! @brief An endpoint that fails a request may not have begun to run it. */
    void onlySuccessesClearARequest()
    {
        for (const int status : {500, 200}) {
            const StartRun run = startAt("/order/1", InstanceName{"desk-1"});
            m_fixture.apply(RunHeadReceived{run.run, ServingFixture::responseHead(status)});
            m_fixture.apply(RunCompleted{run.run});
            quarantine("/order/1");
            CPPUNIT_ASSERT_EQUAL(std::size_t{status == 500 ? 1U : 0U},
                                 m_fixture.reducer().quarantinedRequests(m_fixture.now()).size());
            m_fixture.advanceClock(std::chrono::hours{1});
            m_fixture.apply(EndpointsChanged{ServingFixture::endpoints()});
        }
    }

    /*! @brief The first heartbeat to the new process still goes by what its predecessor had acknowledged. */
    void restartedProcessIsSentAllReportsAgain()
    {
        ServingOptions options;
        options.self = {InstanceName{"entry-2"}, "10.0.0.8:1"};
        options.incarnation = 1000;
        const auto exchange = [this](ServingReducer &other) {
            static_cast<void>(other.apply(
                HeartbeatReceived{m_fixture.reducer().heartbeat("10.0.0.8:1", m_fixture.now())}, m_fixture.now()));
            m_fixture.apply(HeartbeatReceived{other.heartbeat("10.0.0.9:1", m_fixture.now())});
        };
        quarantine("/order/1");
        ServingReducer predecessor{options};
        exchange(predecessor);
        exchange(predecessor);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, predecessor.quarantinedRequests(m_fixture.now()).size());
        options.incarnation = 2000;
        ServingReducer restarted{options};
        exchange(restarted);
        exchange(restarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restarted.quarantinedRequests(m_fixture.now()).size());
    }

    void requestWithAQuarantinedPartIsRejectedOnArrival()
    {
        quarantineParts({"p"});
        m_fixture.apply(generation({"other", "p", "own"}));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        const auto *error = m_fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr && error->kind == ErrorKind::Quarantined);
        CPPUNIT_ASSERT(error->retryAfter == std::chrono::hours{1});
        const std::vector<QuarantinedParts> parts = m_fixture.reducer().quarantinedParts(m_fixture.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, parts.front().crashes);
    }

    void requestsWithoutTheQuarantinedPartAreServed()
    {
        quarantineParts({"p", "x"});
        for (const std::vector<std::string> &prompt : std::vector<std::vector<std::string>>{
                 {"p", "own-1"}, {"x", "own-2"}, {"other", "own-3"}, {"x", "p"}, {}}) {
            m_fixture.apply(generation(prompt));
            CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
        }
        m_fixture.apply(generation({"p", "x", "own-4"}));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
    }

    void requestThatWaitsAtItsEndpointIsCancelledWithItsPart()
    {
        m_fixture.apply(generation({"p", "own"}));
        const RunNumber run = m_fixture.effect<StartRun>()->run;
        quarantineParts({"p"});
        CPPUNIT_ASSERT(m_fixture.effect<CancelRun>() != nullptr && m_fixture.effect<CancelRun>()->run == run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.reducer().requestsInProgress());
    }

    void startedStreamWithAQuarantinedPartIsNotRetried()
    {
        m_fixture.apply(generation({"p", "own"}));
        const RunNumber run = m_fixture.effect<StartRun>()->run;
        m_fixture.apply(RunHeadReceived{run, ServingFixture::responseHead()});
        quarantineParts({"p"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.reducer().requestsInProgress());
        m_fixture.apply(RunFailed{run, RunFailure::Broken});
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() == nullptr);
        CPPUNIT_ASSERT(m_fixture.effect<AbortStream>() != nullptr);
    }

    void completedStreamClearsThePartsOfItsPrompt()
    {
        m_fixture.apply(generation({"p", "own-1"}));
        const RunNumber run = m_fixture.effect<StartRun>()->run;
        m_fixture.apply(RunHeadReceived{run, ServingFixture::responseHead()});
        quarantineParts({"p"});
        m_fixture.apply(RunCompleted{run});
        m_fixture.apply(generation({"p", "own-2"}));
        CPPUNIT_ASSERT(m_fixture.effect<StartRun>() != nullptr);
    }

    void lastPartOfAPromptIsNoSuspect()
    {
        m_fixture.apply(generation({"p", "own"}));
        const StartRun run = *m_fixture.effect<StartRun>();
        m_fixture.apply(RunFailed{run.run, RunFailure::Broken});
        m_fixture.apply(EndpointChecked{run.instance, EndpointState::Stopped});
        const Heartbeat heartbeat = m_fixture.reducer().heartbeat("10.0.0.7:1", m_fixture.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heartbeat.crashes.size());
        CPPUNIT_ASSERT(heartbeat.crashes.front().suspectParts == std::vector{fingerprintOfPart("p")});
    }

private:
    /*! @brief Returns the arrival of a request to a model pool, unlike any other but for the parts of its prompt. */
    [[nodiscard]] RequestArrived generation(const std::vector<std::string> &prompt)
    {
        const std::uint64_t call = m_nextCall++;
        RequestArrived arrival = m_fixture.arrival("/summary/" + std::to_string(call), call);
        for (const std::string &part : prompt) {
            arrival.request.prompt.push_back({part, 100});
        }
        return arrival;
    }

    [[nodiscard]] static RequestFingerprint fingerprintOfPart(const std::string &part)
    {
        CallerRequest request;
        request.prompt = {{part, 100}, {"own", 100}};
        return *partFingerprintsOf(WorkspaceName{"north"}, request).begin();
    }

    /*! @brief Reports four crashes under requests of workspace `north` that share parts of their prompts. */
    void quarantineParts(const std::vector<std::string> &parts)
    {
        Heartbeat heartbeat;
        heartbeat.from = {InstanceName{"peer"}, "10.0.0.8:1"};
        for (const std::string engine : {"a", "b", "c", "d"}) {
            CrashReport report{InstanceName{engine}, Duration::zero(), {RequestFingerprint{"of " + engine}}, {}};
            for (const std::string &part : parts) {
                report.suspectParts.push_back(fingerprintOfPart(part));
            }
            heartbeat.crashes.push_back(std::move(report));
        }
        m_fixture.apply(HeartbeatReceived{heartbeat});
    }

    [[nodiscard]] std::optional<StartStageCall> startedCall() const
    {
        const auto *call = m_fixture.effect<StartStageCall>();
        return call == nullptr ? std::nullopt : std::optional{*call};
    }

    /*! @brief Lists more encoders than a stage may crash. */
    void listEncoders()
    {
        EndpointList list = *ServingFixture::endpoints();
        for (const std::string name : {"encoder-2", "encoder-3", "encoder-4", "encoder-5"}) {
            list.push_back({InstanceName{name}, PoolName{"encoders"}, "10.0.0.1:1", ZoneName{"a"}, 4, false});
        }
        m_fixture.apply(EndpointsChanged{std::make_shared<EndpointList>(list)});
    }

    /*! @brief Reports three crashes under a request of workspace `north`. */
    void quarantine(const std::string &path)
    {
        const RequestFingerprint request = fingerprintOf(WorkspaceName{"north"}, m_fixture.arrival(path, 1).request);
        Heartbeat heartbeat;
        heartbeat.from = {InstanceName{"peer"}, "10.0.0.8:1"};
        for (const std::string engine : {"a", "b", "c"}) {
            heartbeat.crashes.push_back({InstanceName{engine}, Duration::zero(), {request}, {}});
        }
        m_fixture.apply(HeartbeatReceived{heartbeat});
    }

    /*! @brief Sends requests until one goes to an endpoint. */
    StartRun startAt(const std::string &path, const InstanceName &endpoint)
    {
        for (int attempt = 0; attempt < 50; ++attempt) {
            m_fixture.apply(m_fixture.arrival(path, m_nextCall++));
            const auto *run = m_fixture.effect<StartRun>();
            if (run != nullptr && run->instance == endpoint) {
                return *run;
            }
        }
        CPPUNIT_FAIL("no request went to " + endpoint.text());
        return {};
    }

    ServingFixture m_fixture;
    std::uint64_t m_nextCall{100};
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantinedRequestTest);
