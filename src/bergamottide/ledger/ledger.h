#pragma once

#include "bergamottide/protocol/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief One request in the ledger of its home. */
struct LedgerRecord
{
    RequestId request;
    Serial serial{};
    LedgerState state{LedgerState::Opened};
    /*! @brief Run of the serial, once there is one. */
    RunId run;
    /*! @brief Time after which the run is not started any more. */
    TimePoint latestStart;
    /*! @brief Time before which the record is never forgotten. */
    TimePoint keptUntil;
};

/*! @brief Limits of a ledger, from the document. */
struct LedgerLimits
{
    /*! @brief Records kept at most. */
    std::size_t records{};
    /*! @brief Time a record is kept after its run has ended, or after its latest start. */
    Duration retention{};
    /*! @brief Time from its opening for which a record that others may open too is kept. */
    Duration keyMemory{};
};

/*! @brief What opening a record gave. */
struct LedgerOpening
{
    /*! @brief `None`, or why no record was opened. */
    Reason reason{};
    /*! @brief Time after which another try makes sense, with a refusal. */
    Duration retryAfter{};
    /*! @brief Copy of the record, without a refusal. */
    LedgerRecord record;
};

/**
 * @brief Ledger of one side incarnation: every serial starts at most one run, ever.
 *
 * Serials are counted up and never used again. A record goes from opened to queued to
 * running to finished, or is sealed before it runs; neither a sealed nor a finished one
 * ever runs again. A record is forgotten only when its latest start and its retention have
 * passed; a start that names a forgotten serial is refused, so forgetting never leads to a
 * second run. Load it is made for: a few dozen requests in progress at a side. When more
 * than `records` are kept it refuses to open rather than forget early: memory stays within
 * rate times deadline plus retention.
 */
class Ledger
{
public:
    /**
     * @brief Opens a record, or finds the one that a request has.
     * @param request Identity of the request.
     * @param remaining Time left until its deadline.
     * @param keyed Others may open the same identity.
     * @param limits Limits in force.
     * @param now Present time.
     * @return The record, or a refusal (`LedgerFull`, `InvalidDeadline`).
     */
    [[nodiscard]] LedgerOpening open(const RequestId &request, Duration remaining, bool keyed,
                                     const LedgerLimits &limits, TimePoint now);

    /**
     * @brief Binds the one run of a serial, which is queued from now on.
     * @param serial Serial.
     * @param run Run; its request is that of the record.
     * @param now Present time.
     * @return `None`; `UnknownTicket` for an unknown serial, `DuplicateRequest` if it already has a run, `Sealed` if it
     * was sealed, `DeadlineExceeded` after its latest start (it is sealed then).
     */
    [[nodiscard]] Reason claim(Serial serial, const RunId &run, TimePoint now);

    /*! @brief Records that the run of a serial has been handed to the endpoint. */
    void markRunning(Serial serial);

    /**
     * @brief Records that the run of a serial has ended at the endpoint.
     * @param serial Serial.
     * @param keptUntil Time until which the record is kept at least.
     */
    void markFinished(Serial serial, TimePoint keptUntil);

    /**
     * @brief Seals a serial whose run was not started: it never will be.
     * @param serial Serial.
     * @param keptUntil Time until which the record is kept at least.
     * @return State afterwards: `Sealed`, or `Running` or `Finished` if it was too late, or `Absent`.
     */
    LedgerState seal(Serial serial, TimePoint keptUntil);

    /**
     * @brief Records that the endpoint refused the run before it started: sealed.
     * @param serial Serial.
     * @param keptUntil Time until which the record is kept at least.
     */
    void markRefused(Serial serial, TimePoint keptUntil);

    /*! @brief Tells if a request has a record. */
    [[nodiscard]] bool knows(const RequestId &request) const;

    /*! @brief Tells if a serial was issued, even if its record is forgotten. */
    [[nodiscard]] bool issued(Serial serial) const noexcept;

    /*! @brief Returns the record of a serial, or null. */
    [[nodiscard]] const LedgerRecord *find(Serial serial) const;

    /**
     * @brief Seals opened records whose latest start has passed, and forgets records kept long enough.
     * @param now Present time.
     * @return Serials that were sealed.
     */
    [[nodiscard]] std::vector<Serial> expire(TimePoint now);

    /*! @brief Returns the time at which `expire` next has something to do. */
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

    /*! @brief Returns the number of records. */
    [[nodiscard]] std::size_t size() const noexcept;

    /*! @brief Returns the number of records that may still start or are at the endpoint. */
    [[nodiscard]] std::size_t unfinished() const noexcept;

private:
    [[nodiscard]] static TimePoint dueTime(const LedgerRecord &record);
    LedgerRecord *lookUp(Serial serial);
    template <typename Change>
    void update(LedgerRecord &record, Change change);
    void erase(Serial serial);

    std::uint64_t m_lastSerial{};
    std::map<Serial, LedgerRecord> m_records;
    std::map<RequestId, Serial> m_serialOf;
    std::set<std::pair<TimePoint, Serial>> m_due;
};

} // namespace bergamottide
