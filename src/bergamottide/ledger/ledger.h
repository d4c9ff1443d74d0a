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

/*! @brief Record of a request in the ledger of its home. */
struct LedgerRecord
{
    RequestId request;
    Serial serial{};
    LedgerState state{LedgerState::Opened};
    /*! @brief Run that claimed the serial; set from state `Queued` on. */
    RunId run;
    /*! @brief Time after which the run may not be queued. */
    TimePoint latestStart;
    /*! @brief Earliest time at which the record may be removed. */
    TimePoint retainUntil;
};

/*! @brief Limits of a ledger, from the configuration document. */
struct LedgerLimits
{
    /*! @brief Maximum number of records. */
    std::size_t maxRecords{};
    /*! @brief Time for which a record is kept after its latest start. */
    Duration retention{};
    /*! @brief Minimum time for which a record with an idempotency key is kept after its opening. */
    Duration keyRetention{};
};

/*! @brief Result of opening a record. */
struct LedgerOpenResult
{
    /*! @brief `None`, or the reason why no record was opened. */
    Reason reason{};
    /*! @brief Time after which the caller may retry; set with a refusal. */
    Duration retryAfter{};
    /*! @brief Copy of the record; set without a refusal. */
    LedgerRecord record;
};

/**
 * @brief Ledger of a sidecar incarnation: guarantees that each serial starts at most one run.
 *
 * Serials increase and are never reused. A record goes through the states opened, queued,
 * running and finished, or is sealed before it runs; sealed and finished are final. A
 * record is removed only after its latest start and its retention. A run with a removed
 * serial is refused, so that removal cannot lead to a second run. A full ledger refuses to
 * open records; it never removes one early.
 */
class Ledger
{
public:
    /**
     * @brief Opens a record for a request, or returns the existing one.
     * @param request Identity of the request.
     * @param remaining Time left until the deadline of the request.
     * @param keyed The identity was derived from an idempotency key.
     * @param limits Current limits.
     * @param now Current time.
     * @return The record, or a refusal (`LedgerFull`, `InvalidDeadline`).
     */
    [[nodiscard]] LedgerOpenResult open(const RequestId &request, Duration remaining, bool keyed,
                                        const LedgerLimits &limits, TimePoint now);

    /**
     * @brief Claims a serial for its only run, which becomes queued.
     * @param run Run of the record's request.
     * @param now Current time.
     * @return `None`; `UnknownTicket` if the serial is unknown or belongs to another request; `DuplicateRequest` if it
     * has a run; `Sealed` if it is sealed; `DeadlineExceeded` after the latest start, which seals it.
     */
    [[nodiscard]] Reason claim(Serial serial, const RunId &run, TimePoint now);

    /*! @brief Records that the run of a serial was sent to the endpoint. */
    void markRunning(Serial serial);

    /**
     * @brief Records that the run of a serial has ended at the endpoint.
     * @param retainUntil Earliest time at which the record may be removed.
     */
    void markFinished(Serial serial, TimePoint retainUntil);

    /**
     * @brief Seals a serial that is opened or queued, so that its run never starts.
     * @param retainUntil Earliest time at which the record may be removed.
     * @return State afterwards: `Sealed`; `Running` or `Finished` if it is too late; `Absent` if the serial is unknown.
     */
    LedgerState seal(Serial serial, TimePoint retainUntil);

    /**
     * @brief Seals a serial whose run was refused by the endpoint before it started.
     * @param retainUntil Earliest time at which the record may be removed.
     */
    void markRefused(Serial serial, TimePoint retainUntil);

    /*! @brief Returns whether a request has a record. */
    [[nodiscard]] bool contains(const RequestId &request) const;

    /*! @brief Returns whether a serial was issued, even if its record has been removed. */
    [[nodiscard]] bool wasIssued(Serial serial) const noexcept;

    /*! @brief Returns the record of a serial, or null. */
    [[nodiscard]] const LedgerRecord *find(Serial serial) const;

    /**
     * @brief Seals opened records after their latest start, and removes records whose retention has ended.
     * @param now Current time.
     * @return Serials sealed by this call.
     */
    [[nodiscard]] std::vector<Serial> expire(TimePoint now);

    /*! @brief Returns the time after which `expire` has work to do; absent if there are no records. */
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

    [[nodiscard]] std::size_t size() const noexcept;

    /*! @brief Returns the number of records that are neither finished nor sealed. */
    [[nodiscard]] std::size_t unfinishedCount() const noexcept;

private:
    [[nodiscard]] static TimePoint expiryOf(const LedgerRecord &record);
    LedgerRecord *findRecord(Serial serial);
    template <typename Change>
    void update(LedgerRecord &record, Change change);
    void erase(Serial serial);

    std::uint64_t m_lastSerial{};
    std::map<Serial, LedgerRecord> m_records;
    std::map<RequestId, Serial> m_serialOf;
    std::set<std::pair<TimePoint, Serial>> m_expiries;
};

} // namespace bergamottide
