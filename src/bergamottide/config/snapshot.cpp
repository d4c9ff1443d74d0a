#include "bergamottide/config/snapshot.h"

#include "bergamottide/config/references.h"

#include <set>
#include <utility>

namespace bergamottide {

namespace {

bool startsFrom(const SnapshotPointer &base, const ConfigDelta &delta)
{
    if (delta.base == 0) {
        return true;
    }
    return base != nullptr && base->version() == delta.base && base->digest == delta.baseDigest;
}

/*! @brief Puts one section of a delta in place, in the document as in its digests. */
void replaceSection(const ConfigDelta::Section &section, Snapshot &snapshot, Document &document, IssueList &issues)
{
    applySection(section.name, section.text, document, issues);
    if (section.text.empty()) {
        snapshot.sections.erase(section.name);
        snapshot.digests.erase(section.name);
        return;
    }
    snapshot.digests.insert_or_assign(section.name, sectionDigest(section.text));
    snapshot.sections.insert_or_assign(section.name, section.text);
}

} // namespace

SnapshotPointer makeSnapshot(Document document)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->sections = sectionsOf(document);
    snapshot->digests = sectionDigests(snapshot->sections);
    snapshot->digest = documentDigest(document.version, snapshot->digests);
    snapshot->document = std::make_shared<const Document>(std::move(document));
    return snapshot;
}

std::vector<std::string> changedSections(const SnapshotPointer &from, const Snapshot &to)
{
    std::set<std::string> names;
    for (const auto &[name, digest] : to.digests) {
        const auto old = from ? from->digests.find(name) : to.digests.end();
        if (!from || old == from->digests.end() || old->second != digest) {
            names.insert(name);
        }
    }
    if (from) {
        for (const auto &[name, digest] : from->digests) {
            if (!to.digests.contains(name)) {
                names.insert(name);
            }
        }
    }
    return {names.begin(), names.end()};
}

ConfigDelta makeDelta(const Snapshot &to, const std::vector<std::string> &names, std::uint64_t base,
                      std::uint64_t baseDigest)
{
    ConfigDelta delta;
    delta.version = to.version();
    delta.digest = to.digest;
    delta.base = base;
    delta.baseDigest = baseDigest;
    for (const std::string &name : names) {
        const auto section = to.sections.find(name);
        delta.sections.push_back({name, section == to.sections.end() ? std::string{} : section->second});
    }
    return delta;
}

ConfigDelta makeWholeDelta(const Snapshot &to)
{
    std::vector<std::string> names;
    for (const auto &[name, text] : to.sections) {
        names.push_back(name);
    }
    return makeDelta(to, names, 0, 0);
}

DeltaResult applyDelta(const SnapshotPointer &base, const ConfigDelta &delta)
{
    DeltaResult result;
    if (!startsFrom(base, delta)) {
        result.mismatch = true;
        return result;
    }
    auto snapshot = delta.base == 0 ? std::make_shared<Snapshot>() : std::make_shared<Snapshot>(*base);
    auto document = delta.base == 0 ? std::make_shared<Document>() : std::make_shared<Document>(*base->document);
    IssueList issues;
    for (const ConfigDelta::Section &section : delta.sections) {
        replaceSection(section, *snapshot, *document, issues);
    }
    document->version = delta.version;
    snapshot->digest = documentDigest(delta.version, snapshot->digests);
    if (snapshot->digest != delta.digest) {
        result.mismatch = true;
        return result;
    }
    checkReferences(*document, {}, issues);
    result.issues = issues.take();
    if (!result.issues.empty()) {
        return result;
    }
    snapshot->document = std::move(document);
    result.snapshot = std::move(snapshot);
    return result;
}

} // namespace bergamottide
