#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/placement/endpoint.h"

namespace bergamottide {

/**
 * @brief Estimates how long a new run of a workspace waits in the queue of an endpoint.
 *
 * Load: reports that are 250 ms old in good times, seconds old or missing in bad ones.
 * Harm prevented: herding on an endpoint whose report was idle when it was sent, and
 * shunning one forever whose last report was bad. The reported wait is corrected by what
 * this entry has sent since; after two periods without a report its weight halves every
 * four periods, and the entry's own outstanding runs, which it knows exactly, take over.
 *
 * @param endpoint Endpoint.
 * @param workspace Workspace of the run.
 * @param policy Limits in force; `reportPeriod` sets the pace of the decay.
 * @param now Present time.
 * @return Estimated wait, not negative.
 */
[[nodiscard]] Duration estimatedWait(const Endpoint &endpoint, WorkspaceNumber workspace, const Policy &policy,
                                     TimePoint now);

} // namespace bergamottide
