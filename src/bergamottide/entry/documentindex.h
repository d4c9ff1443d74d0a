#pragma once

#include "bergamottide/config/document.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace bergamottide {

/**
 * @brief Configuration document with indexes for the look-ups of the request path.
 *
 * Built once per document version; look-ups take constant time.
 */
class DocumentIndex
{
public:
    /**
     * @brief Indexes a document.
     * @param document Validated document, not null.
     */
    explicit DocumentIndex(std::shared_ptr<const Document> document);

    [[nodiscard]] const Document &document() const noexcept;

    /**
     * @brief Finds the workspace of a bearer key.
     * @param keyDigest Lower case hexadecimal SHA-256 digest of the key.
     * @return The workspace, or null if no workspace has that key.
     */
    [[nodiscard]] const Workspace *workspaceOf(std::string_view keyDigest) const;

    /**
     * @brief Finds the binding of a workspace to a pipeline.
     * @return The binding, or null if the workspace may not call the pipeline.
     */
    [[nodiscard]] const Binding *binding(const WorkspaceName &workspace, const PipelineName &pipeline) const;

private:
    std::shared_ptr<const Document> m_document;
    absl::flat_hash_map<std::string, const Workspace *> m_byKey;
    absl::flat_hash_map<std::pair<std::string, std::string>, const Binding *> m_bindings;
};

} // namespace bergamottide
