#pragma once

#include "bergamottide/admission/admissioncontrol.h"
#include "bergamottide/entry/entryreducer.h"
#include "bergamottide/entry/hedging.h"
#include "bergamottide/entry/peerstatetable.h"
#include "bergamottide/entry/requesttable.h"
#include "bergamottide/entry/timerqueue.h"
#include "bergamottide/placement/attemptbudget.h"
#include "bergamottide/placement/endpointtable.h"
#include "bergamottide/placement/outlierejector.h"
#include "bergamottide/placement/placement.h"
#include "bergamottide/placement/servicetimeestimator.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/**
 * @brief State shared by the components of an entry: tables, time and the effects of the current event.
 *
 * Each component holds a reference. Events are handled one at a time.
 */
struct EntryContext
{
    explicit EntryContext(EntryIdentity entryIdentity)
        : identity{std::move(entryIdentity)}
        , table{identity.region, identity.zone}
        , placement{table, identity.seed}
        , admission{placement, table}
        , ejector{table}
    {
    }

    /*! @brief Returns the limits of the current document; the defaults if there is none. */
    [[nodiscard]] const Policy &policy() const noexcept
    {
        return index ? index->document().policy : defaultPolicy;
    }

    /*! @brief Adds the effect that sends a message. */
    void send(const InstanceName &to, Message message)
    {
        effects.emplace_back(SendMessage{to, std::move(message)});
    }

    /*! @brief Adds the effect that updates a metric. */
    void observe(Metric metric, std::vector<std::string> labels, double value = 1.0)
    {
        effects.emplace_back(Observe{metric, std::move(labels), value});
    }

    /*! @brief Adds the effect that writes a log line. */
    void log(Severity severity, std::string text, std::vector<std::pair<std::string, std::string>> fields)
    {
        effects.emplace_back(LogLine{severity, Part::Entry, std::move(text), std::move(fields)});
    }

    EntryIdentity identity;
    Policy defaultPolicy;
    TimePoint now{};
    EntryEffects effects;
    std::shared_ptr<const DocumentIndex> index;
    std::shared_ptr<const InstanceView> view;
    /*! @brief Number of entries in the instance view, at least one. */
    std::size_t entryCount{1};
    EndpointTable table;
    Placement placement;
    AdmissionControl admission;
    OutlierEjector ejector;
    ServiceTimeEstimator estimator;
    AttemptBudget retryBudget;
    AttemptBudget hedgeBudget;
    Hedging hedging;
    TimerQueue timers;
    RequestTable requests;
    PeerStateTable peers;
    bool draining{};
    /*! @brief The process was suspended, and no sidecar has answered since; no run is started. */
    bool paused{};
    /*! @brief Requests whose next stage starts when `paused` ends. */
    std::vector<RequestId> deferred;
};

} // namespace bergamottide
