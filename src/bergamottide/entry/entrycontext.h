#pragma once

#include "bergamottide/admission/admission.h"
#include "bergamottide/entry/entryreducer.h"
#include "bergamottide/entry/hedging.h"
#include "bergamottide/entry/peertable.h"
#include "bergamottide/entry/requesttable.h"
#include "bergamottide/entry/timerqueue.h"
#include "bergamottide/placement/ejector.h"
#include "bergamottide/placement/endpointtable.h"
#include "bergamottide/placement/placement.h"
#include "bergamottide/placement/serviceestimator.h"
#include "bergamottide/placement/sharebudget.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/**
 * @brief State that the parts of an entry share: tables, time and the effects of the present event.
 *
 * The parts hold a reference each; one event is handled at a time.
 */
struct EntryContext
{
    explicit EntryContext(EntryIdentity who)
        : identity{std::move(who)}
        , table{identity.region, identity.zone}
        , placement{table, identity.seed}
        , admission{placement, table}
        , ejector{table}
    {
    }

    /*! @brief Limits in force; the defaults until there is a document. */
    [[nodiscard]] const Policy &policy() const noexcept
    {
        return index ? index->document().policy : defaultPolicy;
    }

    /*! @brief Sends a message. */
    void send(const InstanceName &to, Message message)
    {
        effects.emplace_back(SendMessage{to, std::move(message)});
    }

    /*! @brief Changes a metric. */
    void observe(Metric metric, std::vector<std::string> labels, double value = 1.0)
    {
        effects.emplace_back(Observe{metric, std::move(labels), value});
    }

    /*! @brief Writes a log line. */
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
    /*! @brief Entries in the view, this one included. */
    std::size_t entries{1};
    EndpointTable table;
    Placement placement;
    Admission admission;
    Ejector ejector;
    ServiceEstimator estimator;
    ShareBudget retries;
    ShareBudget hedges;
    Hedging hedging;
    TimerQueue timers;
    RequestTable requests;
    PeerTable peers;
    bool draining{};
    /*! @brief The process has woken from a pause, and nobody has answered it since. */
    bool paused{};
    /*! @brief Requests whose next stage waits for the end of the pause. */
    std::vector<RequestId> held;
};

} // namespace bergamottide
