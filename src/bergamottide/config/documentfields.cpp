#include "bergamottide/config/documentfields.h"

#include <chrono>

namespace bergamottide {

namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kibibyte = 1U << 10U;
constexpr std::uint32_t mebibyte = 1U << 20U;
/*! @brief Deadlines are within seconds; ten minutes leave room for uploads in bulk. */
constexpr Duration longestDeadline = std::chrono::minutes{10};
/*! @brief Six stages are in use; the bound keeps a request's state small. */
constexpr std::size_t mostStages = 16;
/*! @brief Two keys are in force while one replaces the other; four leave room for a slow change. */
constexpr std::size_t mostKeys = 4;
constexpr std::size_t mostVersions = 64;
constexpr std::size_t mostAdapters = 256;
constexpr std::size_t longestPath = 256;

ValueType<std::string> methodType()
{
    const auto allowed = [](const std::string &text) {
        return text == "GET" || text == "POST" || text == "PUT" || text == "PATCH" || text == "DELETE";
    };
    return textType("method", "GET, POST, PUT, PATCH, DELETE", allowed);
}

ValueType<std::string> pathType()
{
    const auto allowed = [](const std::string &text) {
        const auto visible = [](char c) {
            return c > ' ' && c < '\x7f';
        };
        return text.size() <= longestPath && text.starts_with('/') && std::all_of(text.begin(), text.end(), visible);
    };
    return textType("path", "'/' and up to 255 further visible characters", allowed);
}

ValueType<std::string> versionType()
{
    return textType("version", std::string{nameRange}, [](const std::string &text) { return isName(text); });
}

} // namespace

const FieldTable<Pool> &poolFields()
{
    static const FieldTable<Pool> table{
        scalarField("kind", &Pool::kind, choiceType<PoolKind>(), Presence::Required, "What the endpoints do."),
        scalarField("concurrency", &Pool::concurrency, wholeType<std::uint32_t>(1, 4096), Presence::Optional,
                    "Runs an endpoint works on at once; the adaptive limit starts here and never exceeds it."),
        scalarField("path", &Pool::path, pathType(), Presence::Optional,
                    "Path of the endpoint's service; only for kind service."),
        scalarField("method", &Pool::method, methodType(), Presence::Optional,
                    "Method of the endpoint's service; only for kind service."),
    };
    return table;
}

const FieldTable<Model> &modelFields()
{
    static const FieldTable<Model> table{
        listField("versions", &Model::versions, versionType(), mostVersions, "Versions that may be bound."),
        listField("adapters", &Model::adapters, nameType<AdapterName>(), mostAdapters, "Adapters that may be bound."),
        scalarField("replicas", &Model::replicas, wholeType<std::uint32_t>(0, 100'000), Presence::Optional,
                    "Engines that should hold the model, over the whole fleet."),
        scalarField("weights", &Model::megabytes, megabytesType(1, 10'000'000), Presence::Optional,
                    "Size of the weights, for the rate limit of the weight store."),
    };
    return table;
}

const FieldTable<Stage> &stageFields()
{
    static const FieldTable<Stage> table{
        scalarField("name", &Stage::name, nameType<StageName>(), Presence::Required,
                    "Name of the stage, unique within its pipeline."),
        scalarField("pool", &Stage::pool, nameType<PoolName>(), Presence::Required, "Pool that serves the stage."),
        scalarField("repeatable", &Stage::repeatable, repeatableType(), Presence::Optional,
                    "Whether a run may be repeated; only the last stage may say false."),
        scalarField("expected", &Stage::expected, durationType(microseconds{1}, longestDeadline), Presence::Optional,
                    "Service time expected until it has been measured."),
        scalarField("maxTokens", &Stage::maxTokens, wholeType<std::uint32_t>(0, 1'000'000), Presence::Optional,
                    "Tokens generated at most; 0 for a stage that generates none."),
    };
    return table;
}

const FieldTable<Pipeline> &pipelineFields()
{
    static const FieldTable<Pipeline> table{
        recordsField("stages", &Pipeline::stages, stageFields(), 1, mostStages, "Stages in the order they run."),
    };
    return table;
}

const FieldTable<Kind> &kindFields()
{
    static const FieldTable<Kind> table{
        scalarField("value", &Kind::value, numberType(0.001, 1'000'000), Presence::Optional,
                    "Worth of one request completed on time, relative to other kinds."),
        scalarField("idempotent", &Kind::idempotent, flagType(), Presence::Optional,
                    "Whether a request of this kind may be repeated."),
        scalarField("deadline", &Kind::deadline, durationType(milliseconds{1}, longestDeadline), Presence::Optional,
                    "Deadline of a request that names none."),
    };
    return table;
}

const FieldTable<Workspace> &workspaceFields()
{
    static const FieldTable<Workspace> table{
        scalarField("weight", &Workspace::weight, numberType(0.001, 1'000'000), Presence::Optional,
                    "Share of each endpoint relative to other workspaces."),
        listField("keyDigests", &Workspace::keyDigests, digestType(), mostKeys,
                  "SHA-256 digests of the bearer keys in force; without one no caller is let in."),
        scalarField("maxInProgress", &Workspace::maxInProgress, wholeType<std::uint32_t>(1, 1'000'000),
                    Presence::Optional, "Requests in progress at one entry at most."),
        scalarField("maxRate", &Workspace::maxRate, numberType(0, 1'000'000), Presence::Optional,
                    "Requests per second admitted by one entry at most; 0 for no limit."),
    };
    return table;
}

const FieldTable<Binding> &bindingFields()
{
    static const FieldTable<Binding> table{
        scalarField("workspace", &Binding::workspace, nameType<WorkspaceName>(), Presence::Required,
                    "Workspace that may call the pipeline."),
        scalarField("pipeline", &Binding::pipeline, nameType<PipelineName>(), Presence::Required,
                    "Pipeline that may be called."),
        scalarField("model", &Binding::model, nameType<ModelName>(), Presence::Optional,
                    "Model of the engine stages; required if the pipeline has one."),
        scalarField("adapter", &Binding::adapter, nameType<AdapterName>(), Presence::Optional,
                    "Adapter of the model; none without it."),
        scalarField("version", &Binding::version, versionType(), Presence::Optional,
                    "Version of the model; the engine's own choice without it."),
    };
    return table;
}

const FieldTable<Policy> &policyFields()
{
    constexpr auto optional = Presence::Optional;
    static const FieldTable<Policy> table{
        scalarField("maxDeadline", &Policy::maxDeadline, durationType(milliseconds{1}, longestDeadline), optional,
                    "Longest deadline a caller may ask for."),
        scalarField("maxBody", &Policy::maxBodyBytes, sizeType(kibibyte, 64 * mebibyte), optional,
                    "Largest body of a request."),
        scalarField("maxResult", &Policy::maxResultBytes, sizeType(kibibyte, 64 * mebibyte), optional,
                    "Largest result of one stage."),
        scalarField("queueLimit", &Policy::queueLimit, wholeType<std::uint32_t>(1, 100'000), optional,
                    "Runs queued at one side at most."),
        scalarField("ledgerLimit", &Policy::ledgerLimit, wholeType<std::uint32_t>(1, 1'000'000), optional,
                    "Requests kept in the ledger of one side at most."),
        scalarField("maxAttempts", &Policy::maxAttempts, wholeType<std::uint32_t>(1, 10), optional,
                    "Attempts at one repeatable stage at most."),
        scalarField("retryBudget", &Policy::retryBudget, numberType(0, 1), optional,
                    "Retries allowed per first attempt, per workspace and stage."),
        scalarField("hedgeBudget", &Policy::hedgeBudget, numberType(0, 1), optional,
                    "Share of first attempts that may be hedged."),
        scalarField("hedgeQuantile", &Policy::hedgeQuantile, numberType(0.5, 1), optional,
                    "Quantile of the service time after which a run is hedged."),
        scalarField("placementChoices", &Policy::placementChoices, wholeType<std::uint32_t>(1, 64), optional,
                    "Random candidates looked at for each placement."),
        scalarField("affinityBound", &Policy::affinityBound, numberType(1, 100), optional,
                    "Load relative to the average up to which the cache-affine endpoint is preferred."),
        scalarField("ejectionFactor", &Policy::ejectionFactor, numberType(1, 1000), optional,
                    "Service time relative to the peers' median above which an endpoint is ejected."),
        scalarField("ejectionFailures", &Policy::ejectionFailures, numberType(0.01, 1), optional,
                    "Share of failed runs above which an endpoint is ejected."),
        scalarField("ejectionCap", &Policy::ejectionCap, numberType(0, 1), optional,
                    "Share of a pool that may be ejected at once."),
        scalarField("ejectionTime", &Policy::ejectionTime, durationType(milliseconds{1}, hours{1}), optional,
                    "Time an ejected endpoint is left alone before a trial run."),
        scalarField("zoneDistance", &Policy::zoneDistance, durationType(Duration{0}, seconds{10}), optional,
                    "Distance between availability zones of one region."),
        scalarField("regionDistance", &Policy::regionDistance, durationType(Duration{0}, seconds{10}), optional,
                    "Distance between regions."),
        scalarField("reportPeriod", &Policy::reportPeriod, durationType(milliseconds{10}, seconds{60}), optional,
                    "Period of load reports."),
        scalarField("progressTimeout", &Policy::progressTimeout, durationType(milliseconds{10}, seconds{60}), optional,
                    "Silence of a run in progress after which its state is asked for."),
        scalarField("pauseGap", &Policy::pauseGap, durationType(milliseconds{10}, seconds{60}), optional,
                    "Gap between two ticks after which a process counts as having been paused."),
        scalarField("resultRetention", &Policy::resultRetention, durationType(milliseconds{1}, hours{1}), optional,
                    "Time a kept result is held for its caller after the run has ended."),
        scalarField("admissionMargin", &Policy::admissionMargin, numberType(0.1, 10), optional,
                    "Safety factor of the admission estimate; above 1 refuses earlier."),
    };
    return table;
}

std::vector<SectionInfo> sectionInfos()
{
    return {
        {"version", SectionShape::Number, Presence::Required, "Number of the document; grows with every change.", {}},
        {"pools", SectionShape::Named, Presence::Required, "Endpoints that serve the same stage.",
         fieldInfos(poolFields())},
        {"models", SectionShape::Named, Presence::Optional, "Models with their versions and adapters.",
         fieldInfos(modelFields())},
        {"pipelines", SectionShape::Named, Presence::Required, "Ordered stages that a caller names.",
         fieldInfos(pipelineFields())},
        {"stages", SectionShape::List, Presence::Required, "The stages of one pipeline.", fieldInfos(stageFields())},
        {"kinds", SectionShape::Named, Presence::Optional, "Request kinds that a caller names.",
         fieldInfos(kindFields())},
        {"workspaces", SectionShape::Named, Presence::Required, "Customers.", fieldInfos(workspaceFields())},
        {"bindings", SectionShape::List, Presence::Optional, "What a workspace may call, and with which model.",
         fieldInfos(bindingFields())},
        {"policy", SectionShape::Record, Presence::Optional, "Limits of the decisions.", fieldInfos(policyFields())},
    };
}

} // namespace bergamottide
