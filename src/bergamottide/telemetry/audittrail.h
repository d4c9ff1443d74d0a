#pragma once

#include "bergamottide/core/time.h"
#include "bergamottide/telemetry/logline.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide {

/*! @brief One change as the trail holds it. */
struct AuditEntry
{
    /*! @brief Position within the trail of the process, from one. */
    std::uint64_t sequence{};
    WallTime time;
    InstanceName instance;
    AuditRecord record;
};

/*! @brief Writes an entry as one line of JSON, without the line end. */
[[nodiscard]] std::string auditLine(const AuditEntry &entry);

/**
 * @brief Trail of changes of one process: the latest ones in memory, every one to a hook.
 *
 * Instances have no disks, so the log keeps the whole trail and the ring the part that an
 * operator asks for first.
 */
class AuditTrail
{
public:
    /*! @brief Receives each line as it is recorded. */
    using WriteLine = std::function<void(const std::string &line)>;

    /**
     * @brief Entries kept: at 16,000 changes a day the last hour and a half, some 300 KB.
     */
    static constexpr std::size_t capacity = 1000;
    /*! @brief Bytes of cause or detail kept: a refused document may have a thousand issues. */
    static constexpr std::size_t longestText = 2000;

    /**
     * @brief Opens an empty trail.
     * @param instance Instance that the changes belong to.
     * @param clock Source of the wall time; must outlive the trail.
     * @param writeLine Receives each line; may be empty.
     */
    AuditTrail(InstanceName instance, const Clock &clock, WriteLine writeLine = {});

    /**
     * @brief Records a change.
     * @param record Effect of a reducer.
     */
    void record(const AuditRecord &record);

    /**
     * @brief Returns the entries after a position.
     * @param sequence Position already known; zero for all.
     * @return Entries kept, the oldest first.
     */
    [[nodiscard]] std::vector<AuditEntry> since(std::uint64_t sequence) const;

    /**
     * @brief Writes the entries after a position as lines of JSON.
     * @param sequence Position already known; zero for all.
     */
    [[nodiscard]] std::string linesSince(std::uint64_t sequence) const;

private:
    InstanceName m_instance;
    const Clock &m_clock;
    WriteLine m_writeLine;
    std::deque<AuditEntry> m_entries;
    std::uint64_t m_sequence{};
};

} // namespace bergamottide
