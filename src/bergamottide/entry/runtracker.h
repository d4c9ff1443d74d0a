#pragma once

#include "bergamottide/entry/answers.h"
#include "bergamottide/entry/entrycontext.h"
#include "bergamottide/entry/stagedriver.h"

namespace bergamottide {

/**
 * @brief Takes what sides say about the runs of this entry.
 */
class RunTracker
{
public:
    /*! @brief Creates the part over the shared state. */
    RunTracker(EntryContext &context, Answers &answers, StageDriver &driver);

    /**
     * @brief Takes a piece of a result or a sign of life.
     * @return False if it matches no run in progress.
     */
    [[nodiscard]] bool progress(const InstanceName &from, const RunProgress &message);

    /**
     * @brief Takes the end of a run.
     * @return False if it matches no run in progress.
     */
    [[nodiscard]] bool finished(const InstanceName &from, const RunFinished &message);

    /*! @brief Finds the run that a message of a side is about, or null. */
    [[nodiscard]] Run *findRun(const InstanceName &from, const RunId &id);

private:
    void checkWhole(Request &request, Run &run);
    void notStarted(Request &request, Run &run, const RunFinished &message);
    void failed(Request &request, Run &run, Reason reason, Duration retryAfter);

    EntryContext &m_context;
    Answers &m_answers;
    StageDriver &m_driver;
};

} // namespace bergamottide
