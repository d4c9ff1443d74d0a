#include "bergamottide/orders/orderplanner.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/**
 * @brief Rate at which the engines load one model from the weight store, in megabytes per second in total.
 *
 * Below the rate limit of the store, so that several models can be loaded at once.
 */
constexpr double storeMegabytesPerSecond = 2000.0;
/*! @brief Maximum jitter of a load's start, as a fraction of the load's duration. */
constexpr double jitterFraction = 0.5;
/*! @brief Time for which reports of an engine may show the state before the last order. */
constexpr Duration reportLag = std::chrono::seconds{2};
/*! @brief Timeout for the answer to an order; loading large weights takes minutes. */
constexpr Duration answerTimeout = std::chrono::seconds{120};
/*! @brief Backoff after a refused order; doubles with each consecutive refusal. */
constexpr Duration refusalBackoff = std::chrono::seconds{5};
/*! @brief Limits the backoff to about five minutes, so that orders resume soon after the engine recovers. */
constexpr unsigned maxBackoffDoublings = 6;
/*! @brief Time before an unassigned model is unloaded, so that a flapping instance list causes no reloads. */
constexpr Duration unloadDelay = std::chrono::seconds{60};
/*! @brief Low bits of a fencing token, which count the orders of one document version. */
constexpr unsigned orderCounterBits = 20;

} // namespace

OrderPlanner::OrderPlanner(InstanceName engine, std::uint64_t seed)
    : m_engine{std::move(engine)}
    , m_seed{seed}
{
}

void OrderPlanner::plan(const Document &document, const InstanceView &view, TimePoint now)
{
    m_version = document.version;
    m_assigned = assignedModels(document, view, m_engine);
    std::map<ModelName, TimePoint> since;
    for (const AssignedModel &model : m_assigned) {
        const auto known = m_assignedSince.find(model.name);
        since[model.name] = known == m_assignedSince.end() ? now : known->second;
    }
    m_assignedSince = std::move(since);
}

void OrderPlanner::onReport(const EndpointLoadReport &report, TimePoint now)
{
    m_reportedAt = now;
    m_lastFencingToken = std::max(m_lastFencingToken, report.highestFencingToken);
    m_loaded = {report.models.begin(), report.models.end()};
    // A model that is loaded again has neither the version nor the adapters that were set before.
    std::erase_if(m_versions, [this](const auto &entry) { return !m_loaded.contains(entry.first); });
    std::erase_if(m_adapters, [this](const auto &entry) { return !m_loaded.contains(entry.first); });
}

void OrderPlanner::onAnswer(const OrderAnswered &answer, TimePoint now)
{
    if (!m_orderInFlight || m_orderInFlight->order.fencingToken != answer.fencingToken) {
        return;
    }
    const SendOrder order = m_orderInFlight->order;
    reset(now);
    if (!answer.accepted) {
        m_backoffUntil = now + refusalBackoff * (1U << std::min(m_consecutiveRefusals, maxBackoffDoublings));
        ++m_consecutiveRefusals;
        return;
    }
    m_consecutiveRefusals = 0;
    if (order.kind == OrderKind::LoadAdapter) {
        m_adapters.emplace(order.model, order.adapter);
    }
    if (order.kind == OrderKind::SetVersion || order.kind == OrderKind::LoadModel) {
        m_versions[order.model] = order.version;
    }
}

void OrderPlanner::discardReport(TimePoint now)
{
    reset(now);
}

std::optional<SendOrder> OrderPlanner::nextOrder(TimePoint now)
{
    if (m_orderInFlight && m_orderInFlight->sentAt + answerTimeout < now) {
        // The order may still take effect, so a newer report decides what to do next.
        reset(now);
    }
    const bool isCurrent = m_reportedAt && (!m_reportRequiredAfter || *m_reportedAt > *m_reportRequiredAfter);
    if (m_orderInFlight || !isCurrent || now < m_backoffUntil || m_version == 0) {
        return std::nullopt;
    }
    std::optional<SendOrder> order = chooseOrder(now);
    if (!order) {
        return std::nullopt;
    }
    order->fencingToken = nextFencingToken();
    m_orderInFlight = OrderInFlight{*order, now};
    return order;
}

bool OrderPlanner::inFlight() const noexcept
{
    return m_orderInFlight.has_value();
}

std::optional<SendOrder> OrderPlanner::chooseOrder(TimePoint now)
{
    for (const AssignedModel &model : m_assigned) {
        std::optional<SendOrder> order = orderFor(model, now);
        if (order) {
            return order;
        }
    }
    return unloadOrder(now);
}

std::optional<SendOrder> OrderPlanner::orderFor(const AssignedModel &model, TimePoint now)
{
    if (!m_loaded.contains(model.name)) {
        if (now < loadStartTime(model)) {
            return std::nullopt;
        }
        return SendOrder{0, OrderKind::LoadModel, model.name, {}, model.version};
    }
    if (!model.version.empty() && m_versions[model.name] != model.version) {
        return SendOrder{0, OrderKind::SetVersion, model.name, {}, model.version};
    }
    for (const AdapterName &adapter : model.adapters) {
        if (!m_adapters.contains({model.name, adapter})) {
            return SendOrder{0, OrderKind::LoadAdapter, model.name, adapter, model.version};
        }
    }
    return std::nullopt;
}

std::optional<SendOrder> OrderPlanner::unloadOrder(TimePoint now)
{
    std::map<ModelName, TimePoint> since;
    std::optional<SendOrder> order;
    for (const ModelName &loaded : m_loaded) {
        if (m_assignedSince.contains(loaded)) {
            continue;
        }
        const auto known = m_unassignedSince.find(loaded);
        since[loaded] = known == m_unassignedSince.end() ? now : known->second;
        if (!order && since[loaded] + unloadDelay < now) {
            order = SendOrder{0, OrderKind::UnloadModel, loaded, {}, {}};
        }
    }
    m_unassignedSince = std::move(since);
    return order;
}

TimePoint OrderPlanner::loadStartTime(const AssignedModel &model) const
{
    const double loadSeconds = static_cast<double>(model.megabytes) / storeMegabytesPerSecond;
    const std::uint64_t hash = XXH3_64bits_withSeed(m_engine.text().data(), m_engine.text().size(), m_seed ^ m_version);
    const double spread =
        jitterFraction * loadSeconds * static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
    const std::chrono::duration<double> delay{static_cast<double>(model.rank) * loadSeconds + spread};
    return m_assignedSince.at(model.name) + std::chrono::duration_cast<Duration>(delay);
}

std::uint64_t OrderPlanner::nextFencingToken()
{
    m_lastFencingToken = std::max(m_lastFencingToken + 1, m_version << orderCounterBits);
    return m_lastFencingToken;
}

void OrderPlanner::reset(TimePoint now)
{
    m_orderInFlight.reset();
    m_reportRequiredAfter = now + reportLag;
}

} // namespace bergamottide
