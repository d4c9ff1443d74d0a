#pragma once

#include "bergamottide/ledger/ledger.h"
#include "bergamottide/side/runtable.h"
#include "bergamottide/side/sidecontext.h"

#include <optional>
#include <string>

namespace bergamottide {

/**
 * @brief Graceful stop of a side.
 *
 * From the first sign (the instance list or the process's own stop) it opens no record and
 * takes no repeatable run. It takes the runs of serials given out before for a short time
 * more, finishes what is queued or running, keeps results until they are fetched or have
 * expired, and then says that the process may exit. The longest deadline and the retention of results bound
 * all that; whatever is left then is logged and given up.
 */
class Drain
{
public:
    /**
     * @brief Takes what it works on.
     * @param context Shared parts of the side.
     * @param runs Runs of the side.
     * @param ledger Ledger of the side.
     */
    Drain(SideContext &context, RunTable &runs, const Ledger &ledger);

    /*! @brief Starts the stop of the process. */
    void onRequested(const std::string &cause);
    /*! @brief Follows the mark of this instance in the instance list. */
    void onView();
    /*! @brief Says once that the process may exit, when it may. */
    void onTick();

private:
    void update(const std::string &cause);
    [[nodiscard]] bool finished();

    SideContext &m_context;
    RunTable &m_runs;
    const Ledger &m_ledger;
    std::optional<TimePoint> m_requestedAt;
    bool m_listedLeaving{};
    bool m_completed{};
};

} // namespace bergamottide
