#include "bergamottide/config/references.h"

#include "bergamottide/config/units.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief One walk over a document; holds where the issues go. */
class ReferenceCheck
{
public:
    ReferenceCheck(const Document &document, const LineIndex &lines, IssueList &issues)
        : m_document{document}
        , m_lines{lines}
        , m_issues{issues}
    {
    }

    void run()
    {
        checkNotEmpty("pools", m_document.pools.empty());
        checkNotEmpty("pipelines", m_document.pipelines.empty());
        checkNotEmpty("workspaces", m_document.workspaces.empty());
        for (const auto &[name, pool] : m_document.pools) {
            checkPool(pool);
        }
        for (const auto &[name, pipeline] : m_document.pipelines) {
            checkPipeline(pipeline);
        }
        for (const auto &[name, kind] : m_document.kinds) {
            checkKind(kind);
        }
        checkKeys();
        for (std::size_t index = 0; index < m_document.bindings.size(); ++index) {
            checkBinding(m_document.bindings[index], joinPath("bindings", index));
        }
        checkPolicy();
    }

private:
    void add(const std::string &path, IssueKind kind, std::string reason)
    {
        m_issues.add(lineOf(m_lines, path), path, kind, std::move(reason));
    }

    /*! @brief An empty section would take the whole fleet out of service; an absent one is reported by the reader. */
    void checkNotEmpty(const std::string &section, bool empty)
    {
        if (empty && (m_lines.empty() || m_lines.contains(section))) {
            add(section, IssueKind::MissingField, "At least one entry is required.");
        }
    }

    void checkPool(const Pool &pool)
    {
        const Pool standard;
        const std::string path = joinPath("pools", pool.name.text());
        if (pool.kind == PoolKind::Service) {
            return;
        }
        if (pool.path != standard.path) {
            add(joinPath(path, "path"), IssueKind::Conflict, "Only a pool of kind service has a path.");
        }
        if (pool.method != standard.method) {
            add(joinPath(path, "method"), IssueKind::Conflict, "Only a pool of kind service has a method.");
        }
    }

    void checkPipeline(const Pipeline &pipeline)
    {
        const std::string path = joinPath(joinPath("pipelines", pipeline.name.text()), "stages");
        std::set<StageName> names;
        for (std::size_t index = 0; index < pipeline.stages.size(); ++index) {
            const Stage &stage = pipeline.stages[index];
            const std::string inner = joinPath(path, index);
            if (!stage.name.empty() && !names.insert(stage.name).second) {
                add(joinPath(inner, "name"), IssueKind::Duplicate, "Another stage of the pipeline has this name.");
            }
            checkStage(stage, index + 1 == pipeline.stages.size(), inner);
        }
    }

    void checkStage(const Stage &stage, bool last, const std::string &path)
    {
        if (!stage.pool.empty() && !m_document.pools.contains(stage.pool)) {
            add(joinPath(path, "pool"), IssueKind::UnknownReference, "There is no pool '" + stage.pool.text() + "'.");
        }
        // A run that must not be repeated cannot be redone for a later stage that fails.
        if (stage.repeatable == Repeatable::No && !last) {
            add(joinPath(path, "repeatable"), IssueKind::Conflict, "Only the last stage may be not repeatable.");
        }
        if (stage.maxTokens > 0 && !stage.pool.empty() && !isEngine(stage)) {
            add(joinPath(path, "maxTokens"), IssueKind::Conflict, "Only a pool of kind engine generates tokens.");
        }
    }

    [[nodiscard]] bool isEngine(const Stage &stage) const
    {
        const auto pool = m_document.pools.find(stage.pool);
        // An unknown pool is reported as such, not by what follows from it.
        return pool == m_document.pools.end() || pool->second.kind == PoolKind::Engine;
    }

    void checkKind(const Kind &kind)
    {
        if (kind.deadline <= m_document.policy.maxDeadline) {
            return;
        }
        add(joinPath(joinPath("kinds", kind.name.text()), "deadline"), IssueKind::Conflict,
            "The deadline is above policy.maxDeadline (" + formatDuration(m_document.policy.maxDeadline) + ").");
    }

    /*! @brief One key lets a caller into one workspace; two of them would make the choice by chance. */
    void checkKeys()
    {
        std::map<std::string_view, const Workspace *> owners;
        for (const auto &[name, workspace] : m_document.workspaces) {
            for (const std::string &digest : workspace.keyDigests) {
                const auto [owner, added] = owners.emplace(digest, &workspace);
                if (added) {
                    continue;
                }
                add(joinPath(joinPath("workspaces", name.text()), "keyDigests"), IssueKind::Duplicate,
                    "Workspace '" + owner->second->name.text() + "' has the same key.");
            }
        }
    }

    void checkBinding(const Binding &binding, const std::string &path)
    {
        if (!binding.workspace.empty() && !m_document.workspaces.contains(binding.workspace)) {
            add(joinPath(path, "workspace"), IssueKind::UnknownReference,
                "There is no workspace '" + binding.workspace.text() + "'.");
        }
        const auto pipeline = m_document.pipelines.find(binding.pipeline);
        if (!binding.pipeline.empty() && pipeline == m_document.pipelines.end()) {
            add(joinPath(path, "pipeline"), IssueKind::UnknownReference,
                "There is no pipeline '" + binding.pipeline.text() + "'.");
        }
        const bool whole = !binding.workspace.empty() && !binding.pipeline.empty();
        if (whole && !m_bound.emplace(binding.workspace, binding.pipeline).second) {
            add(path, IssueKind::Duplicate, "Another binding has the same workspace and pipeline.");
        }
        if (binding.model.empty()) {
            checkNoModel(binding, path);
            if (pipeline != m_document.pipelines.end()) {
                checkModelNeeded(pipeline->second, path);
            }
            return;
        }
        checkModel(binding, path);
    }

    void checkNoModel(const Binding &binding, const std::string &path)
    {
        if (!binding.adapter.empty()) {
            add(joinPath(path, "adapter"), IssueKind::Conflict, "An adapter needs a model.");
        }
        if (!binding.version.empty()) {
            add(joinPath(path, "version"), IssueKind::Conflict, "A version needs a model.");
        }
    }

    void checkModelNeeded(const Pipeline &pipeline, const std::string &path)
    {
        const auto generates = [this](const Stage &stage) {
            return m_document.pools.contains(stage.pool) && isEngine(stage);
        };
        if (std::any_of(pipeline.stages.begin(), pipeline.stages.end(), generates)) {
            add(joinPath(path, "model"), IssueKind::MissingField,
                "The pipeline has an engine stage, so a model is due.");
        }
    }

    void checkModel(const Binding &binding, const std::string &path)
    {
        const auto found = m_document.models.find(binding.model);
        if (found == m_document.models.end()) {
            add(joinPath(path, "model"), IssueKind::UnknownReference,
                "There is no model '" + binding.model.text() + "'.");
            return;
        }
        const Model &model = found->second;
        const auto holds = [](const auto &list, const auto &item) {
            return std::find(list.begin(), list.end(), item) != list.end();
        };
        if (!binding.adapter.empty() && !holds(model.adapters, binding.adapter)) {
            add(joinPath(path, "adapter"), IssueKind::UnknownReference,
                "The model has no adapter '" + binding.adapter.text() + "'.");
        }
        if (!binding.version.empty() && !holds(model.versions, binding.version)) {
            add(joinPath(path, "version"), IssueKind::UnknownReference,
                "The model has no version '" + binding.version + "'.");
        }
    }

    void checkPolicy()
    {
        const Policy &policy = m_document.policy;
        if (policy.ledgerLimit < policy.queueLimit) {
            add("policy.ledgerLimit", IssueKind::Conflict, "The limit is below policy.queueLimit.");
        }
    }

    const Document &m_document;
    const LineIndex &m_lines;
    IssueList &m_issues;
    std::set<std::pair<WorkspaceName, PipelineName>> m_bound;
};

} // namespace

void checkReferences(const Document &document, const LineIndex &lines, IssueList &issues)
{
    ReferenceCheck{document, lines, issues}.run();
}

} // namespace bergamottide
