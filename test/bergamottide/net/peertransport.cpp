#include "bergamottide/net/peertransport.h"
#include "bergamottide/net/codec.h"
#include "support/certificates.h"
#include "support/rununtil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

using namespace bergamottide;

namespace {

/*! @brief Time in which a refused peer would have got through several times. */
constexpr Duration refusalTime = std::chrono::milliseconds{1500};
constexpr std::uint64_t messageCount = 2000;

/*! @brief What one end has heard. */
struct Heard
{
    std::vector<std::string> up;
    std::vector<std::string> down;
    std::vector<Message> messages;

    PeerHooks hooks()
    {
        return {[this](const InstanceName &peer) { up.push_back(peer.text()); },
                [this](const InstanceName &peer) { down.push_back(peer.text()); },
                [this](const InstanceName &, Message message) {
                    messages.push_back(std::move(message));
                }};
    }

    [[nodiscard]] std::vector<std::uint64_t> pings() const
    {
        std::vector<std::uint64_t> sequences;
        for (const Message &message : messages) {
            if (const auto *ping = std::get_if<Ping>(&message)) {
                sequences.push_back(ping->sequence);
            }
        }
        return sequences;
    }
};

PeerTransportOptions optionsFor(const std::string &name, const std::string &listen)
{
    PeerTransportOptions options;
    options.listen = listen;
    options.hello.instance = InstanceName{name};
    return options;
}

} // namespace

class PeerTransportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerTransportTest);
    CPPUNIT_TEST(carriesMessagesInOrderBothWays);
    CPPUNIT_TEST(reopensOnANewConnection);
    CPPUNIT_TEST(connectsAgainAfterThePeerHasRestarted);
    CPPUNIT_TEST(refusesAnotherInstanceThanMeant);
    CPPUNIT_TEST(codecKeepsEveryField);
    CPPUNIT_TEST(speaksMutualTls);
    CPPUNIT_TEST(refusesAPeerWithoutACertificateOfTheAuthority);
    CPPUNIT_TEST_SUITE_END();

public:
    void carriesMessagesInOrderBothWays()
    {
        PeerTransport side{m_loop, optionsFor("side", "127.0.0.1:0"), m_sideHeard.hooks()};
        PeerTransport entry{m_loop, optionsFor("entry", ""), m_entryHeard.hooks()};
        connect(side, entry);
        for (std::uint64_t sequence = 0; sequence < messageCount; ++sequence) {
            entry.send(InstanceName{"side"}, Ping{sequence});
            side.send(InstanceName{"entry"}, Ping{sequence});
        }
        runUntil(
            [&] { return m_sideHeard.pings().size() == messageCount && m_entryHeard.pings().size() == messageCount; });
        std::vector<std::uint64_t> expected;
        for (std::uint64_t sequence = 0; sequence < messageCount; ++sequence) {
            expected.push_back(sequence);
        }
        CPPUNIT_ASSERT(expected == m_sideHeard.pings());
        CPPUNIT_ASSERT(expected == m_entryHeard.pings());
    }

    void reopensOnANewConnection()
    {
        PeerTransport side{m_loop, optionsFor("side", "127.0.0.1:0"), m_sideHeard.hooks()};
        PeerTransport entry{m_loop, optionsFor("entry", ""), m_entryHeard.hooks()};
        connect(side, entry);
        entry.reopen(InstanceName{"side"});
        entry.send(InstanceName{"side"}, Ping{7});
        runUntil([&] { return m_entryHeard.up.size() == 2 && !m_sideHeard.pings().empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_entryHeard.up.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_entryHeard.down.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_sideHeard.pings().at(0));
    }

    void connectsAgainAfterThePeerHasRestarted()
    {
        auto side = std::make_unique<PeerTransport>(m_loop, optionsFor("side", "127.0.0.1:0"), m_sideHeard.hooks());
        PeerTransport entry{m_loop, optionsFor("entry", ""), m_entryHeard.hooks()};
        connect(*side, entry);
        const std::string address = side->address();
        side.reset();
        runUntil([&] { return !m_entryHeard.down.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_entryHeard.down.size());
        PeerTransport restarted{m_loop, optionsFor("side", address), m_sideHeard.hooks()};
        CPPUNIT_ASSERT(restarted.listen().ok());
        runUntil([&] { return m_entryHeard.up.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_entryHeard.up.size());
    }

    void refusesAnotherInstanceThanMeant()
    {
        PeerTransport side{m_loop, optionsFor("other", "127.0.0.1:0"), m_sideHeard.hooks()};
        PeerTransport entry{m_loop, optionsFor("entry", ""), m_entryHeard.hooks()};
        CPPUNIT_ASSERT(side.listen().ok());
        entry.connect(InstanceName{"side"}, side.address());
        runUntil([&] { return !m_sideHeard.down.empty(); });
        CPPUNIT_ASSERT(!m_sideHeard.down.empty());
        CPPUNIT_ASSERT(m_entryHeard.up.empty());
    }

    void codecKeepsEveryField()
    {
        StartRun run;
        run.run = {{1, 2}, 3, 4};
        run.serial = Serial{5};
        run.incarnation = Incarnation{6};
        run.workspace = WorkspaceName{"w"};
        run.remaining = std::chrono::seconds{9};
        run.value = 2.5;
        run.body = std::string("a\0b", 3);
        run.streaming = true;
        wire::Frame frame = toFrame(run);
        const auto message = fromFrame(frame);
        const auto *back = std::get_if<StartRun>(&*message);
        CPPUNIT_ASSERT(back != nullptr);
        CPPUNIT_ASSERT(back->run == run.run && back->serial == run.serial && back->incarnation == run.incarnation);
        CPPUNIT_ASSERT(back->workspace == run.workspace && back->remaining == run.remaining);
        CPPUNIT_ASSERT(back->value == run.value && back->body == run.body && back->streaming);
        wire::Frame unknown;
        unknown.mutable_run_progress()->set_state(99);
        CPPUNIT_ASSERT(!fromFrame(unknown));
    }

    void speaksMutualTls()
    {
        test::Certificates certificates;
        PeerTransportOptions sideOptions = optionsFor("side", "127.0.0.1:0");
        PeerTransportOptions entryOptions = optionsFor("entry", "");
        sideOptions.tls = certificates.files();
        entryOptions.tls = certificates.files();
        PeerTransport side{m_loop, sideOptions, m_sideHeard.hooks()};
        PeerTransport entry{m_loop, entryOptions, m_entryHeard.hooks()};
        connect(side, entry);
    }

    void refusesAPeerWithoutACertificateOfTheAuthority()
    {
        test::Certificates certificates;
        test::Certificates others;
        PeerTransportOptions sideOptions = optionsFor("side", "127.0.0.1:0");
        sideOptions.tls = certificates.files();
        PeerTransportOptions entryOptions = optionsFor("entry", "");
        entryOptions.tls = others.files();
        entryOptions.tls.authority = certificates.files().authority;
        PeerTransport side{m_loop, sideOptions, m_sideHeard.hooks()};
        PeerTransport entry{m_loop, entryOptions, m_entryHeard.hooks()};
        PeerTransport plain{m_loop, optionsFor("plain", ""), m_entryHeard.hooks()};
        CPPUNIT_ASSERT(side.listen().ok());
        entry.connect(InstanceName{"side"}, side.address());
        plain.connect(InstanceName{"side"}, side.address());
        test::runFor(m_loop, refusalTime);
        CPPUNIT_ASSERT(m_entryHeard.up.empty());
        CPPUNIT_ASSERT(m_sideHeard.up.empty());
    }

private:
    void connect(PeerTransport &side, PeerTransport &entry)
    {
        CPPUNIT_ASSERT(side.listen().ok());
        entry.connect(InstanceName{"side"}, side.address());
        runUntil([&] { return !m_entryHeard.up.empty() && !m_sideHeard.up.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"side"}, m_entryHeard.up.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string{"entry"}, m_sideHeard.up.at(0));
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        CPPUNIT_ASSERT(test::runUntil(m_loop, condition));
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    Heard m_sideHeard;
    Heard m_entryHeard;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);
