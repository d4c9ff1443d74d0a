#pragma once

#include "bergamottide/config/parser.h"
#include "bergamottide/config/snapshot.h"
#include "bergamottide/core/enumnames.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide {

/*! @brief What became of an offered document. */
enum class Acceptance : std::uint8_t
{
    /*! @brief It is in force now. */
    Accepted,
    /*! @brief It is the one in force. */
    Same,
    /*! @brief Its version is below the one in force; nothing reverts. */
    Older,
    /*! @brief Its version is the one in force with another digest: two documents were published under one number. */
    Conflicting,
    /*! @brief It has issues, or was cut off. */
    Invalid,
    /*! @brief A delta that starts from another document, or does not lead to the digest it names. */
    Mismatched
};

template <>
struct EnumNames<Acceptance>
{
    static constexpr std::array<std::string_view, 6> names{"accepted",    "same",    "older",
                                                           "conflicting", "invalid", "mismatched"};
};

/*! @brief Verdict on an offered document. */
struct Verdict
{
    Acceptance acceptance{};
    /*! @brief Version offered; zero if it could not be read. */
    std::uint64_t version{};
    /*! @brief Digest offered; zero if it could not be read. */
    std::uint64_t digest{};
    /*! @brief Every error of an invalid document. */
    std::vector<ConfigIssue> issues;
    /*! @brief Sections that changed with an accepted document. */
    std::vector<std::string> changed;
};

/**
 * @brief The document in force and the rule by which another takes its place.
 *
 * The rule is monotonic: only a higher version is accepted. So documents that come late,
 * twice, out of order or from a stale reader never revert what is in force, whoever
 * offers them.
 */
class ConfigStore
{
public:
    /**
     * @brief Changes remembered, for deltas to subscribers that lag.
     *
     * At bursts of 20 changes a second it covers 50 s; a subscriber that lags further gets the
     * whole document. Only names of sections are kept, some 30 KB.
     */
    static constexpr std::size_t historyLimit = 1000;

    /**
     * @brief Offers the text of a published document.
     * @param yaml Text as the configuration service gave it, perhaps stale or cut off.
     */
    Verdict offerText(std::string_view yaml);

    /**
     * @brief Offers a delta from another process.
     * @param delta Delta, not trusted.
     */
    Verdict offerDelta(const ConfigDelta &delta);

    /*! @brief Returns the document in force; null if there is none. */
    [[nodiscard]] const SnapshotPointer &current() const noexcept
    {
        return m_current;
    }

    /*! @brief Returns the version in force; zero if there is none. */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_current ? m_current->version() : 0;
    }

    /*! @brief Returns the digest in force; zero if there is none. */
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return m_current ? m_current->digest : 0;
    }

    /**
     * @brief Writes the delta from a subscriber's document to the one in force.
     * @param version Version that the subscriber has.
     * @param digest Digest that the subscriber has.
     * @return The delta; a whole document if the subscriber's is not among those remembered.
     * @pre A document is in force.
     */
    [[nodiscard]] ConfigDelta deltaSince(std::uint64_t version, std::uint64_t digest) const;

private:
    /*! @brief One change of the document in force. */
    struct Change
    {
        /*! @brief Version and digest that were in force before. */
        std::uint64_t version{};
        std::uint64_t digest{};
        std::vector<std::string> sections;
    };

    /*! @brief Compares an offer with the document in force; `Accepted` if it is newer. */
    [[nodiscard]] Acceptance compare(std::uint64_t version, std::uint64_t digest) const;
    void replace(SnapshotPointer snapshot, Verdict &verdict);

    SnapshotPointer m_current;
    std::deque<Change> m_history;
};

} // namespace bergamottide
