#include "bergamottide/entry/outcomerule.h"

namespace bergamottide {

Outcome outcomeWithoutResult(const Request &request)
{
    // A request with an idempotency key may also have been submitted through another entry.
    const bool nothingRan = request.unconfirmedRuns == 0 && !request.keyed;
    const Outcome withoutEffect = nothingRan ? Outcome::NotRun : Outcome::Incomplete;
    const Outcome maybeWithEffect = request.atMostOnce ? Outcome::Unknown : Outcome::Incomplete;
    const bool serialKnown = request.home && request.home->serial != noSerial;
    if (!serialKnown) {
        // The last stage cannot start without a serial, but an earlier submission of the same key may have one.
        return request.keyed ? maybeWithEffect : withoutEffect;
    }
    if (request.home->state != LedgerState::Sealed) {
        return maybeWithEffect;
    }
    return request.home->resumed ? Outcome::Incomplete : withoutEffect;
}

Outcome outcomeOfRefusal(const CallerSubmitted &submitted, bool atMostOnce)
{
    if (!submitted.hasIdempotencyKey && !submitted.ticket) {
        return Outcome::NotRun;
    }
    return atMostOnce ? Outcome::Unknown : Outcome::Incomplete;
}

} // namespace bergamottide
