#include "peerfleet.h"
#include "servingfixture.h"

#include "bergamottide/serving/endpointboard.h"
#include "bergamottide/serving/endpointdirectory.h"
#include "bergamottide/serving/eventsplitter.h"
#include "bergamottide/serving/peers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;
using Fleet = bergamottide::test::PeerFleet;

/*! @brief What processes know of each other, and what becomes of work handed to one that is lost. */
class ServingPeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingPeersTest);
    CPPUNIT_TEST(processesThatSeeTheSamePeersAgreeOnTheOwner);
    CPPUNIT_TEST(silentPeerKeepsNoQueue);
    CPPUNIT_TEST(drainingPeerKeepsNoQueue);
    CPPUNIT_TEST(addressesOfPeersAreLearntFromPeers);
    CPPUNIT_TEST(addressOfAPeerThatIsLongGoneIsNotAskedAnyMore);
    CPPUNIT_TEST(peerThatKnowsNoConfigurationKeepsNoQueue);
    CPPUNIT_TEST(processWithoutConfigurationSendsTasksBack);
    CPPUNIT_TEST(drainingProcessHandsItsQueueOver);
    CPPUNIT_TEST(queueIsHandedOverWhenAnotherKeepsIt);
    CPPUNIT_TEST(taskGivenBackByAFormerOwnerIsNoSilence);
    CPPUNIT_TEST(taskTellsOfResultsThatAnotherOwnerHadMade);
    CPPUNIT_TEST(workOnItsWayToAPoolIsTold);
    CPPUNIT_TEST(taskOfALostOwnerIsDoneHere);
    CPPUNIT_TEST(resultsForAPeerThatLeftAreFreed);
    CPPUNIT_TEST(endpointThatVanishesWithTheListIsKeptForAWhile);
    CPPUNIT_TEST(endpointThatVanishesAfterTheListsReturnIsGone);
    CPPUNIT_TEST(endpointThatDrainsIsNotKept);
    CPPUNIT_TEST(endpointRemovedInCalmTimesIsGoneAtOnce);
    CPPUNIT_TEST(endpointThatStartsAnewUnderItsNameDrainsNoMore);
    CPPUNIT_TEST(entryThatCannotBeReadIsNotKept);
    CPPUNIT_TEST(endpointThatStartsAnewIsJudgedAnew);
    CPPUNIT_TEST(splitterKeepsUnfinishedEventsBack);
    CPPUNIT_TEST(splitterDropsWhatWasPassedOnAndSeesGaps);
    CPPUNIT_TEST(strongestProcessesAreRelaysAndOwnTheQueues);
    CPPUNIT_TEST(heartbeatsOfAProcessDoNotGrowWithTheFleet);
    CPPUNIT_TEST(fleetOfAnySizeAgreesOnOwners);
    CPPUNIT_TEST(generationsToldDoNotGrowWithTheFleet);
    CPPUNIT_TEST(processThatIsLostIsGoneEverywhereSoon);
    CPPUNIT_TEST(fleetAgreesOnOwnersAfterARollingRestart);
    CPPUNIT_TEST(unreachedOwnerIsTriedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void processesThatSeeTheSamePeersAgreeOnTheOwner()
    {
        Peers one{{InstanceName{"a"}, "a:1"}, {}};
        Peers other{{InstanceName{"b"}, "b:1"}, {}};
        one.setOwnsQueues(true);
        other.setOwnsQueues(true);
        one.heard(heartbeat("b"), m_now);
        other.heard(heartbeat("a"), m_now);
        for (const char *pool : {"p1", "p2", "p3", "p4"}) {
            const bool oneKeeps = !one.owner(PoolName{pool}, m_now);
            const bool otherKeeps = !other.owner(PoolName{pool}, m_now);
            CPPUNIT_ASSERT(oneKeeps != otherKeeps);
        }
    }

    void silentPeerKeepsNoQueue()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, {}};
        peers.heard(heartbeat("b"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.live(m_now).size());
        CPPUNIT_ASSERT(peers.live(m_now + std::chrono::seconds{1}).empty());
        peers.unreached(InstanceName{"b"}, m_now);
        CPPUNIT_ASSERT(peers.live(m_now).empty());
        peers.heard(heartbeat("b"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.live(m_now).size());
    }

    void drainingPeerKeepsNoQueue()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, {}};
        Heartbeat draining = heartbeat("b");
        draining.draining = true;
        peers.heard(draining, m_now);
        CPPUNIT_ASSERT(peers.live(m_now).empty());
        CPPUNIT_ASSERT(peers.isLive(InstanceName{"b"}, m_now));
    }

    void addressesOfPeersAreLearntFromPeers()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, {"b:1", "a:1"}};
        CPPUNIT_ASSERT((peers.due(m_now) == std::vector<std::string>{"b:1"}));
        Heartbeat told = heartbeat("b");
        told.roster = {{{InstanceName{"c"}, "c:1"}, true}, {{InstanceName{"a"}, "a:1"}, true}};
        told.isRelay = true;
        peers.heard(told, m_now);
        CPPUNIT_ASSERT((peers.due(m_now) == std::vector<std::string>{"c:1"}));
    }

    void addressOfAPeerThatIsLongGoneIsNotAskedAnyMore()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, {"b:1"}};
        peers.heard(heartbeat("b"), m_now);
        peers.heard(heartbeat("c"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peers.due(m_now).size());
        CPPUNIT_ASSERT((peers.due(m_now + std::chrono::seconds{61}) == std::vector<std::string>{"b:1"}));
    }

    void peerThatKnowsNoConfigurationKeepsNoQueue()
    {
        Peers peers{{InstanceName{"a"}, "a:1"}, {}};
        Heartbeat starting = heartbeat("b");
        starting.ownsQueues = false;
        peers.heard(starting, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.live(m_now).size());
        for (const char *pool : {"p1", "p2", "p3", "p4", "p5", "p6"}) {
            CPPUNIT_ASSERT(!peers.owner(PoolName{pool}, m_now));
        }
    }

    void processWithoutConfigurationSendsTasksBack()
    {
        ServingOptions options;
        options.self = {InstanceName{"new"}, "10.0.0.9:1"};
        ServingReducer reducer{options};
        StageTask task;
        task.pool = PoolName{"encoders"};
        task.pieces = 1;
        task.zone = ZoneName{"a"};
        task.due = m_now + std::chrono::seconds{1};
        const Effects effects = reducer.apply(PeerTaskArrived{PeerTaskNumber{1}, task}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, effects.size());
        CPPUNIT_ASSERT(std::get<AnswerPeerTask>(effects.front()).outcomes.empty());
        const TimePoint later = m_now + std::chrono::seconds{1};
        static_cast<void>(reducer.apply(Tick{}, later));
        // A wakeup that is due at once after a tick would never let the process rest.
        CPPUNIT_ASSERT(reducer.nextWakeup().value() > later);
    }

    void drainingProcessHandsItsQueueOver()
    {
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{1}, encoderTask("first", 8)});
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{2}, encoderTask("second", 8)});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() == nullptr);
        m_fixture.apply(HeartbeatHeard{heartbeat("b")});
        m_fixture.apply(DrainRequested{});
        const auto *moved = m_fixture.effect<AnswerPeerTask>();
        CPPUNIT_ASSERT(moved != nullptr);
        CPPUNIT_ASSERT(moved->number == PeerTaskNumber{2});
        CPPUNIT_ASSERT(moved->outcomes.empty());
    }

    void queueIsHandedOverWhenAnotherKeepsIt()
    {
        const Heartbeat owner = heartbeat(findOwner().text());
        // The pieces of the second task wait, since the only encoder takes one call at a time.
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{1}, encoderTask("first", 8)});
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{2}, encoderTask("second", 8)});
        m_fixture.apply(HeartbeatHeard{owner});
        m_fixture.pass(std::chrono::milliseconds{200});
        m_fixture.apply(HeartbeatHeard{owner});
        // Not all processes have heard of the other yet.
        CPPUNIT_ASSERT(m_fixture.effect<AnswerPeerTask>() == nullptr);
        m_fixture.pass(std::chrono::milliseconds{400});
        const auto *moved = m_fixture.effect<AnswerPeerTask>();
        CPPUNIT_ASSERT(moved != nullptr);
        CPPUNIT_ASSERT(moved->number == PeerTaskNumber{2});
        CPPUNIT_ASSERT(moved->outcomes.empty());
    }

    void taskGivenBackByAFormerOwnerIsNoSilence()
    {
        const Heartbeat owner = heartbeat(findOwner().text());
        m_fixture.apply(HeartbeatHeard{owner});
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {1};
        m_fixture.apply(arrival);
        const StageTaskId task = m_fixture.effect<HandTask>()->task.id;
        Heartbeat leaves = owner;
        leaves.ownsQueues = false;
        m_fixture.apply(HeartbeatHeard{leaves});
        m_fixture.apply(HandedTaskEnded{task, owner.from.instance, {}, true});
        // It is done here, and the peer still counts as alive.
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.reducer().livePeers(m_fixture.now()).size());
    }

    void taskTellsOfResultsThatAnotherOwnerHadMade()
    {
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {2};
        m_fixture.apply(arrival);
        const auto *call = m_fixture.effect<StartStageCall>();
        m_fixture.apply(StageCallEnded{call->call, StageCallEnd::Answered, {{"h-1", {}}, {"h-2", {}}}});
        Heartbeat owner = heartbeat(findOwner().text());
        owner.incarnation = 7;
        m_fixture.apply(HeartbeatHeard{owner});
        arrival = m_fixture.arrival("/draft/2", 2);
        arrival.request.pieces = {1};
        m_fixture.apply(arrival);
        const auto *handed = m_fixture.effect<HandTask>();
        CPPUNIT_ASSERT(handed != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, handed->task.held.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, handed->task.held.front().bytes);
    }

    void workOnItsWayToAPoolIsTold()
    {
        RequestArrived arrival = m_fixture.arrival("/report/1");
        arrival.request.pieces = {1, 6};
        m_fixture.apply(arrival);
        const Heartbeat told = m_fixture.reducer().heartbeat("b:1", m_fixture.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.upcoming.size());
        CPPUNIT_ASSERT(told.upcoming.front().pool == PoolName{"rerankers"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, told.upcoming.front().pieces);
        Peers peers{{InstanceName{"a"}, "a:1"}, {}};
        peers.heard(told, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, peers.upcoming(PoolName{"rerankers"}, 0, 0, m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, peers.upcoming(PoolName{"encoders"}, 0, 0, m_now));
    }

    void taskOfALostOwnerIsDoneHere()
    {
        const InstanceName owner = findOwner();
        m_fixture.apply(HeartbeatHeard{heartbeat(owner.text())});
        RequestArrived arrival = m_fixture.arrival("/draft/1");
        arrival.request.pieces = {1};
        m_fixture.apply(arrival);
        const auto *handed = m_fixture.effect<HandTask>();
        CPPUNIT_ASSERT(handed != nullptr);
        const StageTaskId task = handed->task.id;
        m_fixture.apply(HandedTaskEnded{task, owner, {}});
        CPPUNIT_ASSERT(m_fixture.effect<StartStageCall>() != nullptr);
    }

    void resultsForAPeerThatLeftAreFreed()
    {
        StageTask task;
        task.pool = PoolName{"encoders"};
        task.attempt = "attempt";
        task.pieces = 2;
        task.due = m_fixture.now() + std::chrono::seconds{1};
        task.deadline = m_fixture.now() + std::chrono::seconds{5};
        task.resultBytes = 15'000;
        m_fixture.apply(PeerTaskArrived{PeerTaskNumber{1}, task});
        const auto *call = m_fixture.effect<StartStageCall>();
        CPPUNIT_ASSERT(call != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, call->items.size());
        m_fixture.apply(StageCallEnded{call->call, StageCallEnd::Answered, {{"h-1", {}}}});
        m_fixture.apply(PeerTaskGone{PeerTaskNumber{1}});
        const auto *freed = m_fixture.effect<FreeResults>();
        CPPUNIT_ASSERT(freed != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string{"h-1"}, freed->handles.front());
    }

    void endpointThatVanishesWithTheListIsKeptForAWhile()
    {
        EndpointDirectory directory;
        directory.put(record("e"), m_now);
        static_cast<void>(directory.takeChange(m_now));
        directory.lost(m_now);
        m_now += std::chrono::seconds{5};
        directory.regained(m_now);
        directory.remove(InstanceName{"e"}, m_now);
        CPPUNIT_ASSERT(directory.takeChange(m_now) == nullptr);
        m_now += std::chrono::milliseconds{2300};
        const auto list = directory.takeChange(m_now);
        CPPUNIT_ASSERT(list != nullptr);
        CPPUNIT_ASSERT(list->empty());
    }

    void endpointThatVanishesAfterTheListsReturnIsGone()
    {
        EndpointDirectory directory;
        directory.put(record("e"), m_now);
        directory.lost(m_now);
        m_now += std::chrono::seconds{9};
        directory.regained(m_now);
        m_now += std::chrono::milliseconds{500};
        directory.remove(InstanceName{"e"}, m_now);
        CPPUNIT_ASSERT(directory.takeChange(m_now)->empty());
    }

    void endpointThatDrainsIsNotKept()
    {
        EndpointDirectory directory;
        directory.put(record("e", true), m_now);
        directory.lost(m_now);
        m_now += std::chrono::seconds{5};
        directory.regained(m_now);
        directory.put(record("e", false), m_now);
        CPPUNIT_ASSERT(directory.takeChange(m_now)->front().draining);
        directory.remove(InstanceName{"e"}, m_now);
        CPPUNIT_ASSERT(directory.takeChange(m_now)->empty());
    }

    void endpointRemovedInCalmTimesIsGoneAtOnce()
    {
        EndpointDirectory directory;
        directory.put(record("e"), m_now);
        directory.remove(InstanceName{"e"}, m_now);
        CPPUNIT_ASSERT(directory.takeChange(m_now)->empty());
    }

    void endpointThatStartsAnewUnderItsNameDrainsNoMore()
    {
        EndpointDirectory directory;
        EndpointRecord record{InstanceName{"a"}, PoolName{"p"}, "a:1", ZoneName{"z"}, 1, true, 1};
        directory.put(record, m_now);
        static_cast<void>(directory.takeChange(m_now));
        record.draining = false;
        directory.put(record, m_now);
        CPPUNIT_ASSERT(directory.takeChange(m_now) == nullptr);
        record.incarnation = 2;
        directory.put(record, m_now);
        const auto list = directory.takeChange(m_now);
        CPPUNIT_ASSERT(list != nullptr);
        CPPUNIT_ASSERT(!list->front().draining);
    }

    void entryThatCannotBeReadIsNotKept()
    {
        EndpointDirectory directory;
        directory.put({InstanceName{"a"}, PoolName{"p"}, "a:1", ZoneName{"z"}, 1, false, 1}, m_now);
        directory.lost(m_now);
        static_cast<void>(directory.takeChange(m_now));
        directory.discard(InstanceName{"a"});
        CPPUNIT_ASSERT(directory.takeChange(m_now)->empty());
    }

    void endpointThatStartsAnewIsJudgedAnew()
    {
        EndpointBoard board;
        Effects effects;
        const EndpointRecord record{InstanceName{"a"}, PoolName{"p"}, "a:1", ZoneName{"z"}, 1, false, 1};
        board.update({record}, m_now, effects);
        board.started(record.instance);
        board.told(record.instance, {5, 5, 4}, m_now);
        board.find(record.instance)->resultBytes = 100;
        board.find(record.instance)->slowness = 4.0;
        EndpointRecord anew = record;
        anew.incarnation = 2;
        board.update({anew}, m_now, effects);
        const Endpoint &endpoint = *board.find(record.instance);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, endpoint.takenBytes());
        CPPUNIT_ASSERT_EQUAL(1.0, endpoint.slowness);
        CPPUNIT_ASSERT_EQUAL(0U, endpoint.load.running);
        // The run is in progress until its connection breaks.
        CPPUNIT_ASSERT_EQUAL(1U, endpoint.inFlight);
    }

    void splitterKeepsUnfinishedEventsBack()
    {
        EventSplitter splitter;
        CPPUNIT_ASSERT_EQUAL(std::string{}, splitter.take("id: 1\ndata"));
        CPPUNIT_ASSERT(splitter.inEvent());
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\ndata: x\n\n"}, splitter.take(": x\n\n"));
        CPPUNIT_ASSERT(!splitter.inEvent());
        CPPUNIT_ASSERT(splitter.last() == std::optional<std::uint64_t>{1});
    }

    void splitterDropsWhatWasPassedOnAndSeesGaps()
    {
        EventSplitter splitter{3};
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 4\ndata: d\n\n"}, splitter.take("id: 3\ndata: c\n\nid: 4\ndata: d\n\n"));
        static_cast<void>(splitter.take("id: 6\ndata: f\n\n"));
        CPPUNIT_ASSERT(splitter.isBroken());
    }

    void strongestProcessesAreRelaysAndOwnTheQueues()
    {
        Peers weak{{InstanceName{"weak"}, "weak:1", 0.05}, {}};
        weak.setOwnsQueues(true);
        CPPUNIT_ASSERT(weak.isRelay(m_now));
        Heartbeat strong = heartbeat("strong");
        strong.from.strength = 0.5;
        weak.heard(strong, m_now);
        CPPUNIT_ASSERT(!weak.isRelay(m_now));
        for (const char *pool : {"p1", "p2", "p3", "p4", "p5", "p6"}) {
            CPPUNIT_ASSERT(weak.owner(PoolName{pool}, m_now).value().instance == InstanceName{"strong"});
        }
    }

    void heartbeatsOfAProcessDoNotGrowWithTheFleet()
    {
        Fleet fleet{120, m_now};
        fleet.run(std::chrono::seconds{4});
        const std::size_t before = fleet.sent();
        fleet.run(std::chrono::seconds{1});
        // Each process asks two relays five times a second, each relay the fifteen others; trials add a few.
        const std::size_t most = 120 * 2 * 5 + 16 * 15 * 5;
        CPPUNIT_ASSERT(fleet.sent() - before <= most * 12 / 10);
    }

    void fleetOfAnySizeAgreesOnOwners()
    {
        for (const std::size_t size : {2, 5, 31, 120}) {
            Fleet fleet{size, m_now};
            fleet.run(std::chrono::seconds{4});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{"p1"}).size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{"p2"}).size());
            CPPUNIT_ASSERT_EQUAL(size - 1, fleet.fewestLive());
        }
    }

    void processThatIsLostIsGoneEverywhereSoon()
    {
        Fleet fleet{31, m_now};
        fleet.run(std::chrono::seconds{4});
        const InstanceName owner = *fleet.ownersOf(PoolName{"p1"}).begin();
        fleet.stop(owner);
        // The silence of 0.9 s, then one heartbeat between relays and one to every other process.
        fleet.run(std::chrono::milliseconds{1600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{"p1"}).size());
        CPPUNIT_ASSERT(*fleet.ownersOf(PoolName{"p1"}).begin() != owner);
    }

    void generationsToldDoNotGrowWithTheFleet()
    {
        std::map<int, std::size_t> told;
        for (const int size : {16, 32, 350}) {
            Peers relay{{InstanceName{"relay"}, "relay:1"}, {}};
            for (int number = 0; number < size; ++number) {
                Heartbeat other = heartbeat("entry-" + std::to_string(number));
                other.from.strength = 0.1;
                other.engines.push_back({other.from.instance, 1, 1, {}, {{InstanceName{"engine"}, {}, {}}}});
                relay.heard(other, m_now);
            }
            Heartbeat out;
            relay.complete(out, "entry-0:1", m_now);
            told[size] = out.engines.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, told[16]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{31}, told[32]);
        CPPUNIT_ASSERT(told[350] <= 4);
    }

    void fleetAgreesOnOwnersAfterARollingRestart()
    {
        Fleet fleet{24, m_now};
        fleet.run(std::chrono::seconds{3});
        for (const char *name : {"entry-0", "entry-4", "entry-8", "entry-12", "entry-16", "entry-20"}) {
            fleet.restart(InstanceName{name}, std::chrono::seconds{2}, std::chrono::milliseconds{200});
        }
        fleet.run(std::chrono::seconds{2});
        CPPUNIT_ASSERT_EQUAL(std::size_t{23}, fleet.fewestLive());
        for (const char *pool : {"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.ownersOf(PoolName{pool}).size());
        }
    }

    void unreachedOwnerIsTriedAgain()
    {
        Peers peers{{InstanceName{"weak"}, "weak:1", 0.1}, {}};
        Heartbeat relay = heartbeat("relay");
        relay.isRelay = true;
        relay.roster = {{{InstanceName{"owner"}, "owner:1"}, true}};
        peers.heard(relay, m_now);
        CPPUNIT_ASSERT(peers.isLive(InstanceName{"owner"}, m_now));
        peers.unreached(InstanceName{"owner"}, m_now);
        CPPUNIT_ASSERT(!peers.isLive(InstanceName{"owner"}, m_now));
        m_now += std::chrono::seconds{1};
        peers.heard(relay, m_now);
        CPPUNIT_ASSERT(peers.isLive(InstanceName{"owner"}, m_now));
    }

private:
    [[nodiscard]] static Heartbeat heartbeat(const std::string &name)
    {
        Heartbeat out;
        out.from = {InstanceName{name}, name + ":1"};
        out.ownsQueues = true;
        return out;
    }

    [[nodiscard]] StageTask encoderTask(const std::string &attempt, std::uint32_t pieces) const
    {
        StageTask task;
        task.pool = PoolName{"encoders"};
        task.attempt = attempt;
        task.pieces = pieces;
        task.due = m_now + std::chrono::seconds{1};
        task.deadline = m_now + std::chrono::seconds{5};
        task.resultBytes = 1000;
        return task;
    }

    [[nodiscard]] static EndpointRecord record(const std::string &name, bool draining = false)
    {
        return {InstanceName{name}, PoolName{"pool"}, "10.0.0.1:1", ZoneName{"a"}, 1, draining};
    }

    /*! @brief Returns a name that rendezvous hashing prefers to that of the fixture's process. */
    [[nodiscard]] InstanceName findOwner() const
    {
        for (int number = 2;; ++number) {
            const std::string name = "entry-" + std::to_string(number);
            Peers peers{{InstanceName{"entry-1"}, "10.0.0.9:1"}, {}};
            peers.setOwnsQueues(true);
            peers.heard(heartbeat(name), m_now);
            if (peers.owner(PoolName{"encoders"}, m_now)) {
                return InstanceName{name};
            }
        }
    }

    ServingFixture m_fixture;
    TimePoint m_now{m_fixture.now()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingPeersTest);
