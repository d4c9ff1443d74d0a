#pragma once

#include "bergamottide/catalog/catalog.h"
#include "bergamottide/core/enumnames.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/promptchain.h"
#include "bergamottide/events/heartbeat.h"
#include "bergamottide/events/requestfingerprint.h"
#include "bergamottide/events/stagetask.h"
#include "bergamottide/load/endpointload.h"
#include "bergamottide/net/http.h"
#include "bergamottide/retries/retrybudget.h"
#include "bergamottide/telemetry/logline.h"
#include "bergamottide/telemetry/metric.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * @brief Events that `ServingReducer` takes and effects that it returns.
 */
namespace bergamottide::serving {

/*! @brief Identifies one run of a request at an endpoint; unique within this process. */
enum class RunNumber : std::uint64_t
{
};

/*! @brief Identifies one call to an endpoint of a stage pool; unique within this process. */
enum class StageCallNumber : std::uint64_t
{
};

using engines::PromptPart;

/*! @brief Decoded request of a caller. */
struct CallerRequest
{
    CallId call{};
    /*! @brief Identity of the caller's attempt; forwarded to the endpoint unchanged. */
    std::string attempt;
    std::string method;
    std::string host;
    /*! @brief Path and query as received. */
    std::string target;
    /*! @brief Path without query. */
    std::string path;
    /*! @brief Headers that are forwarded to the endpoint unchanged. */
    HttpHeaders headers;
    std::string body;
    /*! @brief How long the caller waits for the response, counted from arrival. */
    std::optional<Duration> deadline;
    /*! @brief API key of the workspace. */
    std::string apiKey;
    /*! @brief Requested model; empty if the request names none. */
    std::string model;
    /*! @brief Length of the prompt, and the upper bound on generated tokens. */
    std::uint64_t promptTokens{};
    std::uint64_t outputTokens{};
    std::vector<PromptPart> prompt;
    /*! @brief Number of pieces of each stage, by position of the stage; zero for stages beyond the end. */
    std::vector<std::uint32_t> pieces;
    /*! @brief Input key for stages without dependencies. */
    std::string pieceKey;
    /*! @brief Last event ID that the caller received on an earlier attempt (`Last-Event-ID`). */
    std::string lastEventId;
    /*! @brief Attempt that brought the first event of the stream that the caller resumes; empty for a new stream. */
    std::string resumedAttempt;

    /*! @brief Returns whether the caller resumes a stream of an earlier attempt. */
    [[nodiscard]] bool resumesStream() const noexcept
    {
        return !lastEventId.empty() || !resumedAttempt.empty();
    }
};

/*! @brief Entry of the platform's endpoint list. */
struct EndpointRecord
{
    InstanceName instance;
    PoolName pool;
    std::string address;
    ZoneName zone;
    std::uint32_t slots{1};
    /*! @brief Accepts no new work. */
    bool draining{};
    /*! @brief Changes with each start of the instance; zero if unknown. */
    std::uint64_t incarnation{};
    /*! @brief Version of its software, not of its weights; endpoints of several versions may serve a pool. */
    SoftwareVersion softwareVersion;
    /*! @brief Remaining warm-up time when the entry was written; zero if warm. */
    Duration remainingWarmup{};
    /*! @brief End of the warm-up by the local clock; set by `EndpointDirectory`. */
    TimePoint warmupEndsAt{};
    /*! @brief Its availability zone is evacuated, so it accepts no new work; set by `EndpointDirectory`. */
    bool isEvacuated{};

    /*! @brief Returns whether new work may be sent to it. */
    [[nodiscard]] bool acceptsWork() const noexcept
    {
        return !draining && !isEvacuated;
    }
};

using EndpointList = std::vector<EndpointRecord>;

using load::EndpointLoad;

/*! @brief What a response says of the rate of requests that its endpoint accepts. */
struct LimitNotice
{
    /*! @brief Requests per second from all processes together; empty if the endpoint sets no limit. */
    std::optional<double> requestsPerSecond;
};

/*! @brief What an endpoint says of itself in a response, whatever the request was. */
struct EndpointNotice
{
    std::optional<EndpointLoad> load;
    /*! @brief Remaining warm-up time; zero if not reported. */
    Duration remainingWarmup{};
    /*! @brief Nothing if the response does not tell; what is known of the limit still holds. */
    std::optional<LimitNotice> limit;
    /*! @brief It is about to stop and is to get no new work. */
    bool isDraining{};
    /*! @brief Time for which it wants no requests from this process; zero for none. */
    Duration pause{};
    /*! @brief Names of the headers whose values cannot be read. */
    std::vector<std::string> malformedHeaders;
};

/*! @brief Status and headers of an endpoint's response, decoded. */
struct EndpointResponseHead
{
    int status{};
    /*! @brief Headers that are forwarded to the caller unchanged. */
    HttpHeaders headers;
    /*! @brief The endpoint states that it did not execute the request. */
    bool notExecuted{};
    /*! @brief Not executed because inputs could not be fetched: they no longer exist, or their zone is unreachable. */
    bool areInputsMissing{};
    /*! @brief The response belongs to another request. */
    bool isForOtherRequest{};
    /*! @brief Signed by the endpoint and without a content encoding; a success is forwarded only if set. */
    bool isSigned{};
};

/*! @brief Why a run ended without a complete response. */
enum class RunFailure : std::uint8_t
{
    /*! @brief The connection could not be established; nothing was sent. */
    ConnectFailed,
    /*! @brief The connection was lost or the response is invalid; the request may have been executed. */
    Broken
};

/*! @brief Event: a request has been received from a caller. */
struct RequestArrived
{
    CallerRequest request;
};

/*! @brief Event: a caller has disconnected before its response was complete. */
struct CallerDisconnected
{
    CallId call{};
};

/*! @brief Event: an endpoint has responded to a run, a stage call, a check or a release of results; precedes the event
 * for that request. */
struct EndpointResponded
{
    InstanceName instance;
    EndpointNotice notice;
};

/*! @brief Event: the response headers of a run have been received. */
struct RunHeadReceived
{
    RunNumber run{};
    EndpointResponseHead head;
};

/*! @brief Event: part of the response body of a run has been received. */
struct RunBodyReceived
{
    RunNumber run{};
    std::string bytes;
};

/*! @brief Event: the response of a run is complete. */
struct RunCompleted
{
    RunNumber run{};
};

/*! @brief Event: a run has failed before its response was complete. */
struct RunFailed
{
    RunNumber run{};
    RunFailure failure{};
};

/*! @brief State of an endpoint process, as found by a check. */
enum class EndpointState : std::uint8_t
{
    Running,
    /*! @brief Its address refuses connections, or another instance runs there. */
    Stopped,
    /*! @brief The check got no answer. */
    Unknown
};

/*! @brief Event: the check of an endpoint has ended. */
struct EndpointChecked
{
    InstanceName instance;
    EndpointState state{};
};

/*! @brief Outcome of a stage call. */
enum class StageCallStatus : std::uint8_t
{
    Answered,
    /*! @brief The endpoint accepted no work: it is full, or another instance runs at its address. */
    Rejected,
    ConnectFailed,
    Broken
};

/*! @brief Event: a stage call has ended. */
struct StageCallEnded
{
    StageCallNumber call{};
    StageCallStatus status{};
    /*! @brief One result for each item, in their order; empty unless answered. */
    std::vector<PieceResult> results;
    /*! @brief Load that the endpoint reported with its response. */
    std::optional<EndpointLoad> load;
};

/*! @brief Event: another version of the catalog is in effect. */
struct CatalogChanged
{
    std::shared_ptr<const Catalog> catalog;
};

/*! @brief Event: the platform's list of endpoints has changed. */
struct EndpointsChanged
{
    std::shared_ptr<const EndpointList> endpoints;
};

/*! @brief Event: the list of endpoints has been confirmed; its changes have been submitted before. */
struct EndpointsConfirmed
{
    /*! @brief Time up to which all changes of the list are known. */
    TimePoint asOf{};
};

/*! @brief Event: the list of endpoints could not be confirmed when `ConfirmEndpoints` asked for it. */
struct EndpointsUnconfirmed
{
};

/*! @brief Event: the history of the list of endpoints has been read, as `ReadFormerEndpoints` asked for. */
struct FormerEndpointsRead
{
    /*! @brief Endpoints that the list has lately had, or had at another software version; nothing if it cannot be read.
     */
    std::optional<EndpointList> endpoints;
    /*! @brief The history tells of some removed endpoints only that they were removed. */
    bool hasUnknown{};
};

/*! @brief Identifies a task that a peer has submitted; unique within this process. */
enum class PeerTaskNumber : std::uint64_t
{
};

/*! @brief Event: a peer submits a stage task to a queue that this process owns. */
struct PeerTaskArrived
{
    PeerTaskNumber number{};
    StageTask task;
};

/*! @brief Event: a peer no longer waits for a task that it submitted. */
struct PeerTaskCancelled
{
    PeerTaskNumber number{};
};

/*! @brief Event: a task delegated to a peer has ended. */
struct DelegatedTaskEnded
{
    StageTaskId task{};
    InstanceName peer;
    /*! @brief One for each piece, or a single failure; empty if the peer was unreachable, stopped responding or
     * returned the task. */
    std::vector<StageOutcome> outcomes;
    /*! @brief The peer returned the task unprocessed because it no longer owns the queue. */
    bool isReturned{};
};

/*! @brief Event: a heartbeat of a peer has been received. */
struct HeartbeatReceived
{
    Heartbeat heartbeat;
};

/*! @brief Event: a peer has released results whose memory this process accounts for. */
struct PeerReleasedResults
{
    std::vector<std::string> handles;
};

/*! @brief Question which software version began a stream that its caller resumes. */
struct StreamQuery
{
    StreamKey stream{};
    PoolName pool;
    /*! @brief Last part of the caller's prompt; without identity if it names none. */
    engines::PromptPart lastPart;
    /*! @brief Longest time since the stream can have begun; zero if only a record of it counts. */
    Duration lifetime{};
};

/*! @brief Identifies a question of a peer; unique within this process. */
enum class StreamQueryNumber : std::uint64_t
{
};

/*! @brief Event: a peer asks which software version began a stream; `AnswerStreamQuery` follows. */
struct StreamQueryArrived
{
    StreamQueryNumber number{};
    StreamQuery query;
};

/*! @brief What tells the software version that began a stream. */
enum class VersionSource : std::uint8_t
{
    /*! @brief A record of this process, or one that a peer has told. */
    Record,
    /*! @brief The list of endpoints, which has had a single version for as long as a stream can last. */
    OnlyVersion,
    /*! @brief Answer of a peer. */
    Peer,
    /*! @brief Prompts that engines have cached. */
    CachedPrompt
};

/*! @brief Event: an engine has listed the prompt parts that it has cached. */
struct CachedPromptsListed
{
    InstanceName instance;
    /*! @brief Parts with the tokens that are kept of each; nothing if the engine did not respond. */
    std::optional<std::vector<engines::PromptPart>> parts;
};

/*! @brief Event: a peer has told which software version began a stream, or could not. */
struct StreamLookupEnded
{
    CallId call{};
    /*! @brief Nothing if the peer does not know the stream or did not respond. */
    std::optional<SoftwareVersion> version;
};

/*! @brief Event: settings that can be reloaded at run time have changed. */
struct SettingsChanged
{
    /*! @brief Addresses of some peers, contacted first to discover the others. */
    std::vector<std::string> seeds;
    RetryBudgetOptions retries;
    /*! @brief Requests that are never quarantined. */
    std::vector<RequestFingerprint> releasedRequests;
};

/*! @brief Event: the process is to stop once no request is in progress. */
struct DrainRequested
{
    /*! @brief When the last responses have to be sent; empty if the process waits for all requests. */
    std::optional<TimePoint> endsAt{};
};

/*! @brief Event: a timer has fired; expired timeouts and due work are handled. */
struct Tick
{
    /*! @brief How late it is; responses that arrived within this time may not have been read. */
    Duration lateness{};
};

using Event =
    std::variant<RequestArrived, CallerDisconnected, EndpointResponded, RunHeadReceived, RunBodyReceived, RunCompleted,
                 RunFailed, EndpointChecked, StageCallEnded, CatalogChanged, EndpointsChanged, EndpointsConfirmed,
                 EndpointsUnconfirmed, FormerEndpointsRead, PeerTaskArrived, PeerTaskCancelled, DelegatedTaskEnded,
                 HeartbeatReceived, PeerReleasedResults, StreamQueryArrived, CachedPromptsListed, StreamLookupEnded,
                 SettingsChanged, DrainRequested, Tick>;

/*! @brief Kind of an error response that this process sends instead of an endpoint. */
enum class ErrorKind : std::uint8_t
{
    /*! @brief The request was not executed and will not be; the caller may retry after a while. */
    Unavailable,
    /*! @brief As `Unavailable`; the request has crashed endpoints before. */
    Quarantined,
    /*! @brief The deadline has passed; the request may have been executed. */
    TimedOut,
    /*! @brief The endpoint failed; the request may have been executed. */
    BadGateway,
    NoRoute,
    UnknownKey,
    BadRequest
};

/*! @brief Effect: sends an error response to the caller. */
struct SendErrorResponse
{
    CallId call{};
    ErrorKind kind{};
    /*! @brief Suggested delay before a retry; set for `Unavailable` and `Quarantined` only. */
    Duration retryAfter{};
};

/*! @brief Effect: sends a complete endpoint response to the caller. */
struct SendResponse
{
    CallId call{};
    int status{};
    HttpHeaders headers;
    std::string body;
};

/*! @brief Effect: sends the status and headers of a streaming response to the caller. */
struct BeginStream
{
    CallId call{};
    int status{};
    HttpHeaders headers;
};

/*! @brief Effect: sends complete events of a stream to the caller. */
struct SendStreamEvents
{
    CallId call{};
    std::string bytes;
};

/*! @brief Effect: ends a stream normally. */
struct FinishStream
{
    CallId call{};
};

/*! @brief Effect: closes a stream so that the caller sees it as incomplete. */
struct AbortStream
{
    CallId call{};
};

/*! @brief Effect: sends a request to an endpoint. */
struct StartRun
{
    RunNumber run{};
    InstanceName instance;
    std::string address;
    /*! @brief Time until the response has to be complete. */
    Duration deadline{};
    WorkspaceName workspace;
    /*! @brief Priority in the engine's own queue, zero being the most urgent; negative for none. */
    int urgency{-1};
    /*! @brief Handles of the results that the engine fetches as inputs. */
    std::vector<std::string> inputs;
    /*! @brief Address of an engine from which cached parts of the prompt are fetched; empty for none. */
    std::string fetchFrom;
    /*! @brief ID of the last event already sent to the caller; the stream resumes after it. */
    std::string lastEventId;
    /*! @brief The request may be executed more than once. */
    bool mayRunTwice{};
    std::shared_ptr<const CallerRequest> request;
};

/*! @brief Effect: closes the connection of a run. */
struct CancelRun
{
    RunNumber run{};
};

/*! @brief Effect: checks whether an endpoint process is still running. */
struct CheckEndpoint
{
    InstanceName instance;
    std::string address;
};

/*! @brief Item of a stage call: one piece of a stage of a request. */
struct StageItem
{
    std::string attempt;
    std::uint32_t stage{};
    std::uint32_t piece{};
    /*! @brief Time until its result is no longer of use. */
    Duration timeLeft{};
    /*! @brief Input key of the request; set for stages without dependencies. */
    std::string key;
    std::vector<std::string> inputs;
};

/*! @brief Effect: sends items to an endpoint of a stage pool. */
struct StartStageCall
{
    StageCallNumber call{};
    InstanceName instance;
    std::string address;
    Duration deadline{};
    std::vector<StageItem> items;
};

/*! @brief Effect: closes the connection of a stage call. */
struct CancelStageCall
{
    StageCallNumber call{};
};

/*! @brief Effect: releases results at the endpoint that stores them. */
struct ReleaseResults
{
    InstanceName instance;
    std::string address;
    std::vector<std::string> handles;
};

/*! @brief Effect: delegates a stage task to the peer that owns the pool's queue. */
struct DelegateTask
{
    PeerInfo peer;
    StageTask task;
};

/*! @brief Effect: cancels a task that was delegated to a peer. */
struct CancelDelegatedTask
{
    StageTaskId task{};
};

/*! @brief Effect: returns the outcomes of a peer's task to it; no outcomes return the task unprocessed. */
struct CompletePeerTask
{
    PeerTaskNumber number{};
    std::vector<StageOutcome> outcomes;
};

/*! @brief Effect: notifies a peer that results have been released. */
struct NotifyReleasedResults
{
    PeerInfo peer;
    std::vector<std::string> handles;
};

/*! @brief Effect: asks a peer which software version began a stream; `StreamLookupEnded` follows. */
struct LookUpStream
{
    CallId call{};
    StreamQuery query;
    std::string address;
};

/*! @brief Effect: answers a peer's question about a stream; no version if it is unknown. */
struct AnswerStreamQuery
{
    StreamQueryNumber number{};
    std::optional<SoftwareVersion> version;
};

/*! @brief Effect: asks an engine for the prompt parts that it has cached; `CachedPromptsListed` follows. */
struct ListCachedPrompts
{
    InstanceName instance;
    std::string address;
    /*! @brief Time after which the call is given up. */
    Duration timeout{};
};

/*!
 * @brief Effect: asks for a confirmation of the list of endpoints as of now or later; `EndpointsConfirmed` or
 * `EndpointsUnconfirmed` follows.
 */
struct ConfirmEndpoints
{
};

/*!
 * @brief Effect: asks for the endpoints that the list has lately had, as of now or later; `FormerEndpointsRead`
 * follows.
 */
struct ReadFormerEndpoints
{
};

/*! @brief Effect: sends a heartbeat to an address. */
struct SendHeartbeat
{
    std::string address;
};

/*! @brief Effect: no request is left; the process may stop. */
struct Drained
{
};

using Effect =
    std::variant<SendErrorResponse, SendResponse, BeginStream, SendStreamEvents, FinishStream, AbortStream, StartRun,
                 CancelRun, CheckEndpoint, StartStageCall, CancelStageCall, ReleaseResults, DelegateTask,
                 CancelDelegatedTask, CompletePeerTask, NotifyReleasedResults, LookUpStream, AnswerStreamQuery,
                 ListCachedPrompts, ConfirmEndpoints, ReadFormerEndpoints, SendHeartbeat, Drained, LogLine, Observe>;
using Effects = std::vector<Effect>;

} // namespace bergamottide::serving

template <>
struct bergamottide::EnumNames<bergamottide::serving::RunFailure>
{
    static constexpr std::array<std::string_view, 2> names{"unreached", "broken"};
};

template <>
struct bergamottide::EnumNames<bergamottide::serving::VersionSource>
{
    static constexpr std::array<std::string_view, 4> names{"record", "only_version", "peer", "cached_prompt"};
};

template <>
struct bergamottide::EnumNames<bergamottide::serving::EndpointState>
{
    static constexpr std::array<std::string_view, 3> names{"running", "stopped", "unknown"};
};

template <>
struct bergamottide::EnumNames<bergamottide::serving::StageCallStatus>
{
    static constexpr std::array<std::string_view, 4> names{"answered", "rejected", "unreached", "broken"};
};

template <>
struct bergamottide::EnumNames<bergamottide::serving::ErrorKind>
{
    static constexpr std::array<std::string_view, 7> names{"unavailable", "quarantined", "timed_out",  "bad_gateway",
                                                           "no_route",    "unknown_key", "bad_request"};
};
