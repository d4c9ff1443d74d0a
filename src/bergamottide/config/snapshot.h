#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/config/issue.h"
#include "bergamottide/config/section.h"
#include "bergamottide/protocol/messages.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bergamottide {

/*! @brief A validated document with its sections and digests; never changed once made. */
struct Snapshot
{
    std::shared_ptr<const Document> document;
    Sections sections;
    SectionDigests digests;
    /*! @brief Digest of the whole document. */
    std::uint64_t digest{};

    /*! @brief Returns the version of the document. */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return document->version;
    }
};

/*! @brief Shared snapshot; null for none. */
using SnapshotPointer = std::shared_ptr<const Snapshot>;

/**
 * @brief Makes the snapshot of a validated document.
 * @param document Document without issues.
 */
[[nodiscard]] SnapshotPointer makeSnapshot(Document document);

/**
 * @brief Names the sections that differ between two snapshots.
 * @param from Earlier snapshot; null for the empty document.
 * @param to Later snapshot.
 * @return Names in ascending order, with those that were removed.
 */
[[nodiscard]] std::vector<std::string> changedSections(const SnapshotPointer &from, const Snapshot &to);

/**
 * @brief Writes a delta.
 * @param to Snapshot the delta leads to.
 * @param names Sections to carry, in any order.
 * @param base Version the delta starts from; zero for a whole document.
 * @param baseDigest Digest of that version.
 */
[[nodiscard]] ConfigDelta makeDelta(const Snapshot &to, const std::vector<std::string> &names, std::uint64_t base,
                                    std::uint64_t baseDigest);

/*! @brief Writes a delta from nothing to a whole document. */
[[nodiscard]] ConfigDelta makeWholeDelta(const Snapshot &to);

/*! @brief Outcome of applying a delta. */
struct DeltaResult
{
    /*! @brief Null after a mismatch or an issue. */
    SnapshotPointer snapshot;
    /*! @brief Base or resulting digest is not the one that the delta names. */
    bool mismatch{};
    /*! @brief What is wrong with the document that the delta leads to. */
    std::vector<ConfigIssue> issues;
};

/**
 * @brief Applies a delta to a snapshot and checks the outcome against the digest of the whole document.
 *
 * Only the sections of the delta are read and digested, so that the work for one change
 * depends on its size and, lightly, on the number of sections.
 *
 * @param base Snapshot in force; may be null for a whole document.
 * @param delta Delta from another process, not trusted.
 */
[[nodiscard]] DeltaResult applyDelta(const SnapshotPointer &base, const ConfigDelta &delta);

} // namespace bergamottide
