#include "bergamottide/membership/configdistribution.h"

#include "bergamottide/config/section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace bergamottide;

namespace {

constexpr Duration second = std::chrono::seconds{1};
/*! @brief Share of one zone in the rate limit of the configuration service. */
constexpr std::uint64_t maxReadsPerSecond = 16;

Document documentOf(std::uint64_t version)
{
    Document document;
    document.version = version;
    const PoolName pool{"services"};
    document.pools[pool] = {.name = pool, .kind = PoolKind::Service};
    const PipelineName pipeline{"p"};
    document.pipelines[pipeline] = {pipeline, {{.name = StageName{"s"}, .pool = pool}}};
    for (int number = 0; number < 5; ++number) {
        const WorkspaceName name{"w" + std::to_string(number)};
        document.workspaces[name] = {.name = name, .maxInProgress = static_cast<std::uint32_t>(version)};
    }
    return document;
}

/*! @brief Simulates a zone with lost, delayed and reordered messages and a configuration service that may be stale. */
class Zone
{
public:
    Zone(std::size_t count, std::uint64_t seed, double loss)
        : m_random{seed}
        , m_loss{loss}
    {
        auto view = std::make_shared<InstanceView>();
        for (std::size_t index = 0; index < count; ++index) {
            const InstanceName name{"i" + std::to_string(index)};
            view->instances[name] = {.name = name, .role = index < 3 ? Role::Entry : Role::Sidecar};
        }
        m_view = view;
        for (const auto &[name, instance] : m_view->instances) {
            start(name);
        }
    }

    void start(const InstanceName &name)
    {
        m_processes[name] = std::make_unique<ConfigDistribution>(ConfigIdentity{.instance = name, .seed = m_random()},
                                                                 DistributionPolicy{}, m_now);
        m_activeVersion[name] = 0;
        apply(name, ViewChanged{m_view});
    }

    void stop(const InstanceName &name)
    {
        m_processes.erase(name);
    }

    void publish(std::uint64_t version)
    {
        m_published = version;
    }

    void setServiceDown(bool down)
    {
        m_isServiceDown = down;
    }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (m_now < end) {
            m_now += std::chrono::milliseconds{50};
            deliver();
            for (const auto &[name, instance] : m_view->instances) {
                const auto process = m_processes.find(name);
                if (process != m_processes.end() && process->second->nextWakeup() <= m_now) {
                    apply(name, Tick{});
                }
            }
        }
    }

    [[nodiscard]] std::size_t countWithVersion(std::uint64_t version) const
    {
        std::size_t count = 0;
        for (const auto &[name, process] : m_processes) {
            count += process->current() && process->current()->version() == version ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_processes.size();
    }

    [[nodiscard]] ConfigDistribution &at(const std::string &name)
    {
        return *m_processes.at(InstanceName{name});
    }

    std::uint64_t reads{};
    bool hasReverted{};
    std::size_t conflicts{};

private:
    struct Delivery
    {
        InstanceName to;
        ConfigEvent event;
    };

    void apply(const InstanceName &to, const ConfigEvent &event)
    {
        const auto process = m_processes.find(to);
        if (process == m_processes.end()) {
            return;
        }
        for (const ConfigEffect &effect : process->second->apply(event, m_now)) {
            execute(to, effect);
        }
    }

    void execute(const InstanceName &from, const ConfigEffect &effect)
    {
        if (const auto *sent = std::get_if<SendMessage>(&effect)) {
            send(sent->to, PeerMessage{from, sent->message});
        } else if (std::holds_alternative<ReadConfig>(effect)) {
            ++reads;
            answer(from, std::get<ReadConfig>(effect).newerThan);
        } else if (const auto *changed = std::get_if<ConfigChanged>(&effect)) {
            hasReverted = hasReverted || changed->document->version <= m_activeVersion[from];
            m_activeVersion[from] = changed->document->version;
        } else if (const auto *record = std::get_if<AuditRecord>(&effect)) {
            conflicts += record->kind == AuditKind::ConfigRefused ? 1 : 0;
        }
    }

    void send(const InstanceName &to, ConfigEvent event)
    {
        if (std::uniform_real_distribution{}(m_random) < m_loss) {
            return;
        }
        const auto delay = std::chrono::milliseconds{m_random() % 120};
        m_inFlight.emplace(m_now + delay, Delivery{to, std::move(event)});
    }

    void answer(const InstanceName &to, std::uint64_t after)
    {
        const auto due = m_now + std::chrono::milliseconds{5};
        if (m_isServiceDown) {
            m_inFlight.emplace(due, Delivery{to, ConfigReadFailed{}});
            return;
        }
        // One read in four is stale by up to three versions.
        const std::uint64_t lag = m_random() % 4 == 0 ? m_random() % 4 : 0;
        const std::uint64_t version = m_published > lag ? m_published - lag : 0;
        if (version == 0 || version == after) {
            m_inFlight.emplace(due, Delivery{to, ConfigUnchanged{}});
            return;
        }
        m_inFlight.emplace(due, Delivery{to, ConfigDocumentRead{writeDocument(documentOf(version))}});
    }

    void deliver()
    {
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
            const Delivery delivery = m_inFlight.begin()->second;
            m_inFlight.erase(m_inFlight.begin());
            apply(delivery.to, delivery.event);
        }
    }

    std::mt19937_64 m_random;
    double m_loss;
    TimePoint m_now{second};
    std::shared_ptr<const InstanceView> m_view;
    std::map<InstanceName, std::unique_ptr<ConfigDistribution>> m_processes;
    std::map<InstanceName, std::uint64_t> m_activeVersion;
    std::multimap<TimePoint, Delivery> m_inFlight;
    std::uint64_t m_published{};
    bool m_isServiceDown{};
};

} // namespace

class ConfigDistributionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigDistributionTest);
    CPPUNIT_TEST(orderOfTwoProcessesIgnoresOthers);
    CPPUNIT_TEST(changeIsActiveEverywhereWithinSeconds);
    CPPUNIT_TEST(changeBypassesFailedParents);
    CPPUNIT_TEST(startingProcessPrefersPeersToStaleService);
    CPPUNIT_TEST(processWithoutPeersIsUnconfirmed);
    CPPUNIT_TEST(isolatedProcessReadsAtLowRate);
    CPPUNIT_TEST(conflictIsReportedOnce);
    CPPUNIT_TEST(propertyVersionsNeverDecreaseAndAllConverge);
    CPPUNIT_TEST_SUITE_END();

public:
    void orderOfTwoProcessesIgnoresOthers()
    {
        InstanceView whole;
        for (int index = 0; index < 30; ++index) {
            const InstanceName name{"i" + std::to_string(index)};
            whole.instances[name] = {.name = name, .role = index % 3 == 0 ? Role::Entry : Role::Sidecar};
        }
        const ZoneOrder all{whole, {}, {}};
        for (int skipped = 0; skipped < 30; ++skipped) {
            InstanceView part = whole;
            part.instances.erase(InstanceName{"i" + std::to_string(skipped)});
            std::vector<InstanceName> expected = all.names();
            std::erase(expected, InstanceName{"i" + std::to_string(skipped)});
            CPPUNIT_ASSERT((ZoneOrder{part, {}, {}}.names()) == expected);
        }
        for (std::size_t position = 1; position < 30; ++position) {
            for (const InstanceName &parent : all.parents(position, 2)) {
                CPPUNIT_ASSERT(all.position(parent) < position);
            }
        }
    }

    void changeIsActiveEverywhereWithinSeconds()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Zone zone{140, seed, 0.01};
            zone.publish(1);
            zone.run(20 * second);
            CPPUNIT_ASSERT_EQUAL(zone.size(), zone.countWithVersion(1));
            const std::uint64_t before = zone.reads;
            for (std::uint64_t version = 2; version <= 5; ++version) {
                zone.publish(version);
                zone.run(11 * second);
                CPPUNIT_ASSERT_EQUAL(zone.size(), zone.countWithVersion(version));
            }
            CPPUNIT_ASSERT(zone.reads - before < std::uint64_t{44} * maxReadsPerSecond);
        }
    }

    void changeBypassesFailedParents()
    {
        Zone zone{40, 2, 0.0};
        zone.publish(1);
        zone.run(20 * second);
        // The three processes with the role Entry come first in the order, so these two have children.
        zone.stop(InstanceName{"i0"});
        zone.stop(InstanceName{"i1"});
        zone.publish(2);
        zone.run(11 * second);
        CPPUNIT_ASSERT_EQUAL(zone.size(), zone.countWithVersion(2));
    }

    void startingProcessPrefersPeersToStaleService()
    {
        Zone zone{6, 3, 0.0};
        zone.publish(9);
        zone.run(20 * second);
        zone.publish(5);
        zone.stop(InstanceName{"i4"});
        zone.start(InstanceName{"i4"});
        zone.run(5 * second);
        CPPUNIT_ASSERT_EQUAL(zone.size(), zone.countWithVersion(9));
        CPPUNIT_ASSERT(!zone.at("i4").status().unconfirmed);
        CPPUNIT_ASSERT(!zone.hasReverted);
    }

    void processWithoutPeersIsUnconfirmed()
    {
        Zone zone{1, 4, 0.0};
        zone.publish(3);
        zone.run(5 * second);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.countWithVersion(3));
        CPPUNIT_ASSERT(zone.at("i0").status().unconfirmed);
    }

    void isolatedProcessReadsAtLowRate()
    {
        ConfigDistribution process{{.instance = InstanceName{"z"}, .seed = 1}, {.readers = 1}, TimePoint{}};
        auto view = std::make_shared<InstanceView>();
        for (const std::string name : {"a", "b", "z"}) {
            view->instances[InstanceName{name}] = {.name = InstanceName{name},
                                                   .role = name == "z" ? Role::Sidecar : Role::Entry};
        }
        std::size_t reads = 0;
        TimePoint now{};
        ConfigEffects effects = process.apply(ViewChanged{view}, now);
        while (now < TimePoint{600 * second}) {
            for (const ConfigEffect &effect : effects) {
                if (std::holds_alternative<ReadConfig>(effect)) {
                    ++reads;
                    (void)process.apply(ConfigDocumentRead{writeDocument(documentOf(1))}, now);
                }
            }
            now = std::max(process.nextWakeup(), now + std::chrono::milliseconds{1});
            effects = process.apply(Tick{}, now);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(reads), reads >= 15 && reads <= 30);
        CPPUNIT_ASSERT(process.current());
    }

    void conflictIsReportedOnce()
    {
        ConfigDistribution process{{.instance = InstanceName{"a"}}, {}, TimePoint{}};
        (void)process.apply(ConfigDocumentRead{writeDocument(documentOf(4))}, TimePoint{});
        Document other = documentOf(4);
        other.policy.queueLimit = 7;
        std::size_t reports = 0;
        for (int count = 0; count < 3; ++count) {
            for (const ConfigEffect &effect :
                 process.apply(ConfigDocumentRead{writeDocument(other)}, TimePoint{second})) {
                const auto *record = std::get_if<AuditRecord>(&effect);
                reports += record != nullptr && record->kind == AuditKind::ConfigRefused ? 1 : 0;
                CPPUNIT_ASSERT(!std::holds_alternative<ConfigChanged>(effect));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports);
        CPPUNIT_ASSERT_EQUAL(documentDigest(documentOf(4)), process.status().digest);
    }

    void propertyVersionsNeverDecreaseAndAllConverge()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Zone zone{20, seed, 0.2};
            std::mt19937_64 random{seed};
            for (std::uint64_t version = 1; version <= 20; ++version) {
                zone.publish(version);
                zone.setServiceDown(random() % 4 == 0);
                const InstanceName victim{"i" + std::to_string(random() % 20)};
                zone.stop(victim);
                zone.run(std::chrono::milliseconds{random() % 3000});
                zone.start(victim);
            }
            zone.setServiceDown(false);
            zone.run(60 * second);
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, !zone.hasReverted);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{0}, zone.conflicts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, zone.size(), zone.countWithVersion(20));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDistributionTest);
