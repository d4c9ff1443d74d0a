#pragma once

#include "bergamottide/core/enumnames.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::serving {

/*! @brief Results that wait for their use at an endpoint. */
struct HeldResults
{
    InstanceName endpoint;
    std::uint64_t bytes{};
};

/*! @brief A result that waits for its use. */
struct KeptResult
{
    std::string handle;
    /*! @brief Endpoint that keeps it, and its address. */
    InstanceName endpoint;
    std::string address;
    std::uint64_t bytes{};
    /*! @brief Incarnation of the process whose scheduler has had it made. */
    std::uint64_t scheduler{};
};

/*! @brief One stage of one request, as handed to a scheduler. */
enum class StageTaskId : std::uint64_t
{
};

/*! @brief Pieces of one stage of one request that are to be made. */
struct StageTask
{
    StageTaskId id{};
    PoolName pool;
    /*! @brief Rank over all requests; the lowest goes first. */
    int rank{};
    /*! @brief Time at which its results come too late to be of use. */
    TimePoint deadline{};
    /*! @brief Latest start with which its request can still be on time, at best; the earliest goes first among equal
     * ranks. */
    TimePoint due{};
    std::string attempt;
    std::uint32_t stage{};
    std::uint32_t pieces{};
    std::string key;
    /*! @brief Results that each piece takes. Once the task has succeeded, its scheduler has given them up. */
    std::vector<KeptResult> inputs;
    std::uint64_t resultBytes{};
    /*! @brief Zone in which making it moves the fewest bytes between zones; empty if that does not matter. */
    ZoneName zone;
    /*! @brief Process whose request it is. */
    InstanceName from;
    /*! @brief Results of the pool that this process holds and that another scheduler has had made. */
    std::vector<HeldResults> held;
};

/*! @brief Why a piece has no result. */
enum class PieceFailure : std::uint8_t
{
    None,
    /*! @brief Its time had run out at its turn. */
    Late,
    /*! @brief One of its inputs is no longer there. */
    InputGone,
    /*! @brief No memory for the result. */
    NoRoom,
    Error
};

/*! @brief Result of one piece. */
struct PieceResult
{
    /*! @brief Where the result is kept; empty after a failure. */
    std::string handle;
    PieceFailure failure{};
};

/*! @brief A piece that has its result, or a task that has failed. */
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
