#pragma once

#include "bergamottide/core/enumnames.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamottide {

/*! @brief Kind of a metric, as Prometheus knows them. */
enum class MetricType : std::uint8_t
{
    Counter,
    Gauge,
    Histogram
};

/*! @brief Every metric of the system; `MetricInfo` describes each. */
enum class Metric : std::uint8_t
{
    RequestsTotal,
    RequestsOnTimeTotal,
    RequestSeconds,
    RefusalsTotal,
    StageUsefulSecondsTotal,
    StageWastedSecondsTotal,
    StageWaitSeconds,
    QueueDepth,
    RunsInProgress,
    RetriesTotal,
    HedgesTotal,
    EjectionsTotal,
    ReconciliationsTotal,
    DroppedMessagesTotal,
    TokensRelayedTotal,
    ConfigVersion,
    ConfigAgeSeconds,
    ConfigRefusedTotal,
    ControlBytesTotal,
    OrdersTotal,
    LedgerRecords,
    LogLinesDroppedTotal,
    FirstEventSeconds,
    StageCallItems,
    ConfigurationsTotal,
    PeersLive,
    BrokenRunsTotal,
    EndpointCrashesTotal,
    QuarantinedRequests,
    QuarantinedPrompts,
    DrainNoticesTotal,
    PauseNoticesTotal,
    ForecastMarginSeconds,
    MalformedHeadersTotal,
    EndpointPace,
    WorkspacesAboveShare,
    LoadShare,
    ConnectionsTotal,
    EndpointListAgeSeconds,
    ResumedStreamsTotal,
    CallerRefusalsTotal,
    HeldBytes,
    ListFailuresTotal,
    MalformedEntriesTotal,
    DrainRejectionsTotal,
    ForeignAnswersTotal
};

template <>
struct EnumNames<Metric>
{
    static constexpr std::array<std::string_view, 46> names{"bergamottide_requests_total",
                                                            "bergamottide_requests_on_time_total",
                                                            "bergamottide_request_seconds",
                                                            "bergamottide_refusals_total",
                                                            "bergamottide_stage_useful_seconds_total",
                                                            "bergamottide_stage_wasted_seconds_total",
                                                            "bergamottide_stage_wait_seconds",
                                                            "bergamottide_queue_depth",
                                                            "bergamottide_runs_in_progress",
                                                            "bergamottide_retries_total",
                                                            "bergamottide_hedges_total",
                                                            "bergamottide_ejections_total",
                                                            "bergamottide_reconciliations_total",
                                                            "bergamottide_dropped_messages_total",
                                                            "bergamottide_tokens_relayed_total",
                                                            "bergamottide_config_version",
                                                            "bergamottide_config_age_seconds",
                                                            "bergamottide_config_refused_total",
                                                            "bergamottide_control_bytes_total",
                                                            "bergamottide_orders_total",
                                                            "bergamottide_ledger_records",
                                                            "bergamottide_log_lines_dropped_total",
                                                            "bergamottide_first_event_seconds",
                                                            "bergamottide_stage_call_items",
                                                            "bergamottide_configurations_total",
                                                            "bergamottide_peers_live",
                                                            "bergamottide_broken_runs_total",
                                                            "bergamottide_endpoint_crashes_total",
                                                            "bergamottide_quarantined_requests",
                                                            "bergamottide_quarantined_prompts",
                                                            "bergamottide_drain_notices_total",
                                                            "bergamottide_pause_notices_total",
                                                            "bergamottide_forecast_margin_seconds",
                                                            "bergamottide_malformed_headers_total",
                                                            "bergamottide_endpoint_pace",
                                                            "bergamottide_workspaces_above_share",
                                                            "bergamottide_load_share",
                                                            "bergamottide_connections_total",
                                                            "bergamottide_endpoint_list_age_seconds",
                                                            "bergamottide_resumed_streams_total",
                                                            "bergamottide_caller_refusals_total",
                                                            "bergamottide_held_bytes",
                                                            "bergamottide_list_failures_total",
                                                            "bergamottide_malformed_entries_total",
                                                            "bergamottide_drain_rejections_total",
                                                            "bergamottide_foreign_answers_total"};
};

/*! @brief Effect: a metric changes. */
struct Observe
{
    Metric metric{};
    /*! @brief Values of the metric's labels, in the order of its table. */
    std::vector<std::string> labels;
    double value{1.0};
};

} // namespace bergamottide
