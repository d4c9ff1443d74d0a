#include "bergamottide/pools/leastloaded.h"
#include "bergamottide/serving/servingreducer.h"

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Factor on the estimated fetch time, to which `fetchTimeMargin` is added. Generous because inputs released too
 * early cost a restart of all stages. */
constexpr double fetchTimeFactor = 2.0;
constexpr Duration fetchTimeMargin = std::chrono::milliseconds{100};

} // namespace

/*! @brief Updates the engine table with the endpoints of pools that have an `EngineSpec`. */
void ServingReducer::updateEngines()
{
    std::vector<engines::EngineListing> list;
    for (const EndpointRecord &record : m_endpoints.records()) {
        const Pool *pool = m_catalog ? m_catalog->findPool(record.pool) : nullptr;
        if (pool != nullptr && pool->engine) {
            list.push_back({record.instance, record.pool, record.incarnation, pool->engine->cacheTokens});
        }
    }
    m_engineTable.setEngines(list);
}

std::optional<engines::EngineChoice> ServingReducer::chooseEngine(const Request &request)
{
    std::vector<Endpoint *> endpoints = candidateEndpoints(request);
    const auto best = chooseEngineAmong(endpoints, request);
    const StartingVersion starting = startingVersion(request);
    if (!best || !starting.version) {
        return best;
    }
    std::erase_if(endpoints, [&starting](const Endpoint *endpoint) {
        return endpoint->record.softwareVersion != *starting.version;
    });
    const auto preferred = chooseEngineAmong(endpoints, request);
    if (!preferred) {
        return best;
    }
    const bool isInTime = m_now + preferred->expectedFirstEvent <= request.objective;
    return starting.isBinding || isInTime || preferred->expectedFirstEvent <= best->expectedFirstEvent ? preferred
                                                                                                       : best;
}

/*! @brief Chooses one of some engines for a request; nothing if it was sent to all of them before. */
std::optional<engines::EngineChoice> ServingReducer::chooseEngineAmong(const std::vector<Endpoint *> &endpoints,
                                                                       const Request &request)
{
    std::vector<engines::EngineCandidate> candidates;
    const load::LoadTable &loads = m_endpoints.loads();
    const double meanPace = loads.meanPace(request.pool);
    // The pace may change before the first event; that in the middle counts.
    const TimePoint middle = m_now + m_firstEventTimes.average(request.pool) / 2;
    for (const Endpoint *endpoint : endpoints) {
        const EndpointRecord &record = endpoint->record;
        const bool isTried = std::find(request.triedEndpoints.begin(), request.triedEndpoints.end(), record.instance)
            != request.triedEndpoints.end();
        candidates.push_back({record.instance, record.zone, currentLoad(*endpoint), isTried,
                              loads.expectedPace(request.pool, record.instance, middle) / meanPace});
    }
    engines::GenerationQuery needs{request.pool, request.prompt, request.callerRequest->attempt, {}, 0, 0.0};
    const Pool *pool = request.catalog->findPool(request.pool);
    if (pool != nullptr && pool->engine) {
        needs.fetchRate = pool->engine->fetchTokensPerSecond;
    }
    for (const auto &[zone, bytes] : inputBytesByZone(request)) {
        if (bytes > needs.inputBytes) {
            needs.inputZone = zone;
            needs.inputBytes = bytes;
        }
    }
    return engines::pickEngine(m_engineTable, candidates, needs, m_now);
}

/*! @brief Returns the bytes of a request's inputs, by the zone in which they are stored. */
std::map<ZoneName, std::uint64_t> ServingReducer::inputBytesByZone(const Request &request)
{
    std::map<ZoneName, std::uint64_t> bytes;
    for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
        if (!request.route->stages[stage].isLeaf) {
            continue;
        }
        for (const StoredResult &result : request.stages[stage].results) {
            if (const Endpoint *source = m_endpoints.find(result.endpoint); source != nullptr) {
                bytes[source->record.zone] += result.bytes;
            }
        }
    }
    return bytes;
}

/*! @brief Schedules the release of a request's inputs for when the engine should have fetched them, which it does
 * before the prefill. */
void ServingReducer::scheduleInputRelease(Request &request, const engines::EngineChoice &choice)
{
    double seconds = 0.0;
    for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
        const StageSpec &spec = request.route->stages[stage];
        const Pool *pool = request.catalog->findPool(spec.pool);
        if (spec.isLeaf && pool != nullptr && pool->batch && pool->batch->fetchBytesPerSecond > 0.0) {
            const std::uint64_t bytes = spec.resultBytes * request.stages[stage].pieces;
            seconds += static_cast<double>(bytes) / pool->batch->fetchBytesPerSecond;
        }
    }
    seconds += choice.queuedTokens / m_engineTable.model(request.pool).tokensPerSecond();
    request.inputsFetchedAt = m_now + fetchTimeMargin
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * fetchTimeFactor));
    m_inputReleases.emplace(*request.inputsFetchedAt, request.callerRequest->call);
}

/*
 * Releases inputs that an engine should have fetched by now, where memory is scarce. Until the first event they would
 * keep other results out of the stage pool's memory.
 */
void ServingReducer::releaseFetchedInputs()
{
    while (!m_inputReleases.empty() && m_inputReleases.begin()->first <= m_now) {
        const auto [due, call] = *m_inputReleases.begin();
        m_inputReleases.erase(m_inputReleases.begin());
        Request *request = find(call);
        if (request == nullptr || !request->run || request->inputsFetchedAt != due) {
            continue;
        }
        for (StageProgress &stage : request->stages) {
            if (!stage.results.empty() && isResultMemoryScarce(stage.results.front())) {
                releaseResults(stage);
            }
        }
    }
}

} // namespace bergamottide::serving
