#include "bergamottide/serving/plainplacement.h"
#include "bergamottide/serving/servingreducer.h"

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Inputs count as fetched after this many times what is expected, plus the allowance for the network: the
 * engine's other work is known only roughly, and inputs given up too soon cost a whole chain of stages. */
constexpr double fetchTimeFactor = 2.0;
constexpr Duration fetchAllowance = std::chrono::milliseconds{100};

} // namespace

/*! @brief Tells the table of engines which there are: those of pools whose engines the configuration describes. */
void ServingReducer::listEngines()
{
    std::vector<engines::EngineListing> list;
    for (const EndpointRecord &record : m_endpoints.records()) {
        const Pool *pool = m_catalog ? m_catalog->pool(record.pool) : nullptr;
        if (pool != nullptr && pool->engine) {
            list.push_back({record.instance, record.pool, record.incarnation, pool->engine->cacheTokens});
        }
    }
    m_engines.setEngines(list);
}

std::optional<engines::EngineChoice> ServingReducer::chooseEngine(const Request &request)
{
    std::vector<engines::EngineCandidate> engines;
    for (const Endpoint *endpoint : candidates(request)) {
        const EndpointRecord &record = endpoint->record;
        const bool isTried =
            std::find(request.tried.begin(), request.tried.end(), record.instance) != request.tried.end();
        engines.push_back({record.instance, record.zone, loadOf(*endpoint), isTried});
    }
    engines::GenerationNeeds needs{request.pool, request.prompt, request.in->attempt, {}, 0, 0.0};
    const Pool *pool = request.catalog->pool(request.pool);
    if (pool != nullptr && pool->engine) {
        needs.fetchRate = pool->engine->fetchRate;
    }
    for (const auto &[zone, bytes] : inputBytesByZone(request)) {
        if (bytes > needs.inputBytes) {
            needs.inputZone = zone;
            needs.inputBytes = bytes;
        }
    }
    return engines::pickEngine(m_engines, engines, needs, m_now);
}

/*! @brief Returns the bytes of the results that a generation takes, by the zone in which they lie. */
std::map<ZoneName, std::uint64_t> ServingReducer::inputBytesByZone(const Request &request)
{
    std::map<ZoneName, std::uint64_t> bytes;
    for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
        if (!request.route->stages[stage].isLeaf) {
            continue;
        }
        for (const KeptResult &result : request.stages[stage].results) {
            if (const Endpoint *maker = m_endpoints.find(result.endpoint); maker != nullptr) {
                bytes[maker->record.zone] += result.bytes;
            }
        }
    }
    return bytes;
}

/*! @brief Notes when the engine of a run will have fetched its inputs: before it begins to read the prompt. */
void ServingReducer::awaitFetch(Request &request, const engines::EngineChoice &choice)
{
    double seconds = 0.0;
    for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
        const StageSpec &spec = request.route->stages[stage];
        const Pool *pool = request.catalog->pool(spec.pool);
        if (spec.isLeaf && pool != nullptr && pool->batch && pool->batch->fetchRate > 0.0) {
            const std::uint64_t bytes = spec.resultBytes * request.stages[stage].pieces;
            seconds += static_cast<double>(bytes) / pool->batch->fetchRate;
        }
    }
    seconds += choice.ahead / m_engines.model(request.pool).tokensPerSecond();
    request.inputsFetchedAt = m_now + fetchAllowance
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * fetchTimeFactor));
    m_fetches.emplace(*request.inputsFetchedAt, request.in->call);
}

/*
 * Answers a burst of requests with large inputs: these would stay in the scarce memory of their makers until the first
 * event, twice as long as it takes to make them, and keep others from being made.
 */
void ServingReducer::giveUpFetchedInputs()
{
    while (!m_fetches.empty() && m_fetches.begin()->first <= m_now) {
        const auto [due, call] = *m_fetches.begin();
        m_fetches.erase(m_fetches.begin());
        Request *request = find(call);
        if (request == nullptr || !request->run || request->inputsFetchedAt != due) {
            continue;
        }
        for (StageProgress &stage : request->stages) {
            if (!stage.results.empty() && isShortOfRoom(stage.results.front())) {
                release(stage);
            }
        }
    }
}

} // namespace bergamottide::serving
