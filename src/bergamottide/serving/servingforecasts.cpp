#include "bergamottide/serving/servingreducer.h"

#include <algorithm>
#include <set>

namespace bergamottide::serving {

namespace {

/*! @brief A stage pool is contended if its wait exceeds the objective divided by this; shorter waits are those of calls
 * in progress. */
constexpr int contentionDivisor = 10;

bool hasStages(const Request &request)
{
    return std::ranges::any_of(request.stages, [](const StageProgress &stage) { return stage.pieces != 0; });
}

bool hasUnfinishedStages(const Request &request)
{
    return std::ranges::any_of(request.stages, [](const StageProgress &stage) { return !stage.isDone(); });
}

} // namespace

/*
 * Returns the margin for the error of the forecast that counts for the admission of a request; nothing if the fixed
 * allowance counts. While a stage pool is contended, the fixed allowance would fill its queue with requests of which
 * most miss their objective.
 */
std::optional<Duration> ServingReducer::forecastMargin(const Request &request)
{
    const auto found = m_forecastErrors.find(request.route->name);
    if (!m_usesForecastMargin || found == m_forecastErrors.end() || !found->second.isReliable(m_now)
        || !m_endpoints.reportsPace(request.pool) || !isContended(request)) {
        return std::nullopt;
    }
    return found->second.margin(request.route->objective, m_now);
}

/*! @brief Returns whether a stage pool that the request needs has a long wait. */
bool ServingReducer::isContended(const Request &request)
{
    for (std::size_t stage = 0; stage < request.stages.size(); ++stage) {
        if (request.stages[stage].pieces == 0) {
            continue;
        }
        const auto estimate = poolEstimate(request.route->stages[stage].pool, request.rank, request.workspace.name);
        if (estimate && estimate->wait * contentionDivisor > request.route->objective) {
            return true;
        }
    }
    return false;
}

/*! @brief Records the error of the forecast of a request with stages. */
void ServingReducer::recordForecast(const Request &request, TimePoint responseAt)
{
    const bool isListed = std::ranges::any_of(
        m_catalog->routes, [&request](const Route &route) { return route.name == request.route->name; });
    if (!isListed || !hasStages(request) || !m_endpoints.reportsPace(request.pool)) {
        return;
    }
    forecasting::ForecastError &error = m_forecastErrors[request.route->name];
    error.record(responseAt - request.expectedResponseAt, m_now);
    const Duration margin = error.margin(request.route->objective, m_now);
    m_effects.emplace_back(
        Observe{Metric::ForecastMarginSeconds, {request.route->name}, std::chrono::duration<double>(margin).count()});
}

/*
 * Records the error of the forecast of a request that is rejected after its admission, because it would be or is late.
 * Without these samples the errors of the latest requests would be missing, and the margin would be too small.
 */
void ServingReducer::recordMissedForecast(const Request &request)
{
    const auto responseAt = hasUnfinishedStages(request) ? forecastResponse(request) : std::nullopt;
    recordForecast(request, std::max({responseAt.value_or(m_now), m_now, request.expectedResponseAt}));
}

/*! @brief Removes the forecast errors of routes that are not in the catalog. */
void ServingReducer::retainForecastErrors()
{
    std::set<std::string> names;
    for (const Route &route : m_catalog->routes) {
        names.insert(route.name);
    }
    std::erase_if(m_forecastErrors, [&names](const auto &item) { return !names.contains(item.first); });
}

} // namespace bergamottide::serving
