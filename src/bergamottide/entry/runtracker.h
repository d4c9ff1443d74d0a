#pragma once

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/requestfinisher.h"
#include "bergamottide/entry/stagedriver.h"

namespace bergamottide {

/**
 * @brief Handles the messages of sidecars about the runs of this entry.
 */
class RunTracker
{
public:
    /*! @brief Creates the component; the references must outlive it. */
    RunTracker(EntryContext &context, RequestFinisher &finisher, StageDriver &driver);

    /**
     * @brief Handles a piece of a result, or a report that the run is still in progress.
     * @return False if there is no such run.
     */
    [[nodiscard]] bool handleProgress(const InstanceName &from, const RunProgress &message);

    /**
     * @brief Handles the end of a run.
     * @return False if there is no such run.
     */
    [[nodiscard]] bool handleFinished(const InstanceName &from, const RunFinished &message);

    /*! @brief Returns the run with an identity at a sidecar, or null. */
    [[nodiscard]] StageRun *findRun(const InstanceName &from, const RunId &id);

private:
    void checkComplete(Request &request, StageRun &run);
    void handleNotStarted(Request &request, StageRun &run, const RunFinished &message);
    void handleFailed(Request &request, StageRun &run, Reason reason, Duration retryAfter);

    EntryContext &m_context;
    RequestFinisher &m_finisher;
    StageDriver &m_driver;
};

} // namespace bergamottide
