#pragma once

#include <cstdint>
#include <map>

namespace bergamottide::serving {

/**
 * @brief Numbers the changes of all records that a process spreads with its heartbeats.
 *
 * A peer acknowledges the version up to which it has received the changes and is sent only later ones, so records that
 * do not change cost nothing.
 */
class GossipClock
{
public:
    /**
     * @brief Creates a clock.
     * @param firstVersion Differs for each start of the process, so that its peers' earlier acknowledgements are
     * recognized as such.
     */
    explicit GossipClock(std::uint64_t firstVersion) noexcept
        : m_firstVersion{firstVersion}
        , m_version{firstVersion}
    {
    }

    /*! @brief Returns the version of the latest change. */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /*! @brief Returns the version of a new change. */
    [[nodiscard]] std::uint64_t next() noexcept
    {
        return ++m_version;
    }

    /*! @brief Returns the version since which a peer is to be sent the changes; zero for all records. */
    [[nodiscard]] std::uint64_t sendSince(std::uint64_t acknowledged) const noexcept
    {
        return acknowledged >= m_firstVersion && acknowledged <= m_version ? acknowledged : 0;
    }

private:
    std::uint64_t m_firstVersion;
    std::uint64_t m_version;
};

/**
 * @brief Records of one kind that spread through the fleet with the heartbeats.
 * @tparam Key Type of the keys.
 * @tparam Record Type of the records.
 */
template <typename Key, typename Record>
class GossipTable
{
public:
    /*! @brief A record with the version of its last change. */
    struct Entry
    {
        Record record;
        std::uint64_t version{};
    };

    using Entries = std::map<Key, Entry>;

    /**
     * @brief Creates an empty table.
     * @param clock Clock of the process; must outlive the table.
     */
    explicit GossipTable(GossipClock &clock)
        : m_clock{clock}
    {
    }

    /*! @brief Returns the record of a key to change it; creates a missing one. */
    [[nodiscard]] Record &change(const Key &key)
    {
        Entry &entry = m_entries[key];
        entry.version = m_clock.next();
        return entry.record;
    }

    /*! @brief Removes a record here; peers keep theirs. */
    typename Entries::iterator erase(typename Entries::iterator position)
    {
        return m_entries.erase(position);
    }

    [[nodiscard]] Entries &entries() noexcept
    {
        return m_entries;
    }

    [[nodiscard]] const Entries &entries() const noexcept
    {
        return m_entries;
    }

private:
    GossipClock &m_clock;
    Entries m_entries;
};

} // namespace bergamottide::serving
