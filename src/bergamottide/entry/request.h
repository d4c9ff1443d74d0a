#pragma once

#include "bergamottide/entry/documentindex.h"
#include "bergamottide/entry/entryevents.h"
#include "bergamottide/entry/resultbuffer.h"
#include "bergamottide/placement/endpoint.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamottide {

/*! @brief One attempt at the current stage of a request, sent to a sidecar. */
struct StageRun
{
    StageRun(RunId runId, InstanceName instance, EndpointNumber number, std::size_t resultLimit)
        : id{runId}
        , sidecar{std::move(instance)}
        , endpoint{number}
        , result{resultLimit}
    {
    }

    RunId id;
    InstanceName sidecar;
    /*! @brief Number of the sidecar's endpoint in the placement table. */
    EndpointNumber endpoint{};
    Serial serial{};
    /*! @brief Estimated service time at dispatch. */
    Duration cost{};
    TimePoint dispatchedAt{};
    /*! @brief Time of the first report that the run has started; absent while it may still be queued. */
    std::optional<TimePoint> startedAt;
    /*! @brief Time of the last message about this run, or of its dispatch. */
    TimePoint lastMessageAt{};
    /*! @brief Progress timeouts of this run since the last message about it. */
    std::uint32_t progressTimeouts{};
    /*! @brief `PeerState::streamEpoch` of the sidecar at dispatch. */
    std::uint32_t streamEpoch{};
    /*! @brief The run is the trial run of a half-open endpoint. */
    bool trial{};
    ResultBuffer result;
    /*! @brief Final report of the sidecar, kept while bytes of the result are missing. */
    std::optional<RunFinished> finished;
};

/**
 * @brief Home of a request: the sidecar whose ledger allows the last stage to start at most once.
 *
 * The ledger issues a serial for the request; a run that carries the serial is the only
 * way to start the last stage.
 */
struct Home
{
    InstanceName sidecar;
    Incarnation incarnation{};
    /*! @brief Serial that the only run of the last stage carries; `noSerial` until the home has answered. */
    Serial serial{};
    LedgerState state{};
    /*! @brief Queries to this home since its last answer. */
    std::uint32_t unansweredQueries{};
    /*! @brief Number of the newest timer; older ones are ignored. */
    std::uint32_t timer{};
    /*! @brief Another entry may have started stages of the request before. */
    bool resumed{};
    /*! @brief The run with the serial was sent and is not confirmed as never started. */
    bool runDispatched{};
    /*! @brief A seal was requested; the answer ends the request. */
    bool sealRequested{};
};

/*! @brief A request in progress at this entry. */
struct Request
{
    CallId call{};
    /*! @brief The caller is connected and has not received the final answer. */
    bool callerWaits{true};
    RequestId id;
    /*! @brief The identity was derived from an idempotency key. */
    bool keyed{};
    bool streaming{};
    /*! @brief The last stage must run at most once. */
    bool atMostOnce{};
    /*! @brief Owns the document that the pointers below refer to. */
    std::shared_ptr<const DocumentIndex> index;
    const Workspace *workspace{};
    const Pipeline *pipeline{};
    const Binding *binding{};
    Kind kind;
    TimePoint arrived{};
    TimePoint deadline{};
    std::uint32_t maxTokens{};
    /*! @brief Hash of the prompt's prefix; zero if unknown. */
    std::uint64_t prefix{};
    std::string body;
    /*! @brief Index of the current stage. */
    std::uint32_t stage{};
    /*! @brief Result of the previous stage. */
    std::string previousResult;
    /*! @brief Estimated service time of each stage. */
    std::vector<Duration> costs;
    std::vector<StageRun> runs;
    /*! @brief Number of the last attempt at the current stage. */
    std::uint32_t attempt{};
    /*! @brief Attempts at the current stage that count towards `maxAttempts`. */
    std::uint32_t attemptsMade{};
    /*! @brief Sidecars that failed or refused this stage; they are not chosen again. */
    std::vector<InstanceName> avoided;
    /*! @brief Dispatched runs that are not confirmed as never started. */
    std::uint32_t unconfirmedRuns{};
    std::optional<Home> home;
    /*! @brief Service time used so far, by stage. */
    std::vector<Duration> serviceTimeSpent;
    /*! @brief Bytes of the last stage's result that were sent to the caller. */
    std::uint64_t relayedBytes{};
    /*! @brief Tokens in the result of the last completed stage. */
    std::uint32_t tokens{};
    /*! @brief Homes tried so far. */
    std::uint32_t homesTried{};
    /*! @brief First stage that admission control still counts as pending. */
    std::uint32_t firstPendingStage{};
    /*! @brief Reason for giving the request up, while waiting for a seal. */
    Reason giveUpReason{};
    /*! @brief Time after which the caller may retry, while waiting for a seal. */
    Duration retryAfter{};

    /*! @brief Returns whether the current stage is the last one. */
    [[nodiscard]] bool atLastStage() const noexcept
    {
        return stage + 1 == pipeline->stages.size();
    }

    /*! @brief Returns whether the current stage may run only at the home. */
    [[nodiscard]] bool boundToHome() const noexcept
    {
        return home && atLastStage();
    }
};

} // namespace bergamottide
