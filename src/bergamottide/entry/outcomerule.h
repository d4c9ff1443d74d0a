#pragma once

#include "bergamottide/entry/request.h"

namespace bergamottide {

/**
 * @brief Says what became of a request that ends without its result.
 *
 * Load: requests that are refused, given up or cut off at any moment. Harm prevented: a
 * caller who is told that nothing happened sends the same order to somebody else; if that
 * is untrue, two trucks are loaded. So `not_run` needs proof: nothing was dispatched, or
 * every run was confirmed as never started. A request that was opened at a home may be
 * started by whoever holds its ticket; only the home's seal proves that nobody did.
 *
 * @param request Request that ends.
 * @return `NotRun`, `Incomplete` or `Unknown`.
 */
[[nodiscard]] Outcome outcomeWithoutResult(const Request &request);

/**
 * @brief Says what a refusal before anything was done for a submission may claim.
 * @param submitted Submission.
 * @param atMostOnce The request has an effect that must not happen twice.
 * @return `NotRun`; but when an earlier submission of the same request, through any entry,
 *         may have run, `Unknown`, or `Incomplete` if it can have had no effect.
 */
[[nodiscard]] Outcome outcomeOfRefusal(const CallerSubmitted &submitted, bool atMostOnce);

} // namespace bergamottide
