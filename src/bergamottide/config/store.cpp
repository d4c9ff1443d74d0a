#include "bergamottide/config/store.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bergamottide {

Verdict ConfigStore::offerText(std::string_view yaml)
{
    ParseResult result = parseDocument(yaml);
    Verdict verdict;
    if (!result.document) {
        verdict.acceptance = Acceptance::Invalid;
        verdict.issues = std::move(result.issues);
        return verdict;
    }
    verdict.version = result.document->version;
    verdict.digest = result.digest;
    verdict.acceptance = compare(verdict.version, verdict.digest);
    if (verdict.acceptance == Acceptance::Accepted) {
        replace(makeSnapshot(std::move(*result.document)), verdict);
    }
    return verdict;
}

Verdict ConfigStore::offerDelta(const ConfigDelta &delta)
{
    Verdict verdict;
    verdict.version = delta.version;
    verdict.digest = delta.digest;
    verdict.acceptance = compare(delta.version, delta.digest);
    if (verdict.acceptance != Acceptance::Accepted) {
        return verdict;
    }
    DeltaResult result = applyDelta(m_current, delta);
    if (result.mismatch) {
        verdict.acceptance = Acceptance::Mismatched;
        return verdict;
    }
    if (!result.snapshot) {
        verdict.acceptance = Acceptance::Invalid;
        verdict.issues = std::move(result.issues);
        return verdict;
    }
    replace(std::move(result.snapshot), verdict);
    return verdict;
}

ConfigDelta ConfigStore::deltaSince(std::uint64_t version, std::uint64_t digest) const
{
    if (version == this->version() && digest == this->digest()) {
        return makeDelta(*m_current, {}, version, digest);
    }
    const auto known = [version, digest](const Change &change) {
        return change.version == version && change.digest == digest;
    };
    auto change = std::find_if(m_history.begin(), m_history.end(), known);
    if (change == m_history.end()) {
        return makeWholeDelta(*m_current);
    }
    std::set<std::string> names;
    for (; change != m_history.end(); ++change) {
        names.insert(change->sections.begin(), change->sections.end());
    }
    return makeDelta(*m_current, {names.begin(), names.end()}, version, digest);
}

Acceptance ConfigStore::compare(std::uint64_t version, std::uint64_t digest) const
{
    // Version zero means none; no published document has it.
    if (version == 0 || version < this->version()) {
        return Acceptance::Older;
    }
    if (version > this->version()) {
        return Acceptance::Accepted;
    }
    return digest == this->digest() ? Acceptance::Same : Acceptance::Conflicting;
}

void ConfigStore::replace(SnapshotPointer snapshot, Verdict &verdict)
{
    verdict.changed = changedSections(m_current, *snapshot);
    if (m_current) {
        m_history.push_back({m_current->version(), m_current->digest, verdict.changed});
    }
    if (m_history.size() > historyLimit) {
        m_history.pop_front();
    }
    m_current = std::move(snapshot);
}

} // namespace bergamottide
