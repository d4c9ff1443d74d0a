#include "bergamottide/membership/configdistribution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief Interval at which the gauges of version and age are updated. */
constexpr Duration metricsInterval = std::chrono::seconds{5};

/*! @brief Upper bound of a random delay, as a multiple of its mean. */
constexpr double maxDelayFactor = 4.0;

std::string formatDigest(std::uint64_t digest)
{
    return RequestId{0, digest}.text().substr(16);
}

std::string join(const std::vector<std::string> &texts)
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
    , m_startedAt{now}
    , m_metricsAt{now + metricsInterval}
    , m_randomState{m_identity.seed}
{
}

ConfigEffects ConfigDistribution::apply(const ConfigEvent &event, TimePoint now)
{
    m_now = now;
    std::visit([this](const auto &alternative) { handle(alternative); }, event);
    scheduleRead();
    updateSubscribers();
    return std::exchange(m_effects, {});
}

TimePoint ConfigDistribution::nextWakeup() const
{
    TimePoint next = m_metricsAt;
    if (hasParent()) {
        next = std::min({next, m_renewAt, m_parentHeardAt + m_policy.parentTimeout});
    }
    for (const auto &due : {m_readAt, m_readTimeoutAt}) {
        next = due ? std::min(next, *due) : next;
    }
    const auto due = m_subscribers.nextDue(m_store);
    return std::max(m_now, due ? std::min(next, *due) : next);
}

Duration ConfigDistribution::age(TimePoint now) const
{
    return now - m_confirmedAt.value_or(m_startedAt);
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
    status.refusalIssues = m_refusal;
    return status;
}

void ConfigDistribution::handle(const PeerMessage &event)
{
    if (const auto *request = std::get_if<ConfigSubscribe>(&event.message)) {
        receive(event.from, *request);
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
        switchParent();
    }
}

void ConfigDistribution::handle(const ViewChanged &event)
{
    const InstanceName before = hasParent() ? m_parents[m_parent] : InstanceName{};
    m_zoneOrder = ZoneOrder{*event.view, m_identity.region, m_identity.zone};
    m_position = m_zoneOrder.position(m_identity.instance);
    // A process that is not listed yet takes the position after the last one.
    m_parents = m_zoneOrder.parents(m_position.value_or(m_zoneOrder.names().size()), m_policy.arity);
    if (m_parents.empty()) {
        m_parents = rootsOfOtherZones(*event.view, m_identity.region, m_identity.zone);
    }
    const auto kept = std::find(m_parents.begin(), m_parents.end(), before);
    // The current parent is kept while it is a candidate, so that a change of the list does not restructure the tree.
    m_parent = kept == m_parents.end() ? 0 : static_cast<std::size_t>(kept - m_parents.begin());
    if (hasParent() && m_parents[m_parent] != before) {
        subscribeToParent();
    }
    if (!hasParent()) {
        m_isIsolated = false;
    }
}

void ConfigDistribution::handle(const ConfigDocumentRead &event)
{
    const Verdict verdict = m_store.offerText(event.text);
    if (verdict.acceptance == Acceptance::Accepted || verdict.acceptance == Acceptance::Same) {
        m_confirmedAt = m_now;
    }
    reportVerdict(verdict, "configuration service");
    if (verdict.acceptance == Acceptance::Accepted) {
        notifyParent();
    }
    finishRead();
}

void ConfigDistribution::handle(const ConfigUnchanged &)
{
    m_confirmedAt = m_now;
    finishRead();
}

void ConfigDistribution::handle(const ConfigReadFailed &)
{
    finishRead();
}

void ConfigDistribution::handle(const Tick &)
{
    if (hasParent() && m_now >= m_parentHeardAt + m_policy.parentTimeout) {
        switchParent();
    }
    if (hasParent() && m_now >= m_renewAt) {
        subscribe(m_parents[m_parent], m_store.version(), m_store.digest());
    }
    if (m_now >= m_metricsAt) {
        m_metricsAt = m_now + metricsInterval;
        const double seconds = std::chrono::duration<double>(age(m_now)).count();
        m_effects.emplace_back(Observe{Metric::ConfigAgeSeconds, {}, seconds});
        m_effects.emplace_back(Observe{Metric::ConfigVersion, {}, static_cast<double>(m_store.version())});
    }
}

void ConfigDistribution::receive(const InstanceName &from, const ConfigSubscribe &request)
{
    m_subscribers.add(from, request, m_now);
    // A child that has a newer document from elsewhere becomes the source for this process.
    if (request.version > m_store.version()) {
        subscribe(from, m_store.version(), m_store.digest());
    }
}

void ConfigDistribution::receive(const InstanceName &from, const ConfigDelta &delta)
{
    if (hasParent() && m_parents[m_parent] == from) {
        m_parentHeardAt = m_now;
        m_isIsolated = false;
    }
    if (delta.version == 0) {
        return;
    }
    m_peerAnswered = true;
    const Verdict verdict = m_store.offerDelta(delta);
    reportVerdict(verdict, from.text());
    const bool fromParent = hasParent() && m_parents[m_parent] == from;
    // Documents from children propagate upwards, and a parent that lags behind is notified.
    if (fromParent ? verdict.acceptance == Acceptance::Older : verdict.acceptance == Acceptance::Accepted) {
        notifyParent();
    }
    if (verdict.acceptance == Acceptance::Mismatched) {
        // An earlier delta was lost: request one that is based on the active document.
        subscribe(from, m_store.version(), m_store.digest());
    }
    if (delta.version == m_store.version() && delta.digest == m_store.digest()) {
        const TimePoint confirmed = m_now - std::max(delta.sourceAge, Duration::zero());
        m_confirmedAt = std::max(m_confirmedAt.value_or(confirmed), confirmed);
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
    return m_zoneOrder.names().empty() || isReader() || m_isIsolated;
}

Duration ConfigDistribution::readInterval() const
{
    if (m_isIsolated && !isReader()) {
        return m_policy.isolatedReadInterval;
    }
    const auto readers = std::min(m_policy.readers, m_zoneOrder.names().size());
    return std::max(m_policy.minReadInterval, m_policy.zoneReadInterval * static_cast<Duration::rep>(readers));
}

bool ConfigDistribution::hasParent() const
{
    return !m_parents.empty();
}

void ConfigDistribution::subscribeToParent()
{
    m_parentHeardAt = m_now;
    subscribe(m_parents[m_parent], m_store.version(), m_store.digest());
}

void ConfigDistribution::switchParent()
{
    m_parent = (m_parent + 1) % m_parents.size();
    if (m_parent == 0 && !m_isIsolated) {
        m_isIsolated = true;
        // Without a document nothing can be served, so the first read uses a short delay.
        m_readAt = m_now + drawDelay(m_store.current() ? readInterval() : m_policy.peerOnlyPeriod);
    }
    subscribeToParent();
}

void ConfigDistribution::subscribe(const InstanceName &to, std::uint64_t version, std::uint64_t digest)
{
    const auto last = m_subscribedAt.find(to);
    if (last != m_subscribedAt.end() && m_now < last->second + m_policy.minSubscribeInterval) {
        m_renewAt = std::min(m_renewAt, last->second + m_policy.minSubscribeInterval);
        return;
    }
    std::erase_if(m_subscribedAt, [this](const auto &entry) { return entry.second + m_policy.renewInterval < m_now; });
    m_subscribedAt[to] = m_now;
    if (hasParent() && m_parents[m_parent] == to) {
        m_renewAt = m_now + m_policy.renewInterval;
    }
    m_effects.emplace_back(SendMessage{to, ConfigSubscribe{version, digest}});
}

void ConfigDistribution::reportVerdict(const Verdict &verdict, const std::string &source)
{
    if (verdict.acceptance == Acceptance::Accepted) {
        m_refusal.clear();
        const std::string version = std::to_string(verdict.version);
        m_effects.emplace_back(ConfigChanged{m_store.current()->document, m_store.digest()});
        m_effects.emplace_back(AuditRecord{AuditKind::ConfigAccepted, "version " + version, "from " + source,
                                           "digest " + formatDigest(verdict.digest) + ": " + join(verdict.changed)});
        m_effects.emplace_back(
            LogLine{Severity::Info,
                    Part::Config,
                    "Configuration document activated.",
                    {{"version", version}, {"digest", formatDigest(verdict.digest)}, {"from", source}}});
        m_effects.emplace_back(Observe{Metric::ConfigVersion, {}, static_cast<double>(verdict.version)});
        return;
    }
    if (verdict.acceptance == Acceptance::Invalid || verdict.acceptance == Acceptance::Conflicting) {
        reportRefusal(verdict, source);
    }
}

void ConfigDistribution::reportRefusal(const Verdict &verdict, const std::string &source)
{
    std::string detail;
    for (const ConfigIssue &issue : verdict.issues) {
        detail.append(detail.empty() ? "" : "; ").append(issueText(issue));
    }
    // A refused document is usually offered repeatedly; it is reported once.
    const std::uint64_t refusalKey = sectionDigest(detail) ^ verdict.digest ^ verdict.version;
    if (refusalKey == m_lastRefusalKey) {
        return;
    }
    m_lastRefusalKey = refusalKey;
    m_refusal = verdict.issues;
    const std::string reason{enumName(verdict.acceptance)};
    m_effects.emplace_back(Observe{Metric::ConfigRefusedTotal, {reason}, 1});
    m_effects.emplace_back(AuditRecord{AuditKind::ConfigRefused, "version " + std::to_string(verdict.version),
                                       "from " + source,
                                       reason + " digest " + formatDigest(verdict.digest) + ' ' + detail});
    m_effects.emplace_back(LogLine{Severity::Error,
                                   Part::Config,
                                   "Configuration document rejected; the active one is kept.",
                                   {{"version", std::to_string(verdict.version)},
                                    {"reason", reason},
                                    {"from", source},
                                    {"issues", std::to_string(verdict.issues.size())}}});
}

void ConfigDistribution::finishRead()
{
    m_readTimeoutAt.reset();
}

void ConfigDistribution::scheduleRead()
{
    if (m_readTimeoutAt && m_now >= *m_readTimeoutAt) {
        finishRead();
    }
    if (!mayRead()) {
        m_readAt.reset();
        return;
    }
    if (!m_readAt) {
        // Peers are asked first, since the service may return a stale document.
        const TimePoint start = m_startedAt + m_policy.peerOnlyPeriod;
        m_readAt = m_store.current() ? m_now + drawDelay(readInterval()) : std::max(m_now, start);
    }
    if (m_readTimeoutAt || m_now < *m_readAt) {
        return;
    }
    m_readAt = m_now + drawDelay(readInterval());
    m_readTimeoutAt = m_now + m_policy.readTimeout;
    ++m_reads;
    m_effects.emplace_back(ReadConfig{m_store.version()});
}

void ConfigDistribution::notifyParent()
{
    if (hasParent()) {
        subscribe(m_parents[m_parent], m_store.version(), m_store.digest());
    }
}

void ConfigDistribution::updateSubscribers()
{
    m_subscribers.sendDue(m_store, age(m_now), m_now, [this](const InstanceName &to, ConfigDelta delta) {
        m_effects.emplace_back(SendMessage{to, std::move(delta)});
    });
}

Duration ConfigDistribution::drawDelay(Duration mean)
{
    // One step of the splitmix64 generator.
    m_randomState += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_randomState;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    mixed ^= mixed >> 31U;
    const double uniform = (static_cast<double>(mixed >> 11U) + 1.0) * 0x1.0p-53;
    const double factor = std::min(-std::log(uniform), maxDelayFactor);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>{mean} * factor);
}

} // namespace bergamottide
