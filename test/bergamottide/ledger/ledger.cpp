#include "bergamottide/ledger/ledger.h"

#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::test;
using namespace std::chrono_literals;

namespace {

constexpr LedgerLimits limits{4, 2s, 5s};

RequestId request(std::uint64_t number)
{
    return {3, number};
}

RunId run(std::uint64_t number, std::uint32_t attempt = 1)
{
    return {request(number), 2, attempt};
}

/*! @brief Reference implementation of the ledger: a vector with linear search. */
class ReferenceLedger
{
public:
    LedgerOpenResult open(const RequestId &id, Duration remaining, bool keyed, TimePoint now)
    {
        for (const LedgerRecord &record : m_records) {
            if (record.request == id) {
                return {Reason::None, Duration{}, record};
            }
        }
        if (remaining <= Duration{}) {
            return {Reason::InvalidDeadline, Duration{}, {}};
        }
        if (m_records.size() >= limits.maxRecords) {
            return {Reason::LedgerFull, Duration{}, {}};
        }
        LedgerRecord record{id, Serial{++m_last}, LedgerState::Opened,
                            {}, now + remaining,  now + remaining + limits.retention};
        if (keyed) {
            record.retainUntil = std::max(record.retainUntil, now + limits.keyRetention);
        }
        m_records.push_back(record);
        return {Reason::None, Duration{}, record};
    }

    Reason claim(Serial serial, const RunId &id, TimePoint now)
    {
        LedgerRecord *record = find(serial);
        if (record == nullptr || record->request != id.request) {
            return Reason::UnknownTicket;
        }
        if (record->state != LedgerState::Opened) {
            return record->state == LedgerState::Sealed ? Reason::Sealed : Reason::DuplicateRequest;
        }
        if (record->latestStart < now) {
            record->state = LedgerState::Sealed;
            return Reason::DeadlineExceeded;
        }
        record->state = LedgerState::Queued;
        record->run = id;
        return Reason::None;
    }

    void transition(Serial serial, LedgerState from, LedgerState to, TimePoint retainUntil)
    {
        LedgerRecord *record = find(serial);
        if (record != nullptr && record->state == from) {
            record->state = to;
            record->retainUntil = std::max(record->retainUntil, retainUntil);
        }
    }

    void expire(TimePoint now)
    {
        for (LedgerRecord &record : m_records) {
            if (record.state == LedgerState::Opened && record.latestStart < now) {
                record.state = LedgerState::Sealed;
            }
        }
        std::erase_if(m_records, [now](const LedgerRecord &record) {
            const bool isFinal = record.state == LedgerState::Sealed || record.state == LedgerState::Finished;
            return isFinal && record.retainUntil < now;
        });
    }

    LedgerRecord *find(Serial serial)
    {
        for (LedgerRecord &record : m_records) {
            if (record.serial == serial) {
                return &record;
            }
        }
        return nullptr;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }

private:
    std::uint64_t m_last{};
    std::vector<LedgerRecord> m_records;
};

/*! @brief Applies the same random steps to the ledger and its reference and compares them. */
class LedgerPair
{
public:
    void step(std::uint32_t word)
    {
        const std::uint64_t number = word / 8 % 6;
        const Serial serial{word / 8 % 12};
        m_now += Duration{word / 128 % 16 * 100ms};
        (void)m_ledger.expire(m_now);
        m_reference.expire(m_now);
        switch (word % 8) {
        case 0:
        case 1:
            open(number, Duration{word / 2048 % 8 * 500ms}, word / 16384 % 2 == 1);
            break;
        case 2:
        case 3:
            claim(serial, word / 2048 % 4);
            break;
        case 4:
            m_ledger.markRunning(serial);
            m_reference.transition(serial, LedgerState::Queued, LedgerState::Running, TimePoint{});
            break;
        case 5:
            m_ledger.markFinished(serial, m_now + 2s);
            m_reference.transition(serial, LedgerState::Running, LedgerState::Finished, m_now + 2s);
            break;
        default:
            (void)m_ledger.seal(serial, m_now + 2s);
            m_reference.transition(serial, LedgerState::Opened, LedgerState::Sealed, m_now + 2s);
            m_reference.transition(serial, LedgerState::Queued, LedgerState::Sealed, m_now + 2s);
            break;
        }
        compare();
    }

    /*! @brief Number of successful claims of each serial. */
    std::map<Serial, int> claims;

private:
    void open(std::uint64_t number, Duration remaining, bool keyed)
    {
        const LedgerOpenResult actual = m_ledger.open(request(number), remaining, keyed, limits, m_now);
        const LedgerOpenResult expected = m_reference.open(request(number), remaining, keyed, m_now);
        RC_ASSERT(actual.reason == expected.reason);
        RC_ASSERT(actual.record.serial == expected.record.serial);
        RC_ASSERT(actual.record.state == expected.record.state);
    }

    void claim(Serial serial, std::uint64_t offset)
    {
        const LedgerRecord *record = m_ledger.find(serial);
        const std::uint64_t number = record == nullptr ? 0 : record->request.low + (offset == 3 ? 1 : 0);
        const Reason actual = m_ledger.claim(serial, run(number), m_now);
        RC_ASSERT(actual == m_reference.claim(serial, run(number), m_now));
        claims[serial] += actual == Reason::None ? 1 : 0;
    }

    void compare()
    {
        RC_ASSERT(m_ledger.size() == m_reference.size());
        RC_ASSERT(m_ledger.size() <= limits.maxRecords);
        for (std::uint64_t number = 0; number < 16; ++number) {
            const LedgerRecord *actual = m_ledger.find(Serial{number});
            const LedgerRecord *expected = m_reference.find(Serial{number});
            RC_ASSERT((actual == nullptr) == (expected == nullptr));
            if (actual != nullptr) {
                RC_ASSERT(actual->state == expected->state);
                RC_ASSERT(actual->run == expected->run);
            }
        }
    }

    Ledger m_ledger;
    ReferenceLedger m_reference;
    TimePoint m_now;
};

} // namespace

class LedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(behavesLikeTheReferenceLedger);
    CPPUNIT_TEST(repeatedOpenGivesTheSameSerial);
    CPPUNIT_TEST(fullLedgerRefusesAndRemovesNothing);
    CPPUNIT_TEST(runInProgressIsNeverRemoved);
    CPPUNIT_TEST(keyedRecordIsKeptForTheKeyRetention);
    CPPUNIT_TEST(lateSealReportsTheActualState);
    CPPUNIT_TEST_SUITE_END();

public:
    void behavesLikeTheReferenceLedger()
    {
        checkProperty(
            [](const std::vector<std::uint32_t> &words) {
                LedgerPair pair;
                for (const std::uint32_t word : words) {
                    pair.step(word);
                }
                for (const auto &[serial, count] : pair.claims) {
                    RC_ASSERT(count <= 1);
                }
            },
            21, 2000);
    }

    void repeatedOpenGivesTheSameSerial()
    {
        Ledger ledger;
        const Serial first = ledger.open(request(1), 9s, false, limits, TimePoint{}).record.serial;
        CPPUNIT_ASSERT(first != noSerial);
        CPPUNIT_ASSERT(ledger.open(request(1), 9s, false, limits, TimePoint{} + 1s).record.serial == first);
        (void)ledger.seal(first, TimePoint{});
        const LedgerOpenResult sealed = ledger.open(request(1), 9s, false, limits, TimePoint{} + 2s);
        CPPUNIT_ASSERT(sealed.record.serial == first && sealed.record.state == LedgerState::Sealed);
    }

    void fullLedgerRefusesAndRemovesNothing()
    {
        Ledger ledger;
        for (std::uint64_t number = 0; number < limits.maxRecords; ++number) {
            CPPUNIT_ASSERT(ledger.open(request(number), 9s, false, limits, TimePoint{}).reason == Reason::None);
        }
        const LedgerOpenResult refused = ledger.open(request(9), 9s, false, limits, TimePoint{});
        CPPUNIT_ASSERT(refused.reason == Reason::LedgerFull);
        CPPUNIT_ASSERT(refused.retryAfter > Duration{});
        for (std::uint64_t number = 0; number < limits.maxRecords; ++number) {
            CPPUNIT_ASSERT(ledger.contains(request(number)));
        }
    }

    void runInProgressIsNeverRemoved()
    {
        Ledger ledger;
        const Serial serial = ledger.open(request(1), 1s, false, limits, TimePoint{}).record.serial;
        CPPUNIT_ASSERT(ledger.claim(serial, run(1), TimePoint{}) == Reason::None);
        ledger.markRunning(serial);
        CPPUNIT_ASSERT(ledger.expire(TimePoint{} + 24h).empty());
        CPPUNIT_ASSERT(ledger.find(serial)->state == LedgerState::Running);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.unfinishedCount());
    }

    void keyedRecordIsKeptForTheKeyRetention()
    {
        Ledger ledger;
        const Serial serial = ledger.open(request(1), 100ms, true, limits, TimePoint{}).record.serial;
        const std::vector<Serial> sealed = ledger.expire(TimePoint{} + 5s);
        CPPUNIT_ASSERT(sealed == std::vector<Serial>{serial});
        CPPUNIT_ASSERT(ledger.open(request(1), 9s, true, limits, TimePoint{} + 5s).record.serial == serial);
        CPPUNIT_ASSERT(ledger.expire(TimePoint{} + 5001ms).empty());
        CPPUNIT_ASSERT(!ledger.contains(request(1)));
        CPPUNIT_ASSERT(ledger.wasIssued(serial));
    }

    void lateSealReportsTheActualState()
    {
        Ledger ledger;
        const Serial serial = ledger.open(request(1), 9s, false, limits, TimePoint{}).record.serial;
        (void)ledger.claim(serial, run(1), TimePoint{});
        ledger.markRunning(serial);
        CPPUNIT_ASSERT(ledger.seal(serial, TimePoint{}) == LedgerState::Running);
        CPPUNIT_ASSERT(ledger.seal(Serial{99}, TimePoint{}) == LedgerState::Absent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);
