#pragma once

#include "bergamottide/core/enumnames.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/requestfingerprint.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::serving {

/*! @brief Memory in use at an endpoint for results that wait for their use. */
struct ResultMemoryUsage
{
    InstanceName endpoint;
    std::uint64_t bytes{};
};

/*! @brief A result in the memory of the endpoint that computed it. */
struct StoredResult
{
    std::string handle;
    /*! @brief Endpoint that stores the result, and its address. */
    InstanceName endpoint;
    std::string address;
    std::uint64_t bytes{};
    /*! @brief Incarnation of the process whose scheduler requested the result. */
    std::uint64_t schedulerIncarnation{};
};

/*! @brief Identifies one stage of one request within a scheduler. */
enum class StageTaskId : std::uint64_t
{
};

/*! @brief One stage of a request; its pieces are computed independently, several in one call. */
struct StageTask
{
    StageTaskId id{};
    PoolName pool;
    /*! @brief Priority rank among all requests; lower ranks are served first. */
    int rank{};
    /*! @brief Time after which its results are of no use. */
    TimePoint deadline{};
    /*! @brief Latest start that can still meet the objective of the request; orders tasks of equal rank. */
    TimePoint latestStart{};
    /*! @brief Time from the arrival of the request within which its response is on time; zero if unknown. */
    Duration objective{};
    /*! @brief Workspace of the request; empty for public routes and in tasks of earlier releases. */
    WorkspaceName workspace;
    /*! @brief Identifier of the caller's attempt to which the stage belongs. */
    std::string attempt;
    /*! @brief Fingerprint of the stage of the request; the same for a repeated request. */
    RequestFingerprint fingerprint;
    /*! @brief Index of the stage in its route. */
    std::uint32_t stage{};
    /*! @brief Number of pieces to compute. */
    std::uint32_t pieces{};
    /*! @brief Input key of the request; set for stages without dependencies. */
    std::string inputKey;
    /*! @brief Results that every piece takes as input; the scheduler releases them once the task has succeeded. */
    std::vector<StoredResult> inputs;
    /*! @brief Approximate size of the result of one piece. */
    std::uint64_t resultBytes{};
    /*! @brief Zone in which running the task moves the fewest bytes between zones; empty if any zone will do. */
    ZoneName preferredZone;
    /*! @brief Process that handles the request. */
    InstanceName requester;
    /*! @brief Results of the pool that this process uses and that another scheduler requested. */
    std::vector<ResultMemoryUsage> heldResults;
};

/*! @brief Why a piece has no result. */
enum class PieceFailure : std::uint8_t
{
    None,
    /*! @brief Its deadline had passed, or could not be met, when it was due to run. */
    Late,
    /*! @brief One of its inputs is missing or could not be fetched. */
    InputMissing,
    /*! @brief The endpoint has not enough memory for the result. */
    InsufficientMemory,
    Error
};

/*! @brief Handle of the result of a piece, or the reason of its failure. */
struct PieceResult
{
    /*! @brief Handle of the stored result; empty after a failure. */
    std::string handle;
    PieceFailure failure{};
};

/*! @brief Outcome of one piece, or the failure of a whole task. */
struct StageOutcome
{
    StageTaskId task{};
    std::uint32_t piece{};
    PieceResult result;
    InstanceName endpoint;
    std::string address;
};

} // namespace bergamottide::serving

template <>
struct bergamottide::EnumNames<bergamottide::serving::PieceFailure>
{
    static constexpr std::array<std::string_view, 5> names{"none", "late", "input_gone", "no_room", "error"};
};
