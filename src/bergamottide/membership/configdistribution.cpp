#include "bergamottide/membership/configdistribution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Period of the gauges of version and age. */
constexpr Duration observePeriod = std::chrono::seconds{5};

/*! @brief Longest time drawn, in means; one draw in fifty is cut by it. */
constexpr double longestDraw = 4.0;

std::string digestText(std::uint64_t digest)
{
    return RequestId{0, digest}.text().substr(16);
}

std::string joined(const std::vector<std::string> &texts)
{
    std::string out;
    for (const std::string &text : texts) {
        out.append(out.empty() ? "" : ", ").append(text);
    }
    return out;
}

} // namespace

ConfigDistribution::ConfigDistribution(ConfigIdentity identity, DistributionPolicy policy, TimePoint now)
    : m_identity{std::move(identity)}
    , m_policy{policy}
    , m_subscribers{policy.subscribers}
    , m_now{now}
    , m_started{now}
    , m_observeAt{now + observePeriod}
    , m_random{m_identity.seed}
{
}

ConfigEffects ConfigDistribution::apply(const ConfigEvent &event, TimePoint now)
{
    m_now = now;
    std::visit([this](const auto &one) { handle(one); }, event);
    updateReading();
    serve();
    return std::exchange(m_effects, {});
}

TimePoint ConfigDistribution::nextWakeup() const
{
    TimePoint next = m_observeAt;
    if (hasParent()) {
        next = std::min({next, m_renewAt, m_parentHeard + m_policy.parentSilence});
    }
    for (const auto &due : {m_readAt, m_readGivenUp}) {
        next = due ? std::min(next, *due) : next;
    }
    const auto due = m_subscribers.nextDue(m_store);
    return std::max(m_now, due ? std::min(next, *due) : next);
}

Duration ConfigDistribution::age(TimePoint now) const
{
    return now - m_confirmed.value_or(m_started);
}

ConfigStatus ConfigDistribution::status() const
{
    ConfigStatus status;
    status.version = m_store.version();
    status.digest = m_store.digest();
    status.unconfirmed = !m_peerAnswered;
    status.parent = hasParent() ? m_parents[m_parent] : InstanceName{};
    status.subscribers = m_subscribers.size();
    status.reads = m_reads;
    status.refusal = m_refusal;
    return status;
}

void ConfigDistribution::handle(const PeerMessage &event)
{
    if (const auto *asked = std::get_if<ConfigSubscribe>(&event.message)) {
        receive(event.from, *asked);
    } else if (const auto *delta = std::get_if<ConfigDelta>(&event.message)) {
        receive(event.from, *delta);
    } else if (const auto *hello = std::get_if<Hello>(&event.message)) {
        receive(event.from, *hello);
    }
}

void ConfigDistribution::handle(const PeerDown &event)
{
    m_subscribers.remove(event.peer);
    if (hasParent() && m_parents[m_parent] == event.peer) {
        nextParent();
    }
}

void ConfigDistribution::handle(const ViewChanged &event)
{
    const InstanceName before = hasParent() ? m_parents[m_parent] : InstanceName{};
    m_order = ZoneOrder{*event.view, m_identity.region, m_identity.zone};
    m_position = m_order.position(m_identity.instance);
    // A process that the lagging list does not name yet takes the place after the last one.
    m_parents = m_order.parents(m_position.value_or(m_order.names().size()), m_policy.arity);
    if (m_parents.empty()) {
        m_parents = firstOfOtherZones(*event.view, m_identity.region, m_identity.zone);
    }
    const auto same = std::find(m_parents.begin(), m_parents.end(), before);
    // The present parent is kept while it may be one: a change of the list shall not move the whole zone.
    m_parent = same == m_parents.end() ? 0 : static_cast<std::size_t>(same - m_parents.begin());
    if (hasParent() && m_parents[m_parent] != before) {
        followParent();
    }
    if (!hasParent()) {
        m_cutOff = false;
    }
}

void ConfigDistribution::handle(const ServiceDocument &event)
{
    const Verdict verdict = m_store.offerText(event.text);
    if (verdict.acceptance == Acceptance::Accepted || verdict.acceptance == Acceptance::Same) {
        m_confirmed = m_now;
    }
    judge(verdict, "configuration service");
    if (verdict.acceptance == Acceptance::Accepted) {
        announce();
    }
    readEnded();
}

void ConfigDistribution::handle(const ServiceUnchanged &)
{
    m_confirmed = m_now;
    readEnded();
}

void ConfigDistribution::handle(const ServiceFailed &)
{
    readEnded();
}

void ConfigDistribution::handle(const Tick &)
{
    if (hasParent() && m_now >= m_parentHeard + m_policy.parentSilence) {
        nextParent();
    }
    if (hasParent() && m_now >= m_renewAt) {
        subscribe(m_parents[m_parent], m_store.version(), m_store.digest());
    }
    if (m_now >= m_observeAt) {
        m_observeAt = m_now + observePeriod;
        const double seconds = std::chrono::duration<double>(age(m_now)).count();
        m_effects.emplace_back(Observe{Metric::ConfigAgeSeconds, {}, seconds});
        m_effects.emplace_back(Observe{Metric::ConfigVersion, {}, static_cast<double>(m_store.version())});
    }
}

void ConfigDistribution::receive(const InstanceName &from, const ConfigSubscribe &asked)
{
    m_subscribers.add(from, asked, m_now);
    // A child that came to something newer on another way is asked for it in turn.
    if (asked.version > m_store.version()) {
        subscribe(from, m_store.version(), m_store.digest());
    }
}

void ConfigDistribution::receive(const InstanceName &from, const ConfigDelta &delta)
{
    if (hasParent() && m_parents[m_parent] == from) {
        m_parentHeard = m_now;
        m_cutOff = false;
    }
    if (delta.version == 0) {
        return;
    }
    m_peerAnswered = true;
    const Verdict verdict = m_store.offerDelta(delta);
    judge(verdict, from.text());
    const bool fromParent = hasParent() && m_parents[m_parent] == from;
    // What came from below goes up, and a parent that is found behind is told so.
    if (fromParent ? verdict.acceptance == Acceptance::Older : verdict.acceptance == Acceptance::Accepted) {
        announce();
    }
    if (verdict.acceptance == Acceptance::Mismatched) {
        // A delta was lost on the way: what is in force here is the base to start from.
        subscribe(from, m_store.version(), m_store.digest());
    }
    if (delta.version == m_store.version() && delta.digest == m_store.digest()) {
        const TimePoint confirmed = m_now - std::max(delta.sourceAge, Duration::zero());
        m_confirmed = std::max(m_confirmed.value_or(confirmed), confirmed);
    }
}

void ConfigDistribution::receive(const InstanceName &from, const Hello &hello)
{
    if (hello.configVersion > m_store.version()) {
        subscribe(from, m_store.version(), m_store.digest());
    }
}

bool ConfigDistribution::isReader() const
{
    return !m_position || *m_position < m_policy.readers;
}

bool ConfigDistribution::mayRead() const
{
    return m_order.names().empty() || isReader() || m_cutOff;
}

Duration ConfigDistribution::readPeriod() const
{
    if (m_cutOff && !isReader()) {
        return m_policy.cutOffRead;
    }
    const auto readers = std::min(m_policy.readers, m_order.names().size());
    return std::max(m_policy.leastRead, m_policy.zoneReads * static_cast<Duration::rep>(readers));
}

bool ConfigDistribution::hasParent() const
{
    return !m_parents.empty();
}

void ConfigDistribution::followParent()
{
    m_parentHeard = m_now;
    subscribe(m_parents[m_parent], m_store.version(), m_store.digest());
}

void ConfigDistribution::nextParent()
{
    m_parent = (m_parent + 1) % m_parents.size();
    if (m_parent == 0 && !m_cutOff) {
        m_cutOff = true;
        // Without any document nothing can be served, so the first read does not wait long.
        m_readAt = m_now + drawn(m_store.current() ? readPeriod() : m_policy.startWait);
    }
    followParent();
}

void ConfigDistribution::subscribe(const InstanceName &to, std::uint64_t version, std::uint64_t digest)
{
    const auto last = m_subscribedAt.find(to);
    if (last != m_subscribedAt.end() && m_now < last->second + m_policy.resubscribe) {
        m_renewAt = std::min(m_renewAt, last->second + m_policy.resubscribe);
        return;
    }
    std::erase_if(m_subscribedAt, [this](const auto &one) { return one.second + m_policy.renewal < m_now; });
    m_subscribedAt[to] = m_now;
    if (hasParent() && m_parents[m_parent] == to) {
        m_renewAt = m_now + m_policy.renewal;
    }
    m_effects.emplace_back(SendMessage{to, ConfigSubscribe{version, digest}});
}

void ConfigDistribution::judge(const Verdict &verdict, const std::string &cause)
{
    if (verdict.acceptance == Acceptance::Accepted) {
        m_refusal.clear();
        const std::string version = std::to_string(verdict.version);
        m_effects.emplace_back(ConfigChanged{m_store.current()->document, m_store.digest()});
        m_effects.emplace_back(AuditRecord{AuditKind::ConfigAccepted, "version " + version, "from " + cause,
                                           "digest " + digestText(verdict.digest) + ": " + joined(verdict.changed)});
        m_effects.emplace_back(
            LogLine{Severity::Info,
                    Part::Config,
                    "Document is in force.",
                    {{"version", version}, {"digest", digestText(verdict.digest)}, {"from", cause}}});
        m_effects.emplace_back(Observe{Metric::ConfigVersion, {}, static_cast<double>(verdict.version)});
        return;
    }
    if (verdict.acceptance == Acceptance::Invalid || verdict.acceptance == Acceptance::Conflicting) {
        refuse(verdict, cause);
    }
}

void ConfigDistribution::refuse(const Verdict &verdict, const std::string &cause)
{
    std::string detail;
    for (const ConfigIssue &issue : verdict.issues) {
        detail.append(detail.empty() ? "" : "; ").append(issueText(issue));
    }
    // The same document is offered again and again; one alarm is enough.
    const std::uint64_t mark = sectionDigest(detail) ^ verdict.digest ^ verdict.version;
    if (mark == m_alarmed) {
        return;
    }
    m_alarmed = mark;
    m_refusal = verdict.issues;
    const std::string reason{enumName(verdict.acceptance)};
    m_effects.emplace_back(Observe{Metric::ConfigRefusedTotal, {reason}, 1});
    m_effects.emplace_back(AuditRecord{AuditKind::ConfigRefused, "version " + std::to_string(verdict.version),
                                       "from " + cause,
                                       reason + " digest " + digestText(verdict.digest) + ' ' + detail});
    m_effects.emplace_back(LogLine{Severity::Error,
                                   Part::Config,
                                   "Document is refused, the one in force stays.",
                                   {{"version", std::to_string(verdict.version)},
                                    {"reason", reason},
                                    {"from", cause},
                                    {"issues", std::to_string(verdict.issues.size())}}});
}

void ConfigDistribution::readEnded()
{
    m_readGivenUp.reset();
}

void ConfigDistribution::updateReading()
{
    if (m_readGivenUp && m_now >= *m_readGivenUp) {
        readEnded();
    }
    if (!mayRead()) {
        m_readAt.reset();
        return;
    }
    if (!m_readAt) {
        // Peers are asked first: the service may be stale for long.
        const TimePoint start = m_started + m_policy.startWait;
        m_readAt = m_store.current() ? m_now + drawn(readPeriod()) : std::max(m_now, start);
    }
    if (m_readGivenUp || m_now < *m_readAt) {
        return;
    }
    m_readAt = m_now + drawn(readPeriod());
    m_readGivenUp = m_now + m_policy.readTimeout;
    ++m_reads;
    m_effects.emplace_back(ReadService{m_store.version()});
}

void ConfigDistribution::announce()
{
    if (hasParent()) {
        subscribe(m_parents[m_parent], m_store.version(), m_store.digest());
    }
}

void ConfigDistribution::serve()
{
    m_subscribers.serve(m_store, age(m_now), m_now, [this](const InstanceName &to, ConfigDelta delta) {
        m_effects.emplace_back(SendMessage{to, std::move(delta)});
    });
}

Duration ConfigDistribution::drawn(Duration mean)
{
    // Steps of the splitmix64 generator.
    m_random += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_random;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    mixed ^= mixed >> 31U;
    const double uniform = (static_cast<double>(mixed >> 11U) + 1.0) * 0x1.0p-53;
    const double factor = std::min(-std::log(uniform), longestDraw);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>{mean} * factor);
}

} // namespace bergamottide
