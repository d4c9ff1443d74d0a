#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/serving/catalog.h"
#include "bergamottide/serving/events.h"
#include "bergamottide/serving/eventsplitter.h"
#include "bergamottide/serving/stagescheduler.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamottide::serving {

/*! @brief Progress of one stage of a request. */
struct StageProgress
{
    PoolName pool;
    std::uint32_t pieces{};
    std::optional<StageTaskId> task;
    /*! @brief Set while its start is put off. */
    std::optional<TimePoint> startAt;
    std::uint32_t made{};
    std::vector<KeptResult> results;
    bool isReleased{};

    [[nodiscard]] bool isDone() const noexcept
    {
        return made == pieces;
    }
};

/*! @brief A request in progress. */
struct Request
{
    std::shared_ptr<const CallerRequest> in;
    /*! @brief Version under which it came; holds for it to its end. */
    std::shared_ptr<const Catalog> catalog;
    const Route *route{};
    Workspace workspace;
    int rank{};
    TimePoint arrived{};
    /*! @brief Time at which the caller or the route ends the wait. */
    TimePoint limit{};
    /*! @brief Time by which the answer, or its first event, is on time. */
    TimePoint objective{};
    /*! @brief Time from the sending to the answer, or to its first event, as expected on arrival. */
    Duration runTime{};
    /*! @brief Time of its answer, or of its first event, as forecast on arrival. */
    TimePoint expected{};

    std::vector<StageProgress> stages;
    /*! @brief Level of the stages at work; zero once all are done. */
    std::uint32_t level{};
    /*! @brief Times that stages were started again since an input was gone. */
    std::uint32_t stageRestarts{};

    /*! @brief Pool drawn for it. */
    PoolName pool;
    /*! @brief Parts of its prompt; empty for a plain call. */
    engines::PromptChain prompt;
    std::optional<RunNumber> run;
    TimePoint runStarted{};
    /*! @brief When the engine of its run has fetched the inputs, as far as can be expected. */
    std::optional<TimePoint> inputsFetchedAt;
    /*! @brief Its run was taken as silent. */
    bool isSuspected{};
    /*! @brief When the first event of a stream came. */
    std::optional<TimePoint> firstEventAt;
    InstanceName endpoint;
    /*! @brief Endpoints it was sent to. */
    std::vector<InstanceName> tried;
    /*! @brief Endpoints that may have worked on it. */
    std::uint32_t executions{};
    /*! @brief An endpoint that it was sent to may have begun to work on it; says nothing of a run in progress. */
    bool mayHaveRun{};

    std::optional<EndpointAnswerHead> head;
    std::string body;
    /*! @brief The head of a stream has gone to the caller. */
    bool begun{};
    EventSplitter events;

    /*! @brief Tells if results that a further run would need have been given up. */
    [[nodiscard]] bool lacksResults() const noexcept
    {
        for (std::size_t stage = 0; stage < stages.size(); ++stage) {
            if (route->stages[stage].isLeaf && stages[stage].pieces != 0 && stages[stage].isReleased) {
                return true;
            }
        }
        return false;
    }

    /*! @brief Returns the time past the objective that was forecast on arrival; zero if none. */
    [[nodiscard]] Duration lateness() const noexcept
    {
        return std::max(expected - objective, Duration::zero());
    }

    /*! @brief Tells if no endpoint can have begun to work on it, or ever will: a promise to the caller. */
    [[nodiscard]] bool provablyNotRun() const noexcept
    {
        return !mayHaveRun && !run;
    }
};

} // namespace bergamottide::serving
