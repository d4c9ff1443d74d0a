#include "bergamottide/serving/servingreducer.h"

#include <algorithm>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Returns the key of the request's stream. */
StreamKey keyOf(const Request &request)
{
    return StreamVersions::keyOf(request.workspace.name, request.streamAttempt());
}

} // namespace

/*! @brief Sets the software version of a stream that its caller resumes, as far as this process knows it. */
void ServingReducer::resolveVersion(Request &request)
{
    if (request.route->kind != RouteKind::Streaming || !request.callerRequest->resumesStream()) {
        return;
    }
    request.streamVersion = m_streamVersions.find(keyOf(request));
    // A process that has just started does not know which versions there were; its relays may know the stream.
    if (!request.streamVersion && (m_streamVersions.remembersFormerVersions(m_now) || m_peers.relays(m_now).empty())) {
        request.streamVersion = m_streamVersions.onlyVersion(request.pool, m_now);
    }
}

/*! @brief Returns whether only peers may know the software version of the request's stream. */
bool ServingReducer::needsLookup(const Request &request) const
{
    return request.route->kind == RouteKind::Streaming && request.callerRequest->resumesStream()
        && !request.streamVersion;
}

/*! @brief Asks the relays, which know the streams of all processes between them, while the stages of the request run.
 */
void ServingReducer::lookUpVersion(Request &request)
{
    for (const PeerInfo &relay : m_peers.relays(m_now)) {
        ++request.pendingLookups;
        m_effects.emplace_back(LookUpStream{request.callerRequest->call, keyOf(request), relay.address});
    }
}

void ServingReducer::on(const StreamLookupEnded &event)
{
    Request *request = find(event.call);
    if (request == nullptr || request->streamVersion || request->pendingLookups == 0) {
        return;
    }
    --request->pendingLookups;
    request->streamVersion = event.version;
    if (!request->streamVersion && request->pendingLookups > 0) {
        return;
    }
    request->pendingLookups = 0;
    if (!request->streamVersion) {
        request->streamVersion = m_streamVersions.onlyVersion(request->pool, m_now);
    }
    if (!request->streamVersion) {
        reject(*request, ErrorKind::Unavailable, "software version of the resumed stream is unknown");
        return;
    }
    if (allowedEndpoints(*request).empty()) {
        reject(*request, ErrorKind::Unavailable, "no endpoint of the stream's software version");
        return;
    }
    if (std::exchange(request->awaitsVersion, false)) {
        startRun(*request);
    }
}

/*! @brief Records the software version to which a stream is sent, so that its caller can resume it anywhere. */
void ServingReducer::recordVersion(const Request &request, const SoftwareVersion &version)
{
    if (request.route->kind != RouteKind::Streaming || !request.route->isResumable) {
        return;
    }
    const TimePoint expiresAt =
        std::max(request.deadline, request.arrivedAt + request.callerRequest->deadline.value_or(Duration::zero()));
    if (m_streamVersions.record(keyOf(request), version, expiresAt, m_now)) {
        // If this process died with the next regular heartbeat unsent, its relays would name the former version.
        m_peers.expediteHeartbeats(m_now);
        sendHeartbeats();
    }
}

std::optional<SoftwareVersion> ServingReducer::streamVersion(StreamKey stream) const
{
    return m_streamVersions.find(stream);
}

} // namespace bergamottide::serving
