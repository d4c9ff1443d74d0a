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

/*! @brief One dispatched attempt at the present stage of a request. */
struct Run
{
    Run(RunId runId, InstanceName instance, EndpointNumber endpoint, std::size_t resultLimit)
        : id{runId}
        , side{std::move(instance)}
        , number{endpoint}
        , result{resultLimit}
    {
    }

    RunId id;
    InstanceName side;
    /*! @brief Number of the side's endpoint in the placement table. */
    EndpointNumber number{};
    Serial serial{};
    /*! @brief Estimated service time at dispatch. */
    Duration cost{};
    TimePoint dispatched{};
    /*! @brief First sign that the endpoint has begun; absent while the run may still be queued. */
    std::optional<TimePoint> started;
    /*! @brief Last message about this run, or its dispatch. */
    TimePoint heard{};
    /*! @brief Questions about this run since it was last heard of. */
    std::uint32_t asked{};
    /*! @brief State of the stream to the side at dispatch, see `Peer::epoch`. */
    std::uint32_t epoch{};
    /*! @brief The run is the one trial of a half-open endpoint. */
    bool trial{};
    ResultBuffer result;
    /*! @brief The side's report of the end, while bytes of the result are still missing. */
    std::optional<RunFinished> finished;
};

/*! @brief The side whose ledger decides whether the last stage of a request may start. */
struct Home
{
    InstanceName side;
    Incarnation incarnation{};
    /*! @brief Capability for the one run; `noSerial` until the home has answered. */
    Serial serial{};
    LedgerState state{};
    /*! @brief Questions to this home that were not answered. */
    std::uint32_t asked{};
    /*! @brief Number of the timer in force; older ones are ignored. */
    std::uint32_t timer{};
    /*! @brief The request may have been driven before, by another entry: stages may have run that this one did not. */
    bool resumed{};
    /*! @brief The run of the serial was sent and not confirmed as never started. */
    bool dispatched{};
    /*! @brief A seal was asked for; its answer ends the request. */
    bool sealing{};
};

/*! @brief One request in progress at this entry. */
struct Request
{
    CallId call{};
    /*! @brief The caller's connection is open and has no final answer yet. */
    bool callerWaits{true};
    RequestId id;
    bool keyed{};
    bool streaming{};
    bool atMostOnce{};
    /*! @brief Keeps the document that the pointers below point into. */
    std::shared_ptr<const DocumentIndex> index;
    const Workspace *workspace{};
    const Pipeline *pipeline{};
    const Binding *binding{};
    Kind kind;
    TimePoint arrived{};
    TimePoint deadline{};
    std::uint32_t maxTokens{};
    std::uint64_t prefix{};
    std::string body;
    std::uint32_t stage{};
    /*! @brief Whole result of the previous stage. */
    std::string previous;
    /*! @brief Estimated service time of each stage. */
    std::vector<Duration> costs;
    std::vector<Run> runs;
    /*! @brief Number of the last attempt at the present stage. */
    std::uint32_t attempt{};
    /*! @brief Attempts at the present stage that count against `maxAttempts`. */
    std::uint32_t tries{};
    /*! @brief Sides that failed or refused this stage; not asked again. */
    std::vector<InstanceName> avoided;
    /*! @brief Dispatched runs that were not confirmed as never started. */
    std::uint32_t unconfirmed{};
    std::optional<Home> home;
    /*! @brief Endpoint time spent so far, by stage. */
    std::vector<Duration> spent;
    /*! @brief Bytes of the last stage's result that went to the caller. */
    std::uint64_t relayed{};
    std::uint32_t tokens{};
    /*! @brief Homes tried so far. */
    std::uint32_t homesTried{};
    /*! @brief First stage that was not yet dispatched, for the admission's count of pending work. */
    std::uint32_t pendingFrom{};
    /*! @brief Why the request was given up, while a seal is awaited. */
    Reason givenUp{};
    /*! @brief Time after which another try makes sense, while a seal is awaited. */
    Duration retryAfter{};

    /*! @brief Tells if the present stage is the last one. */
    [[nodiscard]] bool atLastStage() const noexcept
    {
        return stage + 1 == pipeline->stages.size();
    }

    /*! @brief Tells if the present stage may only run at the home. */
    [[nodiscard]] bool boundToHome() const noexcept
    {
        return home && atLastStage();
    }
};

} // namespace bergamottide
