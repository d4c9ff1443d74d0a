#include "bergamottide/entry/outcomerule.h"

namespace bergamottide {

Outcome outcomeWithoutResult(const Request &request)
{
    // An identity derived from a key may have been submitted through another entry as well.
    const bool nothingRan = request.unconfirmed == 0 && !request.keyed;
    const Outcome withoutEffect = nothingRan ? Outcome::NotRun : Outcome::Incomplete;
    if (!request.home) {
        return withoutEffect;
    }
    const Home &home = *request.home;
    if (home.state == LedgerState::Sealed) {
        return home.resumed ? Outcome::Incomplete : withoutEffect;
    }
    // Without a serial nobody can have started the last stage, unless the identity is one that others derive too.
    if (home.serial == noSerial && !request.keyed) {
        return withoutEffect;
    }
    return request.atMostOnce ? Outcome::Unknown : Outcome::Incomplete;
}

Outcome outcomeOfRefusal(const CallerSubmitted &submitted, bool atMostOnce)
{
    if (!submitted.keyed && !submitted.ticket) {
        return Outcome::NotRun;
    }
    return atMostOnce ? Outcome::Unknown : Outcome::Incomplete;
}

} // namespace bergamottide
