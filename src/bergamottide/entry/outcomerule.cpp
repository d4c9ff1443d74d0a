#include "bergamottide/entry/outcomerule.h"

namespace bergamottide {

Outcome outcomeWithoutResult(const Request &request)
{
    // An identity derived from a key may have been submitted through another entry as well.
    const bool nothingRan = request.unconfirmed == 0 && !request.keyed;
    const Outcome withoutEffect = nothingRan ? Outcome::NotRun : Outcome::Incomplete;
    const Outcome maybeWithEffect = request.atMostOnce ? Outcome::Unknown : Outcome::Incomplete;
    const bool serialKnown = request.home && request.home->serial != noSerial;
    if (!serialKnown) {
        // Without a serial nobody can have started the last stage, unless another submission has one.
        return request.keyed ? maybeWithEffect : withoutEffect;
    }
    if (request.home->state != LedgerState::Sealed) {
        return maybeWithEffect;
    }
    return request.home->resumed ? Outcome::Incomplete : withoutEffect;
}

Outcome outcomeOfRefusal(const CallerSubmitted &submitted, bool atMostOnce)
{
    if (!submitted.keyed && !submitted.ticket) {
        return Outcome::NotRun;
    }
    return atMostOnce ? Outcome::Unknown : Outcome::Incomplete;
}

} // namespace bergamottide
