#pragma once

#include "bergamottide/core/enumnames.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/engines/promptchain.h"
#include "bergamottide/net/http.h"
#include "bergamottide/serving/catalog.h"
#include "bergamottide/serving/heartbeat.h"
#include "bergamottide/serving/retrybudget.h"
#include "bergamottide/serving/stagetask.h"
#include "bergamottide/telemetry/logline.h"
#include "bergamottide/telemetry/metric.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamottide::serving {

/*! @brief One run of a request at an endpoint, as this process numbers it. */
enum class RunNumber : std::uint64_t
{
};

/*! @brief One call to an endpoint of a stage pool. */
enum class StageCallNumber : std::uint64_t
{
};

using engines::PromptPart;

/*! @brief A caller's request, decoded. */
struct CallerRequest
{
    CallId call{};
    /*! @brief Identity of this attempt of the caller; goes to the endpoint unchanged. */
    std::string attempt;
    std::string method;
    std::string host;
    /*! @brief Path with the query, unchanged. */
    std::string target;
    /*! @brief Path without the query. */
    std::string path;
    /*! @brief Header lines that go to the endpoint unchanged. */
    HttpHeaders headers;
    std::string body;
    /*! @brief Time that the caller will wait, from arrival. */
    std::optional<Duration> deadline;
    std::string key;
    /*! @brief Model that is to generate; empty if the request names none. */
    std::string model;
    /*! @brief Length of the whole prompt, and the most that may be generated. */
    std::uint64_t promptTokens{};
    std::uint64_t outputTokens{};
    std::vector<PromptPart> prompt;
    /*! @brief Number of pieces of each stage; missing ones are zero. */
    std::vector<std::uint32_t> pieces;
    /*! @brief Input of stages that wait for no other. */
    std::string pieceKey;
    /*! @brief Last event that the caller has got of an earlier attempt. */
    std::string lastEvent;
};

/*! @brief An endpoint as the platform lists it. */
struct EndpointRecord
{
    InstanceName instance;
    PoolName pool;
    std::string address;
    ZoneName zone;
    std::uint32_t slots{1};
    /*! @brief Takes no new work. */
    bool draining{};
    /*! @brief Sets one start of the instance apart from the next; zero if the platform does not tell. */
    std::uint64_t incarnation{};
    /*! @brief How much longer it stays cold, from the writing of its entry; zero if it is warm. */
    Duration coldLeft{};
    /*! @brief When it is warm, by the clock of this process; set by the directory. */
    TimePoint coldUntil{};
    /*! @brief Its zone is evacuated, so that it takes no new work; set by the directory. */
    bool isEvacuated{};

    /*! @brief Tells if new work may go there. */
    [[nodiscard]] bool takesWork() const noexcept
    {
        return !draining && !isEvacuated;
    }
};

using EndpointList = std::vector<EndpointRecord>;

/*! @brief Load that an endpoint tells of itself. */
struct EndpointLoad
{
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
};

/*! @brief What the head of an endpoint's answer says. */
struct EndpointAnswerHead
{
    int status{};
    /*! @brief Header lines that go to the caller unchanged. */
    HttpHeaders headers;
    /*! @brief The endpoint states that it did not run the request. */
    bool notExecuted{};
    /*! @brief It did not run since results that it was to fetch are gone; another endpoint would find them gone too. */
    bool inputsGone{};
    /*! @brief The answer names another request. */
    bool foreign{};
    /*! @brief Signed by the endpoint and without an encoding of its own: a success may be passed on. */
    bool sealed{};
    std::optional<EndpointLoad> load;
    /*! @brief How much longer the endpoint stays cold, if it tells. */
    Duration coldLeft{};
};

/*! @brief Why a run ended without a whole answer. */
enum class RunFailure : std::uint8_t
{
    /*! @brief No connection: nothing was sent. */
    Unreached,
    /*! @brief The connection broke, or the answer cannot be trusted; the run may have taken place. */
    Broken
};

/*! @brief Event: a caller's request has been read. */
struct RequestArrived
{
    CallerRequest request;
};

/*! @brief Event: a caller's connection has closed before its answer was whole. */
struct CallerLeft
{
    CallId call{};
};

/*! @brief Event: the head of an answer has come. */
struct RunAnswered
{
    RunNumber run{};
    EndpointAnswerHead head;
};

/*! @brief Event: a piece of the answer's body has come. */
struct RunReceived
{
    RunNumber run{};
    std::string bytes;
};

/*! @brief Event: the answer is whole. */
struct RunEnded
{
    RunNumber run{};
};

/*! @brief Event: the run failed before its answer was whole. */
struct RunFailed
{
    RunNumber run{};
    RunFailure failure{};
};

/*! @brief How a stage call ended. */
enum class StageCallEnd : std::uint8_t
{
    Answered,
    /*! @brief The endpoint took no work: it is full, or it is another instance. */
    Rejected,
    Unreached,
    Broken
};

/*! @brief Event: a stage call has ended. */
struct StageCallEnded
{
    StageCallNumber call{};
    StageCallEnd end{};
    /*! @brief In the order of the items, if answered. */
    std::vector<PieceResult> results;
    /*! @brief Load that the endpoint told with its answer. */
    std::optional<EndpointLoad> load;
};

/*! @brief Event: another version of what is served is in force. */
struct CatalogChanged
{
    std::shared_ptr<const Catalog> catalog;
};

/*! @brief Event: the platform's list of endpoints has changed. */
struct EndpointsChanged
{
    std::shared_ptr<const EndpointList> endpoints;
};

/*! @brief A task of a peer, as this process numbers it. */
enum class PeerTaskNumber : std::uint64_t
{
};

/*! @brief Event: a peer asks for the pieces of a stage whose queue is kept here. */
struct PeerTaskArrived
{
    PeerTaskNumber number{};
    StageTask task;
};

/*! @brief Event: the peer no longer waits for its task. */
struct PeerTaskGone
{
    PeerTaskNumber number{};
};

/*! @brief Event: a task handed to a peer has ended there. */
struct HandedTaskEnded
{
    StageTaskId task{};
    InstanceName peer;
    /*! @brief One for each piece, or one failure; empty if the peer was not reached, fell silent or gave it back. */
    std::vector<StageOutcome> outcomes;
    /*! @brief The peer gave it back undone, since it does not keep the queue any more. */
    bool isGivenBack{};
};

/*! @brief Event: a peer has told of itself. */
struct HeartbeatHeard
{
    Heartbeat heartbeat;
};

/*! @brief Event: a peer has given up results that are accounted for here. */
struct PeerReleased
{
    std::vector<std::string> handles;
};

/*! @brief Event: settings that may change while the process runs have changed. */
struct SettingsChanged
{
    /*! @brief Addresses of some peers. */
    std::vector<std::string> seeds;
    RetryBudgetOptions retries;
};

/*! @brief Event: the process is to end once it has no requests. */
struct DrainRequested
{
};

/*! @brief Event: time has passed. */
struct Tick
{
};

using Event = std::variant<RequestArrived, CallerLeft, RunAnswered, RunReceived, RunEnded, RunFailed, StageCallEnded,
                           CatalogChanged, EndpointsChanged, PeerTaskArrived, PeerTaskGone, HandedTaskEnded,
                           HeartbeatHeard, PeerReleased, SettingsChanged, DrainRequested, Tick>;

/*! @brief What an answer made here says. */
enum class AnswerKind : std::uint8_t
{
    /*! @brief The request has not run and never will; come back later. */
    Unavailable,
    /*! @brief It is not known whether the request ran; its time is over. */
    TimedOut,
    /*! @brief It is not known whether the request ran; its endpoint failed. */
    BadGateway,
    NoRoute,
    UnknownKey,
    BadRequest
};

/*! @brief Effect: a whole answer made here goes to the caller. */
struct RefuseCaller
{
    CallId call{};
    AnswerKind kind{};
    /*! @brief When to come back, for `Unavailable`. */
    Duration retryAfter{};
};

/*! @brief Effect: an endpoint's whole answer goes to the caller. */
struct AnswerCaller
{
    CallId call{};
    int status{};
    HttpHeaders headers;
    std::string body;
};

/*! @brief Effect: the head of an endpoint's stream goes to the caller. */
struct BeginStream
{
    CallId call{};
    int status{};
    HttpHeaders headers;
};

/*! @brief Effect: whole events of a stream go to the caller. */
struct StreamEvents
{
    CallId call{};
    std::string bytes;
};

/*! @brief Effect: a stream is complete. */
struct FinishStream
{
    CallId call{};
};

/*! @brief Effect: a stream ends so that the caller sees it as broken off. */
struct AbortStream
{
    CallId call{};
};

/*! @brief Effect: a request goes to an endpoint. */
struct StartRun
{
    RunNumber run{};
    InstanceName instance;
    std::string address;
    /*! @brief Time left for it. */
    Duration deadline{};
    WorkspaceName workspace;
    /*! @brief Rank for the engine's own queue; negative for none. */
    int urgency{-1};
    /*! @brief Results that the engine fetches. */
    std::vector<std::string> inputs;
    /*! @brief Address of an engine from which it fetches parts of the prompt; empty for none. */
    std::string fetchFrom;
    std::string lastEvent;
    bool mayRunTwice{};
    std::shared_ptr<const CallerRequest> request;
};

/*! @brief Effect: the connection of a run is closed. */
struct CancelRun
{
    RunNumber run{};
};

/*! @brief One item of a stage call. */
struct StageItem
{
    std::string attempt;
    std::uint32_t stage{};
    std::uint32_t piece{};
    Duration left{};
    /*! @brief Key of the caller; for stages that wait for no other. */
    std::string key;
    std::vector<std::string> inputs;
};

/*! @brief Effect: items go to an endpoint of a stage pool. */
struct StartStageCall
{
    StageCallNumber call{};
    InstanceName instance;
    std::string address;
    Duration deadline{};
    std::vector<StageItem> items;
};

/*! @brief Effect: the connection of a stage call is closed. */
struct CancelStageCall
{
    StageCallNumber call{};
};

/*! @brief Effect: results are given up at the endpoint that keeps them. */
struct FreeResults
{
    std::string address;
    std::vector<std::string> handles;
};

/*! @brief Effect: a stage's pieces are asked of the peer that keeps the queue. */
struct HandTask
{
    PeerInfo peer;
    StageTask task;
};

/*! @brief Effect: a task handed to a peer is no longer wanted. */
struct RecallTask
{
    StageTaskId task{};
};

/*! @brief Effect: a peer's task has ended. */
struct AnswerPeerTask
{
    PeerTaskNumber number{};
    std::vector<StageOutcome> outcomes;
};

/*! @brief Effect: a peer is told of results that were given up. */
struct TellReleased
{
    PeerInfo peer;
    std::vector<std::string> handles;
};

/*! @brief Effect: a heartbeat is due at an address. */
struct SendHeartbeat
{
    std::string address;
};

/*! @brief Effect: the process has no requests left and may end. */
struct Drained
{
};

using Effect = std::variant<RefuseCaller, AnswerCaller, BeginStream, StreamEvents, FinishStream, AbortStream, StartRun,
                            CancelRun, StartStageCall, CancelStageCall, FreeResults, HandTask, RecallTask,
                            AnswerPeerTask, TellReleased, SendHeartbeat, Drained, LogLine, Observe>;
using Effects = std::vector<Effect>;

} // namespace bergamottide::serving

template <>
struct bergamottide::EnumNames<bergamottide::serving::RunFailure>
{
    static constexpr std::array<std::string_view, 2> names{"unreached", "broken"};
};

template <>
struct bergamottide::EnumNames<bergamottide::serving::StageCallEnd>
{
    static constexpr std::array<std::string_view, 4> names{"answered", "rejected", "unreached", "broken"};
};

template <>
struct bergamottide::EnumNames<bergamottide::serving::AnswerKind>
{
    static constexpr std::array<std::string_view, 6> names{"unavailable", "timed_out",   "bad_gateway",
                                                           "no_route",    "unknown_key", "bad_request"};
};
