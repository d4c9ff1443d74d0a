#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;

/*! @brief Streams in a pool whose endpoints run several versions of their software. */
class StreamVersionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamVersionsTest);
    CPPUNIT_TEST(interruptedStreamContinuesAtTheVersionThatBeganIt);
    CPPUNIT_TEST(interruptedStreamIsAbortedWithoutAnEndpointOfItsVersion);
    CPPUNIT_TEST(streamWithoutEventsMayChangeTheVersion);
    CPPUNIT_TEST(streamResumedByItsCallerContinuesAtItsVersion);
    CPPUNIT_TEST(resumedStreamIsRejectedWithoutAnEndpointOfItsVersion);
    CPPUNIT_TEST(unknownStreamIsRejectedWhileVersionsAreMixed);
    CPPUNIT_TEST(unknownStreamContinuesAtTheOnlyVersion);
    CPPUNIT_TEST(unknownStreamIsRejectedByAProcessThatHasJustStarted);
    CPPUNIT_TEST(processThatHasJustStartedContinuesAtTheVersionThatAPeerNames);
    CPPUNIT_TEST(processAnswersPeersOnlyForAPoolThatItHasKnownLongEnough);
    CPPUNIT_TEST(peersAreNotAskedForTheOnlyVersionOfAMixedPool);
    CPPUNIT_TEST(resumptionWaitsForTheDiscoveryOfPeers);
    CPPUNIT_TEST(unknownStreamContinuesAtTheVersionThatHasItsPromptCached);
    CPPUNIT_TEST(promptCachedAtTwoVersionsProvesNothing);
    CPPUNIT_TEST(promptThatIsCachedInPartProvesNothing);
    CPPUNIT_TEST(promptProvesNothingWhileAnEngineOfAnotherVersionIsSilent);
    CPPUNIT_TEST(streamsOfASessionBeginWhereItsPromptIsCached);
    CPPUNIT_TEST(streamsOfSpreadPromptsBeginAtTheVersionTheyAreAssignedTo);
    CPPUNIT_TEST(promptOfAStreamThatIsAssignedElsewhereProvesNothing);
    CPPUNIT_TEST(spreadStreamMayBeAssignedToAFormerVersion);
    CPPUNIT_TEST(spreadStreamIsRejectedWithoutTheHistoryOfTheList);
    CPPUNIT_TEST(spreadStreamWithoutItsNameIsRejected);
    CPPUNIT_TEST(historyIsReadOnceForManyStreams);
    CPPUNIT_TEST(enginesMayLeaveWhileTheHistoryIsRead);
    CPPUNIT_TEST(searchEndsAlthoughNoEngineResponds);
    CPPUNIT_TEST(enginesAreListedOnceForManyStreams);
    CPPUNIT_TEST(onlyModelEnginesAreAskedForPrompts);
    CPPUNIT_TEST(streamWithoutTimeLimitIsNotGuessedEarlier);
    CPPUNIT_TEST(changedVersionIsToldToPeersAtOnce);
    CPPUNIT_TEST(unknownStreamIsRejectedWhileAFormerVersionIsRemembered);
    CPPUNIT_TEST(unknownStreamIsRejectedWhileTheListIsNotConfirmed);
    CPPUNIT_TEST(confirmationBeforeTheResumptionProvesNothing);
    CPPUNIT_TEST(confirmationThatNeverComesEndsTheWait);
    CPPUNIT_TEST(listThatWasNotConfirmedForSomeTimeProvesNothing);
    CPPUNIT_TEST(peerIsAnsweredOnlyFromAConfirmedList);
    CPPUNIT_TEST(enginesOfAnOldListProveNothing);
    CPPUNIT_TEST(oneConfirmationServesManyStreams);
    CPPUNIT_TEST(streamsOfOtherWorkspacesAreUnknown);
    CPPUNIT_TEST(streamsAreForgottenWhateverTheDeadline);
    CPPUNIT_TEST(numberOfStreamsIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief The endpoints of the other version are idle, while the one of the stream's version is not. */
    void interruptedStreamContinuesAtTheVersionThatBeganIt()
    {
        for (std::uint64_t call = 1; call <= 20; ++call) {
            ServingFixture fixture{mixedEndpoints()};
            const StartRun first = beginStream(fixture, call);
            sendEvents(fixture, first.run);
            fixture.apply(RunFailed{first.run, RunFailure::Broken});
            const auto *retry = fixture.effect<StartRun>();
            CPPUNIT_ASSERT(retry != nullptr);
            CPPUNIT_ASSERT_EQUAL(versionOf(first.instance), versionOf(retry->instance));
        }
    }

    void interruptedStreamIsAbortedWithoutAnEndpointOfItsVersion()
    {
        ServingFixture fixture{mixedEndpoints()};
        const StartRun first = beginStream(fixture, 1);
        sendEvents(fixture, first.run);
        fixture.apply(EndpointsChanged{without(versionOf(first.instance))});
        fixture.apply(RunFailed{first.run, RunFailure::Broken});
        CPPUNIT_ASSERT(fixture.effect<StartRun>() == nullptr);
        CPPUNIT_ASSERT(fixture.effect<AbortStream>() != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.reducer().requestsInProgress());
    }

    void streamWithoutEventsMayChangeTheVersion()
    {
        ServingFixture fixture{mixedEndpoints()};
        const StartRun first = beginStream(fixture, 1);
        fixture.apply(EndpointsChanged{without(versionOf(first.instance))});
        fixture.apply(RunFailed{first.run, RunFailure::Broken});
        const auto *retry = fixture.effect<StartRun>();
        CPPUNIT_ASSERT(retry != nullptr);
        CPPUNIT_ASSERT(versionOf(first.instance) != versionOf(retry->instance));
    }

    /*! @brief The first attempt has ended, and its endpoint is gone. */
    void streamResumedByItsCallerContinuesAtItsVersion()
    {
        for (std::uint64_t call = 1; call <= 20; ++call) {
            ServingFixture fixture{mixedEndpoints()};
            const StartRun first = beginStream(fixture, call);
            sendEvents(fixture, first.run);
            fixture.apply(CallerDisconnected{CallId{call}});
            fixture.apply(EndpointsChanged{without(first.instance)});
            fixture.apply(resumption(fixture, call + 100, call));
            const auto *second = fixture.effect<StartRun>();
            CPPUNIT_ASSERT(second != nullptr);
            CPPUNIT_ASSERT_EQUAL(versionOf(first.instance), versionOf(second->instance));
            CPPUNIT_ASSERT_EQUAL(std::string{"1"}, second->lastEventId);
            // Resumed once more, the stream is still named by the attempt that began it.
            fixture.apply(CallerDisconnected{CallId{call + 100}});
            fixture.apply(resumption(fixture, call + 200, call));
            CPPUNIT_ASSERT(fixture.effect<StartRun>() != nullptr);
            CPPUNIT_ASSERT_EQUAL(versionOf(first.instance), versionOf(fixture.effect<StartRun>()->instance));
        }
    }

    void resumedStreamIsRejectedWithoutAnEndpointOfItsVersion()
    {
        ServingFixture fixture{mixedEndpoints()};
        const StartRun first = beginStream(fixture, 1);
        sendEvents(fixture, first.run);
        fixture.apply(CallerDisconnected{CallId{1}});
        fixture.apply(EndpointsChanged{without(versionOf(first.instance))});
        checkRejected(fixture, resumption(fixture, 2, 1));
    }

    void unknownStreamIsRejectedWhileVersionsAreMixed()
    {
        ServingFixture fixture{mixedEndpoints()};
        checkRejected(fixture, resumption(fixture, 2, 1));
    }

    void unknownStreamContinuesAtTheOnlyVersion()
    {
        ServingFixture fixture{without("v2")};
        fixture.advanceClock(std::chrono::seconds{20});
        fixture.apply(resumption(fixture, 2, 1));
        CPPUNIT_ASSERT(fixture.effect<StartRun>() != nullptr);
    }

    /*! @brief Guards against a stream of two versions: the former one may have left before the process started. */
    void unknownStreamIsRejectedByAProcessThatHasJustStarted()
    {
        ServingFixture fixture{without("v1")};
        checkRejected(fixture, resumption(fixture, 2, 1));
    }

    /*! @brief A relay may know that a former version began the stream; without an answer nothing is known. */
    void processThatHasJustStartedContinuesAtTheVersionThatAPeerNames()
    {
        for (const std::string known : {"v1", "v2", ""}) {
            ServingFixture fixture{without("v1")};
            hearRelay(fixture);
            fixture.apply(resumption(fixture, 2, 1));
            CPPUNIT_ASSERT(fixture.effect<StartRun>() == nullptr);
            CPPUNIT_ASSERT(fixture.effect<LookUpStream>() != nullptr);
            const auto answer = known.empty() ? std::nullopt : std::optional{SoftwareVersion{known}};
            fixture.apply(StreamLookupEnded{CallId{2}, answer});
            CPPUNIT_ASSERT_EQUAL(known == "v2", fixture.effect<StartRun>() != nullptr);
            CPPUNIT_ASSERT_EQUAL(known != "v2", fixture.effect<SendErrorResponse>() != nullptr);
        }
    }

    void processAnswersPeersOnlyForAPoolThatItHasKnownLongEnough()
    {
        const StreamQuery query{StreamKey{7}, PoolName{"engines"}, {}, std::chrono::seconds{6}};
        ServingFixture fixture{without("v1")};
        fixture.apply(StreamQueryArrived{StreamQueryNumber{1}, query});
        CPPUNIT_ASSERT(fixture.effect<AnswerStreamQuery>() != nullptr);
        CPPUNIT_ASSERT(!fixture.effect<AnswerStreamQuery>()->version);
        fixture.advanceClock(std::chrono::seconds{7});
        fixture.apply(StreamQueryArrived{StreamQueryNumber{2}, query});
        CPPUNIT_ASSERT(fixture.effect<AnswerStreamQuery>()->version == std::optional{SoftwareVersion{"v2"}});
    }

    /*! @brief Guards against a peer with an old list of endpoints that takes the version in it for the only one. */
    void peersAreNotAskedForTheOnlyVersionOfAMixedPool()
    {
        for (const bool isMixed : {false, true}) {
            ServingFixture fixture{isMixed ? mixedEndpoints() : without("v1")};
            hearRelay(fixture);
            fixture.apply(resumption(fixture, 2, 1));
            const auto *lookup = fixture.effect<LookUpStream>();
            CPPUNIT_ASSERT(lookup != nullptr);
            CPPUNIT_ASSERT_EQUAL(isMixed, lookup->query.lifetime == Duration::zero());
        }
    }

    /*! @brief Guards against rejecting a stream that a peer knows which has not been heard yet. */
    void resumptionWaitsForTheDiscoveryOfPeers()
    {
        ServingFixture fixture{without("v1"), {"10.0.0.8:1"}};
        fixture.apply(Tick{});
        fixture.apply(resumption(fixture, 2, 1));
        CPPUNIT_ASSERT(fixture.effect<SendErrorResponse>() == nullptr);
        hearRelay(fixture);
        fixture.advanceClock(std::chrono::milliseconds{800});
        CPPUNIT_ASSERT(fixture.effect<LookUpStream>() != nullptr);
    }

    void unknownStreamContinuesAtTheVersionThatHasItsPromptCached()
    {
        ServingFixture fixture{mixedEndpoints()};
        fixture.apply(resumptionWithPrompt(fixture, 2));
        CPPUNIT_ASSERT(fixture.effect<StartRun>() == nullptr);
        listCaches(fixture, {{"engine-4", 250}});
        const auto *start = fixture.effect<StartRun>();
        CPPUNIT_ASSERT(start != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"v2"}, versionOf(start->instance));
    }

    void promptCachedAtTwoVersionsProvesNothing()
    {
        ServingFixture fixture{mixedEndpoints()};
        fixture.apply(resumptionWithPrompt(fixture, 2));
        listCaches(fixture, {{"engine-4", 250}, {"engine-1", 250}});
        checkRejected(fixture);
    }

    /*! @brief Guards against an earlier and shorter prompt of the same session. */
    void promptThatIsCachedInPartProvesNothing()
    {
        ServingFixture fixture{mixedEndpoints()};
        fixture.apply(resumptionWithPrompt(fixture, 2));
        listCaches(fixture, {{"engine-4", 200}});
        checkRejected(fixture);
    }

    void promptProvesNothingWhileAnEngineOfAnotherVersionIsSilent()
    {
        for (const std::string silent : {"engine-1", "engine-2"}) {
            ServingFixture fixture{mixedEndpoints()};
            fixture.apply(resumptionWithPrompt(fixture, 2));
            listCaches(fixture, {{"engine-4", 250}}, silent);
            CPPUNIT_ASSERT_EQUAL(silent == "engine-2", fixture.effect<StartRun>() != nullptr);
            CPPUNIT_ASSERT_EQUAL(silent == "engine-1", fixture.effect<SendErrorResponse>() != nullptr);
        }
    }

    /*! @brief Guards against a part that is cached at a version where another request of its session ran (review/6). */
    void streamsOfASessionBeginWhereItsPromptIsCached()
    {
        ServingFixture fixture{mixedEndpoints()};
        std::set<std::string> versions;
        for (std::uint64_t call = 1; call <= 60; ++call) {
            versions.insert(versionOf(beginStream(fixture, call, stayingPart()).instance));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, versions.size());
    }

    void streamsOfSpreadPromptsBeginAtTheVersionTheyAreAssignedTo()
    {
        ServingFixture fixture{mixedEndpoints()};
        std::set<std::string> versions;
        for (std::uint64_t call = 1; call <= 60; ++call) {
            const std::string version = versionOf(beginStream(fixture, call, spreadPart()).instance);
            CPPUNIT_ASSERT_EQUAL(assignedTo(call), version);
            versions.insert(version);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, versions.size());
    }

    /*! @brief Guards against an earlier request of the session that ran at another version (review/6). */
    void promptOfAStreamThatIsAssignedElsewhereProvesNothing()
    {
        for (std::uint64_t resumed = 100; resumed < 120; ++resumed) {
            ServingFixture fixture{mixedEndpoints()};
            fixture.apply(resumptionWithPrompt(fixture, 2, spreadPart(), resumed));
            listCaches(fixture, {{"engine-4", 250}}, {}, spreadPart());
            CPPUNIT_ASSERT_EQUAL(assignedTo(resumed) == "v2", fixture.effect<StartRun>() != nullptr);
            CPPUNIT_ASSERT_EQUAL(assignedTo(resumed) != "v2", fixture.effect<SendErrorResponse>() != nullptr);
        }
    }

    /*! @brief Guards against the loss of all processes beside the end of a version, at which the stream began
     * (review/6). */
    void spreadStreamMayBeAssignedToAFormerVersion()
    {
        std::size_t continued = 0;
        for (std::uint64_t resumed = 100; resumed < 120; ++resumed) {
            ServingFixture fixture{without("v1")};
            fixture.setHistory({*without("v2"), false});
            fixture.apply(resumptionWithPrompt(fixture, 2, spreadPart(), resumed));
            listCaches(fixture, {{"engine-4", 250}}, {}, spreadPart());
            CPPUNIT_ASSERT_EQUAL(assignedTo(resumed) == "v2", fixture.effect<StartRun>() != nullptr);
            continued += fixture.effect<StartRun>() != nullptr ? 1 : 0;
        }
        CPPUNIT_ASSERT(continued > 0 && continued < 20);
    }

    void spreadStreamIsRejectedWithoutTheHistoryOfTheList()
    {
        for (const bool isUnreadable : {false, true}) {
            ServingFixture fixture{without("v1")};
            fixture.setHistory(isUnreadable ? FormerEndpointsRead{} : FormerEndpointsRead{EndpointList{}, true});
            checkRejected(fixture, resumptionWithPrompt(fixture, 2, spreadPart()));
            // The history is not read again at once; a later one finds it if it could not be read before.
            fixture.setHistory({EndpointList{}, false});
            checkRejected(fixture, resumptionWithPrompt(fixture, 4, spreadPart()));
            fixture.advanceClock(std::chrono::seconds{1});
            fixture.apply(resumptionWithPrompt(fixture, 3, spreadPart()));
            listCaches(fixture, {{"engine-4", 250}}, {}, spreadPart());
            CPPUNIT_ASSERT_EQUAL(isUnreadable, fixture.effect<StartRun>() != nullptr);
            ServingFixture other{without("v1")};
            other.setHistory({});
            other.apply(resumptionWithPrompt(other, 2, stayingPart()));
            listCaches(other, {{"engine-4", 250}});
            CPPUNIT_ASSERT(other.effect<StartRun>() != nullptr);
        }
    }

    void spreadStreamWithoutItsNameIsRejected()
    {
        ServingFixture fixture{mixedEndpoints()};
        RequestArrived arrival = resumptionWithPrompt(fixture, 2, spreadPart());
        arrival.request.resumedAttempt.clear();
        checkRejected(fixture, arrival);
    }

    /*! @brief Guards against reading the platform's store for each of many streams that are resumed at once. */
    void historyIsReadOnceForManyStreams()
    {
        ServingFixture fixture{without("v1")};
        fixture.setHistoryRead(false);
        std::size_t reads = 0;
        for (std::uint64_t call = 2; call < 12; ++call) {
            fixture.apply(resumptionWithPrompt(fixture, call, spreadPart()));
            reads += count<ReadFormerEndpoints>(fixture.effects());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reads);
        fixture.apply(FormerEndpointsRead{EndpointList{}, false});
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, listCaches(fixture, {{"engine-4", 250}}, {}, spreadPart()));
        // One that never comes ends the wait.
        ServingFixture silent{without("v1")};
        silent.setHistoryRead(false);
        silent.apply(resumptionWithPrompt(silent, 2, spreadPart()));
        silent.advanceClock(std::chrono::milliseconds{500});
        checkRejected(silent);
    }

    /*! @brief Guards against a process that ends since it searches a pool whose engines have all left. */
    void enginesMayLeaveWhileTheHistoryIsRead()
    {
        ServingFixture fixture{without("v1")};
        fixture.setHistoryRead(false);
        fixture.apply(resumptionWithPrompt(fixture, 2, spreadPart()));
        auto noEngines = std::make_shared<EndpointList>(*without("v1"));
        std::erase_if(*noEngines, [](const EndpointRecord &record) { return record.pool == PoolName{"engines"}; });
        fixture.apply(EndpointsChanged{noEngines});
        fixture.apply(FormerEndpointsRead{EndpointList{}, false});
        checkRejected(fixture);
    }

    /*! @brief Guards against a wait for knowledge without a bound. */
    void searchEndsAlthoughNoEngineResponds()
    {
        ServingFixture fixture{mixedEndpoints()};
        fixture.apply(resumptionWithPrompt(fixture, 2));
        fixture.advanceClock(std::chrono::milliseconds{500});
        checkRejected(fixture);
    }

    /*! @brief Guards against calls to the engines for each of many streams that are resumed at once. */
    void enginesAreListedOnceForManyStreams()
    {
        ServingFixture fixture{mixedEndpoints()};
        std::size_t lists = 0;
        for (std::uint64_t call = 2; call < 12; ++call) {
            fixture.apply(resumptionWithPrompt(fixture, call));
            lists += count<ListCachedPrompts>(fixture.effects());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, lists);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, listCaches(fixture, {{"engine-4", 250}}));
    }

    /*! @brief Guards against calls that other services may take for requests. */
    void onlyModelEnginesAreAskedForPrompts()
    {
        ServingFixture fixture{mixedEndpoints()};
        auto catalog = std::make_shared<Catalog>(*ServingFixture::catalog());
        catalog->pools["engines"].engine.reset();
        catalog->buildIndex();
        fixture.apply(CatalogChanged{catalog});
        fixture.apply(resumptionWithPrompt(fixture, 2));
        CPPUNIT_ASSERT(fixture.effect<ListCachedPrompts>() == nullptr);
        checkRejected(fixture);
    }

    /*! @brief Guards against taking a missing limit for a stream that has just begun. */
    void streamWithoutTimeLimitIsNotGuessedEarlier()
    {
        ServingFixture fixture{without("v1")};
        auto catalog = std::make_shared<Catalog>(*ServingFixture::catalog());
        for (Route &route : catalog->routes) {
            route.timeout = Duration::zero();
        }
        catalog->buildIndex();
        fixture.apply(CatalogChanged{catalog});
        fixture.advanceClock(std::chrono::minutes{9});
        RequestArrived arrival = resumption(fixture, 2, 1);
        arrival.request.deadline.reset();
        checkRejected(fixture, arrival);
    }

    /*! @brief Guards against relays that name the version of an attempt that failed before its first event. */
    void changedVersionIsToldToPeersAtOnce()
    {
        ServingFixture fixture{mixedEndpoints()};
        hearRelay(fixture);
        fixture.apply(Tick{});
        fixture.apply(fixture.arrival("/summary/1", 1));
        const StartRun first = *fixture.effect<StartRun>();
        fixture.apply(EndpointsChanged{without(versionOf(first.instance))});
        const Effects effects = fixture.reducer().apply(RunFailed{first.run, RunFailure::Broken}, fixture.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<StartRun>(effects));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<SendHeartbeat>(effects));
    }

    void unknownStreamIsRejectedWhileAFormerVersionIsRemembered()
    {
        ServingFixture fixture{mixedEndpoints()};
        fixture.apply(EndpointsChanged{without("v1")});
        checkRejected(fixture, resumption(fixture, 2, 1));
        fixture.advanceClock(std::chrono::minutes{2});
        fixture.apply(resumption(fixture, 3, 1));
        CPPUNIT_ASSERT(fixture.effect<StartRun>() != nullptr);
    }

    /*! @brief Guards against a stream of two versions: the only version of an old list did not begin it. */
    void unknownStreamIsRejectedWhileTheListIsNotConfirmed()
    {
        ServingFixture fixture{without("v2")};
        fixture.advanceClock(std::chrono::seconds{20});
        fixture.setListConfirmed(false);
        fixture.apply(resumption(fixture, 2, 1));
        CPPUNIT_ASSERT(fixture.effect<StartRun>() == nullptr);
        CPPUNIT_ASSERT(fixture.effect<ConfirmEndpoints>() != nullptr);
        fixture.apply(EndpointsUnconfirmed{});
        checkRejected(fixture);
    }

    void confirmationBeforeTheResumptionProvesNothing()
    {
        ServingFixture fixture{without("v2")};
        fixture.advanceClock(std::chrono::seconds{20});
        fixture.setListConfirmed(false);
        fixture.advanceClock(std::chrono::milliseconds{10});
        fixture.apply(resumption(fixture, 2, 1));
        fixture.apply(EndpointsConfirmed{fixture.now() - std::chrono::milliseconds{1}});
        CPPUNIT_ASSERT(fixture.effects().empty());
        fixture.apply(EndpointsConfirmed{fixture.now()});
        CPPUNIT_ASSERT(fixture.effect<StartRun>() != nullptr);
    }

    /*! @brief Guards against a wait for knowledge without a bound. */
    void confirmationThatNeverComesEndsTheWait()
    {
        ServingFixture fixture{without("v2")};
        fixture.advanceClock(std::chrono::seconds{20});
        fixture.setListConfirmed(false);
        fixture.apply(resumption(fixture, 2, 1));
        fixture.advanceClock(std::chrono::milliseconds{500});
        checkRejected(fixture);
    }

    /*! @brief Guards against a version whose endpoints have joined and left while nothing was heard of the list. */
    void listThatWasNotConfirmedForSomeTimeProvesNothing()
    {
        ServingFixture fixture{without("v2")};
        fixture.advanceClock(std::chrono::seconds{20});
        fixture.setListConfirmed(false);
        fixture.advanceClock(std::chrono::seconds{8});
        fixture.setListConfirmed(true);
        checkRejected(fixture, resumption(fixture, 2, 1));
        fixture.advanceClock(std::chrono::seconds{10});
        fixture.apply(resumption(fixture, 3, 1));
        CPPUNIT_ASSERT(fixture.effect<StartRun>() != nullptr);
    }

    /*! @brief Guards against a relay that answers for others from an old list. */
    void peerIsAnsweredOnlyFromAConfirmedList()
    {
        const StreamQuery query{StreamKey{7}, PoolName{"engines"}, {}, std::chrono::seconds{6}};
        ServingFixture fixture{without("v1")};
        fixture.advanceClock(std::chrono::seconds{20});
        fixture.setListConfirmed(false);
        fixture.apply(StreamQueryArrived{StreamQueryNumber{1}, query});
        CPPUNIT_ASSERT(fixture.effect<AnswerStreamQuery>() == nullptr);
        fixture.apply(EndpointsUnconfirmed{});
        CPPUNIT_ASSERT(fixture.effect<AnswerStreamQuery>() != nullptr);
        CPPUNIT_ASSERT(!fixture.effect<AnswerStreamQuery>()->version);
    }

    /*! @brief Guards against a prompt that only the engines of an old list are asked for. */
    void enginesOfAnOldListProveNothing()
    {
        ServingFixture fixture{without("v2")};
        fixture.setListConfirmed(false);
        fixture.apply(resumptionWithPrompt(fixture, 2));
        CPPUNIT_ASSERT(fixture.effect<ListCachedPrompts>() == nullptr);
        fixture.apply(EndpointsUnconfirmed{});
        checkRejected(fixture);
    }

    /*! @brief Guards against a request to the platform for each of many streams that are resumed at once. */
    void oneConfirmationServesManyStreams()
    {
        ServingFixture fixture{without("v2")};
        fixture.advanceClock(std::chrono::seconds{20});
        fixture.setListConfirmed(false);
        std::size_t confirmations = 0;
        for (std::uint64_t call = 2; call < 12; ++call) {
            fixture.apply(resumption(fixture, call, 1));
            confirmations += count<ConfirmEndpoints>(fixture.effects());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, confirmations);
        fixture.apply(EndpointsConfirmed{fixture.now()});
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, count<StartRun>(fixture.effects()));
    }

    void streamsOfOtherWorkspacesAreUnknown()
    {
        const StreamKey north = StreamVersions::keyOf(WorkspaceName{"north"}, "attempt");
        CPPUNIT_ASSERT(north == StreamVersions::keyOf(WorkspaceName{"north"}, "attempt"));
        CPPUNIT_ASSERT(north != StreamVersions::keyOf(WorkspaceName{"south"}, "attempt"));
    }

    void streamsAreForgottenWhateverTheDeadline()
    {
        GossipClock clock{1};
        const EndpointListAge age;
        StreamVersions versions{clock, age};
        const TimePoint now{std::chrono::seconds{100}};
        CPPUNIT_ASSERT(!versions.record(StreamKey{1}, SoftwareVersion{"v1"}, now + std::chrono::hours{200}, now));
        versions.merge({{StreamKey{2}, SoftwareVersion{"v1"}, std::chrono::hours{200}}}, now);
        CPPUNIT_ASSERT(versions.find(StreamKey{1}) && versions.find(StreamKey{2}));
        versions.removeExpired(now + std::chrono::minutes{10});
        CPPUNIT_ASSERT(!versions.find(StreamKey{1}) && !versions.find(StreamKey{2}));
    }

    void numberOfStreamsIsBounded()
    {
        GossipClock clock{1};
        const EndpointListAge age;
        StreamVersions versions{clock, age};
        const TimePoint now{std::chrono::seconds{100}};
        for (std::uint64_t stream = 0; stream < 100'001; ++stream) {
            CPPUNIT_ASSERT(
                !versions.record(StreamKey{stream}, SoftwareVersion{"v1"}, now + std::chrono::seconds{5}, now));
        }
        CPPUNIT_ASSERT(versions.find(StreamKey{99'999}));
        CPPUNIT_ASSERT(!versions.find(StreamKey{100'000}));
    }

private:
    /*! @brief Returns the endpoints of the fixture, with six engines of two versions. */
    [[nodiscard]] static std::shared_ptr<const EndpointList> mixedEndpoints()
    {
        auto list = std::make_shared<EndpointList>(*ServingFixture::endpoints());
        std::erase_if(*list, [](const EndpointRecord &record) { return record.pool == PoolName{"engines"}; });
        for (int engine = 1; engine <= 6; ++engine) {
            EndpointRecord record{InstanceName{"engine-" + std::to_string(engine)},
                                  PoolName{"engines"},
                                  "10.0.0.1:1",
                                  ZoneName{"a"},
                                  4,
                                  false};
            record.softwareVersion = SoftwareVersion{versionOf(record.instance)};
            list->push_back(std::move(record));
        }
        return list;
    }

    [[nodiscard]] static std::shared_ptr<const EndpointList> without(const std::string &version)
    {
        auto list = std::make_shared<EndpointList>(*mixedEndpoints());
        std::erase_if(*list,
                      [&version](const EndpointRecord &record) { return record.softwareVersion.text() == version; });
        return list;
    }

    [[nodiscard]] static std::shared_ptr<const EndpointList> without(const InstanceName &engine)
    {
        auto list = std::make_shared<EndpointList>(*mixedEndpoints());
        std::erase_if(*list, [&engine](const EndpointRecord &record) { return record.instance == engine; });
        return list;
    }

    [[nodiscard]] static std::string versionOf(const InstanceName &engine)
    {
        return (engine.text().back() - '0') % 2 == 1 ? "v1" : "v2";
    }

    [[nodiscard]] static StartRun beginStream(ServingFixture &fixture, std::uint64_t call)
    {
        fixture.apply(fixture.arrival("/summary/1", call));
        const auto *start = fixture.effect<StartRun>();
        CPPUNIT_ASSERT(start != nullptr);
        return *start;
    }

    [[nodiscard]] static StartRun beginStream(ServingFixture &fixture, std::uint64_t call, const std::string &lastPart)
    {
        RequestArrived arrival = fixture.arrival("/summary/1", call);
        arrival.request.prompt = {{"shared", 800}, {lastPart, 250}};
        fixture.apply(arrival);
        const auto *start = fixture.effect<StartRun>();
        CPPUNIT_ASSERT(start != nullptr);
        return *start;
    }

    /*! @brief Returns the identity of a part by which prompts stay where they are cached, or are spread over versions.
     */
    [[nodiscard]] static std::string partThatIsSpread(bool isSpread)
    {
        int number = 0;
        while (isSpreadOverVersions({std::to_string(number), 250}) != isSpread) {
            ++number;
        }
        return std::to_string(number);
    }

    [[nodiscard]] static std::string stayingPart()
    {
        return partThatIsSpread(false);
    }

    [[nodiscard]] static std::string spreadPart()
    {
        return partThatIsSpread(true);
    }

    /*! @brief Returns the version to which the stream of a call with `spreadPart` is assigned. */
    [[nodiscard]] static std::string assignedTo(std::uint64_t call)
    {
        const StreamKey stream = StreamVersions::keyOf(WorkspaceName{"north"}, "attempt-" + std::to_string(call));
        return assignedVersion(stream, {spreadPart(), 250}, {{SoftwareVersion{"v1"}, 3}, {SoftwareVersion{"v2"}, 3}})
            ->text();
    }

    static void sendEvents(ServingFixture &fixture, RunNumber run)
    {
        fixture.apply(RunHeadReceived{run, ServingFixture::responseHead()});
        fixture.apply(RunBodyReceived{run, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"});
    }

    /*! @brief Returns a request by which the caller of a stream resumes it after its second event. */
    [[nodiscard]] static RequestArrived resumption(const ServingFixture &fixture, std::uint64_t call,
                                                   std::uint64_t resumed)
    {
        RequestArrived arrival = fixture.arrival("/summary/1", call);
        arrival.request.lastEventId = "1";
        arrival.request.resumedAttempt = "attempt-" + std::to_string(resumed);
        return arrival;
    }

    /*! @brief Returns a resumption with a prompt whose last part has 250 tokens. */
    [[nodiscard]] static RequestArrived resumptionWithPrompt(const ServingFixture &fixture, std::uint64_t call,
                                                             const std::string &lastPart = stayingPart(),
                                                             std::uint64_t resumed = 1)
    {
        RequestArrived arrival = resumption(fixture, call, resumed);
        arrival.request.prompt = {{"shared", 800}, {lastPart, 250}};
        return arrival;
    }

    template <typename Wanted>
    [[nodiscard]] static std::size_t count(const Effects &effects)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            effects, [](const Effect &effect) { return std::holds_alternative<Wanted>(effect); }));
    }

    /*!
     * @brief Lets all engines list their caches, some of them with the last part; the silent one does not respond.
     * @return Number of runs that are started.
     */
    static std::size_t listCaches(ServingFixture &fixture, const std::map<std::string, std::uint64_t> &tokens,
                                  const std::string &silent = {}, const std::string &lastPart = stayingPart())
    {
        std::size_t started = 0;
        for (int engine = 1; engine <= 6; ++engine) {
            const std::string name = "engine-" + std::to_string(engine);
            CachedPromptsListed list{InstanceName{name}, std::nullopt};
            if (name != silent) {
                list.parts = std::vector<engines::PromptPart>{{"shared", 800}};
            }
            if (const auto found = tokens.find(name); found != tokens.end()) {
                list.parts->push_back({lastPart, found->second});
            }
            fixture.apply(list);
            started += count<StartRun>(fixture.effects());
        }
        return started;
    }

    static void hearRelay(ServingFixture &fixture)
    {
        Heartbeat relay;
        relay.from = {InstanceName{"entry-2"}, "10.0.0.8:1", 1.0};
        relay.isRelay = true;
        fixture.apply(HeartbeatReceived{relay});
    }

    static void checkRejected(ServingFixture &fixture, const RequestArrived &arrival)
    {
        fixture.apply(arrival);
        checkRejected(fixture);
    }

    static void checkRejected(ServingFixture &fixture)
    {
        const auto *error = fixture.effect<SendErrorResponse>();
        CPPUNIT_ASSERT(error != nullptr);
        CPPUNIT_ASSERT(error->kind == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(fixture.effect<StartRun>() == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionsTest);
