#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bergamottide {

/**
 * @file
 * @brief Messages between the processes of the system.
 *
 * They travel in both directions of one stream per pair of processes. A message may be
 * lost, late, repeated or overtaken by another; every reducer copes with that. Times travel
 * as remaining durations, never as points in time, so that no two clocks are compared.
 */

/*! @brief First message on every stream, in both directions. */
struct Hello
{
    InstanceName instance;
    Incarnation incarnation{};
    /*! @brief Configuration version in force at the sender; zero if none. */
    std::uint64_t configVersion{};
};

/*! @brief Entry to side: open a ledger record for a request whose last stage must run at most once. */
struct OpenRequest
{
    RequestId request;
    WorkspaceName workspace;
    /*! @brief Time left until the deadline; no run of this request starts after it. */
    Duration remaining{};
    /*! @brief The identity was derived from an idempotency key, so others may open it too. */
    bool hasIdempotencyKey{};
};

/*! @brief State of a request in the ledger of its home. */
enum class LedgerState : std::uint8_t
{
    /*! @brief The ledger has no such serial. */
    Absent,
    Opened,
    Queued,
    Running,
    Finished,
    /*! @brief Confirmed: its run never started and never will. */
    Sealed
};

template <>
struct EnumNames<LedgerState>
{
    static constexpr std::array<std::string_view, 6> names{"absent",  "opened",   "queued",
                                                           "running", "finished", "sealed"};
};

/*! @brief Side to entry: the record is open; the serial is the capability for its one run. */
struct RequestOpened
{
    RequestId request;
    Incarnation incarnation{};
    Serial serial{};
    LedgerState state{};
};

/*! @brief Side to entry: no record was opened, nothing will run. */
struct OpenRefused
{
    RequestId request;
    Reason reason{};
    /*! @brief Time after which another try makes sense. */
    Duration retryAfter{};
};

/*! @brief Entry to side: run one stage. */
struct StartRun
{
    RunId run;
    /*! @brief Serial for a run that must not be repeated; `noSerial` for a repeatable one. */
    Serial serial{};
    /*! @brief Incarnation that issued the serial; ignored for a repeatable run. */
    Incarnation incarnation{};
    WorkspaceName workspace;
    PipelineName pipeline;
    StageName stage;
    KindName kind;
    ModelName model;
    AdapterName adapter;
    std::string modelVersion;
    Priority priority{};
    /*! @brief Value of the request's kind, from the document; 1 is ordinary. */
    double value{1.0};
    /*! @brief Size of the work in the stage's own unit (bytes of input, or tokens wanted). */
    double size{};
    /*! @brief Time left until the deadline of the whole request. */
    Duration remaining{};
    /*! @brief Estimated service time of this stage. */
    Duration cost{};
    /*! @brief Estimated service time of all following stages. */
    Duration laterStagesCost{};
    /*! @brief Tokens wanted at most; zero for a stage that generates none. */
    std::uint32_t maxTokens{};
    /*! @brief Results are wanted piece by piece. */
    bool streaming{};
    /*! @brief Hash of the prompt's prefix for cache affinity; zero if unknown. */
    std::uint64_t prefix{};
    /*! @brief Body of the caller's request. */
    std::string body;
    /*! @brief Result of the previous stage; empty for the first one. */
    std::string previousResult;
};

/*! @brief Entry to side: stop a run; a run that has not started is confirmed as such. */
struct CancelRun
{
    RunId run;
    Serial serial{};
};

/*! @brief Where a run stands at its side. */
enum class RunState : std::uint8_t
{
    Absent,
    Queued,
    Running,
    Completed,
    NotStarted,
    Failed,
    Unknown
};

template <>
struct EnumNames<RunState>
{
    static constexpr std::array<std::string_view, 7> names{"absent",      "queued", "running", "completed",
                                                           "not_started", "failed", "unknown"};
};

/*! @brief Side to entry: a piece of the result, or a sign of life when the piece is empty. */
struct RunProgress
{
    RunId run;
    RunState state{};
    /*! @brief Position of the piece within the whole result, in bytes. */
    std::uint64_t offset{};
    std::string piece;
    /*! @brief Tokens in this piece. */
    std::uint32_t tokens{};
};

/*! @brief Side to entry: the run has ended; repeated until the entry acknowledges it. */
struct RunFinished
{
    RunId run;
    /*! @brief Completed, NotStarted, Failed or Unknown. */
    RunState state{};
    Reason reason{};
    /*! @brief Length of the whole result in bytes; pieces up to it have been sent. */
    std::uint64_t length{};
    /*! @brief Digest (XXH3, 64 bits) of the whole result. */
    std::uint64_t digest{};
    /*! @brief Time spent at the endpoint. */
    Duration serviceTime{};
    /*! @brief Time spent in the side's queue. */
    Duration queueTime{};
    /*! @brief Tokens in the whole result. */
    std::uint32_t tokens{};
    Duration retryAfter{};
};

/*! @brief Entry to side: the result has arrived whole; the side may forget a repeatable run. */
struct RunAcknowledged
{
    RunId run;
};

/*! @brief Entry to side: tell the state of these runs and send their results from these offsets. */
struct QueryRuns
{
    struct Item
    {
        RunId run;
        std::uint64_t offset{};
    };

    std::vector<Item> items;
};

/*! @brief Side to entry: state of the runs asked for; `Absent` means it was never started here or is forgotten. */
struct RunStates
{
    struct Item
    {
        RunId run;
        RunState state{};
    };

    Incarnation incarnation{};
    std::vector<Item> items;
};

/*! @brief Entry to side: attach to a request by its serial and send its result from the offset on. */
struct AttachRequest
{
    RequestId request;
    Incarnation incarnation{};
    Serial serial{};
    std::uint64_t offset{};
};

/*! @brief Entry to side: never start the run of this serial if it has not started yet. */
struct SealRequest
{
    RequestId request;
    Incarnation incarnation{};
    Serial serial{};
};

/*! @brief Side to entry: state of a serial, in answer to attaching and sealing. */
struct RequestState
{
    RequestId request;
    Incarnation incarnation{};
    Serial serial{};
    LedgerState state{};
    /*! @brief Run of the serial, if one has been queued or started. */
    RunId run;
};

/*! @brief Side to entry, periodic: load of the endpoint and its queue. */
struct LoadReport
{
    struct Wait
    {
        WorkspaceName workspace;
        Duration wait{};
    };

    Incarnation incarnation{};
    /*! @brief New runs are refused: the sidecar drains, or has no document yet. */
    bool draining{};
    std::uint32_t queued{};
    std::uint32_t running{};
    std::uint32_t concurrency{};
    /*! @brief Estimated wait of a new run of a workspace with nothing queued. */
    Duration wait{};
    /*! @brief Estimated waits of workspaces that have runs queued. */
    std::vector<Wait> waits;
    /*! @brief Smoothed service time per unit of size, in microseconds. */
    double servicePerUnit{};
    /*! @brief Share of recent runs that failed, from 0 to 1. */
    double failureShare{};
    /*! @brief Models loaded at the engine. */
    std::vector<ModelName> models;
};

/*! @brief Child to parent in the configuration tree: send versions above this one. */
struct ConfigSubscribe
{
    std::uint64_t version{};
    std::uint64_t digest{};
};

/*! @brief Sections of a document that changed between two versions. */
struct ConfigDelta
{
    struct Section
    {
        std::string name;
        /*! @brief YAML text of the section; empty if it was removed. */
        std::string text;
    };

    std::uint64_t version{};
    /*! @brief Digest (XXH3, 64 bits) of the whole document of that version. */
    std::uint64_t digest{};
    /*! @brief Version the delta starts from; zero for a whole document. */
    std::uint64_t base{};
    std::uint64_t baseDigest{};
    std::vector<Section> sections;
    /*! @brief Time since the configuration service confirmed that version, as far as the sender knows. */
    Duration sourceAge{};
};

/*! @brief Either way: a question whether the other end still answers. */
struct Ping
{
    std::uint64_t sequence{};
};

/*! @brief Answer to a ping. */
struct Pong
{
    std::uint64_t sequence{};
};

/*! @brief Any message between two processes of the system. */
using Message = std::variant<Hello, OpenRequest, RequestOpened, OpenRefused, StartRun, CancelRun, RunProgress,
                             RunFinished, RunAcknowledged, QueryRuns, RunStates, AttachRequest, SealRequest,
                             RequestState, LoadReport, ConfigSubscribe, ConfigDelta, Ping, Pong>;

} // namespace bergamottide
