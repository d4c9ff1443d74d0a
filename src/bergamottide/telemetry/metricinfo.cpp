#include "bergamottide/telemetry/metricinfo.h"

namespace bergamottide {

namespace {

/*! @brief Bounds in seconds: from a service on loopback to beyond the deadlines of 9 s in use. */
std::vector<double> secondsBuckets()
{
    return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 9, 20, 60};
}

} // namespace

std::span<const MetricInfo> metricInfos()
{
    constexpr auto counter = MetricType::Counter;
    constexpr auto gauge = MetricType::Gauge;
    constexpr auto histogram = MetricType::Histogram;
    static const std::vector<MetricInfo> table{
        {Metric::RequestsTotal, counter, "Requests that have got their outcome.", {"workspace", "kind", "outcome"}, {}},
        {Metric::RequestsOnTimeTotal,
         counter,
         "Requests completed within their deadline; over the total it is the attainment.",
         {"workspace", "kind"},
         {}},
        {Metric::RequestSeconds,
         histogram,
         "Time from the arrival of a request to its final answer.",
         {"kind"},
         secondsBuckets()},
        {Metric::RefusalsTotal, counter, "Requests and runs refused or ended without a result.", {"reason"}, {}},
        {Metric::StageUsefulSecondsTotal,
         counter,
         "Time of stages spent on results that were of use.",
         {"stage", "workspace"},
         {}},
        {Metric::StageWastedSecondsTotal,
         counter,
         "Time of stages spent on results that were of no use.",
         {"stage", "workspace"},
         {}},
        {Metric::StageWaitSeconds,
         histogram,
         "Time of a run in the queue of its side.",
         {"stage", "workspace"},
         secondsBuckets()},
        {Metric::QueueDepth, gauge, "Runs queued at the side.", {}, {}},
        {Metric::RunsInProgress, gauge, "Runs at the endpoint.", {}, {}},
        {Metric::RetriesTotal, counter, "Further attempts at a stage after one was lost.", {"stage"}, {}},
        {Metric::HedgesTotal, counter, "Second attempts beside a slow one.", {"stage"}, {}},
        {Metric::EjectionsTotal, counter, "Endpoints taken out of use for a while.", {"pool"}, {}},
        {Metric::ReconciliationsTotal, counter, "States of runs asked for after a silence.", {}, {}},
        {Metric::DroppedMessagesTotal, counter, "Messages that matched nothing and were dropped.", {"message"}, {}},
        {Metric::TokensRelayedTotal, counter, "Generated tokens relayed to callers.", {"workspace"}, {}},
        {Metric::ConfigVersion, gauge, "Version of the configuration document in force.", {}, {}},
        {Metric::ConfigAgeSeconds,
         gauge,
         "Time since the document in force was last known to be the one published.",
         {},
         {}},
        {Metric::ConfigRefusedTotal, counter, "Configuration documents and deltas refused.", {"reason"}, {}},
        {Metric::ControlBytesTotal,
         counter,
         "Bytes of control messages: configuration, instance list, load reports.",
         {"direction"},
         {}},
        {Metric::OrdersTotal, counter, "Orders given to the engine.", {"kind", "result"}, {}},
        {Metric::LedgerRecords, gauge, "Requests in the ledger of the side.", {}, {}},
        {Metric::LogLinesDroppedTotal, counter, "Log lines left out to keep the volume bounded.", {}, {}},
        {Metric::FirstEventSeconds,
         histogram,
         "Time from the sending of a generation to its first event.",
         {"pool"},
         secondsBuckets()},
        {Metric::StageCallItems, histogram, "Items of a stage call.", {"pool"}, {1, 2, 4, 8, 16, 24, 32, 48, 64}},
        {Metric::ConfigurationsTotal, counter, "Configurations put in force.", {}, {}},
        {Metric::PeersLive, gauge, "Peers that are alive and take work.", {}, {}},
        {Metric::BrokenRunsTotal,
         counter,
         "Runs whose connection broke before their response was complete.",
         {"pool"},
         {}},
        {Metric::EndpointCrashesTotal, counter, "Endpoints that crashed under runs of this process.", {"pool"}, {}},
        {Metric::QuarantinedRequests, gauge, "Requests rejected because endpoints crash when they run them.", {}, {}},
        {Metric::QuarantinedPrompts,
         gauge,
         "Combinations of prompt parts whose requests are rejected because endpoints crash when they run them.",
         {},
         {}},
        {Metric::DrainNoticesTotal,
         counter,
         "Responses in which an endpoint announced that it is about to stop.",
         {"pool"},
         {}},
        {Metric::PauseNoticesTotal,
         counter,
         "Responses in which an endpoint asked for a time without requests.",
         {"pool"},
         {}},
        {Metric::ForecastMarginSeconds,
         gauge,
         "Margin for the error of forecast responses of requests with stages, after the latest sample.",
         {"route"},
         {}},
        {Metric::MalformedHeadersTotal,
         counter,
         "Headers of endpoints that were ignored since their values cannot be read.",
         {"pool", "header"},
         {}},
        {Metric::EndpointPace,
         histogram,
         "Pace that endpoints report: how long work takes, relative to the usual time.",
         {"pool"},
         {0.5, 0.75, 1, 1.25, 1.5, 2, 3, 5, 10}},
        {Metric::WorkspacesAboveShare,
         gauge,
         "Workspaces that received more than their share of a scarce stage pool, at the owner of its queue.",
         {"pool"},
         {}},
        {Metric::LoadShare,
         gauge,
         "Part of the processor or link of the process that work took in the last 300 ms; 1 is all of it.",
         {"resource"},
         {}},
        {Metric::ConnectionsTotal,
         counter,
         "Connections of callers that were served, or closed unread since the process was overloaded.",
         {"outcome"},
         {}},
        {Metric::EndpointListAgeSeconds,
         gauge,
         "Time since the platform's list of endpoints was last confirmed.",
         {},
         {}},
        {Metric::ResumedStreamsTotal,
         counter,
         "Resumed streams by what told the software version that began them.",
         {"source"},
         {}},
        {Metric::CallerRefusalsTotal,
         counter,
         "Callers that were rejected or cut off, since memory was scarce or they kept to no limit.",
         {"reason"},
         {}},
        {Metric::HeldBytes, gauge, "Memory charged for callers.", {"purpose"}, {}},
        {Metric::ListFailuresTotal,
         counter,
         "Lists of the platform's store that were given up though it replied.",
         {"reason"},
         {}},
        {Metric::MalformedEntriesTotal,
         counter,
         "Entries of the platform's list that turned out to name no endpoint.",
         {},
         {}},
        {Metric::DrainRejectionsTotal,
         counter,
         "Requests that a draining process rejected, not run, since they would outlast it.",
         {},
         {}},
        {Metric::ForeignAnswersTotal,
         counter,
         "Answers of endpoints to calls that do not belong to them, by what their identity showed.",
         {"identity"},
         {}},
    };
    return table;
}

std::string metricReference()
{
    constexpr std::array<std::string_view, 3> types{"counter", "gauge", "histogram"};
    std::string out = "| Metric | Type | Labels | Meaning |\n| --- | --- | --- | --- |\n";
    for (const MetricInfo &info : metricInfos()) {
        std::string labels;
        for (const std::string_view label : info.labels) {
            labels.append(labels.empty() ? "`" : ", `").append(label).append("`");
        }
        out.append("| `").append(enumName(info.metric)).append("` | ");
        out.append(types.at(static_cast<std::size_t>(info.type))).append(" | ").append(labels).append(" | ");
        out.append(info.help).append(" |\n");
    }
    return out;
}

} // namespace bergamottide
