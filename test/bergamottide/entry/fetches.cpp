#include "bergamottide/entry/fetches.h"

#include "entryfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using bergamottide::test::EntryFixture;

namespace {

const RequestId request{1, 1};
const InstanceName home{"gen-1"};
const Ticket ticket{request, WorkspaceName{"north"}, home, Incarnation{41}, Serial{5}};
const RunId run{request, 1, 1};

RequestState stateOf(LedgerState state)
{
    return RequestState{request, ticket.incarnation, ticket.serial, state, run};
}

FetchRequested fetchFrom(std::uint64_t offset)
{
    return FetchRequested{CallId{9}, "key-north", ticket, offset, false, std::chrono::seconds{2}};
}

} // namespace

class FetchesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FetchesTest);
    CPPUNIT_TEST(fetchResultFromOffset);
    CPPUNIT_TEST(refuseTicketOfAnotherWorkspace);
    CPPUNIT_TEST(repeatQueryUntilDeadlineThenReportUnknown);
    CPPUNIT_TEST(reportSealedAndUnknownSerials);
    CPPUNIT_TEST(cancelSealsBeforeAnswering);
    CPPUNIT_TEST(cancelOfRunningRequestReportsUnknown);
    CPPUNIT_TEST(cancelEndsRequestInProgressHere);
    CPPUNIT_TEST_SUITE_END();

public:
    void fetchResultFromOffset()
    {
        EntryFixture fixture;
        fixture.apply(fetchFrom(4));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, fixture.sent<AttachRequest>().at(0).second.offset);
        fixture.receive(home, stateOf(LedgerState::Finished));
        fixture.receive(home, RunProgress{run, RunState::Completed, 2, "cdef", 0});
        fixture.receive(home, EntryFixture::completed(run, "abcdef"));
        const auto answer = fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer && answer->outcome == Outcome::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string{"ef"}, answer->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.entry.inProgress());
    }

    void refuseTicketOfAnotherWorkspace()
    {
        EntryFixture fixture;
        FetchRequested fetched = fetchFrom(0);
        fetched.keyDigest = "key-south";
        fixture.apply(fetched);
        CPPUNIT_ASSERT(fixture.effect<SendAnswer>()->reason == Reason::UnknownTicket);
        CPPUNIT_ASSERT(fixture.sent<AttachRequest>().empty());
    }

    void repeatQueryUntilDeadlineThenReportUnknown()
    {
        EntryFixture fixture;
        fixture.apply(fetchFrom(0));
        fixture.advanceClock(std::chrono::seconds{1});
        CPPUNIT_ASSERT(!fixture.sent<AttachRequest>().empty());
        CPPUNIT_ASSERT(!fixture.effect<SendAnswer>());
        fixture.advanceClock(std::chrono::seconds{1});
        CPPUNIT_ASSERT(fixture.effect<SendAnswer>()->outcome == Outcome::Unknown);
    }

    void reportSealedAndUnknownSerials()
    {
        EntryFixture fixture;
        fixture.apply(fetchFrom(0));
        fixture.receive(home, stateOf(LedgerState::Sealed));
        CPPUNIT_ASSERT(fixture.effect<SendAnswer>()->outcome == Outcome::Incomplete);
        fixture.apply(fetchFrom(0));
        fixture.receive(home, RequestState{request, Incarnation{99}, noSerial, LedgerState::Absent, {}});
        const auto answer = fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer->outcome == Outcome::Unknown && answer->reason == Reason::WrongIncarnation);
    }

    void cancelSealsBeforeAnswering()
    {
        EntryFixture fixture;
        fixture.apply(CancelRequested{CallId{9}, "key-north", ticket});
        CPPUNIT_ASSERT(fixture.sent<SealRequest>().at(0).second.serial == ticket.serial);
        CPPUNIT_ASSERT(!fixture.effect<SendAnswer>());
        fixture.receive(home, stateOf(LedgerState::Sealed));
        const auto answer = fixture.effect<SendAnswer>();
        CPPUNIT_ASSERT(answer->outcome == Outcome::Incomplete && answer->reason == Reason::Canceled);
    }

    void cancelOfRunningRequestReportsUnknown()
    {
        EntryFixture fixture;
        fixture.apply(CancelRequested{CallId{9}, "key-north", ticket});
        fixture.receive(home, stateOf(LedgerState::Running));
        CPPUNIT_ASSERT(fixture.effect<SendAnswer>()->outcome == Outcome::Unknown);
    }

    void cancelEndsRequestInProgressHere()
    {
        EntryFixture fixture;
        fixture.apply(EntryFixture::submission(1, "order"));
        const InstanceName sidecar = fixture.sent<OpenRequest>().at(0).first;
        fixture.receive(sidecar, RequestOpened{request, ticket.incarnation, ticket.serial, LedgerState::Opened});
        Ticket own = ticket;
        own.home = sidecar;
        fixture.apply(CancelRequested{CallId{9}, "key-north", own});
        fixture.receive(sidecar, stateOf(LedgerState::Sealed));
        int answers = 0;
        for (const EntryEffect &effect : fixture.effects) {
            const auto *answer = std::get_if<SendAnswer>(&effect);
            answers += answer && answer->outcome == Outcome::Incomplete && answer->reason == Reason::Canceled ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(2, answers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent<CancelRun>().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.entry.inProgress());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FetchesTest);
