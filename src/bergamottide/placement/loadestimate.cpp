#include "bergamottide/placement/loadestimate.h"

#include <algorithm>
#include <cmath>

namespace bergamottide {

namespace {

/*! @brief Age up to which a report has full weight, in report periods; tolerates one lost report. */
constexpr std::int64_t freshPeriods = 2;
/*! @brief Half-life of the weight of a stale report, in report periods. */
constexpr std::int64_t halfLifePeriods = 4;

double reportWeight(const ReportedLoad &reported, const Policy &policy, TimePoint now)
{
    if (!reported.known) {
        return 0.0;
    }
    const Duration excessAge = now - reported.at - freshPeriods * policy.reportPeriod;
    if (excessAge <= Duration::zero()) {
        return 1.0;
    }
    const double halvings = static_cast<double>(excessAge.count())
        / static_cast<double>(halfLifePeriods * std::max<std::int64_t>(1, policy.reportPeriod.count()));
    return std::exp2(-halvings);
}

Duration reportedWait(const ReportedLoad &reported, WorkspaceNumber workspace)
{
    const auto below = [](const std::pair<WorkspaceNumber, Duration> &wait, WorkspaceNumber number) {
        return wait.first < number;
    };
    const auto found = std::lower_bound(reported.waits.begin(), reported.waits.end(), workspace, below);
    const bool queued = found != reported.waits.end() && found->first == workspace;
    return queued ? found->second : reported.wait;
}

} // namespace

Duration estimatedWait(const Endpoint &endpoint, WorkspaceNumber workspace, const Policy &policy, TimePoint now)
{
    const ReportedLoad &reported = endpoint.reported;
    const OwnLoad &own = endpoint.own;
    const auto concurrency = static_cast<std::int64_t>(std::max(1U, reported.concurrency));
    const double weight = reportWeight(reported, policy, now);
    // A run that finds a free slot doesn't wait for the runs sent since the report.
    const bool full = reported.inProgress + own.runsSinceReport >= reported.concurrency;
    const Duration since = full ? own.costSinceReport / concurrency : Duration::zero();
    const Duration byReport = reportedWait(reported, workspace) + since;
    const bool ownFull = own.outstanding >= reported.concurrency;
    const Duration byOwn = ownFull ? own.outstandingCost / concurrency : Duration::zero();
    const double wait =
        weight * static_cast<double>(byReport.count()) + (1.0 - weight) * static_cast<double>(byOwn.count());
    return Duration{static_cast<std::int64_t>(wait)};
}

} // namespace bergamottide
