#include "bergamottide/gossip/roster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;

/*! @brief Versions of a roster, and what each kind of peer is sent. */
class RosterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RosterTest);
    CPPUNIT_TEST(onlyChangesAreSent);
    CPPUNIT_TEST(removedPeerIsSentAsRemoved);
    CPPUNIT_TEST(returnedPeerIsListedAgain);
    CPPUNIT_TEST(relaysAreSentDirectPeersOnly);
    CPPUNIT_TEST(versionsOfOtherKindsAreNotUsed);
    CPPUNIT_TEST(versionsOfAnEarlierStartAreNotUsed);
    CPPUNIT_TEST(discardedRemovalsLeadToCompleteRoster);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyChangesAreSent()
    {
        update({"a", "b"});
        const std::uint64_t since = m_roster.version(RosterKind::Complete);
        CPPUNIT_ASSERT_EQUAL(since, m_roster.sendSince(RosterKind::Complete, since));
        update({"a", "b", "c"});
        CPPUNIT_ASSERT(m_roster.version(RosterKind::Complete) > since);
        CPPUNIT_ASSERT_EQUAL(std::string{"c"}, changes(RosterKind::Complete, since));
        CPPUNIT_ASSERT_EQUAL(std::string{"a b c"}, changes(RosterKind::Complete, 0));
        const std::uint64_t unchanged = m_roster.version(RosterKind::Complete);
        update({"a", "b", "c"});
        CPPUNIT_ASSERT_EQUAL(unchanged, m_roster.version(RosterKind::Complete));
    }

    void removedPeerIsSentAsRemoved()
    {
        update({"a", "b", "c"});
        const std::uint64_t since = m_roster.version(RosterKind::Complete);
        update({"a", "c"});
        CPPUNIT_ASSERT_EQUAL(std::string{"-b"}, changes(RosterKind::Complete, since));
        CPPUNIT_ASSERT_EQUAL(std::string{"a c"}, changes(RosterKind::Complete, 0));
    }

    void returnedPeerIsListedAgain()
    {
        update({"a", "b", "c"});
        update({"a", "c"});
        const std::uint64_t since = m_roster.version(RosterKind::Complete);
        update({"a", "b", "c"});
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, changes(RosterKind::Complete, since));
    }

    void relaysAreSentDirectPeersOnly()
    {
        update({"a", "b"}, {"a"});
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, changes(RosterKind::Direct, 0));
        const std::uint64_t since = m_roster.version(RosterKind::Direct);
        update({"a", "b"}, {"b"});
        CPPUNIT_ASSERT_EQUAL(std::string{"-a b"}, changes(RosterKind::Direct, since));
    }

    void versionsOfOtherKindsAreNotUsed()
    {
        update({"a"});
        const std::uint64_t direct = m_roster.version(RosterKind::Direct);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_roster.sendSince(RosterKind::Complete, direct));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_roster.sendSince(RosterKind::Introduction, direct));
    }

    void versionsOfAnEarlierStartAreNotUsed()
    {
        update({"a"});
        Roster restarted{77'000'000};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             restarted.sendSince(RosterKind::Direct, m_roster.version(RosterKind::Direct)));
    }

    void discardedRemovalsLeadToCompleteRoster()
    {
        update({"a", "b", "c", "d"});
        const std::uint64_t since = m_roster.version(RosterKind::Complete);
        update({"a"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_roster.sendSince(RosterKind::Complete, since));
        const std::uint64_t latest = m_roster.version(RosterKind::Complete);
        CPPUNIT_ASSERT_EQUAL(latest, m_roster.sendSince(RosterKind::Complete, latest));
    }

private:
    void update(const std::vector<std::string> &live)
    {
        update(live, live);
    }

    void update(const std::vector<std::string> &live, const std::vector<std::string> &direct)
    {
        std::vector<PeerInfo> infos;
        infos.reserve(live.size());
        std::vector<Roster::LivePeer> peers;
        for (const std::string &name : live) {
            infos.push_back({InstanceName{name}, name + ":1"});
            peers.push_back({&infos.back(), true, std::ranges::find(direct, name) != direct.end()});
        }
        m_roster.update(peers);
    }

    [[nodiscard]] std::string changes(RosterKind kind, std::uint64_t since) const
    {
        std::string out;
        for (const RosterEntry &entry : m_roster.changesSince(kind, since)) {
            out += (out.empty() ? "" : " ") + std::string{entry.isRemoved ? "-" : ""} + entry.peer.instance.text();
        }
        return out;
    }

    Roster m_roster{1000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RosterTest);
