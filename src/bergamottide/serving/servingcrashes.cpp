#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bergamottide::serving {

void ServingReducer::recordBroken(const EndpointWork &work)
{
    if (const auto crash = m_crashDetector.recordBroken(work, m_now, m_effects)) {
        m_quarantine.recordCrash({crash->endpoint, crash->incarnation}, crash->suspects, m_now);
    }
}

void ServingReducer::on(const EndpointChecked &event)
{
    if (const auto crash = m_crashDetector.handleChecked(event, m_effects)) {
        if (m_endpoints.isCurrent(crash->endpoint, crash->incarnation)) {
            m_endpoints.recordCrash(crash->endpoint, m_now, m_effects);
        }
        m_quarantine.recordCrash({crash->endpoint, crash->incarnation}, crash->suspects, m_now);
    }
}

/*! @brief Learns from the end of a stage call which stages crash endpoints. */
void ServingReducer::recordStageCall(const StageCallEnded &event)
{
    const auto work = m_stageScheduler.workOf(event.call);
    if (!work) {
        return;
    }
    if (event.status == StageCallStatus::Broken) {
        recordBroken(*work);
    }
    const bool hasSucceeded = event.status == StageCallStatus::Answered
        && std::ranges::all_of(event.results, [](const PieceResult &result) { return !result.handle.empty(); });
    if (hasSucceeded) {
        for (const RequestFingerprint &stage : work->suspects.requests) {
            m_quarantine.recordSuccess(stage, m_now);
        }
    }
}

/*! @brief Returns what is suspect if an endpoint crashes under a request. */
Suspects ServingReducer::suspectsOf(const Request &request)
{
    return {{request.fingerprint()}, request.partFingerprints()};
}

/*! @brief Clears a request and the parts of its prompt: an endpoint has run it successfully. */
void ServingReducer::recordSuccess(const Request &request)
{
    m_quarantine.recordSuccess(request.fingerprint(), m_now);
    for (const RequestFingerprint &part : request.partFingerprints()) {
        m_quarantine.recordSuccess(part, m_now);
    }
}

/*! @brief Returns until when a request, one of its stages or its prompt is quarantined; nothing if none is. */
std::optional<TimePoint> ServingReducer::quarantineEnd(const Request &request) const
{
    const auto requestEnd = requestQuarantineEnd(request);
    return requestEnd ? requestEnd : promptQuarantineEnd(request);
}

/*! @brief Returns until when a request is quarantined since all of some parts of its prompt are. */
std::optional<TimePoint> ServingReducer::promptQuarantineEnd(const Request &request) const
{
    std::optional<TimePoint> latest;
    for (const auto &[parts, until] : m_quarantine.quarantinedParts()) {
        if (std::ranges::includes(request.partFingerprints(), parts)) {
            latest = std::max(latest.value_or(until), until);
        }
    }
    return latest;
}

/*! @brief Returns until when a request itself, or one of its stages, is quarantined; nothing if it is not. */
std::optional<TimePoint> ServingReducer::requestQuarantineEnd(const Request &request) const
{
    const auto &quarantined = m_quarantine.quarantined();
    // The fingerprint takes time that is linear in the body.
    if (quarantined.empty()) {
        return std::nullopt;
    }
    auto found = quarantined.find(request.fingerprint());
    for (std::uint32_t stage = 0; found == quarantined.end() && stage < request.route->stages.size(); ++stage) {
        found = quarantined.find(stageFingerprint(request.fingerprint(), stage));
    }
    return found == quarantined.end() ? std::nullopt : std::optional{found->second};
}

/*! @brief Ends the requests in progress that have been quarantined since. */
void ServingReducer::enforceQuarantine()
{
    const QuarantineChanges changes = m_quarantine.takeChanges();
    if (changes.empty()) {
        return;
    }
    m_effects.emplace_back(
        Observe{Metric::QuarantinedRequests, {}, static_cast<double>(m_quarantine.quarantined().size())});
    m_effects.emplace_back(
        Observe{Metric::QuarantinedPrompts, {}, static_cast<double>(m_quarantine.quarantinedParts().size())});
    logQuarantineChanges(changes);
    endQuarantinedRequests();
}

void ServingReducer::logQuarantineChanges(const QuarantineChanges &changes)
{
    for (const RequestFingerprint &request : changes.started) {
        m_effects.emplace_back(
            LogLine{Severity::Warning,
                    Part::Entry,
                    "Request quarantined.",
                    {{"fingerprint", request.text()}, {"crashes", absl::StrCat(m_quarantine.crashCount(request))}}});
    }
    for (const RequestFingerprint &request : changes.ended) {
        m_effects.emplace_back(
            LogLine{Severity::Info, Part::Entry, "Request no longer quarantined.", {{"fingerprint", request.text()}}});
    }
    for (const PartCombination &parts : changes.startedParts) {
        m_effects.emplace_back(
            LogLine{Severity::Warning,
                    Part::Entry,
                    "Prompt parts quarantined.",
                    {{"parts", joinedFingerprints(parts)}, {"crashes", absl::StrCat(m_quarantine.crashCount(parts))}}});
    }
    for (const PartCombination &parts : changes.endedParts) {
        m_effects.emplace_back(LogLine{Severity::Info,
                                       Part::Entry,
                                       "Prompt parts no longer quarantined.",
                                       {{"parts", joinedFingerprints(parts)}}});
    }
}

void ServingReducer::endQuarantinedRequests()
{
    std::vector<CallId> quarantined;
    for (const auto &[call, request] : m_requests) {
        // A stream that has begun crashes its endpoint at once, or completes and clears the parts of its prompt.
        const bool mayContinue = request.isStreamStarted && request.run && !requestQuarantineEnd(request);
        if (!mayContinue && quarantineEnd(request)) {
            quarantined.push_back(call);
        }
    }
    for (const CallId call : quarantined) {
        Request &request = *find(call);
        if (request.isStreamStarted) {
            m_effects.emplace_back(AbortStream{call});
            log(request, "Stream aborted.", {{"reason", "request quarantined"}}, Severity::Warning);
            finish(request, "broken_off");
            continue;
        }
        const ErrorKind kind = request.hasProvablyNotRun() ? ErrorKind::Quarantined : ErrorKind::BadGateway;
        reject(request, kind, rejectionReason(request, ErrorKind::Quarantined));
    }
}

std::vector<QuarantinedRequest> ServingReducer::quarantinedRequests(TimePoint now) const
{
    std::vector<QuarantinedRequest> out;
    for (const auto &[request, until] : m_quarantine.quarantined()) {
        out.push_back({request, m_quarantine.crashCount(request), until - now});
    }
    return out;
}

std::vector<QuarantinedParts> ServingReducer::quarantinedParts(TimePoint now) const
{
    std::vector<QuarantinedParts> out;
    for (const auto &[parts, until] : m_quarantine.quarantinedParts()) {
        out.push_back({parts, m_quarantine.crashCount(parts), until - now});
    }
    return out;
}

} // namespace bergamottide::serving
