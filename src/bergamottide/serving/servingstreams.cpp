#include "bergamottide/serving/servingreducer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Returns the key of the request's stream. */
StreamKey keyOf(const Request &request)
{
    return StreamVersions::keyOf(request.workspace.name, request.streamAttempt());
}

/*! @brief Returns the longest time since the stream that the request resumes can have begun. */
Duration lifetimeOf(const Request &request)
{
    const Duration limit = std::max(request.route->timeout, request.callerRequest->deadline.value_or(Duration::zero()));
    return limit > Duration::zero() ? std::min(limit, StreamVersions::maxLifetime) : StreamVersions::maxLifetime;
}

} // namespace

/*! @brief Sets the software version of a stream that its caller resumes, if there is a record of it here. */
void ServingReducer::resolveVersion(Request &request)
{
    if (request.route->kind != RouteKind::Streaming || !request.callerRequest->resumesStream()) {
        return;
    }
    request.streamVersion = m_streamVersions.find(keyOf(request));
    if (request.streamVersion) {
        recordResumption(request, VersionSource::Record);
    }
}

/*! @brief Logs what this process concludes of a stream without a record, for itself or for a peer. */
void ServingReducer::logProvenVersion(const std::optional<SoftwareVersion> &version, VersionSource source,
                                      std::string_view detail)
{
    m_effects.emplace_back(LogLine{Severity::Info,
                                   Part::Entry,
                                   "The software version of a stream without a record was looked for.",
                                   {{"software", version ? version->text() : "unknown"},
                                    {"source", std::string{enumName(source)}},
                                    {"detail", std::string{detail}},
                                    {"list_age_ms", listAge()}}});
}

/*! @brief Returns the time since the list of endpoints was confirmed, in milliseconds, for log lines. */
std::string ServingReducer::listAge() const
{
    const auto age = m_listAge.age(m_now);
    return age ? absl::StrCat(*age / std::chrono::milliseconds{1}) : "unknown";
}

/*! @brief Logs and counts what has told the software version of a resumed stream. */
void ServingReducer::recordResumption(const Request &request, VersionSource source)
{
    m_effects.emplace_back(Observe{Metric::ResumedStreamsTotal, {std::string{enumName(source)}}, 1.0});
    log(request, "The software version of a resumed stream is known.",
        {{"software", request.streamVersion->text()},
         {"source", std::string{enumName(source)}},
         {"list_age_ms", listAge()}});
}

/*! @brief Returns whether this process does not know the software version of the request's stream. */
bool ServingReducer::needsLookup(const Request &request) const
{
    return request.route->kind == RouteKind::Streaming && request.callerRequest->resumesStream()
        && !request.streamVersion;
}

StreamQuery ServingReducer::queryOf(const Request &request) const
{
    const auto &prompt = request.callerRequest->prompt;
    const Duration lifetime = lifetimeOf(request);
    // A peer whose list of endpoints is older must not take the version that it has seen for the only one.
    const bool isSingle = m_streamVersions.hasSingleVersion(request.pool, lifetime, m_now);
    engines::PromptPart lastPart = prompt.empty() ? engines::PromptPart{} : prompt.back();
    if (request.callerRequest->resumedAttempt.empty() && isSpreadOverVersions(lastPart)) {
        // Without the name of the stream, the version that it is assigned to is unknown.
        lastPart = {};
    }
    return {keyOf(request), request.pool, std::move(lastPart), isSingle ? lifetime : Duration::zero()};
}

/*! @brief Returns whether anything could know the software version of the request's stream. */
bool ServingReducer::canLookUp(const Request &request) const
{
    const StreamQuery query = queryOf(request);
    return !m_peers.isDiscoveryFinished(m_now) || !m_peers.relays(m_now).empty() || query.lifetime > Duration::zero()
        || searchesPrompts(query);
}

/*
 * Returns whether this process lists the caches of the pool's engines for a query. One process does it for all, so that
 * the load of the engines does not grow with the fleet.
 */
bool ServingReducer::searchesPrompts(const StreamQuery &query) const
{
    const Pool *pool = m_catalog ? m_catalog->findPool(query.pool) : nullptr;
    return pool != nullptr && pool->engine && m_promptSearch.canAsk(query.pool, query.lastPart)
        && !m_peers.queueOwner(query.pool, m_now);
}

/*!
 * @brief Asks the relays, which know the streams of all processes between them, and the engines, while the stages of
 * the request run.
 */
void ServingReducer::lookUpVersion(Request &request)
{
    const CallId call = request.callerRequest->call;
    request.pendingLookups = 1;
    if (!m_peers.isDiscoveryFinished(m_now)) {
        m_deferredLookups.insert(call);
        return;
    }
    const StreamQuery query = queryOf(request);
    for (const PeerInfo &relay : m_peers.relays(m_now)) {
        ++request.pendingLookups;
        m_effects.emplace_back(LookUpStream{call, query, relay.address});
    }
    proveVersion(call, query);
}

/*!
 * @brief Looks for a proof of the version of a stream without a record: the only version that there was, or the version
 * whose engines have the prompt.
 *
 * Both need the list as of the question at least. An older one may lack the endpoint that began the stream, however
 * long it has been known.
 */
void ServingReducer::proveVersion(const PromptSearch::Asker &asker, const StreamQuery &query)
{
    if (query.lifetime == Duration::zero() && !searchesPrompts(query)) {
        deliverVersion(asker, std::nullopt, VersionSource::OnlyVersion, "not_asked");
        return;
    }
    m_unconfirmedQuestions.push_back({asker, query, m_now});
    requestConfirmation();
}

/*! @brief Returns whether all endpoints are known that were listed between the start of the history and a time. */
bool ServingReducer::isHistoryKnown(TimePoint until) const
{
    return m_historyReadAsOf && m_listAge.covers(*m_historyReadAsOf, until);
}

/*! @brief Reads which endpoints were listed before this process knew the list; once for many questions. */
void ServingReducer::readHistory()
{
    if (m_historyRequestedAt) {
        return;
    }
    m_historyRequestedAt = m_now;
    m_effects.emplace_back(ReadFormerEndpoints{});
}

void ServingReducer::on(const FormerEndpointsRead &event)
{
    const TimePoint requestedAt = std::exchange(m_historyRequestedAt, std::nullopt).value_or(m_now);
    if (!event.endpoints) {
        m_historyFailedAt = m_now;
    }
    if (event.endpoints) {
        m_streamVersions.recordFormer(*event.endpoints, event.hasUnknown, m_now);
        m_historyReadAsOf = requestedAt;
        m_effects.emplace_back(
            LogLine{Severity::Info,
                    Part::Membership,
                    "The history of the list of endpoints was read.",
                    {{"former", absl::StrCat(event.endpoints->size())}, {"unknown", event.hasUnknown ? "yes" : "no"}}});
    }
    for (const StreamQuestion &question : std::exchange(m_historyQuestions, {})) {
        // The engines may have left meanwhile, or the queue may have another owner.
        if (event.endpoints && searchesPrompts(question.query)) {
            searchPrompts(question);
            continue;
        }
        deliverVersion(question.asker, std::nullopt, VersionSource::CachedPrompt, "history_unknown");
    }
    deliverSearchAnswers();
}

/*! @brief Searches the caches of the engines for the prompt of a stream, as soon as it is known what limits them. */
void ServingReducer::searchPrompts(const StreamQuestion &question)
{
    const StreamQuery &query = question.query;
    if (!isSpreadOverVersions(query.lastPart)) {
        m_promptSearch.ask(question.asker, query.pool, query.lastPart, std::nullopt, m_now, m_effects);
        return;
    }
    const bool hasJustFailed = m_historyFailedAt && m_now - *m_historyFailedAt < historyRetryPeriod;
    if (!isHistoryKnown(question.askedAt) && hasJustFailed) {
        deliverVersion(question.asker, std::nullopt, VersionSource::CachedPrompt, "history_unknown");
        return;
    }
    if (!isHistoryKnown(question.askedAt)) {
        m_historyQuestions.push_back(question);
        readHistory();
        return;
    }
    if (m_streamVersions.hasUnknownFormer(m_now)) {
        deliverVersion(question.asker, std::nullopt, VersionSource::CachedPrompt, "former_version_unknown");
        return;
    }
    const auto assigned = assignedVersion(query.stream, query.lastPart, m_streamVersions.knownVersions(query.pool));
    m_promptSearch.ask(question.asker, query.pool, query.lastPart, assigned, m_now, m_effects);
}

void ServingReducer::requestConfirmation()
{
    if (m_unconfirmedQuestions.empty() || m_confirmationRequestedAt) {
        return;
    }
    m_confirmationRequestedAt = m_now;
    m_effects.emplace_back(ConfirmEndpoints{});
}

void ServingReducer::answerConfirmedQuestions()
{
    if (m_confirmationRequestedAt && m_listAge.isConfirmedSince(*m_confirmationRequestedAt)) {
        m_confirmationRequestedAt.reset();
    }
    for (StreamQuestion &question : std::exchange(m_unconfirmedQuestions, {})) {
        if (!m_listAge.isConfirmedSince(question.askedAt)) {
            m_unconfirmedQuestions.push_back(std::move(question));
            continue;
        }
        const StreamQuery &query = question.query;
        const auto only = query.lifetime > Duration::zero()
            ? m_streamVersions.onlyVersion(query.pool, query.lifetime, question.askedAt)
            : std::nullopt;
        if (!only && searchesPrompts(query)) {
            searchPrompts(question);
            continue;
        }
        deliverVersion(question.asker, only, VersionSource::OnlyVersion, "confirmed");
    }
    deliverSearchAnswers();
    requestConfirmation();
}

/*! @brief Answers the questions up to a time without a version, since the list or its history is still unknown. */
void ServingReducer::rejectQuestions(TimePoint askedUntil)
{
    for (StreamQuestion &question : std::exchange(m_unconfirmedQuestions, {})) {
        if (question.askedAt > askedUntil) {
            m_unconfirmedQuestions.push_back(std::move(question));
            continue;
        }
        deliverVersion(question.asker, std::nullopt, VersionSource::OnlyVersion, "list_unconfirmed");
    }
    for (StreamQuestion &question : std::exchange(m_historyQuestions, {})) {
        if (question.askedAt > askedUntil) {
            m_historyQuestions.push_back(std::move(question));
            continue;
        }
        deliverVersion(question.asker, std::nullopt, VersionSource::CachedPrompt, "history_unknown");
    }
}

void ServingReducer::startDeferredLookups()
{
    if (m_deferredLookups.empty() || !m_peers.isDiscoveryFinished(m_now)) {
        return;
    }
    for (const CallId call : std::exchange(m_deferredLookups, {})) {
        Request *request = find(call);
        if (request == nullptr || request->streamVersion) {
            continue;
        }
        lookUpVersion(*request);
    }
}

void ServingReducer::on(const StreamQueryArrived &event)
{
    const StreamQuery &query = event.query;
    if (const auto version = m_streamVersions.find(query.stream)) {
        m_effects.emplace_back(AnswerStreamQuery{event.number, version});
        return;
    }
    proveVersion(event.number, query);
}

void ServingReducer::on(const CachedPromptsListed &event)
{
    m_promptSearch.handleList(event, m_now);
    deliverSearchAnswers();
}

void ServingReducer::deliverSearchAnswers()
{
    for (const PromptSearch::Answer &answer : m_promptSearch.takeAnswers()) {
        deliverVersion(answer.asker, answer.version, VersionSource::CachedPrompt, enumName(answer.evidence));
    }
}

/*! @brief Answers a question about a stream without a record, of this process or of a peer. */
void ServingReducer::deliverVersion(const PromptSearch::Asker &asker, const std::optional<SoftwareVersion> &version,
                                    VersionSource source, std::string_view detail)
{
    logProvenVersion(version, source, detail);
    if (const auto *call = std::get_if<CallId>(&asker)) {
        endLookup(*call, version, source);
        return;
    }
    m_effects.emplace_back(AnswerStreamQuery{std::get<StreamQueryNumber>(asker), version});
}

void ServingReducer::on(const StreamLookupEnded &event)
{
    endLookup(event.call, event.version, VersionSource::Peer);
}

/*! @brief Takes the answer of one peer or search; the first that knows decides, and the last that does not rejects. */
void ServingReducer::endLookup(CallId call, const std::optional<SoftwareVersion> &version, VersionSource source)
{
    Request *request = find(call);
    if (request == nullptr || request->streamVersion || request->pendingLookups == 0) {
        return;
    }
    --request->pendingLookups;
    request->streamVersion = version;
    if (!request->streamVersion && request->pendingLookups > 0) {
        return;
    }
    request->pendingLookups = 0;
    if (!request->streamVersion) {
        reject(*request, ErrorKind::Unavailable, "software version of the resumed stream is unknown");
        return;
    }
    recordResumption(*request, source);
    if (allowedEndpoints(*request).empty()) {
        reject(*request, ErrorKind::Unavailable, "no endpoint of the stream's software version");
        return;
    }
    if (std::exchange(request->awaitsVersion, false)) {
        startRun(*request);
    }
}

/*! @brief Returns the versions with an engine that should have the whole prompt of a request cached. */
std::set<SoftwareVersion> ServingReducer::versionsWithPrompt(const Request &request) const
{
    std::set<SoftwareVersion> out;
    for (const Endpoint *endpoint : allowedEndpoints(request)) {
        const engines::EngineState *state = m_engineTable.find(endpoint->record.instance);
        if (state != nullptr && state->prefixCache.cachedLinks(request.prompt) == request.prompt.size()) {
            out.insert(endpoint->record.softwareVersion);
        }
    }
    return out;
}

/*!
 * @brief Returns the software version at which a new stream is to begin; nothing if it does not matter.
 *
 * A caller may resume the stream at a process that has no record of it, and only the prompt caches tell its version
 * then. They do so if no request of a session begins where the caches name another version.
 */
ServingReducer::StartingVersion ServingReducer::startingVersion(const Request &request) const
{
    const auto &prompt = request.callerRequest->prompt;
    const bool isResumable = request.route->kind == RouteKind::Streaming && request.route->isResumable;
    if (!isResumable || request.streamVersion || prompt.empty()) {
        return {};
    }
    const VersionCounts serving = m_streamVersions.servingVersions(request.pool);
    if (serving.size() < 2) {
        return {};
    }
    const auto assigned = assignedVersion(keyOf(request), prompt.back(), serving);
    const std::set<SoftwareVersion> cached = versionsWithPrompt(request);
    if (isSpreadOverVersions(prompt.back()) || cached.empty()) {
        return {assigned, assigned && cached.contains(*assigned)};
    }
    return {assigned && cached.contains(*assigned) ? assigned : std::optional{*cached.begin()}, true};
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

} // namespace bergamottide::serving
