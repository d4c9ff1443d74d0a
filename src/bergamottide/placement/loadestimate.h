#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/placement/endpoint.h"

namespace bergamottide {

/**
 * @brief Estimates how long a new run of a workspace would wait in the queue of an endpoint.
 *
 * Adds the cost of the runs that this entry has sent since the report to the reported
 * wait, so that it doesn't overload an endpoint that was idle when the report was sent. The
 * weight of a stale report decays in favour of an estimate from this entry's outstanding
 * runs, so that an endpoint isn't avoided forever because of its last report. Reports are 250 ms
 * old in good times, seconds old or missing in bad ones.
 *
 * @param endpoint Endpoint.
 * @param workspace Workspace of the run.
 * @param policy Current limits; the decay is relative to `reportPeriod`.
 * @param now Current time.
 * @return Estimated wait, not negative.
 */
[[nodiscard]] Duration estimatedWait(const Endpoint &endpoint, WorkspaceNumber workspace, const Policy &policy,
                                     TimePoint now);

} // namespace bergamottide
