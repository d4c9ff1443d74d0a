#pragma once

#include "bergamottide/core/fwd.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamottide {

/*! @brief What a pool of endpoints does. */
enum class PoolKind : std::uint8_t
{
    Encoder,
    Retriever,
    Reranker,
    Engine,
    Service
};

template <>
struct EnumNames<PoolKind>
{
    static constexpr std::array<std::string_view, 5> names{"encoder", "retriever", "reranker", "engine", "service"};
};

/*! @brief Section `pools`: endpoints that serve the same stage. */
struct Pool
{
    PoolName name;
    PoolKind kind{};
    /*! @brief Runs an endpoint works on at once; the adaptive limit starts here and never exceeds it. */
    std::uint32_t concurrency{8};
    /*! @brief Path of the endpoint's service, for pools of kind `service`. */
    std::string path{"/"};
    /*! @brief Method of the endpoint's service, for pools of kind `service`. */
    std::string method{"POST"};
};

/*! @brief Section `models`: model with its versions and adapters. */
struct Model
{
    ModelName name;
    std::vector<std::string> versions;
    std::vector<AdapterName> adapters;
    /*! @brief Engines that should hold the model, over the whole fleet. */
    std::uint32_t replicas{1};
    /*! @brief Size of the weights in megabytes, for the rate limit of the weight store. */
    std::uint32_t megabytes{1000};
};

/*! @brief One stage of a pipeline. */
struct Stage
{
    StageName name;
    PoolName pool;
    /*! @brief Only the last stage of a pipeline may be `No`. */
    Repeatable repeatable{Repeatable::Yes};
    /*! @brief Prior of the service time, used until the estimators have learned. */
    Duration expected{std::chrono::milliseconds{50}};
    /*! @brief Tokens generated at most; zero for a stage that generates none. */
    std::uint32_t maxTokens{};
};

/*! @brief Section `pipelines`: ordered stages. */
struct Pipeline
{
    PipelineName name;
    std::vector<Stage> stages;
};

/*! @brief Section `kinds`: request kind. */
struct Kind
{
    KindName name;
    /*! @brief Worth of one request completed on time, relative to others; above zero. */
    double value{1.0};
    bool idempotent{true};
    Duration deadline{std::chrono::seconds{9}};
};

/*! @brief Section `workspaces`: one customer. */
struct Workspace
{
    WorkspaceName name;
    /*! @brief Share of each endpoint relative to other workspaces; above zero. */
    double weight{1.0};
    /*! @brief Lower case hexadecimal SHA-256 digests of the bearer keys in force. */
    std::vector<std::string> keyDigests;
    /*! @brief Requests in progress at one entry at most. */
    std::uint32_t maxInProgress{1000};
    /*! @brief Requests per second admitted by one entry at most; zero for no limit. */
    double maxRate{};
};

/*! @brief Section `bindings`: what a workspace may call, and with which model. */
struct Binding
{
    WorkspaceName workspace;
    PipelineName pipeline;
    ModelName model;
    AdapterName adapter;
    std::string version;
};

/*! @brief Section `policy`: limits of the decisions, each with a default. */
struct Policy
{
    /*! @brief Longest deadline a caller may ask for. */
    Duration maxDeadline{std::chrono::seconds{60}};
    /*! @brief Largest body of a request, in bytes. */
    std::uint32_t maxBodyBytes{1u << 20};
    /*! @brief Largest result of one stage, in bytes. */
    std::uint32_t maxResultBytes{4u << 20};
    /*! @brief Runs queued at one side at most. */
    std::uint32_t queueLimit{256};
    /*! @brief Requests kept in the ledger of one side at most. */
    std::uint32_t ledgerLimit{4096};
    /*! @brief Attempts at one repeatable stage at most. */
    std::uint32_t maxAttempts{3};
    /*! @brief Retries allowed per first attempt, from 0 to 1, per workspace and stage. */
    double retryBudget{0.1};
    /*! @brief Share of first attempts that may be hedged, from 0 to 1. */
    double hedgeBudget{0.02};
    /*! @brief Quantile of the service time after which a run is hedged, from 0.5 to 1. */
    double hedgeQuantile{0.98};
    /*! @brief Random candidates looked at for each placement. */
    std::uint32_t placementChoices{2};
    /*! @brief Load of the cache-affine endpoint, relative to the average, up to which it is preferred. */
    double affinityBound{1.25};
    /*! @brief Service time relative to the median of the peers above which an endpoint is ejected. */
    double ejectionFactor{4.0};
    /*! @brief Share of failed runs above which an endpoint is ejected. */
    double ejectionFailures{0.5};
    /*! @brief Share of a pool that may be ejected at once, from 0 to 1. */
    double ejectionCap{0.33};
    /*! @brief Time an ejected endpoint is left alone before one trial run. */
    Duration ejectionTime{std::chrono::seconds{5}};
    /*! @brief Distance between availability zones of one region, added to the score. */
    Duration zoneDistance{std::chrono::milliseconds{3}};
    /*! @brief Distance between regions, added to the score. */
    Duration regionDistance{std::chrono::milliseconds{80}};
    /*! @brief Period of load reports. */
    Duration reportPeriod{std::chrono::milliseconds{250}};
    /*! @brief Silence of a run in progress after which its state is asked for. */
    Duration progressTimeout{std::chrono::milliseconds{400}};
    /*! @brief Gap between two ticks after which a process counts as having been paused. */
    Duration pauseGap{std::chrono::seconds{1}};
    /*! @brief Time a kept result is held for its caller after the run has ended. */
    Duration resultRetention{std::chrono::seconds{20}};
    /*! @brief Safety factor of the admission estimate; above 1 refuses earlier. */
    double admissionMargin{1.0};
};

/*! @brief The configuration document that governs the whole fleet. */
struct Document
{
    /*! @brief Grows with every change; an older or equal one is never put in force. */
    std::uint64_t version{};
    std::map<PoolName, Pool> pools;
    std::map<ModelName, Model> models;
    std::map<PipelineName, Pipeline> pipelines;
    std::map<KindName, Kind> kinds;
    std::map<WorkspaceName, Workspace> workspaces;
    std::vector<Binding> bindings;
    Policy policy;
};

} // namespace bergamottide
