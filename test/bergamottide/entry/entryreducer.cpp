#include "bergamottide/entry/entryreducer.h"

#include "entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using bergamottide::test::EntryFixture;

class EntryReducerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryReducerTest);
    CPPUNIT_TEST(driveStagesInOrderAndAnswerOnce);
    CPPUNIT_TEST(reassembleLateRepeatedAndReorderedPieces);
    CPPUNIT_TEST(dropResultOfAnotherRun);
    CPPUNIT_TEST(relayLastStagePieceByPiece);
    CPPUNIT_TEST(refuseBadInputNamingItsField);
    CPPUNIT_TEST(refuseBeforeDocumentAndView);
    CPPUNIT_TEST(retryElsewhereAfterRefusedRun);
    CPPUNIT_TEST(reportNotRunOnlyIfEveryRunIsConfirmedNotStarted);
    CPPUNIT_TEST(cancelRepeatableRunsOfDisconnectedCaller);
    CPPUNIT_TEST(isReadyOnceASidecarOfEachPoolTakesRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Open streams alone do not show that a request would be served. */
    void isReadyOnceASidecarOfEachPoolTakesRuns()
    {
        EntryFixture fixture;
        LoadReport refusing;
        refusing.draining = true;
        CPPUNIT_ASSERT(!fixture.entry.hasEndpointsForAllPipelines());
        fixture.receive(InstanceName{"enc-1"}, LoadReport{});
        fixture.receive(InstanceName{"gen-1"}, refusing);
        CPPUNIT_ASSERT(!fixture.entry.hasEndpointsForAllPipelines());
        fixture.receive(InstanceName{"gen-2"}, LoadReport{});
        CPPUNIT_ASSERT(fixture.entry.hasEndpointsForAllPipelines());
    }

    void driveStagesInOrderAndAnswerOnce()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto first = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT_EQUAL(StageName{"encode"}, first.second.stage);
        CPPUNIT_ASSERT_EQUAL(std::string{"body"}, first.second.body);
        fixture.complete(first.first, first.second.run, "vector");
        const auto second = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT_EQUAL(StageName{"generate"}, second.second.stage);
        CPPUNIT_ASSERT_EQUAL(std::string{"body"}, second.second.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"vector"}, second.second.previousResult);
        fixture.complete(second.first, second.second.run, "text");
        const auto answer = fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer && answer->outcome == Outcome::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string{"text"}, answer->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.entry.inProgress());
        fixture.receive(second.first, EntryFixture::completed(second.second.run, "text"));
        CPPUNIT_ASSERT(!fixture.effect<SendAnswer>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<RunAcknowledged>().size());
    }

    void reassembleLateRepeatedAndReorderedPieces()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.receive(sidecar, EntryFixture::completed(start.run, "abcdef"));
        fixture.receive(sidecar, RunProgress{start.run, RunState::Running, 4, "ef", 1});
        fixture.receive(sidecar, RunProgress{start.run, RunState::Running, 0, "abc", 1});
        fixture.receive(sidecar, RunProgress{start.run, RunState::Running, 0, "abc", 1});
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        fixture.receive(sidecar, RunProgress{start.run, RunState::Running, 2, "cd", 1});
        CPPUNIT_ASSERT_EQUAL(std::string{"abcdef"}, fixture.sent<StartRun>().at(0).second.previousResult);
    }

    void dropResultOfAnotherRun()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        RunId other = start.run;
        ++other.attempt;
        fixture.complete(sidecar, other, "wrong");
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        fixture.complete(InstanceName{sidecar.text() == "enc-1" ? "enc-2" : "enc-1"}, start.run, "wrong");
        CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        CPPUNIT_ASSERT_EQUAL(1.0, fixture.metricSum(Metric::DroppedMessagesTotal));
    }

    void relayLastStagePieceByPiece()
    {
        EntryFixture fixture;
        CallerSubmitted submitted = EntryFixture::submission(1);
        submitted.streaming = true;
        fixture.apply(submitted);
        const auto first = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT(!first.second.streaming);
        fixture.complete(first.first, first.second.run, "vector");
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT(start.streaming);
        fixture.receive(sidecar, RunProgress{start.run, RunState::Running, 3, "def", 1});
        CPPUNIT_ASSERT(!fixture.effect<SendResultPiece>());
        fixture.receive(sidecar, RunProgress{start.run, RunState::Running, 0, "abc", 1});
        CPPUNIT_ASSERT_EQUAL(std::string{"abcdef"}, fixture.effect<SendResultPiece>()->piece);
        fixture.receive(sidecar, EntryFixture::completed(start.run, "abcdef"));
        CPPUNIT_ASSERT_EQUAL(std::string{}, fixture.effect<SendAnswer>()->body);
    }

    void refuseBadInputNamingItsField()
    {
        EntryFixture fixture;
        const auto refuse = [&fixture](const CallerSubmitted &submitted, Reason reason, const std::string &field) {
            fixture.apply(submitted);
            const auto answer = fixture.effect<SendAnswer>();
            CPPUNIT_ASSERT(answer && answer->reason == reason && answer->outcome == Outcome::NotRun);
            CPPUNIT_ASSERT_EQUAL(field, answer->field);
            CPPUNIT_ASSERT(fixture.sent<StartRun>().empty());
        };
        CallerSubmitted submitted = EntryFixture::submission(1);
        submitted.keyDigest.clear();
        refuse(submitted, Reason::MissingKey, "authorization");
        submitted.keyDigest = "key-nobody";
        refuse(submitted, Reason::WrongKey, "authorization");
        submitted.keyDigest = "key-south";
        refuse(submitted, Reason::UnknownPipeline, "pipeline");
        refuse(EntryFixture::submission(1, "nothing"), Reason::UnknownPipeline, "pipeline");
        submitted = EntryFixture::submission(1);
        submitted.kind = KindName{"nothing"};
        refuse(submitted, Reason::UnknownKind, "kind");
        submitted = EntryFixture::submission(1);
        submitted.deadline = Duration::zero();
        refuse(submitted, Reason::InvalidDeadline, "deadline");
        submitted.deadline = std::chrono::hours{1};
        refuse(submitted, Reason::InvalidDeadline, "deadline");
        submitted = EntryFixture::submission(1);
        submitted.body.resize(Policy{}.maxBodyBytes + 1);
        refuse(submitted, Reason::BodyTooLarge, "body");
    }

    void refuseBeforeDocumentAndView()
    {
        EntryReducer entry{{InstanceName{"entry-1"}, RegionName{"west"}, ZoneName{"a"}, Incarnation{7}, 1}};
        const EntryEffects effects = entry.apply(EntryFixture::submission(1), TimePoint{std::chrono::seconds{1}});
        bool refused = false;
        for (const EntryEffect &effect : effects) {
            const auto *answer = std::get_if<SendAnswer>(&effect);
            refused = refused || (answer && answer->reason == Reason::StaleView && answer->outcome == Outcome::NotRun);
        }
        CPPUNIT_ASSERT(refused);
    }

    void retryElsewhereAfterRefusedRun()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto first = fixture.sent<StartRun>().at(0);
        fixture.receive(first.first, EntryFixture::refused(first.second.run, Reason::Draining));
        const auto second = fixture.sent<StartRun>().at(0);
        CPPUNIT_ASSERT(first.first != second.first);
        CPPUNIT_ASSERT_EQUAL(first.second.run.attempt + 1, second.second.run.attempt);
        fixture.apply(EntryFixture::submission(2));
        CPPUNIT_ASSERT_EQUAL(second.first, fixture.sent<StartRun>().at(0).first);
    }

    void reportNotRunOnlyIfEveryRunIsConfirmedNotStarted()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto first = fixture.sent<StartRun>().at(0);
        fixture.receive(first.first, EntryFixture::refused(first.second.run, Reason::Draining));
        const auto second = fixture.sent<StartRun>().at(0);
        fixture.receive(second.first, EntryFixture::refused(second.second.run, Reason::Draining));
        CPPUNIT_ASSERT(fixture.effect<SendAnswer>()->outcome == Outcome::NotRun);

        EntryFixture other;
        other.apply(EntryFixture::submission(1));
        other.advanceClock(std::chrono::seconds{9});
        const auto answer = other.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer && answer->outcome == Outcome::Incomplete);
    }

    void cancelRepeatableRunsOfDisconnectedCaller()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1));
        const auto [sidecar, start] = fixture.sent<StartRun>().at(0);
        fixture.apply(CallerGone{CallId{1}});
        CPPUNIT_ASSERT(fixture.sent<CancelRun>().at(0).second.run == start.run);
        CPPUNIT_ASSERT(!fixture.effect<SendAnswer>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.entry.inProgress());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryReducerTest);
