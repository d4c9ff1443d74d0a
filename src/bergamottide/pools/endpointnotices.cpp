#include "bergamottide/pools/endpointnotices.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Uncertainty of the times of other processes' responses, which arrive with a delay. */
constexpr Duration timeTolerance = std::chrono::milliseconds{50};
/*! @brief Time for which the notice of an endpoint that is not listed is kept; other processes may list it earlier. */
constexpr Duration unlistedLifetime = std::chrono::minutes{1};

/*! @brief Returns whether a limit is stricter than another one; none is the least strict. */
bool isStricter(const std::optional<double> &limit, const std::optional<double> &other)
{
    return limit && (!other || *limit < *other);
}

} // namespace

bool EndpointNotices::Notice::isSameAs(const Notice &other) const noexcept
{
    return incarnation == other.incarnation && requestsPerSecond == other.requestsPerSecond
        && isDraining == other.isDraining;
}

EndpointNotices::EndpointNotices(GossipClock &clock, EndpointRegistry &endpoints)
    : m_endpoints{endpoints}
    , m_notices{clock}
{
}

void EndpointNotices::record(const InstanceName &instance, const EndpointNotice &notice, TimePoint now,
                             Effects &effects)
{
    Endpoint *endpoint = m_endpoints.find(instance);
    if (endpoint == nullptr) {
        return;
    }
    for (const std::string &header : notice.malformedHeaders) {
        EndpointRegistry::recordMalformedHeader(*endpoint, header, effects);
    }
    if (notice.load) {
        recordLoad(*endpoint, *notice.load, now, effects);
    }
    if (notice.remainingWarmup > Duration::zero()) {
        m_endpoints.recordWarmup(instance, notice.remainingWarmup, now);
    }
    if (notice.isDraining) {
        effects.emplace_back(Observe{Metric::DrainNoticesTotal, {endpoint->record.pool.text()}, 1.0});
    }
    if (notice.pause > Duration::zero()) {
        effects.emplace_back(Observe{Metric::PauseNoticesTotal, {endpoint->record.pool.text()}, 1.0});
        m_endpoints.recordPause(instance, notice.pause, now, effects);
    }
    recordShared(instance, notice, now, effects);
}

/*! @brief Records the load; logs that the pool begins to report a pace, as its endpoints are then chosen by it. */
void EndpointNotices::recordLoad(const Endpoint &endpoint, const EndpointLoad &load, TimePoint now, Effects &effects)
{
    const EndpointRecord &record = endpoint.record;
    if (load.pace) {
        effects.emplace_back(Observe{Metric::EndpointPace, {record.pool.text()}, *load.pace});
        if (!m_endpoints.reportsPace(record.pool)) {
            effects.emplace_back(LogLine{Severity::Info,
                                         Part::Membership,
                                         "Pool reports the pace of its endpoints.",
                                         {{"pool", record.pool.text()},
                                          {"endpoint", record.instance.text()},
                                          {"pace", absl::StrCat(*load.pace)}}});
        }
    }
    m_endpoints.recordLoad(record.instance, load, now);
}

/*! @brief Records limit and drain, which are shared with the other processes. */
void EndpointNotices::recordShared(const InstanceName &instance, const EndpointNotice &response, TimePoint now,
                                   Effects &effects)
{
    const std::uint64_t incarnation = m_endpoints.find(instance)->record.incarnation;
    const Notice *known = find(instance, incarnation);
    Notice notice = known == nullptr ? Notice{incarnation} : *known;
    notice.at = now;
    if (response.limit) {
        notice.requestsPerSecond = response.limit->requestsPerSecond;
    }
    notice.isDraining = notice.isDraining || response.isDraining;
    if (notice.isSameAs(known == nullptr ? Notice{incarnation} : *known)) {
        if (known != nullptr && (response.limit || response.isDraining)) {
            m_notices.entries().at(instance).record.at = now;
        }
        return;
    }
    m_notices.change(instance) = notice;
    apply(instance, notice, effects);
}

/*! @brief Returns what this incarnation of an endpoint has announced, or null. */
const EndpointNotices::Notice *EndpointNotices::find(const InstanceName &instance, std::uint64_t incarnation) const
{
    const auto found = m_notices.entries().find(instance);
    return found != m_notices.entries().end() && found->second.record.incarnation == incarnation ? &found->second.record
                                                                                                 : nullptr;
}

void EndpointNotices::merge(const std::vector<NoticeReport> &reports, TimePoint now, Effects &effects)
{
    for (const NoticeReport &report : reports) {
        mergeReport(report, now);
        apply(report.endpoint, m_notices.entries().at(report.endpoint).record, effects);
    }
}

/*
 * Of limits the later response counts, and the stricter limit if the order is uncertain; a drain counts whoever has
 * seen it. A process that knows more than a report spreads that again.
 */
EndpointNotices::Notice EndpointNotices::merged(const Notice &known, const Notice &reported)
{
    const bool isLater = reported.at > known.at + timeTolerance;
    const bool isEarlier = reported.at < known.at - timeTolerance;
    const bool isTaken = isLater || (!isEarlier && isStricter(reported.requestsPerSecond, known.requestsPerSecond));
    Notice out = isTaken ? reported : known;
    out.isDraining =
        out.isDraining || (known.incarnation == reported.incarnation && (known.isDraining || reported.isDraining));
    return out;
}

void EndpointNotices::mergeReport(const NoticeReport &report, TimePoint now)
{
    const Notice reported{report.incarnation, report.requestsPerSecond, report.isDraining, now - report.age};
    const auto found = m_notices.entries().find(report.endpoint);
    if (found == m_notices.entries().end()) {
        m_notices.change(report.endpoint) = reported;
        return;
    }
    Notice &known = found->second.record;
    if (known.isSameAs(reported)) {
        known.at = std::max(known.at, reported.at);
        return;
    }
    const Notice result = merged(known, reported);
    m_notices.change(report.endpoint) = result;
}

void EndpointNotices::updateEndpoints(TimePoint now, Effects &effects)
{
    auto &entries = m_notices.entries();
    for (auto next = entries.begin(); next != entries.end();) {
        Notice &notice = next->second.record;
        const bool isListed = m_endpoints.find(next->first) != nullptr;
        if (!isListed && now - notice.at >= unlistedLifetime) {
            next = m_notices.erase(next);
            continue;
        }
        if (!isListed && notice.incarnation == 0) {
            // Listed again, it may have restarted.
            notice.isDraining = false;
        }
        apply(next->first, notice, effects);
        ++next;
    }
}

void EndpointNotices::apply(const InstanceName &instance, const Notice &notice, Effects &effects)
{
    const Endpoint *endpoint = m_endpoints.find(instance);
    if (endpoint == nullptr || endpoint->record.incarnation != notice.incarnation) {
        return;
    }
    m_endpoints.setLimit(instance, notice.requestsPerSecond, effects);
    if (notice.isDraining) {
        m_endpoints.recordDrain(instance, effects);
    }
}

std::vector<NoticeReport> EndpointNotices::reportsSince(std::uint64_t since, TimePoint now) const
{
    std::vector<NoticeReport> out;
    for (const auto &[instance, entry] : m_notices.entries()) {
        if (entry.version > since) {
            const Notice &notice = entry.record;
            out.push_back({instance, notice.incarnation, notice.requestsPerSecond, now - notice.at, notice.isDraining});
        }
    }
    return out;
}

} // namespace bergamottide::serving
