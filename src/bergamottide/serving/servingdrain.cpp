#include "bergamottide/serving/servingreducer.h"

#include <algorithm>
#include <vector>

namespace bergamottide::serving {

/*! @brief Makes a request end before this process does. */
void ServingReducer::limitToDrain(Request &request)
{
    if (!m_drainEndsAt || request.deadline <= *m_drainEndsAt) {
        return;
    }
    const CallId call = request.callerRequest->call;
    m_deadlines.erase({request.deadline, call});
    request.deadline = *m_drainEndsAt;
    m_deadlines.emplace(request.deadline, call);
}

/*! @brief Returns how long a run of the request has to be expected to take until its response is complete. */
Duration ServingReducer::expectedRunLength(const Request &request) const
{
    if (const auto bound = m_runTimes.upperBound(request.pool)) {
        return *bound;
    }
    // No run has ended yet, so one takes at least as long as those in progress have.
    Duration longest = m_firstEventTimes.average(request.pool);
    for (const auto &[call, other] : m_requests) {
        if (other.run && other.pool == request.pool) {
            longest = std::max(longest, m_now - other.runStartedAt);
        }
    }
    return longest;
}

/*! @brief Returns whether a request whose run has not started cannot be expected to end before this process does. */
bool ServingReducer::outlastsDrain(const Request &request) const
{
    return m_drainEndsAt
        && m_now + minimumStageTime(request, request.level) + expectedRunLength(request) > *m_drainEndsAt;
}

/*! @brief Ends a request without a run in progress, so that its caller can turn to another process in time. */
void ServingReducer::rejectForDrain(Request &request)
{
    constexpr const char *reason = "process is draining";
    if (request.isStreamStarted) {
        abortStream(request, reason);
        return;
    }
    if (!request.mayHaveRun) {
        m_effects.emplace_back(Observe{Metric::DrainRejectionsTotal, {}});
    }
    reject(request, request.mayHaveRun ? ErrorKind::BadGateway : ErrorKind::Unavailable, reason);
}

/*! @brief Rejects the requests that still wait for their run and would outlast the drain. */
void ServingReducer::rejectOutlastingRequests()
{
    if (!m_drainEndsAt) {
        return;
    }
    std::vector<CallId> outlasting;
    for (const auto &[call, request] : m_requests) {
        if (!request.run && outlastsDrain(request)) {
            outlasting.push_back(call);
        }
    }
    for (const CallId call : outlasting) {
        if (Request *request = find(call)) {
            rejectForDrain(*request);
        }
    }
}

} // namespace bergamottide::serving
