#pragma once

#include "bergamottide/entry/request.h"

namespace bergamottide {

/**
 * @brief Returns the outcome of a request that ends without a result.
 *
 * `NotRun` requires that nothing was dispatched or every run is confirmed as never started,
 * because the caller may then submit the request elsewhere. For a request opened at a home
 * it also requires a seal, since anybody with the ticket may start the last stage.
 *
 * @param request Request that ends.
 * @return `NotRun`, `Incomplete` or `Unknown`.
 */
[[nodiscard]] Outcome outcomeWithoutResult(const Request &request);

/**
 * @brief Returns the outcome of a submission that is refused before anything was dispatched for it.
 * @param submitted Submission.
 * @param atMostOnce The last stage must run at most once.
 * @return `NotRun`. If an earlier submission of the same request may have run: `Unknown`, or
 *         `Incomplete` if its last stage may be repeated.
 */
[[nodiscard]] Outcome outcomeOfRefusal(const CallerSubmitted &submitted, bool atMostOnce);

} // namespace bergamottide
