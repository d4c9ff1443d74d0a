#pragma once

#include "support/harness.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bergamottide::test {

/*! @brief One request of a load. */
struct Arrival
{
    Duration at{};
    WorkspaceName workspace;
    PipelineName pipeline;
    KindName kind;
    std::uint32_t maxTokens{};
    std::uint64_t prefix{};
    std::size_t bodyBytes{};
    std::size_t entry{};
    /*! @brief Work of each stage in the units of its endpoints. */
    std::vector<double> units;
    /*! @brief Group that the figures tell apart: burst, short, long; empty for the rest. */
    std::string group;
};

/*! @brief A load with the fleet it meets and what happens to that fleet. */
struct Scenario
{
    std::string name;
    Fleet fleet;
    std::vector<Arrival> arrivals;
    /*! @brief Called once before the run, to plan faults. */
    std::function<void(Harness &)> disturb;
};

/*! @brief What became of one request. */
struct RequestRecord
{
    Outcome outcome{};
    Reason reason{};
    bool answered{};
    /*! @brief Completed within its deadline. */
    bool onTime{};
    Duration latency{};
};

/*! @brief Endpoint time of one pool, in seconds of a whole endpoint. */
struct StageTime
{
    double useful{};
    double wasted{};
};

/*! @brief What became of a load. */
struct ScenarioResult
{
    /*! @brief One for each arrival, in the same order. */
    std::vector<RequestRecord> requests;
    std::map<PoolName, StageTime> time;
    /*! @brief Broken promises; only looked for with the real reducers. */
    std::vector<std::string> violations;
    std::map<std::string, double> counts;
    std::uint64_t events{};
};

/*! @brief Sizes of the fleet: 1 is that of today. */
struct Size
{
    std::size_t engines{12};
    std::size_t workspaces{5};
    std::size_t entries{3};
};

/*! @brief Deadline of every request. */
inline constexpr Duration requestDeadline = std::chrono::seconds{9};

/*! @brief Returns the fleet of a size: engines, encoders, retrievers, rerankers and plain services in three zones. */
[[nodiscard]] Fleet makeFleet(const Size &size, std::uint64_t seed);

/*! @brief Returns the units per second that one endpoint yields when it is full. */
[[nodiscard]] double unitsPerSecond(const ServiceLaw &law);

/*! @brief Returns the units per second of each pool. */
[[nodiscard]] std::map<PoolName, double> poolCapacity(const Fleet &fleet);

/*! @brief Returns the time that a request takes of endpoints, over all of its stages, when each endpoint is full. */
[[nodiscard]] double stageSeconds(const Fleet &fleet, const Arrival &arrival);

/*! @brief Plays a load against a fleet. */
[[nodiscard]] ScenarioResult play(const Scenario &scenario, const LogicFactory &logic, bool checked);

/*! @brief Says what one request is worth to a bound. */
using Worth = std::function<double(const Arrival &)>;

/**
 * @brief Returns the most worth that any policy could complete on time.
 *
 * For each pool alone, and for mixtures of two: work is fluid, may be split and interrupted
 * at will, and every request may use its whole deadline at that pool. No policy does better
 * than any of these, so the least of them is a bound; the true best may lie below it.
 *
 * @param scenario The load; faults are not seen.
 * @param worth What each request counts.
 */
[[nodiscard]] double boundOf(const Scenario &scenario, const Worth &worth);

} // namespace bergamottide::test
