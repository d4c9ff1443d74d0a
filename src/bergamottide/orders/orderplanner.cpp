#include "bergamottide/orders/orderplanner.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

/**
 * @brief Megabytes a second that the engines of one model draw from the weight store together.
 *
 * Two loads of ten gigabytes in ten seconds: below what one zone's store of today allows,
 * so that a few models may change at once. Faster would only queue at the store, with the
 * engines idle meanwhile.
 */
constexpr double megabytesPerSecond = 2000.0;
/*! @brief Share of a turn by which engines are spread around it, so that equal views do not act in step. */
constexpr double jitter = 0.5;
/*! @brief Age that the engine's own report may have: what is read sooner after an order may still show the old state.
 */
constexpr Duration reportLag = std::chrono::seconds{2};
/*! @brief Time without an answer after which an order is unsure; loading large weights takes minutes. */
constexpr Duration answerLimit = std::chrono::seconds{120};
/*! @brief Pause after a refused order, doubled with each: an engine that refuses is busy, or does not know the order.
 */
constexpr Duration refusedPause = std::chrono::seconds{5};
/*! @brief Doublings of that pause at most: five minutes, so that an engine that was mended is noticed. */
constexpr unsigned maxDoublings = 6;
/**
 * @brief Time a model stays loaded after it is due no more.
 *
 * Longer than views lag and than documents that are corrected at once, so that a flapping
 * list or a mistake costs no loads.
 */
constexpr Duration unloadDelay = std::chrono::seconds{60};
/*! @brief Orders for each document version before numbers of the next are reached; far more than are ever given. */
constexpr unsigned fenceBits = 20;

} // namespace

OrderPlanner::OrderPlanner(InstanceName engine, std::uint64_t seed)
    : m_engine{std::move(engine)}
    , m_seed{seed}
{
}

void OrderPlanner::plan(const Document &document, const InstanceView &view, TimePoint now)
{
    m_version = document.version;
    m_due = modelsDue(document, view, m_engine);
    std::map<ModelName, TimePoint> since;
    for (const DueModel &model : m_due) {
        const auto known = m_dueSince.find(model.name);
        since[model.name] = known == m_dueSince.end() ? now : known->second;
    }
    m_dueSince = std::move(since);
}

void OrderPlanner::onReport(const EndpointReport &report, TimePoint now)
{
    m_readAt = now;
    m_lastFence = std::max(m_lastFence, report.fence);
    m_held = {report.models.begin(), report.models.end()};
    // A model that is gone comes back as the engine loads it, whatever was set before.
    std::erase_if(m_versions, [this](const auto &entry) { return !m_held.contains(entry.first); });
    std::erase_if(m_adapters, [this](const auto &entry) { return !m_held.contains(entry.first); });
}

void OrderPlanner::onAnswer(const OrderAnswered &answer, TimePoint now)
{
    if (!m_inFlight || m_inFlight->order.fence != answer.fence) {
        return;
    }
    const GiveOrder order = m_inFlight->order;
    settle(now);
    if (!answer.accepted) {
        m_holdUntil = now + refusedPause * (1U << std::min(m_refusals, maxDoublings));
        ++m_refusals;
        return;
    }
    m_refusals = 0;
    if (order.kind == OrderKind::LoadAdapter) {
        m_adapters.emplace(order.model, order.adapter);
    }
    if (order.kind == OrderKind::SetVersion || order.kind == OrderKind::LoadModel) {
        m_versions[order.model] = order.version;
    }
}

void OrderPlanner::forgetReading(TimePoint now)
{
    settle(now);
}

std::optional<GiveOrder> OrderPlanner::next(TimePoint now)
{
    if (m_inFlight && m_inFlight->givenAt + answerLimit < now) {
        // Unsure: it may still take effect. What the engine holds decides, read anew.
        settle(now);
    }
    const bool fresh = m_readAt && (!m_readAfter || *m_readAt > *m_readAfter);
    if (m_inFlight || !fresh || now < m_holdUntil || m_version == 0) {
        return std::nullopt;
    }
    std::optional<GiveOrder> order = compare(now);
    if (!order) {
        return std::nullopt;
    }
    order->fence = nextFence();
    m_inFlight = InFlight{*order, now};
    return order;
}

bool OrderPlanner::inFlight() const noexcept
{
    return m_inFlight.has_value();
}

std::optional<GiveOrder> OrderPlanner::compare(TimePoint now)
{
    for (const DueModel &model : m_due) {
        std::optional<GiveOrder> order = orderFor(model, now);
        if (order) {
            return order;
        }
    }
    return unload(now);
}

std::optional<GiveOrder> OrderPlanner::orderFor(const DueModel &model, TimePoint now)
{
    if (!m_held.contains(model.name)) {
        if (now < loadTurn(model)) {
            return std::nullopt;
        }
        return GiveOrder{0, OrderKind::LoadModel, model.name, {}, model.version};
    }
    if (!model.version.empty() && m_versions[model.name] != model.version) {
        return GiveOrder{0, OrderKind::SetVersion, model.name, {}, model.version};
    }
    for (const AdapterName &adapter : model.adapters) {
        if (!m_adapters.contains({model.name, adapter})) {
            return GiveOrder{0, OrderKind::LoadAdapter, model.name, adapter, model.version};
        }
    }
    return std::nullopt;
}

std::optional<GiveOrder> OrderPlanner::unload(TimePoint now)
{
    std::map<ModelName, TimePoint> since;
    std::optional<GiveOrder> order;
    for (const ModelName &held : m_held) {
        if (m_dueSince.contains(held)) {
            continue;
        }
        const auto known = m_surplusSince.find(held);
        since[held] = known == m_surplusSince.end() ? now : known->second;
        if (!order && since[held] + unloadDelay < now) {
            order = GiveOrder{0, OrderKind::UnloadModel, held, {}, {}};
        }
    }
    m_surplusSince = std::move(since);
    return order;
}

TimePoint OrderPlanner::loadTurn(const DueModel &model) const
{
    const double turn = static_cast<double>(model.megabytes) / megabytesPerSecond;
    const std::uint64_t hash = XXH3_64bits_withSeed(m_engine.text().data(), m_engine.text().size(), m_seed ^ m_version);
    const double spread = jitter * turn * static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
    const std::chrono::duration<double> delay{static_cast<double>(model.rank) * turn + spread};
    return m_dueSince.at(model.name) + std::chrono::duration_cast<Duration>(delay);
}

std::uint64_t OrderPlanner::nextFence()
{
    m_lastFence = std::max(m_lastFence + 1, m_version << fenceBits);
    return m_lastFence;
}

void OrderPlanner::settle(TimePoint now)
{
    m_inFlight.reset();
    m_readAfter = now + reportLag;
}

} // namespace bergamottide
