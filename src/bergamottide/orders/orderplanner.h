#pragma once

#include "bergamottide/orders/assignment.h"
#include "bergamottide/sidecar/sidecarevents.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/**
 * @brief Issues the orders that make an engine load its assigned models.
 *
 * It compares the assigned models with the engine's reports and issues one order at a
 * time. After the answer to an order, reports may be outdated for some seconds, so
 * the next order waits for a later report. If the answer times out, the order is not
 * repeated; a later report shows whether it took effect.
 *
 * Fencing tokens increase with the document version and with every order, and exceed the
 * token that the engine reports, so that an engine can refuse the orders of a replaced
 * sidecar.
 *
 * The engines that load the same model start one after another, by rank and with jitter,
 * so that a new document does not overload the weight store.
 */
class OrderPlanner
{
public:
    /**
     * @brief Creates a planner that issues no order before `plan` and `onReport` were called.
     * @param engine Name of the engine's sidecar.
     * @param seed Seed of the jitter.
     */
    OrderPlanner(InstanceName engine, std::uint64_t seed);

    /**
     * @brief Computes the assigned models.
     * @param document Current configuration document.
     * @param view Current instance view.
     * @param now Current time.
     */
    void plan(const Document &document, const InstanceView &view, TimePoint now);

    /**
     * @brief Handles a load report of the engine.
     * @param now Time at which the report was received.
     */
    void onReport(const EndpointLoadReport &report, TimePoint now);

    /**
     * @brief Handles the answer to an order.
     * @param answer Answer; ignored unless its fencing token is that of the order in flight.
     * @param now Current time.
     */
    void onAnswer(const OrderAnswered &answer, TimePoint now);

    /*! @brief Discards the last report and the order in flight, as after a suspension of the process. */
    void discardReport(TimePoint now);

    /**
     * @brief Returns the next order, which is then in flight until `onAnswer`.
     * @param now Current time.
     * @return Order to send; absent if none is due.
     */
    [[nodiscard]] std::optional<SendOrder> nextOrder(TimePoint now);

    /*! @brief Returns whether an order is in flight. */
    [[nodiscard]] bool inFlight() const noexcept;

private:
    struct OrderInFlight
    {
        SendOrder order;
        TimePoint sentAt;
    };

    [[nodiscard]] std::optional<SendOrder> chooseOrder(TimePoint now);
    [[nodiscard]] std::optional<SendOrder> orderFor(const AssignedModel &model, TimePoint now);
    [[nodiscard]] std::optional<SendOrder> unloadOrder(TimePoint now);
    [[nodiscard]] TimePoint loadStartTime(const AssignedModel &model) const;
    [[nodiscard]] std::uint64_t nextFencingToken();
    void reset(TimePoint now);

    InstanceName m_engine;
    std::uint64_t m_seed;
    std::uint64_t m_version{};
    std::vector<AssignedModel> m_assigned;
    /*! @brief Time at which each assigned model was assigned. */
    std::map<ModelName, TimePoint> m_assignedSince;
    /*! @brief Time since which each loaded model has not been assigned. */
    std::map<ModelName, TimePoint> m_unassignedSince;
    /*! @brief Models in the last report. */
    std::set<ModelName> m_loaded;
    /*! @brief Version set by accepted orders, for each loaded model. */
    std::map<ModelName, std::string> m_versions;
    /*! @brief Adapters loaded by accepted orders, for each loaded model. */
    std::set<std::pair<ModelName, AdapterName>> m_adapters;
    std::uint64_t m_lastFencingToken{};
    /*! @brief Only a report after this time shows the current state of the engine. */
    std::optional<TimePoint> m_reportRequiredAfter;
    std::optional<TimePoint> m_reportedAt;
    /*! @brief No order is issued before this time, because one was refused. */
    TimePoint m_backoffUntil;
    /*! @brief Orders refused since the last accepted one. */
    unsigned m_consecutiveRefusals{};
    std::optional<OrderInFlight> m_orderInFlight;
};

} // namespace bergamottide
