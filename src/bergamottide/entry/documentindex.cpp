#include "bergamottide/entry/documentindex.h"

namespace bergamottide {

DocumentIndex::DocumentIndex(std::shared_ptr<const Document> document)
    : m_document{std::move(document)}
{
    for (const auto &[name, workspace] : m_document->workspaces) {
        for (const std::string &digest : workspace.keyDigests) {
            m_byKey.emplace(digest, &workspace);
        }
    }
    for (const Binding &binding : m_document->bindings) {
        m_bindings.emplace(std::pair{binding.workspace.text(), binding.pipeline.text()}, &binding);
    }
}

const Document &DocumentIndex::document() const noexcept
{
    return *m_document;
}

const Workspace *DocumentIndex::workspaceOf(std::string_view keyDigest) const
{
    const auto found = m_byKey.find(std::string{keyDigest});
    return found == m_byKey.end() ? nullptr : found->second;
}

const Binding *DocumentIndex::binding(const WorkspaceName &workspace, const PipelineName &pipeline) const
{
    const auto found = m_bindings.find(std::pair{workspace.text(), pipeline.text()});
    return found == m_bindings.end() ? nullptr : found->second;
}

} // namespace bergamottide
