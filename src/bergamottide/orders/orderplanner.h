#pragma once

#include "bergamottide/orders/assignment.h"
#include "bergamottide/side/sideevents.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/**
 * @brief Gives the orders that bring one engine to what it should hold; its single giver.
 *
 * It compares what is due with what the engine reports, and gives one order at a time.
 * Before each order it wants a report that was read after the last order was answered and
 * the engine's lag has passed, so that it never acts on an old reading. An answer that
 * does not come within a time limit leaves the order unsure: it is neither repeated nor
 * believed, but what the engine holds is read again and compared.
 *
 * Fencing numbers grow with the document's version and with every order, and always above
 * what the engine has reported, so that engines that honour them refuse the orders of a
 * process that was replaced. Engines that ignore them are protected by the rest.
 *
 * Load it is made for: a change of the document that makes hundreds of engines load the
 * same weights. Harm prevented: a stampede at the rate-limited weight store. The engines
 * of a model wait by rank for their turn, with jitter, without talking to each other.
 */
class OrderPlanner
{
public:
    /**
     * @brief Creates a planner that gives no order until it has a plan and a report.
     * @param engine Name of the side beside the engine.
     * @param seed Seed of the jitter.
     */
    OrderPlanner(InstanceName engine, std::uint64_t seed);

    /**
     * @brief Takes over what is due by document and view.
     * @param document Document in force.
     * @param view Instance list as last heard.
     * @param now Present time.
     */
    void plan(const Document &document, const InstanceView &view, TimePoint now);

    /**
     * @brief Takes over what the engine holds.
     * @param report Report of the engine.
     * @param now Time at which it was read.
     */
    void onReport(const EndpointReport &report, TimePoint now);

    /**
     * @brief Handles the answer to an order.
     * @param answer Answer; ignored unless it is that of the order in flight.
     * @param now Present time.
     */
    void onAnswer(const OrderAnswered &answer, TimePoint now);

    /*! @brief Forgets what was read: after a pause nothing old is acted on. */
    void forgetReading(TimePoint now);

    /**
     * @brief Decides on the next order.
     * @param now Present time.
     * @return The order to give, if one is due now.
     */
    [[nodiscard]] std::optional<GiveOrder> next(TimePoint now);

    /*! @brief Tells if an order is in flight. */
    [[nodiscard]] bool inFlight() const noexcept;

private:
    struct InFlight
    {
        GiveOrder order;
        TimePoint givenAt;
    };

    [[nodiscard]] std::optional<GiveOrder> compare(TimePoint now);
    [[nodiscard]] std::optional<GiveOrder> orderFor(const DueModel &model, TimePoint now);
    [[nodiscard]] std::optional<GiveOrder> unload(TimePoint now);
    [[nodiscard]] TimePoint loadTurn(const DueModel &model) const;
    [[nodiscard]] std::uint64_t nextFence();
    void settle(TimePoint now);

    InstanceName m_engine;
    std::uint64_t m_seed;
    std::uint64_t m_version{};
    std::vector<DueModel> m_due;
    /*! @brief Since when each due model has been due. */
    std::map<ModelName, TimePoint> m_dueSince;
    /*! @brief Since when each model held has not been due. */
    std::map<ModelName, TimePoint> m_surplusSince;
    std::set<ModelName> m_held;
    /*! @brief Versions and adapters that the engine has accepted since it last loaded the model. */
    std::map<ModelName, std::string> m_versions;
    std::set<std::pair<ModelName, AdapterName>> m_adapters;
    std::uint64_t m_lastFence{};
    /*! @brief A reading before this time says nothing about the engine's present state. */
    std::optional<TimePoint> m_readAfter;
    std::optional<TimePoint> m_readAt;
    /*! @brief No order before this time, after one was refused. */
    TimePoint m_holdUntil;
    /*! @brief Orders refused since one was accepted. */
    unsigned m_refusals{};
    std::optional<InFlight> m_inFlight;
};

} // namespace bergamottide
