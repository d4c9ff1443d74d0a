#pragma once

#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/stagedriver.h"

namespace bergamottide {

/**
 * @brief Takes what sides say about runs, and drops what matches no run in progress.
 */
class RunTracker
{
public:
    /*! @brief Creates the part over the shared state. */
    RunTracker(EntryContext &context, StageDriver &driver);

    /*! @brief Takes a piece of a result or a sign of life. */
    void progress(const InstanceName &from, const RunProgress &message);
    /*! @brief Takes the end of a run. */
    void finished(const InstanceName &from, const RunFinished &message);

private:
    [[nodiscard]] Run *findRun(const InstanceName &from, const RunId &id);
    void checkWhole(Request &request, Run &run);
    void notStarted(Request &request, Run &run, const RunFinished &message);
    void failed(Request &request, Run &run, Reason reason, Duration retryAfter);

    EntryContext &m_context;
    StageDriver &m_driver;
};

} // namespace bergamottide
